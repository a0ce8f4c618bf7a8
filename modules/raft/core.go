// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package raft is a replicated log after Ongaro and Ousterhout, "In Search of
// an Understandable Consensus Algorithm" (2014), with pre-vote, leader leases
// and check-quorum from Ongaro's dissertation.
//
// One thing is added: every disk has an incarnation, a random name that is
// lost with it. Acknowledgements and votes of a box count only under the
// incarnation that the log has admitted. A box that comes back empty follows
// without a vote until the others have committed its new incarnation, which
// they do only after it holds every committed entry.
//
// Core decides and does no I/O: time and random numbers are passed in, and
// what must be stored and sent comes out of Take. Node drives a Core.
package raft

import (
	"math/rand"
	"sort"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Role is what a box currently does in the group.
type Role int

// Roles of a box.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Options configure a Core.
type Options struct {
	// Self is this box's name, one of Members.
	Self string
	// Members are the names of all control boxes, this one included.
	Members []string
	// Election is the shortest time without a leader before an election; the
	// actual time lies between it and its double.
	Election time.Duration
	// Heartbeat is the time between signs of life of a leader.
	Heartbeat time.Duration
	// Size is how many members the group should have; zero never changes them.
	Size int
	// Replace is how long a member must be silent to be replaced.
	Replace time.Duration
	// Rand spreads election times.
	Rand *rand.Rand
}

// leaseShare is the part of the shortest election time for which a leader may
// rely on a quorum's acknowledgement. The rest is the margin for clocks that
// run at different rates.
const leaseShare = 0.8

// maxAppend bounds the entries of one message.
const maxAppend = 512

// Request is a message to another member.
type Request struct {
	To string
	// SentAt is the boot time of sending; leases count from it.
	SentAt  time.Duration
	Vote    *betweenv1.VoteRequest
	Append  *betweenv1.AppendRequest
	Install *betweenv1.InstallRequest
}

// Output is what a Core wants done, in this order: store, apply, send.
type Output struct {
	Records   []*betweenv1.LogRecord
	Restore   *betweenv1.InstallRequest
	Committed []*betweenv1.LogEntry
	Requests  []Request
}

// progress is what a leader knows of one member.
type progress struct {
	incarnation string
	next        uint64
	match       uint64
	// acked is the send time of the newest message that was acknowledged.
	acked time.Duration
	sent  time.Duration
	// waiting is true while a message is on its way.
	waiting bool
}

// Core is the state of one member.
type Core struct {
	opts        Options
	incarnation string
	members     map[string]string
	role        Role
	term        uint64
	vote        string
	leader      string
	log         entries
	commit      uint64
	released    uint64
	// heard is when a leader was last heard of, due when to start an election.
	heard time.Duration
	// stepped is when this box last had all that its leader had committed.
	stepped time.Duration
	due     time.Duration
	// since is when this box became leader.
	since    time.Duration
	votes    map[string]bool
	peers    map[string]*progress
	out      Output
	snapshot []byte
	// group are the members in force, changes those of them in the log that are
	// not committed.
	group   map[string]string
	changes []*betweenv1.LogEntry
	// learners holds when boxes that are no members last asked to join.
	learners map[string]time.Duration
	// left is set when the group goes on without this box.
	left bool
	// fresh is set until this box, since it started, has led or followed.
	fresh bool
	// freshAnswers are the members that have answered the present pre-vote that
	// they are fresh, allFresh that all have.
	freshAnswers map[string]bool
	allFresh     bool
	// earlyTries is how often this box has asked for votes while it was fresh.
	earlyTries int
	// proposed holds the incarnations whose admission is already in the log.
	proposed map[string]string
}

// New returns a follower with what its disk held. It refuses votes for one
// election time, since it may have promised a leader its silence before.
func New(opts Options, stored Stored, now time.Duration) *Core {
	c := &Core{
		opts:        opts,
		incarnation: stored.Incarnation,
		members:     stored.Members,
		term:        stored.Term,
		vote:        stored.Vote,
		log:         entries{index: stored.SnapshotIndex, term: stored.SnapshotTerm, list: stored.Entries},
		commit:      stored.SnapshotIndex,
		released:    stored.SnapshotIndex,
		heard:       now,
		snapshot:    stored.Snapshot,
		proposed:    map[string]string{},
		learners:    map[string]time.Duration{},
		fresh:       true,
	}
	c.recoverChanges()
	c.resetDue(now)
	return c
}

// Stored is what a disk held when a box started.
type Stored struct {
	Incarnation   string
	Members       map[string]string
	Term          uint64
	Vote          string
	SnapshotIndex uint64
	SnapshotTerm  uint64
	Snapshot      []byte
	Entries       []*betweenv1.LogEntry
}

// Take returns what is to be done and forgets it.
func (c *Core) Take() Output {
	c.releaseCommitted()
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) releaseCommitted() {
	for c.released < c.commit {
		c.released++
		c.out.Committed = append(c.out.Committed, c.log.at(c.released))
	}
}

// Member tells whether this box's disk may vote.
func (c *Core) Member() bool { return !c.left && c.group[c.opts.Self] == c.incarnation }

func (c *Core) quorum() int { return len(c.group)/2 + 1 }

func (c *Core) resetDue(now time.Duration) {
	if c.fresh && c.earlyTries < freshTries {
		wait := c.freshWait()
		c.due = now + wait + time.Duration(c.opts.Rand.Int63n(int64(wait)))
		return
	}
	spread := time.Duration(c.opts.Rand.Int63n(int64(c.opts.Election)))
	c.due = now + c.opts.Election + spread
}

func (c *Core) storeHard() {
	hard := &betweenv1.HardState{Term: c.term, Vote: c.vote}
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Hard{Hard: hard}})
}

