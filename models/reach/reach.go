// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reach tells a box that has lost its own links to the targets of a service from
// targets that are down. A target that can't be dialled may have ended; when no target of its
// service can be dialled, it is more likely that the box is cut off, and other boxes still
// reach them all.
package reach

import "time"

const (
	// lostAfter is how many different targets must have been out of reach, and none reached in
	// between, before a service counts as out of reach. A service with fewer targets needs all.
	lostAfter = 3
	// streakTime is how old a failed dial may be and still count.
	streakTime = 3 * time.Second
	// checkInterval is the time between two checks of a service that is out of reach,
	// minCheckInterval that of any other.
	checkInterval    = 300 * time.Millisecond
	minCheckInterval = 50 * time.Millisecond
	// recentTime is for how long a successful dial shows that a service is reached.
	recentTime = 100 * time.Millisecond
)

// Tracker records which services a box can dial. Only dials count: connections that are open
// may live on while new ones are refused. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
}

type service struct {
	// failed has the times of the failed dials since the last successful one, by target.
	failed map[string]time.Duration
	lost   bool
	// lostAt is when the service was lost.
	lostAt time.Duration
	// checkedAt is when the last check began, checking is set until it has ended.
	checkedAt time.Duration
	checking  bool
	// reachedTarget is the target of the last successful dial, at reachedAt; empty before it.
	reachedTarget string
	reachedAt     time.Duration
}

// NewTracker returns a tracker to which no dial has failed yet.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

func (tr *Tracker) service(name string) *service {
	s := tr.services[name]
	if s == nil {
		s = &service{failed: map[string]time.Duration{}, checkedAt: -minCheckInterval}
		tr.services[name] = s
	}
	return s
}

// RecordReached records a successful dial. It reports whether the service had been out of
// reach, and for how long.
func (tr *Tracker) RecordReached(name, target string, now time.Duration) (regained bool, lostFor time.Duration) {
	s := tr.service(name)
	s.reachedTarget, s.reachedAt = target, now
	clear(s.failed)
	if !s.lost {
		return false, 0
	}
	s.lost = false
	return true, now - s.lostAt
}

// RecordUnreached records a failed dial to one of a service's targets.
func (tr *Tracker) RecordUnreached(name, target string, now time.Duration) {
	s := tr.service(name)
	for id, at := range s.failed {
		if now-at > streakTime {
			delete(s.failed, id)
		}
	}
	s.failed[target] = now
}

// HasReachedOther reports whether a target of a service other than the given one was reached a
// short time ago.
func (tr *Tracker) HasReachedOther(name, target string, now time.Duration) bool {
	s := tr.services[name]
	return s != nil && s.reachedTarget != "" && s.reachedTarget != target && now-s.reachedAt < recentTime
}

// LastReached returns the target of the last successful dial to a service, empty if there was none.
func (tr *Tracker) LastReached(name string) string {
	if s := tr.services[name]; s != nil {
		return s.reachedTarget
	}
	return ""
}

// IsLost reports whether a service is out of reach.
func (tr *Tracker) IsLost(name string) bool {
	s := tr.services[name]
	return s != nil && s.lost
}

// Lost returns the names of the services that are out of reach.
func (tr *Tracker) Lost() []string {
	var names []string
	for name, s := range tr.services {
		if s.lost {
			names = append(names, name)
		}
	}
	return names
}

// BeginCheck reports whether other targets of a service are to be dialled now, to find out
// whether the box reaches any. It returns false while the last dial to the service was
// successful, and limits how often there are checks. EndCheck must follow.
func (tr *Tracker) BeginCheck(name string, now time.Duration) bool {
	s := tr.services[name]
	if s == nil || s.checking || !s.lost && len(s.failed) == 0 {
		return false
	}
	interval := minCheckInterval
	if s.lost {
		interval = checkInterval
	}
	if now-s.checkedAt < interval {
		return false
	}
	s.checkedAt, s.checking = now, true
	return true
}

// EndCheck records that a check has ended, with the number of targets reached, and how many
// targets the service has. It reports whether the service is out of reach from now on. Only a
// check decides that, as several targets may have ended at once.
func (tr *Tracker) EndCheck(name string, reached, targets int, now time.Duration) (lost bool) {
	s := tr.services[name]
	s.checking = false
	if s.lost || reached > 0 || len(s.failed) < min(lostAfter, max(1, targets)) {
		return false
	}
	s.lost, s.lostAt = true, now
	return true
}
