// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"slices"
	"time"

	"havenwinch.dev/havenwinch/models/software"
)

// A target is banned for a time if it can't be reached or fails far more calls than
// the others (an outlier), and for good if another target has its address.
const (
	// minBan and maxBan bound the ban of an unreachable target, and so the time
	// until it is used again after a network partition.
	minBan = 500 * time.Millisecond
	maxBan = 2 * time.Second
	// outlierBan is the ban of an outlier, which fails calls but can be reached.
	outlierBan = 3 * time.Second
	// outlierMinCalls is how many calls must have ended before a target can be an outlier.
	outlierMinCalls = 6
	// outlierFailureRate is the failure rate that an outlier exceeds, and outlierMargin
	// by how much it exceeds the mean rate of the others.
	outlierFailureRate = 0.3
	outlierMargin      = 0.2
	// outcomeWeight is the weight of a new outcome in the moving average of the failure
	// rate.
	outcomeWeight = 0.12
	// maxOutlierShare is the share of a service's targets that may be banned as outliers at
	// a time.
	maxOutlierShare = 0.34
)

// BanUnreachable bans a target that could not be reached and returns the length of the
// ban. It returns zero for a target that is already banned: that call was sent before
// the ban, and does not lengthen it.
func (tb *Table) BanUnreachable(t *Target, now time.Duration) time.Duration {
	if t.unreachableBans > 0 && t.bannedUntil > now {
		return 0
	}
	ban := min(maxBan, minBan<<min(t.unreachableBans, 6))
	t.unreachableBans++
	t.bannedUntil = max(t.bannedUntil, now+ban)
	return ban
}

// BanReplaced bans a target for good because another one has its address. It reports
// whether this was not known before.
func (tb *Table) BanReplaced(t *Target) bool {
	first := !t.replaced
	t.replaced = true
	return first
}

// MarkReachable ends the ban of a target that can be reached again, unless it is an outlier.
// As it may have restarted in the meantime, it counts as cold.
func (tb *Table) MarkReachable(t *Target, now time.Duration) {
	if t.unreachableBans == 0 {
		return
	}
	tb.suspectCold(t, now)
	t.endUnreachable()
}

// endUnreachable ends the ban of a target that could not be reached, unless it is an outlier.
func (t *Target) endUnreachable() {
	t.unreachableBans = 0
	if !t.outlier {
		t.bannedUntil = 0
	}
}

// EndUnreachable ends the bans of a service's targets that could not be reached, as that was not
// due to them. They do not count as cold.
func (tb *Table) EndUnreachable(service string) {
	for _, t := range tb.services[service] {
		if t.unreachableBans > 0 {
			t.endUnreachable()
		}
	}
}

// ByID returns the present start of a target, nil if there is none.
func (tb *Table) ByID(id string) *Target { return tb.byID[id] }

// isCheckable reports whether a target may be dialled without a call.
func (tb *Table) isCheckable(t *Target) bool {
	return !t.Draining && !t.replaced && !tb.IsEvacuated(t)
}

// MayHaveCalls reports whether new calls may go to a target, banned or not.
func (tb *Table) MayHaveCalls(t *Target) bool { return tb.isCheckable(t) }

// CountUsable returns the number of a service's targets that calls may go to, banned ones
// included.
func (tb *Table) CountUsable(service string) int {
	n := 0
	for _, t := range tb.services[service] {
		if tb.isCheckable(t) {
			n++
		}
	}
	return n
}

// HasSoftware reports whether calls may go to a target of a service with the given software, banned
// ones included.
func (tb *Table) HasSoftware(service string, id software.Identity) bool {
	return slices.ContainsFunc(tb.services[service], func(t *Target) bool { return t.Software == id && tb.isCheckable(t) })
}

