// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/software"
)

// newTestTable returns a table with n targets of service s, in two data centres by turns.
func newTestTable(n int) *Table {
	tb := NewTable("dc-a")
	for i := range n {
		tb.Put(&statev1.RegisteredTarget{Id: fmt.Sprintf("t%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: []string{"dc-a", "dc-b"}[i%2], Version: "v1", State: statev1.RegisteredTarget_STATE_READY}, 0)
	}
	return tb
}

func TestSameAffinityGoesToTheSameTargetOnAllBoxes(t *testing.T) {
	a, b := newTestTable(9), NewTable("dc-b")
	for i := 8; i >= 0; i-- {
		b.Put(&statev1.RegisteredTarget{Id: fmt.Sprintf("t%d", i), Service: "s", Address: "10.0.0.1:80", DataCentre: "dc-b", Version: "v1", State: statev1.RegisteredTarget_STATE_READY}, 0)
	}
	used := map[string]int{}
	for key := uint64(1); key < 200; key++ {
		x, y := a.Choose(Criteria{Service: "s", Affinity: key}, 0).Target, b.Choose(Criteria{Service: "s", Affinity: key}, 0).Target
		if x.ID != y.ID {
			t.Fatalf("key %d goes to %s on one box and to %s on the other", key, x.ID, y.ID)
		}
		used[x.ID]++
	}
	if len(used) != 9 {
		t.Fatalf("keys are spread over %d of 9 targets", len(used))
	}
}

func TestAffinityGivesWayToLoad(t *testing.T) {
	tb := newTestTable(4)
	criteria := Criteria{Service: "s", Affinity: 7}
	first := tb.Choose(criteria, 0).Target
	first.RunningCalls = 50
	if second := tb.Choose(criteria, 0).Target; second == first {
		t.Fatal("target far above the mean load was chosen again")
	}
}

// While too many prompt tokens wait at the first target for a shared prefix, calls go
// to the second one, the same on all boxes. If tokens wait everywhere, they go to the
// first.
func TestAffinityGivesWayToWaitingPrompts(t *testing.T) {
	tb := newTestTable(4)
	criteria := Criteria{Service: "s", Affinity: 7, Boxes: 6}
	first := tb.Choose(criteria, 0).Target
	first.WaitingTokens = defaultMaxWaitingTokens / 6
	second := tb.Choose(criteria, 0).Target
	if second == first || tb.Choose(criteria, 0).Target != second {
		t.Fatalf("chose %s, then %s, want the same second target twice", first.ID, second.ID)
	}
	first.WaitingTokens--
	if got := tb.Choose(criteria, 0).Target; got != first {
		t.Fatalf("chose %s although the first target is below the bound", got.ID)
	}
	for _, other := range tb.byID {
		other.WaitingTokens = defaultMaxWaitingTokens
	}
	if got := tb.Choose(criteria, 0).Target; got != first {
		t.Fatalf("chose %s while prompts wait everywhere, want the first target", got.ID)
	}
}

func TestLeastLoadedPrefersItsDataCentre(t *testing.T) {
	tb := newTestTable(4)
	for i, want := range []string{"dc-a", "dc-a", "dc-b", "dc-b"} {
		got := tb.Choose(Criteria{Service: "s"}, 0).Target
		if got.DataCentre != want {
			t.Fatalf("call %d went to data centre %s, want %s", i, got.DataCentre, want)
		}
		got.RunningCalls++
	}
}

func TestUnreachableTargetIsBanned(t *testing.T) {
	tb := newTestTable(2)
	bad := tb.Choose(Criteria{Service: "s"}, 0).Target
	tb.BanUnreachable(bad, 0)
	if tb.Choose(Criteria{Service: "s"}, time.Millisecond).Target == bad {
		t.Fatal("unreachable target was chosen although another one is healthy")
	}
	if got := tb.Choose(Criteria{Service: "s", Exclude: map[string]bool{"t0": bad.ID != "t0", "t1": bad.ID != "t1"}}, time.Millisecond).Target; got != bad {
		t.Fatal("unreachable target was not chosen although it is the only one left")
	}
	if due := tb.DueForProbe(time.Hour); len(due) != 1 || due[0] != bad {
		t.Fatalf("targets due for a probe: %v, want the unreachable one", due)
	}
	tb.MarkReachable(bad, 0)
	if len(tb.DueForProbe(time.Hour)) != 0 {
		t.Fatal("target is still banned after it was reached")
	}
}

func TestBansGrowAndAreBounded(t *testing.T) {
	tb := newTestTable(1)
	target := tb.Choose(Criteria{Service: "s"}, 0).Target
	last := time.Duration(0)
	now := time.Duration(0)
	for range 12 {
		ban := tb.BanUnreachable(target, now)
		if again := tb.BanUnreachable(target, now); again != 0 {
			t.Fatalf("call that failed during the ban lengthened it by %s", again)
		}
		now += ban
		if ban < last || ban > maxBan {
			t.Fatalf("ban of %s follows one of %s", ban, last)
		}
		last = ban
	}
	if last != maxBan {
		t.Fatalf("last ban is %s, want the longest", last)
	}
}

func TestOutliersAreBanned(t *testing.T) {
	cases := map[string]struct {
		// failing lists the targets that fail every second call.
		failing []int
		all     int
		banned  int
	}{
		"one of four": {failing: []int{0}, all: 4, banned: 1},
		"all four":    {failing: []int{0, 1, 2, 3}, all: 4},
		"only target": {failing: []int{0}, all: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(c.all)
			fails := map[string]bool{}
			for _, i := range c.failing {
				fails[fmt.Sprintf("t%d", i)] = true
			}
			banned := map[string]bool{}
			for round := range 40 {
				for id, target := range tb.byID {
					if tb.RecordOutcome(target, fails[id] && round%2 == 0, time.Second) {
						banned[id] = true
					}
				}
			}
			if len(banned) != c.banned {
				t.Fatalf("banned as outliers: %v, want %d", banned, c.banned)
			}
		})
	}
}

func TestDrainingAndGoneTargetsAreNotChosen(t *testing.T) {
	tb := newTestTable(2)
	tb.Put(&statev1.RegisteredTarget{Id: "t0", Service: "s", State: statev1.RegisteredTarget_STATE_DRAINING}, 0)
	tb.Put(&statev1.RegisteredTarget{Id: "t1", Service: "s", State: statev1.RegisteredTarget_STATE_GONE}, 0)
	if got := tb.Choose(Criteria{Service: "s"}, 0).Target; got != nil {
		t.Fatalf("chose %s, want no target", got.ID)
	}
	if tb.Len() != 1 {
		t.Fatalf("%d targets are known, want 1", tb.Len())
	}
	tb.RetainOnly(map[string]bool{})
	if tb.Len() != 0 {
		t.Fatal("target that is no longer registered was kept")
	}
}

// Unreachable targets don't lead to a ban of others in their data centre: with many
// targets, two of them are unreachable at any time.
func TestOtherTargetsOfADataCentreStay(t *testing.T) {
	for _, centre := range []string{"dc-a", "dc-b"} {
		tb := newTestTable(8)
		failed := 0
		for _, target := range tb.byID {
			if target.DataCentre == centre && failed < 3 {
				tb.BanUnreachable(target, 0)
				failed++
			}
		}
		if due := tb.DueForProbe(minBan); len(due) != failed {
			t.Fatalf("%d targets of %s are due for a probe, want %d", len(due), centre, failed)
		}
	}
}

// Each box sees only its own calls, so the slack above the mean load and the bound on
// waiting prompts apply to the whole fleet. When each of 70 boxes added the whole slack,
// more than 200 calls went to a target with 64 places.
func TestBoundsApplyToTheFleet(t *testing.T) {
	for name, boxes := range map[string]int{"one box": 1, "many": 30} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(4)
			criteria := Criteria{Service: "s", Affinity: 7, Boxes: boxes}
			first := tb.Choose(criteria, 0).Target
			calls := 0
			for tb.Choose(criteria, 0).Target == first {
				first.RunningCalls++
				calls++
			}
			// While the other targets are idle, the first takes the slack of the fleet
			// and one more call.
			if most := int(loadSlack/float64(boxes)) + 4; calls*boxes > most*boxes || boxes > 1 && calls > 1 {
				t.Fatalf("target takes %d calls from each of %d boxes", calls, boxes)
			}
		})
	}
}

