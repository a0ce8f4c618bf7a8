// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/speed"
	"havenwinch.dev/havenwinch/modules/hashing"
)

// setTestWeights sets the weights of the targets of service s, by id; 1 for the others.
func setTestWeights(tb *Table, weights map[string]float64) {
	tb.weightsUntil = math.MaxInt64
	list := slices.Clone(tb.services["s"])
	tb.setWeights("s", func(i int) float64 { return cmp.Or(weights[list[i].ID], 1) })
}

// unweighted places calls as without weights: the reference for TestEqualWeightsChangeNoChoice.
type unweighted struct{ tb *Table }

func (u unweighted) choose(criteria Criteria, now time.Duration) *Target {
	candidates := u.tb.candidates(criteria, now).sendable
	slices.SortFunc(candidates, func(a, b *Target) int { return cmp.Compare(a.hash, b.hash) })
	r := u.tb.prefillOf(criteria.Service)
	prefill := r.prefillTime(criteria.UnsharedTokens)
	long := criteria.MaxPause > 0 && float64(prefill) > longPrefillShare*float64(criteria.MaxPause)
	n := r.dedicatedTargets(len(candidates), criteria.Boxes, now)
	if long && n > 0 {
		least := math.MaxInt
		for _, t := range candidates[:n] {
			least = min(least, t.WaitingTokens)
		}
		return u.highest(candidates[:n], criteria.Affinity, func(t *Target) bool { return t.WaitingTokens == least })
	}
	return u.pick(criteria, candidates[n:])
}

func (u unweighted) pick(criteria Criteria, candidates []*Target) *Target {
	if criteria.Affinity == 0 {
		return u.leastLoaded(candidates)
	}
	total := 0
	for _, t := range candidates {
		total += t.RunningCalls
	}
	bound := loadBound*float64(total)/float64(len(candidates)) + loadSlack/float64(criteria.Boxes)
	belowBound := func(t *Target) bool { return float64(t.RunningCalls) <= bound }
	share := u.tb.prefillOf(criteria.Service).tokensIn(maxWaitingTime, defaultMaxWaitingTokens) / criteria.Boxes
	fewWaiting := func(t *Target) bool { return belowBound(t) && t.WaitingTokens < share }
	return cmp.Or(u.highest(candidates, criteria.Affinity, fewWaiting), u.highest(candidates, criteria.Affinity, belowBound), u.leastLoaded(candidates))
}

func (u unweighted) highest(candidates []*Target, affinity uint64, eligible func(*Target) bool) *Target {
	var best *Target
	for _, t := range candidates {
		if eligible(t) && (best == nil || hashing.Mix(t.hash^affinity) > hashing.Mix(best.hash^affinity)) {
			best = t
		}
	}
	return best
}

