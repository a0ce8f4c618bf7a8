// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package control implements the service of a control box: it commits operators'
// commands and the reports of keepers and entry boxes to the replicated log, and
// answers queries.
package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
)

// Machine guards the replicated state and notifies waiters of changes that are
// sent to followers. It implements raft.Machine.
type Machine struct {
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{state: state.New(), changed: make(chan struct{})}
}

// Apply implements raft.Machine.
func (m *Machine) Apply(data []byte) any {
	var e statev1.Entry
	if err := proto.Unmarshal(data, &e); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.revisions()
	answer := m.state.Apply(&e)
	if m.revisions() != before {
		m.notify()
	}
	return answer
}

// revisions are the version numbers of everything that is sent to followers.
type revisions struct{ revision, routing, targets, quarantine, evacuations uint64 }

func (m *Machine) revisions() revisions {
	return revisions{
		revision: m.state.Revision, routing: m.state.Routing.Version(), targets: m.state.Routing.TargetRevision,
		quarantine: m.state.Quarantine.Revision(), evacuations: m.state.Routing.Evacuations.Revision,
	}
}

func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Capture implements raft.Machine. Rows are replaced and never modified in place,
// so the returned function may encode them after later entries are applied.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Capture()
}

// Restore implements raft.Machine.
func (m *Machine) Restore(data []byte) error {
	s, err := state.Decode(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.notify()
	return nil
}

// Reset discards the state, before it is loaded from the disk again.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state.New()
}

// Read calls fn with the state, under the read lock. fn must not keep references to
// anything that later entries may modify.
func (m *Machine) Read(fn func(s *state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.state)
}

// Changed returns a channel that is closed at the next change of the
// configuration, the routing table, the targets, the evacuations or the quarantine list.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}
