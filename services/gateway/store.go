// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway keeps a box's copy of what forwarded calls depend on: the routing
// table, the registered targets and the leases of prepaid budgets. It gets them from
// any control box that it can reach.
package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/pack"
	"havenwinch.dev/havenwinch/services/control"
)

// Position is the state of a follower's copy: the version of its routing table, and
// the revisions of its targets, its quarantined calls and its evacuations.
type Position struct{ Version, Targets, Quarantine, Evacuations uint64 }

// Changes says which parts of a copy a message has changed.
type Changes struct{ Table, Targets, Quarantine, Evacuations bool }

// any reports whether the message has changed anything.
func (c Changes) any() bool { return c != Changes{} }

// Source provides the changes that are sent to followers.
type Source interface {
	// After returns the changes after a follower's position.
	After(has Position) *betweenv1.FollowResponse
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Confirmed returns how long ago the source was last in sync with the control
	// group.
	Confirmed() time.Duration
	// Now returns the source's boot clock.
	Now() time.Duration
}

// MachineSource is the Source of a control box: its replicated state.
type MachineSource struct {
	Machine *control.Machine
	Clock   clock.Clock
	// GroupSyncAge returns how long ago this box was last in sync with the control group.
	GroupSyncAge func() time.Duration
	// Members returns the addresses of the control group's members.
	Members func() []string

	history history
}

// After implements Source.
func (m *MachineSource) After(has Position) *betweenv1.FollowResponse {
	resp := &betweenv1.FollowResponse{Members: m.Members()}
	var table *statev1.RoutingTable
	m.Machine.Read(func(s *state.State) {
		resp.TargetRevision = s.Routing.TargetRevision
		if s.Routing.TargetRevision > has.Targets {
			changes := m.history.targetsAfter(s.Routing, has.Targets)
			resp.Targets, resp.AllTargets = changes.rows, changes.all
			resp.HasSoftwareEnds, resp.SoftwareEnds, resp.SoftwareEndsNow = true, s.Routing.SoftwareEnds.Rows(), m.Clock.Wall().UnixMilli()
		}
		resp.Quarantine, resp.QuarantineRevision = s.Quarantine.ListedSince(has.Quarantine)
		resp.QuarantineReports = s.Quarantine.Reports()
		resp.EvacuationRevision = s.Routing.Evacuations.Revision
		if resp.GetEvacuationRevision() != has.Evacuations {
			resp.Evacuations = s.Routing.Evacuations.Rows()
		}
		table = s.Routing.Table
	})
	if table.GetVersion() > has.Version {
		m.history.fill(resp, table, has.Version)
		return resp
	}
	m.history.add(table)
	return resp
}

// Changed implements Source.
func (m *MachineSource) Changed() <-chan struct{} { return m.Machine.Changed() }

// Confirmed implements Source.
func (m *MachineSource) Confirmed() time.Duration { return m.GroupSyncAge() }

// Now implements Source.
func (m *MachineSource) Now() time.Duration { return m.Clock.Boot() }

// Store is a box's copy. Its versions and revisions never decrease.
type Store struct {
	// Quarantine lists the quarantined calls that control has sent.
	Quarantine quarantine.List

	clock clock.Clock

	mu sync.Mutex
	// index has the routing table in force, nil before the first.
	index    *routing.Index
	targets  map[string]*statev1.RegisteredTarget
	revision uint64
	// evacuations has the evacuations of all data centres, as of evacuationRevision.
	evacuations        []*statev1.Evacuation
	evacuationRevision uint64
	changed            chan struct{}
	// softwareEnds has when a target of each version last ended, as boot times of this box; nil if
	// control has not told.
	softwareEnds []softwareEnd
	// confirmedAt is the boot time at which the copy was last in sync with the control
	// group, everConfirmed whether it ever was.
	confirmedAt   time.Duration
	everConfirmed bool
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	return &Store{clock: c, targets: map[string]*statev1.RegisteredTarget{}, changed: make(chan struct{})}
}

// Index returns the index of the routing table in force, nil before the first.
func (s *Store) Index() *routing.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Position returns the position to follow control from.
func (s *Store) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{Version: s.versionLocked(), Targets: s.revision, Quarantine: s.Quarantine.Revision(), Evacuations: s.evacuationRevision}
}

func (s *Store) versionLocked() uint64 {
	if s.index == nil {
		return 0
	}
	return s.index.Table.GetVersion()
}

// Target returns the row of a target, nil if it is unknown.
func (s *Store) Target(id string) *statev1.RegisteredTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

// Targets returns all rows in no particular order, and the targets' revision.
func (s *Store) Targets() ([]*statev1.RegisteredTarget, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]*statev1.RegisteredTarget, 0, len(s.targets))
	for _, t := range s.targets {
		rows = append(rows, t)
	}
	return rows, s.revision
}

