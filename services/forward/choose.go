// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// reportGoneTimeout limits the request that tells control of a target that is gone.
const reportGoneTimeout = 2 * time.Second

// maxDedicatedQueue is how many prompts the least busy dedicated target must have queued for a
// long prompt to go to the target that caches its shared prefix instead: a box that is cut off from
// control knows the load of the fleet as it was.
const maxDedicatedQueue = 2

// chooseDedicated returns the choice for a long prompt, given the least busy dedicated target
// and the number of prompts queued there.
func chooseDedicated(c spread.Choice, t *spread.Target, load int) spread.Choice {
	c.Target = t
	if load >= maxDedicatedQueue && c.AffinityTarget != nil {
		c.Target, c.IsDedicated = c.AffinityTarget, false
	}
	return c
}

// choose selects a target and acquires a slot there. If all are at their rate limit it waits
// for the next window where that is near enough.
func (fl *inflightCall) choose(ctx context.Context) spread.Choice {
	defer fl.leaveQueue()
	for {
		c := fl.chooseNow(ctx, fl.criteria())
		if len(c.Seated) > 0 {
			return fl.chooseSeated(ctx, c)
		}
		if c.Target != nil || c.LimitedTargets == 0 || !fl.waitLimited(ctx, c.Backoff) {
			return c
		}
	}
}

// criteria returns the call's criteria for a target.
func (fl *inflightCall) criteria() spread.Criteria {
	return spread.Criteria{
		Service: fl.service.GetName(), Affinity: fl.call.Affinity, UnsharedTokens: int(fl.call.UnsharedTokens), Tokens: fl.mostTokens(), Boxes: fl.f.opts.Leases.Boxes(), Exclude: fl.excluded, Software: fl.software,
		MaxPause: time.Duration(fl.route.GetPause()) * time.Millisecond, Rank: fl.rank(), MaxWait: fl.limitWaitLeft(maxLimitWait), MaxSeatWait: fl.limitWaitLeft(maxSeatWait), Ticket: fl.ticket,
	}
}

// chooseNow selects a target by criteria and acquires a slot there, if one may be sent to now.
func (fl *inflightCall) chooseNow(ctx context.Context, criteria spread.Criteria) spread.Choice {
	f := fl.f
	f.mu.Lock()
	criteria.Avoid = f.slowReaders(len(fl.call.Body))
	c := f.targets.Choose(criteria, fl.now)
	f.mu.Unlock()
	if c.IsDedicated {
		t, load := f.leastBusyDedicated(ctx, c)
		c = chooseDedicated(c, t, load)
	}
	if c.Target != nil {
		fl.acquireSlot(c.Target)
	}
	fl.lastChoice = c
	return c
}

// acquireSlot counts the call, and its prompt tokens as not prefilled yet, at a target.
func (fl *inflightCall) acquireSlot(t *spread.Target) {
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	t.RunningCalls++
	t.HeldTokens += fl.mostTokens()
	fl.waitingTokens = int(fl.call.InputTokens)
	t.WaitingTokens += fl.waitingTokens
}

// recordPrefill records that the target has prefilled the prompt of the call sent at the given
// time.
func (fl *inflightCall) recordPrefill(t *spread.Target, sent time.Duration) {
	if fl.waitingTokens == 0 {
		return
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.clearWaitingTokens(t)
	first := fl.f.opts.Clock.Boot() - sent
	fl.f.targets.RecordPrefill(t, int(fl.call.UnsharedTokens), first)
	fl.samplePrompt(t, first)
}

// recordPause records the longest pause of a stream that came from one target alone: a pause
// while a stream was resumed elsewhere says nothing about prefills.
func (fl *inflightCall) recordPause(t *spread.Target) {
	if len(fl.sends) > 1 {
		return
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.f.targets.RecordStreamPause(t, fl.sink.longestPause, time.Duration(fl.route.GetPause())*time.Millisecond)
	fl.sampleStream(t)
}

// releaseWaitingTokens ends the count of the call's prompt tokens as not prefilled yet.
func (fl *inflightCall) releaseWaitingTokens(t *spread.Target) {
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.clearWaitingTokens(t)
}

func (fl *inflightCall) clearWaitingTokens(t *spread.Target) {
	t.WaitingTokens -= fl.waitingTokens
	fl.waitingTokens = 0
}

// releaseSlot releases the slot at a target and records the outcome of the attempt.
func (fl *inflightCall) releaseSlot(t *spread.Target, a attempt) {
	f, now := fl.f, fl.tick()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.RunningCalls--
	t.HeldTokens -= fl.mostTokens()
	fl.clearWaitingTokens(t)
	fl.recordRoom(t, a, now)
	fl.releaseSeat(a)
	f.wakeSeatWaiters(t.Service)
	switch a.verdict {
	case unreachable:
		lostLinks := f.reach.IsLost(t.Service) && !a.carried
		if f.opts.IsCongested() || lostLinks {
			return
		}
		ban := f.targets.BanUnreachable(t, now)
		if ban == 0 {
			return
		}
		f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "unreachable", "ms", ban.Milliseconds(), "request", fl.call.ID)
	case replaced:
		if f.targets.BanReplaced(t) {
			f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "another target has its address", "request", fl.call.ID)
			go f.reportGone(t)
		}
	case healthy, rejected:
		f.targets.MarkReachable(t, now)
		f.targets.RecordOutcome(t, false, now)
	case failing:
		if f.reach.IsLost(t.Service) && !a.carried {
			// The connection may have failed with this box's own links.
			return
		}
		if f.targets.RecordOutcome(t, true, now) {
			f.opts.Logger.Warn("target out", "target", t.ID, "address", t.Address, "reason", "fails calls", "request", fl.call.ID)
		}
	case inconclusive, cutOff:
	}
}

// reportGone tells control, and through it all boxes, that a target has been replaced. Otherwise
// each box would learn it from a call of its own, and each of these counts as a retry.
func (f *Forwarder) reportGone(t *spread.Target) {
	if f.opts.ReportGone == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportGoneTimeout)
	defer cancel()
	if err := f.opts.ReportGone(ctx, t.ID, t.Born); err != nil {
		f.opts.Logger.Warn("failed to tell control that a target is gone", "target", t.ID, "born", t.Born, "reason", err.Error())
	}
}

// verdict is what an attempt shows about the health of its target.
type verdict int

const (
	inconclusive verdict = iota
	healthy
	rejected
	// replaced means that another target has the address.
	replaced
	failing
	unreachable
	// cutOff means that the target could not be reached as this box has lost its own links.
	cutOff
)
