// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

// A target may name how many requests a second it takes from all boxes together.
// This box then has a part of them (package rate), whatever goes there: the table
// offers such a target for a call only while the part is not used up, and each
// request that leaves asks it again.

const (
	// newsChange is by what part a limit must have changed to be told to others:
	// one that changes with every answer would else be told as often.
	newsChange = 0.2
	// scarceMemory is how long a call that was refused for want of what targets take
	// counts: those that are less urgent leave the first part of each window to its
	// kind, and callers come back spread over the time that all need.
	scarceMemory = 2 * time.Second
	// comeBackLeast and comeBackMost bound the time over which they are spread. A
	// caller follows no longer time than a third of what it has left.
	comeBackLeast = 300 * time.Millisecond
	comeBackMost  = 10 * time.Second
)

// scarcity is what a service's callers lack while all its targets name limits.
type scarcity struct {
	// refused counts this box's calls that were refused for it, decayed over
	// scarceMemory; updated is when it last was.
	refused float64
	updated time.Duration
	// waiting are this box's calls that wait for the next window.
	waiting int64
	// rank is the most urgent rank among them, seen when one last was refused.
	rank uint32
	seen time.Duration
}

// Want is what becomes of a call whose service has no target that this box may send
// to now, for what they take from all boxes.
type Want struct {
	// Wait is how long it waits for a place that will be there, zero when it is
	// refused. Waited has to be called then.
	Wait time.Duration
	// It can come back after Earliest, and several such over the time Spread.
	Earliest, Spread time.Duration
}

// SetFleet takes in who sends, and the fleet's time.
func (tb *Table) SetFleet(f rate.Fleet) { tb.fleet = f }

// LimitOf returns the requests a second that a target gets from the fleet at
// present, rate.None when it has no limit.
func (tb *Table) LimitOf(t *Target, now time.Duration) float64 { return t.limit.Now(now) }

// Limited tells whether a target has a limit at present.
func (tb *Table) Limited(t *Target, now time.Duration) bool { return t.limit.Now(now) != rate.None }

// open tells whether this box may send a request to a target now.
func (tb *Table) open(t *Target, now time.Duration) bool {
	limit := t.limit.Now(now)
	return limit == rate.None || t.meter.Open(tb.fleet, limit, t.hash, now)
}

// Take counts a request that leaves for a target, and tells whether it may. One that
// is owed goes anyway, and is made up for: it continues a run that another target has
// given up already.
func (tb *Table) Take(t *Target, owed bool, now time.Duration) bool {
	limit := t.limit.Now(now)
	switch {
	case limit == rate.None:
		t.meter.Count(tb.fleet, now)
	case owed:
		t.meter.Owe(tb.fleet, limit, t.hash, now)
	default:
		return t.meter.Take(tb.fleet, limit, t.hash, now)
	}
	return true
}

// Heard takes in what a target said to this box, and tells whether that is news for
// other boxes.
func (tb *Table) Heard(t *Target, s rate.Statement) (news bool) {
	t.limit.Take(s)
	if t.limit.Said != s {
		return false
	}
	t.heard = s
	return tb.tell(t)
}

// Learned takes in what a target said to another box, and tells whether a limit holds
// then that differs from the one before.
func (tb *Table) Learned(id string, born int64, service string, s rate.Statement) (t *Target, changed bool) {
	t = tb.byID[id]
	if t == nil || t.Born != born || t.Service != service {
		return nil, false
	}
	before := t.limit.Said.Limit
	t.known, t.told = true, s.Limit
	changed = t.limit.Take(s) && isNews(before, t.limit.Said.Limit)
	if t.heard == t.limit.Said {
		tb.tell(t)
	}
	return t, changed
}

// tell notes that other boxes should hear of a target's limit, unless they know it or
// are to hear of it already.
func (tb *Table) tell(t *Target) bool {
	limit := t.limit.Said.Limit
	t.named = t.named || limit != rate.None
	news := t.named
	if t.known {
		news = isNews(t.told, limit)
	}
	if t.untold || !news {
		return false
	}
	t.untold = true
	tb.untold = append(tb.untold, t)
	return true
}

