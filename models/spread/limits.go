// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

// A target may state how many requests a second it accepts from all boxes together.
// Package rate allots this box a share, which covers every kind of request. Choose
// offers such a target only while the share is not used up, and the share is checked
// again for each request that is sent.

const (
	// significantChange is the relative change from which on a limit is announced to other
	// boxes. A limit that changes with every answer would otherwise be announced as
	// often.
	significantChange = 0.2
	// refusalDecay is the time constant with which refused calls are forgotten. While
	// one counts, less urgent calls leave the first half of each window to calls of
	// its rank, and retries are spread over the time that all refused calls need.
	refusalDecay = 2 * time.Second
	// minRetrySpread and maxRetrySpread bound the time over which retries are spread. A
	// caller never waits longer than a third of the time it has left.
	minRetrySpread = 300 * time.Millisecond
	maxRetrySpread = 10 * time.Second
)

// limitPressure tracks the calls of a service that find the shares of all targets used up.
type limitPressure struct {
	// refused counts this box's refused calls, decayed with refusalDecay as of
	// updated.
	refused float64
	updated time.Duration
	// waiting counts this box's calls that wait for the next window.
	waiting int64
	// topRank is the most urgent rank among the refused calls, and topRankSeen when a call
	// of that rank was last refused.
	topRank     uint32
	topRankSeen time.Duration
}

// Backoff says what to do with a call while the limits of all targets of its service keep
// this box from sending.
type Backoff struct {
	// Wait is how long the call is to wait for a reserved place in the next window;
	// the end of the wait must be reported to the table. Zero means that the call is
	// refused.
	Wait time.Duration
	// A refused call may be retried after the first of these times. Retries of several
	// calls are to be spread over the second one, which follows the first.
	RetryAfter, RetrySpread time.Duration
}

// SetFleet sets the boxes that share the limits, and the fleet's time.
func (tb *Table) SetFleet(f rate.Fleet) { tb.fleet = f }

// CurrentLimit returns how many requests a second all boxes together may send to a target
// at now, rate.Unlimited if it has no limit.
func (tb *Table) CurrentLimit(t *Target, now time.Duration) float64 { return t.limit.Rate(now) }

// HasLimit reports whether a target has a limit at now.
func (tb *Table) HasLimit(t *Target, now time.Duration) bool {
	return t.limit.Rate(now) != rate.Unlimited
}

// sendable reports whether this box may send a request to a target at now.
func (tb *Table) sendable(t *Target, now time.Duration) bool {
	limit := t.limit.Rate(now)
	return limit == rate.Unlimited || t.meter.CanSend(tb.fleet, limit, t.hash, now)
}

// AcquireSend counts a request that is about to be sent to a target and reports whether it
// may be sent. An owed request is always sent, and is taken off the shares of later
// windows: it continues a run that another target has already given up.
func (tb *Table) AcquireSend(t *Target, owed bool, now time.Duration) bool {
	limit := t.limit.Rate(now)
	switch {
	case limit == rate.Unlimited:
		t.meter.Count(tb.fleet, now)
	case owed:
		t.meter.ForceCount(tb.fleet, limit, t.hash, now)
	default:
		return t.meter.Acquire(tb.fleet, limit, t.hash, now)
	}
	return true
}

// RecordStatement records a statement that a target made to this box. It reports whether the
// limit has been queued for announcement to the other boxes.
func (tb *Table) RecordStatement(t *Target, s rate.Statement) (announce bool) {
	t.limit.Update(s)
	if t.limit.Statement != s {
		return false
	}
	t.ownStatement = s
	return tb.queueAnnouncement(t)
}

// RecordPeerStatement records a statement that a target made to another box. It returns the
// target, nil if that start is not known, and reports whether its limit has changed
// significantly.
func (tb *Table) RecordPeerStatement(id string, born int64, service string, s rate.Statement) (t *Target, changed bool) {
	t = tb.byID[id]
	if t == nil || t.Born != born || t.Service != service {
		return nil, false
	}
	before := t.limit.Statement.Limit
	t.isPeerLimitKnown, t.peerLimit = true, s.Limit
	changed = t.limit.Update(s) && isSignificantChange(before, t.limit.Statement.Limit)
	if t.ownStatement == t.limit.Statement {
		tb.queueAnnouncement(t)
	}
	return t, changed
}

// queueAnnouncement queues a target's limit for announcement, unless the other boxes
// know it or it is queued already. It reports whether it was queued.
func (tb *Table) queueAnnouncement(t *Target) bool {
	limit := t.limit.Statement.Limit
	t.hasStatedLimit = t.hasStatedLimit || limit != rate.Unlimited
	announce := t.hasStatedLimit
	if t.isPeerLimitKnown {
		announce = isSignificantChange(t.peerLimit, limit)
	}
	if t.unannounced || !announce {
		return false
	}
	t.unannounced = true
	tb.unannounced = append(tb.unannounced, t)
	return true
}

