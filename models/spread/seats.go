// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

// A target may name a rejection limit: how many calls a second it can reject for want of room, from
// all boxes together, before it fails. While it does, a box sends it a call only with a seat, that is,
// with the right to one of its slots.
//
// The seats of plain services, and of engines of which boxes have less than minSeats on average, are
// granted by one box for each data centre (models/seats). Those of other engines are divided among the
// boxes: each computes its own from the names of all boxes, so that no message is needed. What the
// seats can't carry waits for a moment or is refused.

const (
	// seatShare is the share of a target's slots that is divided. The rest is for what takes a
	// slot without a seat: new connections, and calls that their callers have given up.
	seatShare = 0.9
	// defaultHoldTime is how long a call is taken to hold its slot before any has ended.
	defaultHoldTime = 500 * time.Millisecond
	holdTimeWeight  = 0.1
	// minSeats is the average number of an engine service's seats of a box below which they are granted.
	minSeats = 2
	// maxLinger limits how long a call that was given up counts as running at its target.
	maxLinger = time.Second
	// probeShare is the share of a rejection limit that all boxes may use for calls to targets
	// that have rejected one.
	probeShare = 0.5
	// riskShare is the share of a rejection limit that all boxes may use for calls without a seat, while
	// they can't ask the box that grants the seats.
	riskShare = 0.25
	// maxBlock limits how long a box sends nothing to a target that has rejected a call.
	maxBlock = 5 * time.Second
	// Each rejection lowers the share of the seats that a box uses by shrinkFactor, to no less
	// than minUsable. It rises again by usableGrowth a second.
	shrinkFactor = 0.85
	minUsable    = 0.3
	usableGrowth = 0.05
)

// EngineTerms are the limits of one target of a service of engines.
type EngineTerms struct {
	Slots int
	// Capacity is the memory for prompts and answers, in tokens.
	Capacity int
}

// roomStats is what a box knows of the room at the targets of a service.
type roomStats struct {
	// named is the last statement of a rejection limit, made to this box or another one. heardAt
	// is when this box last heard one itself, and toldAt when it last told control.
	named           rate.Statement
	isNamed         bool
	heardAt, toldAt time.Duration
	// holdTime is the mean time for which a call of this box holds a slot, of holdCount calls.
	holdTime  time.Duration
	holdCount float64
	// waiting are this box's calls that wait for a seat.
	waiting seatQueue
	// average caches the average number of seats, as of the given revisions.
	average                   float64
	averageFleet, averageList uint64
}

// targetRoom is what a box knows of the room at one target.
type targetRoom struct {
	// noneSent is when the last call was sent whose answer named no rejection limit.
	noneSent time.Duration
	// lingering are the times until which calls that were given up count as running.
	lingering []time.Duration
	// usable is the share of the seats that the box used at usableAt.
	usable   float64
	usableAt time.Duration
	// blockedAt is when the target last rejected a call, zero if it has accepted one since.
	blockedAt     time.Duration
	probes, risks rate.Meter

	seats cachedSeats
}

// cachedSeats are the box's seats at a target.
type cachedSeats struct {
	slots         int64
	fleetRevision uint64
	seats         int64
}

// SetEngineTerms sets the limits of the engines of each service.
func (tb *Table) SetEngineTerms(terms map[string]EngineTerms) { tb.engineTerms = terms }

func (tb *Table) roomOf(service string) *roomStats {
	s := tb.rooms[service]
	if s == nil {
		s = &roomStats{holdTime: defaultHoldTime}
		tb.rooms[service] = s
	}
	return s
}

// RecordHoldTime records how long a call held its slot at a target.
func (tb *Table) RecordHoldTime(t *Target, held time.Duration) {
	r := tb.roomOf(t.Service)
	r.holdCount++
	r.holdTime += time.Duration(max(holdTimeWeight, 1/r.holdCount) * float64(held-r.holdTime))
	r.holdTime = max(time.Millisecond, r.holdTime)
}

// RecordRejection records that a target rejected a call for want of room.
func (tb *Table) RecordRejection(t *Target, now time.Duration) {
	t.room.usable = max(minUsable, shrinkFactor*t.room.usableShare(now))
	t.room.usableAt = now
	t.room.blockedAt = now
}

// RecordAcceptance records that a target accepted a call.
func (tb *Table) RecordAcceptance(t *Target) { t.room.blockedAt = 0 }

// RecordAbandoned records that a call was given up. Its target may go on with it for a while.
func (tb *Table) RecordAbandoned(t *Target, now time.Duration) {
	if tb.HasRejectionLimit(t, now) {
		t.room.lingering = append(t.room.lingering, now+min(maxLinger, tb.roomOf(t.Service).holdTime))
	}
}

// usableShare returns the share of the seats that the box uses at now.
func (r *targetRoom) usableShare(now time.Duration) float64 {
	if r.usableAt == 0 {
		return 1
	}
	return min(1, r.usable+usableGrowth*(now-r.usableAt).Seconds())
}

// lingeringCalls returns how many calls that were given up count as running.
func (r *targetRoom) lingeringCalls(now time.Duration) int {
	for len(r.lingering) > 0 && r.lingering[0] <= now {
		r.lingering = r.lingering[1:]
	}
	return len(r.lingering)
}

// slotsOf returns how many slots of a target are divided among the boxes.
func (tb *Table) slotsOf(t *Target, now time.Duration) int64 {
	return max(1, int64(seatShare*float64(t.Slots)*t.room.usableShare(now)))
}

