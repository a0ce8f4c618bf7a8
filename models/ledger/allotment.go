// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// rateHalfLife is the half-life of the exponential decay of demand.
const rateHalfLife = 10 * time.Second

// decayingRate is an exponentially weighted rate of demand in tokens per second.
type decayingRate struct {
	perSecond float64
	updatedAt time.Duration
}

func (r *decayingRate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.perSecond *= math.Exp2(-float64(now-r.updatedAt) / float64(rateHalfLife))
		r.updatedAt = now
	}
}

func (r *decayingRate) add(tokens uint64, now time.Duration) {
	r.decay(now)
	r.perSecond += float64(tokens) * math.Ln2 / rateHalfLife.Seconds()
}

// SetAllotted raises a budget's allotment to a cumulative total from control. A lower
// total comes from an answer that was overtaken by a later one and changes
// nothing.
func (l *Ledger) SetAllotted(budget string, total uint64) []*statev1.LedgerRecord {
	b := l.Budget(budget)
	if total <= b.Row.GetAllotted() {
		return nil
	}
	b.Row = proto.CloneOf(b.Row)
	b.Row.Allotted = total
	// The next report acknowledges the tokens to control.
	l.dirtyBudgets[budget] = true
	return []*statev1.LedgerRecord{{Budget: b.Row}}
}

// Return returns free tokens of a budget to control, at most the given number.
// The record must be durable before it is reported to control.
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
	l.dirtyBudgets[budget] = true
	return []*statev1.LedgerRecord{{Budget: b.Row}}
}

// Report returns this ledger's counters of one budget and its demand in tokens
// per second.
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

// Reports returns the counters of budgets and groups that have changed since the
// last call, at most n of each.
func (l *Ledger) Reports(n int, boot time.Duration) ([]*statev1.BudgetReport, []*statev1.GroupUsage) {
	var reports []*statev1.BudgetReport
	for name := range l.dirtyBudgets {
		if len(reports) == n {
			break
		}
		report := l.Report(name, boot)
		reports = append(reports, report)
		// A budget with demand stays in the set, so that control sees the demand
		// decay.
		if report.GetRate() == 0 {
			delete(l.dirtyBudgets, name)
		}
	}
	var usages []*statev1.GroupUsage
	for group := range l.dirtyUsages {
		if len(usages) == n {
			break
		}
		delete(l.dirtyUsages, group)
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

// MarkBudgetDirty includes a budget in the next Reports.
func (l *Ledger) MarkBudgetDirty(budget string) { l.dirtyBudgets[budget] = true }

// MarkDirty includes rows in the next Reports again after sending them failed.
func (l *Ledger) MarkDirty(reports []*statev1.BudgetReport, usages []*statev1.GroupUsage) {
	for _, r := range reports {
		l.dirtyBudgets[r.GetBudget()] = true
	}
	for _, u := range usages {
		l.dirtyUsages[u.GetGroup()] = true
	}
}

// SetNeed sets the number of tokens that waiting requests lack of a budget, zero
// for none.
func (l *Ledger) SetNeed(budget string, need uint64) {
	b := l.Budget(budget)
	if b.Need == need {
		return
	}
	b.Need = need
	l.dirtyBudgets[budget] = true
}

// Waiting adds delta to the number of a group's waiting requests.
func (l *Ledger) Waiting(group string, delta int) {
	u := l.Usage(group)
	u.Waiting = uint64(int64(u.Waiting) + int64(delta))
	l.dirtyUsages[group] = true
}
