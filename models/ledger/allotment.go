// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// rateHalfLife is the time in which old demand loses half its weight.
const rateHalfLife = 10 * time.Second

// rate is an exponentially weighted demand in tokens a second.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.perSecond *= math.Exp2(-float64(now-r.at) / float64(rateHalfLife))
		r.at = now
	}
}

func (r *rate) add(tokens uint64, now time.Duration) {
	r.decay(now)
	r.perSecond += float64(tokens) * math.Ln2 / rateHalfLife.Seconds()
}

// Allot raises a row to a total that control has named. Lower totals, from
// answers that were overtaken, change nothing.
func (l *Ledger) Allot(budget string, total uint64) []*statev1.LedgerRecord {
	b := l.Budget(budget)
	if total <= b.Row.GetAllotted() {
		return nil
	}
	b.Row = proto.CloneOf(b.Row)
	b.Row.Allotted = total
	// The next report tells control that the tokens have arrived.
	l.dirty[budget] = true
	return []*statev1.LedgerRecord{{Budget: b.Row}}
}

// Return gives at most the named tokens of what is free back. The record must
// last before control is told.
func (l *Ledger) Return(budget string, tokens uint64) []*statev1.LedgerRecord {
	b := l.Budgets[budget]
	if b == nil {
		return nil
	}
	tokens = min(tokens, b.Free())
	if tokens == 0 {
		return nil
	}
	b.Row = proto.CloneOf(b.Row)
	b.Row.Returned += tokens
	l.dirty[budget] = true
	return []*statev1.LedgerRecord{{Budget: b.Row}}
}

// Report returns this ledger's counters of one budget.
func (l *Ledger) Report(budget string, boot time.Duration) *statev1.BudgetReport {
	b := l.Budget(budget)
	b.rate.decay(boot)
	return &statev1.BudgetReport{
		Budget:   budget,
		Returned: b.Row.GetReturned(),
		Spent:    b.Row.GetSpent(),
		Reserved: b.Reserved,
		Rate:     uint64(b.rate.perSecond),
		Need:     b.Need,
	}
}

// Reports returns the counters of what has changed since the last call, at
// most n budgets and n groups.
func (l *Ledger) Reports(n int, boot time.Duration) ([]*statev1.BudgetReport, []*statev1.GroupUsage) {
	var reports []*statev1.BudgetReport
	for name := range l.dirty {
		if len(reports) == n {
			break
		}
		report := l.Report(name, boot)
		reports = append(reports, report)
		// A budget in demand stays due, so that control sees demand fade.
		if report.GetRate() == 0 {
			delete(l.dirty, name)
		}
	}
	var usages []*statev1.GroupUsage
	for group := range l.dirtyUse {
		if len(usages) == n {
			break
		}
		delete(l.dirtyUse, group)
		usages = append(usages, l.usageReport(group))
	}
	return reports, usages
}

func (l *Ledger) usageReport(group string) *statev1.GroupUsage {
	u := l.Usage(group)
	return &statev1.GroupUsage{
		Group:      group,
		Spent:      u.Row.GetSpent(),
		Reserved:   u.Reserved,
		Waiting:    u.Waiting,
		Requests:   u.Row.GetRequests(),
		WrittenOff: u.Row.GetWrittenOff(),
	}
}

// Touch makes a budget part of the next Reports.
func (l *Ledger) Touch(budget string) { l.dirty[budget] = true }

// MarkDirty makes rows part of the next Reports, after one that failed.
func (l *Ledger) MarkDirty(reports []*statev1.BudgetReport, usages []*statev1.GroupUsage) {
	for _, r := range reports {
		l.dirty[r.GetBudget()] = true
	}
	for _, u := range usages {
		l.dirtyUse[u.GetGroup()] = true
	}
}

// Want notes that a waiting request lacks tokens, or no longer does.
func (l *Ledger) Want(budget string, need uint64) {
	b := l.Budget(budget)
	if b.Need == need {
		return
	}
	b.Need = need
	l.dirty[budget] = true
}

// Waiting changes the count of a group's waiting requests.
func (l *Ledger) Waiting(group string, delta int) {
	u := l.Usage(group)
	u.Waiting = uint64(int64(u.Waiting) + int64(delta))
	l.dirtyUse[group] = true
}
