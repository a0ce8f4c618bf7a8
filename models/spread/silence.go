// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"sync/atomic"
	"time"
)

// A target is silent for a box if it has calls of this box running, no byte of it has arrived on any
// connection for some time, and it does not answer a query either. Calls leave it then for other targets.
// Silence is no failure: a sound target may be silent for a while, and a box whose own link is cut off
// finds all its targets silent.

// SilenceTerms say when a target is asked whether it is alive.
type SilenceTerms struct {
	// Quiet is how long no byte must have arrived from a target with running calls before it is asked.
	Quiet time.Duration
	// Interval is the least time between the starts of two queries to one target.
	Interval time.Duration
}

// DefaultSilenceTerms returns the terms of targets in production.
func DefaultSilenceTerms() SilenceTerms {
	return SilenceTerms{Quiet: 300 * time.Millisecond, Interval: 1500 * time.Millisecond}
}

// LookInterval is the time between two looks at a watched target.
func (s SilenceTerms) LookInterval() time.Duration { return s.Quiet / 2 }

// maxLookDelay is how late a look may be, in look intervals: a box that did not run itself can't tell
// whether its targets were silent.
const maxLookDelay = 3

// silence is what a box knows of the silence of one target.
type silence struct {
	// heard is set when bytes have arrived since the last look.
	heard atomic.Bool
	// watched is set while the target is looked at, and lookedAt when it last was.
	watched  bool
	lookedAt time.Duration
	// quietSince is since when no byte has arrived, as far as looks can tell.
	quietSince time.Duration
	// asking is set while a query is under way, askedAt when the last one began, and hasAsked once there
	// was one.
	asking, hasAsked bool
	askedAt          time.Duration
	silent           bool
}

// Hear records that bytes of the target have arrived. It may be called without the table's lock.
func (t *Target) Hear() { t.silence.heard.Store(true) }

// IsSilent reports whether the target is silent for this box.
func (t *Target) IsSilent() bool { return t.silence.silent && !t.silence.heard.Load() }

// IsEngine reports whether the targets of a service are engines, which answer queries.
func (tb *Table) IsEngine(service string) bool {
	_, ok := tb.engineTerms[service]
	return ok
}

// Watch begins to watch a target at which a call of this box begins. It returns false if the target is
// watched already.
func (tb *Table) Watch(t *Target, now time.Duration) bool {
	s := &t.silence
	if s.watched {
		return false
	}
	s.watched, s.lookedAt, s.quietSince = true, now, now
	s.heard.Store(false)
	return true
}

// Look looks at a watched target. It reports whether the target is to be asked, which begins a query,
// and whether it is still watched. mayAsk is false while this box can't tell silence from trouble of its
// own; targets with limits are not asked either.
func (tb *Table) Look(t *Target, terms SilenceTerms, mayAsk bool, now time.Duration) (ask, watched bool) {
	s := &t.silence
	isLate := now-s.lookedAt > maxLookDelay*terms.LookInterval()
	s.lookedAt = now
	mayAsk = mayAsk && !tb.HasLimit(t, now) && !tb.HasRejectionLimit(t, now)
	if s.heard.Swap(false) || isLate || !mayAsk {
		s.quietSince, s.silent = now, false
	}
	s.watched = t.RunningCalls > 0 || s.asking || s.silent && tb.byID[t.ID] == t
	isQuiet := s.silent || now-s.quietSince >= terms.Quiet
	if !s.watched || !mayAsk || !isQuiet || s.hasAsked && now-s.askedAt < terms.Interval {
		return false, s.watched
	}
	return tb.BeginQuery(t, now), true
}

// BeginQuery records that a target is asked. It returns false if a query is under way already.
func (tb *Table) BeginQuery(t *Target, now time.Duration) bool {
	s := &t.silence
	if s.asking {
		return false
	}
	s.asking, s.hasAsked, s.askedAt = true, true, now
	if s.heard.Swap(false) {
		s.quietSince, s.silent = now, false
	}
	return true
}

// AnsweredLately reports whether the last query began not long ago and the target answered it.
func (t *Target) AnsweredLately(terms SilenceTerms, now time.Duration) bool {
	s := &t.silence
	return s.hasAsked && !s.asking && !s.silent && now-s.askedAt < terms.Quiet
}

// RecordNoAnswer records that a target has not answered the query that is under way within wait.
func (t *Target) RecordNoAnswer(wait, now time.Duration) {
	s := &t.silence
	wasHeard := s.heard.Load() || s.quietSince > s.askedAt
	s.silent = s.asking && !wasHeard && now-s.askedAt < 2*wait
}

// EndQuery records the end of the query that is under way. A target that answered, or whose connection
// failed, is not silent.
func (t *Target) EndQuery(answered bool) {
	t.silence.asking = false
	if answered {
		t.silence.silent = false
	}
}
