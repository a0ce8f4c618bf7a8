// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease is an entry box's part of the prepaid budgets: what it was
// allotted, what requests have reserved of it, and what they spent. A request
// reserves the most that it can cost before it runs. All amounts are in tokens
// and all counters that leave the box only rise, so that reports may be lost,
// repeated and reordered.
package lease

import (
	"math"
	"time"
)

// Lease is the part of one organisation.
type Lease struct {
	// Allotted, Returned and Spent are cumulative.
	Allotted uint64
	Returned uint64
	Spent    uint64
	// Reserved is what running requests may still cost.
	Reserved uint64
	// Left is what of the whole budget was neither spent nor reserved when
	// control answered last.
	Left uint64
	// Answered is when control answered last, Asked whether it ever did.
	Answered time.Duration
	Asked    bool
	// need is what waiting requests lack.
	need uint64
	// rate is the smoothed demand in tokens a second.
	rate    float64
	counted uint64
	updated time.Duration
}

// rateWindow is the time over which demand is smoothed.
const rateWindow = 4 * time.Second

// Free is what a new request may reserve.
func (l *Lease) Free() uint64 {
	used := l.Returned + l.Spent + l.Reserved
	if used >= l.Allotted {
		return 0
	}
	return l.Allotted - used
}

// Table holds the leases of one box by organisation. It is not safe for
// concurrent use.
type Table struct {
	Leases map[string]*Lease
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Leases: map[string]*Lease{}} }

// Of returns an organisation's lease and makes it when missing.
func (t *Table) Of(organisation string) *Lease {
	l := t.Leases[organisation]
	if l == nil {
		l = &Lease{}
		t.Leases[organisation] = l
	}
	return l
}

// Reserve sets tokens aside; false when there are too few.
func (t *Table) Reserve(organisation string, tokens uint64) bool {
	l := t.Of(organisation)
	if l.Free() < tokens {
		return false
	}
	l.Reserved += tokens
	return true
}

// Settle ends a reservation with what was spent of it.
func (t *Table) Settle(organisation string, reserved, spent uint64) {
	l := t.Of(organisation)
	l.Reserved -= min(reserved, l.Reserved)
	l.Spent += min(spent, reserved)
}

// Need adds to what waiting requests lack; a negative amount takes it back.
func (t *Table) Need(organisation string, tokens int64) {
	l := t.Of(organisation)
	l.need = uint64(max(0, int64(l.need)+tokens))
}

// Granted takes control's answer in. Allotted only rises; keep is what the box
// should have at most, the rest is returned.
func (t *Table) Granted(organisation string, allotted, keep, left uint64, now time.Duration) {
	l := t.Of(organisation)
	l.Allotted = max(l.Allotted, allotted)
	l.Left, l.Answered, l.Asked = left, now, true
	available := l.Allotted - min(l.Allotted, l.Returned+l.Spent)
	if l.need == 0 && available > keep {
		l.Returned += min(available-keep, l.Free())
	}
}

// ReturnAll gives back whatever no request has reserved.
func (t *Table) ReturnAll() {
	for _, l := range t.Leases {
		l.Returned += l.Free()
	}
}

// Report is what control is told of one lease.
type Report struct {
	Organisation         string
	Returned, Spent      uint64
	Reserved, Rate, Need uint64
	Available            uint64
}

// Report brings the demand up to date and returns a lease's report.
func (t *Table) Report(organisation string, now time.Duration) Report {
	l := t.Of(organisation)
	l.measure(now)
	return Report{
		Organisation: organisation,
		Returned:     l.Returned,
		Spent:        l.Spent,
		Reserved:     l.Reserved,
		Rate:         uint64(l.rate),
		Need:         l.need,
		Available:    l.Allotted - min(l.Allotted, l.Returned+l.Spent),
	}
}

// measure smooths the demand: what is spent and what requests lack.
func (l *Lease) measure(now time.Duration) {
	total := l.Spent + l.Reserved
	elapsed := (now - l.updated).Seconds()
	if l.updated == 0 || elapsed <= 0 {
		l.updated, l.counted = now, total
		return
	}
	grown := float64(total) - float64(l.counted)
	weight := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	l.rate = max(0, l.rate+weight*(grown/elapsed-l.rate))
	l.updated, l.counted = now, total
}

// Exhausted tells whether the whole budget can't hold a request any more, as
// far as control's last answer tells.
func (t *Table) Exhausted(organisation string, tokens uint64) bool {
	l := t.Of(organisation)
	return l.Asked && l.Left < tokens && l.Free() < tokens
}
