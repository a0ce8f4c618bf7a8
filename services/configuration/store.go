// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package configuration distributes every accepted change to every box: from control
// boxes to relays, and from relays to the boxes of their data centre. The revision of
// a box's copy never decreases.
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

// fileName is the file of the copy on a box that has a disk.
const fileName = "configuration"

// Store is a box's copy of the configuration.
type Store struct {
	// Quarantine lists the quarantined calls that control has sent. It is not stored
	// on the disk.
	Quarantine quarantine.List

	clock clock.Clock
	disk  disk.Disk

	mu    sync.RWMutex
	state *state.State
	// confirmedAt is the boot time at which a control box last confirmed the revision,
	// everConfirmed whether any has since the box started.
	confirmedAt   time.Duration
	everConfirmed bool
	changed       chan struct{}
	// keepers are the keepers of state, sorted by name.
	keepers []*statev1.KeeperMember
}

// NewStore returns a store with the copy on the disk, or an empty one if there is
// none. Without a disk, d is nil.
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
		return nil, errors.Wrap(err, "failed to decode the stored configuration; remove the file configuration from the data directory")
	}
	s.state.LoadConfiguration(&stored)
	s.sortKeepers()
	return s, nil
}

// Read calls fn with the configuration, under the read lock. fn may keep rows, as they
// are never modified in place.
func (s *Store) Read(fn func(st *state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	fn(s.state)
}

// Revision returns the revision in force.
func (s *Store) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Revision
}

// Position returns the position to watch an upstream from.
func (s *Store) Position() Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Position{Revision: s.state.Revision, Quarantine: s.Quarantine.Revision()}
}

// Value returns the value of a rollout, its default if it is not set.
func (s *Store) Value(name string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return int(s.state.RolloutValue(name))
}

// Keepers returns all keepers, sorted by name.
func (s *Store) Keepers() []*statev1.KeeperMember {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keepers
}

// Drained reports whether operators have drained a box or a target.
func (s *Store) Drained(kind statev1.Drain_Kind, name string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Drains[state.DrainKey(kind, name)] != nil
}

// ConfirmedAgo returns how long ago a control box last confirmed the revision, and
// false if none has since the box started.
func (s *Store) ConfirmedAgo() (time.Duration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.clock.Boot() - s.confirmedAt, s.everConfirmed
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Since implements Source.
func (s *Store) Since(has Position) *betweenv1.WatchResponse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	resp := changesSince(s.state, has.Revision)
	resp.Quarantine, resp.QuarantineRevision = s.Quarantine.RowsSince(has.Quarantine)
	resp.QuarantineReports = s.Quarantine.Reports()
	resp.ConfirmedAgo = (s.clock.Boot() - s.confirmedAt).Milliseconds()
	if !s.everConfirmed {
		resp.ConfirmedAgo = unconfirmedAge.Milliseconds()
	}
	return resp
}

// unconfirmedAge is the age that is sent while no control box has confirmed the copy.
const unconfirmedAge = 365 * 24 * time.Hour

// changesSince returns the changes after a revision, or the whole configuration if they
// are not kept any more.
func changesSince(st *state.State, revision uint64) *betweenv1.WatchResponse {
	resp := &betweenv1.WatchResponse{Revision: st.Revision}
	changes, ok := st.ChangesAfter(revision)
	if !ok {
		resp.Whole = st.Configuration()
		return resp
	}
	resp.Changes = append(resp.Changes, changes...)
	return resp
}

// Apply applies a message of the feed and saves the copy if its revision has changed. It
// returns false if the sender's revision is older than this copy's, which then stays as
// it is. An error means that the copy could not be saved; in memory it is updated then.
func (s *Store) Apply(r *betweenv1.WatchResponse) (bool, error) {
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
		s.state.ApplyChange(c)
		s.state.Changes = append(s.state.Changes, c)
	}
	s.trimChanges()
	s.recordConfirmation(r)
	newCalls := s.Quarantine.Update(r.GetQuarantine(), r.GetQuarantineRevision(), r.GetQuarantineReports())
	if s.state.Revision == before && !newCalls {
		return true, nil
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.state.Revision == before {
		return true, nil
	}
	s.sortKeepers()
	return true, s.save()
}

// trimChanges drops the oldest changes. The caller must hold s.mu.
func (s *Store) trimChanges() {
	if len(s.state.Changes) > 2*state.MaxChanges {
		s.state.Changes = append([]*statev1.Change(nil), s.state.Changes[len(s.state.Changes)-state.MaxChanges:]...)
	}
}

// recordConfirmation records when control last confirmed the revision, if the message
// has the same revision. The caller must hold s.mu.
func (s *Store) recordConfirmation(r *betweenv1.WatchResponse) {
	ago := time.Duration(r.GetConfirmedAgo()) * time.Millisecond
	if s.state.Revision != r.GetRevision() || ago >= unconfirmedAge {
		return
	}
	at := s.clock.Boot() - ago
	if !s.everConfirmed || at > s.confirmedAt {
		s.confirmedAt, s.everConfirmed = at, true
	}
}

func (s *Store) sortKeepers() { s.keepers = state.SortedByKey(s.state.Keepers) }

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
