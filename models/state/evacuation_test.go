// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func evacuate(dataCentre string, active bool, base uint64) *statev1.PutEvacuation {
	return &statev1.PutEvacuation{DataCentre: dataCentre, Active: active, Base: base}
}

func applyEvacuation(s *State, m *statev1.PutEvacuation) error {
	err, _ := s.Apply(&statev1.Entry{Kind: &statev1.Entry_PutEvacuation{PutEvacuation: m}}).(error)
	return err
}

// Guards against an order that is repeated or delayed on its way and then changes what a
// later order has decided.
func TestOrdersOfEvacuations(t *testing.T) {
	tests := map[string]struct {
		orders     []*statev1.PutEvacuation
		active     bool
		revision   uint64
		superseded bool
	}{
		"begin":                           {orders: []*statev1.PutEvacuation{evacuate("a", true, 0)}, active: true, revision: 1},
		"begin twice":                     {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", true, 0)}, active: true, revision: 1},
		"end":                             {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 1)}, revision: 2},
		"end twice":                       {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", false, 1)}, revision: 2},
		"end without a beginning":         {orders: []*statev1.PutEvacuation{evacuate("a", false, 0)}},
		"begin again":                     {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", true, 2)}, active: true, revision: 3},
		"late beginning after the end":    {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", true, 0)}, revision: 2, superseded: true},
		"late end after a new beginning":  {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 1), evacuate("a", true, 2), evacuate("a", false, 1)}, active: true, revision: 3, superseded: true},
		"end at a box that lags":          {orders: []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("a", false, 0)}, active: true, revision: 1, superseded: true},
		"other data centres are separate": {orders: []*statev1.PutEvacuation{evacuate("b", true, 0), evacuate("a", true, 0)}, active: true, revision: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			var err error
			for _, m := range test.orders {
				err = applyEvacuation(s, m)
			}
			if IsErrSuperseded(err) != test.superseded || (err != nil) != test.superseded {
				t.Errorf("the last order was answered %v, want superseded %v", err, test.superseded)
			}
			row := s.Routing.Evacuations.Of("a")
			if row.GetActive() != test.active || row.GetRevision() != test.revision {
				t.Errorf("got %v, want active %v at revision %d", row, test.active, test.revision)
			}
		})
	}
}

// Guards against names of data centres without end, each of which would stay in the state.
func TestEvacuationsAreBounded(t *testing.T) {
	s := New()
	for n := range maxEvacuations {
		if err := applyEvacuation(s, evacuate(fmt.Sprint("dc-", n), true, 0)); err != nil {
			t.Fatal(err)
		}
	}
	if err := applyEvacuation(s, evacuate("one-more", true, 0)); !IsErrTooManyEvacuations(err) {
		t.Errorf("got %v for one data centre too many, want ErrTooManyEvacuations", err)
	}
	if err := applyEvacuation(s, evacuate("dc-0", false, 1)); err != nil {
		t.Errorf("can't end an evacuation while the table is full: %v", err)
	}
}

// Guards against evacuations that a control box forgets when it starts from a snapshot.
func TestEvacuationsAreInSnapshots(t *testing.T) {
	s := New()
	for _, m := range []*statev1.PutEvacuation{evacuate("a", true, 0), evacuate("b", true, 0), evacuate("a", false, 1)} {
		if err := applyEvacuation(s, m); err != nil {
			t.Fatal(err)
		}
	}
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	want := []*statev1.Evacuation{{DataCentre: "a", Revision: 3}, {DataCentre: "b", Active: true, Revision: 2}}
	if diff := cmp.Diff(want, restored.Routing.Evacuations.Rows(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if restored.Routing.Evacuations.Revision != 3 {
		t.Errorf("got revision %d, want 3", restored.Routing.Evacuations.Revision)
	}
}

// evacuationCopy is a copy of an operator's order that a control box has received and not
// committed yet.
type evacuationCopy struct {
	order *statev1.PutEvacuation
	// number counts the operator's orders.
	number int
}

// TestRandomEvacuations plays an operator who sends each order again until it is
// acknowledged, through control boxes that lag behind the log by some entries. Copies are
// committed late, in any order, or never, and control restarts from its snapshot. Once an
// order is acknowledged, its evacuation stays as it says until the operator gives the next.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New()
		// known has the revisions that a control box may still have for the data centre, the
		// newest last.
		known := []uint64{0}
		var underway []evacuationCopy
		number, active, acknowledged := 0, false, true
		commit := func(at int) {
			c := underway[at]
			underway = append(underway[:at:at], underway[at+1:]...)
			err := applyEvacuation(s, c.order)
			if revision := s.Routing.Evacuations.Of("a").GetRevision(); revision != known[len(known)-1] {
				known = append(known, revision)
			}
			if err == nil && c.number == number && !rapid.Bool().Draw(rt, "acknowledgement lost") {
				acknowledged = true
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"next order": func(rt *rapid.T) {
				if !acknowledged {
					rt.Skip("an order is under way")
				}
				number, active, acknowledged = number+1, !active, false
			},
			"send": func(rt *rapid.T) {
				if number == 0 || len(underway) > 6 {
					rt.Skip("nothing to send")
				}
				lag := rapid.IntRange(0, min(2, len(known)-1)).Draw(rt, "lag")
				underway = append(underway, evacuationCopy{number: number, order: evacuate("a", active, known[len(known)-1-lag])})
			},
			"commit": func(rt *rapid.T) {
				if len(underway) == 0 {
					rt.Skip("no copy is under way")
				}
				commit(rapid.IntRange(0, len(underway)-1).Draw(rt, "copy"))
			},
			"lose": func(rt *rapid.T) {
				if len(underway) == 0 {
					rt.Skip("no copy is under way")
				}
				at := rapid.IntRange(0, len(underway)-1).Draw(rt, "copy")
				underway = append(underway[:at:at], underway[at+1:]...)
			},
			"restart": func(rt *rapid.T) {
				data, err := s.Encode()
				if err != nil {
					rt.Fatal(err)
				}
				if s, err = Decode(data); err != nil {
					rt.Fatal(err)
				}
			},
			"": func(rt *rapid.T) {
				if got := s.Routing.Evacuations.Of("a").GetActive(); acknowledged && got != active {
					rt.Fatalf("the evacuation is active: %v, although order %d, which was acknowledged last, says %v", got, number, active)
				}
			},
		})
	})
}
