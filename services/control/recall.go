// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"sync"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// recall is a request to one holder to return free tokens of one budget.
type recall struct {
	budget  string
	holder  string
	asker   string
	address string
	tokens  uint64
}

// recallTracker tracks the recalls in flight, so that there is at most one for each budget
// and holder.
type recallTracker struct {
	mu       sync.Mutex
	inFlight map[string]bool
}

// begin reports whether no recall with this key was in flight, and registers one if so.
func (r *recallTracker) begin(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[key] {
		return false
	}
	r.inFlight[key] = true
	return true
}

func (r *recallTracker) end(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, key)
}

// splitByNeed separates recalls for budgets on which requests of the reporting
// holder wait from those that can be made in the background.
func splitByNeed(list []recall, reports []*statev1.BudgetReport) (urgent, background []recall) {
	needed := map[string]bool{}
	for _, r := range reports {
		needed[r.GetBudget()] = r.GetNeed() > 0
	}
	for _, rec := range list {
		if needed[rec.budget] {
			urgent = append(urgent, rec)
		} else {
			background = append(background, rec)
		}
	}
	return urgent, background
}

func (s *Service) recallInBackground(list []recall) {
	for _, rec := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
			defer cancel()
			s.recallFrom(ctx, rec)
		}()
	}
}

func (s *Service) recallAndWait(ctx context.Context, list []recall) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, rec := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.recallFrom(ctx, rec)
		}()
	}
	wg.Wait()
}

// recallFrom recalls tokens from a holder and commits its answer. If the answer is
// lost, the holder's next report includes what it returned.
func (s *Service) recallFrom(ctx context.Context, rec recall) {
	key := rec.budget + "\x00" + rec.holder
	if !s.recalls.begin(key) {
		return
	}
	defer s.recalls.end(key)
	resp, err := s.opts.Keepers.Recall(ctx, rec.address, &betweenv1.RecallRequest{Budget: rec.budget, Tokens: rec.tokens, Asker: rec.asker})
	if err != nil {
		s.opts.Logger.Debug("recall failed", "holder", rec.holder, "error", err)
		return
	}
	if resp.GetHolder() != rec.holder {
		return
	}
	m := &statev1.Sync{Holder: rec.holder, Reports: []*statev1.BudgetReport{resp.GetReport()}}
	if err := s.proposeSync(ctx, m); err != nil {
		s.opts.Logger.Debug("failed to record returned tokens; the holder's next report includes them", "holder", rec.holder, "error", err)
	}
}
