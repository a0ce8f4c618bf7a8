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
	// decayTime is the time constant with which the sums of an instance decay.
	decayTime = 10 * time.Second
	// dropAfter is how long an instance is kept without samples, and toldFor how long the
	// boxes can learn after that that its speed is not known any more. A box that has not
	// asked for longer forgets all speeds.
	dropAfter = 30 * time.Second
	toldFor   = time.Minute
	// changeShare is the change of a speed from which on it is sent again.
	changeShare = 0.1
	// knownTokens and knownEvents are how many prompt tokens and events a speed takes to
	// be known.
	knownTokens = 3000
	knownEvents = 16
	// maxTokens and maxEvents bound what one sample counts. A box has a few calls a second
	// at a target at most, and one that reports wrong sums must not outweigh the others.
	maxTokens = 16384
	maxEvents = 512
	// maxRatio bounds the speed in a sample, as a ratio to the known speed. A target that
	// has slowed to a tenth is still seen to do so within two time constants.
	maxRatio = 4.0
	// changesSlack is how many entries beyond two for each change that is needed the list
	// of changes may have before it is compacted.
	changesSlack = 64
)

// Aggregate adds up the samples of all boxes, and lists the speeds by revision: a box that
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
	prompt, event decayedSum
	// published is the speed that the boxes are sent, as of revision.
	published Speed
	revision  uint64
	updatedAt time.Duration
	isDropped bool
	age       *list.Element
}

// decayedSum is a sum of times and of the units that took them. isKnown is set once it has
// enough units.
type decayedSum struct {
	units, time float64
	isKnown     bool
}

// add adds units that took d nanoseconds, at most limit of them, after the sum has decayed
// by the given factor.
func (s *decayedSum) add(units, d, decay, limit, known float64) {
	s.units *= decay
	s.time *= decay
	if units <= 0 || d <= 0 {
		return
	}
	each := d / units
	if s.isKnown {
		now := s.each()
		each = min(max(each, now/maxRatio), now*maxRatio)
	}
	units = min(units, limit)
	s.units += units
	s.time += units * each
	s.isKnown = s.isKnown || s.units >= known
}

// each returns the time of one unit in nanoseconds, zero if it is not known.
func (s *decayedSum) each() float64 {
	if !s.isKnown {
		return 0
	}
	return s.time / s.units
}

// Put adds a sample.
func (a *Aggregate) Put(m *betweenv1.SpeedSample, now time.Duration) {
	e := a.entryOf(Instance{Target: m.GetTarget(), Born: m.GetBorn()}, now)
	decay := math.Exp(-(now - e.updatedAt).Seconds() / decayTime.Seconds())
	e.prompt.add(float64(m.GetPromptTokens()), float64(m.GetPromptTime())*float64(time.Microsecond), decay, maxTokens, knownTokens)
	e.event.add(float64(m.GetEvents()), float64(m.GetEventTime())*float64(time.Microsecond), decay, maxEvents, knownEvents)
	e.updatedAt = now
	a.byAge.MoveToBack(e.age)
	a.publish(e, Speed{PromptTokenTime: toDuration(e.prompt.each()), EventInterval: toDuration(e.event.each())})
}

func toDuration(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(maxTime)))
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