func (u unweighted) leastLoaded(candidates []*Target) *Target {
	var best *Target
	bestCost := math.Inf(1)
	for _, t := range candidates {
		cost := float64(t.RunningCalls) + 4*t.failureRate
		if t.DataCentre != u.tb.dataCentre {
			cost += remoteCost
		}
		if cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// With all weights 1, before any speed is known and after all have been equal again, calls are
// placed as without weights.
func TestEqualWeightsChangeNoChoice(t *testing.T) {
	rnd := rand.New(rand.NewSource(3))
	for round := range 300 {
		tb := newTestTable(1 + rnd.Intn(40))
		if round%2 == 0 {
			setTestWeights(tb, map[string]float64{"t0": 2, "t3": 0.5})
			setTestWeights(tb, nil)
		}
		if rnd.Intn(2) == 0 {
			tb.RecordPrefill(tb.byID["t0"], 4000, 100*time.Millisecond)
			recordStreams(tb, 1)
		}
		for _, tg := range tb.byID {
			tg.RunningCalls, tg.WaitingTokens, tg.failureRate = rnd.Intn(5), rnd.Intn(3)*rnd.Intn(4000), float64(rnd.Intn(2))*rnd.Float64()
		}
		for range 30 {
			criteria := Criteria{Service: "s", Affinity: rnd.Uint64() * uint64(rnd.Intn(4)), UnsharedTokens: rnd.Intn(30000), MaxPause: testPause, Boxes: 1 + rnd.Intn(60)}
			got := tb.Choose(criteria, 0).Target
			if want := (unweighted{tb}).choose(criteria, 0); got != want {
				t.Fatalf("round %d: %s was chosen, without weights %s", round, got.ID, want.ID)
			}
		}
	}
}

// Shares follow the weights, and a change of one weight moves only the prefixes that its target
// gains or loses.
func TestPrefixesFollowWeights(t *testing.T) {
	const prefixes = 20000
	tb := newTestTable(20)
	place := func() (homes []string, counts map[string]int) {
		counts = map[string]int{}
		for key := range uint64(prefixes) {
			home := tb.Choose(Criteria{Service: "s", Affinity: hashing.Mix(key + 1)}, 0).Target.ID
			homes = append(homes, home)
			counts[home]++
		}
		return homes, counts
	}
	setTestWeights(tb, map[string]float64{"t1": 0.5})
	before, _ := place()
	setTestWeights(tb, map[string]float64{"t1": 0.5, "t2": 2})
	after, counts := place()
	for i := range before {
		if before[i] != after[i] && after[i] != "t2" {
			t.Fatalf("prefix %d moved from %s to %s although only the weight of t2 has changed", i, before[i], after[i])
		}
	}
	for id, weight := range map[string]float64{"t1": 0.5, "t2": 2, "t3": 1} {
		want := prefixes * weight / 20.5
		if got := float64(counts[id]); math.Abs(got-want) > 0.15*want {
			t.Errorf("%s with weight %.1f has %.0f prefixes, want about %.0f", id, weight, got, want)
		}
	}
}

// Long prompts go to the fastest targets. Fewer of them are dedicated where their weight is enough for
// the load, but none fewer where the bound on their number is what limits them.
func TestDedicatedTargetsAreTheFastest(t *testing.T) {
	tests := map[string]struct {
		load time.Duration
		want string
	}{
		"four targets required": {load: 1500 * time.Millisecond, want: "[t4 t5]"},
		"ten targets required":  {load: 4 * time.Second, want: "[t2 t3 t4 t5]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTableWithLatePauses()
			tb.SetFleetPrefillLoad("s", test.load, 0)
			if n := tb.DedicatedTargets("s", 7, 0); n != 12/dedicatedDivisor {
				t.Fatalf("%d targets of equal weights are dedicated", n)
			}
			setTestWeights(tb, map[string]float64{"t2": 1.4, "t3": 1.4, "t4": 2, "t5": 2})
			used := map[string]bool{}
			for key := range uint64(200) {
				used[tb.Choose(longPrompt(hashing.Mix(key+1)), 0).Target.ID] = true
			}
			got := fmt.Sprint(slices.Sorted(maps.Keys(used)))
			if n := tb.DedicatedTargets("s", 7, 0); got != test.want || n != len(used) {
				t.Fatalf("%d targets are dedicated, long prompts go to %s, want %s", n, got, test.want)
			}
		})
	}
}

// The cache of a prefix is copied from the target that has it by the weights.
func TestCacheSourceFollowsWeights(t *testing.T) {
	tb := newTestTable(12)
	setTestWeights(tb, map[string]float64{"t1": 2, "t2": 0.5, "t3": 1.4})
	for key := range uint64(200) {
		criteria := Criteria{Service: "s", Affinity: hashing.Mix(key + 1), Boxes: 5}
		home := tb.Choose(criteria, 0)
		if home.CacheSource != nil {
			t.Fatalf("the cache of prefix %d is copied from %s although %s has it", key, home.CacheSource.ID, home.Target.ID)
		}
		home.Target.RunningCalls += 100
		if other := tb.Choose(criteria, 0); other.CacheSource != home.Target {
			t.Fatalf("the cache of prefix %d at %s is not copied from %s", key, other.Target.ID, home.Target.ID)
		}
		home.Target.RunningCalls -= 100
	}
}

// The least loaded target is that with the fewest calls for its weight, of idle ones the fastest.
func TestLeastLoadedByWeight(t *testing.T) {
	tb := NewTable("dc-a")
	for _, other := range newTestTable(3).byID {
		tb.Put(registeredTarget(other.ID, 0), 0)
	}
	setTestWeights(tb, map[string]float64{"t1": 2})
	if got := tb.Choose(Criteria{Service: "s"}, 0).Target; got.ID != "t1" {
		t.Fatalf("%s was chosen of idle targets, want the fastest", got.ID)
	}
	tb.byID["t0"].RunningCalls, tb.byID["t1"].RunningCalls, tb.byID["t2"].RunningCalls = 2, 3, 2
	if got := tb.Choose(Criteria{Service: "s"}, 0).Target; got.ID != "t1" {
		t.Fatalf("%s was chosen, want the target with 3 calls and weight 2", got.ID)
	}
	tb.byID["t1"].RunningCalls = 5
	if got := tb.Choose(Criteria{Service: "s"}, 0).Target; got.ID == "t1" {
		t.Fatal("the target with 5 calls and weight 2 was chosen, others have 2 calls")
	}
}

// A target that has started again is a new one of unknown speed.
func TestRestartedTargetHasNoWeight(t *testing.T) {
	tb := NewTable("dc-a")
	slow := map[speed.Instance]speed.Speed{}
	for i, id := range []string{"a", "b", "c", "d"} {
		tb.Put(registeredTarget(id, 7), 0)
		slow[speed.Instance{Target: id, Born: 7}] = speed.Speed{PromptTokenTime: time.Duration(1000 * (1 + 4*(i/3)))}
	}
	speeds := func(i speed.Instance) speed.Speed { return slow[i] }
	tb.SetSpeeds(speeds, time.Hour)
	if w := tb.byID["d"].Weight(); w > 0.5 {
		t.Fatalf("a target of a fifth of the speed of the others has weight %.2f", w)
	}
	tb.Put(registeredTarget("d", 8), 0)
	tb.SetSpeeds(speeds, time.Hour)
	if w := tb.byID["d"].Weight(); w != 1 || tb.weightedTargets != 0 {
		t.Fatalf("the target has weight %.2f after a restart, and %d targets count as weighted", w, tb.weightedTargets)
	}
}

// Guards against boxes that have the same speeds and targets but other weights, as the list came before
// or after a target's registration: they would place the same prefix at different targets.
func TestWeightsFollowTargets(t *testing.T) {
	list := map[string]time.Duration{"a": 1000, "b": 1000, "c": 3000, "d": 3000, "e": 3000}
	speeds := func(i speed.Instance) speed.Speed { return speed.Speed{PromptTokenTime: list[i.Target]} }
	weights := func(tb *Table) string {
		tb.Choose(Criteria{Service: "s"}, 0)
		found := map[string]float64{}
		for id, t := range tb.byID {
			found[id] = t.weight
		}
		return fmt.Sprint(found)
	}
	tableOf := func(ids ...string) *Table {
		tb := NewTable("dc-a")
		for _, id := range ids {
			tb.Put(registeredTarget(id, 7), 0)
		}
		return tb
	}
	early := tableOf("a", "b", "c")
	early.SetSpeeds(speeds, time.Hour)
	for _, id := range []string{"d", "e"} {
		early.Put(registeredTarget(id, 7), 0)
	}
	late := tableOf("a", "b", "c", "d", "e")
	late.SetSpeeds(speeds, time.Hour)
	if got, want := weights(early), weights(late); got != want {
		t.Fatalf("after targets joined the weights are %s, want %s", got, want)
	}
	early.RetainOnly(map[string]bool{"a": true, "b": true, "c": true})
	late = tableOf("a", "b", "c")
	late.SetSpeeds(speeds, time.Hour)
	if got, want := weights(early), weights(late); got != want {
		t.Fatalf("after targets left the weights are %s, want %s", got, want)
	}
	early.Put(registeredTarget("d", 7), time.Hour)
	early.Choose(Criteria{Service: "s"}, time.Hour)
	if early.weightedTargets != 0 {
		t.Fatalf("%d targets have weights after the speeds have expired", early.weightedTargets)
	}
}

func registeredTarget(id string, born int64) *statev1.RegisteredTarget {
	return &statev1.RegisteredTarget{Id: id, Born: born, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc-a", Version: "v1", State: statev1.RegisteredTarget_STATE_READY}
}
