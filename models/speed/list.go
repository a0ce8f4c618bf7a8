// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// MaxAge is how long speeds count after control has last answered: several intervals of
// reports, and less than it takes a target to become another one in load.
const MaxAge = 15 * time.Second

// List is what a box has of control's list of speeds. It is not safe for concurrent use.
type List struct {
	// name identifies the list of one leader, revision is that up to which the box has it.
	name     string
	revision uint64
	speeds   map[Instance]Speed
	// former has the speeds from the list of the leader before, which count until
	// formerUntil where the present one has none yet.
	former      map[Instance]Speed
	formerUntil time.Duration
	// heardAt is when control last answered with a list.
	heardAt time.Duration
	isHeard bool
}

// Position returns the name of the list and the revision up to which the box has it. A box
// that has not heard from control within MaxAge starts anew.
func (l *List) Position(now time.Duration) (name string, revision uint64) {
	if !l.IsFresh(now) {
		*l = List{heardAt: l.heardAt, isHeard: l.isHeard}
	}
	return l.name, l.revision
}

// Apply takes over control's answer to a report, and reports whether any speed may have
// changed. Control boxes of an earlier version send no list.
func (l *List) Apply(resp *betweenv1.LeaseResponse, now time.Duration) bool {
	if resp.GetSpeedsList() == "" {
		return false
	}
	// The answer to a report that was sent while the speeds counted goes on from them, also if
	// they have expired in the meantime.
	changed := len(resp.GetSpeeds()) > 0 || !l.IsFresh(now)
	l.heardAt, l.isHeard = now, true
	if resp.GetSpeedsList() != l.name {
		l.follow(resp.GetSpeedsList(), now)
	}
	if l.former != nil && now >= l.formerUntil {
		l.former, changed = nil, true
	}
	l.revision = max(l.revision, resp.GetSpeedsRevision())
	for _, m := range resp.GetSpeeds() {
		i, s := fromMessage(m)
		delete(l.former, i)
		if s.IsKnown() {
			l.speeds[i] = s
		} else {
			delete(l.speeds, i)
		}
	}
	return changed
}

// follow starts with the list of another leader, which has no speeds before its first reports.
func (l *List) follow(name string, now time.Duration) {
	if len(l.speeds) > 0 {
		l.former, l.formerUntil = l.speeds, now+MaxAge
	}
	l.name, l.revision, l.speeds = name, 0, map[Instance]Speed{}
}

// Speed returns the speed of an instance, zero if it is not known.
func (l *List) Speed(i Instance) Speed {
	if s, ok := l.speeds[i]; ok {
		return s
	}
	return l.former[i]
}

// IsFresh reports whether the speeds count at now.
func (l *List) IsFresh(now time.Duration) bool { return l.isHeard && now-l.heardAt < MaxAge }

// FreshUntil returns until when the speeds count.
func (l *List) FreshUntil() time.Duration { return l.heardAt + MaxAge }

// Age returns the time since control last answered with a list, and false if it never has.
func (l *List) Age(now time.Duration) (time.Duration, bool) { return now - l.heardAt, l.isHeard }
