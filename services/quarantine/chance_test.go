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

// The simulation in this file sends calls that end no target to boxes that learn of each
// other's reports late: targets crash by themselves, answers to reports are lost, lists
// arrive late and out of order, and boxes are cut off.
const (
	lateTargets = 18
	lateBoxes   = 6
	lateCalls   = 30_000
	lateRate    = 100 // calls a second
	// A box sends a call to up to lateSends targets, and its caller makes up to lateAttempts
	// attempts.
	lateSends      = 2
	lateAttempts   = 5
	lateFirstEvent = 100 * time.Millisecond
	lateStream     = 2 * time.Second
	lateRestart    = 3 * time.Second
	// lateReport and lateList are the intervals of a box's reports and lists, and lateMaxDelay
	// is the longest delay of a list.
	lateReport   = 100 * time.Millisecond
	lateList     = 400 * time.Millisecond
	lateMaxDelay = 800 * time.Millisecond
	// lateCut is how long a box is cut off each time, and lateCutEvery the mean time
	// between two cuts. lateLossRate is the share of reports whose answer is lost.
	lateCut      = 8 * time.Second
	lateCutEvery = time.Minute
	lateLossRate = 0.1
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

type lateSimulation struct {
	*testCluster
	rng       *rand.Rand
	queue     lateQueue
	now       time.Duration
	nextCrash func(after time.Duration) time.Duration
	ends      [lateTargets]time.Duration
	starts    [lateTargets]int
	isCutOff  [lateBoxes]bool
	isHeld    map[quarantine.Digest]bool
	// refused counts the attempts of calls that were held back, interrupted those during which
	// a target ended.
	refused, interrupted int
}

func (w *lateSimulation) after(d time.Duration, do func()) {
	heap.Push(&w.queue, lateEvent{at: w.now + d, do: do})
}

func (w *lateSimulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func newLateSimulation(t *testing.T, next func(rng *rand.Rand, after time.Duration) time.Duration) *lateSimulation {
	w := &lateSimulation{testCluster: newTestCluster(t, lateBoxes), rng: rand.New(rand.NewSource(1)), isHeld: map[quarantine.Digest]bool{}}
	w.nextCrash = func(after time.Duration) time.Duration { return next(w.rng, after) }
	for i := range w.ends {
		w.ends[i] = w.nextCrash(0)
	}
	for b, q := range w.boxes {
		q.Report = w.reporter(b)
		w.after(time.Duration(b)*time.Millisecond, func() { w.reportPeriodically(b) })
		w.after(time.Duration(b)*time.Millisecond, func() { w.listPeriodically(b) })
		w.after(w.exponential(lateCutEvery), func() { w.cutOff(b) })
	}
	return w
}

func (w *lateSimulation) reporter(box int) func(context.Context, *statev1.ReportCalls) error {
	return func(ctx context.Context, r *statev1.ReportCalls) error {
		if w.isCutOff[box] {
			return errors.New("control is unreachable")
		}
		if err := w.quarantine.Report(ctx, r); err != nil {
			return err
		}
		if w.rng.Float64() < lateLossRate {
			return errors.New("the answer is lost")
		}
		return nil
	}
}

func (w *lateSimulation) reportPeriodically(box int) {
	w.boxes[box].report(context.Background())
	w.after(lateReport, func() { w.reportPeriodically(box) })
}

func (w *lateSimulation) listPeriodically(box int) {
	if !w.isCutOff[box] {
		r := w.listFor(box)
		w.after(time.Duration(w.rng.Int63n(int64(lateMaxDelay))), func() { w.receiveList(box, r) })
	}
	w.after(lateList, func() { w.listPeriodically(box) })
}

func (w *lateSimulation) receiveList(box int, r *betweenv1.FollowResponse) {
	if !w.isCutOff[box] {
		w.deliver(box, r)
	}
}

func (w *lateSimulation) cutOff(box int) {
	w.isCutOff[box] = true
	w.after(lateCut, func() {
		w.isCutOff[box] = false
		w.after(w.exponential(lateCutEvery), func() { w.cutOff(box) })
	})
}

// runningTarget returns a running target, -1 if there is none.
func (w *lateSimulation) runningTarget() int {
	first := w.rng.Intn(lateTargets)
	for i := range lateTargets {
		t := (first + i) % lateTargets
		for w.ends[t]+lateRestart <= w.now {
			w.starts[t]++
			w.ends[t] = w.nextCrash(w.ends[t] + lateRestart)
		}
		if w.ends[t] > w.now {
			return t
		}
	}
	return -1
}

// sendFromCaller has a caller send a call to a random box.
func (w *lateSimulation) sendFromCaller(c quarantine.Digest, attempts int) {
	w.send(c, w.boxes[w.rng.Intn(lateBoxes)], 1, attempts)
}

// send has a box send a call to a running target.
func (w *lateSimulation) send(c quarantine.Digest, q *Service, sends, attempts int) {
	if w.testCluster.isHeld(q, c) {
		w.isHeld[c] = true
		w.refused++
		return
	}
	retry := func(pause time.Duration) {
		if attempts < lateAttempts {
			w.after(pause, func() { w.sendFromCaller(c, attempts+1) })
		}
	}
	t := w.runningTarget()
	if t < 0 {
		retry(time.Second)
		return
	}
	first := w.now + w.exponential(lateFirstEvent)
	last := first + w.exponential(lateStream)
	end, start := w.ends[t], fmt.Sprint(t, "@", w.starts[t])
	if last <= end {
		w.after(last-w.now, func() { q.RecordSuccess(c) })
		return
	}
	w.interrupted++
	w.after(end-w.now, func() {
		q.RecordEnd(c, start, quarantine.Weight(first > end))
		if sends < lateSends {
			w.send(c, q, sends+1, attempts)
			return
		}
		retry(10 * time.Millisecond)
	})
}

// run simulates all calls and returns how many were held back. popularShare is the share
// of calls with the same content.
func (w *lateSimulation) run(popularShare float64) int {
	for n := range lateCalls {
		c := quarantine.Digest{byte(n), byte(n >> 8), byte(n >> 16), 1}
		if w.rng.Float64() < popularShare {
			c = quarantine.Digest{1}
		}
		w.after(time.Duration(n)*time.Second/lateRate, func() { w.sendFromCaller(c, 1) })
	}
	end := lateCalls*time.Second/lateRate + time.Minute
	for w.queue.Len() > 0 && w.queue[0].at < end {
		e := heap.Pop(&w.queue).(lateEvent)
		w.clock.Advance(e.at - w.now)
		w.now = e.at
		e.do()
	}
	return len(w.isHeld)
}

// Calls that end no target must not be held back more often because boxes keep their own
// ends until control lists these.
func TestCallsHeldBackByChanceWithDelayedLists(t *testing.T) {
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
		// maxHeld is how many of the calls may be held back.
		maxHeld int
	}{
		"each target every 5 minutes":        {next: every(5 * time.Minute)},
		"each target every 20 s":             {next: every(20 * time.Second)},
		"popular call, each every 5 minutes": {next: every(5 * time.Minute), popular: 0.3},
		"popular call, each every 20 s":      {next: every(20 * time.Second), popular: 0.3},
		// All targets end within 50 ms, 10 times, while some calls are sent to three.
		"all targets every 30 s":               {next: together(30 * time.Second), maxHeld: 400},
		"popular call, all targets every 30 s": {next: together(30 * time.Second), popular: 0.3, maxHeld: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newLateSimulation(t, c.next)
			held := w.run(c.popular)
			t.Logf("%d of %d calls held back, %d attempts refused, a target ended during %d attempts", held, lateCalls, w.refused, w.interrupted)
			if held > c.maxHeld {
				t.Errorf("%d calls were held back by chance, want at most %d", held, c.maxHeld)
			}
		})
	}
}
