// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"
)

const (
	// minSeats is the average number of seats of a box below which boxes take turns.
	minSeats = 2
	// turnShare is the share of the slots that boxes fill by turns. Some calls hold their slots
	// for longer than the mean.
	turnShare = 0.55
	// roundStep is the ratio between two durations of a round. A round that followed each change
	// of the hold time would shift all turns.
	roundStep = 1.1
	// turnLength is the part of a round, at least minTurn, within which a box must start its call.
	turnLength = 0.1
	minTurn    = 10 * time.Millisecond
	// pressureTime is how long a box starts calls only in its turns after one had to wait or was
	// rejected.
	pressureTime = 2 * time.Second
	// riskShare is the share of a rejection limit that boxes that take turns may use for calls out
	// of their turn.
	riskShare = 0.25
)

// takesTurns reports whether the boxes take turns in calling the targets of a service.
func (tb *Table) takesTurns(service string, now time.Duration) bool {
	return tb.averageSeats(service, now) < minSeats
}

// turn is a moment at which this box may start a call of a service.
type turn struct {
	// index identifies the turn, and round is the time between two of this box's turns.
	index int64
	round time.Duration
	// isOpen is set while the call may be started, and next is the time to the next turn.
	isOpen bool
	next   time.Duration
}

// turnAt returns this box's turn at now. The turns of all boxes are spread evenly over a round, which
// is as long as the slots of all targets need for a call of each box.
func (tb *Table) turnAt(service string, now time.Duration) turn {
	boxes := float64(tb.fleet.Divisor())
	average := max(tb.averageSeats(service, now), 1/boxes) / seatShare
	round := roundUp(time.Duration(float64(tb.roomOf(service).meanHoldTime()) / (average * turnShare)))
	at := now + tb.fleet.Offset() - time.Duration(float64(round)*float64(tb.rank)/boxes)
	since := at % round
	return turn{
		index: int64(at / round), round: round, next: round - since,
		isOpen: since < max(minTurn, time.Duration(turnLength*float64(round))),
	}
}

// roundUp returns the next duration of a round.
func roundUp(d time.Duration) time.Duration {
	steps := math.Ceil(math.Log(d.Seconds()) / math.Log(roundStep))
	return time.Duration(math.Pow(roundStep, steps) * float64(time.Second))
}

// isOurTurn reports whether this box may start a call at a target, in its present turn or, while none of
// its calls has had to wait lately, out of turn.
func (tb *Table) isOurTurn(t *Target, perSecond float64, now time.Duration) bool {
	turn, r := tb.turnAt(t.Service, now), tb.roomOf(t.Service)
	if turn.isOpen && turn.index != r.lastTurn {
		return true
	}
	isPressed := r.pressedAt > 0 && now-r.pressedAt < pressureTime
	return !isPressed && tb.standsStartsAtOnce(t, perSecond) && (r.lastStart == 0 || now-r.lastStart >= turn.round)
}

// standsStartsAtOnce reports whether a target can bear that all boxes start a call at the same moment
// and spread these calls over all targets of its service.
func (tb *Table) standsStartsAtOnce(t *Target, perSecond float64) bool {
	calls := float64(tb.fleet.Divisor()) / float64(max(1, len(tb.services[t.Service])))
	return calls <= float64(t.Slots)+perSecond
}

// inTurn returns the candidate for this box's present turn. Boxes with successive turns, and
// successive turns of a box, get different ones.
func (tb *Table) inTurn(service string, candidates []*Target, now time.Duration) *Target {
	turn := int64(tb.rank) + tb.turnAt(service, now).index
	return candidates[int(uint64(turn)%uint64(len(candidates)))]
}
