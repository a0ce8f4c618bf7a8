// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"slices"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/seats"
	"havenwinch.dev/havenwinch/models/spread"
)

// finishTime is how long a call without a stream goes on at its target after its caller has left, if it
// has a granted seat: most end in that time, so that it is known when their slots are free.
const finishTime = 350 * time.Millisecond

// SeatRequest asks for a seat at a target of a service.
type SeatRequest struct {
	Service string
	// Centres are the data centres of the targets that may have the call.
	Centres []string
	// Exclude names the starts of targets that can't have it.
	Exclude []string
	MaxWait time.Duration
}

// GrantedSeat is the right to one slot of a target.
type GrantedSeat interface {
	// Start identifies the start of the target.
	Start() string
	// Release ends the call of the seat. It doesn't block.
	Release(seats.Outcome)
}

// Seats asks the boxes that grant them for seats at targets that fail under rejections.
type Seats interface {
	// AcquireSeat returns a nil seat without an error if there is none in time. The error means that
	// no box that grants the seats could be asked.
	AcquireSeat(ctx context.Context, r SeatRequest) (GrantedSeat, seats.Refusal, error)
}

// chooseSeated chooses a target for a call that needs a granted seat.
func (fl *inflightCall) chooseSeated(ctx context.Context, c spread.Choice) spread.Choice {
	f := fl.f
	seat, refusal, ok := fl.acquireSeat(ctx, c.Seated)
	if !ok {
		f.mu.Lock()
		c.Target = f.targets.ChooseAtRisk(c.Seated, fl.now)
		f.mu.Unlock()
	}
	if seat != nil {
		i := slices.IndexFunc(c.Seated, func(t *spread.Target) bool { return t.StartIdentity() == seat.Start() })
		if i >= 0 {
			c.Target, fl.seat = c.Seated[i], seat
		} else {
			seat.Release(seats.Unused)
		}
	}
	if c.Target != nil {
		fl.acquireSlot(c.Target)
	} else {
		f.opts.Counter.Limit(limitRefused)
		c.Backoff = spread.Backoff{RetryAfter: max(refusal.Wait, retrySoon), RetrySpread: max(refusal.RetrySpread, retrySoon)}
	}
	fl.call.HasSeat = fl.seat != nil
	fl.lastChoice = c
	return c
}

// acquireSeat asks for a seat at any of the targets. ok is false if nobody could be asked.
func (fl *inflightCall) acquireSeat(ctx context.Context, targets []*spread.Target) (seat GrantedSeat, refusal seats.Refusal, ok bool) {
	f := fl.f
	if f.opts.Seats == nil {
		return nil, seats.Refusal{}, false
	}
	began := fl.now
	seat, refusal, err := f.opts.Seats.AcquireSeat(ctx, fl.seatRequest(targets))
	fl.limitWait += fl.tick() - began
	return seat, refusal, err == nil
}

// seatRequest returns the request for a seat at one of the given targets.
func (fl *inflightCall) seatRequest(targets []*spread.Target) SeatRequest {
	f := fl.f
	r := SeatRequest{Service: fl.service.GetName(), MaxWait: fl.limitWaitLeft(maxSeatWait)}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range targets {
		if !slices.Contains(r.Centres, t.DataCentre) {
			r.Centres = append(r.Centres, t.DataCentre)
		}
	}
	for _, centre := range r.Centres {
		for _, t := range f.targets.SeatedTargets(r.Service, centre) {
			if !slices.Contains(targets, t) {
				r.Exclude = append(r.Exclude, t.StartIdentity())
			}
		}
	}
	return r
}

// releaseSeat releases the seat of an attempt that has ended.
func (fl *inflightCall) releaseSeat(a attempt) {
	if fl.seat == nil {
		return
	}
	fl.seat.Release(fl.seatOutcome(a))
	fl.seat, fl.call.HasSeat = nil, false
}

// attemptContext returns the context of an attempt, which ends with that of the call or finishTime later.
func (fl *inflightCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if fl.seat == nil || fl.route.GetKind() == statev1.Route_KIND_STREAM {
		return context.WithCancel(ctx)
	}
	lasting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if deadline, ok := ctx.Deadline(); ok {
		lasting, cancel = context.WithDeadline(lasting, deadline)
	}
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(finishTime, cancel) })
	return lasting, func() {
		stop()
		cancel()
	}
}

// seatOutcome returns how an attempt ended, as far as its seat is concerned.
func (fl *inflightCall) seatOutcome(a attempt) seats.Outcome {
	switch {
	case a.verdict == rejected:
		return seats.Rejected
	case fl.sentAt == 0 || a.notRun:
		return seats.Unused
	case a.finished || a.done && a.verdict == healthy:
		return seats.Done
	default:
		return seats.Abandoned
	}
}

// SeatedTargets implements the Targets interface of the seats that this box grants.
func (f *Forwarder) SeatedTargets(service, centre string) []seats.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []seats.Target
	for _, t := range f.targets.SeatedTargets(service, centre) {
		list = append(list, seats.Target{Start: t.StartIdentity(), Slots: t.Slots})
	}
	return list
}
