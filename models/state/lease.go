// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// LeaseAnswer is the answer to a LeaseSync: the cumulative grants in the order
// of the changes.
type LeaseAnswer struct {
	Allotted []uint64
}

// lease takes a holder's report in and grants what is asked for as far as it
// is there.
func (r *Routing) lease(m *statev1.LeaseSync) LeaseAnswer {
	answer := LeaseAnswer{Allotted: make([]uint64, len(m.GetChanges()))}
	for i, c := range m.GetChanges() {
		b := r.Prepaid[c.GetOrganisation()]
		if b == nil {
			continue
		}
		b.giveBack(m.GetHolder(), c)
		b.grant(m.GetHolder(), c.GetGrant())
		row := b.Of(m.GetHolder())
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
		// The moment before an earlier sample lies before this one, too.
		stamp = r.Holders[m.GetHolder()].GetStamp()
	}
	r.Holders[m.GetHolder()] = &statev1.LeaseHolder{Holder: m.GetHolder(), Box: m.GetBox(), Stamp: stamp}
	return answer
}

// FreeAtReport is what a holder had neither returned nor spent nor reserved at
// its last report.
func FreeAtReport(a *statev1.Allotment) uint64 {
	used := a.GetReturned() + a.GetSpent() + a.GetReserved()
	return a.GetAllotted() - min(a.GetAllotted(), used)
}

// giveBack takes a holder's cumulative counters in; older ones change nothing.
func (b *Budget) giveBack(holder string, c *statev1.LeaseChange) {
	if b.Of(holder) == nil {
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

// reclaim takes back what a holder that has ended can't have used, and forgets
// the holder.
func (r *Routing) reclaim(m *statev1.ReclaimLease) {
	if r.Holders[m.GetHolder()] == nil {
		return
	}
	delete(r.Holders, m.GetHolder())
	for _, c := range m.GetChanges() {
		b := r.Prepaid[c.GetOrganisation()]
		if b == nil || b.Of(m.GetHolder()) == nil {
			continue
		}
		a := b.replace(m.GetHolder())
		back := min(c.GetReturned(), FreeAtReport(a))
		a.Returned += back
		b.held -= back
	}
}

// Predecessors returns the holders of a box other than the one named.
func (r *Routing) Predecessors(box, holder string) []*statev1.LeaseHolder {
	var list []*statev1.LeaseHolder
	for name, h := range r.Holders {
		if h.GetBox() == box && name != holder {
			list = append(list, h)
		}
	}
	return list
}
