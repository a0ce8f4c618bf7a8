// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease tracks an entry box's share of the prepaid budgets: the tokens
// allotted to it, reserved by running requests and spent. A request reserves
// its maximum cost before it runs. All amounts are in tokens. Returned and spent
// tokens are reported as cumulative counters that never decrease, so that
// reports may be lost, repeated or reordered.
package lease

import (
	"math"
	"time"
)

// Lease is the box's share of one organisation's budget.
type Lease struct {
	// Allotted, Returned and Spent are cumulative counters.
	Allotted uint64
	Returned uint64
	Spent    uint64
	// Reserved is the maximum that running requests may still cost.
	Reserved uint64
	// Left is the part of the organisation's whole budget that was neither spent
	// nor reserved at control's last answer.
	Left uint64
	// Unallotted is the part that was not allotted to any box at that time.
	Unallotted uint64
	// AnsweredAt is the time of control's last answer. HasAnswer is set once there
	// was one.
	AnsweredAt time.Duration
	HasAnswer  bool
	// need is the number of tokens that waiting requests lack.
	need uint64
	// refused counts the tokens of rejected requests, cumulatively. They are part
	// of the demand.
	refused uint64
	// drawn counts the tokens that requests on this box drew from leases of
	// other boxes, cumulatively.
	drawn uint64
	// rate is the smoothed demand in tokens per second. lastTotal and lastUpdate
	// are the total demand and the time at its last update.
	rate       float64
	lastTotal  uint64
	lastUpdate time.Duration
	// sampledTotal is the total demand at the last sample.
	sampledTotal uint64
	limit        limiter
	// waiting are the requests that wait for the limit, in the order of their arrival.
	waiting []*Waiter
	// acknowledged is the number of the last sample that control has acknowledged.
	acknowledged uint64
}

// rateWindow is the time constant of the exponential smoothing of demand.
const rateWindow = 4 * time.Second

// Free returns the number of allotted tokens that are neither returned, spent
// nor reserved.
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
	// ReportTime is how long the last report to control took.
	ReportTime time.Duration
	// sampledAt is the time of the last sample.
	sampledAt time.Duration
	// samples is the number of samples.
	samples uint64
	// waiting has the leases with requests that wait for the limit on unreported use.
	waiting map[string]*Lease
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Leases: map[string]*Lease{}, waiting: map[string]*Lease{}} }

// Of returns an organisation's lease and creates it if there is none.
func (t *Table) Of(organisation string) *Lease {
	l := t.Leases[organisation]
	if l == nil {
		l = &Lease{}
		// All counters were zero at the last sample.
		l.limit.sampledAt = t.sampledAt
		t.Leases[organisation] = l
	}
	return l
}

// ShouldReport reports whether an organisation's lease has to be reported to control:
// tokens were allotted to it, or requests are waiting for some.
func (t *Table) ShouldReport(organisation string) bool {
	l := t.Leases[organisation]
	return l != nil && (l.Allotted > 0 || l.need > 0)
}

// HasFree reports whether an organisation's lease has free tokens on this box.
func (t *Table) HasFree(organisation string) bool {
	l := t.Leases[organisation]
	return l != nil && l.Free() > 0
}

// Reserve reserves tokens. It returns false when the lease has too few free
// tokens, when the use since the last report would exceed its limit, or when other requests
// wait for that limit.
func (t *Table) Reserve(organisation string, tokens uint64, now time.Duration) bool {
	l := t.Of(organisation)
	if l.Free() < tokens || l.limit.available(now) < float64(tokens) || l.tokensAhead(now) > 0 {
		return false
	}
	l.Reserved += tokens
	l.limit.take(tokens)
	return true
}

// ReservePending reserves tokens regardless of the limit on unreported use. They must
// not be used until control has acknowledged a sample that includes them. It
// returns false when the lease has too few free tokens.
func (t *Table) ReservePending(organisation string, tokens uint64) bool {
	l := t.Of(organisation)
	if l.Free() < tokens {
		return false
	}
	l.Reserved += tokens
	return true
}

// CancelPending ends a pending reservation whose tokens were not used. If the limit
// on unreported use allows them and no other request waits for it, it becomes an ordinary reservation and CancelPending
// returns true; otherwise the tokens are released.
func (t *Table) CancelPending(organisation string, tokens uint64, now time.Duration) bool {
	l := t.Of(organisation)
	if l.limit.available(now) >= float64(tokens) && l.tokensAhead(now) == 0 {
		l.limit.take(tokens)
		return true
	}
	l.Reserved -= min(tokens, l.Reserved)
	return false
}

// Sample copies the counters of all leases for the next report.
func (t *Table) Sample(now time.Duration) {
	t.sampledAt = now
	t.samples++
	for _, l := range t.Leases {
		l.updateRate(now)
		rate := max(l.rate, l.demandSinceSample(now))
		c := counters{returned: l.Returned, spent: l.Spent, reserved: l.Reserved}
		l.limit.startSample(c, advance(l.Free(), rate, t.ReportTime), now)
	}
}

