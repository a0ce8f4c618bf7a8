// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"havenwinch.dev/havenwinch/models/rate"
)

// retryBudget limits retries at further targets to a ratio of the calls of a service, plus a
// reserve (stock) that all boxes divide. In any window the retries don't exceed the reserve and
// the ratio of the calls.
//
// Where a box's part of the reserve is less than one retry, the reserve is handed out as a rate
// for the whole fleet instead (package rate): divided evenly, no box had any retry from 128
// boxes on at a reserve of 212.
type retryBudget struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	tokens float64
	// fleetMeter meters this box's part of the reserve where that is a rate. perSecond is the
	// rate, 0 where the box has a reserve of its own.
	fleetMeter rate.Meter
	perSecond  float64
	// lastRefill is when a call last added its share, while the reserve is a rate.
	lastRefill time.Duration
}

// retryTerms are the limits of a retry budget.
type retryTerms struct {
	// ratio is the share of the calls, stock this box's part of the fleet's reserve.
	ratio, stock float64
	// perSecond is the fleet's reserve per second of the window.
	perSecond float64
}

const (
	// retryRatioUsed is the part of the fleet's ratio that is spent, so that calls that never
	// arrive don't push the fleet over its limit.
	retryRatioUsed = 0.7
	// retryStockUsed is the part of the fleet's reserve that is divided.
	retryStockUsed = 0.6
	// retryShareDecay is the part of the window after which two thirds of an unused share of
	// less than one retry have decayed: otherwise all boxes could spend in one window what they
	// saved over many.
	retryShareDecay = 0.5
)

// retryTerms returns the limits of a box's budget, given the number of boxes.
func (o Options) retryTerms(boxes int) retryTerms {
	stock := retryStockUsed * o.RetryStock
	return retryTerms{ratio: retryRatioUsed * o.RetryRatio, stock: stock / float64(boxes), perSecond: stock / o.retryWindow().Seconds()}
}

// defaultRetryWindow is the window if the options set none.
const defaultRetryWindow = 10 * time.Second

func (o Options) retryWindow() time.Duration {
	if o.RetryWindow <= 0 {
		return defaultRetryWindow
	}
	return o.RetryWindow
}

// refill adds a call's share to the budget.
func (b *retryBudget) refill(service string, terms retryTerms, window, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[string]*serviceBudget{}
	}
	row := b.services[service]
	if row == nil {
		row = &serviceBudget{}
		b.services[service] = row
		if terms.stock >= 1 {
			row.tokens = terms.stock
		}
	}
	if terms.stock >= 1 {
		row.perSecond = 0
		row.tokens = min(terms.stock, row.tokens+terms.ratio)
		return
	}
	row.perSecond = terms.perSecond
	left := math.Exp(-float64(now-row.lastRefill) / (retryShareDecay * float64(window)))
	row.tokens = min(1, row.tokens*left+terms.ratio)
	row.lastRefill = now
}

// take spends one retry and reports whether there was one.
func (b *retryBudget) take(service string, fleet rate.Fleet, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.services[service]
	switch {
	case row == nil:
		return false
	case row.tokens >= 1:
		row.tokens--
		return true
	case row.perSecond == 0:
		return false
	default:
		return row.fleetMeter.Acquire(fleet, row.perSecond, xxhash.Sum64String(service), now)
	}
}

// hasRetry reports whether a retry of a service may be left.
func (f *Forwarder) hasRetry(service string) bool {
	b := &f.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.services[service]
	return row != nil && (row.tokens >= 1 || row.perSecond > 0)
}

// takeRetry spends one retry of a service and reports whether this box had one.
func (f *Forwarder) takeRetry(service string) bool {
	f.mu.Lock()
	fleet := f.fleet
	f.mu.Unlock()
	return f.retries.take(service, fleet, f.opts.Clock.Boot())
}
