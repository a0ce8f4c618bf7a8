// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reach tells a box that has lost its own links to the targets of a service from
// targets that are down. A target that can't be dialled may have ended; when no target of its
// service can be dialled, it is more likely that the box is cut off, and other boxes still
// reach them all.
package reach

import "time"

const (
	// lostAfter is how many different targets in a row must have been out of reach before a
	// service counts as out of reach. A service with fewer targets needs all of them.
	lostAfter = 3
	// streakTime is how old a failed dial may be and still count.
	streakTime = 3 * time.Second
	// checkInterval is the time between two checks of one service.
	checkInterval = 300 * time.Millisecond
)

// Failure is the way in which a target could not be dialled.
type Failure int

const (
	// Refused means that the connection was refused or reset at once.
	Refused Failure = iota
	// Silent means that nothing answered in time. Open connections are likely to be silent, too.
	Silent
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
	// checkedAt is when the last check began; isChecked is set from the first one on.
	checkedAt time.Duration
	isChecked bool
}

// NewTracker returns a tracker to which no dial has failed yet.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// RecordReached records a successful dial. It reports whether the service had been out of
// reach, and for how long.
func (tr *Tracker) RecordReached(name string, now time.Duration) (regained bool, lostFor time.Duration) {
	s := tr.services[name]
	if s == nil {
		return false, 0
	}
	clear(s.failed)
	if !s.lost {
		return false, 0
	}
	s.lost = false
	return true, now - s.lostAt
}

// RecordUnreached records a failed dial to one of a service's targets, of which there are
// count. It reports whether the service is out of reach from now on.
func (tr *Tracker) RecordUnreached(name, target string, count int, now time.Duration) (lost bool) {
	s := tr.services[name]
	if s == nil {
		s = &service{failed: map[string]time.Duration{}}
		tr.services[name] = s
	}
	for id, at := range s.failed {
		if now-at > streakTime {
			delete(s.failed, id)
		}
	}
	s.failed[target] = now
	if s.lost || len(s.failed) < min(lostAfter, max(1, count)) {
		return false
	}
	s.lost, s.lostAt = true, now
	return true
}

// IsLost reports whether a service is out of reach.
func (tr *Tracker) IsLost(name string) bool {
	s := tr.services[name]
	return s != nil && s.lost
}

// IsDoubtful reports whether the last dial to a target of a service has failed, so that the box
// itself may be cut off.
func (tr *Tracker) IsDoubtful(name string) bool {
	s := tr.services[name]
	return s != nil && (s.lost || len(s.failed) > 0)
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

// BeginCheck reports whether other targets of a doubtful service are to be dialled now, to find
// out whether the box reaches any. It returns true at most once in checkInterval.
func (tr *Tracker) BeginCheck(name string, now time.Duration) bool {
	s := tr.services[name]
	if s == nil || !s.lost && len(s.failed) == 0 || s.isChecked && now-s.checkedAt < checkInterval {
		return false
	}
	s.isChecked, s.checkedAt = true, now
	return true
}
