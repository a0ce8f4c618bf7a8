// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/raft"
)

// directLog applies entries immediately. It is the leader unless isFollower is set.
type directLog struct {
	machine    *Machine
	isFollower bool
}

func (d *directLog) Propose(_ context.Context, data []byte) (any, error) {
	return d.machine.Apply(data), nil
}

func (d *directLog) ReadBarrier() error {
	if d.isFollower {
		return errors.WithStack(raft.ErrNotLeader{Leader: "elsewhere"})
	}
	return nil
}

// otherClocks holds the clocks of the other control boxes by address. A missing box is
// unreachable.
type otherClocks map[string]*betweenv1.ReadClockResponse

func (o otherClocks) read(_ context.Context, address string) (*betweenv1.ReadClockResponse, error) {
	resp := o[address]
	if resp == nil {
		return nil, errors.New("unreachable")
	}
	return resp, nil
}

type gatewayFixture struct {
	*Gateway
	clock  *clock.Fake
	clocks otherClocks
}

func newGateway(t *testing.T) *gatewayFixture {
	t.Helper()
	machine := NewMachine()
	c := clock.NewFake()
	f := &gatewayFixture{clock: c, clocks: otherClocks{}}
	f.Gateway = &Gateway{Log: &directLog{machine: machine}, Machine: machine, Clock: c, Logger: logging.Discard(), Self: "self", Boot: "boot-1",
		Members: func() []string { return []string{"self", "b", "c"} }, ReadRemoteClock: f.clocks.read}
	f.put(t, &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Table: &statev1.RoutingTable{
		Version: 1, Source: []byte("doc"), Payers: []*statev1.Payer{{Organisation: "o", Prepaid: 1280000, Limited: true}},
	}}}})
	return f
}

func (f *gatewayFixture) put(t *testing.T, e *statev1.Entry) {
	t.Helper()
	if err := f.Submit(context.Background(), e); err != nil {
		t.Fatal(err)
	}
}

func (f *gatewayFixture) report(t *testing.T, holder string, sample uint64, age time.Duration, r *betweenv1.LeaseReport) *betweenv1.LeaseGrant {
	t.Helper()
	r.Organisation = "o"
	resp, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: holder, Box: "box", Sample: sample, Age: age.Milliseconds(), Reports: []*betweenv1.LeaseReport{r}})
	if err != nil {
		t.Fatal(err)
	}
	return resp.GetGrants()[0]
}

func (f *gatewayFixture) unallotted() (tokens uint64) {
	f.Machine.Read(func(s *state.State) { tokens = s.Routing.Prepaid["o"].Unallotted() })
	return tokens
}

func (f *gatewayFixture) row(holder string) (row *statev1.Allotment) {
	f.Machine.Read(func(s *state.State) { row = proto.CloneOf(s.Routing.Prepaid["o"].AllotmentOf(holder)) })
	return row
}

// The lease of a process that died is reclaimed, except for what the process can have
// used between its last report and the start of the next process of its box.
func TestReclaimIsBoundedByTheTimeSinceTheLastReport(t *testing.T) {
	cases := map[string]struct {
		// change is applied between the last report and that of the next process.
		change func(f *gatewayFixture)
		// elapsed is the time that bounds the use, negative if there is no bound.
		elapsed time.Duration
	}{
		"same leader": {change: func(f *gatewayFixture) {}, elapsed: 2 * time.Second},
		"machines rebooted, wall clocks agree": {change: func(f *gatewayFixture) {
			f.Boot = "boot-2"
			f.clocks["b"] = &betweenv1.ReadClockResponse{Boot: "x", Day: f.clock.Wall().UnixMilli()}
			f.clocks["c"] = &betweenv1.ReadClockResponse{Boot: "x", Day: f.clock.Wall().UnixMilli() - 1500}
		}, elapsed: 2*time.Second + wallClockMargin},
		"machines rebooted, one wall clock jumped ahead": {change: func(f *gatewayFixture) {
			f.Boot = "boot-2"
			f.clocks["b"] = &betweenv1.ReadClockResponse{Boot: "x", Day: f.clock.Wall().UnixMilli() + 3000}
		}, elapsed: 5*time.Second + wallClockMargin},
		"machines rebooted, too few wall clocks": {change: func(f *gatewayFixture) {
			f.Boot = "boot-2"
			delete(f.clocks, "b")
			delete(f.clocks, "c")
		}, elapsed: -1},
		"new leader reads the clock of the former": {change: func(f *gatewayFixture) {
			f.clocks["self"] = &betweenv1.ReadClockResponse{Boot: "boot-1", At: f.clock.Boot().Milliseconds(), Day: f.clock.Wall().UnixMilli()}
			f.Self, f.Boot = "b", "boot-b"
		}, elapsed: 2 * time.Second},
		"new leader, clock unreachable": {change: func(f *gatewayFixture) {
			f.Self, f.Boot = "b", "boot-b"
			delete(f.clocks, "c")
		}, elapsed: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newGateway(t)
			f.clocks["b"] = &betweenv1.ReadClockResponse{Boot: "x", Day: f.clock.Wall().UnixMilli()}
			f.clocks["c"] = &betweenv1.ReadClockResponse{Boot: "x", Day: f.clock.Wall().UnixMilli()}
			for _, member := range []string{"self", "b", "c"} {
				at, _ := f.wallClockOf(context.Background(), member)
				f.setWallClock(member, wallClockReading{at: at, boot: f.clock.Boot()})
			}
			granted := f.report(t, "box@1", 1, 0, &betweenv1.LeaseReport{}).GetAllotted()
			f.report(t, "box@1", 2, 0, &betweenv1.LeaseReport{Spent: 1000, Reserved: 500, Basis: granted})
			f.clock.Advance(3 * time.Second)
			c.change(f)
			before := f.unallotted()
			free, basis := state.FreeAtReport(f.row("box@1")), f.row("box@1").GetBasis()
			f.report(t, "box@2", 1, time.Second, &betweenv1.LeaseReport{})
			back := f.unallotted() + f.row("box@2").GetAllotted() - before
			want := uint64(0)
			if c.elapsed >= 0 {
				want = free - min(free, lease.MaxUnreportedUse(basis, c.elapsed))
			}
			if back != want {
				t.Fatalf("%d tokens were reclaimed, want %d of %d", back, want, free)
			}
		})
	}
}

