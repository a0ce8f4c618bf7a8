// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// A long prompt waits for the whole of another one that is read before it, and a
// box sees only those that it sent itself. So the few targets that read long
// prompts are asked what they read before one is sent there. Long prompts are
// rare, so this is a few questions a second over the whole fleet.

// reportTimeout bounds the questions to all readers: a round trip between data
// centres with a margin. An answer that comes later costs more than it saves.
const reportTimeout = 25 * time.Millisecond

// EngineReport is what an engine tells of its work.
type EngineReport struct {
	// Waiting is how many calls it has not begun to read.
	Waiting int
	// Reading is how many calls it has begun to read and not yet answered.
	Reading int
	// Running is how many calls it answers.
	Running int
}

// readersReport is the answer of one reader.
type readersReport struct {
	reader *spread.Target
	report EngineReport
}

// leastReading returns the reader with the fewest prompts to read and how many
// these are; the one that was chosen already, and none, when no reader answers in
// time. What this box has sent a reader counts even if its report is older.
func (f *Forwarder) leastReading(ctx context.Context, c spread.Choice) (best *spread.Target, load int) {
	if f.opts.Orders == nil {
		return c.Target, 0
	}
	ctx, cancel := context.WithTimeout(ctx, f.reportWait)
	defer cancel()
	answers := make(chan readersReport, len(c.Readers))
	for _, r := range c.Readers {
		go func() { f.askReader(ctx, r, answers) }()
	}
	best, least := c.Target, -1
	for range c.Readers {
		select {
		case <-ctx.Done():
			return best, max(0, least)
		case a := <-answers:
			if a.reader == nil {
				continue
			}
			load := f.readingAt(a)
			if least < 0 || load < least || load == least && a.reader == c.Target {
				best, least = a.reader, load
			}
		}
	}
	return best, max(0, least)
}

// readingAt counts the prompts that a reader has before it.
func (f *Forwarder) readingAt(a readersReport) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := a.report.Waiting + a.report.Reading
	if load == 0 && a.reader.Waiting > 0 {
		return 1
	}
	return load
}

// askReader asks one reader for its report; it answers without a reader when
// there is none.
func (f *Forwarder) askReader(ctx context.Context, r *spread.Target, answers chan<- readersReport) {
	status, body, err := f.order(ctx, r, useReports, http.MethodGet, f.opts.Orders.ReportPath(), nil)
	if err != nil || status != http.StatusOK {
		f.opts.Logger.Debug("no report of a reader", "target", r.ID, "status", status, "error", err)
		answers <- readersReport{}
		return
	}
	report, err := f.opts.Orders.Report(body)
	if err != nil {
		f.opts.Logger.Warn("the report of a target can't be read", "target", r.ID, "reason", err.Error())
		answers <- readersReport{}
		return
	}
	answers <- readersReport{reader: r, report: report}
}
