// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// A long prompt waits until every prompt before it has been prefilled, and a box knows only
// those that it sent itself. So the few targets that are dedicated to long prompts are queried
// for their queues before one is sent there. Long prompts are rare, so this takes a few requests
// a second over the whole fleet.

// reportTimeout limits the queries for one call: a round trip between data centres and a
// margin. Waiting for a later answer would cost more than it saves.
const reportTimeout = 25 * time.Millisecond

// EngineReport is the load report of an engine.
type EngineReport struct {
	// Queued is the number of calls whose prefill has not started.
	Queued int
	// Prefilling is the number of calls in prefill.
	Prefilling int
	// Running is the number of calls that generate output.
	Running int
	// Born is when the engine started, in Unix milliseconds by its own clock, zero if it doesn't say.
	Born int64
}

type targetReport struct {
	target *spread.Target
	report EngineReport
}

// leastBusyDedicated returns the dedicated target with the fewest prompts queued, and their
// number. If none answers in time it returns the one that was chosen already, and 0. A prompt
// that this box has sent to a target counts even if the report is older.
func (f *Forwarder) leastBusyDedicated(ctx context.Context, c spread.Choice) (best *spread.Target, load int) {
	if f.opts.EngineAPI == nil {
		return c.Target, 0
	}
	ctx, cancel := context.WithTimeout(ctx, f.reportWait)
	defer cancel()
	answers := make(chan targetReport, len(c.Dedicated))
	for _, t := range c.Dedicated {
		go func() { f.queryReport(ctx, t, answers) }()
	}
	best, least := c.Target, -1
	for range c.Dedicated {
		select {
		case <-ctx.Done():
			return best, max(0, least)
		case a := <-answers:
			if a.target == nil {
				continue
			}
			load := f.promptsAt(a)
			if least < 0 || load < least || load == least && a.target == c.Target {
				best, least = a.target, load
			}
		}
	}
	return best, max(0, least)
}

// promptsAt returns how many prompts a target has queued.
func (f *Forwarder) promptsAt(a targetReport) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := a.report.Queued + a.report.Prefilling
	if load == 0 && a.target.WaitingTokens > 0 {
		return 1
	}
	return load
}

// queryReport queries the load report of a target and sends it to answers; an entry without a
// target if there is none.
func (f *Forwarder) queryReport(ctx context.Context, t *spread.Target, answers chan<- targetReport) {
	status, body, err := f.request(ctx, t, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	if err != nil || status != http.StatusOK {
		f.opts.Logger.Debug("no load report from a dedicated target", "target", t.ID, "status", status, "error", err)
		answers <- targetReport{}
		return
	}
	report, err := f.opts.EngineAPI.Report(body)
	if err != nil {
		f.opts.Logger.Warn("can't parse the load report of a target", "target", t.ID, "reason", err.Error())
		answers <- targetReport{}
		return
	}
	answers <- targetReport{target: t, report: report}
}
