// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

const (
	// rejectionLimitExpiry is how long a rejection limit holds after any box has last heard it.
	rejectionLimitExpiry = time.Minute
	// rejectionLimitRenewal is the minimum time between two reports of the same limit to control.
	rejectionLimitRenewal = time.Second
)

// RejectionLimit is what is known of the rejection limit of a service's targets.
type RejectionLimit struct {
	Service string
	// PerSecond is how many calls a second one target can reject.
	PerSecond float64
	// Age is how long ago a box heard it.
	Age time.Duration
}

// RecordRejectionLimit records the rejection limit that a target named in an answer,
// rate.Unlimited for none. It reports whether control is to be told.
func (tb *Table) RecordRejectionLimit(t *Target, s rate.Statement) (tell bool) {
	if s.Limit == rate.Unlimited {
		t.room.noneSent = max(t.room.noneSent, s.Sent)
		return false
	}
	r := tb.roomOf(t.Service)
	r.heardAt = s.Received
	r.merge(s)
	tb.hasRejectionLimits = true
	return r.isToBeTold(s.Received)
}

// RecordPeerRejectionLimit records a rejection limit that another box heard. It reports whether the
// service had none before.
func (tb *Table) RecordPeerRejectionLimit(l RejectionLimit, now time.Duration) bool {
	if l.Age < 0 || l.Age > rejectionLimitExpiry || !(l.PerSecond >= 0) {
		return false
	}
	r := tb.roomOf(l.Service)
	tb.hasRejectionLimits = true
	before := r.isNamed && now-r.named.Received <= rejectionLimitExpiry
	r.merge(rate.Statement{Limit: l.PerSecond, Sent: now - l.Age, Received: now - l.Age})
	return !before
}

// merge takes over a statement unless a later one is known.
func (r *roomStats) merge(s rate.Statement) {
	if !r.isNamed {
		r.isNamed, r.named = true, s
		return
	}
	r.named = r.named.Merge(s)
}

// RejectionLimitsToTell returns the rejection limits of which control is to be told now, and counts
// them as told.
func (tb *Table) RejectionLimitsToTell(now time.Duration) (list []RejectionLimit) {
	for service, r := range tb.rooms {
		if !r.isToBeTold(now) {
			continue
		}
		r.toldAt = now
		list = append(list, RejectionLimit{Service: service, PerSecond: r.named.Limit, Age: now - r.heardAt})
	}
	return list
}

// HasRejectionLimitsToTell reports whether control is to be told of a rejection limit now.
func (tb *Table) HasRejectionLimitsToTell(now time.Duration) bool {
	for _, r := range tb.rooms {
		if r.isToBeTold(now) {
			return true
		}
	}
	return false
}

// isToBeTold reports whether this box has heard a rejection limit that control has not been told
// lately.
func (r *roomStats) isToBeTold(now time.Duration) bool {
	renewed := r.toldAt == 0 || now-r.toldAt >= rejectionLimitRenewal
	return renewed && r.heardAt > r.toldAt && now-r.heardAt <= rejectionLimitExpiry
}

// rejectionLimit returns the rejection limit of a target; limited is false if it has none.
func (tb *Table) rejectionLimit(t *Target, now time.Duration) (perSecond float64, limited bool) {
	if !tb.hasRejectionLimits {
		return 0, false
	}
	r := tb.rooms[t.Service]
	if r == nil || !r.isNamed || now-r.named.Received > rejectionLimitExpiry || t.room.noneSent > r.named.Received {
		return 0, false
	}
	return r.named.Limit, true
}

// HasRejectionLimit reports whether a target has a rejection limit at now.
func (tb *Table) HasRejectionLimit(t *Target, now time.Duration) bool {
	_, limited := tb.rejectionLimit(t, now)
	return limited
}