// Evacuations returns the evacuations of all data centres, ended ones included, and their
// revision. The rows must not be modified.
func (s *Store) Evacuations() ([]*statev1.Evacuation, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations, s.evacuationRevision
}

// Changed implements Source.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed implements Source. Before the first message it returns the time since
// boot.
func (s *Store) Confirmed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.everConfirmed {
		return s.clock.Boot()
	}
	return s.clock.Boot() - s.confirmedAt
}

// Now implements Source.
func (s *Store) Now() time.Duration { return s.clock.Boot() }

// After implements Source.
func (s *Store) After(has Position) *betweenv1.FollowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &betweenv1.FollowResponse{TargetRevision: s.revision}
	resp.Quarantine, resp.QuarantineRevision = s.Quarantine.RowsSince(has.Quarantine)
	resp.QuarantineReports = s.Quarantine.Reports()
	if s.revision > has.Targets {
		resp.AllTargets = true
		for _, t := range s.targets {
			if t.GetState() != statev1.RegisteredTarget_STATE_GONE {
				resp.Targets = append(resp.Targets, t)
			}
		}
	}
	resp.EvacuationRevision = s.evacuationRevision
	if s.evacuationRevision != has.Evacuations {
		resp.Evacuations = s.evacuations
	}
	if s.versionLocked() > has.Version {
		resp.Routing = s.index.Table
	}
	return resp
}

// Apply applies a message that is made now, as ApplyMadeAt does.
func (s *Store) Apply(r *betweenv1.FollowResponse) (Changes, error) {
	return s.ApplyMadeAt(r, s.clock.Boot())
}

// ApplyMadeAt applies a message of a control box and reports what it changed. madeAt is the boot
// time of this box before which the message was not made. A message that can't be decoded, or
// whose delta has another base than the table in force, changes nothing and returns an error.
// Older versions are ignored.
func (s *Store) ApplyMadeAt(r *betweenv1.FollowResponse, madeAt time.Duration) (changes Changes, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := s.tableOf(r)
	if err != nil {
		return Changes{}, err
	}
	s.confirm(madeAt - time.Duration(r.GetConfirmed())*time.Millisecond)
	if t != nil && t.GetVersion() > s.versionLocked() {
		s.index = routing.NewIndex(t)
		changes.Table = true
	}
	if r.GetTargetRevision() > s.revision {
		s.applyTargets(r)
		changes.Targets = true
	}
	if r.GetEvacuationRevision() > s.evacuationRevision {
		s.evacuations, s.evacuationRevision = r.GetEvacuations(), r.GetEvacuationRevision()
		changes.Evacuations = true
	}
	changes.Quarantine = s.Quarantine.Update(r.GetQuarantine(), r.GetQuarantineRevision(), r.GetQuarantineReports())
	if changes.any() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return changes, nil
}

// confirm records up to when the copy is complete. What was proved before stays true. The caller holds
// s.mu.
func (s *Store) confirm(at time.Duration) {
	if !s.everConfirmed || at > s.confirmedAt {
		s.confirmedAt = at
	}
	s.everConfirmed = true
}

// tableOf returns the routing table that a message brings, nil if there is none.
func (s *Store) tableOf(r *betweenv1.FollowResponse) (*statev1.RoutingTable, error) {
	switch {
	case r.GetDelta() != nil && r.GetDelta().GetChanged().GetVersion() > s.versionLocked():
		if s.index == nil {
			return nil, errors.WithStack(routing.ErrBaseMismatch{Base: r.GetDelta().GetBase()})
		}
		return routing.Patch(s.index.Table, r.GetDelta())
	case len(r.GetPackedRouting()) > 0:
		t := &statev1.RoutingTable{}
		return t, pack.Unpack(r.GetPackedRouting(), t)
	default:
		return r.GetRouting(), nil
	}
}

func (s *Store) applyTargets(r *betweenv1.FollowResponse) {
	if r.GetAllTargets() {
		s.targets = map[string]*statev1.RegisteredTarget{}
	}
	for _, t := range r.GetTargets() {
		if t.GetState() == statev1.RegisteredTarget_STATE_GONE {
			delete(s.targets, t.GetId())
			continue
		}
		s.targets[t.GetId()] = t
	}
	s.revision = r.GetTargetRevision()
	s.softwareEnds = nil
	if r.GetHasSoftwareEnds() {
		s.softwareEnds = s.endsOf(r)
	}
}

// unique returns the addresses without empty ones and duplicates, in order of their
// first occurrence.
func unique(addresses []string) []string {
	var list []string
	for _, a := range addresses {
		if a != "" && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}
