// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Outcome is the result of an operation, with the records that must be durable
// before it is sent. Free is what is left of the budget for reservations.
type Outcome struct {
	Status  betweenv1.ReserveStatus
	Request *statev1.RequestRecord
	Free    uint64
	Records []*statev1.LedgerRecord
}

// Times holds the current time of day and the time since the machine booted.
// The latter does not jump when the clock is set.
type Times struct {
	Wall time.Time
	Boot time.Duration
}

// Reserve decides whether a request may run and reserves its bound. The record
// must have group, key, budget, bound, body digest, priority, deadline and
// whether it is repeatable; box is the box that will run it.
func (l *Ledger) Reserve(r *statev1.RequestRecord, box string, now Times) Outcome {
	l.Beat(box, now.Boot)
	if old := l.Requests[keyOf(r)]; old != nil {
		return l.reserveRecordedKey(old, r, box, now)
	}
	if status := l.checkUnrecordedKey(r, now.Wall); status != betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED {
		return Outcome{Status: status, Request: r}
	}
	return l.admit(r, box, 0, now)
}

// checkUnrecordedKey returns the status that refuses a key without a record, if
// the missing record does not prove that the request has not run: the key is
// older than the window, or an earlier ledger that may have run it was lost.
func (l *Ledger) checkUnrecordedKey(r *statev1.RequestRecord, now time.Time) betweenv1.ReserveStatus {
	created, timed := KeyTime(r.GetKey())
	if timed && created < now.UnixMilli()-l.opts.RetentionWindow.Milliseconds() {
		return betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED
	}
	if !l.Blind || r.GetRepeatable() {
		return betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED
	}
	blindUntil := l.Created + l.opts.RetentionWindow.Milliseconds()
	if timed && created > l.Created+maxClockSkewMillis || now.UnixMilli() > blindUntil {
		return betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED
	}
	return betweenv1.ReserveStatus_RESERVE_STATUS_UNKNOWN
}

// KeyTime returns the time, in Unix milliseconds, inside a key that is a UUID of
// version 7 (RFC 9562) or ends in ":" and such a UUID, and false for other keys.
func KeyTime(key string) (int64, bool) {
	const length = 36
	if len(key) < length || (len(key) > length && key[len(key)-length-1] != ':') {
		return 0, false
	}
	id, err := uuid.Parse(key[len(key)-length:])
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	milli := int64(0)
	for _, b := range id[:6] {
		milli = milli<<8 | int64(b)
	}
	return milli, true
}

// reserveRecordedKey handles Reserve for a key that has a record: it refuses
// another body, reports the state of a running or finished request, takes over
// the request of a silent box and admits a released one.
func (l *Ledger) reserveRecordedKey(old, r *statev1.RequestRecord, box string, now Times) Outcome {
	// The record of a claim by another holder has no digest; that holder compares
	// it.
	if old.GetBodyDigest() != "" && old.GetBodyDigest() != r.GetBodyDigest() {
		return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_CONFLICT, Request: old}
	}
	switch old.GetState() {
	case statev1.RequestState_REQUEST_STATE_RESERVED:
		if l.isAlive(old.GetBox(), now.Boot) {
			return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, Request: old}
		}
		return l.takeOver(old, box, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, now)
	case statev1.RequestState_REQUEST_STATE_STARTED:
		if l.isAlive(old.GetBox(), now.Boot) {
			return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, Request: old}
		}
		return l.takeOver(old, box, betweenv1.ReserveStatus_RESERVE_STATUS_TAKEN_OVER, now)
	case statev1.RequestState_REQUEST_STATE_RELEASED:
		return l.admit(r, box, old.GetAttempt(), now)
	default:
		return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_DONE, Request: old}
	}
}

// admit reserves the request's bound and starts a new attempt.
func (l *Ledger) admit(r *statev1.RequestRecord, box string, attempt uint32, now Times) Outcome {
	b := l.Budget(r.GetBudget())
	if b.Free() < r.GetBound() {
		return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED, Request: r, Free: b.Free()}
	}
	next := proto.CloneOf(r)
	next.State = statev1.RequestState_REQUEST_STATE_RESERVED
	next.Attempt = attempt + 1
	next.Box = box
	next.Created = now.Wall.UnixMilli()
	next.Changed = next.Created
	next.Runs = l.Requests[keyOf(r)].GetRuns()
	b.rate.add(r.GetBound(), now.Boot)
	return l.store(next, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED)
}

