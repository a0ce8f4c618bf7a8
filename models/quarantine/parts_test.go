// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func partEnd(c Digest, target string) *statev1.EndedUnder {
	return &statev1.EndedUnder{Content: c[:], Target: target, Weight: EarlyEnd, Part: true}
}

// When a part of prompts is held back.
func TestPartsAreHeldBackByEnds(t *testing.T) {
	part := DigestOfPart("aa")
	type step struct {
		at      time.Duration
		ends    int
		success bool
	}
	tests := map[string]struct {
		steps []step
		held  bool
	}{
		"two ends":                     {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}}},
		"three ends":                   {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: 2 * time.Second, ends: 1}}, held: true},
		"many ends at the same moment": {steps: []step{{at: 0, ends: 20}}},
		"ends at three moments":        {steps: []step{{at: 0, ends: 9}, {at: 300 * time.Millisecond, ends: 9}, {at: 600 * time.Millisecond, ends: 9}}, held: true},
		"a success between the ends":   {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: 2 * time.Second, success: true}, {at: 3 * time.Second, ends: 1}}},
		"a success after three ends":   {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: 2 * time.Second, ends: 1}, {at: 3 * time.Second, success: true}}},
		"ends after a success, less than eight": {steps: []step{{at: 0, ends: 1}, {at: time.Second, success: true}, {at: 2 * time.Second, ends: 1}, {at: 3 * time.Second, ends: 1}, {at: 4 * time.Second, ends: 1},
			{at: 5 * time.Second, ends: 1}, {at: 6 * time.Second, ends: 1}, {at: 7 * time.Second, ends: 1}, {at: 8 * time.Second, ends: 1}}},
		"eight ends after a success": {steps: []step{{at: 0, ends: 1}, {at: time.Second, success: true}, {at: 2 * time.Second, ends: 1}, {at: 3 * time.Second, ends: 1}, {at: 4 * time.Second, ends: 1},
			{at: 5 * time.Second, ends: 1}, {at: 6 * time.Second, ends: 1}, {at: 7 * time.Second, ends: 1}, {at: 8 * time.Second, ends: 1}, {at: 9 * time.Second, ends: 1}}, held: true},
		"ends that are long apart": {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: time.Second + 2*suspicionPeriod, ends: 1}}},
		"a trial after the hold":   {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: 2 * time.Second, ends: 1}, {at: time.Minute + holdPeriods[0]}}},
		"an end in the trial":      {steps: []step{{at: 0, ends: 1}, {at: time.Second, ends: 1}, {at: 2 * time.Second, ends: 1}, {at: time.Minute + holdPeriods[0], ends: 1}}, held: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb, n := NewTable(), 0
			for _, s := range test.steps {
				r := &statev1.ReportCalls{At: s.at.Milliseconds() + 1}
				for range s.ends {
					n++
					r.Ended = append(r.Ended, partEnd(part, fmt.Sprint("t", n)))
				}
				if s.success {
					r.Served = [][]byte{part[:]}
				}
				tb.Apply(r)
				// A snapshot must not change what follows.
				snapshot := &statev1.Snapshot{}
				tb.Snapshot(snapshot)
				tb = Load(snapshot)
			}
			if got := tb.Row(part).GetHeld(); got != test.held {
				t.Errorf("held %v, want %v", got, test.held)
			}
		})
	}
}

// Different parts, and calls, have different digests.
func TestDigestsOfPartsDiffer(t *testing.T) {
	seen := map[Digest]string{}
	for name, d := range map[string]Digest{
		"part": DigestOfPart("aa"), "other part": DigestOfPart("ab"), "longer part": DigestOfPart("aaa"), "shorter part": DigestOfPart("a"),
		"call": DigestOf("s", "aa", "", nil), "call without fields": DigestOf("", "", "", []byte("aa")), "call like a part": DigestOf("", "", "", []byte(partLabel+"aa")),
	} {
		if other, twice := seen[d]; twice {
			t.Errorf("%s and %s have the same digest", name, other)
		}
		seen[d] = name
	}
}

// Parts are forgotten after partMemory, and control is told once of each success.
func TestPartSuccesses(t *testing.T) {
	var p PartSuccesses
	c := DigestOfPart("aa")
	if p.IsRecent(c, 0) || p.TakeUnreported(c, 0) {
		t.Error("a part without success is known")
	}
	p.Add(c, time.Second, false)
	if !p.IsRecent(c, 2*time.Second) || p.IsRecent(c, time.Second+recentSuccess) {
		t.Error("a success is recent for another time than recentSuccess")
	}
	if p.TakeUnreported(c, time.Second+partMemory) || !p.TakeUnreported(c, time.Minute) || p.TakeUnreported(c, time.Minute) {
		t.Error("a success is not reported once within partMemory")
	}
	for n := range 3 * partGeneration {
		p.Add(DigestOfPart(fmt.Sprint(n)), time.Minute, false)
	}
	if len(p.newer)+len(p.older) > 2*partGeneration {
		t.Errorf("%d parts are remembered", len(p.newer)+len(p.older))
	}
}

// The simulation below measures which parts are held back while targets crash by themselves or under a
// fatal part. Prompts have a part of their organisation, one of a session, and sometimes the
// fatal one. Sessions come and go, and some are much more used than others.
const (
	partCalls     = 100_000
	partSessions  = 400
	sessionLength = 20 * time.Second
	// partReportDelay is the time until control has counted an end.
	partReportDelay = 150 * time.Millisecond
)

