// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"
)

// While a target reads a long prompt, each step of its batch carries a chunk of
// it, so the events of all streams that run there come late. Where that makes
// their pauses too long, long prompts are read apart: at the first few targets of
// the service by the hash of their identities. Whether it is needed, what counts
// as long and how many targets read follow from what calls show.
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
	// pauseWeight is the weight of a new stream in the part of streams with too long
	// a pause: about the last 60 count. Above pausedMany long prompts are read
	// apart, below pausedFew no more. Where engines make such pauses, 19 to 29% of
	// the streams had one before and 5 to 8% with targets apart; where events hold
	// fewer tokens or engines read faster, none had.
	pauseWeight = 1.0 / 60
	pausedMany  = 0.04
	pausedFew   = 0.004
	// readerSlack is how far, in targets, the load must lie below what fewer readers
	// could do before one is given back: calls suffer while boxes disagree.
	readerSlack = 0.4
	// fleetFresh is how long the load of all boxes counts after control told it: two
	// reports of a box that has no leases. A box that is cut off goes by its own load.
	fleetFresh = 2 * time.Second
	// leastLoad is the load below which a box reports none.
	leastLoad = time.Millisecond
	// askedReaders is how many readers are asked for their work before a long
	// prompt is sent. Choosing among a few is nearly as good as among all
	// (Mitzenmacher 2001, "The Power of Two Choices").
	askedReaders = 4
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
	// fleet is the load of all boxes as control told it last, at toldAt.
	fleet  time.Duration
	toldAt time.Duration
	told   bool
	// readers is how many targets read apart at present.
	readers int
	// paused is the part of this box's streams with too long a pause, smoothed;
	// suffers is set while that is too many.
	paused  float64
	suffers bool
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

// stream takes in the longest pause of a stream that has ended.
func (r *reads) stream(pause, limit time.Duration) {
	late := 0.0
	if pause > limit {
		late = 1
	}
	r.paused += pauseWeight * (late - r.paused)
	switch {
	case r.paused > pausedMany:
		r.suffers = true
	case r.paused < pausedFew:
		r.suffers = false
	}
}

// time returns how long a target reads a number of tokens, zero when that is
// not known.
func (r *reads) time(tokens int) time.Duration {
	return time.Duration(r.perToken * float64(tokens))
}

// tokens returns how many tokens a target reads in a time, or another number while that is
// not known.
func (r *reads) tokens(d time.Duration, otherwise int) int {
	if r.perToken == 0 {
		return otherwise
	}
	return int(float64(d) / r.perToken)
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

// load returns the reading time of this box's long prompts in each second, zero
// while its streams don't suffer from them.
func (r *reads) load(now time.Duration) time.Duration {
	if !r.suffers {
		return 0
	}
	r.decay(now)
	return time.Duration(r.busy / readWindow.Seconds())
}

// fleetLoad returns that of all boxes: as control has told it, or as if all had
// the load of this one.
func (r *reads) fleetLoad(boxes int, now time.Duration) time.Duration {
	if r.told && now-r.toldAt < fleetFresh {
		return r.fleet
	}
	return r.load(now) * time.Duration(max(1, boxes))
}

// apart returns how many of a service's targets read long prompts.
func (r *reads) apart(targets, boxes int, now time.Duration) int {
	wanted := r.fleetLoad(boxes, now).Seconds()/readUse - leastReaders
	if up := int(math.Ceil(wanted)); up > r.readers || up <= 0 || wanted < float64(r.readers-1)-readerSlack {
		r.readers = max(0, up)
	}
	return min(targets/apartParts, r.readers)
}

// Streamed notes the longest pause of a stream that a target has made, and what
// its route allows.
func (tb *Table) Streamed(t *Target, pause, limit time.Duration) {
	if limit > 0 {
		tb.readsOf(t.Service).stream(pause, limit)
	}
}

// Readers returns how many targets of a service read long prompts.
func (tb *Table) Readers(service string, boxes int, now time.Duration) int {
	return tb.readsOf(service).apart(len(tb.services[service]), boxes, now)
}

// ReadingLoads returns, by service, for how long in each second targets read long
// prompts of this box.
func (tb *Table) ReadingLoads(now time.Duration) map[string]time.Duration {
	loads := map[string]time.Duration{}
	for service, r := range tb.reads {
		if load := r.load(now); load > leastLoad {
			loads[service] = load
		}
	}
	return loads
}

// SetFleetReading takes in for how long in each second the targets of a service
// read long prompts of all boxes.
func (tb *Table) SetFleetReading(service string, load, now time.Duration) {
	r := tb.readsOf(service)
	r.fleet, r.toldAt, r.told = load, now, true
}
