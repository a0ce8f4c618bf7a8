// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const org = "org"

// granted returns a table with a lease whose use control has acknowledged.
func granted(tokens uint64, now time.Duration) *Table {
	t := NewTable()
	t.Of(org)
	t.Sample(now)
	t.ApplyGrant(org, tokens, tokens, tokens, now)
	return t
}

func TestReserveAndSettle(t *testing.T) {
	tb := granted(160000, time.Second)
	if !tb.Reserve(org, 6000, time.Second) {
		t.Fatal("a reservation within the burst limit was refused")
	}
	if got := tb.Of(org).Free(); got != 154000 {
		t.Fatalf("free %d, want 154000", got)
	}
	tb.Settle(org, 6000, 4000)
	if l := tb.Of(org); l.Free() != 156000 || l.Spent != 4000 || l.Reserved != 0 {
		t.Fatalf("after settling: %+v", l)
	}
	tb.Settle(org, 10, 50)
	if l := tb.Of(org); l.Spent != 4010 {
		t.Fatalf("spent %d: a settlement must not exceed its reservation", l.Spent)
	}
}

func TestLimitWithoutReports(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		tokens uint64
		want   bool
	}{
		"at once within the burst limit":      {tokens: BurstLimit(160000), want: true},
		"at once above the burst limit":       {tokens: BurstLimit(160000) + 1, want: false},
		"after a second within the rate":      {after: time.Second, tokens: BurstLimit(160000) + uint64(RateLimit(160000)), want: true},
		"after a second above the rate":       {after: time.Second, tokens: BurstLimit(160000) + uint64(RateLimit(160000)) + 2, want: false},
		"large request in a partition":        {after: partitionTimeout, tokens: 30000 + uint64(RateLimit(160000)), want: true},
		"large request before a partition":    {after: partitionTimeout - time.Millisecond, tokens: 30000 + BurstLimit(160000) + uint64(2*RateLimit(160000)), want: false},
		"too large request in a partition":    {after: partitionTimeout, tokens: 30000 + BurstLimit(160000) + uint64(3*RateLimit(160000)), want: false},
		"the whole lease in a long partition": {after: 8 * time.Second, tokens: 160000, want: true},
		"more than the lease":                 {after: time.Hour, tokens: 160001, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := granted(160000, time.Second)
			if got := tb.Reserve(org, c.tokens, time.Second+c.after); got != c.want {
				t.Fatalf("reserved: %v, want %v", got, c.want)
			}
		})
	}
}

// A lease that was first granted in the answer to a report, which did not have it yet, could
// be used up before the next report: control reclaimed tokens that were spent.
func TestFirstGrantIsLimited(t *testing.T) {
	now := time.Hour
	tb := NewTable()
	tb.Sample(now)
	tb.Report(org, now)
	tb.ApplyGrant(org, 160000, 160000, 160000, now)
	if tb.Reserve(org, BurstLimit(160000)+1, now) {
		t.Fatal("a reservation above the burst limit was accepted")
	}
	if !tb.Reserve(org, BurstLimit(160000), now) {
		t.Fatal("a reservation within the burst limit was refused")
	}
}

func TestAnnouncedTokensNeedNoLimit(t *testing.T) {
	now := time.Second
	tb := granted(160000, now)
	if !tb.ReservePending(org, 100000) {
		t.Fatal("an announcement that the lease can cover was refused")
	}
	tb.Sample(now)
	tb.ApplyGrant(org, 160000, 160000, 160000, now)
	if !tb.Reserve(org, BurstLimit(60000), now) {
		t.Fatal("a reservation within the burst limit of the remaining lease was refused")
	}
	if tb.ReservePending(org, 60000) {
		t.Fatal("an announcement of more than the lease was accepted")
	}
	if tb.CancelPending(org, 100000, now) {
		t.Fatal("a withdrawal kept a reservation above the limit")
	}
	if got := tb.Of(org).Reserved; got != BurstLimit(60000) {
		t.Fatalf("reserved %d after the withdrawal", got)
	}
}

func TestReturns(t *testing.T) {
	tb := granted(1000, 1)
	tb.Sample(2)
	tb.ApplyGrant(org, 1000, 400, 1000, 2)
	if l := tb.Of(org); l.Returned != 600 || l.Free() != 400 {
		t.Fatalf("after control asked for a return: %+v", l)
	}
	tb.Reserve(org, 50, 2)
	tb.ReturnAll()
	if l := tb.Of(org); l.Free() != 0 || l.Reserved != 50 || l.Returned != 950 {
		t.Fatalf("after everything was returned: %+v", l)
	}
}

func TestExhausted(t *testing.T) {
	tb := NewTable()
	if tb.IsExhausted(org, 10) {
		t.Fatal("exhausted before control has answered")
	}
	tb.Sample(0)
	tb.ApplyGrant(org, 100, 100, 100, 0)
	if tb.IsExhausted(org, 100) || !tb.IsExhausted(org, 101) {
		t.Fatal("a budget is exhausted if and only if neither its rest nor the lease covers the request")
	}
}

// controlView is the replicated state's record of a holder.
type controlView struct {
	allotted uint64
	counters counters
	basis    uint64
	// stamp is a time before the last sample that control has.
	stamp time.Duration
}

func (v controlView) free() uint64 { return v.allotted - min(v.allotted, v.counters.used()) }

// Reports and answers may be lost: a holder must never use more than the bound
// that control computes from the stamp of the last report it has.
func TestRandomUseStaysWithinControlsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Second
		tb := NewTable()
		l := tb.Of(org)
		view := controlView{stamp: now}
		acked, answered := true, now
		var sample counters
		stamp := now
		for step := 0; step < 120; step++ {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			tb.ReportTime = time.Duration(rapid.IntRange(0, 1500).Draw(rt, "report ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"reserve", "reserve", "settle", "announce", "report", "lost request", "lost answer"}).Draw(rt, "step") {
			case "reserve":
				tb.Reserve(org, uint64(rapid.IntRange(1, 20000).Draw(rt, "tokens")), now)
			case "settle":
				part := uint64(rapid.IntRange(0, 20000).Draw(rt, "settled"))
				part = min(part, l.Reserved)
				tb.Settle(org, part, part)
			case "announce":
				tokens := uint64(rapid.IntRange(1, 30000).Draw(rt, "announced"))
				if tb.ReservePending(org, tokens) {
					tb.CancelPending(org, tokens, now)
				}
			case "lost request":
				if acked {
					tb.Sample(now)
					sample, stamp, acked = l.limit.sample, answered, false
				}
			default:
				if acked {
					tb.Sample(now)
					sample, stamp, acked = l.limit.sample, answered, false
				}
				view.counters, view.stamp = sample, stamp
				view.allotted += uint64(rapid.IntRange(0, 50000).Draw(rt, "grant"))
				view.basis = max(l.limit.basis, view.free())
				if rapid.Bool().Draw(rt, "answer arrives") {
					tb.ApplyGrant(org, view.allotted, 1<<40, 1<<40, now)
					acked, answered = true, now
				}
			}
			if sample.used() > l.Allotted {
				rt.Fatalf("step %d: a report of %d used tokens of a lease of %d", step, sample.used(), l.Allotted)
			}
			used := l.Spent + l.Reserved + l.Returned
			bound := view.counters.used() + min(view.free(), MaxUnreportedUse(view.basis, now-view.stamp))
			if used > bound {
				rt.Fatalf("step %d: used %d, control's bound %d (basis %d, %s since the stamp)", step, used, bound, view.basis, now-view.stamp)
			}
		}
	})
}
