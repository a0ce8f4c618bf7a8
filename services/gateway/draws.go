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
	// settledDrawTTL is how long the settlement of an unknown draw is remembered, so that
	// the draw is refused if it arrives later.
	settledDrawTTL = 10 * time.Second
	// maxDrawLifetime bounds the lifetime of a draw.
	maxDrawLifetime = 10 * time.Minute
)

// Draw reserves tokens of this box's lease for a request of another box. A draw that
// is not settled within its lifetime counts as spent.
func (l *Leases) Draw(ctx context.Context, r *betweenv1.DrawRequest) *betweenv1.DrawResponse {
	if !l.acceptsDraw(r.GetId()) {
		return &betweenv1.DrawResponse{Outcome: betweenv1.DrawOutcome_DRAW_OUTCOME_SHORT, Age: -1}
	}
	outcome, status := l.Reserve(ctx, r.GetOrganisation(), r.GetTokens(), time.Duration(r.GetWait())*time.Millisecond)
	if outcome == Reserved {
		l.recordDraw(r)
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

// acceptsDraw reports whether a draw is new and this box is not stopping.
func (l *Leases) acceptsDraw(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.leaving && !l.draws.Has(id)
}

// recordDraw records a draw whose tokens have been reserved.
func (l *Leases) recordDraw(r *betweenv1.DrawRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draws.Has(r.GetId()) {
		// The drawing box has settled it while it waited for tokens.
		l.table.Settle(r.GetOrganisation(), r.GetTokens(), 0)
		return
	}
	lifetime := min(maxDrawLifetime, time.Duration(r.GetLifetime())*time.Millisecond)
	l.draws.Put(lease.Draw{ID: r.GetId(), Organisation: r.GetOrganisation(), Tokens: r.GetTokens(), Expires: l.Clock.Boot() + lifetime})
}

// SettleDraws settles draws with the tokens that were spent of each. It remembers
// unknown ids, so that a draw that arrives later is refused.
func (l *Leases) SettleDraws(r *betweenv1.SettleDrawsRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	for _, s := range r.GetSettlements() {
		if row, open := l.draws.End(s.GetId(), now+settledDrawTTL); open {
			l.table.Settle(row.Organisation, row.Tokens, s.GetSpent())
		}
	}
}

// expireDraws counts draws as spent that were not settled within their lifetime. The
// caller must hold l.mu.
func (l *Leases) expireDraws(now time.Duration) {
	for _, row := range l.draws.Expire(now) {
		l.table.Settle(row.Organisation, row.Tokens, row.Tokens)
		l.Logger.Warn("draw expired", "draw", row.ID, "organisation", row.Organisation, "tokens", row.Tokens, "reason", "not settled within its lifetime, counted as spent")
	}
}
