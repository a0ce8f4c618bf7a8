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

// Flush sends new entries to all members that are not waited for, and commits
// what this box alone decides when it is the only member.
func (c *Core) Flush(now time.Duration) {
	if c.role != Leader {
		return
	}
	for _, name := range c.others() {
		if p := c.peers[name]; !p.waiting && p.next <= c.log.last() {
			c.replicate(name, now)
		}
	}
	c.advanceCommit(now)
}

// replicate sends one member what it lacks, or a sign of life.
func (c *Core) replicate(name string, now time.Duration) {
	p := c.peers[name]
	p.sent, p.waiting = now, true
	if p.next <= c.log.index {
		c.send(Request{To: name, SentAt: now, Install: &betweenv1.InstallRequest{
			Term:      c.term,
			Leader:    c.opts.Self,
			LastIndex: c.log.index,
			LastTerm:  c.log.term,
			Data:      c.snapshot,
			Members:   c.memberList(),
		}})
		return
	}
	c.send(Request{To: name, SentAt: now, Append: &betweenv1.AppendRequest{
		Term:      c.term,
		Leader:    c.opts.Self,
		PrevIndex: p.next - 1,
		PrevTerm:  c.log.termAt(p.next - 1),
		Entries:   c.log.from(p.next, maxAppend),
		Commit:    c.commit,
	}})
}

func (c *Core) memberList() []*betweenv1.Member {
	names := namesOf(c.members)
	var list []*betweenv1.Member
	for _, name := range names {
		list = append(list, &betweenv1.Member{Box: name, Incarnation: c.members[name]})
	}
	return list
}

// HandleAppend takes entries from a leader.
func (c *Core) HandleAppend(r *betweenv1.AppendRequest, now time.Duration) *betweenv1.AppendResponse {
	if r.GetTerm() < c.term {
		return &betweenv1.AppendResponse{Term: c.term, Incarnation: c.incarnation}
	}
	c.hear(r.GetTerm(), r.GetLeader(), now)
	resp := &betweenv1.AppendResponse{Term: c.term, Incarnation: c.incarnation}
	if !c.matches(r) {
		resp.Index = c.backTo(r.GetPrevIndex())
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
		c.stepped = now
	}
	resp.Success = true
	resp.Index = last
	return resp
}

// hear follows a leader from which a message came.
func (c *Core) hear(term uint64, leader string, now time.Duration) {
	c.fresh = false
	c.follow(term, leader, now)
	c.heard = now
}

// InStep returns when this box was last known to have all that was committed: a
// leader while a quorum follows it, once it has committed in its own term, and
// a follower with such a leader.
func (c *Core) InStep(now time.Duration) time.Duration {
	if c.role == Leader && c.log.termAt(c.commit) == c.term {
		c.stepped = max(c.stepped, c.quorumAcked(now))
	}
	return c.stepped
}

func (c *Core) matches(r *betweenv1.AppendRequest) bool {
	if r.GetPrevIndex() < c.log.index {
		// All up to the snapshot is committed and so equal everywhere.
		return true
	}
	return r.GetPrevIndex() <= c.log.last() && c.log.termAt(r.GetPrevIndex()) == r.GetPrevTerm()
}

// backTo returns the index before the term that did not match.
func (c *Core) backTo(prev uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	term := c.log.termAt(prev)
	for prev > c.log.index && c.log.termAt(prev) == term {
		prev--
	}
	return prev
}

