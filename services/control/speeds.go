// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/speed"
	"havenwinch.dev/havenwinch/models/state"
)

// speeds is the leader's list of the speeds of targets, as measured by all boxes. It is not
// replicated: a new leader learns it from the next reports.
type speeds struct {
	// listID identifies this list, as revisions of different lists are not comparable.
	listID    string
	aggregate speed.Aggregate
}

// recordSpeeds counts the speeds of targets that a box has measured, and fills in those that the
// box may not know. A report that is repeated after its answer was lost has the number of the
// sample before and is counted once, as long as this box is the leader and knows the holder.
// Targets that are not registered are ignored.
func (g *Gateway) recordSpeeds(r *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse) {
	g.Machine.Read(func(s *state.State) {
		now := g.Clock.Boot()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.speeds.listID == "" {
			g.speeds.listID = g.newListID()
		}
		if g.countsSpeeds(r) {
			samples := r.GetSpeedSamples()
			for _, m := range samples[:min(len(samples), speed.MaxPerMessage)] {
				row := s.Routing.Targets[m.GetTarget()]
				if row != nil && row.GetBorn() == m.GetBorn() && row.GetState() != statev1.RegisteredTarget_STATE_GONE {
					g.speeds.aggregate.Put(m, now)
				}
			}
		}
		g.speeds.aggregate.Expire(now)
		has := r.GetSpeedsRevision()
		if r.GetSpeedsList() != g.speeds.listID {
			has = 0
		}
		resp.Speeds, resp.SpeedsRevision = g.speeds.aggregate.ChangedAfter(has)
		resp.SpeedsList = g.speeds.listID
	})
}

// countsSpeeds reports whether the speeds in a report were not counted yet. The caller must hold
// g.mu.
func (g *Gateway) countsSpeeds(r *betweenv1.LeaseRequest) bool {
	row := g.holders[r.GetHolder()]
	if row == nil || r.GetSample() <= row.speedsSample {
		return false
	}
	row.speedsSample = r.GetSample()
	return true
}