// The bound on waiting prompt tokens depends on the prefill speed of the targets.
func TestWaitingBoundDependsOnPrefillSpeed(t *testing.T) {
	for name, perToken := range map[string]time.Duration{"fast": 10 * time.Microsecond, "slow": 50 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(4)
			criteria := Criteria{Service: "s", Affinity: 7, Boxes: 1}
			first := tb.Choose(criteria, 0).Target
			for range 200 {
				tb.RecordPrefill(first, 10000, 10000*perToken)
			}
			first.WaitingTokens = int(maxWaitingTime/perToken) * 8 / 10
			if got := tb.Choose(criteria, 0).Target; got != first {
				t.Fatalf("chose %s although the first target is below the bound", got.ID)
			}
			first.WaitingTokens = int(maxWaitingTime/perToken) * 12 / 10
			if got := tb.Choose(criteria, 0).Target; got == first {
				t.Fatal("chose the first target although it is above the bound")
			}
		})
	}
}

// Guards against prompts whose shared prefix is prefilled again although another target has
// it: a target that has started takes over the prefixes that belong to it, with an empty cache.
func TestCacheSourceOfTargetsThatStarted(t *testing.T) {
	const affinity = 7
	criteria := Criteria{Service: "s", Affinity: affinity, Boxes: 1}
	ready := func(n int, cold uint32, revision uint64) *statev1.RegisteredTarget {
		return &statev1.RegisteredTarget{Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "dc-a", Version: "v1", State: statev1.RegisteredTarget_STATE_READY, Cold: cold, Revision: revision}
	}
	ranked := newTestTable(0)
	for n := range 4 {
		ranked.Put(ready(n, 0, 1), 0)
	}
	first := ranked.Choose(criteria, 0).Target.ID
	second := ranked.Choose(Criteria{Service: "s", Affinity: affinity, Boxes: 1, Exclude: map[string]bool{first: true}}, 0).Target.ID
	ids := map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
	without := func(id string) map[string]bool {
		left := map[string]bool{}
		for other := range ids {
			left[other] = other != id
		}
		return left
	}
	fill := func(tb *Table, leave string) {
		for n := range 4 {
			if id := fmt.Sprint("t", n); id != leave {
				tb.Put(ready(n, 0, 1), 0)
			}
		}
		tb.RetainOnly(without(leave))
	}
	number := map[string]int{"t0": 0, "t1": 1, "t2": 2, "t3": 3}
	tests := map[string]struct {
		prepare func(tb *Table)
		at      time.Duration
		source  string
	}{
		"all known from the start": {prepare: func(tb *Table) { fill(tb, "") }},
		"the first has started":    {prepare: func(tb *Table) { fill(tb, first); tb.Put(ready(number[first], 0, 2), time.Second) }, at: time.Second, source: second},
		"it has filled its cache":  {prepare: func(tb *Table) { fill(tb, first); tb.Put(ready(number[first], 0, 2), time.Second) }, at: time.Second + cacheFillTime},
		"another has started":      {prepare: func(tb *Table) { fill(tb, second); tb.Put(ready(number[second], 0, 2), time.Second) }, at: time.Second},
		"the first was cold":       {prepare: func(tb *Table) { fill(tb, ""); tb.Put(ready(number[first], 100, 2), time.Second) }, at: 2 * time.Second, source: second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(0)
			test.prepare(tb)
			c := tb.Choose(criteria, test.at)
			if c.Target.ID != first {
				t.Fatalf("chose %s, want %s", c.Target.ID, first)
			}
			source := ""
			if c.CacheSource != nil {
				source = c.CacheSource.ID
			}
			if source != test.source {
				t.Errorf("the cache comes from %q, want %q", source, test.source)
			}
		})
	}
}

