// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"maps"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Flush sends new entries to all peers without a request in flight. In a group
// of one member it commits them at once.
func (c *Core) Flush(now time.Duration) {
	if c.role != Leader {
		return
	}
	for _, name := range c.peerNames() {
		if p := c.peers[name]; !p.inFlight && p.next <= c.log.last() {
			c.replicate(name, now)
		}
	}
	c.advanceCommit(now)
}

// replicate sends a peer the entries or the snapshot that it lacks, or a
// heartbeat when it lacks nothing.
func (c *Core) replicate(name string, now time.Duration) {
	p := c.peers[name]
	p.lastSent, p.inFlight = now, true
	if p.next <= c.log.index {
		c.send(Request{To: name, SentAt: now, Install: &betweenv1.InstallRequest{
			Term:         c.term,
			Leader:       c.opts.Self,
			LastIndex:    c.log.index,
			LastTerm:     c.log.term,
			Data:         c.snapshot,
			Members:      c.memberList(),
			MembersIndex: c.membersIndex,
		}})
		return
	}
	c.sendAppend(name, now)
}

// sendAppend sends a peer the entries from the next one on, which the log must hold.
func (c *Core) sendAppend(name string, now time.Duration) {
	p := c.peers[name]
	c.send(Request{To: name, SentAt: now, Append: &betweenv1.AppendRequest{
		Term:      c.term,
		Leader:    c.opts.Self,
		PrevIndex: p.next - 1,
		PrevTerm:  c.log.termAt(p.next - 1),
		Entries:   c.log.from(p.next, maxAppendEntries),
		Commit:    c.commit,
		Heard:     c.heardFrom(p, now),
	}})
}

func (c *Core) memberList() []*betweenv1.Member {
	names := memberNames(c.members)
	var list []*betweenv1.Member
	for _, name := range names {
		list = append(list, &betweenv1.Member{Box: name, Incarnation: c.members[name]})
	}
	return list
}

// HandleAppend answers an append request or heartbeat of a leader.
func (c *Core) HandleAppend(r *betweenv1.AppendRequest, now time.Duration) *betweenv1.AppendResponse {
	if r.GetTerm() < c.term {
		return &betweenv1.AppendResponse{Term: c.term, Incarnation: c.incarnation}
	}
	c.followLeader(r.GetTerm(), r.GetLeader(), now)
	resp := &betweenv1.AppendResponse{Term: c.term, Incarnation: c.incarnation, Reading: c.clockReading(now)}
	if !c.hasPrevEntry(r) {
		resp.Index = c.indexBeforeConflict(r.GetPrevIndex())
		return resp
	}
	for _, e := range r.GetEntries() {
		if e.GetIndex() > c.log.index && c.log.termAt(e.GetIndex()) != e.GetTerm() {
			c.append(e)
		}
	}
	last := r.GetPrevIndex() + uint64(len(r.GetEntries()))
	c.setCommit(min(r.GetCommit(), last))
	if c.commit >= r.GetCommit() && c.log.termAt(c.commit) == c.term {
		c.caughtUpAt = max(c.caughtUpAt, c.madeAfter(r, now))
	}
	resp.Success = true
	resp.Index = last
	return resp
}

// followLeader follows the leader that sent a message and records the contact.
func (c *Core) followLeader(term uint64, leader string, now time.Duration) {
	c.fresh = false
	c.answers = nil
	c.becomeFollower(term, leader, now)
	c.lastContact = now
}

// hasPrevEntry reports whether the log holds the entry that precedes those of an
// append request.
func (c *Core) hasPrevEntry(r *betweenv1.AppendRequest) bool {
	if r.GetPrevIndex() < c.log.index {
		// Entries up to the snapshot are committed and so the same on every box.
		return true
	}
	return r.GetPrevIndex() <= c.log.last() && c.log.termAt(r.GetPrevIndex()) == r.GetPrevTerm()
}

// indexBeforeConflict returns the index from which a leader should retry: the
// last one held, or the last one before the term that did not match.
func (c *Core) indexBeforeConflict(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	term := c.log.termAt(prev)
	for prev > c.log.index && c.log.termAt(prev) == term {
		prev--
	}
	return prev
}

