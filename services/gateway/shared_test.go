// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
)

// lossyConn is a connection to a holder that can lose messages.
type lossyConn struct {
	leases *Leases
	// loses has the kinds of messages that are lost: "asks", "answers" (of draws), "waits" (draws
	// that may wait) and "settlements"; "descriptors" means that the asking box has none for the connection.
	loses   map[string]bool
	settled chan string
	// takes is how long an answer to a draw takes: it is lost if the draw does not wait as long.
	takes time.Duration
	// longestWait is the longest wait for tokens, in milliseconds, that a draw asked for.
	longestWait int64
}

func (w *lossyConn) Draw(ctx context.Context, r *connect.Request[betweenv1.DrawRequest]) (*connect.Response[betweenv1.DrawResponse], error) {
	lost := connect.NewError(connect.CodeUnavailable, errors.New("lost"))
	if w.loses["asks"] {
		return nil, lost
	}
	if w.loses["descriptors"] {
		return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	}
	w.longestWait = max(w.longestWait, r.Msg.GetWait())
	if w.loses["waits"] && r.Msg.GetWait() > 0 {
		return nil, lost
	}
	if deadline, _ := ctx.Deadline(); w.takes > 0 && time.Until(deadline) < w.takes {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, errors.New("no answer in time"))
	}
	resp := w.leases.Draw(ctx, r.Msg)
	if w.loses["answers"] {
		return nil, lost
	}
	return connect.NewResponse(resp), nil
}

func (w *lossyConn) Settle(_ context.Context, r *connect.Request[betweenv1.SettleDrawsRequest]) (*connect.Response[betweenv1.SettleDrawsResponse], error) {
	if w.loses["settlements"] {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("lost"))
	}
	w.leases.SettleDraws(r.Msg)
	for _, s := range r.Msg.GetSettlements() {
		w.settled <- s.GetId()
	}
	return connect.NewResponse(&betweenv1.SettleDrawsResponse{}), nil
}

// holderWith returns the leases of a box to which control has granted tokens.
func holderWith(name, centre string, tokens uint64, c clock.Clock) *Leases {
	store := NewStore(c)
	store.Apply(&betweenv1.FollowResponse{Routing: &statev1.RoutingTable{Version: 1, Payers: []*statev1.Payer{{Organisation: "o", Limited: true, Prepaid: 1 << 20}}}})
	l := NewLeases(LeasesOptions{Box: name, Process: "p", Address: name, DataCentre: centre, Store: store, Client: clientOver(nil), Clock: c, Logger: logging.Discard()})
	l.table.Sample(c.Boot())
	l.table.ApplyGrant("o", tokens, tokens, 1<<20, c.Boot())
	return l
}

type sharedFixture struct {
	*SharedLeases
	clock *clock.Fake
	wires map[string]*lossyConn
	order []lease.Box
}

// newShared returns the fixture of a guest box. The directory lists five boxes in its
// data centre, of which two hold leases of the organisation, and two in another one.
func newShared(tokens func(holder int, far bool) uint64) *sharedFixture {
	c := clock.NewFake()
	f := &sharedFixture{clock: c, wires: map[string]*lossyConn{}}
	var boxes []lease.Box
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		boxes = append(boxes, lease.Box{Name: name, Address: name, DataCentre: "near"})
	}
	boxes = append(boxes, lease.Box{Name: "x", Address: "x", DataCentre: "far"}, lease.Box{Name: "y", Address: "y", DataCentre: "far"})
	d := lease.NewDirectory(boxes)
	guest := "guest"
	f.SharedLeases = &SharedLeases{
		Leases: holderWith(guest, "near", 0, c),
		Dial:   func(address string) betweenv1connect.DrawServiceClient { return f.wires[address] }}
	f.Leases.directory = d
	f.order = f.rotate(d.Holders("o", "near"))
	for i, b := range f.order {
		f.wires[b.Name] = &lossyConn{leases: holderWith(b.Name, "near", tokens(i, false), c), loses: map[string]bool{}, settled: make(chan string, 9)}
	}
	for i, b := range f.rotate(d.HoldersElsewhere("o", "near")) {
		f.wires[b.Name] = &lossyConn{leases: holderWith(b.Name, "far", tokens(i, true), c), loses: map[string]bool{}, settled: make(chan string, 9)}
		f.order = append(f.order, b)
	}
	return f
}

