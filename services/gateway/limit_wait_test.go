// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
)

// limitedLease is the lease of limitFixture in tokens: without a report 14,000 may be used at once
// and 10,000 a second.
const limitedLease = 140000

// limitFixture is a box that has tokens and whose reports the test answers.
type limitFixture struct {
	*Leases
	t     *testing.T
	clock *clock.Fake
}

func newLimitFixture(t *testing.T) *limitFixture {
	c := clock.NewFake()
	f := &limitFixture{Leases: holderWith("a", "near", limitedLease, c), t: t, clock: c}
	f.answeredAt = c.Boot()
	return f
}

// limitResult is the result of a reservation.
type limitResult struct {
	outcome Outcome
	status  Status
}

// reserve begins a reservation and returns once it waits.
func (f *limitFixture) reserve(ctx context.Context, tokens uint64) <-chan limitResult {
	f.t.Helper()
	before := f.countWaiting()
	done := make(chan limitResult, 1)
	go func() {
		outcome, status := f.Reserve(ctx, "o", tokens, time.Minute)
		done <- limitResult{outcome, status}
	}()
	for f.countWaiting() == before {
		select {
		case r := <-done:
			f.t.Fatalf("%s without a wait", r.outcome)
		case <-time.After(time.Millisecond):
		}
	}
	return done
}

func (f *limitFixture) countWaiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiting)
}

// pass advances the clock, on which the limit admits more.
func (f *limitFixture) pass(d time.Duration) {
	f.clock.Advance(d)
	f.decideLater()
}

// answer plays one report and control's answer.
func (f *limitFixture) answer() {
	resp, err := grantAll(limitedLease)(f.request())
	f.handleAnswer(resp, 0, err)
}

func (f *limitFixture) reserved() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Of("o").Reserved
}

// Guards against calls that wait to their end for an answer of control that does not come.
func TestControlGoneWhileCallsWait(t *testing.T) {
	f := newLimitFixture(t)
	ctx := context.Background()
	soon, late := f.reserve(ctx, 31000), f.reserve(ctx, 60000)
	f.pass(maxAnswerAgeMillis*time.Millisecond + time.Millisecond)
	if r := <-late; r.outcome != Short || !r.status.Limited || r.status.AvailableIn <= 0 || r.status.Ahead != 31000 {
		t.Fatalf("%s, %+v for a call that the limit admits late", r.outcome, r.status)
	}
	if got := f.reserved(); got != 31000 {
		t.Fatalf("reserved %d after the refusal", got)
	}
	f.pass(200 * time.Millisecond)
	if r := <-soon; r.outcome != Reserved || !r.status.Limited {
		t.Fatalf("%s, %+v for a call that the limit admits soon", r.outcome, r.status)
	}
	if outcome, status := f.Reserve(ctx, "o", 60000, time.Minute); outcome != Short || status.Waited != 0 {
		t.Fatalf("%s after %s for a call that comes while control is gone", outcome, status.Waited)
	}
}

// Guards against a caller that has left and still holds its place and its tokens.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	f := newLimitFixture(t)
	ctx, leave := context.WithCancel(context.Background())
	first := f.reserve(ctx, 20000)
	second := f.reserve(context.Background(), 1000)
	leave()
	if r := <-first; r.outcome != Short {
		t.Fatalf("%s for a caller that has left", r.outcome)
	}
	if r := <-second; r.outcome != Reserved {
		t.Fatalf("%s for the next one", r.outcome)
	}
	if got := f.reserved(); got != 1000 {
		t.Fatalf("reserved %d, want the tokens of the second caller", got)
	}
}

// Guards against tokens that are used although the report of them was lost, and against a call
// that is refused for a single lost report.
func TestReportOfWaitingCallIsLost(t *testing.T) {
	f := newLimitFixture(t)
	f.request()
	call := f.reserve(context.Background(), 100000)
	f.handleAnswer(nil, 0, errors.New("lost"))
	// This repeats the report that does not include the call.
	f.answer()
	if f.countWaiting() != 1 {
		t.Fatal("the call did not wait for a report that includes it")
	}
	f.answer()
	if r := <-call; r.outcome != Reserved || r.status.Free != limitedLease-100000 {
		t.Fatalf("%s, %+v", r.outcome, r.status)
	}
}

// Guards against draws that are taken for lost, and holders that are suspended for them, while this
// box's own link delays the answers.
func TestSlowDraws(t *testing.T) {
	cases := map[string]struct {
		congested          bool
		outcome            Outcome
		unreached, suspend bool
		takes              time.Duration
	}{
		"300 ms, congested":    {congested: true, takes: 300 * time.Millisecond, outcome: Reserved},
		"300 ms, free link":    {takes: 300 * time.Millisecond, outcome: Short, suspend: true},
		"no answer, congested": {congested: true, takes: time.Hour, outcome: Short, unreached: true},
		"50 ms, free link":     {takes: 50 * time.Millisecond, outcome: Reserved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShared(func(int, bool) uint64 { return 1 << 20 })
			f.setTakes(c.takes)
			f.IsCongested = func() bool { return c.congested }
			for range suspendAfter {
				_, outcome, status := f.Reserve(context.Background(), "o", 1000, 0)
				if outcome != c.outcome || status.Unreached != c.unreached {
					t.Fatalf("%s, %+v", outcome, status)
				}
			}
			if available := f.isHolderAvailable(); available == c.suspend {
				t.Fatalf("available: %v", available)
			}
		})
	}
}

