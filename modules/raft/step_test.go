// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// A follower is in step once it has all that its leader has committed in its
// own term; hearing of a leader alone is not enough.
func TestInStepOnlyWithWhatIsCommitted(t *testing.T) {
	g := quietGroup(t)
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
		name   string
		append *betweenv1.AppendRequest
		inStep bool
	}{
		{name: "it has everything", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last, PrevTerm: term, Commit: last}, inStep: true},
		{name: "it lacks entries before", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last + 5, PrevTerm: term, Commit: last + 5}},
		{name: "it gets some of them", append: &betweenv1.AppendRequest{Term: term, PrevIndex: last, PrevTerm: term, Entries: []*betweenv1.LogEntry{entry(last+1, term)}, Commit: last + 5}},
		{name: "a new leader has committed nothing yet", append: &betweenv1.AppendRequest{Term: term + 1, PrevIndex: last + 1, PrevTerm: term, Entries: []*betweenv1.LogEntry{entry(last+2, term+1)}, Commit: last + 1}},
		{name: "it has", append: &betweenv1.AppendRequest{Term: term + 1, PrevIndex: last + 2, PrevTerm: term + 1, Commit: last + 2}, inStep: true},
	}
	for _, s := range steps {
		g.now += time.Second
		s.append.Leader = leader.name
		g.act(follower, func(c *Core) { c.HandleAppend(s.append, g.now) }, false)
		if got := c.InStep(g.now) == g.now; got != s.inStep {
			t.Errorf("%s: in step %v, want %v", s.name, got, s.inStep)
		}
	}
}

// A leader is in step once an entry of its own term is committed.
func TestLeaderInStep(t *testing.T) {
	g := quietGroup(t)
	c := g.leader().core
	if c.InStep(g.now) == 0 {
		t.Fatal("a leader with a quorum is not in step")
	}
	before := c.InStep(g.now)
	g.now += time.Second
	c.term++
	if c.InStep(g.now) > before {
		t.Fatal("a leader that has committed nothing in its term is in step")
	}
}
