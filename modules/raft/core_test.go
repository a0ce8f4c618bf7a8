// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

func quietGroup(t *testing.T) *group {
	g := newGroup(t, "a", "b", "c")
	g.settle()
	return g
}

func (g *group) leader() *member {
	var found *member
	for _, name := range g.names {
		if m := g.members[name]; m.core.role == Leader && (found == nil || m.core.term > found.core.term) {
			found = m
		}
	}
	if found == nil {
		g.t.Fatal("no member leads")
	}
	return found
}

func TestFrozenLeaderHasNoLeaseWhenThawed(t *testing.T) {
	g := quietGroup(t)
	old := g.leader()
	if old.core.Lease(g.now) <= g.now {
		g.t.Fatal("the leader has no lease")
	}
	old.asleep = true
	g.now += 10 * testElection
	if old.core.Lease(g.now) > g.now {
		g.t.Fatal("the lease must end while the leader is frozen")
	}
}

func TestEmptyDiskNeitherVotesNorCounts(t *testing.T) {
	g := quietGroup(t)
	old := g.leader()
	var victim, other *member
	for _, name := range g.names {
		if m := g.members[name]; m != old && victim == nil {
			victim = m
		} else if m != old {
			other = m
		}
	}
	other.down = true
	g.loseDisk(victim)
	before := old.core.commit
	g.propose(false)
	for range 50 {
		g.now += 5 * time.Millisecond
		for n := len(g.network); n > 0; n-- {
			msg := g.network[0]
			g.network = g.network[1:]
			g.deliver(msg)
		}
		g.act(old, func(c *Core) { c.Tick(g.now) }, false)
	}
	if old.core.commit != before {
		g.t.Fatal("an entry was committed by a disk that had been lost")
	}
	vote := &betweenv1.VoteRequest{Term: 99, Candidate: old.name, LastIndex: 99, LastTerm: 99, Incarnation: old.core.incarnation}
	if victim.core.HandleVote(vote, g.now+time.Hour).GetGranted() {
		g.t.Fatal("an empty disk voted")
	}
}

// loseDisk loses a disk whatever state the others are in.
func (g *group) loseDisk(m *member) {
	m.wipes++
	id := &betweenv1.Identity{Incarnation: fmt.Sprintf("%s-%d", m.name, m.wipes), Members: listMembers(m.core.members)}
	m.snapshot, m.records = nil, [][]byte{encode(g.t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: id}})}
	g.boot(m)
}

func TestReturningMemberDoesNotDisturb(t *testing.T) {
	g := quietGroup(t)
	leader := g.leader()
	term := leader.core.term
	for _, name := range g.names {
		if m := g.members[name]; m != leader {
			// Cut off long enough to want an election many times over.
			for range 20 {
				g.now += testElection
				m.core.Tick(g.now)
				m.core.Take()
			}
			break
		}
	}
	if got := leader.core.term; got != term {
		g.t.Fatalf("term rose from %d to %d", term, got)
	}
	g.settle()
	if g.leader().core.term > term+1 {
		g.t.Fatal("the returning member forced elections")
	}
}

func TestVoteOutlivesRestart(t *testing.T) {
	g := quietGroup(t)
	voter := g.members["a"]
	ask := func(candidate string) bool {
		r := &betweenv1.VoteRequest{Term: 50, Candidate: candidate, LastIndex: 99, LastTerm: 49, Incarnation: candidate + "-0"}
		granted := false
		g.act(voter, func(c *Core) { granted = c.HandleVote(r, g.now).GetGranted() }, false)
		return granted
	}
	g.now += 2 * testElection
	voter.core.role = Follower
	if !ask("b") {
		t.Fatal("the first candidate got no vote")
	}
	g.boot(voter)
	g.now += 2 * testElection
	if ask("c") {
		t.Fatal("a second candidate got a vote in the same term after a restart")
	}
}

func TestNobodyVotesWhileALeaseMayStand(t *testing.T) {
	tests := map[string]func(g *group, voter *member){
		"heard of the leader": func(*group, *member) {},
		"restarted":           func(g *group, voter *member) { g.boot(voter) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			g := quietGroup(t)
			leader := g.leader()
			for _, name := range g.names {
				voter := g.members[name]
				if voter == leader {
					continue
				}
				prepare(g, voter)
				r := &betweenv1.VoteRequest{Term: 50, Candidate: leader.name, LastIndex: 99, LastTerm: 49, Incarnation: leader.core.incarnation}
				if leader.core.Lease(g.now) > g.now && voter.core.HandleVote(r, g.now).GetGranted() {
					t.Errorf("%s voted while the leader had a lease", name)
				}
			}
		})
	}
}