func (l *Ledger) takeOver(old *statev1.RequestRecord, box string, status betweenv1.ReserveStatus, now Times) Outcome {
	next := proto.CloneOf(old)
	next.Attempt++
	next.Box = box
	next.Changed = now.Wall.UnixMilli()
	return l.store(next, status)
}

// store sets a changed request record and returns it as the record to be made
// durable.
func (l *Ledger) store(r *statev1.RequestRecord, status betweenv1.ReserveStatus) Outcome {
	l.put(r)
	return Outcome{Status: status, Request: r, Records: []*statev1.LedgerRecord{{Request: r}}, Free: l.Budget(r.GetBudget()).Free()}
}

// StartOptions describes the start of an attempt.
type StartOptions struct {
	Attempt uint32
	Target  string
	// FormerNotRun is set if the previous target certainly did not receive the
	// request.
	FormerNotRun bool
	// Lost is the number of tokens that the previous target may have used. They
	// are written off.
	Lost uint64
}

// Start records that an attempt is sent to a target; it must be called before
// anything is sent. It returns false for an attempt that was taken over, for a
// second target of a request that is not repeatable unless the first target
// certainly did not receive it, and for a second target if the budget can't
// cover what the first may have used in addition to the request's bound.
func (l *Ledger) Start(group, key string, opts StartOptions, now Times) (Outcome, bool) {
	old := l.Requests[RequestKey(group, key)]
	if old == nil || !IsOpen(old) || old.GetAttempt() != opts.Attempt {
		return Outcome{Request: old}, false
	}
	started := old.GetState() == statev1.RequestState_REQUEST_STATE_STARTED
	if started && !opts.FormerNotRun && !old.GetRepeatable() {
		return Outcome{Request: old}, false
	}
	next := proto.CloneOf(old)
	next.State = statev1.RequestState_REQUEST_STATE_STARTED
	next.Target = opts.Target
	next.Runs++
	next.Changed = now.Wall.UnixMilli()
	if !started || opts.FormerNotRun {
		return l.store(next, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED), true
	}
	lost := min(opts.Lost, old.GetBound())
	if l.Budget(old.GetBudget()).Free() < lost {
		return Outcome{Request: old}, false
	}
	l.chargeLostRun(next, lost)
	return l.storeWithRows(next), true
}

// chargeLostRun charges the tokens that an earlier run of a request may have
// used to the budget, and writes them off instead of billing them.
func (l *Ledger) chargeLostRun(r *statev1.RequestRecord, tokens uint64) {
	r.WrittenOff += tokens
	b := l.Budget(r.GetBudget())
	b.Row = proto.CloneOf(b.Row)
	b.Row.Spent += tokens
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.Spent += tokens
	u.Row.WrittenOff += tokens
}

// Beat records a sign of life of a box.
func (l *Ledger) Beat(box string, boot time.Duration) { l.lastBeats[box] = boot }

// isAlive reports whether the last message from a box is less than BoxTimeout
// ago. For a box without a message the time counts from the start of this
// process.
func (l *Ledger) isAlive(box string, boot time.Duration) bool {
	last, ok := l.lastBeats[box]
	if !ok {
		last = l.startedAt
	}
	return boot-last < l.opts.BoxTimeout
}

// Orphans returns at most n open requests of boxes that are no longer alive. It
// visits only boxes with open requests.
func (l *Ledger) Orphans(boot time.Duration, n int) []*statev1.RequestRecord {
	var orphans []*statev1.RequestRecord
	for box, keys := range l.openByBox {
		if l.isAlive(box, boot) {
			continue
		}
		for key := range keys {
			if len(orphans) == n {
				return orphans
			}
			orphans = append(orphans, l.Requests[key])
		}
	}
	return orphans
}
