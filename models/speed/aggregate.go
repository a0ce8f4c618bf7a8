// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"container/list"
	"math"
	"sort"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

const (
	// dropAfter is how long an instance is kept without samples, and toldFor how long the
	// boxes can learn after that that its speed is not known any more. A box that has not
	// asked for longer forgets all speeds.
	dropAfter = 30 * time.Second
	toldFor   = time.Minute
	// changeShare is the change of a speed from which on it is sent again. With 0.1, a box that gets
	// MaxPerMessage speeds a second never catches up with 2,900 targets in load: two in five of its
	// speeds are outdated (TestBoxesKeepUpWithChanges).
	changeShare = 0.15
	// knownSamples is how many samples a speed takes to be known.
	knownSamples = 8
	// quantile is that of the samples that is taken as the speed of a target. The mean
	// tells how long prompts queue: in a simulated load it differed by a factor of 2.3
	// between targets of the same speed, and weights by it moved prefixes to and fro.
	quantile = 0.2
	// quantileStep is how far one sample moves the estimate.
	quantileStep = 0.025
	// jumpRatio is the ratio to the estimate from which on a block of runLength samples in a
	// row shows that the target has another speed now. A slowed target answers too few calls
	// for small steps. With a ratio of 4 to 8, queues of equal
	// targets at 64% utilisation looked like slow targets.
	jumpRatio = 12
	runLength = 8
	// changesSlack is how many entries beyond two for each change that is needed the list
	// of changes may have before it is compacted.
	changesSlack = 64
)

// Aggregate estimates the speeds of targets from the samples of all boxes, and lists the speeds by revision: a box that
// names the revision up to which it has the list gets what has changed after that. It is
// not safe for concurrent use.
type Aggregate struct {
	entries map[Instance]*entry
	// byAge has the entries, that with the oldest last sample first.
	byAge    *list.List
	revision uint64
	// changes lists the changes, oldest first. A change is outdated, and skipped, if its
	// entry has a later revision. It is compacted when it has more than compactAbove.
	changes      []change
	compactAbove int
}

type change struct {
	revision uint64
	entry    *entry
}

// entry is what is known of one instance.
type entry struct {
	instance      Instance
	prompt, event tracker
	// published is the speed that the boxes are sent, as of revision.
	published Speed
	revision  uint64
	updatedAt time.Duration
	isDropped bool
	age       *list.Element
}

// tracker follows a low quantile of samples, each of which counts the same: a box that
// reports wrong sums has no more influence than by the number of its reports.
type tracker struct {
	value   float64
	samples int
	// above and below count the samples of the present block on that side of the value, and
	// nearest is the one of them that is closest to it.
	above, below int
	nearest      float64
}

// add adds a sample of units that took d nanoseconds.
func (k *tracker) add(units, d float64) {
	if units <= 0 || d <= 0 {
		return
	}
	each := min(d/units, float64(maxTime))
	k.samples++
	if k.samples == 1 {
		k.value = each
		return
	}
	step := max(quantileStep, 1/float64(k.samples))
	if each > k.value {
		k.extendRun(&k.above, &k.below, min(each, k.nearest), each)
		k.value = min(each, k.value*math.Exp(step*quantile))
	} else {
		k.extendRun(&k.below, &k.above, max(each, k.nearest), each)
		k.value = max(each, k.value*math.Exp(-step*(1-quantile)))
	}
	if k.above < runLength && k.below < runLength {
		return
	}
	if k.nearest > jumpRatio*k.value || k.nearest < k.value/jumpRatio {
		k.value = k.nearest
	}
	k.above, k.below = 0, 0
}

// extendRun counts a sample on one side of the value. nearest is the closest one of the block
// if that goes on with the sample.
func (k *tracker) extendRun(side, other *int, nearest, each float64) {
	if *side == 0 {
		nearest = each
	}
	*side, *other, k.nearest = *side+1, 0, nearest
}

// duration returns the time of one unit, zero if it is not known.
func (k *tracker) duration() time.Duration {
	if k.samples < knownSamples {
		return 0
	}
	return time.Duration(min(k.value, float64(maxTime)))
}

// Put adds a sample.
func (a *Aggregate) Put(m *betweenv1.SpeedSample, now time.Duration) {
	e := a.entryOf(Instance{Target: m.GetTarget(), Born: m.GetBorn()}, now)
	e.prompt.add(float64(m.GetPromptTokens()), float64(m.GetPromptTime())*float64(time.Microsecond))
	e.event.add(float64(m.GetEvents()), float64(m.GetEventTime())*float64(time.Microsecond))
	e.updatedAt = now
	a.byAge.MoveToBack(e.age)
	a.publish(e, Speed{PromptTokenTime: e.prompt.duration(), EventInterval: e.event.duration()})
}

func (a *Aggregate) entryOf(i Instance, now time.Duration) *entry {
	if a.entries == nil {
		a.entries, a.byAge = map[Instance]*entry{}, list.New()
	}
	e := a.entries[i]
	if e == nil {
		e = &entry{instance: i, updatedAt: now}
		e.age = a.byAge.PushBack(e)
		a.entries[i] = e
	}
	return e
}

// publish lists a speed if it has changed by enough.
func (a *Aggregate) publish(e *entry, s Speed) {
	if !differs(e.published.PromptTokenTime, s.PromptTokenTime) && !differs(e.published.EventInterval, s.EventInterval) {
		return
	}
	a.revision++
	e.published, e.revision = s, a.revision
	a.changes = append(a.changes, change{revision: a.revision, entry: e})
}

func differs(before, after time.Duration) bool {
	return math.Abs(float64(after-before)) > changeShare*float64(before)
}

// Expire drops the instances that have had no sample lately.
func (a *Aggregate) Expire(now time.Duration) {
	for a.byAge != nil && a.byAge.Len() > 0 {
		e := a.byAge.Front().Value.(*entry)
		if now-e.updatedAt < dropAfter {
			break
		}
		a.byAge.Remove(e.age)
		delete(a.entries, e.instance)
		e.isDropped = true
		a.publish(e, Speed{})
	}
	a.compact(now)
}

// compact removes outdated changes, and instances that were dropped long ago, once the list
// of changes has grown beyond its bound.
func (a *Aggregate) compact(now time.Duration) {
	if len(a.changes) <= max(changesSlack, a.compactAbove) {
		return
	}
	kept := a.changes[:0]
	for _, c := range a.changes {
		if c.entry.revision == c.revision && (!c.entry.isDropped || now-c.entry.updatedAt < dropAfter+toldFor) {
			kept = append(kept, c)
		}
	}
	clear(a.changes[len(kept):])
	a.changes, a.compactAbove = kept, 2*len(kept)+changesSlack
}

// ChangedAfter returns the speeds that changed after a revision, at most MaxPerMessage, and the
// revision up to which the receiver has the list then.
func (a *Aggregate) ChangedAfter(has uint64) (changed []*betweenv1.TargetSpeed, revision uint64) {
	first := sort.Search(len(a.changes), func(i int) bool { return a.changes[i].revision > has })
	for _, c := range a.changes[first:] {
		if len(changed) == MaxPerMessage {
			return changed, has
		}
		has = c.revision
		if c.entry.revision == c.revision {
			changed = append(changed, c.entry.published.message(c.entry.instance))
		}
	}
	return changed, has
}

// Len returns how many instances have had samples lately.
func (a *Aggregate) Len() int { return len(a.entries) }