// isSignificantChange reports whether a limit differs from the known one by more than
// significantChange.
func isSignificantChange(known, limit float64) bool {
	if known == rate.Unlimited || limit == rate.Unlimited {
		return known != limit
	}
	return math.Abs(limit-known) > significantChange*known
}

// HasAnnouncements reports whether limits are queued for announcement to the other boxes.
func (tb *Table) HasAnnouncements() bool { return len(tb.unannounced) > 0 }

// TakeAnnouncements removes up to most targets from the announcement queue and returns them,
// oldest first. Their limits count as known to the other boxes from then on.
func (tb *Table) TakeAnnouncements(most int) []*Target {
	n := min(most, len(tb.unannounced))
	list := tb.unannounced[:n:n]
	tb.unannounced = tb.unannounced[n:]
	for _, t := range list {
		t.unannounced = false
		t.isPeerLimitKnown, t.peerLimit = true, t.limit.Statement.Limit
	}
	return list
}

// RequeueAnnouncements queues targets again whose announcement has failed.
func (tb *Table) RequeueAnnouncements(list []*Target) {
	for _, t := range list {
		t.isPeerLimitKnown = false
		tb.queueAnnouncement(t)
	}
}

// AnnounceAll queues all limits that targets have stated to this box itself, for the case
// that the other boxes know of none.
func (tb *Table) AnnounceAll() {
	for _, t := range tb.byID {
		if t.ownStatement != (rate.Statement{}) {
			t.isPeerLimitKnown = false
			tb.queueAnnouncement(t)
		}
	}
}

// Statement returns the target's statement in force, made to this box or another one.
func (t *Target) Statement() rate.Statement { return t.limit.Statement }

// mayUseLimited reports whether a call may be sent to targets with limits if there are
// no others. While more urgent calls are refused, it may be only in the second half of
// each window.
func (tb *Table) mayUseLimited(need Criteria, now time.Duration) bool {
	s := tb.pressure[need.Service]
	if s == nil || need.Rank <= s.topRank || now-s.topRankSeen > refusalDecay {
		return true
	}
	at, length := tb.fleet.Phase(now)
	return at >= length/2
}

// IsExhausted reports whether limits keep this box from sending to any target of a call's
// service now, and if so what to do with the call.
func (tb *Table) IsExhausted(need Criteria, now time.Duration) (Backoff, bool) {
	for _, t := range tb.services[need.Service] {
		if tb.isUsable(t, need) && t.bannedUntil <= now && !tb.HasLimit(t, now) {
			return Backoff{}, false
		}
	}
	found := tb.candidates(need, now)
	if len(found.sendable) > 0 || len(found.exhausted) == 0 {
		return Backoff{}, false
	}
	return tb.waitOrRefuse(need, found.exhausted, now), true
}

// waitOrRefuse decides what to do with a call that can't be sent now because of limits. The
// call waits for the next window if that begins within its patience and has a place
// left beside the calls that are waiting already. Otherwise it is refused, with a time
// to retry.
func (tb *Table) waitOrRefuse(need Criteria, exhausted []*Target, now time.Duration) (w Backoff) {
	s := tb.pressure[need.Service]
	if s == nil {
		s = &limitPressure{}
		tb.pressure[need.Service] = s
	}
	opens, part := tb.nextShare(exhausted, now)
	if part > s.waiting && opens-now <= need.MaxWait {
		s.waiting++
		return Backoff{Wait: opens - now}
	}
	s.refused = s.refused*math.Exp(-float64(now-s.updated)/float64(refusalDecay)) + 1
	s.updated = now
	if need.Rank <= s.topRank || now-s.topRankSeen > refusalDecay {
		s.topRank, s.topRankSeen = need.Rank, now
	}
	taken := 0.0
	for _, t := range exhausted {
		taken += t.limit.Rate(now)
	}
	wait := s.refused * float64(max(1, need.Boxes)) / max(rate.MinRate, taken)
	at, length := tb.fleet.Phase(now)
	w.RetryAfter = length - at
	w.RetrySpread = max(minRetrySpread, time.Duration(min(wait, maxRetrySpread.Seconds())*float64(time.Second)))
	return w
}

// nextShare returns when the shares of some of the targets are next renewed, and how many
// requests this box may then send to these.
func (tb *Table) nextShare(exhausted []*Target, now time.Duration) (at time.Duration, part int64) {
	for _, t := range exhausted {
		begins, own := t.meter.NextShare(tb.fleet, t.limit.Rate(now), t.hash, now)
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

// EndWait records that a call has ended its wait for the next window.
func (tb *Table) EndWait(service string) { tb.pressure[service].waiting-- }
