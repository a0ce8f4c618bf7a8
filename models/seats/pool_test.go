// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seats

import (
	"math/rand"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/tests/seeded"
)

// heldLong is a time since when a pool has been held that lets it grant seats at once.
const heldLong = -time.Hour

func newPool(targets ...Target) *Pool {
	p := &Pool{}
	p.SetTargets(targets)
	return p
}

func TestJoin(t *testing.T) {
	two := []Target{{Start: "a", Slots: 4, HeldSince: heldLong}, {Start: "b", Slots: 2, HeldSince: heldLong}}
	tests := map[string]struct {
		targets []Target
		// taken are the targets at which seats are taken before.
		taken    []string
		exclude  []string
		isHalved bool
		wait     time.Duration
		want     string
		refused  bool
	}{
		"the target with the most free seats":     {targets: two, want: "a"},
		"the other one if the first is excluded":  {targets: two, exclude: []string{"a"}, want: "b"},
		"the next one with more room":             {targets: two, taken: []string{"a", "a", "a"}, want: "b"},
		"none is free, and the call can't wait":   {targets: two, taken: []string{"a", "a", "a", "b"}, refused: true},
		"none is free, and the call waits":        {targets: two, taken: []string{"a", "a", "a", "b"}, wait: time.Second},
		"no target that may have the call":        {targets: two, exclude: []string{"a", "b"}, wait: time.Second, refused: true},
		"no target at all":                        {wait: time.Second, refused: true},
		"another box grants half of the seats":    {targets: two, taken: []string{"a", "b"}, isHalved: true, refused: true},
		"a pool that has just been taken over":    {targets: []Target{{Start: "a", Slots: 4, HeldSince: 0}}, refused: true},
		"a target with one slot":                  {targets: []Target{{Start: "a", Slots: 1, HeldSince: heldLong}}, want: "a"},
		"a call that runs already takes its seat": {targets: []Target{{Start: "a", Slots: 1, HeldSince: heldLong}}, taken: []string{"a"}, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(test.targets...)
			p.IsHalved = test.isHalved
			for _, start := range test.taken {
				p.Attach(start)
			}
			w, refusal := p.Join(test.exclude, test.wait, 0)
			if (w == nil) != test.refused {
				t.Fatalf("refused: %v, want %v", w == nil, test.refused)
			}
			if w != nil && w.Target != test.want {
				t.Errorf("got a seat at %q, want %q", w.Target, test.want)
			}
			if w == nil && refusal.RetrySpread <= 0 {
				t.Error("the refusal tells no time to come back")
			}
		})
	}
}

// Guards against seats that are given to another call while their target may still be running one.
func TestRelease(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		held    time.Duration
		// ended are the times of calls that have ended before.
		ended []time.Duration
		// freeAfter is when the seat may be granted again.
		freeAfter time.Duration
	}{
		"done":                                   {outcome: Done, held: 50 * time.Millisecond},
		"unused":                                 {outcome: Unused},
		"rejected":                               {outcome: Rejected, held: time.Millisecond},
		"abandoned before any call has ended":    {outcome: Abandoned, held: 100 * time.Millisecond, freeAfter: 400 * time.Millisecond},
		"abandoned while calls are short":        {outcome: Abandoned, held: 100 * time.Millisecond, ended: []time.Duration{20 * time.Millisecond}, freeAfter: 400 * time.Millisecond},
		"abandoned while calls may be long":      {outcome: Abandoned, held: 100 * time.Millisecond, ended: []time.Duration{time.Second}, freeAfter: 900 * time.Millisecond},
		"abandoned while calls may be very long": {outcome: Abandoned, held: 0, ended: []time.Duration{time.Minute}, freeAfter: maxLinger},
		"abandoned after the longest time":       {outcome: Abandoned, held: 2 * time.Second, ended: []time.Duration{time.Second}, freeAfter: minLinger},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(Target{Start: "a", Slots: 1, HeldSince: heldLong})
			for _, held := range test.ended {
				p.recordHold(held, 0)
			}
			p.Attach("a")
			p.Release("a", test.outcome, test.held, 0)
			if before := test.freeAfter - time.Millisecond; before > 0 {
				if w, _ := p.Join(nil, 0, before); w != nil {
					t.Errorf("the seat was granted again after %s", before)
				}
			}
			if w, _ := p.Join(nil, 0, test.freeAfter+time.Millisecond); w == nil {
				t.Errorf("the seat was not granted again after %s", test.freeAfter)
			}
		})
	}
}

// Random calls: no target ever has more calls with a seat than room, and calls get their seats in order.
func TestRandomPools(t *testing.T) {
	for seed := range seeded.Schedules(t, 200) {
		rng := rand.New(rand.NewSource(int64(seed)))
		var targets []Target
		for i := range 1 + rng.Intn(4) {
			targets = append(targets, Target{Start: string(rune('a' + i)), Slots: 1 + rng.Intn(8), HeldSince: heldLong})
		}
		playPool(t, seed, newPool(targets...), rng)
	}
}

func playPool(t *testing.T, seed int, p *Pool, rng *rand.Rand) {
	t.Helper()
	type call struct {
		start string
		since time.Duration
	}
	var running []call
	var waiting []*Waiter
	now := time.Duration(0)
	for range 400 {
		now += time.Duration(rng.Intn(20)) * time.Millisecond
		switch rng.Intn(3) {
		case 0:
			if w, _ := p.Join(nil, time.Duration(rng.Intn(2))*time.Second, now); w != nil && w.Target != "" {
				running = append(running, call{w.Target, now})
			} else if w != nil {
				waiting = append(waiting, w)
			}
		case 1:
			if len(running) > 0 {
				i := rng.Intn(len(running))
				p.Release(running[i].start, Outcome(rng.Intn(4)), now-running[i].since, now)
				running = append(running[:i], running[i+1:]...)
			}
		case 2:
			if len(waiting) > 0 && rng.Intn(4) == 0 {
				p.Refuse(waiting[0], now)
				waiting = waiting[1:]
			}
		}
		for _, w := range p.Grant(now) {
			if w != waiting[0] {
				t.Fatalf("seed %d: a call got its seat before one that has waited longer", seed)
			}
			waiting = waiting[1:]
			running = append(running, call{w.Target, now})
		}
		for _, tg := range p.targets {
			if most := max(1, int(slotShare*float64(tg.Slots))); tg.occupied(now) > most {
				t.Fatalf("seed %d: %d seats taken at %s with %d slots", seed, tg.occupied(now), tg.Start, tg.Slots)
			}
		}
	}
}
