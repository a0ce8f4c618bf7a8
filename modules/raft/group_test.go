// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"
	"maps"
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

// member is a Core with a simulated disk and the entries that were applied.
type member struct {
	core     *Core
	name     string
	snapshot []byte
	records  [][]byte
	applied  []string
	down     bool
	// frozen members do nothing while the clock advances.
	frozen     bool
	diskLosses int
}

// message is a request in flight, or its answer once answer is set.
type message struct {
	from    string
	request Request
	answer  proto.Message
}

// group is a simulated control group. Its network can drop, duplicate and reorder
// messages.
type group struct {
	t rapid.TB
	// random draws the schedule; it is nil in tests with a fixed schedule.
	random  *rapid.T
	now     time.Duration
	names   []string
	members map[string]*member
	network []message
	// isLost reports whether the network loses a message; nil if it loses none.
	isLost func(message) bool
	// committed are the entries that any member has applied, in log order.
	committed []string
	// committedAt is when each of them was first applied.
	committedAt []time.Duration
	// earlier are the members of a version that neither sends nor reads clock readings.
	earlier map[string]bool
	// memberships are the members after each of the committed entries, the founders first.
	memberships []map[string]string
	// leaders maps each term to its leader.
	leaders  map[uint64]string
	proposed int
	seed     int64
	// size is the desired number of members, zero for a fixed set.
	size int
}

func newGroup(t rapid.TB, names ...string) *group {
	return newGroupWithSpares(t, 0, names...)
}

