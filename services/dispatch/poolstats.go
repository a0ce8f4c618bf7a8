// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"havenwinch.dev/havenwinch/models/queue"
)

const (
	// averageWeight is the weight of the latest value in the moving averages.
	averageWeight = 0.05
	// runTimeMargin is the fraction of the estimated run time that must remain before
	// the deadline for a request to be started. It is below 1 since estimates are not
	// exact.
	runTimeMargin = 0.8
	// waitMargin is the factor by which the actual wait may exceed the estimate. It
	// errs on the side of refusing, since an immediate refusal is better than one
	// after a useless wait.
	waitMargin = 1.25
)

// poolStats holds measurements of the runs that this box has sent to a pool. It is
// protected by Dispatcher.mu.
type poolStats struct {
	// timePerToken is the average run time per token that a run may generate.
	timePerToken time.Duration
	// batchShare is the average fraction of batch requests among those that were
	// started while batch requests were waiting.
	batchShare float64
	running    int
}

func newPoolStats() *poolStats { return &poolStats{batchShare: 1} }

// recordRun adds a run of a request that may generate up to work tokens.
func (p *poolStats) recordRun(took time.Duration, work int) {
	if work <= 0 {
		return
	}
	per := took / time.Duration(work)
	if p.timePerToken == 0 {
		p.timePerToken = per
		return
	}
	p.timePerToken += time.Duration(averageWeight * float64(per-p.timePerToken))
}

// recordPick adds the choice between a batch and an interactive request, made while
// batch requests were waiting.
func (p *poolStats) recordPick(batch bool) {
	x := 0.0
	if batch {
		x = 1
	}
	p.batchShare += averageWeight * (x - p.batchShare)
}

// estimateRunTime estimates the run time of a request that may generate work tokens.
func (p *poolStats) estimateRunTime(work int) time.Duration {
	return p.timePerToken * time.Duration(work)
}

// estimateWait estimates how long a new request waits for those ahead of it, by
// Little's law: while requests wait, all slots are in use, and each needs
// timePerToken for a token.
func (p *poolStats) estimateWait(ahead queue.Load, interactive bool) time.Duration {
	if p.running == 0 {
		return 0
	}
	if interactive {
		return p.estimateRunTime(ahead.Interactive) / time.Duration(p.running)
	}
	// batchShare accounts for interactive requests that go ahead of batch, including
	// those that have not arrived yet.
	all := p.estimateRunTime(ahead.Interactive+ahead.Batch) / time.Duration(p.running)
	share := max(p.batchShare, 1.0/queue.BatchEvery)
	return max(all, time.Duration(float64(p.estimateRunTime(ahead.Batch))/float64(p.running)/share))
}

// statsOf returns the statistics of a pool. The caller holds d.mu.
func (d *Dispatcher) statsOf(pool string) *poolStats {
	p := d.poolStats[pool]
	if p == nil {
		p = newPoolStats()
		d.poolStats[pool] = p
	}
	return p
}
