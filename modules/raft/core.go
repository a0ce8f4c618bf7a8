// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package raft is a replicated log after Ongaro and Ousterhout, "In Search of
// an Understandable Consensus Algorithm" (2014), with pre-vote, leader leases
// and check-quorum from Ongaro's dissertation.
//
// It extends Raft by incarnations: every disk carries a random identifier that
// is lost together with its content. Acknowledgements and votes of a box count
// only under the incarnation that the log has admitted. A box that restarts
// with an empty disk follows without a vote until the others have committed its
// new incarnation, which they do only once it holds every committed entry.
//
// Core is a deterministic state machine without I/O: time and random numbers
// are passed in, and TakeOutput returns what must be stored, applied and sent.
// Node runs a Core on a disk, a transport and a state machine.
package raft

import (
	"math/rand"
	"sort"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Role is the Raft role of a box.
type Role int

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Options configure a Core.
type Options struct {
	// Self is the name of this box. It need not be one of Members: a box that is
	// not a member follows as a learner.
	Self string
	// Members are the names of the control boxes that found the group; a disk
	// that already belongs to a group overrides them.
	Members []string
	// ElectionTimeout is the minimum election timeout. The actual timeout is drawn at
	// random between it and twice its value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// GroupSize is the desired number of members; zero disables membership changes.
	GroupSize int
	// ReplaceAfter is how long a member must be silent before it is replaced.
	ReplaceAfter time.Duration
	// Rand randomises the election timeouts.
	Rand *rand.Rand
}

// leaseFraction is the fraction of the minimum election timeout for which a
// leader may rely on a quorum's acknowledgement. The rest is the margin for
// clocks that run at different rates.
const leaseFraction = 0.8

// maxAppendEntries limits the entries of one append request.
const maxAppendEntries = 512

// Request is a message to another box; exactly one of Vote, Append and Install
// is set.
type Request struct {
	To string
	// SentAt is the boot clock's reading at sending, from which leases count.
	SentAt  time.Duration
	Vote    *betweenv1.VoteRequest
	Append  *betweenv1.AppendRequest
	Install *betweenv1.InstallRequest
}

// Output is the work that a Core leaves to its driver, in this order: store
// Records or Restore, apply Committed, send Requests.
type Output struct {
	Records   []*betweenv1.LogRecord
	Restore   *betweenv1.InstallRequest
	Committed []*betweenv1.LogEntry
	Requests  []Request
	// LostCampaign is set when the campaign of this box before the current one
	// led to no leader.
	LostCampaign *LostCampaign
}

// progress is a leader's replication state for one peer.
type progress struct {
	incarnation string
	next        uint64
	match       uint64
	// lastAcked is the send time of the newest message that was acknowledged.
	lastAcked time.Duration
	lastSent  time.Duration
	// inFlight is set while a request is unanswered.
	inFlight bool
	// reading is the peer's newest clock reading, nil if it has sent none.
	reading *betweenv1.ClockReading
	// lastConfirmed is when a reading was last sent back ahead of the next heartbeat.
	lastConfirmed time.Duration
}

// Core is the consensus state of one box. It is not safe for concurrent use.
type Core struct {
	opts        Options
	incarnation string
	// members are the committed members; like effectiveMembers it maps each box to
	// its admitted incarnation.
	members map[string]string
	// membersIndex is the index up to which members reflects every entry of the log.
	// It may be greater than commit, which is not stored.
	membersIndex uint64
	role         Role
	term         uint64
	votedFor     string
	leader       string
	log          entries
	commit       uint64
	// delivered is the last index that was output as committed.
	delivered uint64
	// lastContact is when a message of a leader last arrived.
	lastContact time.Duration
	// caughtUpAt is when this box last held every entry that its leader had
	// committed.
	caughtUpAt time.Duration
	// startedAt is when this Core was made.
	startedAt time.Duration
	// lastTick is when Tick last ran, and pausedUntil when it ran after it had not
	// for over a heartbeat interval, zero if it always has.
	lastTick, pausedUntil time.Duration
	// electionDeadline is when a box that has no leader starts an election.
	electionDeadline time.Duration
	// leaderSince is when this box became leader.
	leaderSince time.Duration
	votes       map[string]bool
	// answers are the answers in the campaign of this box, nil if it has not
	// campaigned since it last led or followed.
	answers  map[string]*betweenv1.VoteResponse
	peers    map[string]*progress
	out      Output
	snapshot []byte
	// effectiveMembers are the committed members with the uncommitted changes in
	// the log (pendingChanges) applied.
	effectiveMembers map[string]string
	pendingChanges   []*betweenv1.LogEntry
	// learners maps each box that is not a member to the time of its last
	// request to join.
	learners map[string]time.Duration
	// removed is set when the group has removed this box.
	removed bool
	// fresh is set from the start of this box until it first leads or follows.
	fresh bool
	// freshPeers are the members that answered the current pre-vote that they
	// are fresh; allFresh is set when all of them have.
	freshPeers map[string]bool
	allFresh   bool
	// freshAttempts counts the campaigns of this box while it was fresh.
	freshAttempts int
	// proposedAdmissions maps a box to its incarnation whose admission this
	// leader has already put into the log.
	proposedAdmissions map[string]string
}

// New returns a follower with the state that its disk held. It refuses votes
// for one election timeout, since before the restart it may have acknowledged a
// leader whose lease still runs.
func New(opts Options, stored Stored, now time.Duration) *Core {
	c := &Core{
		opts:               opts,
		incarnation:        stored.Incarnation,
		members:            stored.Members,
		membersIndex:       stored.MembersIndex,
		term:               stored.Term,
		votedFor:           stored.Vote,
		log:                entries{index: stored.SnapshotIndex, term: stored.SnapshotTerm, list: stored.Entries},
		commit:             stored.SnapshotIndex,
		delivered:          stored.SnapshotIndex,
		lastContact:        now,
		startedAt:          now,
		lastTick:           now,
		snapshot:           stored.Snapshot,
		proposedAdmissions: map[string]string{},
		learners:           map[string]time.Duration{},
		fresh:              true,
	}
	c.loadPendingChanges()
	c.resetElectionDeadline(now)
	return c
}

// Stored is the state that was read from the disk at start.
type Stored struct {
	Incarnation string
	Members     map[string]string
	// MembersIndex is the index up to which Members reflects every entry of the log.
	MembersIndex  uint64
	Term          uint64
	Vote          string
	SnapshotIndex uint64
	SnapshotTerm  uint64
	Snapshot      []byte
	Entries       []*betweenv1.LogEntry
	// hasMembersIndex is set if the disk holds MembersIndex.
	hasMembersIndex bool
}

// TakeOutput returns the pending output and clears it.
func (c *Core) TakeOutput() Output {
	c.deliverCommitted()
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) deliverCommitted() {
	for c.delivered < c.commit {
		c.delivered++
		c.out.Committed = append(c.out.Committed, c.log.at(c.delivered))
	}
}

// IsVoter reports whether this box is a member whose incarnation is admitted.
func (c *Core) IsVoter() bool { return !c.removed && c.effectiveMembers[c.opts.Self] == c.incarnation }

func (c *Core) quorum() int { return len(c.effectiveMembers)/2 + 1 }

func (c *Core) resetElectionDeadline(now time.Duration) {
	if c.fresh && c.freshAttempts < maxFreshAttempts {
		wait := c.minFreshWait()
		c.electionDeadline = now + wait + time.Duration(c.opts.Rand.Int63n(int64(wait)))
		return
	}
	spread := time.Duration(c.opts.Rand.Int63n(int64(c.opts.ElectionTimeout)))
	c.electionDeadline = now + c.opts.ElectionTimeout + spread
}

func (c *Core) storeHardState() {
	hard := &betweenv1.HardState{Term: c.term, Vote: c.votedFor}
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Hard{Hard: hard}})
}

