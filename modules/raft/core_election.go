// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// A box that starts refuses votes for one election timeout, since before the
// restart it may have acknowledged a leader whose lease still runs. When every
// member has restarted there is no such leader, and the wait is pointless. A box
// that has neither led nor followed since its start is therefore called fresh:
// fresh boxes campaign early, and a candidate that learned from its pre-vote that
// all members are fresh tells the voters, which then skip the wait if they still
// are fresh themselves. The answers count for one term only. Voters move to that
// term when they answer, so a leader elected in between has a later term at a
// quorum.
const (
	// freshWaitDivisor divides the election timeout to get the minimum wait of a
	// fresh box before its first campaign; the actual wait is random, up to twice
	// that. It doubles with each attempt, so that a campaign can finish on slow
	// boxes.
	freshWaitDivisor = 10
	// maxFreshAttempts is the number of early campaigns of a fresh box before it
	// uses the normal election timeout.
	maxFreshAttempts = 4
)

// minFreshWait returns the minimum wait before the next campaign of a fresh box.
func (c *Core) minFreshWait() time.Duration {
	return c.opts.ElectionTimeout / freshWaitDivisor << c.freshAttempts
}

// campaign starts an election, or the pre-vote that precedes it. A pre-vote leaves
// the candidate's term as it is, so that a box that was cut off does not disrupt
// a leader when it reconnects.
func (c *Core) campaign(now time.Duration, preVote bool) {
	if preVote {
		c.reportLostCampaign()
		c.allFresh, c.freshPeers = false, map[string]bool{}
		c.freshAttempts++
	}
	c.requestVotes(now, preVote)
}

// LostCampaign is a campaign that ended without a leader.
type LostCampaign struct {
	// Members maps each member, as this box counts them, to its admitted incarnation.
	Members map[string]string
	// Answers are the last answers of this campaign by member; members that did not
	// answer are missing.
	Answers map[string]*betweenv1.VoteResponse
}

// reportLostCampaign outputs the campaign before, unless it led to a leader.
func (c *Core) reportLostCampaign() {
	if c.answers != nil {
		c.out.LostCampaign = &LostCampaign{Members: c.effectiveMembers, Answers: c.answers}
	}
	c.answers = map[string]*betweenv1.VoteResponse{}
}

// requestVotes sends the vote requests of a campaign.
func (c *Core) requestVotes(now time.Duration, preVote bool) {
	c.leader = ""
	c.votes = map[string]bool{c.opts.Self: true}
	c.resetElectionDeadline(now)
	term := c.term + 1
	if preVote {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.term, c.votedFor = term, c.opts.Self
		c.storeHardState()
	}
	if c.hasWon() {
		c.advance(now)
		return
	}
	for _, name := range c.peerNames() {
		c.send(Request{To: name, SentAt: now, Vote: &betweenv1.VoteRequest{
			Term:        term,
			Candidate:   c.opts.Self,
			LastIndex:   c.log.last(),
			LastTerm:    c.log.lastTerm(),
			PreVote:     preVote,
			Incarnation: c.incarnation,
			Voter:       c.effectiveMembers[name],
			AllFresh:    c.allFresh,
			Commit:      c.commit,
			CommitTerm:  c.log.termAt(c.commit),
		}})
	}
}

// recordFreshPeer records a pre-vote answer of a fresh member, and repeats the
// pre-vote with AllFresh once all members have answered that they are fresh.
func (c *Core) recordFreshPeer(from string, now time.Duration) {
	if _, member := c.effectiveMembers[from]; !member || !c.fresh || c.allFresh {
		return
	}
	c.freshPeers[from] = true
	for name := range c.effectiveMembers {
		if name != c.opts.Self && !c.freshPeers[name] {
			return
		}
	}
	c.allFresh = true
	c.requestVotes(now, true)
}

func (c *Core) hasWon() bool { return len(c.votes) >= c.quorum() }

