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
	// mostLimits bounds the limits of one answer: with 30 bytes each, 2 KB a second to
	// a box at most, however many targets change theirs.
	mostLimits = 64
	// limitsSlack is how many places the order of changes may have beyond two for each
	// limit before it is cleaned up.
	limitsSlack = 64
)

// limits is the leader's list of what targets said of the requests that they take, so
// that a box knows it without asking each target. It is not replicated: boxes tell a
// new leader what they heard themselves. That every box keeps to a limit that it heard
// itself does not depend on it.
type limits struct {
	// list names the list, since revisions of two can't be compared.
	list     string
	rows     map[string]*limitRow
	revision uint64
	// order has the revisions in which rows changed, oldest first; places of rows that
	// have changed since are passed over.
	order []limitChange
}

type limitRow struct {
	target   string
	born     int64
	service  string
	limit    rate.Limit
	revision uint64
}

type limitChange struct {
	revision uint64
	row      *limitRow
}

// take takes in what a target said to a box.
func (l *limits) take(m *betweenv1.TargetLimit, now time.Duration) {
	said, ok := rate.OfMessage(m, now)
	if !ok {
		return
	}
	if l.rows == nil {
		l.rows = map[string]*limitRow{}
	}
	key := fmt.Sprint(m.GetTarget(), "@", m.GetBorn(), " ", m.GetService())
	row := l.rows[key]
	if row == nil {
		row = &limitRow{target: m.GetTarget(), born: m.GetBorn(), service: m.GetService()}
	}
	if !row.limit.Take(said) {
		return
	}
	l.rows[key] = row
	l.revision++
	row.revision = l.revision
	l.order = append(l.order, limitChange{revision: l.revision, row: row})
}

// after returns limits that changed after a revision of a list, and the revision up to
// which they are.
func (l *limits) after(list string, has uint64, now time.Duration) (changed []*betweenv1.TargetLimit, revision uint64) {
	if list != l.list {
		has = 0
	}
	first := sort.Search(len(l.order), func(i int) bool { return l.order[i].revision > has })
	for _, c := range l.order[first:] {
		if len(changed) == mostLimits {
			return changed, has
		}
		has = c.revision
		if c.row.revision == c.revision {
			changed = append(changed, c.row.limit.Said.Message(c.row.target, c.row.born, c.row.service, now))
		}
	}
	return changed, has
}

// clean forgets changes that later ones have replaced, and targets that are not
// registered, once there are many.
func (l *limits) clean(registered func(target string, born int64, service string) bool) {
	if len(l.order) <= 2*len(l.rows)+limitsSlack {
		return
	}
	for key, row := range l.rows {
		if !registered(row.target, row.born, row.service) {
			delete(l.rows, key)
			row.revision = 0
		}
	}
	kept := l.order[:0]
	for _, c := range l.order {
		if c.row.revision == c.revision {
			kept = append(kept, c)
		}
	}
	l.order = kept
}

// noteLimits takes in what targets said to a box, and fills in what the box may not
// know. Limits of targets that aren't registered are passed over.
func (g *Gateway) noteLimits(r *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse) {
	g.Machine.Read(func(s *state.State) {
		registered := func(target string, born int64, service string) bool {
			row := s.Routing.Targets[target]
			return row != nil && row.GetBorn() == born && row.GetService() == service && row.GetState() != statev1.RegisteredTarget_STATE_GONE
		}
		now := g.Clock.Boot()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.limits.list == "" {
			g.limits.list = fmt.Sprint(g.Self, " ", g.Clock.Wall().UnixNano())
		}
		before := g.limits.revision
		for _, m := range r.GetLimits() {
			if registered(m.GetTarget(), m.GetBorn(), m.GetService()) {
				g.limits.take(m, now)
			}
		}
		if g.limits.revision > before {
			g.Logger.Info("limits of targets taken in", "box", r.GetBox(), "told", len(r.GetLimits()), "revision", g.limits.revision, "targets", len(g.limits.rows))
		}
		g.limits.clean(registered)
		resp.Limits, resp.LimitsRevision = g.limits.after(r.GetLimitsList(), r.GetLimitsRevision(), now)
		resp.LimitsList = g.limits.list
	})
	resp.FleetTime = g.Clock.Wall().UnixMilli()
}
