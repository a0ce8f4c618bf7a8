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

// retryBudget bounds how many calls are sent to a second target: a share of
// the calls of a service, and a stock that all boxes together divide. In any
// window the further sends are at most the stock and the share of the calls.
//
// Where a box's part of the stock is less than one send, it is given out as a rate for
// the whole fleet instead (package rate): divided evenly, no box had any further send
// from 128 boxes on at a stock of 212.
type retryBudget struct {
	mu       sync.Mutex
	services map[string]*retryRow
}

// retryRow is the budget of one service.
type retryRow struct {
	tokens float64
	// shared counts this box's part of the stock where that is a rate, perSecond is the
	// rate, zero where the box has a stock of its own.
	shared    rate.Meter
	perSecond float64
	// noted is when the last call was.
	noted time.Duration
}

// retryTerms are what a budget is made of.
type retryTerms struct {
	// ratio is the share of the calls, stock this box's part of the fleet's stock.
	ratio, stock float64
	// perSecond is the fleet's stock for each second of the window.
	perSecond float64
}

const (
	// retryShareUsed is the part of the fleet's ratio that is spent, so that
	// calls that never arrive don't tip it.
	retryShareUsed = 0.7
	// retryStockUsed is the part of the fleet's stock that is divided.
	retryStockUsed = 0.6
	// retryKept is the part of the window after which two thirds of a share that is not
	// used are gone where it is less than one send: boxes would else all spend in one
	// window what they saved up over many.
	retryKept = 0.5
)

// terms returns what the budget of a box is made of, given how many there are.
func (o Options) retryTerms(boxes int) retryTerms {
	stock := retryStockUsed * o.RetryStock
	return retryTerms{ratio: retryShareUsed * o.RetryRatio, stock: stock / float64(boxes), perSecond: stock / o.retryWindow().Seconds()}
}

// defaultRetryWindow is the window where the options name none.
const defaultRetryWindow = 10 * time.Second

func (o Options) retryWindow() time.Duration {
	if o.RetryWindow <= 0 {
		return defaultRetryWindow
	}
	return o.RetryWindow
}

// noted adds a call's share.
func (b *retryBudget) noted(service string, terms retryTerms, window, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[string]*retryRow{}
	}
	row := b.services[service]
	if row == nil {
		row = &retryRow{}
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
	left := math.Exp(-float64(now-row.noted) / (retryKept * float64(window)))
	row.tokens = min(1, row.tokens*left+terms.ratio)
	row.noted = now
}

// take spends one further send, if there is one.
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
		return row.shared.Take(fleet, row.perSecond, xxhash.Sum64String(service), now)
	}
}

// takeRetry spends one further send of a service, if this box has one.
func (f *Forwarder) takeRetry(service string) bool {
	f.mu.Lock()
	fleet := f.fleet
	f.mu.Unlock()
	return f.retries.take(service, fleet, f.opts.Clock.Boot())
}