// newGroupWithSpares returns a group whose members are the first size boxes; the
// others know the members and may join. With size zero all boxes are members and
// the set never changes.
func newGroupWithSpares(t rapid.TB, size int, names ...string) *group {
	g := &group{t: t, now: time.Hour, names: names, members: map[string]*member{}, leaders: map[uint64]string{}, size: size}
	identity := map[string]string{}
	for i, name := range names {
		if size == 0 || i < size {
			identity[name] = name + "-0"
		}
	}
	g.memberships = []map[string]string{identity}
	for _, name := range names {
		m := &member{name: name}
		id := &betweenv1.Identity{Incarnation: name + "-0", Members: membersToProto(identity), MembersIndex: proto.Uint64(0)}
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

// boot starts or restarts a member from its disk.
func (g *group) boot(m *member) {
	stored, err := replay(wal.Content{Snapshot: m.snapshot, Records: m.records})
	if err != nil {
		g.t.Fatal(err)
	}
	g.seed++
	m.core = New(Options{Self: m.name, Members: g.names, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Rand: rand.New(rand.NewSource(g.seed)), GroupSize: g.size, ReplaceAfter: testReplace}, stored, g.now)
	m.applied = split(stored.Snapshot)
	m.down = false
}

func split(snapshot []byte) []string {
	if len(snapshot) == 0 {
		return nil
	}
	return strings.Split(string(snapshot), "\n")
}

// run runs decide on a member's Core and processes the output. With crash set, the
// box crashes after it has stored and applied, and before it sends.
func (g *group) run(m *member, decide func(c *Core), crash bool) {
	decide(m.core)
	out := m.core.TakeOutput()
	if out.Restore != nil {
		m.snapshot, _ = encodeSnapshot(m.core, out.Restore.GetData())
		m.records = nil
		m.applied = split(out.Restore.GetData())
	}
	for _, r := range out.Records {
		m.records = append(m.records, encode(g.t, r))
	}
	for _, e := range out.Committed {
		m.applied = append(m.applied, fmt.Sprintf("%d:%x", e.GetTerm(), e.GetData()))
		g.recordApplied(m, e)
	}
	if crash {
		m.down = true
		return
	}
	for _, r := range out.Requests {
		if r.Append != nil && g.earlier[m.name] {
			r.Append.Heard = nil
		}
		g.network = append(g.network, message{from: m.name, request: r})
	}
}

// recordApplied checks that an applied entry is the same as on every other member.
func (g *group) recordApplied(m *member, e *betweenv1.LogEntry) {
	index := int(e.GetIndex())
	if index != len(m.applied) {
		g.t.Fatalf("%s applied entry %d at position %d", m.name, index, len(m.applied))
	}
	value := m.applied[index-1]
	if index <= len(g.committed) {
		if g.committed[index-1] != value {
			g.t.Fatalf("%s applied %q at %d, another member applied %q", m.name, value, index, g.committed[index-1])
		}
		return
	}
	g.committed = append(g.committed, value)
	g.committedAt = append(g.committedAt, g.now)
	members := maps.Clone(g.memberships[index-1])
	if _, known := members[memberOf(e).GetBox()]; isChange(e) || e.GetKind() == betweenv1.LogEntry_KIND_MEMBER && known {
		applyChange(members, e)
	}
	g.memberships = append(g.memberships, members)
}

// checkMembers verifies that the committed members of a box are those of the log up
// to the index that it states.
func (g *group) checkMembers(m *member) {
	want := g.memberships[m.core.membersIndex]
	if !maps.Equal(m.core.members, want) {
		g.t.Fatalf("%s has the members %v at index %d, want %v", m.name, m.core.members, m.core.membersIndex, want)
	}
}

// checkCaughtUp verifies that a box has applied all entries that were committed before the
// time as of which it is caught up.
func (g *group) checkCaughtUp(m *member) {
	at := m.core.CaughtUpAt(g.now)
	if at > g.now {
		g.t.Fatalf("%s is caught up as of %s from now", m.name, at-g.now)
	}
	if i := len(m.applied); i < len(g.committed) && g.committedAt[i] < at {
		g.t.Fatalf("%s is caught up as of %s after entry %d was committed, which it lacks", m.name, at-g.committedAt[i], i+1)
	}
}

// deliver delivers a message, and queues the answer when it is a request. Messages
// to a member that is down or frozen are lost.
func (g *group) deliver(msg message) {
	to := g.members[msg.request.To]
	if msg.answer != nil {
		to = g.members[msg.from]
	}
	if to.down || to.frozen || g.isLost != nil && g.isLost(msg) {
		return
	}
	if msg.answer != nil {
		g.run(to, func(c *Core) { g.handleResponse(c, msg) }, false)
		return
	}
	g.run(to, func(c *Core) {
		switch {
		case msg.request.Vote != nil:
			msg.answer = c.HandleVote(msg.request.Vote, g.now)
		case msg.request.Append != nil:
			msg.answer = g.handleAppend(to, msg.request.Append)
		default:
			msg.answer = c.HandleInstall(msg.request.Install, g.now)
		}
	}, false)
	g.network = append(g.network, msg)
}

func (g *group) handleAppend(m *member, r *betweenv1.AppendRequest) *betweenv1.AppendResponse {
	if !g.earlier[m.name] {
		return m.core.HandleAppend(r, g.now)
	}
	r = proto.CloneOf(r)
	r.Heard = nil
	resp := m.core.HandleAppend(r, g.now)
	resp.Reading = nil
	return resp
}

func (g *group) handleResponse(c *Core, msg message) {
	switch answer := msg.answer.(type) {
	case *betweenv1.VoteResponse:
		c.HandleVoteResponse(msg.request.To, msg.request.Vote, answer, g.now)
	case *betweenv1.AppendResponse:
		c.HandleAppendResponse(msg.request.To, msg.request.Append, answer, msg.request.SentAt, g.now)
	case *betweenv1.InstallResponse:
		c.HandleInstallResponse(msg.request.To, msg.request.Install, answer, msg.request.SentAt, g.now)
	}
}

// check verifies the invariants: each term has at most one leader, at most one box
// holds a lease, the members of each box are those of the log, and none is caught up
// as of a time at which it lacked committed entries.
func (g *group) check() {
	leases := 0
	for _, name := range g.names {
		m := g.members[name]
		if m.down {
			continue
		}
		g.checkMembers(m)
		g.checkCaughtUp(m)
		if m.core.role == Leader {
			if other := g.leaders[m.core.term]; other != "" && other != name {
				g.t.Fatalf("%s and %s are both leader in term %d", name, other, m.core.term)
			}
			g.leaders[m.core.term] = name
		}
		// Frozen leaders are included, since their lease remains valid on their
		// clock.
		if m.core.Lease(g.now) > g.now {
			leases++
		}
	}
	if leases > 1 {
		g.t.Fatalf("%d boxes hold a lease at the same time", leases)
	}
}

func (g *group) pick(label string) *member {
	return g.members[rapid.SampledFrom(g.names).Draw(g.random, label)]
}

func (g *group) tick() {
	g.now += time.Duration(rapid.IntRange(1, 30).Draw(g.random, "ms")) * time.Millisecond
	for _, name := range g.names {
		if m := g.members[name]; !m.down && !m.frozen {
			g.run(m, func(c *Core) { c.Tick(g.now) }, false)
		}
	}
}