// HandleAppendResponse processes a peer's answer to an append request.
func (c *Core) HandleAppendResponse(from string, request *betweenv1.AppendRequest, r *betweenv1.AppendResponse, sentAt, now time.Duration) {
	if !c.acceptsResponse(r.GetTerm(), request.GetTerm(), now) {
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	p.inFlight = false
	if !c.trackIncarnation(p, r.GetIncarnation()) {
		c.replicate(from, now)
		return
	}
	p.lastAcked = max(p.lastAcked, sentAt)
	p.recordReading(r.GetReading())
	if !r.GetSuccess() {
		p.next = max(1, min(r.GetIndex()+1, p.next-1))
		c.replicate(from, now)
		return
	}
	c.recordMatch(from, r.GetIndex(), now)
	c.confirm(from, now)
}

// acceptsResponse reports whether a response is to a request of this leader's
// current term. It steps down when the responder's term is higher.
func (c *Core) acceptsResponse(responseTerm, requestTerm uint64, now time.Duration) bool {
	if responseTerm > c.term {
		c.becomeFollower(responseTerm, "", now)
		return false
	}
	return c.role == Leader && requestTerm == c.term
}

// trackIncarnation records a peer's incarnation. When it has changed, the disk is
// another one: the replication progress is reset and false returned.
func (c *Core) trackIncarnation(p *progress, incarnation string) bool {
	if p.incarnation == incarnation {
		return true
	}
	first := p.incarnation == ""
	p.incarnation = incarnation
	if first {
		return true
	}
	p.match, p.next, p.lastAcked = 0, 1, 0
	return false
}

func (c *Core) recordMatch(from string, index uint64, now time.Duration) {
	p := c.peers[from]
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	c.proposeAdmission(from, p, now)
	c.advanceCommit(now)
	if p.next <= c.log.last() && !p.inFlight {
		c.replicate(from, now)
	}
}

// proposeAdmission proposes to admit a member's new disk once it holds every
// committed entry.
func (c *Core) proposeAdmission(name string, p *progress, now time.Duration) {
	if _, member := c.effectiveMembers[name]; !member {
		return
	}
	if c.isAdmitted(name, p) || p.match < c.commit || c.log.termAt(c.commit) != c.term {
		return
	}
	if c.proposedAdmissions[name] == p.incarnation {
		return
	}
	c.proposedAdmissions[name] = p.incarnation
	data, err := proto.Marshal(&betweenv1.Member{Box: name, Incarnation: p.incarnation})
	if err != nil {
		return
	}
	c.appendNew(betweenv1.LogEntry_KIND_MEMBER, data)
	c.Flush(now)
}

// advanceCommit commits the entries that a quorum of admitted disks holds.
// Entries of earlier terms are committed only together with one of this term.
func (c *Core) advanceCommit(now time.Duration) {
	matches := []uint64{c.log.last()}
	for name, p := range c.peers {
		if c.isAdmitted(name, p) {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < c.quorum() || !c.IsVoter() {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[c.quorum()-1]
	if index > c.commit && c.log.termAt(index) == c.term {
		c.setCommit(index)
	}
}

func (c *Core) setCommit(index uint64) {
	for c.commit < min(index, c.log.last()) {
		c.commit++
		if c.commit > c.membersIndex {
			c.membersIndex = c.commit
			c.applyMembership(c.log.at(c.commit))
		}
	}
}

// applyMembership updates the committed members for a committed entry that they
// don't reflect yet, and stores them. A MEMBER entry only renews the incarnation of
// a box that is a member.
func (c *Core) applyMembership(e *betweenv1.LogEntry) {
	if !isMembership(e) {
		return
	}
	members := maps.Clone(c.members)
	if _, known := members[memberOf(e).GetBox()]; known || e.GetKind() != betweenv1.LogEntry_KIND_MEMBER {
		applyChange(members, e)
	}
	c.members = members
	if len(c.pendingChanges) > 0 && c.pendingChanges[0].GetIndex() <= e.GetIndex() {
		c.pendingChanges = c.pendingChanges[1:]
	}
	if isChange(e) && memberOf(e).GetBox() == c.opts.Self {
		c.removed = e.GetKind() == betweenv1.LogEntry_KIND_REMOVE
	}
	c.updateEffectiveMembers()
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: c.identity()}})
}

// memberOf decodes the member of a membership entry, an empty one when the data
// is invalid.
func memberOf(e *betweenv1.LogEntry) *betweenv1.Member {
	m := &betweenv1.Member{}
	if proto.Unmarshal(e.GetData(), m) != nil {
		return &betweenv1.Member{}
	}
	return m
}

func (c *Core) identity() *betweenv1.Identity {
	return &betweenv1.Identity{Incarnation: c.incarnation, Members: c.memberList(), MembersIndex: proto.Uint64(c.membersIndex)}
}

// HandleInstall answers an install request. The leader's snapshot replaces the
// state of this box, unless this box has already committed all that it covers.
func (c *Core) HandleInstall(r *betweenv1.InstallRequest, now time.Duration) *betweenv1.InstallResponse {
	resp := &betweenv1.InstallResponse{Term: c.term, Incarnation: c.incarnation}
	if r.GetTerm() < c.term {
		return resp
	}
	c.followLeader(r.GetTerm(), r.GetLeader(), now)
	resp.Term = c.term
	if r.GetLastIndex() <= c.commit {
		return resp
	}
	c.log.reset(r.GetLastIndex(), r.GetLastTerm())
	c.commit, c.delivered = r.GetLastIndex(), r.GetLastIndex()
	c.snapshot = r.GetData()
	c.adoptNewerMembers(r)
	c.pendingChanges = nil
	c.updateEffectiveMembers()
	c.out.Restore = r
	c.out.Committed = nil
	return resp
}

// adoptNewerMembers takes over the members of an install request, unless those of
// this box reflect more of the log. They reflect at least what the snapshot covers,
// also from a leader that doesn't say how much.
func (c *Core) adoptNewerMembers(r *betweenv1.InstallRequest) {
	index := max(r.GetMembersIndex(), r.GetLastIndex())
	if index < c.membersIndex {
		return
	}
	c.members, c.membersIndex = membersFromProto(r.GetMembers()), index
	c.removed = false
}

// HandleInstallResponse processes a peer's answer to an install request.
func (c *Core) HandleInstallResponse(from string, request *betweenv1.InstallRequest, r *betweenv1.InstallResponse, sentAt, now time.Duration) {
	if !c.acceptsResponse(r.GetTerm(), request.GetTerm(), now) {
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	p.inFlight = false
	c.trackIncarnation(p, r.GetIncarnation())
	p.lastAcked = max(p.lastAcked, sentAt)
	c.recordMatch(from, request.GetLastIndex(), now)
}

// HandleSendFailure records that a request to a peer got no answer.
func (c *Core) HandleSendFailure(to string) {
	if p := c.peers[to]; p != nil {
		p.inFlight = false
	}
}

// Compact replaces the log up to an applied index by a snapshot. It does nothing
// when that index is already in a snapshot or not yet applied.
func (c *Core) Compact(index uint64, snapshot []byte) {
	if index <= c.log.index || index > c.delivered {
		return
	}
	c.log.compactTo(index)
	c.snapshot = snapshot
}
