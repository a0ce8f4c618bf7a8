// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"
)

// What calls show of a target takes it out for a time: it can't be reached, it fails far more
// than others, or another one has its address.
const (
	// firstBan and longestBan bound the time that an unreachable target is out,
	// and so the time until it is used again once a cut has ended.
	firstBan   = 500 * time.Millisecond
	longestBan = 2 * time.Second
	// sickBan is how long a target is out that fails calls and can be reached.
	sickBan = 3 * time.Second
	// sickCalls is how many calls must have ended before a target counts as sick.
	sickCalls = 6
	// sickRate and sickMargin say when: its rate of failures lies above both.
	sickRate   = 0.3
	sickMargin = 0.2
	// outcomeWeight is the weight of a new outcome in the rate of failures.
	outcomeWeight = 0.12
	// sickShare is the part of a service's targets that may be out as sick.
	sickShare = 0.34
)

// Unreached takes a target out that could not be reached, and returns for how
// long. Calls that fail while it is out already were sent before and count no
// more.
func (tb *Table) Unreached(t *Target, now time.Duration) time.Duration {
	if t.failures > 0 && t.bannedTo > now {
		return 0
	}
	ban := min(longestBan, firstBan<<min(t.failures, 6))
	t.failures++
	t.bannedTo = max(t.bannedTo, now+ban)
	return ban
}

// Replaced takes a target out for good, since another one has its address, and
// tells whether that is news.
func (tb *Table) Replaced(t *Target) bool {
	news := !t.replaced
	t.replaced = true
	return news
}

// Reached brings a target back that can be reached again.
func (tb *Table) Reached(t *Target) {
	if t.failures == 0 {
		return
	}
	t.failures = 0
	if !t.sick {
		t.bannedTo = 0
	}
}

// Ended takes the outcome of a call in that reached its target, and tells
// whether the target was taken out for failing too many.
func (tb *Table) Ended(t *Target, failed bool, now time.Duration) bool {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	t.outcomes++
	t.failRate += max(outcomeWeight, 1/t.outcomes) * (outcome - t.failRate)
	if t.sick && t.bannedTo <= now {
		t.sick = false
	}
	if !failed || t.sick || t.outcomes < sickCalls || !tb.sicker(t) {
		return false
	}
	t.sick = true
	t.bannedTo = max(t.bannedTo, now+sickBan)
	// It comes back with few marks, so that a few good calls clear it.
	t.outcomes, t.failRate = 0, 0
	return true
}

// sicker tells whether a target fails far more than the others of its service,
// and few enough of these are out.
func (tb *Table) sicker(t *Target) bool {
	list := tb.services[t.Service]
	sum, out := 0.0, 1
	for _, other := range list {
		if other == t {
			continue
		}
		sum += other.failRate
		if other.sick {
			out++
		}
	}
	if len(list) < 2 || float64(out) > math.Ceil(sickShare*float64(len(list))) {
		return false
	}
	mean := sum / float64(len(list)-1)
	return t.failRate > sickRate && t.failRate > mean+sickMargin
}

// Banned lists the targets that are out because they could not be reached and
// whose time is over at the moment given, for a trial.
func (tb *Table) Banned(now time.Duration) []*Target {
	var due []*Target
	for _, t := range tb.byID {
		if t.failures > 0 && t.bannedTo <= now && !t.replaced {
			due = append(due, t)
		}
	}
	return due
}

// Fate is what is known of how a target ended.
type Fate int

const (
	// FateUnknown is that of a target that runs as far as is known.
	FateUnknown Fate = iota
	// FateLeft is that of one that ends as planned.
	FateLeft
	// FateReplaced is that of one whose id or address another start has now,
	// though it has not said that it leaves.
	FateReplaced
)

// FateOf returns what is known of how a target ended.
func (tb *Table) FateOf(t *Target) Fate {
	switch {
	case t.left:
		return FateLeft
	case t.replaced:
		return FateReplaced
	case tb.byID[t.ID] == t:
		return FateUnknown
	case tb.byID[t.ID] != nil || tb.hasAddress(t.Address):
		return FateReplaced
	default:
		// It has told control that it is gone.
		return FateLeft
	}
}

// hasAddress tells whether any target has an address; it looks at all of them.
func (tb *Table) hasAddress(address string) bool {
	for _, t := range tb.byID {
		if t.Address == address {
			return true
		}
	}
	return false
}
