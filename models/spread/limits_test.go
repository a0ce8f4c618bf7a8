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

// limitsStart is a moment at which a window begins.
const limitsStart = 1000 * time.Second

// newLimitedTable returns the table of the first of some boxes, with targets that have
// named a limit.
func newLimitedTable(boxes, targets int, perSecond float64) *Table {
	tb := NewTable("dc")
	var names []string
	for n := range boxes {
		names = append(names, fmt.Sprint("box-", n))
	}
	tb.SetFleet(rate.NewFleet("box-0", names, 0))
	for n := range targets {
		tb.Put(&statev1.RegisteredTarget{Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "dc", State: statev1.RegisteredTarget_STATE_READY})
	}
	for _, t := range tb.services["s"] {
		if perSecond != rate.None {
			tb.Heard(t, rate.Statement{Limit: perSecond, Received: limitsStart - time.Minute})
		}
	}
	return tb
}

// send places a call and sends it, if there is a target.
func send(tb *Table, need Need, now time.Duration) (Choice, bool) {
	c := tb.Choose(need, now)
	return c, c.Target != nil && tb.Take(c.Target, false, now)
}

// While the targets of a service take less than comes, those that are most urgent have
// the first half of each window, and what they leave goes to the others.
func TestUrgentCallsComeFirst(t *testing.T) {
	tb := newLimitedTable(1, 1, 4)
	urgent, later := Need{Service: "s", Rank: 1}, Need{Service: "s", Rank: 4}
	for n := range 2 {
		if _, ok := send(tb, later, limitsStart); !ok {
			t.Fatalf("call %d was not sent, though nobody more urgent lacks anything", n)
		}
	}
	if c, ok := send(tb, urgent, limitsStart); ok || c.Limited != 1 || c.Want.Wait != 0 {
		t.Fatalf("a third call in the window: %+v", c)
	}
	next := limitsStart + 500*time.Millisecond
	if _, ok := send(tb, later, next); ok {
		t.Fatal("a less urgent call came first")
	}
	if _, ok := send(tb, urgent, next); !ok {
		t.Fatal("the urgent call was not sent")
	}
	if _, ok := send(tb, later, next+250*time.Millisecond); !ok {
		t.Fatal("what the urgent calls left was not used")
	}
	if _, ok := send(tb, later, next+3*time.Second); !ok {
		t.Fatal("calls were held back long after an urgent one was refused")
	}
}

// A call waits for the next window only while that has room for all that wait.
func TestCallsWaitForRoomThatIsThere(t *testing.T) {
	tb := newLimitedTable(1, 2, 4)
	need := Need{Service: "s", Patience: 600 * time.Millisecond}
	for range 4 {
		if _, ok := send(tb, need, limitsStart); !ok {
			t.Fatal("not sent")
		}
	}
	now := limitsStart + 100*time.Millisecond
	waiting, refused := 0, 0
	for range 6 {
		c, _ := send(tb, need, now)
		switch {
		case c.Want.Wait == 400*time.Millisecond:
			waiting++
		case c.Want.Earliest > 0 && c.Want.Spread >= comeBackLeast:
			refused++
		}
	}
	if waiting != 4 || refused != 2 {
		t.Fatalf("%d wait, %d are refused", waiting, refused)
	}
	for range waiting {
		tb.Waited("s")
		if _, ok := send(tb, need, limitsStart+500*time.Millisecond); !ok {
			t.Fatal("a call that waited was not sent")
		}
	}
	impatient := Need{Service: "s", Patience: 100 * time.Millisecond}
	if c, _ := send(tb, impatient, limitsStart+600*time.Millisecond); c.Want.Wait != 0 {
		t.Fatal("a call waits for longer than it may")
	}
}

