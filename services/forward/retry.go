// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import "sync"

// retryBudget bounds how many calls are sent to a second target: a share of
// the calls of a service, and a stock that all boxes together divide. In any
// window the further sends are at most the stock and the share of the calls.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

const (
	// retryShareUsed is the part of the fleet's ratio that is spent, so that
	// calls that never arrive don't tip it.
	retryShareUsed = 0.7
	// retryStockUsed is the part of the fleet's stock that is divided.
	retryStockUsed = 0.6
)

// noted adds a call's share.
func (b *retryBudget) noted(service string, ratio, stock float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	tokens, known := b.tokens[service]
	if !known {
		tokens = stock
	}
	b.tokens[service] = min(stock, tokens+ratio)
}

// take spends one further send, if there is one.
func (b *retryBudget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
