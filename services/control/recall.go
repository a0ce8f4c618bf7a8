// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"sync"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// recall asks one holder for free tokens of one budget.
type recall struct {
	budget  string
	holder  string
	asker   string
	address string
	tokens  uint64
}

// recalls keeps two recalls of the same tokens from being under way at once.
type recalls struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (r *recalls) begin(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[key] {
		return false
	}
	r.busy[key] = true
	return true
}

func (r *recalls) end(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, key)
}

func splitByNeed(list []recall, reports []*statev1.BudgetReport) (urgent, later []recall) {
	needed := map[string]bool{}
	for _, r := range reports {
		needed[r.GetBudget()] = r.GetNeed() > 0
	}
	for _, one := range list {
		if needed[one.budget] {
			urgent = append(urgent, one)
		} else {
			later = append(later, one)
		}
	}
	return urgent, later
}

func (s *Service) recallLater(list []recall) {
	for _, one := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
			defer cancel()
			s.recallOne(ctx, one)
		}()
	}
}

func (s *Service) recallNow(ctx context.Context, list []recall) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, one := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.recallOne(ctx, one)
		}()
	}
	wg.Wait()
}

// recallOne asks a holder and puts its answer through the log. A lost answer
// is made up for by the holder's next report.
func (s *Service) recallOne(ctx context.Context, one recall) {
	key := one.budget + "\x00" + one.holder
	if !s.recalls.begin(key) {
		return
	}
	defer s.recalls.end(key)
	resp, err := s.opts.Holders.Recall(ctx, one.address, &betweenv1.RecallRequest{Budget: one.budget, Tokens: one.tokens, Asker: one.asker})
	if err != nil {
		s.opts.Logger.Debug("a recall got no answer", "holder", one.holder, "error", err)
		return
	}
	if resp.GetHolder() != one.holder {
		return
	}
	m := &statev1.Sync{Holder: one.holder, Reports: []*statev1.BudgetReport{resp.GetReport()}}
	if err := s.proposeSync(ctx, m); err != nil {
		s.opts.Logger.Debug("a returned amount was not recorded yet", "holder", one.holder, "error", err)
	}
}