// advance moves from a won pre-vote to the election, and from a won election to
// leadership.
func (c *Core) advance(now time.Duration) {
	if c.role == PreCandidate {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.fresh = false
	c.answers = nil
	c.leader = c.opts.Self
	c.peers = map[string]*progress{}
	c.learners = map[string]time.Duration{}
	for _, name := range c.peerNames() {
		c.peers[name] = &progress{next: c.log.last() + 1}
	}
	c.proposedAdmissions = map[string]string{}
	c.leaderSince = now
	c.appendNew(betweenv1.LogEntry_KIND_TERM, nil)
	c.Flush(now)
}

// learnCommit takes over what another box knows to be committed if the log holds the
// same entry, and with it the same entries before. A leader may have told only the
// disk that it has admitted of the admission before it was lost. Without this the
// other members would not count that disk.
func (c *Core) learnCommit(index, term uint64) {
	if index > c.commit && term != 0 && c.log.termAt(index) == term {
		c.setCommit(index)
	}
}

// HandleVote answers a vote or pre-vote request.
func (c *Core) HandleVote(r *betweenv1.VoteRequest, now time.Duration) *betweenv1.VoteResponse {
	c.learnCommit(r.GetCommit(), r.GetCommitTerm())
	resp := c.decideVote(r, now)
	resp.Commit, resp.CommitTerm = c.commit, c.log.termAt(c.commit)
	return resp
}

func (c *Core) decideVote(r *betweenv1.VoteRequest, now time.Duration) *betweenv1.VoteResponse {
	if r.GetPreVote() && c.fresh && r.GetTerm() > c.term+1 {
		c.becomeFollower(r.GetTerm()-1, "", now)
	}
	if reason := c.refusalOf(r, now); reason != betweenv1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED {
		return &betweenv1.VoteResponse{Term: c.term, Incarnation: c.incarnation, Fresh: c.fresh, Refusal: reason}
	}
	if r.GetPreVote() {
		resp := &betweenv1.VoteResponse{Term: c.term, Granted: r.GetTerm() > c.term, Incarnation: c.incarnation, Fresh: c.fresh}
		if !resp.GetGranted() {
			resp.Refusal = betweenv1.VoteRefusal_VOTE_REFUSAL_VOTED
		}
		return resp
	}
	return c.castVote(r, now)
}

// refusalOf returns why this box does not vote for a candidate in any term, or
// VOTE_REFUSAL_UNSPECIFIED if it may.
func (c *Core) refusalOf(r *betweenv1.VoteRequest, now time.Duration) betweenv1.VoteRefusal {
	// A leader's lease relies on voters refusing candidates for one election
	// timeout after they last heard from the leader.
	leaseMayBeValid := now-c.lastContact < c.opts.ElectionTimeout && !(c.fresh && r.GetAllFresh())
	switch {
	case !c.canVote(r):
		return betweenv1.VoteRefusal_VOTE_REFUSAL_VOTER_NOT_ADMITTED
	case c.effectiveMembers[r.GetCandidate()] != r.GetIncarnation():
		return betweenv1.VoteRefusal_VOTE_REFUSAL_CANDIDATE_NOT_ADMITTED
	case c.role == Leader || leaseMayBeValid:
		return betweenv1.VoteRefusal_VOTE_REFUSAL_LEASE
	case !c.isUpToDate(r):
		return betweenv1.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND
	}
	return betweenv1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
}

// canVote reports whether this box's vote counts for a candidate. A box may
// learn of its own admission only after the candidate needs its vote (Ongaro
// 2014, section 4.1: servers process requests without consulting their own
// configuration), so it also votes when the candidate names its incarnation. No
// candidate names the incarnation of a disk that replaced a lost one before its
// admission is committed, so such a disk does not vote.
func (c *Core) canVote(r *betweenv1.VoteRequest) bool {
	return c.IsVoter() || r.GetVoter() == c.incarnation
}

func (c *Core) castVote(r *betweenv1.VoteRequest, now time.Duration) *betweenv1.VoteResponse {
	if r.GetTerm() > c.term {
		c.becomeFollower(r.GetTerm(), "", now)
	}
	granted := r.GetTerm() == c.term && (c.votedFor == "" || c.votedFor == r.GetCandidate())
	if granted && c.votedFor == "" {
		c.votedFor = r.GetCandidate()
		c.storeHardState()
	}
	if granted {
		c.resetElectionDeadline(now)
	}
	resp := &betweenv1.VoteResponse{Term: c.term, Granted: granted, Incarnation: c.incarnation}
	if !granted {
		resp.Refusal = betweenv1.VoteRefusal_VOTE_REFUSAL_VOTED
	}
	return resp
}

// isUpToDate reports whether the candidate's log is at least as up to date as this
// box's.
func (c *Core) isUpToDate(r *betweenv1.VoteRequest) bool {
	if r.GetLastTerm() != c.log.lastTerm() {
		return r.GetLastTerm() > c.log.lastTerm()
	}
	return r.GetLastIndex() >= c.log.last()
}

// HandleVoteResponse processes a member's answer to a vote request.
func (c *Core) HandleVoteResponse(from string, request *betweenv1.VoteRequest, r *betweenv1.VoteResponse, now time.Duration) {
	if c.answers != nil {
		c.answers[from] = r
	}
	c.learnCommit(r.GetCommit(), r.GetCommitTerm())
	if r.GetTerm() > c.term {
		c.becomeFollower(r.GetTerm(), "", now)
		return
	}
	preVote := c.role == PreCandidate && request.GetPreVote() && request.GetTerm() == c.term+1
	if preVote && r.GetFresh() && r.GetTerm() == c.term {
		c.recordFreshPeer(from, now)
	}
	expected := preVote || c.role == Candidate && !request.GetPreVote() && request.GetTerm() == c.term
	if !expected || !r.GetGranted() || c.effectiveMembers[from] != r.GetIncarnation() {
		return
	}
	c.votes[from] = true
	if c.hasWon() {
		c.advance(now)
	}
}
