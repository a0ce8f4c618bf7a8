// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/wal"
)

// groupWithReplacedMember returns a group of a, b and d: d has replaced c, which is
// gone for good, and has lost its disk since.
func groupWithReplacedMember(t *testing.T) *group {
	g := newGroupWithSpares(t, 3, "a", "b", "c", "d")
	g.runRounds(200)
	g.members["c"].down = true
	g.awaitMembers(map[string]string{"a": "a-0", "b": "b-0", "d": "d-0"})
	g.loseDisk(g.members["d"])
	g.awaitMembers(map[string]string{"a": "a-0", "b": "b-0", "d": "d-1"})
	return g
}

// awaitMembers runs the group until every box that is up has committed the members.
func (g *group) awaitMembers(want map[string]string) {
	for deadline := g.now + 10*time.Second; g.now < deadline; g.runRounds(1) {
		if g.agree(want) {
			return
		}
	}
	g.t.Fatalf("the boxes did not commit the members %v", want)
}

func (g *group) agree(want map[string]string) bool {
	for _, name := range g.names {
		if m := g.members[name]; !m.down && !maps.Equal(m.core.members, want) {
			return false
		}
	}
	return true
}

// Guards against members that count under a lost disk after a restart, which leaves no quorum.
func TestLeaderAfterAddedMemberLostItsDisk(t *testing.T) {
	tests := map[string]func(g *group){
		"all restart": func(*group) {},
		"an original member loses its disk": func(g *group) {
			g.loseDisk(g.members["a"])
		},
		"an original member is down": func(g *group) {
			g.members["b"].down = true
		},
		"the added member is down": func(g *group) {
			g.members["d"].down = true
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			g := groupWithReplacedMember(t)
			g.restart("a", "b", "d")
			lose(g)
			g.runRounds(400)
			if !g.hasLeader() {
				t.Fatal("no leader although two of three disks are left")
			}
		})
	}
}

// Guards against a group without a leader when only the disk itself has heard that it is admitted.
func TestLeaderAfterOnlyTheAdmittedDiskKnowsOfIt(t *testing.T) {
	g := settledGroup(t)
	leader := g.leader()
	var others []*member
	for _, name := range g.names {
		if m := g.members[name]; m != leader {
			others = append(others, m)
		}
	}
	admitted, behind := others[0], others[1]
	before := behind.core.commit
	g.isLost = func(msg message) bool {
		return msg.answer == nil && msg.request.To == behind.name && msg.request.Append.GetCommit() > before
	}
	g.loseDisk(admitted)
	for round := 0; !admitted.core.IsVoter(); round++ {
		if round == 200 {
			t.Fatal("the new disk was not admitted")
		}
		g.runRounds(1)
	}
	leader.down = true
	g.isLost = nil
	if behind.core.commit > before {
		t.Fatal("the other member knows of the admission")
	}
	g.runRounds(400)
	if !g.hasLeader() {
		t.Fatal("no leader although two of three members are left")
	}
}

// membershipLog is a log in which d is added, replaces c and is given a new disk.
func membershipLog(t *testing.T) []*betweenv1.LogEntry {
	entry := func(index uint64, kind betweenv1.LogEntry_Kind, box, incarnation string) *betweenv1.LogEntry {
		data := encode(t, &betweenv1.Member{Box: box, Incarnation: incarnation})
		return &betweenv1.LogEntry{Index: index, Term: 1, Kind: kind, Data: data}
	}
	return []*betweenv1.LogEntry{
		{Index: 1, Term: 1, Kind: betweenv1.LogEntry_KIND_TERM},
		entry(2, betweenv1.LogEntry_KIND_ADD, "d", "d-0"),
		entry(3, betweenv1.LogEntry_KIND_REMOVE, "c", "c-0"),
		entry(4, betweenv1.LogEntry_KIND_MEMBER, "d", "d-1"),
		{Index: 5, Term: 1, Kind: betweenv1.LogEntry_KIND_DATA},
	}
}

// currentMembers are the members after membershipLog.
func currentMembers() map[string]string {
	return map[string]string{"a": "a-0", "b": "b-0", "d": "d-1"}
}

func newTestCore(self string, stored Stored) *Core {
	opts := Options{Self: self, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Rand: rand.New(rand.NewSource(1))}
	return New(opts, stored, time.Hour)
}

// receive passes the entries of the leader a to a core, a part at a time.
func receive(c *Core, list []*betweenv1.LogEntry, commits ...uint64) {
	for _, commit := range commits {
		prev := c.log.last()
		r := &betweenv1.AppendRequest{Term: 1, Leader: "a", PrevIndex: prev, PrevTerm: c.log.termAt(prev), Commit: commit}
		if prev < commit {
			r.Entries = list[prev:commit]
		}
		c.HandleAppend(r, time.Hour)
	}
}

