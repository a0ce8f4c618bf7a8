// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/wal"
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
		s.append.Leader, s.append.Heard = leader.name, c.clockReading(g.now)
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

func (g *group) followers() []*member {
	leader, list := g.leader(), []*member(nil)
	for _, name := range g.names {
		if m := g.members[name]; m != leader {
			list = append(list, m)
		}
	}
	return list
}

// Guards against a leader that lost its lease, lacks what another one has committed, and makes its
// followers count as caught up.
func TestFollowerOfALeaderWithoutLeaseIsNotCaughtUp(t *testing.T) {
	g := newGroup(t, "a", "b", "c", "d", "e")
	g.settle()
	old, follower := g.leader(), g.followers()[0]
	apart := func(name string) bool { return name == old.name || name == follower.name }
	g.isLost = func(msg message) bool { return apart(msg.from) != apart(msg.request.To) }
	committed, seen := len(g.committed), false
	for range 60 {
		g.runRounds(1)
		g.propose(false)
		g.check()
		seen = seen || old.core.role == Leader && follower.core.leader == old.name && len(g.committed) > committed
	}
	if !seen {
		t.Fatal("no other leader committed an entry while the old one still led a follower")
	}
}

// Guards against readings of a machine's clock before it started again, which are greater or less than
// those of now.
func TestReadingsOfAFormerProcessDoNotCount(t *testing.T) {
	for name, now := range map[string]time.Duration{"clock goes on": 2 * time.Hour, "clock begins anew": time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := settledGroup(t)
			leader, m := g.leader(), g.followers()[0]
			former := m.core.clockReading(g.now)
			stored, err := replay(wal.Content{Snapshot: m.snapshot, Records: m.records})
			if err != nil {
				t.Fatal(err)
			}
			c := New(m.core.opts, stored, now)
			last, term := leader.core.log.last(), leader.core.term
			hears := func(r *betweenv1.ClockReading, at time.Duration) time.Duration {
				c.HandleAppend(&betweenv1.AppendRequest{Term: term, Leader: leader.name, PrevIndex: last, PrevTerm: term, Commit: last, Heard: r}, at)
				return c.CaughtUpAt(at)
			}
			if got := hears(former, now+2*time.Hour); got != 0 {
				t.Errorf("caught up as of %s by a reading of its former process", got)
			}
			p := &progress{}
			p.recordReading(former)
			p.recordReading(c.clockReading(now + time.Second))
			if got := hears(p.reading, now+2*time.Hour); got != now+time.Second {
				t.Errorf("caught up as of %s, want %s", got, now+time.Second)
			}
		})
	}
}

// Guards against a rolling upgrade that leaves control boxes out of step, and against the news of a
// leader of an earlier version that are read after a pause.
func TestGroupOfTwoVersionsIsCaughtUp(t *testing.T) {
	tests := map[string]func(leader string, followers []*member) map[string]bool{
		"leader of an earlier version": func(leader string, _ []*member) map[string]bool { return map[string]bool{leader: true} },
		"follower of an earlier version": func(_ string, followers []*member) map[string]bool {
			return map[string]bool{followers[0].name: true}
		},
		"leader and a follower of an earlier version": func(leader string, followers []*member) map[string]bool {
			return map[string]bool{leader: true, followers[0].name: true}
		},
	}
	for name, earlier := range tests {
		t.Run(name, func(t *testing.T) {
			g := settledGroup(t)
			followers := g.followers()
			g.earlier = earlier(g.leader().name, followers)
			m := followers[1]
			g.runRounds(40)
			g.checkAges(2 * testHeartbeat)
			c := g.leader().core
			last := c.log.last()
			waiting, madeAt := &betweenv1.AppendRequest{Term: c.term, Leader: g.leader().name, PrevIndex: last, PrevTerm: c.term, Commit: last}, g.now
			if !g.earlier[g.leader().name] {
				waiting.Heard = c.heardFrom(c.peers[m.name], g.now)
			}
			g.now += time.Second
			for range 2 {
				g.run(m, func(c *Core) { c.HandleAppend(waiting, g.now) }, false)
				g.run(m, func(c *Core) { c.Tick(g.now) }, false)
			}
			if got := m.core.CaughtUpAt(g.now); got > madeAt {
				t.Errorf("caught up %s after the leader made its message", got-madeAt)
			}
			g.settle()
			g.checkAges(2 * testHeartbeat)
		})
	}
}

// checkAges verifies that every member was caught up not longer ago than limit.
func (g *group) checkAges(limit time.Duration) {
	for _, name := range g.names {
		if age := g.now - g.members[name].core.CaughtUpAt(g.now); age > limit {
			g.t.Errorf("%s was caught up %s ago, want at most %s", name, age, limit)
		}
	}
}

// Guards against news of control boxes that are older than entry boxes allow: a quiet group makes them
// at each heartbeat, late by a tick at most, and they take the way there and back.
func TestAgeOfFollowersInAQuietGroup(t *testing.T) {
	const election, heartbeat, tick, settled = 700 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond, 5 * time.Second
	for name, delay := range map[string]time.Duration{"no delay": 0, "5 ms": 5 * time.Millisecond, "40 ms": 40 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, "a", "b", "c")
			for _, m := range g.members {
				m.core.opts.ElectionTimeout, m.core.opts.HeartbeatInterval = election, heartbeat
			}
			var sum, most, count time.Duration
			begin := g.now
			g.play(20*time.Second, tick, delay, func() {
				if g.now < begin+settled {
					return
				}
				for _, m := range g.followers() {
					age := g.now - m.core.CaughtUpAt(g.now)
					sum, most, count = sum+age, max(most, age), count+1
				}
			})
			if limit := heartbeat + tick + 2*delay; most > limit {
				t.Errorf("a follower was caught up %s ago, want at most %s", most, limit)
			}
			t.Logf("caught up %s ago on average, %s at most", sum/count, most)
		})
	}
}

// timedMessage is a message that arrives at a time.
type timedMessage struct {
	message
	at time.Duration
}

// play runs the members for a time, each at its own phase of the ticks, on a network that delivers each
// message after a delay. It calls look every millisecond.
func (g *group) play(length, tick, delay time.Duration, look func()) {
	var due []timedMessage
	for end := g.now + length; g.now < end; g.now += time.Millisecond {
		for i, name := range g.names {
			if (g.now+time.Duration(7*i)*time.Millisecond)%tick == 0 {
				g.run(g.members[name], func(c *Core) { c.Tick(g.now) }, false)
			}
		}
		due = g.schedule(due, delay)
		for len(due) > 0 && due[0].at <= g.now {
			msg := due[0].message
			due = due[1:]
			g.deliver(msg)
			due = g.schedule(due, delay)
		}
		g.check()
		look()
	}
}

// schedule moves the messages of the network to the end of those that are due.
func (g *group) schedule(due []timedMessage, delay time.Duration) []timedMessage {
	for _, msg := range g.network {
		due = append(due, timedMessage{message: msg, at: g.now + delay})
	}
	g.network = nil
	return due
}
