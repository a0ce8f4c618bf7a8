// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/wal"
	"havenwinch.dev/havenwinch/tests/seeded"
)

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
	testReplace   = 120 * time.Millisecond
)

func TestMain(m *testing.M) { seeded.Main(m) }

// member is a Core with a disk and a machine that lists what was applied.
type member struct {
	core     *Core
	name     string
	snapshot []byte
	records  [][]byte
	applied  []string
	down     bool
	// asleep members do nothing while the clock goes on, as when frozen.
	asleep bool
	wipes  int
}

// message is a request or an answer on its way.
type message struct {
	from   string
	r      Request
	answer proto.Message
}

// group is a control group on a network that loses, repeats and reorders.
type group struct {
	t rapid.TB
	// random draws the schedule; it is nil in tests with a fixed one.
	random  *rapid.T
	now     time.Duration
	names   []string
	members map[string]*member
	network []message
	// committed is what any member has ever applied, by index.
	committed []string
	leaders   map[uint64]string
	proposed  int
	seed      int64
	// size is how many members the group should have, zero for a fixed set.
	size int
}

func newGroup(t rapid.TB, names ...string) *group {
	return newGroupWithSpares(t, 0, names...)
}

// newGroupWithSpares makes a group of the first boxes; the others know it and
// may join. With no size all boxes are members for good.
func newGroupWithSpares(t rapid.TB, size int, names ...string) *group {
	g := &group{t: t, now: time.Hour, names: names, members: map[string]*member{}, leaders: map[uint64]string{}, size: size}
	identity := map[string]string{}
	for i, name := range names {
		if size == 0 || i < size {
			identity[name] = name + "-0"
		}
	}
	for _, name := range names {
		m := &member{name: name}
		id := &betweenv1.Identity{Incarnation: name + "-0", Members: listMembers(identity)}
		m.records = [][]byte{encode(t, &betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: id}})}
		g.members[name] = m
		g.boot(m)
	}
	return g
}

func encode(t rapid.TB, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// boot starts a member from its disk.
func (g *group) boot(m *member) {
	stored, err := replay(wal.Content{Snapshot: m.snapshot, Records: m.records})
	if err != nil {
		g.t.Fatal(err)
	}
	g.seed++
	m.core = New(Options{Self: m.name, Members: g.names, Election: testElection, Heartbeat: testHeartbeat, Rand: rand.New(rand.NewSource(g.seed)), Size: g.size, Replace: testReplace}, stored, g.now)
	m.applied = split(stored.Snapshot)
	m.down = false
}

func split(snapshot []byte) []string {
	if len(snapshot) == 0 {
		return nil
	}
	return strings.Split(string(snapshot), "\n")
}

// act lets a member decide and carries out what it wants; with lose, the box
// dies after it has stored and before it sends.
func (g *group) act(m *member, decide func(c *Core), lose bool) {
	decide(m.core)
	out := m.core.Take()
	if out.Restore != nil {
		m.snapshot, _ = snapshotOf(m.core, out.Restore.GetData())
		m.records = nil
		m.applied = split(out.Restore.GetData())
	}
	for _, r := range out.Records {
		m.records = append(m.records, encode(g.t, r))
	}
	for _, e := range out.Committed {
		m.applied = append(m.applied, fmt.Sprintf("%d:%x", e.GetTerm(), e.GetData()))
		g.note(m, int(e.GetIndex()))
	}
	if lose {
		m.down = true
		return
	}
	for _, r := range out.Requests {
		g.network = append(g.network, message{from: m.name, r: r})
	}
}

// note checks that an applied entry is what every other member has applied.
func (g *group) note(m *member, index int) {
	if index != len(m.applied) {
		g.t.Fatalf("%s applied entry %d as number %d", m.name, index, len(m.applied))
	}
	value := m.applied[index-1]
	if index <= len(g.committed) {
		if g.committed[index-1] != value {
			g.t.Fatalf("%s applied %q at %d, another %q", m.name, value, index, g.committed[index-1])
		}
		return
	}
	g.committed = append(g.committed, value)
}

// deliver hands a message over and puts the answer on the network.
func (g *group) deliver(msg message) {
	to := g.members[msg.r.To]
	if msg.answer != nil {
		to = g.members[msg.from]
	}
	if to.down || to.asleep {
		return
	}
	if msg.answer != nil {
		g.act(to, func(c *Core) { g.reply(c, msg) }, false)
		return
	}
	g.act(to, func(c *Core) {
		switch {
		case msg.r.Vote != nil:
			msg.answer = c.HandleVote(msg.r.Vote, g.now)
		case msg.r.Append != nil:
			msg.answer = c.HandleAppend(msg.r.Append, g.now)
		default:
			msg.answer = c.HandleInstall(msg.r.Install, g.now)
		}
	}, false)
	g.network = append(g.network, msg)
}

func (g *group) reply(c *Core, msg message) {
	switch answer := msg.answer.(type) {
	case *betweenv1.VoteResponse:
		c.VoteReply(msg.r.To, msg.r.Vote, answer, g.now)
	case *betweenv1.AppendResponse:
		c.AppendReply(msg.r.To, msg.r.Append, answer, msg.r.SentAt, g.now)
	case *betweenv1.InstallResponse:
		c.InstallReply(msg.r.To, msg.r.Install, answer, msg.r.SentAt, g.now)
	}
}

// check verifies what must hold after every step.
func (g *group) check() {
	leases := 0
	for _, name := range g.names {
		m := g.members[name]
		if m.down {
			continue
		}
		if m.core.role == Leader {
			if other := g.leaders[m.core.term]; other != "" && other != name {
				g.t.Fatalf("%s and %s both lead term %d", name, other, m.core.term)
			}
			g.leaders[m.core.term] = name
		}
		// A frozen leader counts too: its lease goes on as its clock does.
		if m.core.Lease(g.now) > g.now {
			leases++
		}
	}
	if leases > 1 {
		g.t.Fatalf("%d boxes hold a lease at once", leases)
	}
}

func (g *group) pick(label string) *member {
	return g.members[rapid.SampledFrom(g.names).Draw(g.random, label)]
}

func (g *group) tick() {
	g.now += time.Duration(rapid.IntRange(1, 30).Draw(g.random, "ms")) * time.Millisecond
	for _, name := range g.names {
		if m := g.members[name]; !m.down && !m.asleep {
			g.act(m, func(c *Core) { c.Tick(g.now) }, false)
		}
	}
}
