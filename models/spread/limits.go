// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"slices"
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

// limitPressure tracks the calls of a service that arrive while this box's shares of all
// its targets are used up.
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
	// Wait is how long the call is to wait for its place in the next window or for a seat. Zero
	// means that the call is refused.
	Wait time.Duration
	// Ticket is the call's place among those that wait for a seat: the caller must call LeaveQueue
	// once the call has been sent or refused. It is zero for a call that waits for the next window:
	// the caller must call EndWait after the wait.
	Ticket int64
	// A refused call may be retried after the first of these times. Retries of several
	// calls are to be spread over the second one, which follows the first.
	RetryAfter, RetrySpread time.Duration
}

// SetFleet sets the boxes that share the limits, and the fleet's time.
func (tb *Table) SetFleet(f rate.Fleet) {
	if !f.HasSameBoxes(tb.fleet) || tb.fleetRevision == 0 {
		tb.fleetRevision++
	}
	tb.fleet = f
}

// HasLimit reports whether a target has a limit at now.
func (tb *Table) HasLimit(t *Target, now time.Duration) bool {
	return tb.CurrentLimit(t, now) != rate.Unlimited
}

// sendable reports whether this box may send a call to a target at now.
func (tb *Table) sendable(t *Target, criteria Criteria, now time.Duration) bool {
	return tb.hasRate(t, now) && tb.canSeat(t, criteria, now)
}

// hasRate reports whether the rate limit of a target lets this box send to it at now.
func (tb *Table) hasRate(t *Target, now time.Duration) bool {
	limit := tb.CurrentLimit(t, now)
	return limit == rate.Unlimited || t.meter.CanSend(tb.fleet, limit, t.hash, now)
}

// AcquireSend counts a request that is about to be sent to a target and reports whether it
// may be sent. With force set it always may, and what exceeds this box's share is
// deducted from the shares of later windows: such a request continues a run that another
// target has already stopped.
func (tb *Table) AcquireSend(t *Target, force bool, now time.Duration) bool {
	limit := tb.CurrentLimit(t, now)
	switch {
	case limit == rate.Unlimited:
		t.meter.Count(tb.fleet, now)
	case force:
		t.meter.ForceCount(tb.fleet, limit, t.hash, now)
	default:
		return t.meter.Acquire(tb.fleet, limit, t.hash, now)
	}
	return true
}

// RecordStatement records a statement that a target made to this box. It reports whether
// the limit has been queued for announcement to the other boxes.
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

// TakeAnnouncements removes up to maxTargets targets from the announcement queue and
// returns them, oldest first. Their limits count as known to the other boxes from then on.
func (tb *Table) TakeAnnouncements(maxTargets int) []*Target {
	n := min(maxTargets, len(tb.unannounced))
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
func (tb *Table) mayUseLimited(criteria Criteria, now time.Duration) bool {
	s := tb.pressure[criteria.Service]
	if s == nil || criteria.Rank <= s.topRank || now-s.topRankSeen > refusalDecay {
		return true
	}
	at, length := tb.fleet.Phase(now)
	return at >= length/2
}

// IsExhausted reports whether limits keep this box from sending to any target of a call's
// service now, and if so what to do with the call. A call that is to wait is counted as
// waiting until EndWait.
func (tb *Table) IsExhausted(criteria Criteria, now time.Duration) (Backoff, bool) {
	for _, t := range tb.services[criteria.Service] {
		if tb.isUsable(t, criteria) && t.bannedUntil <= now && !tb.HasLimit(t, now) && !tb.HasRejectionLimit(t, now) {
			return Backoff{}, false
		}
	}
	found := tb.candidates(criteria, now)
	if len(found.sendable) > 0 || len(found.seated) > 0 || len(found.exhausted) == 0 {
		return Backoff{}, false
	}
	return tb.waitOrRefuse(criteria, found.exhausted, now), true
}

// waitOrRefuse decides what to do with a call that can't be sent now because of limits. The
// call waits for the next window if that begins within MaxWait and the box's share of it
// exceeds the calls that are waiting already. Otherwise it is refused, with a time to
// retry.
func (tb *Table) waitOrRefuse(criteria Criteria, exhausted []*Target, now time.Duration) (b Backoff) {
	s := tb.pressure[criteria.Service]
	if s == nil {
		s = &limitPressure{}
		tb.pressure[criteria.Service] = s
	}
	seated := slices.ContainsFunc(exhausted, func(t *Target) bool { return tb.HasRejectionLimit(t, now) })
	if seated {
		if b, ok := tb.waitForSeat(criteria); ok {
			return b
		}
	}
	opens, share := tb.nextShare(exhausted, now)
	if !seated && share > s.waiting && opens-now <= criteria.MaxWait {
		s.waiting++
		return Backoff{Wait: opens - now}
	}
	s.refused = s.refused*math.Exp(-float64(now-s.updated)/float64(refusalDecay)) + 1
	s.updated = now
	if criteria.Rank <= s.topRank || now-s.topRankSeen > refusalDecay {
		s.topRank, s.topRankSeen = criteria.Rank, now
	}
	perSecond := 0.0
	for _, t := range exhausted {
		perSecond += tb.acceptedRate(t, now)
	}
	seconds := s.refused * float64(max(1, criteria.Boxes)) / max(rate.MinRate, perSecond)
	at, length := tb.fleet.Phase(now)
	b.RetryAfter = length - at
	b.RetrySpread = max(minRetrySpread, time.Duration(min(seconds, maxRetrySpread.Seconds())*float64(time.Second)))
	return b
}

// acceptedRate returns how many calls a second a target with a limit of either kind accepts from all
// boxes.
func (tb *Table) acceptedRate(t *Target, now time.Duration) float64 {
	limit := tb.CurrentLimit(t, now)
	if !tb.HasRejectionLimit(t, now) {
		return limit
	}
	return min(limit, float64(tb.slotsOf(t, now))/tb.roomOf(t.Service).holdTime.Seconds())
}

// nextShare returns when the next window begins in which this box may send to any of the
// targets, and how many requests it may then send to them.
func (tb *Table) nextShare(exhausted []*Target, now time.Duration) (opens time.Duration, share int64) {
	for _, t := range exhausted {
		begins, requests := t.meter.NextShare(tb.fleet, tb.CurrentLimit(t, now), t.hash, now)
		switch {
		case requests == 0 || share > 0 && begins > opens:
		case share > 0 && begins == opens:
			share += requests
		default:
			opens, share = begins, requests
		}
	}
	return opens, share
}

// EndWait records that a call has ended its wait for the next window.
func (tb *Table) EndWait(service string) { tb.pressure[service].waiting-- }