func TestEntriesOfAnEarlierTermAreNotCommittedAlone(t *testing.T) {
	g := quietGroup(t)
	c := g.leader().core
	earlier := &betweenv1.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: betweenv1.LogEntry_KIND_DATA}
	c.append(earlier)
	c.term++
	before := c.commit
	for _, p := range c.peers {
		p.match = earlier.GetIndex()
	}
	c.advanceCommit(g.now)
	if c.commit != before {
		t.Fatal("an entry of an earlier term was committed by counting alone")
	}
}

func TestAdmissionOutlivesRestart(t *testing.T) {
	g := quietGroup(t)
	victim := g.members["a"]
	g.loseDisk(victim)
	g.settle()
	for _, name := range g.names {
		m := g.members[name]
		g.boot(m)
		if !m.core.Member() || m.core.members["a"] != "a-1" {
			t.Errorf("%s forgot at its restart that the new disk of a counts", name)
		}
	}
}

// A leader that put the admission of a new box into its log and fell silent
// before anybody had it needs the vote of the new box, which does not know yet
// that it is a member: only the leader has the longest log, and the member that
// fell silent first has lost its disk meanwhile. (Soak, seed 313.)
func TestABoxVotesThatDoesNotKnowOfItsAdmission(t *testing.T) {
	g := newGroupWithSpares(t, 3, "a", "b", "c", "d")
	g.rest(200)
	leader := g.leader()
	victim := g.members["a"]
	if victim == leader {
		victim = g.members["b"]
	}
	victim.down = true
	for round := 0; len(leader.core.changes) == 0; round++ {
		if round == 200 {
			t.Fatal("the leader did not begin to admit the spare")
		}
		g.rest(1)
		g.now += 5 * time.Millisecond
		g.joins(g.members["d"])
		g.act(leader, func(c *Core) { c.Tick(g.now) }, false)
	}
	g.network = nil
	leader.asleep = true
	g.rest(100)
	g.loseDisk(victim)
	leader.asleep = false
	g.rest(400)
	if led := g.leader().core; led.log.termAt(led.commit) != led.term {
		t.Fatal("the leader commits nothing")
	}
}

// restart starts members anew, as after a loss of power of all of them.
func (g *group) restart(names ...string) {
	g.network = nil
	for _, name := range names {
		g.boot(g.members[name])
	}
}

// leads tells whether some member that is up leads and has committed in its term.
func (g *group) leads() bool {
	for _, name := range g.names {
		c := g.members[name].core
		if !g.members[name].down && c.role == Leader && c.log.termAt(c.commit) == c.term {
			return true
		}
	}
	return false
}

// When all members have started anew nobody can hold a lease, so a leader need
// not wait for one election time; when one of them has not, it must.
func TestElectionAfterARestart(t *testing.T) {
	tests := map[string]struct {
		change func(g *group)
		early  bool
	}{
		"all have started anew": {change: func(g *group) { g.restart("a", "b", "c") }, early: true},
		"one is down": {change: func(g *group) {
			g.restart("a", "b", "c")
			g.members["b"].down = true
		}},
		"one, which led, is frozen": {change: func(g *group) {
			old := g.leader()
			old.asleep = true
			for _, name := range g.names {
				if name != old.name {
					g.restart(name)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := quietGroup(t)
			test.change(g)
			before := g.now
			for !g.leads() || g.leader().core.since < before {
				if g.now > before+20*testElection {
					t.Fatal("nobody leads")
				}
				g.rest(1)
				g.check()
			}
			if waited := g.now - before; (waited < testElection) != test.early {
				t.Fatalf("a leader after %s, election time %s", waited, testElection)
			}
		})
	}
}

// A box that has heard of a leader since it started is no help to a candidate
// that has taken all members for fresh.
func TestFreshnessEndsWithTheFirstLeader(t *testing.T) {
	g := quietGroup(t)
	leader := g.leader()
	for _, name := range g.names {
		voter := g.members[name]
		if voter == leader {
			continue
		}
		r := &betweenv1.VoteRequest{Term: 50, Candidate: leader.name, LastIndex: 99, LastTerm: 49, Incarnation: leader.core.incarnation, AllFresh: true, PreVote: true}
		if resp := voter.core.HandleVote(r, g.now); resp.GetGranted() || resp.GetFresh() {
			t.Errorf("%s answered %v", name, resp)
		}
	}
}

// A fresh box asks for votes less and less often: where boxes are slow a campaign
// that is begun anew before its answers can come never ends.
func TestFreshBoxesAskLessAndLessOften(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	m := g.members["a"]
	last := m.core.opts.Election / freshWaitParts / 2
	for try := range freshTries + 2 {
		wait := m.core.due - g.now
		if wait < last || wait < min(testElection, 2*last) {
			t.Fatalf("try %d after %s, the one before after at least %s", try, wait, last)
		}
		last = min(testElection, 2*last)
		g.now = m.core.due
		m.core.Tick(g.now)
		m.core.Take()
	}
}