func (f *sharedFixture) wire(n int) *lossyConn { return f.wires[f.order[n].Name] }

func TestWhichBoxGivesTokens(t *testing.T) {
	all := func(int, bool) uint64 { return 100000 }
	cases := map[string]struct {
		tokens  func(holder int, far bool) uint64
		prepare func(f *sharedFixture)
		// holder is the index in order of the box that gives tokens, -1 for none.
		holder int
	}{
		"first holder":             {tokens: all, holder: 0},
		"first unreachable":        {tokens: all, prepare: func(f *sharedFixture) { f.wire(0).loses["asks"] = true }, holder: 1},
		"first stopping":           {tokens: all, prepare: func(f *sharedFixture) { f.wire(0).leases.Leave() }, holder: 1},
		"first has too few":        {tokens: func(n int, _ bool) uint64 { return uint64(n) * 100000 }, holder: 1},
		"only another data centre": {tokens: func(_ int, far bool) uint64 { return map[bool]uint64{true: 100000}[far] }, holder: 2},
		"none has enough":          {tokens: func(int, bool) uint64 { return 10 }, holder: -1},
		"none reachable": {tokens: all, prepare: func(f *sharedFixture) {
			for _, w := range f.wires {
				w.loses["asks"] = true
			}
		}, holder: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShared(c.tokens)
			if c.prepare != nil {
				c.prepare(f)
			}
			r, outcome, _ := f.Reserve(context.Background(), "o", 1000, 0)
			switch {
			case c.holder < 0 && outcome != Short:
				t.Fatalf("%s at %q, want short", outcome, r.Holder)
			case c.holder >= 0 && (outcome != Reserved || r.Holder != f.order[c.holder].Name):
				t.Fatalf("%s at %q, want %q", outcome, r.Holder, f.order[c.holder].Name)
			}
		})
	}
}

// A large request was refused although a box of another data centre had enough tokens: more
// than that box may use without a report, which it only sends when it is asked to wait.
func TestLargeDrawFromAnotherDataCentre(t *testing.T) {
	f := newShared(func(_ int, far bool) uint64 { return map[bool]uint64{true: 100000, false: 10}[far] })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := f.wire(2).leases
	holder.Client = clientOver(map[string]*controlBox{"a": {answer: grantAll(100000)}}, "a")
	go holder.Run(ctx)
	r, outcome, _ := f.Reserve(ctx, "o", 20000, time.Minute)
	if outcome != Reserved || r.Holder != f.order[2].Name {
		t.Fatalf("%s at %q, want %q", outcome, r.Holder, f.order[2].Name)
	}
}

func (f *sharedFixture) counts(n int) (reserved, spent uint64) {
	l := f.wire(n).leases
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.table.Of("o")
	return row.Reserved, row.Spent
}

func TestDrawsAreSettled(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	r, _, _ := f.Reserve(context.Background(), "o", 1000, 0)
	if reserved, _ := f.counts(0); reserved != 1000 {
		t.Fatalf("reserved %d at the holder", reserved)
	}
	f.Settle(r, 300)
	<-f.wire(0).settled
	if reserved, spent := f.counts(0); reserved != 0 || spent != 300 {
		t.Fatalf("reserved %d, spent %d after the settlement", reserved, spent)
	}
}

// A draw whose answer is lost is released, and the next holder gives the tokens.
func TestDrawWithoutAnswerIsReleased(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	f.wire(0).loses["answers"] = true
	r, outcome, _ := f.Reserve(context.Background(), "o", 1000, 0)
	if outcome != Reserved || r.Holder != f.order[1].Name {
		t.Fatalf("%s at %s", outcome, r.Holder)
	}
	<-f.wire(0).settled
	if reserved, spent := f.counts(0); reserved != 0 || spent != 0 {
		t.Fatalf("reserved %d, spent %d at the first holder", reserved, spent)
	}
}

