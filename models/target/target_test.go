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
	return &Target{Name: name, Address: name, Kind: Engine, Models: []string{"m"}, DataCentre: dc, ListedState: Live}
}

// TestEligibility checks which of two candidates is chosen, depending on the state
// of the first; the second is in another data centre.
func TestEligibility(t *testing.T) {
	tests := map[string]struct {
		prepare     func(first *Target)
		interactive bool
		want        string
		reason      Reason
		waitable    bool
	}{
		"healthy":                         {func(*Target) {}, false, "first", ReasonEligible, false},
		"leaving":                         {func(f *Target) { f.ListedState = Leaving }, false, "second", ReasonLeaving, false},
		"drained":                         {func(f *Target) { f.Drained = true }, false, "second", ReasonDrained, false},
		"two failures":                    {func(f *Target) { fail(f, 2) }, false, "first", ReasonEligible, false},
		"three failures":                  {func(f *Target) { fail(f, 3) }, false, "second", ReasonEjected, false},
		"full":                            {func(f *Target) { f.InFlight = 4 }, true, "", ReasonFull, true},
		"only interactive slots free":     {func(f *Target) { f.InFlight = 3 }, false, "", ReasonFull, true},
		"interactive slot free":           {func(f *Target) { f.InFlight = 3 }, true, "first", ReasonEligible, false},
		"full with requests of others":    {func(f *Target) { f.RecordLoad(9, 0, 0) }, true, "", ReasonFull, true},
		"report counts own ended ones":    {func(f *Target) { f.InFlight = 3; f.RecordLoad(3, 0, 0); f.InFlight = 0 }, false, "first", ReasonEligible, false},
		"full with others' and later own": {func(f *Target) { f.RecordLoad(5, 0, 0); f.InFlight = 3 }, true, "", ReasonFull, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := engine("first", "here"), engine("second", "there")
			test.prepare(first)
			d := Choose(CacheLoad{}, []*Target{first, second}, Criteria{Model: "m", PromptTokens: 100, Interactive: test.interactive, DataCentre: "here"}, limits, time.Second, rand.New(rand.NewSource(1)))
			got := ""
			if d.Target != nil {
				got = d.Target.Name
			}
			if got != test.want || d.Scores[0].Reason != test.reason || d.Waitable != test.waitable {
				t.Errorf("chose %q; first candidate is %q, waitable is %v", got, d.Scores[0].Reason, d.Waitable)
			}
		})
	}
}

func fail(t *Target, n int) {
	for range n {
		t.Health.RecordFailure(time.Second)
	}
}

func TestEjectionProbesOnceAndBacksOff(t *testing.T) {
	e := engine("e", "here")
	fail(e, 3)
	now := time.Second + minPause
	if e.Health.Ejected(now) {
		t.Fatal("ejected target is not probed after the pause")
	}
	e.RequestStarted(1)
	if !e.Health.Ejected(now) {
		t.Fatal("target is eligible for a second request while the probe runs")
	}
	e.Health.RecordFailure(now)
	if !e.Health.Ejected(now+minPause) || e.Health.Ejected(now+2*minPause) {
		t.Error("second pause is not twice the first")
	}
	e.Health.RecordSuccess()
	if e.Health.Ejected(now) {
		t.Error("target is still ejected after a valid answer")
	}
}

func TestLeavingIsKeptAgainstOlderLists(t *testing.T) {
	table := NewTable()
	put := func(s State) {
		row := engine("e", "here")
		row.ListedState = s
		table.Put(row, 0)
	}
	put(Live)
	put(Leaving)
	put(Live)
	if table.Targets["e"].ListedState != Leaving {
		t.Error("leaving target is live again after an older list")
	}
	table.Remove("e")
	put(Live)
	if table.Targets["e"].ListedState != Live {
		t.Error("removed target is not live after it was listed again")
	}
	table.Targets["e"].InFlight = 1
	table.Remove("e")
	if table.Targets["e"] == nil || table.Targets["e"].ListedState != Leaving {
		t.Error("target with a request in flight was removed or is not leaving")
	}
}

// TestReusableTokens checks how many tokens count as reusable after cache events.
func TestReusableTokens(t *testing.T) {
	prompt := strings.Repeat("p", 4*BlockBytes)
	stored := Blocks("scope-a", "m", prompt)
	insert := func(first uint64, blocks ...Block) []CacheEvent {
		var events []CacheEvent
		for i, b := range blocks {
			events = append(events, CacheEvent{Sequence: first + uint64(i), Block: b})
		}
		return events
	}
	tests := map[string]struct {
		apply func(c *Cache)
		at    time.Duration
		want  int
	}{
		"no events":            {func(*Cache) {}, 0, 0},
		"all blocks":           {func(c *Cache) { c.Apply("e", insert(1, stored...), 0) }, 0, 4},
		"another organisation": {func(c *Cache) { c.Apply("e", insert(1, Blocks("scope-b", "m", prompt)...), 0) }, 0, 0},
		"another model":        {func(c *Cache) { c.Apply("e", insert(1, Blocks("scope-a", "n", prompt)...), 0) }, 0, 0},
		"missing block":        {func(c *Cache) { c.Apply("e", insert(1, stored[0], stored[2], stored[3]), 0) }, 0, 1},
		"evicted": {func(c *Cache) {
			c.Apply("e", append(insert(1, stored...), CacheEvent{Sequence: 5, Evicted: true, Block: stored[1]}), 0)
		}, 0, 1},
		"older sequence": {func(c *Cache) {
			c.Apply("e", insert(1, stored[0], stored[1]), 0)
			c.Apply("e", []CacheEvent{{Sequence: 1, Evicted: true, Block: stored[0]}}, 0)
		}, 0, 2},
		"another epoch": {func(c *Cache) { c.Apply("e", insert(1, stored...), 0); c.Apply("f", insert(1, stored[0]), 0) }, 0, 1},
		"outdated":      {func(c *Cache) { c.Apply("e", insert(1, stored...), 0) }, maxCacheAge + 1, 0},
		"sequence gap":  {func(c *Cache) { c.Apply("e", insert(1, stored[0]), 0); c.Apply("e", insert(9, stored[1]), 0) }, 0, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Cache
			test.apply(&c)
			if got := c.Reusable(stored, test.at); got != test.want*blockTokens {
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
			need := Criteria{Model: "m", PromptTokens: 1000, Blocks: Blocks("s", "m", strings.Repeat("x", 4000)), DataCentre: "here"}
			rng := rand.New(rand.NewSource(1))
			b.ReportAllocs()
			for b.Loop() {
				Choose(CacheLoad{}, list, need, limits, 0, rng)
			}
		})
	}
}
