// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// The set of members changes by single-server changes after Ongaro's
// dissertation (2014, section 4.1): one member is added or removed at a time, a
// change counts from the moment it stands in a box's log, and a leader begins
// one only after it has committed an entry of its own term and no other change
// is on its way. Boxes that are no members follow the log as learners; one of
// them takes the place of a member that has been silent for long.

const (
	// learnerTimeout is how long a learner counts after it last asked to join.
	learnerTimeout = 3 * time.Second
	// learnerFresh is how recently a learner must have answered to be added.
	learnerFresh = time.Second
)

// isChange tells whether an entry adds or removes a member.
func isChange(e *betweenv1.LogEntry) bool {
	return e.GetKind() == betweenv1.LogEntry_KIND_ADD || e.GetKind() == betweenv1.LogEntry_KIND_REMOVE
}

// applyChange puts a change into a table of members.
func applyChange(members map[string]string, e *betweenv1.LogEntry) {
	m := memberOf(e)
	if e.GetKind() == betweenv1.LogEntry_KIND_REMOVE {
		delete(members, m.GetBox())
		return
	}
	members[m.GetBox()] = m.GetIncarnation()
}

// noteChange remembers a change that was put into the log; those that its index
// replaces are forgotten.
func (c *Core) noteChange(e *betweenv1.LogEntry) {
	kept := c.changes[:0:0]
	for _, old := range c.changes {
		if old.GetIndex() < e.GetIndex() {
			kept = append(kept, old)
		}
	}
	if isChange(e) {
		kept = append(kept, e)
		if e.GetKind() == betweenv1.LogEntry_KIND_ADD && memberOf(e).GetBox() == c.opts.Self {
			c.left = false
		}
	}
	if len(kept) != len(c.changes) || isChange(e) {
		c.changes = kept
		c.regroup()
	}
}

// regroup derives the members in force: the committed ones and the changes in
// the log after them.
func (c *Core) regroup() {
	group := make(map[string]string, len(c.members)+1)
	for name, incarnation := range c.members {
		group[name] = incarnation
	}
	for _, e := range c.changes {
		applyChange(group, e)
	}
	c.group = group
	if c.role != Leader {
		return
	}
	for _, name := range c.others() {
		if c.peers[name] == nil {
			c.peers[name] = &progress{next: c.log.last() + 1, acked: 0}
		}
	}
}

// recoverChanges reads the changes in a log that was loaded.
func (c *Core) recoverChanges() {
	c.changes = nil
	for _, e := range c.log.list {
		if e.GetIndex() > c.commit && isChange(e) {
			c.changes = append(c.changes, e)
		}
	}
	c.regroup()
}

// Join notes that a box that is no member asks to follow; it is replicated to
// and may become a member. Only a leader takes it in.
func (c *Core) Join(name string, now time.Duration) error {
	if c.role != Leader {
		return ErrNotLeader{Leader: c.leader}
	}
	if _, member := c.group[name]; member {
		return nil
	}
	c.learners[name] = now
	if c.peers[name] == nil {
		c.peers[name] = &progress{next: c.log.last() + 1}
	}
	return nil
}

// tickMembers drops learners that have gone and begins a change when one is due.
func (c *Core) tickMembers(now time.Duration) {
	for name, at := range c.learners {
		_, member := c.group[name]
		if member || now-at > learnerTimeout {
			delete(c.learners, name)
			if !member {
				delete(c.peers, name)
			}
		}
	}
	if c.opts.Size == 0 || len(c.changes) > 0 || c.log.termAt(c.commit) != c.term {
		return
	}
	silent := c.silent(now)
	learner := c.readyLearner(now)
	switch {
	case len(c.group) > c.opts.Size && silent != "":
		c.change(betweenv1.LogEntry_KIND_REMOVE, silent, c.group[silent], now)
	case learner != "" && (len(c.group) < c.opts.Size || len(c.group) == c.opts.Size && silent != ""):
		c.change(betweenv1.LogEntry_KIND_ADD, learner, c.peers[learner].incarnation, now)
	}
}

func (c *Core) change(kind betweenv1.LogEntry_Kind, name, incarnation string, now time.Duration) {
	data, err := proto.Marshal(&betweenv1.Member{Box: name, Incarnation: incarnation})
	if err != nil {
		return
	}
	c.appendOwn(kind, data)
	c.Flush(now)
}

// silent returns the member that has been silent for longest, if that is long
// enough to replace it.
func (c *Core) silent(now time.Duration) string {
	longest, found := c.opts.Replace, ""
	for name := range c.group {
		p := c.peers[name]
		if name == c.opts.Self || p == nil {
			continue
		}
		if silence := now - max(p.acked, c.since); silence > longest {
			longest, found = silence, name
		}
	}
	return found
}

// readyLearner returns a learner that holds all that is committed.
func (c *Core) readyLearner(now time.Duration) string {
	var ready []string
	for name := range c.learners {
		p := c.peers[name]
		if p != nil && p.incarnation != "" && p.match >= c.commit && now-p.acked < learnerFresh {
			ready = append(ready, name)
		}
	}
	sort.Strings(ready)
	if len(ready) == 0 {
		return ""
	}
	return ready[0]
}

// Leave makes this box a learner: another box has committed that the group goes
// on without it, past all that this one holds as committed.
func (c *Core) Leave(members map[string]string, commit uint64, now time.Duration) {
	if _, member := members[c.opts.Self]; member || commit < c.commit || c.role == Leader {
		return
	}
	for _, e := range c.changes {
		if e.GetIndex() > commit && memberOf(e).GetBox() == c.opts.Self {
			return
		}
	}
	c.left = true
	c.role = Follower
	c.resetDue(now)
}