func (c *Core) store(record *betweenv1.LogRecord) {
	c.out.Records = append(c.out.Records, record)
}

func (c *Core) send(r Request) { c.out.Requests = append(c.out.Requests, r) }

// follow makes the box a follower in a term.
func (c *Core) follow(term uint64, leader string, now time.Duration) {
	if term > c.term {
		c.term, c.vote = term, ""
		c.storeHard()
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.resetDue(now)
}

// Tick does what time makes due.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.due && c.Member() {
		c.campaign(now, true)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if now-max(c.since, c.quorumAcked(now)) > 2*c.opts.Election {
		c.follow(c.term, "", now)
		return
	}
	c.tickMembers(now)
	for _, name := range c.others() {
		p := c.peers[name]
		if now-p.sent >= c.interval(p) {
			c.replicate(name, now)
		}
	}
}

// interval returns the time between messages to a member; a snapshot, which
// can be large, is not sent again at every heartbeat.
func (c *Core) interval(p *progress) time.Duration {
	if p.waiting && p.next <= c.log.index {
		return 2 * c.opts.Election
	}
	return c.opts.Heartbeat
}

func (c *Core) others() []string {
	var names []string
	for name := range c.group {
		if name != c.opts.Self {
			names = append(names, name)
		}
	}
	for name := range c.learners {
		if _, member := c.group[name]; !member && name != c.opts.Self {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// quorumAcked returns the newest time at which a quorum, this box included,
// is known to have followed this leader.
func (c *Core) quorumAcked(now time.Duration) time.Duration {
	times := []time.Duration{now}
	for name, p := range c.peers {
		if c.counts(name, p) {
			times = append(times, p.acked)
		}
	}
	if len(times) < c.quorum() {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[c.quorum()-1]
}

// counts tells whether a member's disk is the one that the log has admitted.
func (c *Core) counts(name string, p *progress) bool {
	return p.incarnation != "" && c.group[name] == p.incarnation
}

// Lease returns the boot time until which no other box can be leader. It is
// zero when this box isn't leader or has not committed in its term.
func (c *Core) Lease(now time.Duration) time.Duration {
	if c.role != Leader || c.log.termAt(c.commit) != c.term {
		return 0
	}
	acked := c.quorumAcked(now)
	if acked == 0 {
		return 0
	}
	return acked + time.Duration(float64(c.opts.Election)*leaseShare)
}

// Status is a reading of a Core for operators.
type Status struct {
	Role      Role
	Term      uint64
	Leader    string
	Commit    uint64
	Last      uint64
	Member    bool
	Admitted  map[string]string
	Following map[string]uint64
}

// Status returns a reading.
func (c *Core) Status() Status {
	s := Status{Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit, Last: c.log.last(), Member: c.Member()}
	s.Admitted = map[string]string{}
	for name, incarnation := range c.group {
		s.Admitted[name] = incarnation
	}
	s.Following = map[string]uint64{}
	for name, p := range c.peers {
		s.Following[name] = p.match
	}
	return s
}

// Propose appends data to the log when this box is leader.
func (c *Core) Propose(data []byte, now time.Duration) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader{Leader: c.leader}
	}
	e := c.appendOwn(betweenv1.LogEntry_KIND_DATA, data)
	return e.GetIndex(), e.GetTerm(), nil
}

func (c *Core) appendOwn(kind betweenv1.LogEntry_Kind, data []byte) *betweenv1.LogEntry {
	e := &betweenv1.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.append(e)
	return e
}

func (c *Core) append(e *betweenv1.LogEntry) {
	c.log.put(e)
	c.noteChange(e)
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}})
}
