// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/wal"
)

// openStore opens the log and reads the stored state. A new disk gets an
// incarnation, which is stored at once.
func openStore(d disk.Disk, incarnation func() string) (*wal.Log, Stored, error) {
	log, content, err := wal.Open(d)
	if err != nil {
		return nil, Stored{}, err
	}
	stored, err := replay(content)
	if err != nil {
		return nil, Stored{}, err
	}
	if stored.Incarnation == "" {
		stored.Incarnation = incarnation()
		err = storeIdentity(log, stored)
	}
	return log, stored, err
}

// StoredMembers returns the sorted names of the members of the group that a disk
// belongs to, none when the disk is new.
func StoredMembers(d disk.Disk) ([]string, error) {
	log, content, err := wal.Open(d)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	stored, err := replay(content)
	if err != nil {
		return nil, err
	}
	return memberNames(stored.Members), nil
}

func storeIdentity(log *wal.Log, s Stored) error {
	id := &betweenv1.Identity{Incarnation: s.Incarnation, Members: membersToProto(s.Members), MembersIndex: proto.Uint64(s.MembersIndex)}
	record, err := proto.Marshal(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: id}})
	if err != nil {
		return errors.WithStack(err)
	}
	return log.Append(record)
}

func membersToProto(members map[string]string) []*betweenv1.Member {
	var list []*betweenv1.Member
	for box, incarnation := range members {
		list = append(list, &betweenv1.Member{Box: box, Incarnation: incarnation})
	}
	return list
}

func membersFromProto(list []*betweenv1.Member) map[string]string {
	members := map[string]string{}
	for _, m := range list {
		members[m.GetBox()] = m.GetIncarnation()
	}
	return members
}

// replay rebuilds the stored state from a snapshot and the records after it.
func replay(content wal.Content) (Stored, error) {
	s := Stored{Members: map[string]string{}}
	log := entries{}
	if content.Snapshot != nil {
		var snapshot betweenv1.LogSnapshot
		if err := proto.Unmarshal(content.Snapshot, &snapshot); err != nil {
			return s, errors.WithStack(err)
		}
		s.SnapshotIndex, s.SnapshotTerm, s.Snapshot = snapshot.GetIndex(), snapshot.GetTerm(), snapshot.GetData()
		s.Term, s.Vote = snapshot.GetHard().GetTerm(), snapshot.GetHard().GetVote()
		s.setIdentity(snapshot.GetIdentity())
		log.reset(s.SnapshotIndex, s.SnapshotTerm)
	}
	for _, data := range content.Records {
		var record betweenv1.LogRecord
		if err := proto.Unmarshal(data, &record); err != nil {
			return s, errors.WithStack(err)
		}
		s.applyRecord(&record, &log)
	}
	s.Entries = log.list
	if !s.hasMembersIndex {
		s.MembersIndex = reflectedIndex(s.Members, s.Entries)
	}
	s.MembersIndex = max(s.MembersIndex, s.SnapshotIndex)
	return s, nil
}

// reflectedIndex returns the index up to which members are known to reflect the
// entries of a log, for disks of versions that didn't store it: an incarnation is
// among the committed members only if the entry that admitted it, and with it every
// entry before, is committed.
func reflectedIndex(members map[string]string, list []*betweenv1.LogEntry) uint64 {
	admitted := map[string]uint64{}
	for _, e := range list {
		m := memberOf(e)
		if e.GetKind() == betweenv1.LogEntry_KIND_REMOVE || !isMembership(e) || members[m.GetBox()] != m.GetIncarnation() {
			continue
		}
		if _, known := admitted[m.GetBox()]; !known {
			admitted[m.GetBox()] = e.GetIndex()
		}
	}
	var index uint64
	for _, first := range admitted {
		index = max(index, first)
	}
	return index
}

func (s *Stored) applyRecord(record *betweenv1.LogRecord, log *entries) {
	switch r := record.GetRecord().(type) {
	case *betweenv1.LogRecord_Hard:
		s.Term, s.Vote = r.Hard.GetTerm(), r.Hard.GetVote()
	case *betweenv1.LogRecord_Identity:
		s.setIdentity(r.Identity)
	case *betweenv1.LogRecord_Entry:
		if r.Entry.GetIndex() > log.index {
			log.put(r.Entry)
		}
	}
}

func (s *Stored) setIdentity(id *betweenv1.Identity) {
	s.Incarnation = id.GetIncarnation()
	s.Members = membersFromProto(id.GetMembers())
	s.MembersIndex, s.hasMembersIndex = id.GetMembersIndex(), id.MembersIndex != nil
}

// encodeSnapshot encodes a Core's persistent state and the state machine's data.
func encodeSnapshot(c *Core, data []byte) ([]byte, error) {
	encoded, err := proto.Marshal(&betweenv1.LogSnapshot{
		Index:    c.log.index,
		Term:     c.log.term,
		Identity: c.identity(),
		Hard:     &betweenv1.HardState{Term: c.term, Vote: c.votedFor},
		Data:     data,
	})
	return encoded, errors.WithStack(err)
}

func encodeRecords(records []*betweenv1.LogRecord) ([][]byte, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}
