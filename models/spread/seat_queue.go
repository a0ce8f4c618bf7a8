// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"slices"
	"time"
)

const (
	// joinShare is the share of its time to wait within which a call must expect a seat to begin to
	// wait: one that waits in vain would better have been refused at once.
	joinShare = 0.6
	// minRecheck and maxRecheck bound the time after which a waiting call looks for a seat again.
	minRecheck = 5 * time.Millisecond
	maxRecheck = 100 * time.Millisecond
)

// servedAtOnce returns how many of the waiting calls of a service may look for a seat.
func (tb *Table) servedAtOnce(service string) int {
	return int(math.Ceil(tb.averageSeats(service)))
}

// seatQueue holds the calls that wait for a seat, by ticket, in the order in which they came.
type seatQueue struct {
	last    int64
	tickets []int64
}

// join adds a call and returns its ticket.
func (q *seatQueue) join() int64 {
	q.last++
	q.tickets = append(q.tickets, q.last)
	return q.last
}

// before returns how many calls have waited for longer than the one with the given ticket, which is
// zero for a call that does not wait.
func (q *seatQueue) before(ticket int64) int {
	if ticket == 0 {
		return len(q.tickets)
	}
	at, _ := slices.BinarySearch(q.tickets, ticket)
	return at
}

func (q *seatQueue) leave(ticket int64) {
	if at, found := slices.BinarySearch(q.tickets, ticket); found {
		q.tickets = slices.Delete(q.tickets, at, at+1)
	}
}

// FirstWaiting returns the tickets of the calls that may look for a seat of a service.
func (tb *Table) FirstWaiting(service string) []int64 {
	r := tb.rooms[service]
	if r == nil || len(r.waiting.tickets) == 0 {
		return nil
	}
	return r.waiting.tickets[:min(len(r.waiting.tickets), tb.servedAtOnce(service))]
}

// LeaveQueue removes a call from those that wait for a seat of a service.
func (tb *Table) LeaveQueue(service string, ticket int64) {
	if r := tb.rooms[service]; r != nil {
		r.waiting.leave(ticket)
	}
}

// waitForSeat decides what to do with a call for which this box has no seat now: it waits, with a
// ticket, if a seat is expected within its MaxSeatWait. ok is false if it is to be refused.
func (tb *Table) waitForSeat(criteria Criteria) (b Backoff, ok bool) {
	r := tb.roomOf(criteria.Service)
	before := r.waiting.before(criteria.Ticket)
	expected := time.Duration(float64(before+1) * float64(r.holdTime) / max(1, tb.averageSeats(criteria.Service)))
	wait := min(max(expected, minRecheck), maxRecheck)
	if wait > criteria.MaxSeatWait || criteria.Ticket == 0 && expected > time.Duration(joinShare*float64(criteria.MaxSeatWait)) {
		return Backoff{}, false
	}
	if criteria.Ticket == 0 {
		criteria.Ticket = r.waiting.join()
	}
	return Backoff{Wait: wait, Ticket: criteria.Ticket}, true
}
