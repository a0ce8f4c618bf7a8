// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configuration brings every accepted change to every box: control
// boxes to relays, relays to the boxes of their data centre. A box's copy only
// ever moves to higher revisions.
package configuration

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
)

// fileName is where a box with a disk keeps its copy.
const fileName = "configuration"

// Store is a box's copy of the configuration.
type Store struct {
	// Quarantine are the calls that control has listed; it is not kept on the disk.
	Quarantine quarantine.List

	clock clock.Clock
	disk  disk.Disk

	mu        sync.RWMutex
	state     *state.State
	confirmed time.Duration
	known     bool
	changed   chan struct{}
	keepers   []*statev1.KeeperMember
}

// NewStore returns a copy, filled from the disk when there is one.
func NewStore(c clock.Clock, d disk.Disk) (*Store, error) {
	s := &Store{clock: c, disk: d, state: state.New(), changed: make(chan struct{})}
	if d == nil {
		return s, nil
	}
	data, err := d.ReadFile(fileName)
	if disk.IsNotExist(err) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	var stored statev1.Configuration
	if err := proto.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "the stored configuration can't be read: remove the file configuration from the data folder")
	}
	s.state.LoadConfiguration(&stored)
	s.derive()
	return s, nil
}

// Read lets a function look at the configuration; rows never change once they
// stand in it, so they may be kept.
func (s *Store) Read(look func(st *state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	look(s.state)
}

// Revision returns the revision in force.
func (s *Store) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Revision
}

// Position returns how far the copy is.
func (s *Store) Position() Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Position{Revision: s.state.Revision, Quarantine: s.Quarantine.Revision()}
}

// Value returns a rolled-out value.
func (s *Store) Value(name string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return int(s.state.Value(name))
}

// Keepers returns the rows of all keepers in the order of their names.
func (s *Store) Keepers() []*statev1.KeeperMember {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keepers
}

// Drained tells whether operators have drained a box or a target.
func (s *Store) Drained(kind statev1.Drain_Kind, name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Drains[state.DrainKey(kind, name)] != nil
}

// ConfirmedAgo returns how long ago a control box last confirmed the revision,
// and false when none has since the box started.
func (s *Store) ConfirmedAgo() (time.Duration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clock.Boot() - s.confirmed, s.known
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Since returns what a watcher at a revision lacks.
func (s *Store) Since(has Position) *betweenv1.WatchResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	resp := since(s.state, has.Revision)
	resp.Quarantine, resp.QuarantineRevision = s.Quarantine.After(has.Quarantine)
	resp.QuarantineReports = s.Quarantine.Reports()
	resp.ConfirmedAgo = (s.clock.Boot() - s.confirmed).Milliseconds()
	if !s.known {
		resp.ConfirmedAgo = unconfirmed.Milliseconds()
	}
	return resp
}

// unconfirmed stands for an age that is not known.
const unconfirmed = 365 * 24 * time.Hour

func since(st *state.State, revision uint64) *betweenv1.WatchResponse {
	resp := &betweenv1.WatchResponse{Revision: st.Revision}
	changes, ok := st.ChangesAfter(revision)
	if !ok {
		resp.Whole = st.Configuration()
		return resp
	}
	resp.Changes = append(resp.Changes, changes...)
	return resp
}

// Take takes a message of the feed in. It returns false when the sender is
// behind this copy, which is then left as it is.
func (s *Store) Take(r *betweenv1.WatchResponse) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetRevision() < s.state.Revision {
		return false, nil
	}
	before := s.state.Revision
	if r.GetWhole() != nil && r.GetWhole().GetRevision() > s.state.Revision {
		s.state.LoadConfiguration(r.GetWhole())
	}
	for _, c := range r.GetChanges() {
		if c.GetRevision() != s.state.Revision+1 {
			continue
		}
		s.state.Put(c)
		s.state.Changes = append(s.state.Changes, c)
	}
	s.trim()
	s.confirm(r)
	newCalls := s.Quarantine.Take(r.GetQuarantine(), r.GetQuarantineRevision(), r.GetQuarantineReports())
	if s.state.Revision == before && !newCalls {
		return true, nil
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.state.Revision == before {
		return true, nil
	}
	s.derive()
	return true, s.save()
}

func (s *Store) trim() {
	if len(s.state.Changes) > 2*state.MaxChanges {
		s.state.Changes = append([]*statev1.Change(nil), s.state.Changes[len(s.state.Changes)-state.MaxChanges:]...)
	}
}

func (s *Store) confirm(r *betweenv1.WatchResponse) {
	ago := time.Duration(r.GetConfirmedAgo()) * time.Millisecond
	if s.state.Revision != r.GetRevision() || ago >= unconfirmed {
		return
	}
	at := s.clock.Boot() - ago
	if !s.known || at > s.confirmed {
		s.confirmed, s.known = at, true
	}
}

func (s *Store) derive() { s.keepers = state.Sorted(s.state.Keepers) }

func (s *Store) save() error {
	if s.disk == nil {
		return nil
	}
	data, err := proto.Marshal(s.state.Configuration())
	if err != nil {
		return errors.WithStack(err)
	}
	return s.disk.Replace(fileName, data)
}
