// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"
)

// Guards against streams that leave a silent target before another one has accepted them.
func TestStreamStaysUntilAnotherTargetAcceptsIt(t *testing.T) {
	silent := func(net.Conn, received) { select {} }
	tests := map[string]struct {
		// other is how the other target answers the call.
		other script
		// isSilent is set if the other target answers no query either.
		isSilent bool
		// wakes is set if the silent target goes on once the other one has the call.
		wakes bool
		// goesOn is set if the stream is to go on at the other target.
		goesOn bool
	}{
		"it accepts the call":                      {other: chunks(true, event(1)), goesOn: true},
		"it accepts the call and begins late":      {other: laterThan(2*acceptWait, chunks(true, event(1))), goesOn: true},
		"it turns the call away":                   {other: rejects()},
		"it has another start":                     {other: rawResponse("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")},
		"it closes the connection":                 {other: closeConn()},
		"it is silent, too":                        {isSilent: true},
		"it has the call when the stream goes on":  {other: silent, wakes: true},
		"it has begun when the stream has gone on": {other: laterThan(acceptWait/2, chunks(false, event(1))), wakes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			one := newTarget(t, "one", append([]script{stallsUntil(released, event(0), event(1))}, slices.Repeat([]script{silent}, 1000)...)...)
			two := newTarget(t, "two", slices.Repeat([]script{func(c net.Conn, r received) {
				if test.isSilent {
					select {}
				}
				if r.path != "/report" && test.wakes {
					close(released)
				}
				reportsAndAnswers(test.other)(c, r)
			}}, 1000)...)
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.opts.EngineAPI = testEngineAPI{}
			f.stallWait, f.silentWait = 20*time.Millisecond, 100*time.Millisecond
			sink := &collector{}
			served := make(chan error, 1)
			go func() { served <- f.Serve(context.Background(), newCall("resume"), sink) }()
			if !test.goesOn && !test.wakes {
				// The other one has had the call, or the silent one has been asked twice, when the stream goes on.
				for len(served) == 0 && len(two.callsRead()) == 0 && (!test.isSilent || len(one.requests()) < 3) {
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
			if test.isSilent && len(two.callsRead()) > 0 {
				t.Error("the call was sent to a target that answers no query")
			}
		})
	}
}

// Guards against streams that are cut because the target that took them over turns them away later.
func TestStreamOutlastsTargetsThatTurnItAwayLate(t *testing.T) {
	rejectsLate := laterThan(2*acceptWait, rejects())
	tests := map[string]struct {
		// silentAgain and otherAgain are the answers of both targets to further calls.
		silentAgain, otherAgain script
	}{
		"the silent one takes it again":   {silentAgain: chunks(true, event(1)), otherAgain: rejects()},
		"the other one takes it again":    {silentAgain: rejects(), otherAgain: chunks(true, event(1))},
		"both turn it away for some time": {silentAgain: rejects(), otherAgain: after(4, rejects(), chunks(true, event(1)))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queries := func(answer script) script {
				return func(c net.Conn, r received) {
					if r.path == "/report" {
						select {}
					}
					answer(c, r)
				}
			}
			one := newTarget(t, "one", append([]script{stallsUntil(nil, event(0), "")}, slices.Repeat([]script{queries(test.silentAgain)}, 1000)...)...)
			calls := 0
			two := newTarget(t, "two", slices.Repeat([]script{reportsAndAnswers(func(c net.Conn, r received) {
				if calls++; calls > 1 {
					test.otherAgain(c, r)
					return
				}
				rejectsLate(c, r)
			})}, 1000)...)
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.opts.EngineAPI = testEngineAPI{}
			f.stallWait, f.silentWait = 20*time.Millisecond, 100*time.Millisecond
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall("resume"), sink); err != nil || !sink.ended || sink.body.String() != event(0)+event(1) {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
		})
	}
}

// after answers with first for n requests, and with then afterwards.
func after(n int, first, then script) script {
	return func(c net.Conn, r received) {
		if n--; n >= 0 {
			first(c, r)
			return
		}
		then(c, r)
	}
}

// laterThan answers after some time.
func laterThan(d time.Duration, answer script) script {
	return func(c net.Conn, r received) {
		time.Sleep(d)
		answer(c, r)
	}
}
