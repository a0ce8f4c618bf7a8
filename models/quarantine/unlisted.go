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

// Mark returns a short digest of the identity of a target's start. The list that is
// sent to the boxes has marks in place of names, which suffice to see which ends control
// has counted.
func Mark(start string) string {
	sum := sha256.Sum256([]byte(start))
	return base64.RawURLEncoding.EncodeToString(sum[:markLength])
}

// Unlisted holds the ends of targets that a box has observed itself and that its copy
// of control's list may not include yet. Times are on the box's boot clock. It is not
// safe for concurrent use.
type Unlisted struct{ calls map[Content]*unlistedCall }

type unlistedCall struct {
	// ends are in the order of observation.
	ends []unlistedEnd
	// expiresAt is when the ends cease to have any effect.
	expiresAt time.Duration
}

type unlistedEnd struct {
	target string
	weight uint32
	at     time.Duration
	// reportNumber is the number of the report that contained the end, zero until control
	// has acknowledged it.
	reportNumber uint64
}

// Has reports whether any ends of a call are held.
func (u *Unlisted) Has(c Content) bool { return u.calls[c] != nil }

// Add records the end of a target during a call. listed is control's row of the call
// with its time on the boot clock, nil if there is none.
func (u *Unlisted) Add(c Content, target string, weight uint32, listed *statev1.QuarantinedCall, now time.Duration) {
	call := u.calls[c]
	if call == nil {
		call = u.insert(c)
	}
	for _, e := range call.ends {
		if e.target == target {
			return
		}
	}
	call.ends = append(call.ends, unlistedEnd{target: target, weight: weight, at: now})
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
func (u *Unlisted) insert(c Content) *unlistedCall {
	if u.calls == nil {
		u.calls = map[Content]*unlistedCall{}
	}
	if len(u.calls) >= maxUnlisted {
		delete(u.calls, u.fewestEnds())
	}
	call := &unlistedCall{}
	u.calls[c] = call
	return call
}

func (u *Unlisted) fewestEnds() Content {
	var least Content
	var found *unlistedCall
	for c, call := range u.calls {
		if found == nil || len(call.ends) < len(found.ends) || len(call.ends) == len(found.ends) && call.expiresAt < found.expiresAt {
			least, found = c, call
		}
	}
	return least
}

// Acknowledge records that control has accepted a report, under the number in it.
func (u *Unlisted) Acknowledge(r *statev1.ReportCalls) {
	for _, reported := range r.GetEnded() {
		c, ok := ContentOf(reported.GetContent())
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
func (u *Unlisted) Unreported(most int) (ends []*statev1.EndedUnder) {
	for c, call := range u.calls {
		for _, e := range call.ends {
			if len(ends) == most {
				return ends
			}
			if e.reportNumber == 0 {
				ends = append(ends, &statev1.EndedUnder{Content: c[:], Target: e.target, Weight: e.weight})
			}
		}
	}
	return ends
}

// Settle drops the ends that the list includes, and those that it included until the
// call was released. A single reported end is kept while the call is not listed, since
// control doesn't list calls with one end.
func (u *Unlisted) Settle(l *List, now time.Duration) {
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
func (u *Unlisted) Forget(c Content) { delete(u.calls, c) }

// Held reports whether a call is held back, and for how long, when the listed ends and
// those of this box are added up, each start of a target counting once. listed is as in
// Add.
func (u *Unlisted) Held(c Content, listed *statev1.QuarantinedCall, now time.Duration) (left time.Duration, held bool) {
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
func replay(c Content, listed *statev1.QuarantinedCall, ends []unlistedEnd, now time.Duration) *statev1.QuarantinedCall {
	tb := NewTable()
	if listed != nil {
		tb.put(c, listed)
	}
	for _, e := range ends {
		end := &statev1.EndedUnder{Content: c[:], Target: Mark(e.target), Weight: e.weight}
		tb.Take(&statev1.ReportCalls{At: e.at.Milliseconds(), Ended: []*statev1.EndedUnder{end}})
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
	return moved
}