// Guards against calls that go to another software than the one to which their stream belongs, also
// where all targets of that one are banned, and against caches fetched from another software.
func TestCallsKeepToTheirSoftware(t *testing.T) {
	row := func(n int, version string) *statev1.RegisteredTarget {
		return &statev1.RegisteredTarget{Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1), DataCentre: "dc-a", Version: version, State: statev1.RegisteredTarget_STATE_READY}
	}
	tb := newTestTable(0)
	for n := range 8 {
		tb.Put(row(n, []string{"v1", "v2"}[n%2]), 0)
	}
	v1, v3 := software.Of(row(0, "v1")), software.Of(row(0, "v3"))
	for n := range 8 {
		if t1 := tb.ByID(fmt.Sprint("t", n)); t1.Software == v1 {
			tb.BanUnreachable(t1, 0)
		}
	}
	for affinity := range uint64(100) {
		criteria := Criteria{Service: "s", Affinity: affinity, Boxes: 1, Software: v1}
		if got := tb.Choose(criteria, 0).Target; got == nil || got.Software != v1 {
			t.Fatalf("prefix %d of %s goes to %+v", affinity, v1, got)
		}
		criteria.Software = v3
		if got := tb.Choose(criteria, 0).Target; got != nil {
			t.Fatalf("prefix %d of %s goes to %s", affinity, v3, got.ID)
		}
		criteria.Software = ""
		first := tb.Choose(criteria, time.Minute).Target
		first.RunningCalls += 50
		if c := tb.Choose(criteria, time.Minute); c.CacheSource != nil && c.CacheSource.Software != c.Target.Software {
			t.Fatalf("prefix %d: %s fetches its cache from %s", affinity, c.Target.ID, c.CacheSource.ID)
		}
		first.RunningCalls -= 50
	}
	if !tb.HasSoftware("s", v1) || tb.HasSoftware("s", v3) || tb.HasSoftware("t", v1) {
		t.Error("the table is wrong about the software in use")
	}
}