type partSimulation struct {
	*chanceSimulation
	successes [chanceBoxes]PartSuccesses
	fatal     Digest
	// fatalEnds counts the targets that the fatal part has crashed.
	fatalEnds int
}

type partCall struct {
	chanceCall
	parts []Digest
	fatal bool
}

type partQueue []partCall

func (q partQueue) Len() int           { return len(q) }
func (q partQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q partQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *partQueue) Push(x any)        { *q = append(*q, x.(partCall)) }
func (q *partQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run simulates the calls and returns the sound parts that were held back. fatalShare is the share of
// calls with the fatal part.
func (w *partSimulation) run(fatalShare float64) map[Digest]bool {
	queue := &partQueue{}
	for n := range partCalls {
		at := time.Duration(n) * time.Second / chanceRate
		session := int(math.Pow(w.rng.Float64(), 3) * partSessions)
		call := partCall{chanceCall: chanceCall{at: at}, parts: []Digest{
			DigestOfPart(fmt.Sprint("organisation ", w.rng.Intn(10))),
			DigestOfPart(fmt.Sprint("session ", session, " ", at/sessionLength)),
		}}
		if w.rng.Float64() < fatalShare {
			call.fatal, call.parts = true, append(call.parts, w.fatal)
		}
		heap.Push(queue, call)
	}
	for t := range w.ends {
		w.ends[t] = w.nextCrash(w.rng, t, 0)
	}
	held := map[Digest]bool{}
	for queue.Len() > 0 {
		call := heap.Pop(queue).(partCall)
		if !w.refuse(call, held) {
			w.attemptParts(queue, call)
		}
	}
	return held
}

// refuse reports whether a part of a call is held back, and records sound ones.
func (w *partSimulation) refuse(call partCall, held map[Digest]bool) (refused bool) {
	for _, c := range call.parts {
		if w.tb.Row(c).GetHeld() {
			refused = true
			if c != w.fatal {
				held[c] = true
			}
		}
	}
	return refused
}

func (w *partSimulation) attemptParts(queue *partQueue, call partCall) {
	t := w.runningTarget(call.at)
	if t < 0 {
		if call.attempts++; call.attempts < chanceAttempts {
			call.at += time.Second
			heap.Push(queue, call)
		}
		return
	}
	box := &w.successes[w.rng.Intn(chanceBoxes)]
	first := call.at + w.exponential(chanceFirstEvent)
	if call.fatal && first < w.ends[t] {
		w.ends[t] = first
		w.fatalEnds++
	} else if first <= w.ends[t] {
		for _, c := range call.parts {
			if w.tb.listed[c] != nil {
				w.tb.Apply(successReport(first, c))
			}
			box.Add(c, first, w.tb.listed[c] != nil)
		}
		return
	}
	end := w.ends[t]
	for _, c := range call.parts {
		if box.IsRecent(c, end) {
			continue
		}
		w.tb.Apply(endReport(end+partReportDelay, partEnd(c, fmt.Sprint(t, "@", w.starts[t]))))
		w.reportPartSuccesses(c, end+partReportDelay)
	}
	if call.attempts++; call.attempts < chanceAttempts {
		call.at = end + partReportDelay
		heap.Push(queue, call)
	}
}

// reportPartSuccesses reports the successes of a listed part that boxes remember.
func (w *partSimulation) reportPartSuccesses(c Digest, at time.Duration) {
	for i := range w.successes {
		if w.tb.listed[c] != nil && w.successes[i].TakeUnreported(c, at) {
			w.tb.Apply(successReport(at, c))
		}
	}
}

// Guards against sound parts being blamed for targets that crash by themselves, or under another part.
func TestSoundPartsAreNotHeldBack(t *testing.T) {
	every := func(mean time.Duration) crashSchedule {
		return func(rng *rand.Rand, _ int, after time.Duration) time.Duration {
			return after + time.Duration(rng.ExpFloat64()*float64(mean))
		}
	}
	together := func(rng *rand.Rand, _ int, after time.Duration) time.Duration {
		return after.Truncate(30*time.Second) + 30*time.Second + time.Duration(rng.Int63n(int64(50*time.Millisecond)))
	}
	tests := map[string]struct {
		crashes    crashSchedule
		fatalShare float64
	}{
		"each target every 20 s":                        {crashes: every(20 * time.Second)},
		"all targets every 30 s":                        {crashes: together},
		"a fatal part, targets crash once in 5 minutes": {crashes: every(5 * time.Minute), fatalShare: 0.03},
		"a fatal part in a third of all prompts":        {crashes: every(5 * time.Minute), fatalShare: 0.3},
		"a fatal part, all targets every 30 s":          {crashes: together, fatalShare: 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &partSimulation{chanceSimulation: &chanceSimulation{rng: rand.New(rand.NewSource(1)), nextCrash: test.crashes, tb: NewTable()}, fatal: DigestOfPart("fatal")}
			held := w.run(test.fatalShare)
			t.Logf("%d sound parts held back, %d targets crashed under the fatal part", len(held), w.fatalEnds)
			if len(held) > 0 {
				t.Errorf("%d sound parts were held back", len(held))
			}
			if test.fatalShare > 0 && (w.fatalEnds > chanceTargets || !w.tb.Row(w.fatal).GetHeld()) {
				t.Errorf("%d targets crashed under the fatal part, held back: %v", w.fatalEnds, w.tb.Row(w.fatal).GetHeld())
			}
		})
	}
}
