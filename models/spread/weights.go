// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"havenwinch.dev/havenwinch/models/speed"
	"havenwinch.dev/havenwinch/modules/hashing"
)

// Targets of a service may differ in speed. Each has a weight, 1 where nothing else is
// known, and gets its share of the calls by weighted rendezvous hashing (Schindelhauer and
// Schomaker 2005, "Weighted Distributed Hash Tables"): a change of one weight moves only the prefixes that this
// target gains or loses. If all weights are equal, calls are placed as without them.

// Instance identifies the start of the target for its speed.
func (t *Target) Instance() speed.Instance { return speed.Instance{Target: t.ID, Born: t.Born} }

// Weight returns the weight of the target.
func (t *Target) Weight() float64 { return t.weight }

// SetSpeeds updates the weights of all targets by their speeds, which count until the given
// time. The function is called again when the targets of a service have changed.
func (tb *Table) SetSpeeds(speeds func(speed.Instance) speed.Speed, until time.Duration) {
	tb.speeds, tb.weightsUntil = speeds, until
	for service := range tb.services {
		tb.weigh(service)
	}
	clear(tb.unweighed)
}

// weigh updates the weights of the targets of a service.
func (tb *Table) weigh(service string) {
	list := tb.services[service]
	rows := make([]speed.Row, len(list))
	for i, t := range list {
		rows[i].Speed = tb.speeds(t.Instance())
	}
	speed.Weigh(rows)
	tb.setWeights(service, func(i int) float64 { return rows[i].Weight })
}

// UpdateWeights updates the weights of services whose targets have changed, as the median may
// have changed and the speed of a new target may have come before its registration. All weights
// are 1 once the speeds have expired.
func (tb *Table) UpdateWeights(now time.Duration) {
	if tb.speeds != nil && now < tb.weightsUntil {
		for service := range tb.unweighed {
			tb.weigh(service)
		}
	}
	clear(tb.unweighed)
	tb.ExpireSpeeds(now)
}

// KeepSpeeds lets the present weights count until the given time.
func (tb *Table) KeepSpeeds(until time.Duration) { tb.weightsUntil = until }

// ExpireSpeeds sets all weights to 1 once the speeds have expired.
func (tb *Table) ExpireSpeeds(now time.Duration) {
	if now < tb.weightsUntil || tb.weightedTargets == 0 {
		return
	}
	for service := range tb.services {
		tb.setWeights(service, func(int) float64 { return 1 })
	}
}

// setWeights sets the weights of the targets of a service, in their present order, and
// sorts them anew if any has changed.
func (tb *Table) setWeights(service string, weight func(i int) float64) {
	changes := 0
	for i, t := range tb.services[service] {
		w := weight(i)
		if w == t.weight {
			continue
		}
		changes++
		tb.countWeighted(t, -1)
		t.weight = w
		tb.countWeighted(t, 1)
	}
	tb.weightChanges += changes
	if changes > 0 {
		tb.services[service] = slices.SortedFunc(slices.Values(tb.services[service]), comparePlaces)
	}
}

func (tb *Table) countWeighted(t *Target, n int) {
	if t.weight != 1 {
		tb.weightedTargets += n
	}
}

// comparePlaces orders the targets of a service: the fastest first, then by hash.
func comparePlaces(a, b *Target) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.hash, b.hash))
}

// HasWeightChanges reports whether weights have changed since WeightChanges was last called.
func (tb *Table) HasWeightChanges() bool { return tb.weightChanges > 0 }

// WeightChanges returns how many weights have changed since the last call, and the least
// and the greatest weight.
func (tb *Table) WeightChanges() (changes int, least, greatest float64) {
	changes, tb.weightChanges = tb.weightChanges, 0
	least, greatest = 1, 1
	for _, list := range tb.services {
		if len(list) > 0 {
			least, greatest = min(least, list[len(list)-1].weight), max(greatest, list[0].weight)
		}
	}
	return changes, least, greatest
}

// WeightedTargets returns the targets whose weight is not 1, at most the given number.
func (tb *Table) WeightedTargets(most int) []*Target {
	var found []*Target
	if tb.weightedTargets == 0 {
		return nil
	}
	for _, list := range tb.services {
		for _, t := range list {
			if t.weight != 1 && len(found) < most {
				found = append(found, t)
			}
		}
	}
	return found
}

// sumWeights returns the sum of the weights of targets.
func sumWeights(list []*Target) float64 {
	sum := 0.0
	for _, t := range list {
		sum += t.weight
	}
	return sum
}

// fastest returns how many of the first targets have the wanted weight together, all if they have
// less.
func fastest(list []*Target, wanted float64) int {
	sum := 0.0
	for i, t := range list {
		if sum >= wanted {
			return i
		}
		sum += t.weight
	}
	return len(list)
}

// outscores reports whether a has a higher rendezvous score for a shared prefix than b, given
// the hashes of each with the prefix. The score is -w/ln(u) for a hash u in (0, 1); the
// logarithms are only needed if weights and hashes disagree.
func outscores(a *Target, hashA uint64, b *Target, hashB uint64) bool {
	switch {
	case a.weight == b.weight:
		return hashA > hashB
	case a.weight < b.weight && hashA <= hashB:
		return false
	case a.weight > b.weight && hashA >= hashB:
		return true
	}
	return a.weight*unitLog(hashB) > b.weight*unitLog(hashA)
}

// unitLog returns -ln(u) of a hash as a fraction in (0, 1). It takes the upper 52 bits, so that
// half a unit can be added to them without rounding.
func unitLog(hash uint64) float64 {
	const bits = 52
	return -math.Log((float64(hash>>(64-bits)) + 0.5) / (1 << bits))
}

// affinityHash returns the hash of a target with a shared prefix.
func (t *Target) affinityHash(affinity uint64) uint64 { return hashing.Mix(t.hash ^ affinity) }
