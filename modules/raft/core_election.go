// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// A box that starts keeps silent towards candidates for one election time, since
// it may have promised that to a leader before. When every member has started
// anew no such leader is left, and waiting is of no use: a box that has neither
// led nor followed since its start is fresh, fresh boxes ask for votes soon, and
// a candidate to which all members have answered that they are fresh says so to
// voters that still are. The answers count for one term only, to which voters
// catch up with their answer, so a leader that is elected meanwhile has a later
// term at a quorum.
const (
	// freshWaitParts is the part of the election time after which a fresh box asks
	// for votes first, at least; up to twice that at random. Each further time it
	// waits twice as long, so that a campaign ends where boxes are slow.
	freshWaitParts = 10
	// freshTries is how often a fresh box asks before it waits as any other.
	freshTries = 4
)

// freshWait returns the shortest time until a fresh box asks for votes.
func (c *Core) freshWait() time.Duration {
	return c.opts.Election / freshWaitParts << c.earlyTries
}

// campaign asks all members for their votes. The pre-vote before it changes
// nothing anywhere, so that a box that was cut off does not disturb a leader
// when it returns.
func (c *Core) campaign(now time.Duration, pre bool) {
	if pre {
		c.allFresh, c.freshAnswers = false, map[string]bool{}
		c.earlyTries++
	}
	c.ask(now, pre)
}

// ask sends the requests of a campaign.
func (c *Core) ask(now time.Duration, pre bool) {
	c.leader = ""
	c.votes = map[string]bool{c.opts.Self: true}
	c.resetDue(now)
	term := c.term + 1
	if pre {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.term, c.vote = term, c.opts.Self
		c.storeHard()
	}
	if c.won() {
		c.advance(now)
		return
	}
	for _, name := range c.others() {
		c.send(Request{To: name, SentAt: now, Vote: &betweenv1.VoteRequest{
			Term:        term,
			Candidate:   c.opts.Self,
			LastIndex:   c.log.last(),
			LastTerm:    c.log.lastTerm(),
			PreVote:     pre,
			Incarnation: c.incarnation,
			Voter:       c.group[name],
			AllFresh:    c.allFresh,
		}})
	}
}

// noteFresh counts an answer to a pre-vote, and asks once more when all members
// have answered that they are fresh.
func (c *Core) noteFresh(from string, now time.Duration) {
	if _, member := c.group[from]; !member || !c.fresh || c.allFresh {
		return
	}
	c.freshAnswers[from] = true
	for name := range c.group {
		if name != c.opts.Self && !c.freshAnswers[name] {
			return
		}
	}
	c.allFresh = true
	c.ask(now, true)
}

func (c *Core) won() bool { return len(c.votes) >= c.quorum() }

func (c *Core) advance(now time.Duration) {
	if c.role == PreCandidate {
		c.campaign(now, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Duration) {
	c.role = Leader
	c.fresh = false
	c.leader = c.opts.Self
	c.peers = map[string]*progress{}
	c.learners = map[string]time.Duration{}
	for _, name := range c.others() {
		c.peers[name] = &progress{next: c.log.last() + 1}
	}
	c.proposed = map[string]string{}
	c.since = now
	c.appendOwn(betweenv1.LogEntry_KIND_TERM, nil)
	c.Flush(now)
}

// HandleVote answers a candidate.
func (c *Core) HandleVote(r *betweenv1.VoteRequest, now time.Duration) *betweenv1.VoteResponse {
	if r.GetPreVote() && c.fresh && r.GetTerm() > c.term+1 {
		c.follow(r.GetTerm()-1, "", now)
	}
	refuse := &betweenv1.VoteResponse{Term: c.term, Incarnation: c.incarnation, Fresh: c.fresh}
	if !c.mayVote(r) || c.group[r.GetCandidate()] != r.GetIncarnation() {
		return refuse
	}
	// Silence towards candidates is what a leader's lease rests on.
	silent := now-c.heard < c.opts.Election && !(c.fresh && r.GetAllFresh())
	if c.role == Leader || silent {
		return refuse
	}
	if !c.upToDate(r) {
		return refuse
	}
	if r.GetPreVote() {
		return &betweenv1.VoteResponse{Term: c.term, Granted: r.GetTerm() > c.term, Incarnation: c.incarnation, Fresh: c.fresh}
	}
	return c.castVote(r, now)
}

// mayVote tells whether this box's disk counts for a candidate. A box may be
// the last to hear of its own admission, and the candidate can need its vote
// before (Ongaro 2014, section 4.1: servers vote for candidates whose set of
// members they don't know). A disk that replaced a lost one is named by nobody
// until its admission is committed, so it stays silent.
func (c *Core) mayVote(r *betweenv1.VoteRequest) bool {
	return c.Member() || r.GetVoter() == c.incarnation
}

func (c *Core) castVote(r *betweenv1.VoteRequest, now time.Duration) *betweenv1.VoteResponse {
	if r.GetTerm() > c.term {
		c.follow(r.GetTerm(), "", now)
	}
	granted := r.GetTerm() == c.term && (c.vote == "" || c.vote == r.GetCandidate())
	if granted && c.vote == "" {
		c.vote = r.GetCandidate()
		c.storeHard()
	}
	if granted {
		c.resetDue(now)
	}
	return &betweenv1.VoteResponse{Term: c.term, Granted: granted, Incarnation: c.incarnation}
}

func (c *Core) upToDate(r *betweenv1.VoteRequest) bool {
	if r.GetLastTerm() != c.log.lastTerm() {
		return r.GetLastTerm() > c.log.lastTerm()
	}
	return r.GetLastIndex() >= c.log.last()
}

// VoteReply takes a member's answer in.
func (c *Core) VoteReply(from string, asked *betweenv1.VoteRequest, r *betweenv1.VoteResponse, now time.Duration) {
	if r.GetTerm() > c.term {
		c.follow(r.GetTerm(), "", now)
		return
	}
	pre := c.role == PreCandidate && asked.GetPreVote() && asked.GetTerm() == c.term+1
	if pre && r.GetFresh() && r.GetTerm() == c.term {
		c.noteFresh(from, now)
	}
	wanted := pre || c.role == Candidate && !asked.GetPreVote() && asked.GetTerm() == c.term
	if !wanted || !r.GetGranted() || c.group[from] != r.GetIncarnation() {
		return
	}
	c.votes[from] = true
	if c.won() {
		c.advance(now)
	}
}
