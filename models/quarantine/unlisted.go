// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

const (
	// maxUnlisted bounds the calls for which a box keeps ends, about 200 bytes each.
	maxUnlisted = 2048
	// markLength is the length of a mark in bytes, before encoding.
	markLength = 6
)

// TargetMark returns a short digest of the identity of a target's start. The list that is
// sent to the boxes has marks in place of names, which suffice to see which ends control
// has counted.
func TargetMark(start string) string {
	sum := sha256.Sum256([]byte(start))
	return base64.RawURLEncoding.EncodeToString(sum[:markLength])
}

// PendingEnds holds the ends of targets that a box has observed itself and that its copy
// of control's list may not include yet. Times are on the box's boot clock. It is not
// safe for concurrent use.
type PendingEnds struct{ calls map[Digest]*unlistedCall }

type unlistedCall struct {
	// ends are in the order of observation.
	ends []unlistedEnd
	// expiresAt is when the ends cease to have any effect.
	expiresAt time.Duration
}

type unlistedEnd struct {
	target string
	weight uint32
	// part is set if the content is that of a part of a prompt.
	part bool
	at   time.Duration
	// reportNumber is the number of the report that contained the end, zero until control
	// has acknowledged it.
	reportNumber uint64
}

// Contains reports whether any ends of a call are held.
func (u *PendingEnds) Contains(c Digest) bool { return u.calls[c] != nil }

// Add records the end of a target during a call. listed is control's row of the call
// with its time on the boot clock, nil if there is none.
func (u *PendingEnds) Add(c Digest, target string, weight uint32, listed *statev1.QuarantinedCall, now time.Duration) {
	u.add(c, unlistedEnd{target: target, weight: weight, at: now}, listed, now)
}

// AddPart records the end of a target during a call whose prompt has a part, before the first part of
// the answer. listed is control's row of the part.
func (u *PendingEnds) AddPart(c Digest, target string, listed *statev1.QuarantinedCall, now time.Duration) {
	u.add(c, unlistedEnd{target: target, weight: EarlyEnd, part: true, at: now}, listed, now)
}

func (u *PendingEnds) add(c Digest, e unlistedEnd, listed *statev1.QuarantinedCall, now time.Duration) {
	call := u.calls[c]
	if call == nil {
		call = u.insert(c)
	}
	for _, known := range call.ends {
		if known.target == e.target {
			return
		}
	}
	call.ends = append(call.ends, e)
	call.ends = call.ends[max(0, len(call.ends)-maxTargetsPerCall):]
	row := replay(c, listed, call.ends, now)
	call.expiresAt = time.Duration(row.GetDue()) * time.Millisecond
	if row.GetHeld() {
		// After a hold, the call is remembered for the same time again.
		call.expiresAt += holdPeriod(row.GetRounds())
	}
}

// insert adds a call without ends. If there are too many calls, it evicts the one with
// the fewest ends, of several the one that would expire first.
func (u *PendingEnds) insert(c Digest) *unlistedCall {
	if u.calls == nil {
		u.calls = map[Digest]*unlistedCall{}
	}
	if len(u.calls) >= maxUnlisted {
		delete(u.calls, u.fewestEnds())
	}
	call := &unlistedCall{}
	u.calls[c] = call
	return call
}

func (u *PendingEnds) fewestEnds() Digest {
	var least Digest
	var found *unlistedCall
	for c, call := range u.calls {
		if found == nil || len(call.ends) < len(found.ends) || len(call.ends) == len(found.ends) && call.expiresAt < found.expiresAt {
			least, found = c, call
		}
	}
	return least
}

// Acknowledge records that control has accepted a report, under the number in it.
func (u *PendingEnds) Acknowledge(r *statev1.ReportCalls) {
	for _, reported := range r.GetEnded() {
		c, ok := ParseDigest(reported.GetContent())
		if !ok || u.calls[c] == nil {
			continue
		}
		for i := range u.calls[c].ends {
			if e := &u.calls[c].ends[i]; e.target == reported.GetTarget() && e.reportNumber == 0 {
				e.reportNumber = r.GetNumber()
			}
		}
	}
}

// Unreported returns up to most ends that control has not acknowledged.
func (u *PendingEnds) Unreported(most int) (ends []*statev1.EndedUnder) {
	for c, call := range u.calls {
		for _, e := range call.ends {
			if len(ends) == most {
				return ends
			}
			if e.reportNumber == 0 {
				ends = append(ends, &statev1.EndedUnder{Content: c[:], Target: e.target, Weight: e.weight, Part: e.part})
			}
		}
	}
	return ends
}

// DropListed drops the ends that the list includes, and those that it included until the
// call was released. A single reported end is kept while the call is not listed, since
// control doesn't list calls with one end.
func (u *PendingEnds) DropListed(l *List, now time.Duration) {
	reports := l.Reports()
	for c, call := range u.calls {
		counted := func(e unlistedEnd) bool { return e.reportNumber != 0 && e.reportNumber <= reports }
		n := 0
		for _, e := range call.ends {
			if counted(e) {
				n++
			}
		}
		if n > 0 && (n >= listThreshold || l.Row(c) != nil) {
			call.ends = slices.DeleteFunc(call.ends, counted)
		}
		if len(call.ends) == 0 || call.expiresAt <= now {
			delete(u.calls, c)
		}
	}
}

// Forget drops all ends of a call.
func (u *PendingEnds) Forget(c Digest) { delete(u.calls, c) }

// HoldLeft reports whether a call is held back, and for how long, when the listed ends and
// those of this box are added up, each start of a target counting once. listed is as in
// Add.
func (u *PendingEnds) HoldLeft(c Digest, listed *statev1.QuarantinedCall, now time.Duration) (left time.Duration, held bool) {
	call := u.calls[c]
	if call == nil {
		return 0, false
	}
	row := replay(c, listed, call.ends, now)
	if !row.GetHeld() {
		return 0, false
	}
	return time.Duration(row.GetDue())*time.Millisecond - now, true
}

// replay returns the row that control would have after further ends.
func replay(c Digest, listed *statev1.QuarantinedCall, ends []unlistedEnd, now time.Duration) *statev1.QuarantinedCall {
	tb := NewTable()
	if listed != nil {
		tb.put(c, listed)
	}
	for _, e := range ends {
		end := &statev1.EndedUnder{Content: c[:], Target: TargetMark(e.target), Weight: e.weight, Part: e.part}
		tb.Apply(&statev1.ReportCalls{At: e.at.Milliseconds(), Ended: []*statev1.EndedUnder{end}})
	}
	tb.expire(now.Milliseconds())
	return tb.Row(c)
}

// OnClock returns a copy of a listed row with its time converted to another clock.
// difference is that clock minus the Unix time of control. It returns nil for nil.
func OnClock(row *statev1.QuarantinedCall, difference time.Duration) *statev1.QuarantinedCall {
	if row == nil {
		return nil
	}
	moved := proto.Clone(row).(*statev1.QuarantinedCall)
	moved.Due += difference.Milliseconds()
	if moved.GetLastEnd() != 0 {
		moved.LastEnd += difference.Milliseconds()
	}
	return moved
}
