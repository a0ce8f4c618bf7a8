// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
)

// limitsStart is the beginning of a window.
const limitsStart = 1000 * time.Second

// newLimitedTable returns the table of the first of the boxes, with targets that have
// stated a limit (none if perSecond is rate.Unlimited).
func newLimitedTable(boxes, targets int, perSecond float64) *Table {
	tb := NewTable("dc")
	var names []string
	for n := range boxes {
		names = append(names, fmt.Sprint("box-", n))
	}
	tb.SetFleet(rate.NewFleet("box-0", names, 0))
	for n := range targets {
		tb.Put(&statev1.RegisteredTarget{Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "dc", State: statev1.RegisteredTarget_STATE_READY}, 0)
	}
	for _, t := range tb.services["s"] {
		if perSecond != rate.Unlimited {
			tb.RecordStatement(t, rate.Statement{Limit: perSecond, Received: limitsStart - time.Minute})
		}
	}
	return tb
}

// send chooses a target for a call and counts the request, and reports whether it may
// be sent.
func send(tb *Table, criteria Criteria, now time.Duration) (Choice, bool) {
	c := tb.Choose(criteria, now)
	return c, c.Target != nil && tb.AcquireSend(c.Target, false, now)
}

// While the limits of a service's targets are used up, the most urgent calls have the
// first half of each window to themselves, and other calls get what is left.
func TestUrgentCallsComeFirst(t *testing.T) {
	tb := newLimitedTable(1, 1, 4)
	urgent, later := Criteria{Service: "s", Rank: 1}, Criteria{Service: "s", Rank: 4}
	for n := range 2 {
		if _, ok := send(tb, later, limitsStart); !ok {
			t.Fatalf("call %d was not sent, though no more urgent call was refused", n)
		}
	}
	if c, ok := send(tb, urgent, limitsStart); ok || c.LimitedTargets != 1 || c.Backoff.Wait != 0 {
		t.Fatalf("third call in the window was not refused: %+v", c)
	}
	next := limitsStart + 500*time.Millisecond
	if _, ok := send(tb, later, next); ok {
		t.Fatal("less urgent call was sent in the first half of the window")
	}
	if _, ok := send(tb, urgent, next); !ok {
		t.Fatal("urgent call was not sent")
	}
	if _, ok := send(tb, later, next+250*time.Millisecond); !ok {
		t.Fatal("less urgent call was not sent in the second half of the window")
	}
	if _, ok := send(tb, later, next+3*time.Second); !ok {
		t.Fatal("less urgent call was not sent long after an urgent one was refused")
	}
}

// A call waits for the next window only if that has a place for it beside the calls
// that are already waiting.
func TestCallsWaitOnlyForFreeShares(t *testing.T) {
	tb := newLimitedTable(1, 2, 4)
	criteria := Criteria{Service: "s", MaxWait: 600 * time.Millisecond}
	for range 4 {
		if _, ok := send(tb, criteria, limitsStart); !ok {
			t.Fatal("call within the limit was not sent")
		}
	}
	now := limitsStart + 100*time.Millisecond
	waiting, refused := 0, 0
	for range 6 {
		c, _ := send(tb, criteria, now)
		switch {
		case c.Backoff.Wait == 400*time.Millisecond:
			waiting++
		case c.Backoff.RetryAfter > 0 && c.Backoff.RetrySpread >= minRetrySpread:
			refused++
		}
	}
	if waiting != 4 || refused != 2 {
		t.Fatalf("%d calls wait and %d are refused, want 4 and 2", waiting, refused)
	}
	for range waiting {
		tb.EndWait("s")
		if _, ok := send(tb, criteria, limitsStart+500*time.Millisecond); !ok {
			t.Fatal("call was not sent after its wait")
		}
	}
	impatient := Criteria{Service: "s", MaxWait: 100 * time.Millisecond}
	if c, _ := send(tb, impatient, limitsStart+600*time.Millisecond); c.Backoff.Wait != 0 {
		t.Fatal("call waits longer than its MaxWait")
	}
}

