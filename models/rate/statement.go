// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rate

import (
	"math"
	"time"
)

const (
	// orderMargin is the least distance of two statements whose order is certain. If two
	// boxes received them, their ages were computed at either end of a message, which
	// takes up to 100 ms between regions.
	orderMargin = 100 * time.Millisecond
	// After the end of a limit the rate starts at the former limit, at least minRampStart,
	// and doubles every rampDoubling until it reaches rampEnd sends a second. Otherwise all
	// boxes would send their waiting calls to the target at once, since it has the least
	// load.
	minRampStart = 1.0
	rampDoubling = time.Second
	rampEnd      = 512.0
)

// Unlimited is the limit of a target that has not stated any.
var Unlimited = math.Inf(1)

// Statement is a target's statement of how many sends it accepts from all boxes together.
type Statement struct {
	// Limit is in sends a second, Unlimited for no limit.
	Limit float64
	// The target made the statement between Sent, when the call was sent that it
	// answered, and Received. Both are on the clock of the box that holds the statement.
	Sent, Received time.Duration
}

// after reports whether a statement was certainly made after another one.
func (s Statement) after(other Statement) bool { return s.Sent >= other.Received+orderMargin }

// Merge returns the statement that is in force of two: the later one, or the lower one if
// their order is uncertain.
func (s Statement) Merge(other Statement) Statement {
	switch {
	case other.after(s):
		return other
	case s.after(other):
		return s
	case other.Limit < s.Limit || other.Limit == s.Limit && other.Received > s.Received:
		return other
	default:
		return s
	}
}

// Limit is the limit in force for a target: that of its last statement or, for a while
// after a limit has ended, the rising rate at which the target is used again. The zero
// value is that of a target that has made no statement.
type Limit struct {
	Statement    Statement
	hasStatement bool
	// rampStart is the rate at which the ramp starts after the end of a limit, zero if there
	// is no ramp.
	rampStart float64
}

// Update records a statement and reports whether the stated limit in force has changed.
func (l *Limit) Update(s Statement) bool {
	if !l.hasStatement {
		l.hasStatement, l.Statement = true, s
		return s.Limit != Unlimited
	}
	before := l.Statement.Limit
	l.Statement = l.Statement.Merge(s)
	switch {
	case l.Statement.Limit != Unlimited:
		l.rampStart = 0
	case before != Unlimited:
		l.rampStart = max(minRampStart, before)
	}
	return l.Statement.Limit != before
}

// Rate returns how many sends a second the target gets from the whole fleet at now,
// Unlimited if there is no limit.
func (l *Limit) Rate(now time.Duration) float64 {
	switch {
	case !l.hasStatement:
		return Unlimited
	case l.Statement.Limit != Unlimited:
		return max(MinRate, l.Statement.Limit)
	case l.rampStart == 0:
		return Unlimited
	}
	rate := l.rampStart * math.Exp2(float64((now-l.Statement.Received)/rampDoubling))
	if rate >= rampEnd {
		l.rampStart = 0
		return Unlimited
	}
	return rate
}
