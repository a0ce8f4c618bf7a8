// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
)

// Calls that end no target, at boxes that hear of each other late: targets crash by
// themselves, reports lose their answers, lists come late and out of order, and boxes
// are cut off.
const (
	lateTargets = 18
	lateBoxes   = 6
	lateCalls   = 30_000
	lateRate    = 100 // calls a second
	// A box sends a call to lateSends targets, and its caller asks lateTries times.
	lateSends  = 2
	lateTries  = 5
	lateFirst  = 100 * time.Millisecond
	lateStream = 2 * time.Second
	lateBack   = 3 * time.Second
	// lateReport and lateList are the times between two reports and two lists of a box,
	// lateMost the longest that a list is on its way.
	lateReport = 100 * time.Millisecond
	lateList   = 400 * time.Millisecond
	lateMost   = 800 * time.Millisecond
	// lateCut is how long a box is cut off, each lateCutEvery.
	lateCut      = 8 * time.Second
	lateCutEvery = time.Minute
	lateLost     = 0.1
)

type lateEvent struct {
	at time.Duration
	do func()
}

type lateQueue []lateEvent

func (q lateQueue) Len() int           { return len(q) }
func (q lateQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q lateQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *lateQueue) Push(x any)        { *q = append(*q, x.(lateEvent)) }
func (q *lateQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type lateWorld struct {
	*ward
	rng    *rand.Rand
	queue  lateQueue
	now    time.Duration
	next   func(after time.Duration) time.Duration
	ends   [lateTargets]time.Duration
	starts [lateTargets]int
	cuts   [lateBoxes]bool
	held   map[quarantine.Content]bool
	// refused counts tries of calls that were held back, struck those that an end struck.
	refused, struck int
}

func (w *lateWorld) after(d time.Duration, do func()) {
	heap.Push(&w.queue, lateEvent{at: w.now + d, do: do})
}

func (w *lateWorld) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func newLateWorld(t *testing.T, next func(rng *rand.Rand, after time.Duration) time.Duration) *lateWorld {
	w := &lateWorld{ward: newWard(t, lateBoxes), rng: rand.New(rand.NewSource(1)), held: map[quarantine.Content]bool{}}
	w.next = func(after time.Duration) time.Duration { return next(w.rng, after) }
	for i := range w.ends {
		w.ends[i] = w.next(0)
	}
	for b, q := range w.boxes {
		q.Report = w.reporter(b)
		w.after(time.Duration(b)*time.Millisecond, func() { w.tell(b) })
		w.after(time.Duration(b)*time.Millisecond, func() { w.list(b) })
		w.after(w.exponential(lateCutEvery), func() { w.cutOff(b) })
	}
	return w
}

func (w *lateWorld) reporter(box int) func(context.Context, *statev1.ReportCalls) error {
	return func(ctx context.Context, r *statev1.ReportCalls) error {
		if w.cuts[box] {
			return errors.New("out of reach")
		}
		if err := w.quarantine.Report(ctx, r); err != nil {
			return err
		}
		if w.rng.Float64() < lateLost {
			return errors.New("the answer was lost")
		}
		return nil
	}
}

func (w *lateWorld) tell(box int) {
	w.boxes[box].report(context.Background())
	w.after(lateReport, func() { w.tell(box) })
}

func (w *lateWorld) list(box int) {
	if !w.cuts[box] {
		r := w.listFor(box)
		w.after(time.Duration(w.rng.Int63n(int64(lateMost))), func() { w.arrive(box, r) })
	}
	w.after(lateList, func() { w.list(box) })
}

func (w *lateWorld) arrive(box int, r *betweenv1.FollowResponse) {
	if !w.cuts[box] {
		w.deliver(box, r)
	}
}

func (w *lateWorld) cutOff(box int) {
	w.cuts[box] = true
	w.after(lateCut, func() {
		w.cuts[box] = false
		w.after(w.exponential(lateCutEvery), func() { w.cutOff(box) })
	})
}

// pick returns a target that runs, -1 when there is none.
func (w *lateWorld) pick() int {
	first := w.rng.Intn(lateTargets)
	for i := range lateTargets {
		t := (first + i) % lateTargets
		for w.ends[t]+lateBack <= w.now {
			w.starts[t]++
			w.ends[t] = w.next(w.ends[t] + lateBack)
		}
		if w.ends[t] > w.now {
			return t
		}
	}
	return -1
}

// ask has a caller send a call to any box.
func (w *lateWorld) ask(c quarantine.Content, tries int) {
	w.send(c, w.boxes[w.rng.Intn(lateBoxes)], 1, tries)
}

// send has a box send a call to a target that runs.
func (w *lateWorld) send(c quarantine.Content, q *Service, sends, tries int) {
	if w.ward.held(q, c) {
		w.held[c] = true
		w.refused++
		return
	}
	again := func(pause time.Duration) {
		if tries < lateTries {
			w.after(pause, func() { w.ask(c, tries+1) })
		}
	}
	t := w.pick()
	if t < 0 {
		again(time.Second)
		return
	}
	first := w.now + w.exponential(lateFirst)
	last := first + w.exponential(lateStream)
	end, start := w.ends[t], fmt.Sprint(t, "@", w.starts[t])
	if last <= end {
		w.after(last-w.now, func() { q.Served(c) })
		return
	}
	w.struck++
	w.after(end-w.now, func() {
		q.Ended(c, start, quarantine.Weight(first > end))
		if sends < lateSends {
			w.send(c, q, sends+1, tries)
			return
		}
		again(10 * time.Millisecond)
	})
}

// play plays all calls and returns how many were held back.
func (w *lateWorld) play(popular float64) int {
	for n := range lateCalls {
		c := quarantine.Content{byte(n), byte(n >> 8), byte(n >> 16), 1}
		if w.rng.Float64() < popular {
			c = quarantine.Content{1}
		}
		w.after(time.Duration(n)*time.Second/lateRate, func() { w.ask(c, 1) })
	}
	over := lateCalls*time.Second/lateRate + time.Minute
	for w.queue.Len() > 0 && w.queue[0].at < over {
		e := heap.Pop(&w.queue).(lateEvent)
		w.clock.Advance(e.at - w.now)
		w.now = e.at
		e.do()
	}
	return len(w.held)
}

// Calls that end no target must not be held back more often since boxes keep what they
// saw until control lists it.
func TestCallsHeldBackByChanceAtBoxesThatHearLate(t *testing.T) {
	every := func(mean time.Duration) func(*rand.Rand, time.Duration) time.Duration {
		return func(rng *rand.Rand, after time.Duration) time.Duration {
			return after + time.Duration(rng.ExpFloat64()*float64(mean))
		}
	}
	together := func(period time.Duration) func(*rand.Rand, time.Duration) time.Duration {
		return func(rng *rand.Rand, after time.Duration) time.Duration {
			return after.Truncate(period) + period + time.Duration(rng.Int63n(int64(50*time.Millisecond)))
		}
	}
	cases := map[string]struct {
		next    func(*rand.Rand, time.Duration) time.Duration
		popular float64
		// most is how many of the calls may be held back.
		most int
	}{
		"each target once in 5 minutes":          {next: every(5 * time.Minute)},
		"each target once in 20 s":               {next: every(20 * time.Second)},
		"one call is a third, each in 5 minutes": {next: every(5 * time.Minute), popular: 0.3},
		"one call is a third, each in 20 s":      {next: every(20 * time.Second), popular: 0.3},
		// Ten times all targets end within 50 ms, while some calls are sent to three.
		"all targets at once, each 30 s":   {next: together(30 * time.Second), most: 400},
		"one call is a third, all at once": {next: together(30 * time.Second), popular: 0.3, most: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLateWorld(t, c.next)
			held := w.play(c.popular)
			t.Logf("%d of %d calls held back, %d tries refused, %d struck by an end", held, lateCalls, w.refused, w.struck)
			if held > c.most {
				t.Errorf("%d calls were held back by chance, want at most %d", held, c.most)
			}
		})
	}
}