// averageSeats returns how many seats a box has on average at the targets of a service. It doesn't
// depend on what this box alone sees, so that all boxes agree on whether the seats are granted.
func (tb *Table) averageSeats(service string) float64 {
	r := tb.roomOf(service)
	if r.averageFleet == tb.fleetRevision && r.averageList == tb.listRevision {
		return r.average
	}
	slots := 0
	for _, t := range tb.services[service] {
		slots += t.Slots
	}
	r.average = seatShare * float64(slots) / float64(tb.fleet.Divisor())
	r.averageFleet, r.averageList = tb.fleetRevision, tb.listRevision
	return r.average
}

// grantsSeats reports whether the seats at the targets of a service are granted, rather than divided
// among the boxes.
func (tb *Table) grantsSeats(service string) bool {
	return tb.engineTerms[service].Slots == 0 || tb.averageSeats(service) < minSeats
}

// needsGrant reports whether a call needs a granted seat at a target.
func (tb *Table) needsGrant(t *Target, now time.Duration) bool {
	return tb.HasRejectionLimit(t, now) && tb.grantsSeats(t.Service)
}

// SeatedTargets returns the targets of a service in a data centre at which seats can be granted.
func (tb *Table) SeatedTargets(service, centre string) []*Target {
	var list []*Target
	for _, t := range tb.services[service] {
		if t.DataCentre == centre && tb.isCheckable(t) {
			list = append(list, t)
		}
	}
	return list
}

// ChooseAtRisk returns the target for a call without a seat, while the box that grants the seats can't
// be asked; nil if this box may send none.
func (tb *Table) ChooseAtRisk(seated []*Target, now time.Duration) *Target {
	var list []*Target
	for _, t := range seated {
		if tb.mayRisk(t, now) {
			list = append(list, t)
		}
	}
	return tb.leastLoaded(list)
}

// mayRisk reports whether this box may send a call without a seat, which its target may have to reject.
func (tb *Table) mayRisk(t *Target, now time.Duration) bool {
	perSecond, _ := tb.rejectionLimit(t, now)
	return perSecond >= 1 && t.room.risks.CanSend(tb.fleet, riskShare*perSecond, ^t.hash, now)
}

// seats returns how many calls this box may run at a target at now.
func (tb *Table) seats(t *Target, now time.Duration) int64 {
	slots := tb.slotsOf(t, now)
	c := &t.room.seats
	if c.slots != slots || c.fleetRevision != tb.fleetRevision {
		*c = cachedSeats{slots: slots, fleetRevision: tb.fleetRevision, seats: tb.fleet.Part(slots, t.hash, 0)}
	}
	return c.seats
}

// occupied returns how many seats this box uses at a target with one more call, beside the given
// number of running ones and the tokens that they may hold.
func (tb *Table) occupied(t *Target, running, tokens int, now time.Duration) int64 {
	calls := running + 1 + t.room.lingeringCalls(now)
	terms := tb.engineTerms[t.Service]
	if running == 0 || terms.Capacity <= 0 || t.Slots <= 0 {
		return int64(calls)
	}
	perSeat := float64(terms.Capacity) / float64(t.Slots)
	return max(int64(calls), int64(math.Ceil(float64(tokens)/perSeat)))
}

// mayStart reports whether this box may send one more call to a target. running and tokens are those
// of its other calls and of all its calls there.
func (tb *Table) mayStart(t *Target, running, tokens int, now time.Duration) bool {
	perSecond, limited := tb.rejectionLimit(t, now)
	if !limited {
		return true
	}
	if tb.grantsSeats(t.Service) {
		return tb.mayRisk(t, now)
	}
	if t.room.isBlocked(now) && !t.room.probes.CanSend(tb.fleet, probeShare*perSecond, t.hash, now) {
		return false
	}
	return tb.occupied(t, running, tokens, now) <= tb.seats(t, now)
}

// isBlocked reports whether the target has rejected the last call, not long ago.
func (r *targetRoom) isBlocked(now time.Duration) bool {
	return r.blockedAt > 0 && now-r.blockedAt < maxBlock
}

// canSeat reports whether a call may be sent to a target. It leaves free seats to the calls that
// have waited for longer.
func (tb *Table) canSeat(t *Target, criteria Criteria, now time.Duration) bool {
	if !tb.HasRejectionLimit(t, now) {
		return true
	}
	if tb.roomOf(t.Service).waiting.before(criteria.Ticket) >= tb.servedAtOnce(t.Service) {
		return false
	}
	return tb.mayStart(t, t.RunningCalls, t.HeldTokens+criteria.Tokens, now)
}

// AcquireSeat takes a seat at a target for a call that is about to be sent and that RunningCalls
// and HeldTokens include. It reports whether there was one. A call with a granted seat needs none.
func (tb *Table) AcquireSeat(t *Target, now time.Duration) bool {
	perSecond, limited := tb.rejectionLimit(t, now)
	if !limited {
		return true
	}
	if !tb.mayStart(t, t.RunningCalls-1, t.HeldTokens, now) {
		return false
	}
	if tb.grantsSeats(t.Service) {
		t.room.risks.Acquire(tb.fleet, riskShare*perSecond, ^t.hash, now)
		return true
	}
	if t.room.isBlocked(now) {
		t.room.probes.Acquire(tb.fleet, probeShare*perSecond, t.hash, now)
	}
	return true
}
