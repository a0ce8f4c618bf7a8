// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// stallsUntil begins a stream, and completes it once released is closed. Meanwhile it answers no request.
func stallsUntil(released <-chan struct{}, first, rest string) script {
	return func(c net.Conn, r received) {
		_, _ = io.WriteString(c, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(first), first)
		<-released
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	}
}

// reportsAndAnswers answers queries with a report and calls with a script.
func reportsAndAnswers(answer script) script {
	return func(c net.Conn, r received) {
		if r.path == "/report" {
			respondReport(200, "0 0")(c, r)
			return
		}
		answer(c, r)
	}
}

// callsRead returns the requests that are no queries for reports.
func (tg *target) callsRead() (list []received) {
	for _, r := range tg.requests() {
		if r.path != "/report" {
			list = append(list, r)
		}
	}
	return list
}

// Guards against streams that are cut because their target was silent in the middle of them.
func TestStalledStreamIsNotCut(t *testing.T) {
	silent := func(net.Conn, received) { select {} }
	report := respondReport(200, "0 0")
	tests := map[string]struct {
		// report is how the target answers the queries during the stall.
		report script
		// others are the scripts of another target, nil for none.
		others []script
		// othersFirst is set if the call is sent to the other target first.
		othersFirst bool
		// noRetry is set if no retry is left in the budget.
		noRetry bool
		// silentWait is how long an answer to a query is waited for.
		silentWait time.Duration
		// goesOn is set if the stream is to go on at the other target.
		goesOn bool
	}{
		"it answers queries, another target has room":  {report: report, silentWait: time.Minute, others: slices.Repeat([]script{reportsAndAnswers(chunks(true, event(1)))}, 3)},
		"it answers queries, no other target":          {report: report, silentWait: time.Minute},
		"it answers with an error":                     {report: respondReport(503, ""), silentWait: time.Minute, others: slices.Repeat([]script{reportsAndAnswers(chunks(true, event(1)))}, 3)},
		"it answers no query, no other target":         {report: silent, silentWait: 20 * time.Millisecond},
		"it answers no query, no retry left":           {report: silent, silentWait: 20 * time.Millisecond, others: slices.Repeat([]script{reportsAndAnswers(chunks(true, event(1)))}, 3), noRetry: true},
		"it answers no query, another target has room": {report: silent, silentWait: 20 * time.Millisecond, others: slices.Repeat([]script{reportsAndAnswers(chunks(true, event(1)))}, 3), goesOn: true},
		"it closes the connection of a query":          {report: closeConn(), silentWait: time.Minute, others: slices.Repeat([]script{reportsAndAnswers(chunks(true, event(1)))}, 3)},
		"its other target has turned the call away":    {report: silent, silentWait: 20 * time.Millisecond, others: []script{rejects()}, othersFirst: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			one := newTarget(t, "one", append([]script{stallsUntil(released, event(0), event(1))}, slices.Repeat([]script{test.report}, 1000)...)...)
			list := []*target{one}
			if test.others != nil {
				list = append(list, newTarget(t, "two", test.others...))
			}
			if test.othersFirst {
				slices.Reverse(list)
			}
			f := newForwarder(t, &fakeLeases{}, list...)
			f.opts.EngineAPI = testEngineAPI{}
			f.stallWait, f.silentWait = 20*time.Millisecond, test.silentWait
			if test.noRetry {
				f.opts.RetryStock = 0
			}
			log := &lockedBuffer{}
			f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
			sink := &collector{}
			served := make(chan error, 1)
			go func() { served <- f.Serve(context.Background(), newCall("resume"), sink) }()
			if !test.goesOn {
				// It has been decided twice that the stream stays when the target goes on.
				for strings.Count(log.String(), "goes on at a slow target") < 2 && len(served) == 0 {
					time.Sleep(time.Millisecond)
				}
				close(released)
			}
			if err := <-served; err != nil || !sink.ended || sink.body.String() != event(0)+event(1) {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
			if test.goesOn {
				close(released)
			}
			if len(list) > 1 && !test.othersFirst && (len(list[1].callsRead()) > 0) != test.goesOn {
				t.Errorf("the other target got %d calls, want any: %v", len(list[1].callsRead()), test.goesOn)
			}
		})
	}
}
