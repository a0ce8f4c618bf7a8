// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

// retryBudget is a token bucket that limits retries, so that they don't make an overload
// worse: each run adds retryRatio tokens, each retry takes one.
type retryBudget struct {
	tokens float64
}

const (
	retryRatio     = 0.1
	maxRetryTokens = 10
)

func (b *retryBudget) deposit() { b.tokens = min(maxRetryTokens, b.tokens+retryRatio) }

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeRetry takes a retry from the budget of a pool. It returns false if the budget is
// used up.
func (d *Dispatcher) takeRetry(pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudgetOf(pool).withdraw()
}

// retryBudgetOf returns the budget of a pool, which starts full. The caller holds d.mu.
func (d *Dispatcher) retryBudgetOf(pool string) *retryBudget {
	b := d.retryBudgets[pool]
	if b == nil {
		b = &retryBudget{tokens: maxRetryTokens}
		d.retryBudgets[pool] = b
	}
	return b
}