// Settle ends a reservation and counts what was spent of it, at most the
// reserved amount.
func (t *Table) Settle(organisation string, reserved, spent uint64) {
	l := t.Of(organisation)
	l.Reserved -= min(reserved, l.Reserved)
	l.Spent += min(spent, reserved)
}

// AddRefused adds the tokens of a refused request to the demand.
func (t *Table) AddRefused(organisation string, tokens uint64) { t.Of(organisation).refused += tokens }

// AddDrawn adds tokens that a request drew from another box's lease to the demand.
func (t *Table) AddDrawn(organisation string, tokens uint64) { t.Of(organisation).drawn += tokens }

// highDrawRate is the demand, in tokens per second, from which on a box reports an
// organisation to control although it holds no lease of it.
const highDrawRate = 4000

// HasHighDrawRate reports whether requests on this box draw on an organisation's leases on
// other boxes and its demand has reached highDrawRate.
func (t *Table) HasHighDrawRate(organisation string, now time.Duration) bool {
	l := t.Leases[organisation]
	if l == nil || l.drawn == 0 {
		return false
	}
	l.updateRate(now)
	return l.rate >= highDrawRate
}

// AddNeed adds to the tokens that waiting requests lack. A negative amount reduces
// them, at most to zero.
func (t *Table) AddNeed(organisation string, tokens int64) {
	l := t.Of(organisation)
	l.need = uint64(max(0, int64(l.need)+tokens))
}

// ApplyGrant applies control's answer to a report. Allotted never decreases. keep
// is the maximum that the box should have unspent; free tokens beyond it are
// returned unless requests are waiting.
func (t *Table) ApplyGrant(organisation string, allotted, keep, left uint64, now time.Duration) {
	l := t.Of(organisation)
	l.Allotted = max(l.Allotted, allotted)
	l.limit.acknowledge(l.Allotted)
	l.acknowledged = t.samples
	l.Left, l.AnsweredAt, l.HasAnswer = left, now, true
	available := l.Allotted - min(l.Allotted, l.Returned+l.Spent)
	if l.need == 0 && available > keep {
		l.Returned += min(available-keep, l.Free())
	}
}

// ReturnAll returns the free tokens of all leases.
func (t *Table) ReturnAll() {
	for _, l := range t.Leases {
		l.Returned += l.Free()
	}
}

// Report is one lease's part of a report to control: the counters of the last
// sample and the current demand. Rate is in tokens per second; Basis is the
// number of tokens that the limit on unreported use is computed from. Reserved includes
// Advance, the tokens that no request has reserved yet.
type Report struct {
	Organisation              string
	Returned, Spent, Reserved uint64
	Basis                     uint64
	Rate, Need                uint64
	Advance                   uint64
}

// Report updates the smoothed demand and returns the report of a lease.
func (t *Table) Report(organisation string, now time.Duration) Report {
	l := t.Of(organisation)
	l.updateRate(now)
	sample := l.limit.sample
	return Report{
		Organisation: organisation,
		Returned:     sample.returned,
		Spent:        sample.spent,
		Reserved:     sample.reserved,
		Basis:        l.limit.basis,
		Rate:         uint64(l.rate),
		Need:         l.need,
		Advance:      l.limit.advance,
	}
}

// totalDemand is the sum of tokens spent or reserved on this box, drawn from other boxes,
// and of refused requests.
func (l *Lease) totalDemand() uint64 { return l.Spent + l.Reserved + l.refused + l.drawn }

// demandSinceSample returns the demand since the last sample, in tokens per second, and starts
// anew. It follows a burst that the smoothed rate does not show yet. Samples that follow each
// other closely count as minAdvanceTime apart, so that one large request is no burst.
func (l *Lease) demandSinceSample(now time.Duration) float64 {
	total := l.totalDemand()
	increase := float64(total) - float64(l.sampledTotal)
	l.sampledTotal = total
	return max(0, increase/max(now-l.limit.sampledAt, minAdvanceTime).Seconds())
}

// updateRate updates the smoothed demand.
func (l *Lease) updateRate(now time.Duration) {
	total := l.totalDemand()
	elapsed := (now - l.lastUpdate).Seconds()
	if l.lastUpdate == 0 || elapsed <= 0 {
		l.lastUpdate, l.lastTotal = now, total
		return
	}
	increase := float64(total) - float64(l.lastTotal)
	weight := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	l.rate = max(0, l.rate+weight*(increase/elapsed-l.rate))
	l.lastUpdate, l.lastTotal = now, total
}

// IsExhausted reports whether neither this lease nor, by control's last answer,
// the rest of the organisation's budget can cover a request. It is false before
// the first answer.
func (t *Table) IsExhausted(organisation string, tokens uint64) bool {
	l := t.Of(organisation)
	return l.HasAnswer && l.Left < tokens && l.Free() < tokens
}
