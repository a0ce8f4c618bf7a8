// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"sort"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/state"
)

const (
	// maxLimitsPerAnswer bounds the limits in one answer. At 30 bytes each a box receives at
	// most 2 KB per second, however many targets change their limits.
	maxLimitsPerAnswer = 64
	// changesSlack is how many entries beyond two for each limit the list of changes
	// may have before it is compacted.
	changesSlack = 64
)

// limits is the leader's list of the rate limits that targets announced, so that a
// box knows them without a request to each target. It is not replicated: boxes report
// to a new leader the limits that they received from targets. A box obeys a limit that
// it received from a target independently of this list.
type limits struct {
	// listID identifies this list, as revisions of different lists are not comparable.
	listID   string
	entries  map[string]*limitEntry
	revision uint64
	// changes lists the changes, oldest first. A change is outdated, and skipped, if its
	// row has a later revision.
	changes []limitChange
}

type limitEntry struct {
	target   string
	born     int64
	service  string
	limit    rate.Limit
	revision uint64
}

type limitChange struct {
	revision uint64
	entry    *limitEntry
}

// put adds a limit that a target announced to a box. It has no effect if the message
// is invalid or the limit in force stays the same.
func (l *limits) put(m *betweenv1.TargetLimit, now time.Duration) {
	said, ok := rate.FromMessage(m, now)
	if !ok {
		return
	}
	if l.entries == nil {
		l.entries = map[string]*limitEntry{}
	}
	key := fmt.Sprint(m.GetTarget(), "@", m.GetBorn(), " ", m.GetService())
	row := l.entries[key]
	if row == nil {
		row = &limitEntry{target: m.GetTarget(), born: m.GetBorn(), service: m.GetService()}
	}
	if !row.limit.Update(said) {
		return
	}
	l.entries[key] = row
	l.revision++
	row.revision = l.revision
	l.changes = append(l.changes, limitChange{revision: l.revision, entry: row})
}

// changedAfter returns the limits that changed after revision has of the given list, at most
// maxLimitsPerAnswer, and the revision up to which the receiver knows all changes then. It
// returns the limits from the start if the list is not this one.
func (l *limits) changedAfter(list string, has uint64, now time.Duration) (changed []*betweenv1.TargetLimit, revision uint64) {
	if list != l.listID {
		has = 0
	}
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > has })
	for _, c := range l.changes[first:] {
		if len(changed) == maxLimitsPerAnswer {
			return changed, has
		}
		has = c.revision
		if c.entry.revision == c.revision {
			changed = append(changed, c.entry.limit.Statement.Message(c.entry.target, c.entry.born, c.entry.service, now))
		}
	}
	return changed, has
}

// compact removes outdated changes and the limits of targets that are not registered,
// once the list of changes has grown beyond its bound.
func (l *limits) compact(registered func(target string, born int64, service string) bool) {
	if len(l.changes) <= 2*len(l.entries)+changesSlack {
		return
	}
	for key, row := range l.entries {
		if !registered(row.target, row.born, row.service) {
			delete(l.entries, key)
			row.revision = 0
		}
	}
	kept := l.changes[:0]
	for _, c := range l.changes {
		if c.entry.revision == c.revision {
			kept = append(kept, c)
		}
	}
	l.changes = kept
}

// newListID returns the ID of a new list of this leader's own.
func (g *Gateway) newListID() string { return fmt.Sprint(g.Self, " ", g.Clock.Wall().UnixNano()) }

// recordLimits records the limits that a box received from targets, and fills in the
// ones that the box may not know. Limits of unregistered targets are ignored.
func (g *Gateway) recordLimits(r *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse) {
	g.Machine.Read(func(s *state.State) {
		registered := func(target string, born int64, service string) bool {
			row := s.Routing.Targets[target]
			return row != nil && row.GetBorn() == born && row.GetService() == service && row.GetState() != statev1.RegisteredTarget_STATE_GONE
		}
		now := g.Clock.Boot()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.limits.listID == "" {
			g.limits.listID = g.newListID()
		}
		before := g.limits.revision
		for _, m := range r.GetLimits() {
			if registered(m.GetTarget(), m.GetBorn(), m.GetService()) {
				g.limits.put(m, now)
			}
		}
		if g.limits.revision > before {
			g.Logger.Info("target limits updated", "box", r.GetBox(), "told", len(r.GetLimits()), "revision", g.limits.revision, "targets", len(g.limits.entries))
		}
		g.limits.compact(registered)
		resp.Limits, resp.LimitsRevision = g.limits.changedAfter(r.GetLimitsList(), r.GetLimitsRevision(), now)
		resp.LimitsList = g.limits.listID
		if g.rejections == nil {
			g.rejections = rejectionLimits{}
		}
		g.rejections.put(r.GetRejectionLimits(), now)
		resp.RejectionLimits = g.rejections.list(now)
	})
	resp.FleetTime = g.Clock.Wall().UnixMilli()
}
