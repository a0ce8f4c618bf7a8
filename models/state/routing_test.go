// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func table(version, prepaid uint64) *statev1.Entry {
	return &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Table: &statev1.RoutingTable{
		Version: version, Source: []byte(fmt.Sprint(version)), Payers: []*statev1.Payer{{Organisation: "o", Prepaid: prepaid, Limited: true}},
	}}}}
}

func put(rows ...*statev1.RegisteredTarget) *statev1.Entry {
	return &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: rows}}}
}

func registered(id, address string, state statev1.RegisteredTarget_State, sequence uint64) *statev1.RegisteredTarget {
	return &statev1.RegisteredTarget{Id: id, Service: "s", Address: address, State: state, Sequence: sequence}
}

func TestHighestVersionIsInForce(t *testing.T) {
	s := New()
	for _, version := range []uint64{3, 2, 3, 7, 5} {
		s.Apply(table(version, 100*version))
	}
	if s.Routing.Version() != 7 || string(s.Routing.Table.GetSource()) != "7" {
		t.Fatalf("version %d is in force", s.Routing.Version())
	}
}

func TestTargetsMoveForwardOnly(t *testing.T) {
	const ready, draining, gone = statev1.RegisteredTarget_STATE_READY, statev1.RegisteredTarget_STATE_DRAINING, statev1.RegisteredTarget_STATE_GONE
	cases := map[string]struct {
		calls []*statev1.RegisteredTarget
		want  map[string]statev1.RegisteredTarget_State
	}{
		"ready":                        {calls: []*statev1.RegisteredTarget{registered("a", "x", ready, 1)}, want: map[string]statev1.RegisteredTarget_State{"a": ready}},
		"draining":                     {calls: []*statev1.RegisteredTarget{registered("a", "x", ready, 1), registered("a", "x", draining, 2)}, want: map[string]statev1.RegisteredTarget_State{"a": draining}},
		"a delayed ready":              {calls: []*statev1.RegisteredTarget{registered("a", "x", draining, 2), registered("a", "x", ready, 1), registered("a", "x", ready, 3)}, want: map[string]statev1.RegisteredTarget_State{"a": draining}},
		"ready after it left":          {calls: []*statev1.RegisteredTarget{registered("a", "x", ready, 1), registered("a", "", gone, 0), registered("a", "x", ready, 2)}, want: map[string]statev1.RegisteredTarget_State{"a": gone}},
		"address used again":           {calls: []*statev1.RegisteredTarget{registered("a", "x", ready, 1), registered("b", "x", ready, 1)}, want: map[string]statev1.RegisteredTarget_State{"a": gone, "b": ready}},
		"the former target calls late": {calls: []*statev1.RegisteredTarget{registered("a", "x", ready, 1), registered("b", "x", ready, 1), registered("a", "x", ready, 9)}, want: map[string]statev1.RegisteredTarget_State{"a": gone, "b": ready}},
		"leaves without registration":  {calls: []*statev1.RegisteredTarget{registered("a", "", gone, 0)}, want: map[string]statev1.RegisteredTarget_State{"a": gone}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New()
			for _, call := range c.calls {
				s.Apply(put(call))
			}
			got := map[string]statev1.RegisteredTarget_State{}
			for id, row := range s.Routing.Targets {
				got[id] = row.GetState()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestTargetsAfterARevision(t *testing.T) {
	s := New()
	for i := range 3 {
		s.Apply(put(registered(fmt.Sprint("t", i), fmt.Sprint("x", i), statev1.RegisteredTarget_STATE_READY, 1)))
	}
	rows, all := s.Routing.TargetsAfter(2)
	if len(rows) != 1 || rows[0].GetId() != "t2" || all {
		t.Fatalf("got %v, all %v", rows, all)
	}
	// More targets end than are kept, so a follower far behind gets all rows.
	for i := range maxGoneTargets + 10 {
		id := fmt.Sprint("g", i)
		s.Apply(put(registered(id, "y", statev1.RegisteredTarget_STATE_READY, 1)))
		s.Apply(put(registered(id, "y", statev1.RegisteredTarget_STATE_GONE, 2)))
	}
	rows, all = s.Routing.TargetsAfter(2)
	if !all || len(rows) != 3 {
		t.Fatalf("a follower far behind got %d rows, all %v", len(rows), all)
	}
	if len(s.Routing.Targets) != maxGoneTargets+3 {
		t.Fatalf("%d rows are held", len(s.Routing.Targets))
	}
}

func lease(holder string, c *statev1.LeaseChange) *statev1.Entry {
	c.Organisation = "o"
	return &statev1.Entry{Kind: &statev1.Entry_LeaseSync{LeaseSync: &statev1.LeaseSync{Holder: holder, Box: "box", Stamp: &statev1.LeaseStamp{Clock: "c", Boot: "b", At: 7}, Changes: []*statev1.LeaseChange{c}}}}
}

func TestLeasesNeverExceedTheBudget(t *testing.T) {
	s := New()
	s.Apply(table(1, 128000))
	usable := uint64(127000)
	got := s.Apply(lease("h1", &statev1.LeaseChange{Grant: 100000})).(LeaseResult)
	if got.Allotted[0] != 100000 {
		t.Fatalf("allotted %v", got.Allotted)
	}
	got = s.Apply(lease("h2", &statev1.LeaseChange{Grant: 100000})).(LeaseResult)
	if got.Allotted[0] != usable-100000 {
		t.Fatalf("allotted %v, more than was unallotted", got.Allotted)
	}
	// An old report must not undo a return, and a report that returns more than was
	// allotted must return nothing.
	s.Apply(lease("h1", &statev1.LeaseChange{Returned: 60000, Spent: 10000}))
	s.Apply(lease("h1", &statev1.LeaseChange{Returned: 50000, Spent: 9000}))
	s.Apply(lease("h1", &statev1.LeaseChange{Returned: 1 << 40}))
	b := s.Routing.Prepaid["o"]
	if b.Unallotted() != 60000 || b.AllotmentOf("h1").GetSpent() != 10000 {
		t.Fatalf("unallotted %d, spent %d", b.Unallotted(), b.AllotmentOf("h1").GetSpent())
	}
	// A budget that is reduced below the leased amount must grant nothing more.
	s.Apply(table(2, 50000))
	if b.Unallotted() != 0 {
		t.Fatalf("unallotted %d of a reduced budget", b.Unallotted())
	}
	s.Apply(table(3, 256000))
	if b.Unallotted() != 254000-67000 {
		t.Fatalf("unallotted %d of a raised budget", b.Unallotted())
	}
}

func TestReclaim(t *testing.T) {
	s := New()
	s.Apply(table(1, 128000))
	s.Apply(lease("h1", &statev1.LeaseChange{Grant: 100000}))
	s.Apply(lease("h1", &statev1.LeaseChange{Spent: 10000, Reserved: 20000, Basis: 5}))
	if got := s.Routing.Prepaid["o"].AllotmentOf("h1").GetBasis(); got != 70000 {
		t.Fatalf("basis %d, want what was free", got)
	}
	if got := s.Routing.Predecessors("box", "h2"); len(got) != 1 || got[0].GetStamp().GetAt() != 7 {
		t.Fatalf("predecessors %v", got)
	}
	reclaim := &statev1.Entry{Kind: &statev1.Entry_ReclaimLease{ReclaimLease: &statev1.ReclaimLease{Holder: "h1", Changes: []*statev1.LeaseChange{{Organisation: "o", Returned: 65000}}}}}
	s.Apply(reclaim)
	s.Apply(reclaim)
	if got := s.Routing.Prepaid["o"].Unallotted(); got != 27000+65000 {
		t.Fatalf("unallotted %d after a repeated reclaim", got)
	}
	if len(s.Routing.Predecessors("box", "h2")) != 0 {
		t.Fatal("the reclaimed holder is not removed")
	}
}

func TestAReportWithoutAStampKeepsTheOlderOne(t *testing.T) {
	s := New()
	s.Apply(table(1, 1000))
	s.Apply(lease("h1", &statev1.LeaseChange{Grant: 10}))
	e := lease("h1", &statev1.LeaseChange{Spent: 1})
	e.GetLeaseSync().Stamp = nil
	s.Apply(e)
	if got := s.Routing.Holders["h1"].GetStamp().GetAt(); got != 7 {
		t.Fatalf("stamp at %d", got)
	}
	e = lease("h1", &statev1.LeaseChange{Returned: 9, Spent: 1})
	e.GetLeaseSync().Leaving = true
	s.Apply(e)
	if len(s.Routing.Holders) != 0 {
		t.Fatal("a holder that left is not removed")
	}
}

func TestSnapshotKeepsRouting(t *testing.T) {
	s := New()
	s.Apply(table(4, 128000))
	s.Apply(put(registered("a", "x", statev1.RegisteredTarget_STATE_READY, 1), registered("b", "y", statev1.RegisteredTarget_STATE_GONE, 1)))
	s.Apply(lease("h1", &statev1.LeaseChange{Grant: 1000}))
	s.Apply(lease("h1", &statev1.LeaseChange{Spent: 10, Reserved: 20}))
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := back.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatal("a second snapshot differs from the first")
	}
	if diff := cmp.Diff(s.Routing.Targets, back.Routing.Targets, protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
	if back.Routing.Prepaid["o"].Unallotted() != s.Routing.Prepaid["o"].Unallotted() {
		t.Fatal("the budget differs")
	}
	back.Apply(put(registered("c", "x", statev1.RegisteredTarget_STATE_READY, 1)))
	if back.Routing.Targets["a"].GetState() != statev1.RegisteredTarget_STATE_GONE {
		t.Fatal("the restored state does not know which target has an address")
	}
}
