// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"
)

// While a target reads a long prompt, each step of its batch carries a chunk of
// it, so the events of all streams that run there come late. Long prompts are
// therefore read apart: at few targets that all boxes agree on without talking,
// the first of the service by the hash of their identities. What counts as long
// and how many targets read follow from what calls show.
const (
	// longShare is the part of the longest pause that a stream may make from
	// which on the reading of one prompt counts as long.
	longShare = 0.6
	// readUse is the part of their time that the targets apart should read; the
	// rest keeps prompts from waiting for each other.
	readUse = 0.4
	// leastReaders is the part of one target's time below which none is kept for
	// long prompts.
	leastReaders = 0.02
	// apartParts bounds the targets apart: one in so many of a service.
	apartParts = 3
	// readWindow is the time over which the load of long prompts is smoothed.
	readWindow = 15 * time.Second
	// learnTokens is how many tokens a prompt must have to show a reading speed:
	// with fewer, the first event tells more of the steps than of the reading.
	learnTokens = 2000
	// speedQuantile is the quantile of the times for each token that is taken
	// for the speed without a queue, speedStep how far one call moves it.
	speedQuantile = 0.4
	speedStep     = 0.08
)

// reads is what a box knows of the reading of prompts at a service's targets.
type reads struct {
	// perToken is the time to the first event for each token of a prompt that
	// no other call shares; zero before it is known.
	perToken float64
	// busy is the reading time of this box's long prompts, decayed over
	// readWindow, in nanoseconds; updated is when it last was.
	busy    float64
	updated time.Duration
}

// learn takes in how long a prompt took to its first event.
func (r *reads) learn(tokens int, first time.Duration) {
	if tokens < learnTokens || first <= 0 {
		return
	}
	seen := float64(first) / float64(tokens)
	switch {
	case r.perToken == 0:
		r.perToken = seen
	case seen > r.perToken:
		r.perToken *= 1 + speedStep*speedQuantile
	default:
		r.perToken *= 1 - speedStep*(1-speedQuantile)
	}
}

// time returns how long a target reads a number of tokens, zero when that is
// not known.
func (r *reads) time(tokens int) time.Duration {
	return time.Duration(r.perToken * float64(tokens))
}

// decay brings the load up to date.
func (r *reads) decay(now time.Duration) {
	if elapsed := now - r.updated; elapsed > 0 {
		r.busy *= math.Exp(-elapsed.Seconds() / readWindow.Seconds())
		r.updated = now
	}
}

// add counts a long prompt.
func (r *reads) add(d, now time.Duration) {
	r.decay(now)
	r.busy += float64(d)
}

// apart returns how many of a service's targets read long prompts, for a number
// of boxes with the load of this one.
func (r *reads) apart(targets, boxes int, now time.Duration) int {
	most := targets / apartParts
	if r.busy == 0 || most == 0 {
		return 0
	}
	r.decay(now)
	load := r.busy / float64(readWindow) * float64(max(1, boxes))
	return min(most, int(math.Ceil(load/readUse-leastReaders)))
}