// HasOther reports whether calls may go to a target of the same service as t and of the given software,
// empty for any, banned ones included, other than t, silent ones and those whose starts are excluded.
func (tb *Table) HasOther(t *Target, excluded map[string]bool, id software.Identity) bool {
	return slices.ContainsFunc(tb.services[t.Service], func(o *Target) bool {
		return o != t && (id == "" || o.Software == id) && !excluded[o.StartIdentity()] && !o.IsSilent() && tb.isCheckable(o)
	})
}

// ToCheck returns at most n targets of a service, other than except, to find out whether the box
// reaches any, and the one whose start was reached last, if any. from selects where to begin in
// the list, in which those of the box's data centre come first, so that repeated checks include all.
func (tb *Table) ToCheck(service string, except *Target, reached string, from, n int) []*Target {
	var last, near, far []*Target
	for _, t := range tb.services[service] {
		switch {
		case t == except || !tb.isCheckable(t):
		case t.start == reached:
			last = append(last, t)
		case t.DataCentre == tb.dataCentre:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	list := append(near, far...)
	if len(list) == 0 {
		return last
	}
	from %= len(list)
	return append(last, append(list[from:], list[:from]...)[:min(n, len(list))]...)
}

// RecordOutcome records the outcome of a call that reached its target. It reports whether
// the target has now been banned as an outlier.
func (tb *Table) RecordOutcome(t *Target, failed bool, now time.Duration) bool {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	t.outcomeCount++
	t.failureRate += max(outcomeWeight, 1/t.outcomeCount) * (outcome - t.failureRate)
	if t.outlier && t.bannedUntil <= now {
		t.outlier = false
	}
	if !failed || t.outlier || t.outcomeCount < outlierMinCalls || !tb.isOutlier(t) {
		return false
	}
	t.outlier = true
	t.bannedUntil = max(t.bannedUntil, now+outlierBan)
	// The failure rate is reset, so that a few successful calls suffice after the ban.
	t.outcomeCount, t.failureRate = 0, 0
	return true
}

// isOutlier reports whether a target fails far more calls than the others of its service
// while few enough of these are banned as outliers.
func (tb *Table) isOutlier(t *Target) bool {
	list := tb.services[t.Service]
	sum, outliers := 0.0, 1
	for _, other := range list {
		if other == t {
			continue
		}
		sum += other.failureRate
		if other.outlier {
			outliers++
		}
	}
	if len(list) < 2 || float64(outliers) > math.Ceil(maxOutlierShare*float64(len(list))) {
		return false
	}
	mean := sum / float64(len(list)-1)
	return t.failureRate > outlierFailureRate && t.failureRate > mean+outlierMargin
}

// DueForProbe returns the unreachable targets whose ban has ended at now. Each is to be
// probed with a trial connection.
func (tb *Table) DueForProbe(now time.Duration) []*Target {
	var due []*Target
	for _, t := range tb.byID {
		if t.unreachableBans > 0 && t.bannedUntil <= now && !t.replaced {
			due = append(due, t)
		}
	}
	return due
}

// EndKind says whether and how a target has ended.
type EndKind int

const (
	// EndUnknown means that the target is still running as far as is known.
	EndUnknown EndKind = iota
	// EndAnnounced means that the target announced its end.
	EndAnnounced
	// EndReplaced means that another start has the target's id or address, although
	// the target has not announced its end.
	EndReplaced
)

// EndOf returns what is known of a target's end.
func (tb *Table) EndOf(t *Target) EndKind {
	switch {
	case t.hasAnnouncedEnd:
		return EndAnnounced
	case t.replaced:
		return EndReplaced
	case tb.byID[t.ID] == t:
		return EndUnknown
	case tb.byID[t.ID] != nil || tb.hasAddress(t.Address):
		return EndReplaced
	default:
		// The target has deregistered.
		return EndAnnounced
	}
}

// hasAddress reports whether any target has the address. It scans all targets.
func (tb *Table) hasAddress(address string) bool {
	for _, t := range tb.byID {
		if t.Address == address {
			return true
		}
	}
	return false
}