// A holder counts a draw as spent that is not settled within its lifetime.
func TestDrawExpiresAsSpent(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.Reserve(ctx, "o", 1000, 0)
	f.clock.Advance(2 * time.Minute)
	f.wire(0).leases.request()
	if reserved, spent := f.counts(0); reserved != 0 || spent != 1000 {
		t.Fatalf("reserved %d, spent %d after the draw's lifetime", reserved, spent)
	}
}

// A draw that arrives after its release is refused.
func TestReleaseBeforeTheDraw(t *testing.T) {
	l := holderWith("a", "near", 1000, clock.NewFake())
	l.SettleDraws(&betweenv1.SettleDrawsRequest{Settlements: []*betweenv1.DrawSettlement{{Id: "d"}}})
	if resp := l.Draw(context.Background(), &betweenv1.DrawRequest{Id: "d", Organisation: "o", Tokens: 10, Lifetime: 1000}); resp.GetOutcome() != betweenv1.DrawOutcome_DRAW_OUTCOME_SHORT {
		t.Fatalf("a released draw got %s", resp.GetOutcome())
	}
}

// A box that does not answer is not tried again until its suspension is over.
func TestPeerIsSuspended(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	f.wire(0).loses["asks"] = true
	f.Reserve(context.Background(), "o", 10, 0)
	f.wire(0).loses["asks"] = false
	if r, _, _ := f.Reserve(context.Background(), "o", 10, 0); r.Holder != f.order[1].Name {
		t.Fatalf("drew from %s right after the first holder did not answer", r.Holder)
	}
	f.clock.Advance(firstSuspension)
	if r, _, _ := f.Reserve(context.Background(), "o", 10, 0); r.Holder != f.order[0].Name {
		t.Fatalf("drew from %s after the suspension", r.Holder)
	}
}

// Guards against a box that is short of descriptors and suspends the holders of leases for it.
func TestShortageOfDescriptorsSuspendsNoPeer(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	for _, w := range f.wires {
		w.loses["descriptors"] = true
	}
	f.Reserve(context.Background(), "o", 10, 0)
	for name, p := range f.peers {
		if !p.isAvailable(f.clock.Boot()) {
			t.Errorf("%s is suspended", name)
		}
	}
}

// A box without leases reports less often, but enough to stay in the directory.
func TestGuestReportsRarely(t *testing.T) {
	c := clock.NewFake()
	l := holderWith("guest", "near", 0, c)
	l.directory = lease.NewDirectory([]lease.Box{{Name: "a", DataCentre: "near"}, {Name: "b", DataCentre: "near"}})
	if r := l.request(); r == nil || len(r.GetReports()) != 0 || r.GetAddress() != "guest" {
		t.Fatalf("the first report is %v", r)
	}
	c.Advance(reportInterval)
	if r := l.request(); r != nil {
		t.Fatalf("the box reports again after %s", reportInterval)
	}
	c.Advance(presenceInterval)
	if l.request() == nil {
		t.Fatal("the box does not report again")
	}
}

// A box that has tokens does not draw from others.
func TestOwnTokensGoFirst(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 100000 })
	f.Leases.table.Sample(f.clock.Boot())
	f.Leases.table.ApplyGrant("o", 50000, 50000, 1<<20, f.clock.Boot())
	if r, outcome, _ := f.Reserve(context.Background(), "o", 1000, 0); outcome != Reserved || r.Holder != "guest" {
		t.Fatalf("%s at %s", outcome, r.Holder)
	}
}

// A box that draws much from other boxes reports its demand.
func TestHeavyGuestReports(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 1 << 20 })
	for range 8 {
		f.Reserve(context.Background(), "o", 5000, 0)
		f.clock.Advance(reportInterval)
		f.Leases.request()
	}
	f.clock.Advance(presenceInterval)
	if r := f.Leases.request(); len(r.GetReports()) != 1 || r.GetReports()[0].GetRate() < 4000 {
		t.Fatalf("the box draws 16000 tokens per second and reports %v", r.GetReports())
	}
}
