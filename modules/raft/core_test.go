// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

func settledGroup(t *testing.T) *group {
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
		g.t.Fatal("no member is leader")
	}
	return found
}

func TestLeaseExpiresWhileLeaderIsFrozen(t *testing.T) {
	g := settledGroup(t)
	old := g.leader()
	if old.core.Lease(g.now) <= g.now {
		g.t.Fatal("the leader has no lease")
	}
	old.frozen = true
	g.now += 10 * testElection
	if old.core.Lease(g.now) > g.now {
		g.t.Fatal("the lease of a frozen leader did not expire")
	}
}

func TestLostDiskNeitherVotesNorCounts(t *testing.T) {
	g := settledGroup(t)
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
		g.run(old, func(c *Core) { c.Tick(g.now) }, false)
	}
	if old.core.commit != before {
		g.t.Fatal("an entry was committed with the acknowledgement of a disk that replaced a lost one")
	}
	vote := &betweenv1.VoteRequest{Term: 99, Candidate: old.name, LastIndex: 99, LastTerm: 99, Incarnation: old.core.incarnation}
	if victim.core.HandleVote(vote, g.now+time.Hour).GetGranted() {
		g.t.Fatal("a disk that replaced a lost one granted a vote")
	}
}

// loseDisk restarts a member with an empty disk, whatever state the others are in.
func (g *group) loseDisk(m *member) {
	m.diskLosses++
	id := &betweenv1.Identity{Incarnation: fmt.Sprintf("%s-%d", m.name, m.diskLosses), Members: membersToProto(m.core.members), MembersIndex: proto.Uint64(m.core.membersIndex)}
	m.snapshot, m.records = nil, [][]byte{encode(g.t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: id}})}
	g.boot(m)
}

func TestReconnectedMemberDoesNotForceElections(t *testing.T) {
	g := settledGroup(t)
	leader := g.leader()
	term := leader.core.term
	for _, name := range g.names {
		if m := g.members[name]; m != leader {
			// The member is cut off for many election timeouts.
			for range 20 {
				g.now += testElection
				m.core.Tick(g.now)
				m.core.TakeOutput()
			}
			break
		}
	}
	if got := leader.core.term; got != term {
		g.t.Fatalf("the leader's term changed from %d to %d", term, got)
	}
	g.settle()
	if g.leader().core.term > term+1 {
		g.t.Fatal("the reconnected member forced elections")
	}
}

func TestVoteSurvivesRestart(t *testing.T) {
	g := settledGroup(t)
	voter := g.members["a"]
	ask := func(candidate string) bool {
		r := &betweenv1.VoteRequest{Term: 50, Candidate: candidate, LastIndex: 99, LastTerm: 49, Incarnation: candidate + "-0"}
		granted := false
		g.run(voter, func(c *Core) { granted = c.HandleVote(r, g.now).GetGranted() }, false)
		return granted
	}
	g.now += 2 * testElection
	voter.core.role = Follower
	if !ask("b") {
		t.Fatal("the vote for the first candidate was refused")
	}
	g.boot(voter)
	g.now += 2 * testElection
	if ask("c") {
		t.Fatal("a second candidate was granted a vote in the same term after a restart")
	}
}

func TestNoVoteWhileLeaseMayBeValid(t *testing.T) {
	tests := map[string]func(g *group, voter *member){
		"in contact with the leader": func(*group, *member) {},
		"restarted":                  func(g *group, voter *member) { g.boot(voter) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			g := settledGroup(t)
			leader := g.leader()
			for _, name := range g.names {
				voter := g.members[name]
				if voter == leader {
					continue
				}
				prepare(g, voter)
				r := &betweenv1.VoteRequest{Term: 50, Candidate: leader.name, LastIndex: 99, LastTerm: 49, Incarnation: leader.core.incarnation}
				if leader.core.Lease(g.now) > g.now && voter.core.HandleVote(r, g.now).GetGranted() {
					t.Errorf("%s granted a vote while the leader had a lease", name)
				}
			}
		})
	}
}

func TestEntriesOfEarlierTermAreNotCommittedAlone(t *testing.T) {
	g := settledGroup(t)
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
		t.Fatal("an entry of an earlier term was committed by counting its copies alone")
	}
}

func TestAdmissionSurvivesRestart(t *testing.T) {
	g := settledGroup(t)
	victim := g.members["a"]
	g.loseDisk(victim)
	g.settle()
	for _, name := range g.names {
		m := g.members[name]
		g.boot(m)
		if !m.core.IsVoter() || m.core.members["a"] != "a-1" {
			t.Errorf("%s lost the admission of a's new disk in a restart", name)
		}
	}
}

