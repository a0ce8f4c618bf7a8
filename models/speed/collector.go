// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"cmp"
	"slices"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

const (
	// minPromptTokens is how many unshared tokens a prompt must have to be a sample. With
	// fewer, the time to the first event depends more on the network and on the steps of
	// the engine than on the prompt.
	minPromptTokens = 500
	// minEvents is how many events a stream must have to be a sample.
	minEvents = 4
	// maxSampleAge is the age from which on sums that were never acknowledged are
	// dropped: they tell how fast a target was, not how fast it is.
	maxSampleAge = 10 * time.Second
	// takeInterval is the least time between reports with new sums. Lease holders report every
	// 300 ms: at about 30 bytes each, MaxPerMessage sums in each report would take 6 KB/s of the
	// 22 KB/s that a box may use.
	takeInterval = time.Second
)

// Collector holds the sums that a box has measured and that control has not acknowledged.
// It is not safe for concurrent use.
type Collector struct {
	pending map[Instance]*sums
	// inReport are the sums of the last report, taken at takenAt. They are sent again
	// unchanged until they are acknowledged, so that control can tell a repeated report.
	inReport []*betweenv1.SpeedSample
	takenAt  time.Duration
	// nextTake is the earliest time at which new sums are taken.
	nextTake time.Duration
}

type sums struct {
	sample *betweenv1.SpeedSample
	// since is when the first call was added.
	since time.Duration
}

// duration is the time that the sums cover, in microseconds.
func (s *sums) duration() uint64 { return s.sample.GetPromptTime() + s.sample.GetEventTime() }

// AddPrompt adds a prompt with the given number of unshared tokens, and the time from the
// call to its first event. Short prompts are ignored.
func (c *Collector) AddPrompt(i Instance, tokens int, first, now time.Duration) {
	if tokens < minPromptTokens || first <= 0 {
		return
	}
	s := c.of(i, now)
	s.PromptTokens += uint64(tokens)
	s.PromptTime += uint64(first.Microseconds())
}

// AddStream adds a stream of the given number of events, of which intervals came after the
// first ones, and the time in which they came. Short streams are ignored.
func (c *Collector) AddStream(i Instance, events, intervals uint64, d, now time.Duration) {
	if events < minEvents || intervals == 0 || d <= 0 {
		return
	}
	c.addEvents(i, intervals, d, now)
}

// AddAnswer adds a call to a plain service, and the time from the call to its answer.
func (c *Collector) AddAnswer(i Instance, d, now time.Duration) {
	if d > 0 {
		c.addEvents(i, 1, d, now)
	}
}

func (c *Collector) addEvents(i Instance, n uint64, d, now time.Duration) {
	s := c.of(i, now)
	s.Events += n
	s.EventTime += uint64(d.Microseconds())
}

func (c *Collector) of(i Instance, now time.Duration) *betweenv1.SpeedSample {
	if c.pending == nil {
		c.pending = map[Instance]*sums{}
	}
	s := c.pending[i]
	if s == nil {
		s = &sums{sample: &betweenv1.SpeedSample{Target: i.Target, Born: i.Born}, since: now}
		c.pending[i] = s
	}
	return s.sample
}

// Take returns the sums for the next report: those of the last one if it was not
// acknowledged, or else the MaxPerMessage largest, once in takeInterval at most. Until then they
// go on growing. Sums that were not acknowledged are in each report: control counts the reports of
// one number once, and would miss them if the first that it receives had none.
func (c *Collector) Take(now time.Duration) []*betweenv1.SpeedSample {
	if c.inReport != nil && now-c.takenAt < maxSampleAge {
		return c.inReport
	}
	c.inReport = nil
	if now < c.nextTake {
		return nil
	}
	largest := make([]*sums, 0, len(c.pending))
	for i, s := range c.pending {
		if now-s.since >= maxSampleAge {
			delete(c.pending, i)
			continue
		}
		largest = append(largest, s)
	}
	slices.SortFunc(largest, func(a, b *sums) int {
		return cmp.Or(cmp.Compare(b.duration(), a.duration()), cmp.Compare(a.sample.GetTarget(), b.sample.GetTarget()))
	})
	if len(largest) == 0 {
		return nil
	}
	c.takenAt, c.nextTake = now, now+takeInterval
	for _, s := range largest[:min(MaxPerMessage, len(largest))] {
		c.inReport = append(c.inReport, s.sample)
		delete(c.pending, Instance{Target: s.sample.GetTarget(), Born: s.sample.GetBorn()})
	}
	return c.inReport
}

// Acknowledge records that control has the sums of the last report.
func (c *Collector) Acknowledge() { c.inReport = nil }
