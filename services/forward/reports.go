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
// those that it sent itself. So the few targets that prefill long prompts ("readers") are asked
// for their queue before one is sent there. Long prompts are rare, so this takes a few requests
// a second over the whole fleet.

// reportTimeout limits the queries to all readers: a round trip between data centres and a
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
}

type readerReport struct {
	reader *spread.Target
	report EngineReport
}

// leastBusyReader returns the reader with the fewest prompts queued, and their number. If no
// reader answers in time it returns the one that was chosen already, and 0. A prompt that this
// box has sent to a reader counts even if the report is older.
func (f *Forwarder) leastBusyReader(ctx context.Context, c spread.Choice) (best *spread.Target, load int) {
	if f.opts.EngineAPI == nil {
		return c.Target, 0
	}
	ctx, cancel := context.WithTimeout(ctx, f.reportWait)
	defer cancel()
	answers := make(chan readerReport, len(c.Dedicated))
	for _, r := range c.Dedicated {
		go func() { f.askReader(ctx, r, answers) }()
	}
	best, least := c.Target, -1
	for range c.Dedicated {
		select {
		case <-ctx.Done():
			return best, max(0, least)
		case a := <-answers:
			if a.reader == nil {
				continue
			}
			load := f.promptsAt(a)
			if least < 0 || load < least || load == least && a.reader == c.Target {
				best, least = a.reader, load
			}
		}
	}
	return best, max(0, least)
}

// promptsAt returns how many prompts a reader has queued.
func (f *Forwarder) promptsAt(a readerReport) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := a.report.Queued + a.report.Prefilling
	if load == 0 && a.reader.WaitingTokens > 0 {
		return 1
	}
	return load
}

// askReader queries the report of one reader and sends it to answers; an entry without a reader
// if there is none.
func (f *Forwarder) askReader(ctx context.Context, r *spread.Target, answers chan<- readerReport) {
	status, body, err := f.request(ctx, r, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	if err != nil || status != http.StatusOK {
		f.opts.Logger.Debug("no load report from a reader", "target", r.ID, "status", status, "error", err)
		answers <- readerReport{}
		return
	}
	report, err := f.opts.EngineAPI.Report(body)
	if err != nil {
		f.opts.Logger.Warn("can't parse the load report of a target", "target", r.ID, "reason", err.Error())
		answers <- readerReport{}
		return
	}
	answers <- readerReport{reader: r, report: report}
}
