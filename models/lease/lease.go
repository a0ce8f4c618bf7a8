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
	// Unallotted is what no box had then.
	Unallotted uint64
	// Answered is when control answered last, Asked whether it ever did.
	Answered time.Duration
	Asked    bool
	// need is what waiting requests lack.
	need uint64
	// missed is what requests asked for in vain, cumulative: it is demand, too.
	missed uint64
	// drawn is what this box's requests drew at other boxes, cumulative.
	drawn uint64
	// rate is the smoothed demand in tokens a second.
	rate    float64
	counted uint64
	updated time.Duration
	limit   limiter
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

// InUse tells whether an organisation's lease has anything that control should
// hear of.
func (t *Table) InUse(organisation string) bool {
	l := t.Leases[organisation]
	return l != nil && (l.Allotted > 0 || l.need > 0)
}

// Holding tells whether there are tokens of an organisation here.
func (t *Table) Holding(organisation string) bool {
	l := t.Leases[organisation]
	return l != nil && l.Free() > 0
}

// Reserve sets tokens aside; false when there are too few, or when too many
// would be used without a report.
func (t *Table) Reserve(organisation string, tokens uint64, now time.Duration) bool {
	l := t.Of(organisation)
	if l.Free() < tokens || l.limit.at(now) < float64(tokens) {
		return false
	}
	l.Reserved += tokens
	l.limit.take(tokens)
	return true
}

// Announce sets tokens aside that may be used only once control has a sample
// with them; it returns false when there are too few.
func (t *Table) Announce(organisation string, tokens uint64) bool {
	l := t.Of(organisation)
	if l.Free() < tokens {
		return false
	}
	l.Reserved += tokens
	return true
}

// Withdraw ends an announcement of which nothing was used; what the limit
// allows without a report becomes a reservation, and true is returned.
func (t *Table) Withdraw(organisation string, tokens uint64, now time.Duration) bool {
	l := t.Of(organisation)
	if l.limit.at(now) >= float64(tokens) {
		l.limit.take(tokens)
		return true
	}
	l.Reserved -= min(tokens, l.Reserved)
	return false
}

// Sample freezes the counters of all leases for a report.
func (t *Table) Sample(now time.Duration) {
	for _, l := range t.Leases {
		l.limit.report(counters{returned: l.Returned, spent: l.Spent, reserved: l.Reserved}, now)
	}
}

// Settle ends a reservation with what was spent of it.
func (t *Table) Settle(organisation string, reserved, spent uint64) {
	l := t.Of(organisation)
	l.Reserved -= min(reserved, l.Reserved)
	l.Spent += min(spent, reserved)
}

// Missed notes that a request asked in vain.
func (t *Table) Missed(organisation string, tokens uint64) { t.Of(organisation).missed += tokens }

// Drawn notes that a request drew on another box's lease.
func (t *Table) Drawn(organisation string, tokens uint64) { t.Of(organisation).drawn += tokens }

// heavyRate is the demand, in tokens a second, from which on control should
// hear of an organisation that this box holds no lease of.
const heavyRate = 4000

// Heavy tells whether this box's requests draw much on an organisation's leases
// elsewhere.
func (t *Table) Heavy(organisation string, now time.Duration) bool {
	l := t.Leases[organisation]
	if l == nil || l.drawn == 0 {
		return false
	}
	l.measure(now)
	return l.rate >= heavyRate
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
	l.limit.acknowledge(l.Allotted)
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

// Report is what control is told of one lease: the counters of the last sample,
// and the demand.
type Report struct {
	Organisation              string
	Returned, Spent, Reserved uint64
	Basis                     uint64
	Rate, Need                uint64
}

// Report brings the demand up to date and returns a lease's report.
func (t *Table) Report(organisation string, now time.Duration) Report {
	l := t.Of(organisation)
	l.measure(now)
	sample := l.limit.sample
	return Report{
		Organisation: organisation,
		Returned:     sample.returned,
		Spent:        sample.spent,
		Reserved:     sample.reserved,
		Basis:        l.limit.basis,
		Rate:         uint64(l.rate),
		Need:         l.need,
	}
}

// measure smooths the demand: what is spent, here or elsewhere, and what
// requests asked for in vain.
func (l *Lease) measure(now time.Duration) {
	total := l.Spent + l.Reserved + l.missed + l.drawn
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
