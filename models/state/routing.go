// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"slices"
	"strings"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/modules/pack"
)

// maxGoneTargets is the number of rows of ended targets that are kept, so that
// followers can catch up by changes.
const maxGoneTargets = 512

// unleasedDivisor is the divisor of a prepaid amount for the part that is not
// leased out. It covers tokens that targets generate without anyone counting
// them, which happens when an answer is lost in transit.
const unleasedDivisor = 128

// Routing is the part of the state for calls that are proxied to targets: the
// routing table, the registered targets, the evacuated data centres, and the prepaid
// budgets leased to entry boxes.
type Routing struct {
	// Table is the current routing table, or nil before the first.
	Table *statev1.RoutingTable
	// Targets holds the registered targets by id, including up to maxGoneTargets
	// ended ones.
	Targets map[string]*statev1.RegisteredTarget
	// TargetRevision increases with every change of a target's row.
	TargetRevision uint64
	// OldestRevision is the revision after which all changes are still held.
	OldestRevision uint64
	// Evacuations holds the evacuated data centres.
	Evacuations Evacuations
	// SoftwareEnds holds when a target of each version last ended.
	SoftwareEnds *software.Ends
	// Prepaid holds the prepaid budgets by organisation.
	Prepaid map[string]*Budget
	// Holders holds the processes with leases by name.
	Holders map[string]*statev1.LeaseHolder

	// idByAddress maps an address to the id of the last target there, ended or not.
	idByAddress map[string]string
	// goneIDs holds the ids of ended targets, in the order in which they ended.
	goneIDs []string
	// rivals holds starts of targets that call although they seem to be earlier
	// than the known ones, the oldest first.
	rivals []*statev1.RivalTarget
}

func newRouting() *Routing {
	return &Routing{
		Targets:     map[string]*statev1.RegisteredTarget{},
		Prepaid:     map[string]*Budget{},
		Holders:     map[string]*statev1.LeaseHolder{},
		idByAddress: map[string]string{},
		// Snapshots of earlier versions have no ends.
		SoftwareEnds: software.NewEnds(nil),
	}
}

// Version returns the version of the current routing table, zero before the first.
func (r *Routing) Version() uint64 { return r.Table.GetVersion() }

// applyRouting applies a routing table, which may be packed. It returns an error
// if unpacking fails, else nil.
func (r *Routing) applyRouting(m *statev1.PutRouting) any {
	t := m.GetTable()
	if len(m.GetPacked()) > 0 {
		t = &statev1.RoutingTable{}
		if err := pack.Unpack(m.GetPacked(), t); err != nil {
			return err
		}
	}
	r.putTable(t)
	return nil
}

// putTable replaces the routing table by one with a higher version, and updates
// the grants of the prepaid budgets. Other versions are ignored.
func (r *Routing) putTable(t *statev1.RoutingTable) {
	if t.GetVersion() <= r.Version() {
		return
	}
	r.Table = t
	for _, p := range t.GetPayers() {
		if !p.GetLimited() {
			continue
		}
		b := r.Prepaid[p.GetOrganisation()]
		if b == nil {
			b = newBudget(p.GetOrganisation(), 0)
			r.Prepaid[p.GetOrganisation()] = b
		}
		b.Granted = p.GetPrepaid() - p.GetPrepaid()/unleasedDivisor
	}
}

// storeTarget stores the row of a target that changed at the given time of day.
func (r *Routing) storeTarget(t *statev1.RegisteredTarget, at int64) {
	r.TargetRevision++
	t.Revision = r.TargetRevision
	if old := r.Targets[t.GetId()]; old != nil && endsSoftware(old, t) {
		r.SoftwareEnds.Record(old, at)
	}
	if r.Targets[t.GetId()].GetState() == statev1.RegisteredTarget_STATE_GONE {
		i := slices.Index(r.goneIDs, t.GetId())
		r.goneIDs = slices.Delete(r.goneIDs, i, i+1)
	}
	r.Targets[t.GetId()] = t
	if t.GetState() != statev1.RegisteredTarget_STATE_GONE {
		return
	}
	r.goneIDs = append(r.goneIDs, t.GetId())
	if len(r.goneIDs) > maxGoneTargets {
		r.removeOldestGone()
	}
}

