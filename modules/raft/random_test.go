// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// weightedSteps are the steps of a random schedule. Each item is drawn with the
// same probability, so repeated ones are more likely.
var weightedSteps = strings.Fields(strings.Repeat("deliver ", 14) + strings.Repeat("tick ", 5) +
	"drop duplicate propose propose crash boot boot reboot freeze thaw thaw compact wipe timeout")

func (g *group) randomStep() {
	switch rapid.SampledFrom(weightedSteps).Draw(g.random, "step") {
	case "tick":
		g.tick()
	case "deliver":
		g.withRandomMessage(func(msg message, rest []message) { g.network = rest; g.deliver(msg) })
	case "drop":
		g.withRandomMessage(func(msg message, rest []message) {
			g.network = rest
			if m := g.members[msg.from]; !m.down {
				m.core.HandleSendFailure(msg.request.To)
			}
		})
	case "duplicate":
		g.withRandomMessage(func(msg message, _ []message) { g.deliver(msg) })
	case "propose":
		g.propose(rapid.Bool().Draw(g.random, "crash"))
	case "crash":
		g.pick("crash").down = true
	case "boot":
		if m := g.pick("boot"); m.down {
			g.boot(m)
		}
	case "freeze":
		g.pick("freeze").frozen = true
	case "thaw":
		g.pick("thaw").frozen = false
	case "reboot":
		if m := g.pick("reboot"); !m.down {
			g.boot(m)
		}
	case "timeout":
		// The clock of one member alone jumps to its election deadline. Leases
		// assume that clocks run at the same rate: they are violated, with any set
		// of members, by a jump of a member that has acknowledged a leader, and by
		// a leader whose heartbeats carry a send time later than their arrival. So
		// the step excludes leaders and members with a contact to a leader within
		// the last election timeout.
		if m := g.pick("timeout"); !m.down && !m.frozen && m.core.role != Leader && g.now-m.core.lastContact >= testElection {
			g.run(m, func(c *Core) { c.Tick(c.electionDeadline) }, false)
		}
	case "compact":
		g.compact(g.pick("compact"))
	case "wipe":
		g.wipe(g.pick("wipe"))
	}
}

func (g *group) withRandomMessage(do func(msg message, rest []message)) {
	if len(g.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.network)-1).Draw(g.random, "message")
	msg := g.network[i]
	rest := append(append([]message(nil), g.network[:i]...), g.network[i+1:]...)
	do(msg, rest)
}

func (g *group) propose(crash bool) {
	for _, name := range g.names {
		m := g.members[name]
		if m.down || m.frozen || m.core.role != Leader {
			continue
		}
		g.proposed++
		g.run(m, func(c *Core) {
			_, _, _ = c.Propose(fmt.Appendf(nil, "p%d", g.proposed), g.now)
			c.Flush(g.now)
		}, crash && g.proposed%7 == 0)
	}
}

func (g *group) compact(m *member) {
	if m.down || len(m.applied) == 0 {
		return
	}
	data := []byte(strings.Join(m.applied, "\n"))
	m.core.Compact(uint64(len(m.applied)), data)
	m.snapshot, _ = encodeSnapshot(m.core, data)
	m.records = nil
	for _, e := range m.core.log.list {
		m.records = append(m.records, encode(g.t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}}))
	}
}

// wipe loses a member's disk, but only when every member is up, has admitted the
// disks of all and knows no other change, so that no second disk is lost before the
// first one is recovered.
func (g *group) wipe(m *member) {
	current := g.memberships[len(g.memberships)-1]
	if _, found := current[m.name]; !found {
		return
	}
	for name, incarnation := range current {
		c := g.members[name].core
		if g.members[name].down || c.incarnation != incarnation || !maps.Equal(c.effectiveMembers, current) || !maps.Equal(c.members, current) {
			return
		}
	}
	g.loseDisk(m)
}

