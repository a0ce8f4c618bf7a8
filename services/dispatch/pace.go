// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"havenwinch.dev/havenwinch/models/queue"
)

const (
	// paceWeight is the weight of the newest run in the averages.
	paceWeight = 0.05
	// hopeMargin is the part of the estimated run time that must be left for a
	// request to be worth starting; estimates are not exact.
	hopeMargin = 0.8
	// waitMargin is how much longer than estimated the wait may turn out: a
	// refusal at once is better than one after a wait in vain.
	waitMargin = 1.25
)

// pace is what a pool has shown of its speed at this box.
type pace struct {
	// perWork is the time a run takes for each token it may generate.
	perWork time.Duration
	// batchShare is the part of the picks that goes to batch while both wait.
	batchShare float64
	running    int
}

func newPace() *pace { return &pace{batchShare: 1} }

// ran notes a run of a request that could generate so many tokens.
func (p *pace) ran(took time.Duration, work int) {
	if work <= 0 {
		return
	}
	per := took / time.Duration(work)
	if p.perWork == 0 {
		p.perWork = per
		return
	}
	p.perWork += time.Duration(paceWeight * float64(per-p.perWork))
}

// picked notes which kind was picked while batch was waiting.
func (p *pace) picked(batch bool) {
	x := 0.0
	if batch {
		x = 1
	}
	p.batchShare += paceWeight * (x - p.batchShare)
}

// runTime is the estimate for one request.
func (p *pace) runTime(work int) time.Duration { return p.perWork * time.Duration(work) }

// wait is the estimate of the time that a queue's work takes by Little's law:
// all places are in use while requests wait, and each works perWork a token.
func (p *pace) wait(ahead queue.Load, interactive bool) time.Duration {
	if p.running == 0 {
		return 0
	}
	if interactive {
		return p.runTime(ahead.Interactive) / time.Duration(p.running)
	}
	// The share shows what interactive requests, those still to come among
	// them, take before batch.
	all := p.runTime(ahead.Interactive+ahead.Batch) / time.Duration(p.running)
	share := max(p.batchShare, 1.0/queue.BatchEvery)
	return max(all, time.Duration(float64(p.runTime(ahead.Batch))/float64(p.running)/share))
}

// paceOf returns a pool's pace; the caller holds the lock.
func (d *Dispatcher) paceOf(pool string) *pace {
	p := d.pace[pool]
	if p == nil {
		p = newPace()
		d.pace[pool] = p
	}
	return p
}
