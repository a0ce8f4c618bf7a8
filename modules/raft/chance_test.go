// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// steps are drawn from evenly, so those that stand often happen often.
var steps = strings.Fields(strings.Repeat("deliver ", 14) + strings.Repeat("tick ", 5) +
	"drop repeat propose propose crash boot boot reboot freeze thaw thaw compact wipe rush")

func (g *group) step() {
	switch rapid.SampledFrom(steps).Draw(g.random, "step") {
	case "tick":
		g.tick()
	case "deliver":
		g.take(func(msg message, rest []message) { g.network = rest; g.deliver(msg) })
	case "drop":
		g.take(func(msg message, rest []message) {
			g.network = rest
			if m := g.members[msg.from]; !m.down {
				m.core.Failed(msg.r.To)
			}
		})
	case "repeat":
		g.take(func(msg message, _ []message) { g.deliver(msg) })
	case "propose":
		g.propose(rapid.Bool().Draw(g.random, "lose"))
	case "crash":
		g.pick("crash").down = true
	case "boot":
		if m := g.pick("boot"); m.down {
			g.boot(m)
		}
	case "freeze":
		g.pick("freeze").asleep = true
	case "thaw":
		g.pick("thaw").asleep = false
	case "reboot":
		if m := g.pick("reboot"); !m.down {
			g.boot(m)
		}
	case "rush":
		// One member's clock alone runs into an election. Leases rest on clocks
		// of one speed: a member that has acknowledged a leader and whose clock
		// then jumps breaks them with any set of members, and so does a leader
		// that dates its heartbeats ahead of the time at which they arrive. So only one
		// that has heard nothing for an election time rushes, and none that leads.
		if m := g.pick("rush"); !m.down && !m.asleep && m.core.role != Leader && g.now-m.core.heard >= testElection {
			g.act(m, func(c *Core) { c.Tick(c.due) }, false)
		}
	case "compact":
		g.compact(g.pick("compact"))
	case "wipe":
		if g.size == 0 {
			g.wipe(g.pick("wipe"))
		}
	}
}

func (g *group) take(do func(msg message, rest []message)) {
	if len(g.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.network)-1).Draw(g.random, "message")
	msg := g.network[i]
	rest := append(append([]message(nil), g.network[:i]...), g.network[i+1:]...)
	do(msg, rest)
}

func (g *group) propose(lose bool) {
	for _, name := range g.names {
		m := g.members[name]
		if m.down || m.asleep || m.core.role != Leader {
			continue
		}
		g.proposed++
		g.act(m, func(c *Core) {
			_, _, _ = c.Propose(fmt.Appendf(nil, "p%d", g.proposed), g.now)
			c.Flush(g.now)
		}, lose && g.proposed%7 == 0)
	}
}

func (g *group) compact(m *member) {
	if m.down || len(m.applied) == 0 {
		return
	}
	data := []byte(strings.Join(m.applied, "\n"))
	m.core.Compact(uint64(len(m.applied)), data)
	m.snapshot, _ = snapshotOf(m.core, data)
	m.records = nil
	for _, e := range m.core.log.list {
		m.records = append(m.records, encode(g.t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}}))
	}
}

// wipe loses a member's disk. The next disk may only be lost once the last one
// is repaired: when all disks are admitted at all members.
func (g *group) wipe(m *member) {
	for _, name := range g.names {
		other := g.members[name]
		if other.down {
			return
		}
		for _, admitted := range g.names {
			if other.core.members[admitted] != g.members[admitted].core.incarnation {
				return
			}
		}
	}
	g.loseDisk(m)
}

// settle ends all faults and lets the group come to rest.
func (g *group) settle() {
	for _, name := range g.names {
		m := g.members[name]
		m.asleep = false
		if m.down {
			g.boot(m)
		}
	}
	for range 400 {
		g.now += 5 * time.Millisecond
		for _, name := range g.names {
			g.act(g.members[name], func(c *Core) { c.Tick(g.now) }, false)
		}
		for n := 0; len(g.network) > 0 && n < 200; n++ {
			msg := g.network[0]
			g.network = g.network[1:]
			g.deliver(msg)
		}
	}
}

// TestRandomSchedules runs the log over random schedules of crashes, freezes,
// lost disks and a network that loses, repeats and reorders.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		g := newGroup(t, names...)
		g.random = t
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			g.step()
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
			if !m.core.Member() {
				t.Fatalf("%s was not admitted again", name)
			}
		}
	})
}

// joins lets a box that is no member ask all others to follow.
func (g *group) joins(m *member) {
	if m.down || m.asleep || m.core.Member() {
		return
	}
	for _, name := range g.names {
		if leader := g.members[name]; !leader.down && !leader.asleep {
			_ = leader.core.Join(m.name, g.now)
		}
	}
}

// asks lets a box find out from another that the group goes on without it.
func (g *group) asks(m, other *member) {
	if m.down || m.asleep || other.down || other.asleep {
		return
	}
	g.act(m, func(c *Core) { c.Leave(other.core.members, other.core.commit, g.now) }, false)
}

// TestRandomMembership runs the log over random schedules in which members fall
// silent for long and boxes that are none take their places.
func TestRandomMembership(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGroupWithSpares(t, 3, "a", "b", "c", "d", "e")
		g.random = t
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "step", "join", "join", "ask", "quiet"}).Draw(t, "kind") {
			case "join":
				g.joins(g.pick("joins"))
			case "ask":
				g.asks(g.pick("asks"), g.pick("answers"))
			case "quiet":
				g.rest(rapid.IntRange(1, 60).Draw(t, "rounds"))
			default:
				g.step()
			}
			g.check()
		}
		for _, name := range g.names {
			g.members[name].asleep = false
		}
		for range 4 {
			for _, name := range g.names {
				g.joins(g.members[name])
			}
			g.settle()
			g.check()
		}
		g.propose(false)
		g.settle()
		leader := g.leader()
		if leader == nil {
			t.Fatal("nobody leads after all faults ended")
		}
		for name := range leader.core.group {
			if m := g.members[name]; len(m.applied) != len(g.committed) {
				t.Fatalf("%s has applied %d of %d entries after all faults ended", name, len(m.applied), len(g.committed))
			}
			if name > "c" {
				changed++
			}
		}
	})
	if changed == 0 {
		t.Fatal("no schedule has changed the members")
	}
}

// rest lets time pass and messages arrive, with what is down or asleep as it is.
func (g *group) rest(rounds int) {
	for range rounds {
		g.now += 5 * time.Millisecond
		for _, name := range g.names {
			if m := g.members[name]; !m.down && !m.asleep {
				g.act(m, func(c *Core) { c.Tick(g.now) }, false)
				g.joins(m)
			}
		}
		for n := 0; len(g.network) > 0 && n < 200; n++ {
			msg := g.network[0]
			g.network = g.network[1:]
			g.deliver(msg)
		}
	}
}

// quietGroup returns a group at rest, with a leader.