// A leader that freezes after it has put the addition of a box into its own log
// only needs that box's vote to be elected again, although the box does not know
// yet that it is a member: no other log is as long, and the member that went down
// before has lost its disk in the meantime. Found by the soak test, seed 313.
func TestNewMemberVotesBeforeItLearnsOfItsAdmission(t *testing.T) {
	g := newGroupWithSpares(t, 3, "a", "b", "c", "d")
	g.runRounds(200)
	leader := g.leader()
	victim := g.members["a"]
	if victim == leader {
		victim = g.members["b"]
	}
	victim.down = true
	for round := 0; len(leader.core.pendingChanges) == 0; round++ {
		if round == 200 {
			t.Fatal("the leader did not start to add the spare box")
		}
		g.runRounds(1)
		g.now += 5 * time.Millisecond
		g.requestJoin(g.members["d"])
		g.run(leader, func(c *Core) { c.Tick(g.now) }, false)
	}
	g.network = nil
	leader.frozen = true
	g.runRounds(100)
	g.loseDisk(victim)
	leader.frozen = false
	g.runRounds(400)
	if led := g.leader().core; led.log.termAt(led.commit) != led.term {
		t.Fatal("the leader has committed no entry in its term")
	}
}

// restart restarts members and drops all messages, as after a power failure.
func (g *group) restart(names ...string) {
	g.network = nil
	for _, name := range names {
		g.boot(g.members[name])
	}
}

// hasLeader reports whether a member that is up is leader and has committed an
// entry in its term.
func (g *group) hasLeader() bool {
	for _, name := range g.names {
		c := g.members[name].core
		if !g.members[name].down && c.role == Leader && c.log.termAt(c.commit) == c.term {
			return true
		}
	}
	return false
}

// When all members have restarted, none can hold a lease, so a leader may be
// elected before one election timeout has passed. When one of them has not, the
// others must wait that long.
func TestElectionAfterRestart(t *testing.T) {
	tests := map[string]struct {
		change func(g *group)
		early  bool
	}{
		"all restarted": {change: func(g *group) { g.restart("a", "b", "c") }, early: true},
		"one is down": {change: func(g *group) {
			g.restart("a", "b", "c")
			g.members["b"].down = true
		}},
		"the former leader is frozen": {change: func(g *group) {
			old := g.leader()
			old.frozen = true
			for _, name := range g.names {
				if name != old.name {
					g.restart(name)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := settledGroup(t)
			test.change(g)
			before := g.now
			for !g.hasLeader() || g.leader().core.leaderSince < before {
				if g.now > before+20*testElection {
					t.Fatal("no leader was elected")
				}
				g.runRounds(1)
				g.check()
			}
			if waited := g.now - before; (waited < testElection) != test.early {
				t.Fatalf("elected a leader after %s, election timeout is %s", waited, testElection)
			}
		})
	}
}

// A box that has followed a leader since its start refuses its vote, even to a
// candidate that believes that all members are fresh.
func TestFreshnessEndsWithFirstLeader(t *testing.T) {
	g := settledGroup(t)
	leader := g.leader()
	for _, name := range g.names {
		voter := g.members[name]
		if voter == leader {
			continue
		}
		r := &betweenv1.VoteRequest{Term: 50, Candidate: leader.name, LastIndex: 99, LastTerm: 49, Incarnation: leader.core.incarnation, AllFresh: true, PreVote: true}
		if resp := voter.core.HandleVote(r, g.now); resp.GetGranted() || resp.GetFresh() {
			t.Errorf("%s answered %v, want a refusal that is not fresh", name, resp)
		}
	}
}

// A fresh box waits longer before each further campaign. Otherwise slow boxes would
// never elect a leader: each campaign would restart before its answers arrive.
func TestFreshBoxBacksOffBetweenCampaigns(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	m := g.members["a"]
	last := m.core.opts.ElectionTimeout / freshWaitDivisor / 2
	for try := range maxFreshAttempts + 2 {
		wait := m.core.electionDeadline - g.now
		if wait < last || wait < min(testElection, 2*last) {
			t.Fatalf("campaign %d waits %s, minimum wait of the one before is %s", try, wait, last)
		}
		last = min(testElection, 2*last)
		g.now = m.core.electionDeadline
		m.core.Tick(g.now)
		m.core.TakeOutput()
	}
}
