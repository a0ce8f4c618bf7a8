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

// Bill is the result of an attempt. Used is the number of tokens it used.
type Bill struct {
	Attempt uint32
	Used    uint64
	// NotRun is set if the request certainly was not run. Nothing is billed.
	NotRun bool
	// Uncertain is set if it is unknown whether the request was run.
	Uncertain bool
}

// Settle ends an attempt: it bills the used tokens, at most the bound, or
// releases the reservation of a request that was not run. It is idempotent. A
// repeated settlement or that of an attempt that was taken over changes nothing
// and returns the current record.
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

// charge deducts a billed amount from the budget. Rows are replaced and never
// modified, since an earlier version may still be waiting to be written to disk.
func (l *Ledger) charge(r *statev1.RequestRecord) {
	b := l.Budget(r.GetBudget())
	b.Row = proto.CloneOf(b.Row)
	b.Row.Spent += r.GetBilled()
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.Spent += r.GetBilled()
	u.Row.Requests++
}

// writeOff voids a request's bill. The tokens were used, so they remain deducted
// from the budget: returning them could lead to overspending.
func (l *Ledger) writeOff(r *statev1.RequestRecord) {
	r.State = statev1.RequestState_REQUEST_STATE_VOIDED
	r.WrittenOff += r.GetBilled()
	u := l.Usage(r.GetGroup())
	u.Row = proto.CloneOf(u.Row)
	u.Row.WrittenOff += r.GetBilled()
	r.Billed = 0
}

// ReleaseUnanswered releases a reservation whose answer did not reach the box that
// asked for it, unless it was started or taken over since. The record must
// exist.
func (l *Ledger) ReleaseUnanswered(group, key, box string, now Times) Outcome {
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

// Claim decides, as the home ledger of a key, whether another holder that ran
// the key while this ledger was unreachable may bill it. The first claim is
// granted. A record of this ledger that is open or finished takes precedence
// over every claim.
func (l *Ledger) Claim(r *statev1.RequestRecord, holder string, now Times) (granted bool, claimedBy string, out Outcome) {
	old := l.Requests[keyOf(r)]
	if old != nil && old.GetClaimedBy() != "" {
		return old.GetClaimedBy() == holder, old.GetClaimedBy(), Outcome{}
	}
	if old != nil && old.GetState() != statev1.RequestState_REQUEST_STATE_RELEASED {
		return false, l.Incarnation, Outcome{}
	}
	claim := &statev1.RequestRecord{
		Group:     r.GetGroup(),
		Key:       r.GetKey(),
		ClaimedBy: holder,
		Created:   now.Wall.UnixMilli(),
		Changed:   now.Wall.UnixMilli(),
	}
	return true, holder, l.store(claim, betweenv1.ReserveStatus_RESERVE_STATUS_DONE)
}

// PendingClaims returns at most n records whose claim the home ledger has not answered
// yet.
func (l *Ledger) PendingClaims(n int) []*statev1.RequestRecord {
	var list []*statev1.RequestRecord
	for key := range l.pendingClaims {
		if len(list) == n {
			break
		}
		list = append(list, l.Requests[key])
	}
	return list
}

// ApplyClaimAnswer applies the home ledger's answer to a claim. If another holder bills
// the key, this ledger's bill is written off, now or when the request is settled.
func (l *Ledger) ApplyClaimAnswer(group, key string, granted bool, claimedBy string, now Times) Outcome {
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

// streamIDDigits is the length of a StreamID.
const streamIDDigits = 32

// StreamID returns the id of a request's run at its target. It depends only on
// the record, so that a box that takes the request over finds the run, and is a
// digest, so that it reveals neither group nor key.
func StreamID(r *statev1.RequestRecord, runs uint32) string {
	number := []byte(strconv.FormatUint(uint64(runs), 10))
	return digest.Of([]byte(r.GetGroup()), []byte(r.GetKey()), number)[:streamIDDigits]
}
