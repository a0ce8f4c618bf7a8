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

// Outcome is the answer to a step, with what must last before it is given.
type Outcome struct {
	Status  betweenv1.ReserveStatus
	Request *statev1.RequestRecord
	Free    uint64
	Records []*statev1.LedgerRecord
}

// Times are the two readings of the clock that a step needs.
type Times struct {
	Wall time.Time
	Boot time.Duration
}

// Reserve decides whether a request may run. The request carries group, key,
// budget, bound, body digest, priority, deadline and whether it is repeatable;
// box names who would run it.
func (l *Ledger) Reserve(r *statev1.RequestRecord, box string, now Times) Outcome {
	l.Beat(box, now.Boot)
	if old := l.Requests[keyOf(r)]; old != nil {
		return l.again(old, r, box, now)
	}
	if status := l.vouch(r, now.Wall); status != betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED {
		return Outcome{Status: status, Request: r}
	}
	return l.admit(r, box, 0, now)
}

// vouch refuses keys for which a missing record does not prove that nothing ran.
func (l *Ledger) vouch(r *statev1.RequestRecord, now time.Time) betweenv1.ReserveStatus {
	born, timed := KeyTime(r.GetKey())
	if timed && born < now.UnixMilli()-l.opts.Window.Milliseconds() {
		return betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED
	}
	if !l.Blind || r.GetRepeatable() {
		return betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED
	}
	sighted := l.Created + l.opts.Window.Milliseconds()
	if timed && born > l.Created+clockSkew || now.UnixMilli() > sighted {
		return betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED
	}
	return betweenv1.ReserveStatus_RESERVE_STATUS_UNKNOWN
}

// KeyTime returns the time inside a key that is, or ends in ":" and, a UUID of
// version 7 (RFC 9562), in Unix milliseconds.
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

// again decides on a request whose key is recorded.
func (l *Ledger) again(old, r *statev1.RequestRecord, box string, now Times) Outcome {
	// A pointer to another holder has no digest; that holder compares.
	if old.GetBodyDigest() != "" && old.GetBodyDigest() != r.GetBodyDigest() {
		return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_CONFLICT, Request: old}
	}
	switch old.GetState() {
	case statev1.RequestState_REQUEST_STATE_RESERVED:
		if l.alive(old.GetBox(), now.Boot) {
			return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, Request: old}
		}
		return l.takeOver(old, box, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, now)
	case statev1.RequestState_REQUEST_STATE_STARTED:
		if l.alive(old.GetBox(), now.Boot) {
			return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, Request: old}
		}
		return l.takeOver(old, box, betweenv1.ReserveStatus_RESERVE_STATUS_TAKEN_OVER, now)
	case statev1.RequestState_REQUEST_STATE_RELEASED:
		return l.admit(r, box, old.GetAttempt(), now)
	default:
		return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_DONE, Request: old}
	}
}

// admit reserves the bound under a new attempt.
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

// store puts a changed record and returns it with its rows to be stored.
func (l *Ledger) store(r *statev1.RequestRecord, status betweenv1.ReserveStatus) Outcome {
	l.put(r)
	return Outcome{Status: status, Request: r, Records: []*statev1.LedgerRecord{{Request: r}}, Free: l.Budget(r.GetBudget()).Free()}
}

// StartOptions describe a start of an attempt.
type StartOptions struct {
	Attempt uint32
	Target  string
	// FormerNotRun says that the former target certainly never got it.
	FormerNotRun bool
	// Lost is what the former target may have used; it is written off.
	Lost uint64
}

// Start notes, before anything is sent, that an attempt goes to a target. It
// refuses an attempt that was taken over, a second target for a request that
// may not be repeated unless the first certainly never got it, and a second
// target for which the budget has no room besides what the first may have used.
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
	l.lose(next, lost)
	return l.storeWithRows(next), true
}

// lose writes off what an earlier run of a request may have used.
func (l *Ledger) lose(r *statev1.RequestRecord, tokens uint64) {
	r.WrittenOff += tokens
	b := l.Budget(r.GetBudget())
	b.Row = proto.CloneOf(b.Row)
	b.Row.Spent += tokens
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.Spent += tokens
	u.Row.WrittenOff += tokens
}

// Beat notes that a box is at work.
func (l *Ledger) Beat(box string, boot time.Duration) { l.beats[box] = boot }

// alive tells whether a box was heard of lately. A box that was never heard of
// counts from the start of this process.
func (l *Ledger) alive(box string, boot time.Duration) bool {
	last, ok := l.beats[box]
	if !ok {
		last = l.began
	}
	return boot-last < l.opts.BoxTimeout
}

// Orphans returns the open requests of boxes that have fallen silent, at most
// n of them. Only boxes with open requests are looked at.
func (l *Ledger) Orphans(boot time.Duration, n int) []*statev1.RequestRecord {
	var orphans []*statev1.RequestRecord
	for box, keys := range l.open {
		if l.alive(box, boot) {
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
