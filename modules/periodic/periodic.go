// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package periodic runs background work at intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls do at once and then at every interval until the context is cancelled.
// Calls never overlap: when one takes longer than the interval, ticks are skipped.
func Run(ctx context.Context, interval time.Duration, do func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Sleep returns after d, or earlier when the context is cancelled.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