// The time to come back grows with what was refused, and is bounded.
func TestComingBackIsSpread(t *testing.T) {
	tb := newLimitedTable(6, 1, 1)
	now := limitsStart
	var last time.Duration
	for n := range 60 {
		c, _ := send(tb, Need{Service: "s", Boxes: 6}, now)
		if c.Target != nil {
			continue
		}
		if c.Want.Spread < last || c.Want.Spread > comeBackMost || c.Want.Earliest <= 0 {
			t.Fatalf("refusal %d: %+v after %s", n, c.Want, last)
		}
		last = c.Want.Spread
	}
	if last != comeBackMost {
		t.Fatalf("spread over %s", last)
	}
}

// Targets with limits read no long prompts apart: questions to them would use up what
// they take, and which targets read would change from window to window.
func TestLimitedTargetsDoNotReadApart(t *testing.T) {
	tb := newLimitedTable(1, 6, rate.None)
	r := tb.readsOf("s")
	r.perToken, r.suffers = float64(time.Millisecond), true
	tb.SetFleetReading("s", 10*time.Second, limitsStart)
	need := Need{Service: "s", Tokens: 4000, Pause: 100 * time.Millisecond}
	first := tb.Choose(need, limitsStart)
	if !first.Apart || len(first.Readers) != 2 {
		t.Fatalf("%+v", first)
	}
	for _, reader := range first.Readers {
		tb.Heard(reader, rate.Statement{Limit: 5, Received: limitsStart})
	}
	for _, reader := range tb.Choose(need, limitsStart).Readers {
		if tb.Limited(reader, limitsStart) {
			t.Fatalf("%s has a limit and is asked to read", reader.ID)
		}
	}
}

// What a target named holds for that start of it alone.
func TestALimitIsOfOneStart(t *testing.T) {
	tb := newLimitedTable(1, 1, 1)
	row := &statev1.RegisteredTarget{Id: "t0", Service: "s", Address: "10.0.0.1:0", DataCentre: "dc", State: statev1.RegisteredTarget_STATE_READY, Born: 7}
	tb.Put(row)
	if fresh := tb.services["s"][0]; tb.Limited(fresh, limitsStart) {
		t.Fatal("another start has the limit")
	}
	if tg, _ := tb.Learned("t0", 0, "s", rate.Statement{Limit: 1, Received: limitsStart}); tg != nil {
		t.Fatal("a limit of the earlier start was taken for the later one's")
	}
	if tg, _ := tb.Learned("t0", 7, "other", rate.Statement{Limit: 1, Received: limitsStart}); tg != nil {
		t.Fatal("a limit of another service's target with the same id was taken")
	}
}

// A target whose limit has ended is used again step by step.
func TestALimitThatEndsIsLeftStepByStep(t *testing.T) {
	tb := newLimitedTable(1, 1, 2)
	tg := tb.services["s"][0]
	tb.Heard(tg, rate.Statement{Limit: rate.None, Sent: limitsStart, Received: limitsStart})
	for after, want := range map[time.Duration]float64{0: 2, time.Second: 4, 3*time.Second + 1: 16, 8 * time.Second: rate.None} {
		if after == 8*time.Second {
			continue
		}
		if got := tb.LimitOf(tg, limitsStart+after); got != want {
			t.Errorf("after %s: %v a second, want %v", after, got, want)
		}
	}
	if got := tb.LimitOf(tg, limitsStart+8*time.Second); got != rate.None {
		t.Errorf("after 8 s: %v a second", got)
	}
}

// What the choice of a target costs with and without limits: 264 targets of a service
// are those of one model at the size that is aimed at.
func BenchmarkChooseLimited(b *testing.B) {
	for _, c := range []struct {
		targets, boxes int
		limit          float64
	}{{18, 6, rate.None}, {18, 6, 1}, {264, 360, rate.None}, {264, 360, 1}} {
		b.Run(fmt.Sprintf("%d targets, %d boxes, limit %g", c.targets, c.boxes, c.limit), func(b *testing.B) {
			tb := newLimitedTable(c.boxes, c.targets, c.limit)
			now := limitsStart
			for b.Loop() {
				// 5 calls a second of one box.
				now += 200 * time.Millisecond
				send(tb, Need{Service: "s", Affinity: 7, Boxes: c.boxes}, now)
			}
		})
	}
}