// Guards against holders that are not suspended any more once the link was congested.
func TestDrawsAfterTheLinkIsFreeAgain(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 1 << 20 })
	congested := true
	f.IsCongested = func() bool { return congested }
	f.setTakes(time.Hour)
	for range suspendAfter {
		f.Reserve(context.Background(), "o", 1000, 0)
	}
	if !f.isHolderAvailable() {
		t.Fatal("the holder was suspended on a congested link")
	}
	congested = false
	for range suspendAfter {
		if _, _, status := f.Reserve(context.Background(), "o", 1000, 0); status.Unreached {
			t.Fatal("the link still counts as congested")
		}
	}
	if f.isHolderAvailable() {
		t.Fatal("the holder is not suspended on a free link")
	}
}

// Guards against a budget that is taken for exhausted by what a congested box knew of it, although
// the holders were not reached.
func TestUnreachedHoldersAreNotExhausted(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 1 << 20 })
	f.setTakes(time.Hour)
	f.IsCongested = func() bool { return true }
	f.Leases.table.ApplyGrant("o", 0, 0, 10, f.clock.Boot())
	if _, outcome, status := f.Reserve(context.Background(), "o", 1000, time.Minute); outcome != Short || !status.Unreached {
		t.Fatalf("%s, %+v", outcome, status)
	}
}

// Guards against a draw that is refused after a share of the objective, although the holder has
// enough tokens and its next report would be answered in time.
func TestDrawWaitsForTheReportOfTheHolder(t *testing.T) {
	cases := map[string]struct {
		left, wait     time.Duration
		tokens         uint64
		shortest, most int64
	}{
		"much time left":           {left: time.Minute, wait: 200 * time.Millisecond, tokens: 60000, shortest: 1000, most: 1000},
		"little time left":         {left: 3 * time.Second, wait: 200 * time.Millisecond, tokens: 60000, shortest: 201, most: 750},
		"a short objective":        {left: time.Minute, wait: 10 * time.Millisecond, tokens: 60000, shortest: 60, most: 60},
		"the lease has too little": {left: time.Minute, wait: 10 * time.Millisecond, tokens: 200000, most: 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newShared(func(int, bool) uint64 { return 100000 })
			for _, w := range f.wires {
				w.loses["waits"] = true
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.left)
			defer cancel()
			_, outcome, status := f.Reserve(ctx, "o", c.tokens, c.wait)
			if outcome != Short || status.Limited != (c.tokens < 100000) {
				t.Fatalf("%s, %+v without any report", outcome, status)
			}
			longest := int64(0)
			for _, w := range f.wires {
				longest = max(longest, w.longestWait)
			}
			if longest < c.shortest || longest > c.most {
				t.Fatalf("the holder was asked to wait %d ms, want %d to %d", longest, c.shortest, c.most)
			}
		})
	}
}

func (f *sharedFixture) setTakes(d time.Duration) {
	for _, w := range f.wires {
		w.takes = d
	}
}

// isHolderAvailable reports whether the first holder is not suspended.
func (f *sharedFixture) isHolderAvailable() bool {
	for _, b := range f.order[:2] {
		if f.peers[b.Name] != nil && !f.peers[b.Name].isAvailable(f.clock.Boot()) {
			return false
		}
	}
	return true
}

// silentHolder never answers a draw.
type silentHolder struct{ *lossyConn }

func (h silentHolder) Draw(ctx context.Context, _ *connect.Request[betweenv1.DrawRequest]) (*connect.Response[betweenv1.DrawResponse], error) {
	<-ctx.Done()
	return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
}

// inTime does not answer a draw whose time is over.
type inTime struct{ *lossyConn }

func (h inTime) Draw(ctx context.Context, r *connect.Request[betweenv1.DrawRequest]) (*connect.Response[betweenv1.DrawResponse], error) {
	if ctx.Err() != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	return h.lossyConn.Draw(ctx, r)
}

// Guards against calls that are refused on a congested link since one holder does not answer, while
// another one has the tokens.
func TestSilentHolderOnACongestedLink(t *testing.T) {
	f := newShared(func(int, bool) uint64 { return 1 << 20 })
	f.IsCongested = func() bool { return true }
	first := f.Leases.Directory().Holders("o", f.Leases.DataCentre)[0]
	f.Dial = func(address string) betweenv1connect.DrawServiceClient {
		if address == first.Address {
			return silentHolder{f.wires[address]}
		}
		return inTime{f.wires[address]}
	}
	for range 4 {
		if _, outcome, _ := f.Reserve(context.Background(), "o", 1000, 100*time.Millisecond); outcome != Reserved {
			t.Fatalf("%s, although a holder has the tokens", outcome)
		}
	}
}
