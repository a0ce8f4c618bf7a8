// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

// A target may name a rejection limit: how many calls a second it can reject for want of room, from
// all boxes together, before it fails. While targets of a service name one, the slots of all its
// targets are divided among the boxes as seats, and a box sends a call only if it has a free seat
// for it. What the seats can't carry waits at the box for a moment or is refused.
//
// Each box computes its seats from the names of all boxes, so that no message is needed, and what it
// holds doesn't depend on whether it reaches control. Boxes that have less than minSeats of a
// service on average take turns instead: each may start one call in each round, at a moment of
// its own.

const (
	// seatShare is the share of a target's slots that is divided. The rest is for what takes a
	// slot without a seat: new connections, and calls that their callers have given up.
	seatShare = 0.9
	// defaultHoldTime is how long a call is taken to hold its slot before any has ended.
	defaultHoldTime = 500 * time.Millisecond
	holdTimeWeight  = 0.1
	// ownHoldMargin is the factor by which a box takes calls to be longer than its own ones, while
	// it does not know those of the others.
	ownHoldMargin = 1.5
	// term is how long the seats of a plain service stay assigned. Those of engines, of which
	// each box has many, are never assigned anew: their calls take long.
	term = 4 * time.Second
	// handoverHolds is how long before the end of a term, in hold times, a box starts only calls
	// for which it has a seat in the next term, too.
	handoverHolds = 1.5
	// maxLinger limits how long a call that was given up counts as running at its target.
	maxLinger = time.Second
	// probeShare is the share of a rejection limit that all boxes may use for calls to targets
	// that have rejected one.
	probeShare = 0.5
	// averageLifetime is how long the average number of seats is cached.
	averageLifetime = 100 * time.Millisecond
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
	// fleetHoldTime is the mean over all boxes as control has told it, zero if it has not.
	holdTime, fleetHoldTime time.Duration
	holdCount               float64
	// waiting are this box's calls that wait for a seat.
	waiting seatQueue
	// lastTurn is the last turn in which this box has started a call.
	lastTurn int64
	// lastStart is when it has last started one, and pressedAt when a call last had to wait or
	// was rejected.
	lastStart, pressedAt time.Duration
	// average caches the average number of seats, as computed at averageAt.
	average         float64
	averageAt       time.Duration
	averageRevision uint64
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

	// seats caches the box's seats in two terms.
	seats [2]cachedSeats
}

// cachedSeats are the box's seats at a target in one term.
type cachedSeats struct {
	term          int64
	slots         int64
	fleetRevision uint64
	listRevision  uint64
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

// ownHoldTime returns the mean time for which a call of this box holds a slot, zero if none has.
func (r *roomStats) ownHoldTime() time.Duration {
	if r.holdCount == 0 {
		return 0
	}
	return r.holdTime
}

// meanHoldTime returns the mean time for which a call holds a slot: that over all boxes, if it is
// known, so that all boxes reckon with the same, else that of this box with a margin.
func (r *roomStats) meanHoldTime() time.Duration {
	if r.fleetHoldTime > 0 {
		return r.fleetHoldTime
	}
	return time.Duration(ownHoldMargin * float64(r.holdTime))
}

// RecordRejection records that a target rejected a call for want of room.
func (tb *Table) RecordRejection(t *Target, now time.Duration) {
	t.room.usable = max(minUsable, shrinkFactor*t.room.usableShare(now))
	t.room.usableAt = now
	t.room.blockedAt = now
	tb.roomOf(t.Service).pressedAt = now
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

// averageSeats returns how many seats a box has on average at the targets of a service that it can
// reach.
func (tb *Table) averageSeats(service string, now time.Duration) float64 {
	r := tb.roomOf(service)
	if r.averageRevision == tb.fleetRevision && r.averageAt > 0 && now-r.averageAt < averageLifetime {
		return r.average
	}
	slots := 0
	for _, t := range tb.services[service] {
		if tb.isCheckable(t) && t.bannedUntil <= now {
			slots += t.Slots
		}
	}
	r.average, r.averageAt, r.averageRevision = seatShare*float64(slots)/float64(tb.fleet.Divisor()), now, tb.fleetRevision
	return r.average
}

// seats returns how many calls this box may run at a target at now.
func (tb *Table) seats(t *Target, now time.Duration) int64 {
	slots := tb.slotsOf(t, now)
	if tb.engineTerms[t.Service].Slots > 0 {
		return tb.seatsIn(t, 0, slots)
	}
	at := now + tb.fleet.Offset()
	index := int64(at / term)
	n := tb.seatsIn(t, index, slots)
	if left := term - at%term; left < time.Duration(handoverHolds*float64(tb.roomOf(t.Service).holdTime)) {
		n = min(n, tb.seatsIn(t, index+1, slots))
	}
	return n
}

// seatsIn returns this box's seats at a target in a term.
func (tb *Table) seatsIn(t *Target, index, slots int64) int64 {
	c := &t.room.seats[index&1]
	if c.term != index || c.slots != slots || c.fleetRevision != tb.fleetRevision || c.listRevision != tb.listRevision {
		*c = cachedSeats{term: index, slots: slots, fleetRevision: tb.fleetRevision, listRevision: tb.listRevision, seats: tb.divide(t, index, slots)}
	}
	return c.seats
}

// divide returns this box's seats at a target in a term. The few seats of a plain service are dealt
// out target after target, so that no box has much less than the others.
func (tb *Table) divide(t *Target, index, slots int64) int64 {
	if tb.engineTerms[t.Service].Slots > 0 {
		return tb.fleet.Part(slots, t.hash, index)
	}
	first := index
	for _, other := range tb.services[t.Service] {
		if other == t {
			break
		}
		first += int64(seatShare * float64(other.Slots))
	}
	boxes := int64(tb.fleet.Divisor())
	seats, rest := slots/boxes, slots%boxes
	if position := (int64(tb.rank) - first) % boxes; (position+boxes)%boxes < rest {
		seats++
	}
	return seats
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
	if t.room.isBlocked(now) && !t.room.probes.CanSend(tb.fleet, probeShare*perSecond, t.hash, now) {
		return false
	}
	if tb.takesTurns(t.Service, now) {
		return tb.isOurTurn(t, perSecond, now) || t.room.risks.CanSend(tb.fleet, riskShare*perSecond, ^t.hash, now)
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
	if tb.roomOf(t.Service).waiting.before(criteria.Ticket) >= tb.servedAtOnce(t.Service, now) {
		return false
	}
	return tb.mayStart(t, t.RunningCalls, t.HeldTokens+criteria.Tokens, now)
}

// AcquireSeat takes a seat at a target for a call that is about to be sent and that RunningCalls
// and HeldTokens include. It reports whether there was one.
func (tb *Table) AcquireSeat(t *Target, now time.Duration) bool {
	perSecond, limited := tb.rejectionLimit(t, now)
	if !limited {
		return true
	}
	if !tb.mayStart(t, t.RunningCalls-1, t.HeldTokens, now) {
		return false
	}
	if t.room.isBlocked(now) {
		t.room.probes.Acquire(tb.fleet, probeShare*perSecond, t.hash, now)
	}
	switch {
	case !tb.takesTurns(t.Service, now):
	case tb.isOurTurn(t, perSecond, now):
		r := tb.roomOf(t.Service)
		r.lastTurn, r.lastStart = tb.turnAt(t.Service, now).index, now
	default:
		t.room.risks.Acquire(tb.fleet, riskShare*perSecond, ^t.hash, now)
	}
	return true
}