func (c *Core) store(record *betweenv1.LogRecord) {
	c.out.Records = append(c.out.Records, record)
}

func (c *Core) send(r Request) { c.out.Requests = append(c.out.Requests, r) }

// becomeFollower makes this box a follower in a term; leader is empty when it
// is not known.
func (c *Core) becomeFollower(term uint64, leader string, now time.Duration) {
	if term > c.term {
		c.term, c.votedFor = term, ""
		c.storeHardState()
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.resetElectionDeadline(now)
}

// Tick runs the actions whose time has come: heartbeats, membership changes and
// elections.
func (c *Core) Tick(now time.Duration) {
	c.trackPauses(now)
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.electionDeadline && c.IsVoter() {
		c.campaign(now, true)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if now-max(c.leaderSince, c.quorumAcked(now)) > 2*c.opts.ElectionTimeout {
		c.becomeFollower(c.term, "", now)
		return
	}
	c.tickMembers(now)
	for _, name := range c.peerNames() {
		p := c.peers[name]
		if now-p.lastSent >= c.sendInterval(p) {
			c.replicate(name, now)
		}
	}
}

// sendInterval returns the time between requests to a peer. A snapshot, which
// can be large, is not sent again at every heartbeat.
func (c *Core) sendInterval(p *progress) time.Duration {
	if p.inFlight && p.next <= c.log.index {
		return 2 * c.opts.ElectionTimeout
	}
	return c.opts.HeartbeatInterval
}

func (c *Core) peerNames() []string {
	var names []string
	for name := range c.effectiveMembers {
		if name != c.opts.Self {
			names = append(names, name)
		}
	}
	for name := range c.learners {
		if _, member := c.effectiveMembers[name]; !member && name != c.opts.Self {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// quorumAcked returns the latest time at which a quorum, this box included, is
// known to have followed this leader, zero when there is none.
func (c *Core) quorumAcked(now time.Duration) time.Duration {
	times := []time.Duration{now}
	for name, p := range c.peers {
		if c.isAdmitted(name, p) {
			times = append(times, p.lastAcked)
		}
	}
	if len(times) < c.quorum() {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[c.quorum()-1]
}

// isAdmitted reports whether a peer's disk is the one that the log has admitted.
func (c *Core) isAdmitted(name string, p *progress) bool {
	return p.incarnation != "" && c.effectiveMembers[name] == p.incarnation
}

// Lease returns the boot clock's reading until which no other box can be
// leader. It is zero when this box is not leader or has not committed an entry
// in its term.
func (c *Core) Lease(now time.Duration) time.Duration {
	if c.role != Leader || c.log.termAt(c.commit) != c.term {
		return 0
	}
	acked := c.quorumAcked(now)
	if acked == 0 {
		return 0
	}
	return acked + time.Duration(float64(c.opts.ElectionTimeout)*leaseFraction)
}

// Status is a snapshot of a Core's state for operators.
type Status struct {
	Role               Role
	Term               uint64
	Leader             string
	CommitIndex        uint64
	LastIndex          uint64
	IsVoter            bool
	MemberIncarnations map[string]string
	MatchIndexes       map[string]uint64
}

func (c *Core) Status() Status {
	s := Status{Role: c.role, Term: c.term, Leader: c.leader, CommitIndex: c.commit, LastIndex: c.log.last(), IsVoter: c.IsVoter()}
	s.MemberIncarnations = map[string]string{}
	for name, incarnation := range c.effectiveMembers {
		s.MemberIncarnations[name] = incarnation
	}
	s.MatchIndexes = map[string]uint64{}
	for name, p := range c.peers {
		s.MatchIndexes[name] = p.match
	}
	return s
}

// Propose appends data to the log. It returns ErrNotLeader when this box is not
// leader. Flush sends the entry.
func (c *Core) Propose(data []byte, now time.Duration) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader{Leader: c.leader}
	}
	e := c.appendNew(betweenv1.LogEntry_KIND_DATA, data)
	return e.GetIndex(), e.GetTerm(), nil
}

func (c *Core) appendNew(kind betweenv1.LogEntry_Kind, data []byte) *betweenv1.LogEntry {
	e := &betweenv1.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.append(e)
	return e
}

func (c *Core) append(e *betweenv1.LogEntry) {
	c.log.put(e)
	c.trackChange(e)
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Entry{Entry: e}})
}
