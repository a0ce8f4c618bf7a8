// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Membership follows the single-server changes of Ongaro's dissertation (2014,
// section 4.1): one member is added or removed at a time, a change takes effect
// as soon as it is in a box's log, and a leader starts one only after it has
// committed an entry of its own term and while no other change is uncommitted.
// Boxes that are not members follow the log as learners; one of them replaces a
// member that has been silent for longer than Options.Replace.

const (
	// learnerTimeout is how long a learner is kept after its last request to join.
	learnerTimeout = 3 * time.Second
	// maxLearnerSilence is how long ago a learner may have answered last and still
	// be added as a member.
	maxLearnerSilence = time.Second
)

// isChange reports whether an entry adds or removes a member.
func isChange(e *betweenv1.LogEntry) bool {
	return e.GetKind() == betweenv1.LogEntry_KIND_ADD || e.GetKind() == betweenv1.LogEntry_KIND_REMOVE
}

// isMembership reports whether an entry changes the members or the incarnation of one.
func isMembership(e *betweenv1.LogEntry) bool {
	return isChange(e) || e.GetKind() == betweenv1.LogEntry_KIND_MEMBER
}

// applyChange applies a membership entry to a table of members.
func applyChange(members map[string]string, e *betweenv1.LogEntry) {
	m := memberOf(e)
	if e.GetKind() == betweenv1.LogEntry_KIND_REMOVE {
		delete(members, m.GetBox())
		return
	}
	members[m.GetBox()] = m.GetIncarnation()
}

// isPending reports whether an entry is a change that the committed members don't
// reflect yet.
func (c *Core) isPending(e *betweenv1.LogEntry) bool {
	return isChange(e) && e.GetIndex() > c.membersIndex
}

// trackChange updates the pending changes for an entry that was put into the
// log; changes at its index or later were overwritten and are dropped.
func (c *Core) trackChange(e *betweenv1.LogEntry) {
	kept := c.pendingChanges[:0:0]
	for _, old := range c.pendingChanges {
		if old.GetIndex() < e.GetIndex() {
			kept = append(kept, old)
		}
	}
	pending := c.isPending(e)
	if pending {
		kept = append(kept, e)
		if e.GetKind() == betweenv1.LogEntry_KIND_ADD && memberOf(e).GetBox() == c.opts.Self {
			c.removed = false
		}
	}
	if len(kept) != len(c.pendingChanges) || pending {
		c.pendingChanges = kept
		c.updateEffectiveMembers()
	}
}

// updateEffectiveMembers derives the effective members from the committed ones
// and the pending changes.
func (c *Core) updateEffectiveMembers() {
	group := make(map[string]string, len(c.members)+1)
	for name, incarnation := range c.members {
		group[name] = incarnation
	}
	for _, e := range c.pendingChanges {
		applyChange(group, e)
	}
	c.effectiveMembers = group
	if c.role != Leader {
		return
	}
	for _, name := range c.peerNames() {
		if c.peers[name] == nil {
			c.peers[name] = &progress{next: c.log.last() + 1, lastAcked: 0}
		}
	}
}

// loadPendingChanges collects the changes of a log read from disk that the stored
// members don't reflect. The commit index is not stored, so committed changes that
// they do reflect may follow it in the log. Applying those again would bring back
// incarnations that have been replaced since.
func (c *Core) loadPendingChanges() {
	c.pendingChanges = nil
	for _, e := range c.log.list {
		if c.isPending(e) {
			c.pendingChanges = append(c.pendingChanges, e)
		}
	}
	c.updateEffectiveMembers()
}

// Join registers a box that is not a member as a learner: the log is replicated
// to it and it may become a member. It returns ErrNotLeader when this box is not
// leader.
func (c *Core) Join(name string, now time.Duration) error {
	if c.role != Leader {
		return ErrNotLeader{Leader: c.leader}
	}
	if _, member := c.effectiveMembers[name]; member {
		return nil
	}
	c.learners[name] = now
	if c.peers[name] == nil {
		c.peers[name] = &progress{next: c.log.last() + 1}
	}
	return nil
}

// tickMembers drops learners that stopped asking to join and starts a membership
// change when one is due.
func (c *Core) tickMembers(now time.Duration) {
	for name, at := range c.learners {
		_, member := c.effectiveMembers[name]
		if member || now-at > learnerTimeout {
			delete(c.learners, name)
			if !member {
				delete(c.peers, name)
			}
		}
	}
	if c.opts.GroupSize == 0 || len(c.pendingChanges) > 0 || c.log.termAt(c.commit) != c.term {
		return
	}
	silentMember := c.longestSilent(now)
	learner := c.readyLearner(now)
	switch {
	case len(c.effectiveMembers) > c.opts.GroupSize && silentMember != "":
		c.proposeChange(betweenv1.LogEntry_KIND_REMOVE, silentMember, c.effectiveMembers[silentMember], now)
	case learner != "" && (len(c.effectiveMembers) < c.opts.GroupSize || len(c.effectiveMembers) == c.opts.GroupSize && silentMember != ""):
		c.proposeChange(betweenv1.LogEntry_KIND_ADD, learner, c.peers[learner].incarnation, now)
	}
}

func (c *Core) proposeChange(kind betweenv1.LogEntry_Kind, name, incarnation string, now time.Duration) {
	data, err := proto.Marshal(&betweenv1.Member{Box: name, Incarnation: incarnation})
	if err != nil {
		return
	}
	c.appendNew(kind, data)
	c.Flush(now)
}

// longestSilent returns the member that has been silent for longest, if that is
// long enough to replace it, and "" otherwise.
func (c *Core) longestSilent(now time.Duration) string {
	longest, found := c.opts.ReplaceAfter, ""
	for name := range c.effectiveMembers {
		p := c.peers[name]
		if name == c.opts.Self || p == nil {
			continue
		}
		if silence := now - max(p.lastAcked, c.leaderSince); silence > longest {
			longest, found = silence, name
		}
	}
	return found
}

// readyLearner returns the first learner by name that holds every committed
// entry and answered recently, "" when there is none.
func (c *Core) readyLearner(now time.Duration) string {
	var ready []string
	for name := range c.learners {
		p := c.peers[name]
		if p != nil && p.incarnation != "" && p.match >= c.commit && now-p.lastAcked < maxLearnerSilence {
			ready = append(ready, name)
		}
	}
	sort.Strings(ready)
	if len(ready) == 0 {
		return ""
	}
	return ready[0]
}

// Leave makes this box a learner when another box has committed its removal: the
// members that are committed there lack it, and reflect no less of the log than
// those of this box. index is the index up to which they reflect the log.
func (c *Core) Leave(members map[string]string, index uint64, now time.Duration) {
	if _, member := members[c.opts.Self]; member || index < c.membersIndex || c.role == Leader {
		return
	}
	for _, e := range c.pendingChanges {
		if e.GetIndex() > index && memberOf(e).GetBox() == c.opts.Self {
			return
		}
	}
	c.removed = true
	c.role = Follower
	c.resetElectionDeadline(now)
}
