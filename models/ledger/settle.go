// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/digest"
)

// Bill is how an attempt ended.
type Bill struct {
	Attempt uint32
	Used    uint64
	// NotRun says that the request certainly was not run; nothing is billed.
	NotRun bool
	// Uncertain says that it is not known whether the request was run.
	Uncertain bool
}

// Settle ends an attempt: it bills what was used, at most the bound, or
// releases a request that certainly was not run. Repeating it, or settling an
// attempt that was taken over, changes nothing and returns the record.
func (l *Ledger) Settle(group, key string, bill Bill, now Times) Outcome {
	old := l.Requests[RequestKey(group, key)]
	if old == nil || !IsOpen(old) || old.GetAttempt() != bill.Attempt {
		return Outcome{Request: old}
	}
	next := proto.CloneOf(old)
	next.Changed = now.Wall.UnixMilli()
	if bill.NotRun {
		next.State = statev1.RequestState_REQUEST_STATE_RELEASED
		return l.store(next, betweenv1.ReserveStatus_RESERVE_STATUS_DONE)
	}
	next.State = statev1.RequestState_REQUEST_STATE_DONE
	next.Billed = min(bill.Used, old.GetBound())
	next.Uncertain = bill.Uncertain
	l.charge(next)
	if next.GetClaimedBy() != "" {
		l.writeOff(next)
	}
	return l.storeWithRows(next)
}

// charge takes a billed amount out of the budget. Rows are replaced, never
// changed, since a stored row may still be on its way to the disk.
func (l *Ledger) charge(r *statev1.RequestRecord) {
	b := l.Budget(r.GetBudget())
	b.Row = proto.CloneOf(b.Row)
	b.Row.Spent += r.GetBilled()
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.Spent += r.GetBilled()
	u.Row.Requests++
}

// writeOff takes a billed amount off the bill. The tokens were served, so they
// stay out of the budget: giving them back could lead to overspending.
func (l *Ledger) writeOff(r *statev1.RequestRecord) {
	r.State = statev1.RequestState_REQUEST_STATE_VOIDED
	r.WrittenOff += r.GetBilled()
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.WrittenOff += r.GetBilled()
	r.Billed = 0
}

// ReleaseUnseen releases what a box has reserved without seeing the answer,
// as long as it has not been started.
func (l *Ledger) ReleaseUnseen(group, key, box string, now Times) Outcome {
	old := l.Requests[RequestKey(group, key)]
	if old.GetState() != statev1.RequestState_REQUEST_STATE_RESERVED || old.GetBox() != box {
		return Outcome{Request: old}
	}
	return l.Settle(group, key, Bill{Attempt: old.GetAttempt(), NotRun: true}, now)
}

func (l *Ledger) storeWithRows(r *statev1.RequestRecord) Outcome {
	l.put(r)
	record := &statev1.LedgerRecord{
		Request: r,
		Budget:  l.Budget(r.GetBudget()).Row,
		Usage:   l.Usage(r.GetGroup()).Row,
	}
	return Outcome{Status: betweenv1.ReserveStatus_RESERVE_STATUS_DONE, Request: r, Records: []*statev1.LedgerRecord{record}}
}

// Claim answers, as the home of a key, a holder that ran it while this home
// could not be reached. The first claim wins; a record of this ledger that
// holds or ends a run wins against every claim.
func (l *Ledger) Claim(r *statev1.RequestRecord, holder string, now Times) (granted bool, claimedBy string, out Outcome) {
	old := l.Requests[keyOf(r)]
	if old != nil && old.GetClaimedBy() != "" {
		return old.GetClaimedBy() == holder, old.GetClaimedBy(), Outcome{}
	}
	if old != nil && old.GetState() != statev1.RequestState_REQUEST_STATE_RELEASED {
		return false, l.Incarnation, Outcome{}
	}
	pointer := &statev1.RequestRecord{
		Group:     r.GetGroup(),
		Key:       r.GetKey(),
		ClaimedBy: holder,
		Created:   now.Wall.UnixMilli(),
		Changed:   now.Wall.UnixMilli(),
	}
	return true, holder, l.store(pointer, betweenv1.ReserveStatus_RESERVE_STATUS_DONE)
}

// Pending returns records whose home must still be asked, at most n.
func (l *Ledger) Pending(n int) []*statev1.RequestRecord {
	var list []*statev1.RequestRecord
	for key := range l.pending {
		if len(list) == n {
			break
		}
		list = append(list, l.Requests[key])
	}
	return list
}

// Claimed takes the home's answer in. When another holder bills the key, what
// was or will be billed here is written off.
func (l *Ledger) Claimed(group, key string, granted bool, claimedBy string, now Times) Outcome {
	old := l.Requests[RequestKey(group, key)]
	if old == nil || old.GetForeignHome() == "" {
		return Outcome{Request: old}
	}
	next := proto.CloneOf(old)
	next.ForeignHome = ""
	next.Changed = now.Wall.UnixMilli()
	if granted {
		return l.store(next, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED)
	}
	next.ClaimedBy = claimedBy
	if next.GetState() == statev1.RequestState_REQUEST_STATE_DONE {
		l.writeOff(next)
	}
	return l.storeWithRows(next)
}

// streamIDDigits is the length of a run's name at its target.
const streamIDDigits = 32

// StreamID names a run at its target. It depends on the record alone, so that
// whoever takes a request over finds its run; it shows neither group nor key.
func StreamID(r *statev1.RequestRecord, runs uint32) string {
	number := []byte(strconv.FormatUint(uint64(runs), 10))
	return digest.Of([]byte(r.GetGroup()), []byte(r.GetKey()), number)[:streamIDDigits]
}