// A repeated sample keeps the stamp of its first transmission: the answer to that one,
// which was lost, was sent after the sample was taken.
func TestARepeatedSampleKeepsItsStamp(t *testing.T) {
	f := newGateway(t)
	f.report(t, "box@1", 1, 0, &betweenv1.LeaseReport{})
	first := f.clock.Boot()
	f.clock.Advance(time.Second)
	f.report(t, "box@1", 2, 0, &betweenv1.LeaseReport{Spent: 1})
	f.clock.Advance(time.Second)
	f.report(t, "box@1", 2, 0, &betweenv1.LeaseReport{Spent: 1})
	var stamp *statev1.LeaseStamp
	f.Machine.Read(func(s *state.State) { stamp = s.Routing.Holders["box@1"].GetStamp() })
	if stamp.GetAt() != first.Milliseconds() || stamp.GetClock() != "self" {
		t.Fatalf("stamp %v, want the answer to the first sample at %d", stamp, first.Milliseconds())
	}
}

func TestReadAndLeaseNeedTheLeader(t *testing.T) {
	f := newGateway(t)
	f.Log.(*directLog).isFollower = true
	if _, err := f.ReadRouting(); !raft.IsErrNotLeader(err) {
		t.Fatal(err)
	}
	if _, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: "h"}); !raft.IsErrNotLeader(err) {
		t.Fatal(err)
	}
	f.Log.(*directLog).isFollower = false
	resp, err := f.ReadRouting()
	if err != nil || resp.GetVersion() != 1 || string(resp.GetSource()) != "doc" {
		t.Fatalf("%v, %v", resp, err)
	}
}

// Tokens that are kept back for a process that has ended are never returned, so they do
// not count as left.
func TestKeptBackTokensAreNotLeft(t *testing.T) {
	f := newGateway(t)
	granted := f.report(t, "box@1", 1, 0, &betweenv1.LeaseReport{}).GetAllotted()
	f.report(t, "box@1", 2, 0, &betweenv1.LeaseReport{Spent: 1000, Reserved: 500, Basis: granted})
	f.clock.Advance(holderTimeout + time.Second)
	left := f.report(t, "box@2", 1, 0, &betweenv1.LeaseReport{}).GetLeft()
	row := f.row("box@1")
	if row.GetReturned() == 0 {
		t.Fatal("nothing was reclaimed")
	}
	if kept := row.GetAllotted() - row.GetReturned(); left != 1270000-kept {
		t.Fatalf("%d tokens are left, want 1270000 minus the %d kept back", left, kept)
	}
}

// Tokens that a holder has announced ahead of their use are left: a request was refused as if
// the budget were used up, and a later one was served.
func TestAnnouncedUseIsLeft(t *testing.T) {
	f := newGateway(t)
	granted := f.report(t, "box@1", 1, 0, &betweenv1.LeaseReport{}).GetAllotted()
	left := f.report(t, "box@1", 2, 0, &betweenv1.LeaseReport{Spent: 1000, Reserved: 20500, Advance: 20000, Basis: granted}).GetLeft()
	if left != 1270000-1500 {
		t.Fatalf("%d tokens are left, want %d", left, 1270000-1500)
	}
	if got := f.row("box@1").GetReserved(); got != 20500 {
		t.Fatalf("%d tokens are recorded as reserved, want 20500: they may have been used if the box ends", got)
	}
}
