// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// goneTimeout bounds the news of a target that is gone.
const goneTimeout = 2 * time.Second

// crowdedReaders is how many prompts the least busy reader must have before it for
// a long prompt to be read where the common part of it is kept instead. Without it
// one reader had prompts waiting for over 4 s, for 12 s on end, while boxes that were
// cut off from control went by an old load of the fleet, and their callers left.
const crowdedReaders = 2

// apart returns where a long prompt goes, given the least busy reader and how many
// prompts that one has before it.
func apart(c spread.Choice, reader *spread.Target, load int) spread.Choice {
	c.Target = reader
	if load >= crowdedReaders && c.Home != nil {
		c.Target, c.Apart = c.Home, false
	}
	return c
}

// choose takes a place at a target. It waits a moment for one that takes no more
// requests of this box now and will take this one soon.
func (fl *flight) choose(ctx context.Context) spread.Choice {
	for {
		c := fl.chooseNow(ctx)
		if c.Target != nil || c.Limited == 0 || !fl.waitLimited(ctx, c.Want) {
			return c
		}
	}
}

// need is what the call needs of its target.
func (fl *flight) need() spread.Need {
	return spread.Need{
		Service: fl.service.GetName(), Affinity: fl.call.Affinity, Tokens: int(fl.call.Own), Boxes: fl.f.opts.Leases.Boxes(), Exclude: fl.exclude,
		Pause: time.Duration(fl.route.GetPause()) * time.Millisecond, Rank: fl.rank(), Patience: fl.patience(),
	}
}

func (fl *flight) chooseNow(ctx context.Context) spread.Choice {
	f := fl.f
	need := fl.need()
	f.mu.Lock()
	c := f.targets.Choose(need, fl.now)
	f.mu.Unlock()
	if c.Apart {
		reader, load := f.leastReading(ctx, c)
		c = apart(c, reader, load)
	}
	if c.Target != nil {
		fl.enter(c.Target)
	}
	fl.placed = c
	return c
}

// enter takes a place at a target, where the prompt is to be read.
func (fl *flight) enter(t *spread.Target) {
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	t.Running++
	fl.waiting = int(fl.call.Input)
	t.Waiting += fl.waiting
}

// answered notes that the target has read the prompt of a call that was sent at
// a time.
func (fl *flight) answered(t *spread.Target, sent time.Duration) {
	if fl.waiting == 0 {
		return
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.endWait(t)
	fl.f.targets.Read(t, int(fl.call.Own), fl.f.opts.Clock.Boot()-sent)
}

// streamedAt notes the longest pause of a stream that one target has made as a
// whole: a pause while a stream went on elsewhere shows nothing of reading.
func (fl *flight) streamedAt(t *spread.Target) {
	if len(fl.sends) > 1 {
		return
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.f.targets.Streamed(t, fl.sink.pause, time.Duration(fl.route.GetPause())*time.Millisecond)
}

func (fl *flight) endWait(t *spread.Target) {
	t.Waiting -= fl.waiting
	fl.waiting = 0
}

// leave gives a place back and notes the outcome.
func (fl *flight) leave(t *spread.Target, v verdict) {
	f, now := fl.f, fl.tick()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Running--
	fl.endWait(t)
	switch v {
	case unreachable:
		if f.opts.Crowded() {
			return
		}
		ban := f.targets.Unreached(t, now)
		if ban == 0 {
			return
		}
		f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "unreachable", "ms", ban.Milliseconds(), "request", fl.call.ID)
	case replaced:
		if f.targets.Replaced(t) {
			f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "another target has its address", "request", fl.call.ID)
			go f.tellGone(t)
		}
	case sound, turnedAway:
		f.targets.Reached(t)
		f.targets.Ended(t, false, now)
	case failing:
		if f.targets.Ended(t, true, now) {
			f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "fails calls", "request", fl.call.ID)
		}
	case unjudged:
	}
}

// tellGone tells control, and so all boxes, that a target has been replaced: each
// box would else learn it from a call of its own, and all these count as further
// sends.
func (f *Forwarder) tellGone(t *spread.Target) {
	if f.opts.Gone == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	if err := f.opts.Gone(ctx, t.ID, t.Born); err != nil {
		f.opts.Logger.Warn("control was not told that a target is gone", "target", t.ID, "born", t.Born, "reason", err.Error())
	}
}

// verdict is what a call shows of its target.
type verdict int

const (
	unjudged verdict = iota
	sound
	turnedAway
	// replaced says that another target has the address.
	replaced
	failing
	unreachable
)