// isNews tells whether a limit differs enough from the one that was known.
func isNews(known, limit float64) bool {
	if known == rate.None || limit == rate.None {
		return known != limit
	}
	return math.Abs(limit-known) > newsChange*known
}

// Untold tells whether others should hear of limits.
func (tb *Table) Untold() bool { return len(tb.untold) > 0 }

// TellLimits returns up to a number of targets with limits that others should hear
// of, those that wait longest first.
func (tb *Table) TellLimits(most int) []*Target {
	n := min(most, len(tb.untold))
	list := tb.untold[:n:n]
	tb.untold = tb.untold[n:]
	for _, t := range list {
		t.untold = false
		t.known, t.told = true, t.limit.Said.Limit
	}
	return list
}

// TellAgain notes that others have not heard of targets' limits after all.
func (tb *Table) TellAgain(list []*Target) {
	for _, t := range list {
		t.known = false
		tb.tell(t)
	}
}

// TellAll notes that others know of no limits: what this box has heard itself is told
// again.
func (tb *Table) TellAll() {
	for _, t := range tb.byID {
		if t.heard != (rate.Statement{}) {
			t.known = false
			tb.tell(t)
		}
	}
}

// Said returns what the target said to this box or another one last.
func (t *Target) Said() rate.Statement { return t.limit.Said }

// mayTakeScarce tells whether a call may use what little the targets of a service
// take: while more urgent ones are refused, others wait for the second half of each
// window.
func (tb *Table) mayTakeScarce(need Need, now time.Duration) bool {
	s := tb.scarce[need.Service]
	if s == nil || need.Rank <= s.rank || now-s.seen > scarceMemory {
		return true
	}
	at, length := tb.fleet.Phase(now)
	return at >= length/2
}

// Shut tells whether this box may send to no target of a call's service now, and what
// becomes of the call then.
func (tb *Table) Shut(need Need, now time.Duration) (Want, bool) {
	for _, t := range tb.services[need.Service] {
		if tb.usable(t, need) && t.bannedTo <= now && !tb.Limited(t, now) {
			return Want{}, false
		}
	}
	found := tb.candidates(need, now)
	if len(found.open) > 0 || len(found.closed) == 0 {
		return Want{}, false
	}
	return tb.want(need, found.closed, now), true
}

// want decides on a call whose service has no target that this box may send to now. It
// waits for the next window where that is soon and has room for it beside those that
// wait already; else it is refused, with a time to come back.
func (tb *Table) want(need Need, closed []*Target, now time.Duration) (w Want) {
	s := tb.scarce[need.Service]
	if s == nil {
		s = &scarcity{}
		tb.scarce[need.Service] = s
	}
	opens, part := tb.opens(closed, now)
	if part > s.waiting && opens-now <= need.Patience {
		s.waiting++
		return Want{Wait: opens - now}
	}
	s.refused = s.refused*math.Exp(-float64(now-s.updated)/float64(scarceMemory)) + 1
	s.updated = now
	if need.Rank <= s.rank || now-s.seen > scarceMemory {
		s.rank, s.seen = need.Rank, now
	}
	taken := 0.0
	for _, t := range closed {
		taken += t.limit.Now(now)
	}
	wait := s.refused * float64(max(1, need.Boxes)) / max(rate.Least, taken)
	at, length := tb.fleet.Phase(now)
	w.Earliest = length - at
	w.Spread = max(comeBackLeast, time.Duration(min(wait, comeBackMost.Seconds())*float64(time.Second)))
	return w
}

// opens returns when some of the targets next take requests of this box, and how many
// then.
func (tb *Table) opens(closed []*Target, now time.Duration) (at time.Duration, part int64) {
	for _, t := range closed {
		begins, own := t.meter.Next(tb.fleet, t.limit.Now(now), t.hash, now)
		switch {
		case own == 0 || part > 0 && begins > at:
		case part > 0 && begins == at:
			part += own
		default:
			at, part = begins, own
		}
	}
	return at, part
}

// Waited notes that a call has waited for the next window of its service's targets.
func (tb *Table) Waited(service string) { tb.scarce[service].waiting-- }
