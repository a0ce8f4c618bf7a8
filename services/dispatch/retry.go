// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

// retryBudget keeps retries from making an overload worse: each request adds
// a part of a retry, each retry takes a whole one.
type retryBudget struct {
	tokens float64
}

const (
	retryShare = 0.1
	retryMost  = 10
)

func (b *retryBudget) earn() { b.tokens = min(retryMost, b.tokens+retryShare) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// mayRetry takes a retry out of a pool's budget.
func (d *Dispatcher) mayRetry(pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(pool).take()
}

func (d *Dispatcher) retryBudget(pool string) *retryBudget {
	b := d.retries[pool]
	if b == nil {
		b = &retryBudget{tokens: retryMost}
		d.retries[pool] = b
	}
	return b
}