// diskOf returns the records of a disk with an identity and the entries of a log.
func diskOf(t *testing.T, id *betweenv1.Identity, list []*betweenv1.LogEntry) [][]byte {
	records := [][]byte{encode(t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: id}})}
	for _, e := range list {
		records = append(records, encode(t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}}))
	}
	return records
}

// restartedFrom returns the core of b after a start from a disk.
func restartedFrom(t *testing.T, records [][]byte) *Core {
	stored, err := replay(wal.Content{Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return newTestCore("b", stored)
}

// Guards against entries that are received or read again and bring back a disk that was replaced.
func TestMembersDoNotGoBack(t *testing.T) {
	all := []uint64{1, 2, 3, 4, 5}
	founders := map[string]string{"a": "a-0", "b": "b-0", "c": "c-0"}
	tests := map[string]func(t *testing.T, list []*betweenv1.LogEntry) *Core{
		"restart": func(t *testing.T, list []*betweenv1.LogEntry) *Core {
			c := newTestCore("b", Stored{Incarnation: "b-0", Members: founders})
			receive(c, list, all...)
			return restartedFrom(t, diskOf(t, c.identity(), list))
		},
		"restarts while the log is committed again": func(t *testing.T, list []*betweenv1.LogEntry) *Core {
			c := newTestCore("b", Stored{Incarnation: "b-0", Members: founders})
			receive(c, list, all...)
			for _, commit := range all {
				c = restartedFrom(t, diskOf(t, c.identity(), list))
				receive(c, list, commit)
			}
			return c
		},
		"disk of a version that did not store the index": func(t *testing.T, list []*betweenv1.LogEntry) *Core {
			return restartedFrom(t, diskOf(t, &betweenv1.Identity{Incarnation: "b-0", Members: membersToProto(currentMembers())}, list))
		},
		"empty disk with the members of another box": func(_ *testing.T, _ []*betweenv1.LogEntry) *Core {
			return newTestCore("b", Stored{Incarnation: "b-1", Members: currentMembers(), MembersIndex: 5})
		},
		"snapshot that is older than the members": func(_ *testing.T, _ []*betweenv1.LogEntry) *Core {
			c := newTestCore("b", Stored{Incarnation: "b-1", Members: founders})
			c.HandleInstall(&betweenv1.InstallRequest{Term: 1, Leader: "a", LastIndex: 1, LastTerm: 1, Members: membersToProto(currentMembers()), MembersIndex: 5}, time.Hour)
			return c
		},
		"snapshot of a leader that knows less": func(_ *testing.T, _ []*betweenv1.LogEntry) *Core {
			c := newTestCore("b", Stored{Incarnation: "b-1", Members: currentMembers(), MembersIndex: 5})
			c.HandleInstall(&betweenv1.InstallRequest{Term: 1, Leader: "a", LastIndex: 1, LastTerm: 1, Members: membersToProto(founders), MembersIndex: 1}, time.Hour)
			return c
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			list := membershipLog(t)
			c := prepare(t, list)
			for _, commit := range all {
				if diff := cmp.Diff(currentMembers(), c.effectiveMembers); diff != "" {
					t.Fatalf("members before the log is committed up to %d (-want +got):\n%s", commit, diff)
				}
				receive(c, list, commit)
			}
			if diff := cmp.Diff(currentMembers(), c.members); diff != "" {
				t.Fatalf("members after the log is committed (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a box that never votes again after it was removed and added while it was paused.
func TestSnapshotEndsTheRemovalOfABox(t *testing.T) {
	c := newTestCore("d", Stored{Incarnation: "d-1", Members: currentMembers(), MembersIndex: 5})
	c.Leave(map[string]string{"a": "a-0", "b": "b-0", "e": "e-0"}, 8, time.Hour)
	if c.IsVoter() {
		t.Fatal("a box that was removed votes")
	}
	c.HandleInstall(&betweenv1.InstallRequest{Term: 1, Leader: "a", LastIndex: 9, LastTerm: 1, Members: membersToProto(currentMembers()), MembersIndex: 9}, time.Hour)
	if !c.IsVoter() {
		t.Error("a box that is a member again doesn't vote")
	}
}

// Guards against a box that has restarted and leaves its group because of an older disk's members.
func TestMemberDoesNotLeaveForOlderMembers(t *testing.T) {
	founders := map[string]string{"a": "a-0", "b": "b-0", "c": "c-0"}
	tests := map[string]struct {
		members map[string]string
		index   uint64
		leaves  bool
	}{
		"older disk":                {members: founders, index: 1},
		"same members":              {members: currentMembers(), index: 5},
		"removed since":             {members: founders, index: 6, leaves: true},
		"replaced the disk of this": {members: map[string]string{"a": "a-0", "b": "b-0", "d": "d-2"}, index: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCore("d", Stored{Incarnation: "d-1", Members: currentMembers(), MembersIndex: 4, Entries: membershipLog(t)})
			c.Leave(test.members, test.index, time.Hour)
			if c.IsVoter() == test.leaves {
				t.Errorf("voter: %v, want %v", c.IsVoter(), !test.leaves)
			}
		})
	}
}
