// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"
)

var limits = Limits{Slots: 4, InteractiveSlots: 1, DecodeWeight: 3}

func engine(name, dc string) *Target {
	return &Target{Name: name, Address: name, Kind: Engine, Models: []string{"m"}, DataCentre: dc, Listed: Live}
}

// TestEligibility says which of two candidates is taken, for what is known of
// the first; "second" stands in another data centre.
func TestEligibility(t *testing.T) {
	tests := map[string]struct {
		prepare     func(first *Target)
		interactive bool
		want        string
		reason      Reason
		waitable    bool
	}{
		"sound":                           {func(*Target) {}, false, "first", Eligible, false},
		"leaving":                         {func(f *Target) { f.Listed = Leaving }, false, "second", IsLeaving, false},
		"drained":                         {func(f *Target) { f.Drained = true }, false, "second", IsDrained, false},
		"two failures":                    {func(f *Target) { fail(f, 2) }, false, "first", Eligible, false},
		"three failures":                  {func(f *Target) { fail(f, 3) }, false, "second", IsEjected, false},
		"full":                            {func(f *Target) { f.InFlight = 4 }, true, "", IsFull, true},
		"full but for interactive":        {func(f *Target) { f.InFlight = 3 }, false, "", IsFull, true},
		"free for interactive":            {func(f *Target) { f.InFlight = 3 }, true, "first", Eligible, false},
		"full by others' load":            {func(f *Target) { f.Report(9, 0, 0) }, true, "", IsFull, true},
		"own load of a late report":       {func(f *Target) { f.InFlight = 3; f.Report(3, 0, 0); f.InFlight = 0 }, false, "first", Eligible, false},
		"others' load and own since then": {func(f *Target) { f.Report(5, 0, 0); f.InFlight = 3 }, true, "", IsFull, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := engine("first", "here"), engine("second", "there")
			test.prepare(first)
			d := Choose(CacheLoad{}, []*Target{first, second}, Need{Model: "m", Prompt: 100, Interactive: test.interactive, DataCentre: "here"}, limits, time.Second, rand.New(rand.NewSource(1)))
			got := ""
			if d.Target != nil {
				got = d.Target.Name
			}
			if got != test.want || d.Scores[0].Reason != test.reason || d.Waitable != test.waitable {
				t.Errorf("got %q, first is %q, waitable %v", got, d.Scores[0].Reason, d.Waitable)
			}
		})
	}
}

func fail(t *Target, n int) {
	for range n {
		t.Health.Fail(time.Second)
	}
}

func TestEjectionProbesOnceAndBacksOff(t *testing.T) {
	e := engine("e", "here")
	fail(e, 3)
	now := time.Second + firstPause
	if e.Health.Ejected(now) {
		t.Fatal("no probe after the pause")
	}
	e.Begin(1)
	if !e.Health.Ejected(now) {
		t.Fatal("a second request before the probe ended")
	}
	e.Health.Fail(now)
	if !e.Health.Ejected(now+firstPause) || e.Health.Ejected(now+2*firstPause) {
		t.Error("the second pause is not twice the first")
	}
	e.Health.Succeed()
	if e.Health.Ejected(now) {
		t.Error("a sound answer does not end the ejection")
	}
}

func TestLeavingIsKeptAgainstOlderLists(t *testing.T) {
	table := NewTable()
	put := func(s State) {
		row := engine("e", "here")
		row.Listed = s
		table.Put(row, 0)
	}
	put(Live)
	put(Leaving)
	put(Live)
	if table.Targets["e"].Listed != Leaving {
		t.Error("an older list brought a leaving target back")
	}
	table.Forget("e")
	put(Live)
	if table.Targets["e"].Listed != Live {
		t.Error("a target that was gone and came back is not live")
	}
	table.Targets["e"].InFlight = 1
	table.Forget("e")
	if table.Targets["e"] == nil || table.Targets["e"].Listed != Leaving {
		t.Error("a target with work in progress was dropped")
	}
}

// TestCacheEvidence says how many tokens count as reusable.
func TestCacheEvidence(t *testing.T) {
	prompt := strings.Repeat("p", 4*BlockBytes)
	mine := Blocks("scope-a", "m", prompt)
	insert := func(first uint64, blocks ...Block) []CacheEvent {
		var events []CacheEvent
		for i, b := range blocks {
			events = append(events, CacheEvent{Sequence: first + uint64(i), Block: b})
		}
		return events
	}
	tests := map[string]struct {
		feed func(c *Cache)
		at   time.Duration
		want int
	}{
		"nothing known":        {func(*Cache) {}, 0, 0},
		"all blocks":           {func(c *Cache) { c.Take("e", insert(1, mine...), 0) }, 0, 4},
		"another organisation": {func(c *Cache) { c.Take("e", insert(1, Blocks("scope-b", "m", prompt)...), 0) }, 0, 0},
		"another model":        {func(c *Cache) { c.Take("e", insert(1, Blocks("scope-a", "n", prompt)...), 0) }, 0, 0},
		"a hole in the prefix": {func(c *Cache) { c.Take("e", insert(1, mine[0], mine[2], mine[3]), 0) }, 0, 1},
		"evicted": {func(c *Cache) {
			c.Take("e", append(insert(1, mine...), CacheEvent{Sequence: 5, Evicted: true, Block: mine[1]}), 0)
		}, 0, 1},
		"older sequence": {func(c *Cache) {
			c.Take("e", insert(1, mine[0], mine[1]), 0)
			c.Take("e", []CacheEvent{{Sequence: 1, Evicted: true, Block: mine[0]}}, 0)
		}, 0, 2},
		"another epoch": {func(c *Cache) { c.Take("e", insert(1, mine...), 0); c.Take("f", insert(1, mine[0]), 0) }, 0, 1},
		"too old":       {func(c *Cache) { c.Take("e", insert(1, mine...), 0) }, freshness + 1, 0},
		"a gap":         {func(c *Cache) { c.Take("e", insert(1, mine[0]), 0); c.Take("e", insert(9, mine[1]), 0) }, 0, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Cache
			test.feed(&c)
			if got := c.Reusable(mine, test.at); got != test.want*blockTokens {
				t.Errorf("got %d tokens, want %d", got, test.want*blockTokens)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 130, 2900} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var list []*Target
			for i := range n {
				list = append(list, engine(fmt.Sprint("e", i), "here"))
			}
			need := Need{Model: "m", Prompt: 1000, Blocks: Blocks("s", "m", strings.Repeat("x", 4000)), DataCentre: "here"}
			rng := rand.New(rand.NewSource(1))
			b.ReportAllocs()
			for b.Loop() {
				Choose(CacheLoad{}, list, need, limits, 0, rng)
			}
		})
	}
}