// AppendReply takes a member's answer in.
func (c *Core) AppendReply(from string, asked *betweenv1.AppendRequest, r *betweenv1.AppendResponse, sentAt, now time.Duration) {
	if !c.current(r.GetTerm(), asked.GetTerm(), now) {
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	p.waiting = false
	if !c.sameDisk(p, r.GetIncarnation()) {
		c.replicate(from, now)
		return
	}
	p.acked = max(p.acked, sentAt)
	if !r.GetSuccess() {
		p.next = max(1, min(r.GetIndex()+1, p.next-1))
		c.replicate(from, now)
		return
	}
	c.matched(from, r.GetIndex(), now)
}

// current steps down before a higher term and drops answers to an older one.
func (c *Core) current(theirs, asked uint64, now time.Duration) bool {
	if theirs > c.term {
		c.follow(theirs, "", now)
		return false
	}
	return c.role == Leader && asked == c.term
}

// sameDisk forgets what a member had when its disk is another one.
func (c *Core) sameDisk(p *progress, incarnation string) bool {
	if p.incarnation == incarnation {
		return true
	}
	first := p.incarnation == ""
	p.incarnation = incarnation
	if first {
		return true
	}
	p.match, p.next, p.acked = 0, 1, 0
	return false
}

func (c *Core) matched(from string, index uint64, now time.Duration) {
	p := c.peers[from]
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	c.readmit(from, p, now)
	c.advanceCommit(now)
	if p.next <= c.log.last() && !p.waiting {
		c.replicate(from, now)
	}
}

// readmit proposes that a member's new disk counts, once it holds all that is
// committed.
func (c *Core) readmit(name string, p *progress, now time.Duration) {
	if _, member := c.group[name]; !member {
		return
	}
	if c.counts(name, p) || p.match < c.commit || c.log.termAt(c.commit) != c.term {
		return
	}
	if c.proposed[name] == p.incarnation {
		return
	}
	c.proposed[name] = p.incarnation
	data, err := proto.Marshal(&betweenv1.Member{Box: name, Incarnation: p.incarnation})
	if err != nil {
		return
	}
	c.appendOwn(betweenv1.LogEntry_KIND_MEMBER, data)
	c.Flush(now)
}

// advanceCommit commits what a quorum of admitted disks holds. Entries of
// earlier terms are committed along with one of this term.
func (c *Core) advanceCommit(now time.Duration) {
	matches := []uint64{c.log.last()}
	for name, p := range c.peers {
		if c.counts(name, p) {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < c.quorum() || !c.Member() {
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
		c.admit(c.log.at(c.commit))
	}
}

func (c *Core) admit(e *betweenv1.LogEntry) {
	if e.GetKind() != betweenv1.LogEntry_KIND_MEMBER && !isChange(e) {
		return
	}
	members := maps.Clone(c.members)
	if _, known := members[memberOf(e).GetBox()]; known || e.GetKind() != betweenv1.LogEntry_KIND_MEMBER {
		applyChange(members, e)
	}
	c.members = members
	if len(c.changes) > 0 && c.changes[0].GetIndex() <= e.GetIndex() {
		c.changes = c.changes[1:]
	}
	if isChange(e) && memberOf(e).GetBox() == c.opts.Self {
		c.left = e.GetKind() == betweenv1.LogEntry_KIND_REMOVE
	}
	c.regroup()
	c.store(&betweenv1.LogRecord{Record: &betweenv1.LogRecord_Identity{Identity: c.identity()}})
}

// memberOf reads the member that an entry is about.
func memberOf(e *betweenv1.LogEntry) *betweenv1.Member {
	m := &betweenv1.Member{}
	if proto.Unmarshal(e.GetData(), m) != nil {
		return &betweenv1.Member{}
	}
	return m
}

func (c *Core) identity() *betweenv1.Identity {
	return &betweenv1.Identity{Incarnation: c.incarnation, Members: c.memberList()}
}

// HandleInstall takes a whole snapshot from a leader.
func (c *Core) HandleInstall(r *betweenv1.InstallRequest, now time.Duration) *betweenv1.InstallResponse {
	resp := &betweenv1.InstallResponse{Term: c.term, Incarnation: c.incarnation}
	if r.GetTerm() < c.term {
		return resp
	}
	c.hear(r.GetTerm(), r.GetLeader(), now)
	resp.Term = c.term
	if r.GetLastIndex() <= c.commit {
		return resp
	}
	c.log.reset(r.GetLastIndex(), r.GetLastTerm())
	c.commit, c.released = r.GetLastIndex(), r.GetLastIndex()
	c.snapshot = r.GetData()
	c.members = mapMembers(r.GetMembers())
	c.changes = nil
	c.regroup()
	c.out.Restore = r
	c.out.Committed = nil
	return resp
}

// InstallReply takes a member's answer in.
func (c *Core) InstallReply(from string, asked *betweenv1.InstallRequest, r *betweenv1.InstallResponse, sentAt, now time.Duration) {
	if !c.current(r.GetTerm(), asked.GetTerm(), now) {
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	p.waiting = false
	c.sameDisk(p, r.GetIncarnation())
	p.acked = max(p.acked, sentAt)
	c.matched(from, asked.GetLastIndex(), now)
}

// Failed notes that a message got no answer.
func (c *Core) Failed(to string) {
	if p := c.peers[to]; p != nil {
		p.waiting = false
	}
}

// Compact replaces the log up to an applied index by a snapshot.
func (c *Core) Compact(index uint64, snapshot []byte) {
	if index <= c.log.index || index > c.released {
		return
	}
	c.log.dropTo(index)
	c.snapshot = snapshot
}
