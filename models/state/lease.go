// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// LeaseResult is the result of applying a LeaseSync. Allotted holds the holder's
// cumulative allotments in the order of the changes.
type LeaseResult struct {
	Allotted []uint64
}

// applyLeaseSync applies a holder's report and grants the requested tokens as far
// as they are unallotted.
func (r *Routing) applyLeaseSync(m *statev1.LeaseSync) LeaseResult {
	answer := LeaseResult{Allotted: make([]uint64, len(m.GetChanges()))}
	for i, c := range m.GetChanges() {
		b := r.Prepaid[c.GetOrganisation()]
		if b == nil {
			continue
		}
		b.applyLeaseChange(m.GetHolder(), c)
		b.grant(m.GetHolder(), c.GetGrant())
		row := b.AllotmentOf(m.GetHolder())
		answer.Allotted[i] = row.GetAllotted()
		if row != nil {
			b.replace(m.GetHolder()).Basis = max(c.GetBasis(), FreeAtReport(row))
		}
	}
	if m.GetLeaving() {
		delete(r.Holders, m.GetHolder())
		return answer
	}
	stamp := m.GetStamp()
	if stamp == nil {
		// A time before an earlier sample is also before this one.
		stamp = r.Holders[m.GetHolder()].GetStamp()
	}
	r.Holders[m.GetHolder()] = &statev1.LeaseHolder{Holder: m.GetHolder(), Box: m.GetBox(), Stamp: stamp}
	return answer
}

// FreeAtReport returns the number of allotted tokens that a holder had neither
// returned nor spent nor reserved at its last report.
func FreeAtReport(a *statev1.Allotment) uint64 {
	used := a.GetReturned() + a.GetSpent() + a.GetReserved()
	return a.GetAllotted() - min(a.GetAllotted(), used)
}

// applyLeaseChange applies a holder's reported counters. Values of returned and
// spent lower than the known ones come from an older report and are ignored.
func (b *Budget) applyLeaseChange(holder string, c *statev1.LeaseChange) {
	if b.AllotmentOf(holder) == nil {
		return
	}
	a := b.replace(holder)
	if c.GetReturned() > a.GetReturned() && c.GetReturned() <= a.GetAllotted() {
		b.held -= c.GetReturned() - a.GetReturned()
		a.Returned = c.GetReturned()
	}
	a.Spent = max(a.GetSpent(), c.GetSpent())
	a.Reserved = c.GetReserved()
}

// applyReclaim returns the tokens that a holder that has ended can't have used to
// the budgets, and removes the holder.
func (r *Routing) applyReclaim(m *statev1.ReclaimLease) {
	if r.Holders[m.GetHolder()] == nil {
		return
	}
	delete(r.Holders, m.GetHolder())
	for _, c := range m.GetChanges() {
		b := r.Prepaid[c.GetOrganisation()]
		if b == nil || b.AllotmentOf(m.GetHolder()) == nil {
			continue
		}
		a := b.replace(m.GetHolder())
		reclaimed := min(c.GetReturned(), FreeAtReport(a))
		a.Returned += reclaimed
		b.held -= reclaimed
	}
}

// Predecessors returns the lease holders of a box other than the given one: those
// of its earlier processes.
func (r *Routing) Predecessors(box, holder string) []*statev1.LeaseHolder {
	var list []*statev1.LeaseHolder
	for name, h := range r.Holders {
		if h.GetBox() == box && name != holder {
			list = append(list, h)
		}
	}
	return list
}
