// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// A follower is caught up once it has every committed entry of a leader that has
// committed in its own term. Contact with a leader alone is not enough.
func TestFollowerIsCaughtUpOnlyWithAllCommittedEntries(t *testing.T) {
	g := settledGroup(t)
	leader := g.leader()
	var follower *member
	for _, name := range g.names {
		if g.members[name] != leader {
			follower = g.members[name]
		}
	}
	c := follower.core
	last, term := c.log.last(), c.term
	entry := func(index, term uint64) *betweenv1.LogEntry {
		return &betweenv1.LogEntry{Index: index, Term: term, Kind: betweenv1.LogEntry_KIND_DATA}
	}
	steps := []struct {
		name     string
		append   *betweenv1.AppendRequest
		caughtUp bool
	}{
		{name: "has all committed entries", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last, PrevTerm: term, Commit: last}, caughtUp: true},
		{name: "lacks preceding entries", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last + 5, PrevTerm: term, Commit: last + 5}},
		{name: "received some of the missing entries", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last, PrevTerm: term, Entries: []*betweenv1.LogEntry{entry(last+1, term)}, Commit: last + 5}},
		{name: "new leader has committed nothing in its term", append: &betweenv1.AppendRequest{Term: term + 1, PrevIndex: last + 1, PrevTerm: term, Entries: []*betweenv1.LogEntry{entry(last+2, term+1)}, Commit: last + 1}},
		{name: "new leader has committed in its term", append: &betweenv1.AppendRequest{Term: term + 1, PrevIndex: last + 2, PrevTerm: term + 1, Commit: last + 2}, caughtUp: true},
	}
	for _, s := range steps {
		g.now += time.Second
		s.append.Leader = leader.name
		g.run(follower, func(c *Core) { c.HandleAppend(s.append, g.now) }, false)
		if got := c.CaughtUpAt(g.now) == g.now; got != s.caughtUp {
			t.Errorf("%s: caught up = %v, want %v", s.name, got, s.caughtUp)
		}
	}
}

// A leader is caught up once an entry of its own term is committed.
func TestLeaderIsCaughtUpOnceItCommitsInItsTerm(t *testing.T) {
	g := settledGroup(t)
	c := g.leader().core
	if c.CaughtUpAt(g.now) == 0 {
		t.Fatal("a leader with a quorum is not caught up")
	}
	before := c.CaughtUpAt(g.now)
	g.now += time.Second
	c.term++
	if c.CaughtUpAt(g.now) > before {
		t.Fatal("a leader that has committed nothing in its term is caught up")
	}
}

// Guards against a follower that stood still and takes what its leader had committed before for all that
// is committed now: whoever reads its state takes old news for present ones.
func TestFollowerThatStoodStillIsNotCaughtUp(t *testing.T) {
	for name, waited := range map[string]time.Duration{"half a second": time.Second / 2, "a second": time.Second, "four seconds": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			g := settledGroup(t)
			leader := g.leader()
			var follower *member
			for _, name := range g.names {
				if g.members[name] != leader {
					follower = g.members[name]
				}
			}
			c := follower.core
			waiting, madeAt := &betweenv1.AppendRequest{Term: c.term, Leader: leader.name, PrevIndex: c.log.last(), PrevTerm: c.term, Commit: c.log.last()}, g.now
			g.now += waited
			g.run(follower, func(c *Core) { c.HandleAppend(waiting, g.now) }, false)
			if got := c.CaughtUpAt(g.now); got > madeAt {
				t.Errorf("caught up %s after the leader made its message", got-madeAt)
			}
		})
	}
}
