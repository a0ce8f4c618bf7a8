// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// stallOfTarget is how long a target is silent in the middle of a stream.
const stallOfTarget = 300 * time.Millisecond

// Guards against a stream that is cut off for the silence of its target although it can go on nowhere else.
func TestSilenceCutsNoStreamThatCannotGoOnElsewhere(t *testing.T) {
	whole := event(0) + event(1) + event(2)
	cases := map[string]struct {
		// versions are those of the targets; only "a" begins streams.
		versions map[string]string
		// report is what the target answers to a query of its start, nil where it isn't asked.
		report script
	}{
		"another target has its version": {versions: map[string]string{"a": "v1", "b": "v1"}},
		"another version":                {versions: map[string]string{"a": "v1", "b": "v2"}},
		"the version is not known":       {versions: map[string]string{"a": "", "b": ""}},
		"the only target":                {versions: map[string]string{"a": "v1"}},
		"the start is not known":         {versions: map[string]string{"a": "v1", "b": "v1"}, report: closeConn()},
		"its start is never told":        {versions: map[string]string{"a": "v1", "b": "v1"}, report: func(net.Conn, received) { select {} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := func(conn net.Conn, r received) {
				if r.path == "/report" {
					c.report(conn, r)
					return
				}
				chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
				_, _ = io.WriteString(conn, head(r.id, "Transfer-Encoding: chunked\r\n\r\n")+chunk(event(0)))
				time.Sleep(stallOfTarget)
				_, _ = io.WriteString(conn, chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
			}
			goesOn := func(conn net.Conn, r received) {
				if r.path == "/report" {
					respond(200, "0 0 10")(conn, r)
					return
				}
				chunks(true, event(1), event(2))(conn, r)
			}
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "a", silent, silent, silent), newTarget(t, "b", goesOn, goesOn))
			if c.report != nil {
				f.opts.EngineAPI = testEngineAPI{}
				starts(f, c.versions, 10)
			} else {
				setVersions(f, c.versions)
			}
			f.stallWait, f.silentWait = stallOfTarget/10, stallOfTarget/10
			got := &collector{}
			err := f.Serve(context.Background(), newCall("resume"), got)
			if got.body.String() != whole || !got.ended {
				t.Errorf("got %q, ended %v, %v; want the whole stream", got.body.String(), got.ended, err)
			}
		})
	}
}

// Guards against a first attempt that is given up although the call can have no other one.
func TestFirstAttemptIsNotGivenUpInVain(t *testing.T) {
	tests := map[string]struct {
		route string
		// others is the number of other targets.
		others  int
		noRetry bool
		// isLimited is set if the wait for the header is limited, and goesOn if another target is to answer.
		isLimited, goesOn bool
	}{
		"no other target":                   {route: "safe", isLimited: true},
		"no retry left":                     {route: "safe", others: 1, noRetry: true, isLimited: true},
		"another target":                    {route: "safe", others: 1, goesOn: true},
		"no other target, a stream":         {route: "resume", isLimited: true},
		"no retry left, a stream":           {route: "resume", others: 1, noRetry: true, isLimited: true},
		"another target, a stream":          {route: "resume", others: 1, goesOn: true},
		"a route with one attempt":          {route: "unsafe", others: 1},
		"a stream that may not be repeated": {route: "stream", others: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			answer := respond(200, "answer")
			if test.route == "resume" || test.route == "stream" {
				answer = chunks(true, event(0))
			}
			one := newTarget(t, "one", func(c net.Conn, r received) {
				<-released
				answer(c, r)
			})
			list := []*target{one}
			for range test.others {
				list = append(list, newTarget(t, "two", answer))
			}
			f := newForwarder(t, &fakeLeases{}, list...)
			shortenObjectives(f)
			f.stallWait = 20 * time.Millisecond
			if test.noRetry {
				f.opts.RetryStock = 0
			}
			log := &lockedBuffer{}
			f.opts.Logger = slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			sink := &collector{}
			served := make(chan error, 1)
			go func() { served <- f.Serve(context.Background(), newCall(test.route), sink) }()
			if !test.goesOn {
				// A route that allows no other attempt has no limit to wait for.
				for test.isLimited && !strings.Contains(log.String(), "goes on at a slow target") {
					if len(served) > 0 {
						t.Fatalf("Serve returned %v while the target was silent: %s", <-served, log)
					}
					time.Sleep(time.Millisecond)
				}
				close(released)
			}
			if err := <-served; err != nil || !sink.ended || sink.status != 200 {
				t.Fatalf("Serve returned %v, ended %v: status %d", err, sink.ended, sink.status)
			}
			if test.goesOn {
				close(released)
			}
			if len(list) > 1 && (len(list[1].requests()) > 0) != test.goesOn {
				t.Errorf("the other target got %d calls, want any: %v", len(list[1].requests()), test.goesOn)
			}
		})
	}
}
