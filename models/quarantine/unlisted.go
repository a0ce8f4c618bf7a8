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
	// maxUnlisted bounds the calls of which a box keeps ends, about 200 bytes each.
	maxUnlisted = 2048
	// markLength is the length of a mark in bytes before it is encoded.
	markLength = 6
)

// Mark returns a short digest of a start of a target. Boxes are sent marks in place of
// names, to tell which ends control has counted.
func Mark(start string) string {
	sum := sha256.Sum256([]byte(start))
	return base64.RawURLEncoding.EncodeToString(sum[:markLength])
}

// Unlisted holds the ends that a box has seen itself and that its copy of control's
// list may not count yet. Times are on the box's boot clock. It is not safe for
// concurrent use.
type Unlisted struct{ calls map[Content]*unlistedCall }

type unlistedCall struct {
	// ends are in the order in which they were seen.
	ends []unlistedEnd
	// until is when nothing follows from them any more.
	until time.Duration
}

type unlistedEnd struct {
	target string
	weight uint32
	at     time.Duration
	// report is the number of the report that told control, zero until control has
	// acknowledged it.
	report uint64
}

// Has tells whether any end of a call is held.
func (u *Unlisted) Has(c Content) bool { return u.calls[c] != nil }

// Add notes the end of a target under a call. listed is control's row of the call with
// its time on the boot clock, nil when there is none.
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
	call.ends = call.ends[max(0, len(call.ends)-maxTargets):]
	row := replay(c, listed, call.ends, now)
	call.until = time.Duration(row.GetDue()) * time.Millisecond
	if row.GetHeld() {
		// It stays suspected for as long again.
		call.until += holdTime(row.GetRounds())
	}
}

// insert adds a call without ends. When there are too many, the one with the fewest
// ends gives way, of these the one that is forgotten first.
func (u *Unlisted) insert(c Content) *unlistedCall {
	if u.calls == nil {
		u.calls = map[Content]*unlistedCall{}
	}
	if len(u.calls) >= maxUnlisted {
		delete(u.calls, u.least())
	}
	call := &unlistedCall{}
	u.calls[c] = call
	return call
}

func (u *Unlisted) least() Content {
	var least Content
	var found *unlistedCall
	for c, call := range u.calls {
		if found == nil || len(call.ends) < len(found.ends) || len(call.ends) == len(found.ends) && call.until < found.until {
			least, found = c, call
		}
	}
	return least
}

// Acknowledge notes that control has taken a report.
func (u *Unlisted) Acknowledge(r *statev1.ReportCalls) {
	for _, told := range r.GetEnded() {
		c, ok := ContentOf(told.GetContent())
		if !ok || u.calls[c] == nil {
			continue
		}
		for i := range u.calls[c].ends {
			if e := &u.calls[c].ends[i]; e.target == told.GetTarget() && e.report == 0 {
				e.report = r.GetNumber()
			}
		}
	}
}

// Unreported returns up to so many ends that control has not acknowledged.
func (u *Unlisted) Unreported(most int) (ends []*statev1.EndedUnder) {
	for c, call := range u.calls {
		for _, e := range call.ends {
			if len(ends) == most {
				return ends
			}
			if e.report == 0 {
				ends = append(ends, &statev1.EndedUnder{Content: c[:], Target: e.target, Weight: e.weight})
			}
		}
	}
	return ends
}

// Settle drops the ends that the list counts, and those that it counted until the call
// was released. Control lists no call for a single end, so such an end stays.
func (u *Unlisted) Settle(l *List, now time.Duration) {
	reports := l.Reports()
	for c, call := range u.calls {
		counted := func(e unlistedEnd) bool { return e.report != 0 && e.report <= reports }
		n := 0
		for _, e := range call.ends {
			if counted(e) {
				n++
			}
		}
		if n > 0 && (n >= listedTargets || l.Row(c) != nil) {
			call.ends = slices.DeleteFunc(call.ends, counted)
		}
		if len(call.ends) == 0 || call.until <= now {
			delete(u.calls, c)
		}
	}
}

// Forget drops all ends of a call.
func (u *Unlisted) Forget(c Content) { delete(u.calls, c) }

// Held tells for how long a call is held back by the listed ends and those of this box
// together, each start of a target counted once. listed is as in Add.
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

// replay returns the row that control would have after some further ends.
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

// OnClock returns a listed row with its time on another clock, given the difference
// of that clock to the time of day of control; nil for nil.
func OnClock(row *statev1.QuarantinedCall, difference time.Duration) *statev1.QuarantinedCall {
	if row == nil {
		return nil
	}
	moved := proto.Clone(row).(*statev1.QuarantinedCall)
	moved.Due += difference.Milliseconds()
	return moved
}