// endsSoftware reports whether a target runs its software no more after its row has changed.
func endsSoftware(old, t *statev1.RegisteredTarget) bool {
	return t.GetState() == statev1.RegisteredTarget_STATE_GONE || software.Of(old) != software.Of(t) || old.GetService() != t.GetService()
}

// removeOldestGone removes the row of the target that ended first.
func (r *Routing) removeOldestGone() {
	oldest := r.Targets[r.goneIDs[0]]
	r.OldestRevision = oldest.GetRevision()
	if r.idByAddress[oldest.GetAddress()] == oldest.GetId() {
		delete(r.idByAddress, oldest.GetAddress())
	}
	delete(r.Targets, oldest.GetId())
	r.goneIDs = slices.Delete(r.goneIDs, 0, 1)
}

// TargetsAfter returns the rows that changed after a revision, in the order of
// their changes. If some of those changes are no longer held, it returns all
// targets that have not ended, and all is true.
func (r *Routing) TargetsAfter(revision uint64) (rows []*statev1.RegisteredTarget, all bool) {
	all = revision < r.OldestRevision || revision > r.TargetRevision
	for _, t := range r.Targets {
		ended := t.GetState() == statev1.RegisteredTarget_STATE_GONE
		if all && !ended || !all && t.GetRevision() > revision {
			rows = append(rows, t)
		}
	}
	slices.SortFunc(rows, compareRevisions)
	return rows, all
}

func compareRevisions(a, b *statev1.RegisteredTarget) int {
	if a.GetRevision() != b.GetRevision() {
		if a.GetRevision() < b.GetRevision() {
			return -1
		}
		return 1
	}
	return strings.Compare(a.GetId(), b.GetId())
}

func (r *Routing) snapshot(s *statev1.Snapshot) {
	s.Routing = r.Table
	s.TargetRevision = r.TargetRevision
	s.Registered = make([]*statev1.RegisteredTarget, 0, len(r.Targets))
	for _, t := range r.Targets {
		s.Registered = append(s.Registered, t)
	}
	slices.SortFunc(s.Registered, compareRevisions)
	r.Evacuations.snapshot(s)
	s.SoftwareEnds = r.SoftwareEnds.Rows()
	s.Rivals = slices.Clone(r.rivals)
	s.Holders = SortedByKey(r.Holders)
	s.Prepaid = nil
	for _, b := range SortedByKey(r.Prepaid) {
		s.Prepaid = append(s.Prepaid, b.row())
	}
}

func routingFromSnapshot(s *statev1.Snapshot) *Routing {
	r := newRouting()
	r.Table = s.GetRouting()
	r.TargetRevision = s.GetTargetRevision()
	r.OldestRevision = s.GetTargetRevision()
	r.rivals = s.GetRivals()
	r.Evacuations = evacuationsFromSnapshot(s)
	r.SoftwareEnds = software.NewEnds(s.GetSoftwareEnds())
	for _, t := range s.GetRegistered() {
		r.Targets[t.GetId()] = t
		if t.GetState() == statev1.RegisteredTarget_STATE_GONE {
			r.goneIDs = append(r.goneIDs, t.GetId())
		}
		// Rows are in the order of their changes, and a target that takes over an
		// address changes after the one that had it before.
		r.idByAddress[t.GetAddress()] = t.GetId()
	}
	for _, h := range s.GetHolders() {
		r.Holders[h.GetHolder()] = h
	}
	for _, row := range s.GetPrepaid() {
		r.Prepaid[row.GetName()] = budgetFromRow(row)
	}
	return r
}