// The time over which retries are spread grows with the number of refused calls, up to
// a bound.
func TestRetriesAreSpread(t *testing.T) {
	tb := newLimitedTable(6, 1, 1)
	now := limitsStart
	var last time.Duration
	for n := range 60 {
		c, _ := send(tb, Criteria{Service: "s", Boxes: 6}, now)
		if c.Target != nil {
			continue
		}
		if c.Backoff.RetrySpread < last || c.Backoff.RetrySpread > maxRetrySpread || c.Backoff.RetryAfter <= 0 {
			t.Fatalf("refusal %d: %+v, previous spread %s", n, c.Backoff, last)
		}
		last = c.Backoff.RetrySpread
	}
	if last != maxRetrySpread {
		t.Fatalf("spread is %s after 60 calls, want the maximum", last)
	}
}

// Targets with limits are not dedicated to long prompts: querying their queues would
// use up the limits, and the set of dedicated targets would change from window to
// window.
func TestLimitedTargetsAreNotDedicated(t *testing.T) {
	tb := newLimitedTable(1, 6, rate.Unlimited)
	r := tb.prefillOf("s")
	r.perToken, r.needsDedicated = float64(time.Millisecond), true
	tb.SetFleetPrefillLoad("s", 10*time.Second, limitsStart)
	criteria := Criteria{Service: "s", UnsharedTokens: 4000, MaxPause: 100 * time.Millisecond}
	first := tb.Choose(criteria, limitsStart)
	if !first.IsDedicated || len(first.Dedicated) != 2 {
		t.Fatalf("long prompt was placed as %+v", first)
	}
	for _, tg := range first.Dedicated {
		tb.RecordStatement(tg, rate.Statement{Limit: 5, Received: limitsStart})
	}
	for _, tg := range tb.Choose(criteria, limitsStart).Dedicated {
		if tb.HasLimit(tg, limitsStart) {
			t.Fatalf("%s has a limit and is dedicated to long prompts", tg.ID)
		}
	}
}

// A limit applies only to the start of a target that has stated it.
func TestLimitAppliesToOneStart(t *testing.T) {
	tb := newLimitedTable(1, 1, 1)
	row := &statev1.RegisteredTarget{Id: "t0", Service: "s", Address: "10.0.0.1:0", DataCentre: "dc", State: statev1.RegisteredTarget_STATE_READY, Born: 7}
	tb.Put(row, 0)
	if fresh := tb.services["s"][0]; tb.HasLimit(fresh, limitsStart) {
		t.Fatal("restarted target has the limit of the earlier start")
	}
	if tg, _ := tb.RecordPeerStatement("t0", 0, "s", rate.Statement{Limit: 1, Received: limitsStart}); tg != nil {
		t.Fatal("limit of the earlier start was applied to the later one")
	}
	if tg, _ := tb.RecordPeerStatement("t0", 7, "other", rate.Statement{Limit: 1, Received: limitsStart}); tg != nil {
		t.Fatal("limit was applied to a target of another service with the same id")
	}
}

// After the end of a limit the rate to the target is raised step by step.
func TestRateRisesInStepsAfterLimitEnds(t *testing.T) {
	tb := newLimitedTable(1, 1, 2)
	tg := tb.services["s"][0]
	tb.RecordStatement(tg, rate.Statement{Limit: rate.Unlimited, Sent: limitsStart, Received: limitsStart})
	for after, want := range map[time.Duration]float64{0: 2, time.Second: 4, 3*time.Second + 1: 16, 8 * time.Second: rate.Unlimited} {
		if after == 8*time.Second {
			continue
		}
		if got := tb.CurrentLimit(tg, limitsStart+after); got != want {
			t.Errorf("limit after %s is %v a second, want %v", after, got, want)
		}
	}
	if got := tb.CurrentLimit(tg, limitsStart+8*time.Second); got != rate.Unlimited {
		t.Errorf("limit after 8 s is %v a second, want none", got)
	}
}

// BenchmarkChooseLimited measures Choose with and without limits. 264 targets of a
// service are those of one model at the intended size of the fleet.
func BenchmarkChooseLimited(b *testing.B) {
	for _, c := range []struct {
		targets, boxes int
		limit          float64
	}{{18, 6, rate.Unlimited}, {18, 6, 1}, {264, 360, rate.Unlimited}, {264, 360, 1}} {
		b.Run(fmt.Sprintf("%d targets, %d boxes, limit %g", c.targets, c.boxes, c.limit), func(b *testing.B) {
			tb := newLimitedTable(c.boxes, c.targets, c.limit)
			now := limitsStart
			for b.Loop() {
				// One box sends 5 calls a second.
				now += 200 * time.Millisecond
				send(tb, Criteria{Service: "s", Affinity: 7, Boxes: c.boxes}, now)
			}
		})
	}
}
