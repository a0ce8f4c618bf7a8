// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	// lateDraw is how long a draw is remembered that was ended before it came.
	lateDraw = 10 * time.Second
	// longestDraw bounds the lifetime of a draw.
	longestDraw = 10 * time.Minute
)

// Draw sets tokens of this box's lease aside for a request of another box. What
// nobody settles within the draw's lifetime counts as spent.
func (l *Leases) Draw(ctx context.Context, r *betweenv1.DrawRequest) *betweenv1.DrawResponse {
	if !l.takesDraw(r.GetId()) {
		return &betweenv1.DrawResponse{Outcome: betweenv1.DrawOutcome_DRAW_OUTCOME_SHORT, Age: -1}
	}
	outcome, status := l.Reserve(ctx, r.GetOrganisation(), r.GetTokens(), time.Duration(r.GetWait())*time.Millisecond)
	if outcome == Reserved {
		l.hold(r)
	} else if r.GetWait() > 0 {
		l.Logger.Info("draw refused", "request", timeline.RequestOf(ctx), "draw", r.GetId(), "organisation", r.GetOrganisation(), "tokens", r.GetTokens(), "outcome", outcome.String(),
			"lease_free", status.Free, "budget_left", status.Left, "budget_unallotted", status.Unallotted, "lease_age_ms", status.Age)
	}
	return &betweenv1.DrawResponse{Outcome: drawOutcomes[outcome], Free: status.Free, Left: status.Left, Unallotted: status.Unallotted, Age: status.Age}
}

var drawOutcomes = map[Outcome]betweenv1.DrawOutcome{
	Reserved:  betweenv1.DrawOutcome_DRAW_OUTCOME_RESERVED,
	Exhausted: betweenv1.DrawOutcome_DRAW_OUTCOME_EXHAUSTED,
	Short:     betweenv1.DrawOutcome_DRAW_OUTCOME_SHORT,
}

// takesDraw tells whether a draw is new; a box that stops takes none.
func (l *Leases) takesDraw(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.leaving && !l.draws.Known(id)
}

// hold remembers a draw whose tokens are set aside.
func (l *Leases) hold(r *betweenv1.DrawRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draws.Known(r.GetId()) {
		// It was given up while it waited.
		l.table.Settle(r.GetOrganisation(), r.GetTokens(), 0)
		return
	}
	lifetime := min(longestDraw, time.Duration(r.GetLifetime())*time.Millisecond)
	l.draws.Put(lease.Draw{ID: r.GetId(), Organisation: r.GetOrganisation(), Tokens: r.GetTokens(), Expires: l.Clock.Boot() + lifetime})
}

// SettleDraws ends draws with what was spent of them.
func (l *Leases) SettleDraws(r *betweenv1.SettleDrawsRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	for _, s := range r.GetSettlements() {
		if row, open := l.draws.End(s.GetId(), now+lateDraw); open {
			l.table.Settle(row.Organisation, row.Tokens, s.GetSpent())
		}
	}
}

// expireDraws counts draws as spent that nobody settled; the caller holds the
// lock.
func (l *Leases) expireDraws(now time.Duration) {
	for _, row := range l.draws.Expire(now) {
		l.table.Settle(row.Organisation, row.Tokens, row.Tokens)
		l.Logger.Warn("draw expired", "draw", row.ID, "organisation", row.Organisation, "tokens", row.Tokens, "reason", "nobody settled it, so it counts as spent")
	}
}