// settle ends all faults and runs the group until it is stable.
func (g *group) settle() {
	for _, name := range g.names {
		m := g.members[name]
		m.frozen = false
		if m.down {
			g.boot(m)
		}
	}
	for range 400 {
		g.now += 5 * time.Millisecond
		for _, name := range g.names {
			g.run(g.members[name], func(c *Core) { c.Tick(g.now) }, false)
		}
		for n := 0; len(g.network) > 0 && n < 200; n++ {
			msg := g.network[0]
			g.network = g.network[1:]
			g.deliver(msg)
		}
	}
}

// TestRandomSchedules runs a group through random schedules of crashes, freezes
// and lost disks on a network that drops, duplicates and reorders messages.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		g := newGroup(t, names...)
		g.random = t
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			g.randomStep()
			g.check()
		}
		g.settle()
		g.check()
		g.propose(false)
		g.settle()
		for _, name := range names {
			m := g.members[name]
			if len(m.applied) != len(g.committed) {
				t.Fatalf("%s has applied %d of %d entries after all faults ended", name, len(m.applied), len(g.committed))
			}
			if !m.core.IsVoter() {
				t.Fatalf("%s is not a voter after all faults ended", name)
			}
		}
	})
}

// requestJoin makes a box that is not a member ask all others to join as a learner.
func (g *group) requestJoin(m *member) {
	if m.down || m.frozen || m.core.IsVoter() {
		return
	}
	for _, name := range g.names {
		if leader := g.members[name]; !leader.down && !leader.frozen {
			_ = leader.core.Join(m.name, g.now)
		}
	}
}

// queryMembership lets a box learn from another one that the group has removed it.
func (g *group) queryMembership(m, other *member) {
	if m.down || m.frozen || other.down || other.frozen {
		return
	}
	g.run(m, func(c *Core) { c.Leave(other.core.members, other.core.membersIndex, g.now) }, false)
}

// TestRandomMembership runs a group through random schedules in which members are
// silent for long and are replaced by boxes that are not members.
func TestRandomMembership(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroupWithSpares(t, 3, "a", "b", "c", "d", "e")
		g.random = t
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "step", "join", "join", "ask", "quiet", "restart"}).Draw(t, "kind") {
			case "join":
				g.requestJoin(g.pick("joining"))
			case "ask":
				g.queryMembership(g.pick("asking"), g.pick("answering"))
			case "restart":
				g.restart(g.names...)
			case "quiet":
				g.runRounds(rapid.IntRange(1, 60).Draw(t, "rounds"))
			default:
				g.randomStep()
			}
			g.check()
		}
		for _, name := range g.names {
			g.members[name].frozen = false
		}
		for range 4 {
			for _, name := range g.names {
				g.requestJoin(g.members[name])
			}
			g.settle()
			g.check()
		}
		g.propose(false)
		g.settle()
		leader := g.leader()
		if leader == nil {
			t.Fatal("no leader after all faults ended")
		}
		for name := range leader.core.effectiveMembers {
			if m := g.members[name]; len(m.applied) != len(g.committed) {
				t.Fatalf("%s has applied %d of %d entries after all faults ended", name, len(m.applied), len(g.committed))
			}
			if name > "c" {
				changed++
			}
		}
	})
	if changed == 0 {
		t.Fatal("no schedule changed the members")
	}
}

// runRounds lets time pass and delivers messages; boxes that are down or frozen
// stay so.
func (g *group) runRounds(rounds int) {
	for range rounds {
		g.now += 5 * time.Millisecond
		for _, name := range g.names {
			if m := g.members[name]; !m.down && !m.frozen {
				g.run(m, func(c *Core) { c.Tick(g.now) }, false)
				g.requestJoin(m)
			}
		}
		for n := 0; len(g.network) > 0 && n < 200; n++ {
			msg := g.network[0]
			g.network = g.network[1:]
			g.deliver(msg)
		}
	}
}

// settledGroup returns a stable group of three members with a leader.
