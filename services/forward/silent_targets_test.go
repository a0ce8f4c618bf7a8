// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// respondsAfter answers a report with the given script and hangs up on calls once released is closed.
func respondsAfter(released <-chan struct{}, report script) script {
	return func(c net.Conn, r received) {
		if r.path == "/report" {
			report(c, r)
			return
		}
		<-released
		_ = c.Close()
	}
}

// countReports returns how many queries a target has had.
func countReports(tg *target) int {
	n := 0
	for _, r := range tg.requests() {
		if r.path == "/report" {
			n++
		}
	}
	return n
}

// Guards against further attempts at a target that this box knows to be silent.
func TestFurtherAttemptsAvoidSilentTargets(t *testing.T) {
	cases := map[string]struct {
		// report is how the target answers queries; nil if it does so only once it goes on.
		report script
		// want is the target of a further attempt, and after that of one once the target has gone on.
		want, after string
	}{
		"it answers no query":                   {want: "two", after: "one"},
		"it answers":                            {report: respondReport(200, "0 0"), want: "one", after: "one"},
		"it answers with an error":              {report: respondReport(503, ""), want: "one", after: "one"},
		"it closes the connection of the query": {report: closeConn(), want: "one", after: "one"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			answer := c.report
			if answer == nil {
				answer = func(conn net.Conn, r received) {
					<-released
					respondReport(200, "0 0")(conn, r)
				}
			}
			var scripts []script
			for range 1000 {
				scripts = append(scripts, respondsAfter(released, answer))
			}
			one, two, three := newTarget(t, "one", scripts...), newTarget(t, "two"), newTarget(t, "three")
			f := newForwarder(t, &fakeLeases{}, one, two, three)
			f.opts.EngineAPI = testEngineAPI{}
			f.silentWait = 50 * time.Millisecond
			f.silence = spread.SilenceTerms{Quiet: 20 * time.Millisecond, Interval: 20 * time.Millisecond}
			chosen := func() string {
				f.mu.Lock()
				defer f.mu.Unlock()
				// The others have more calls, so that only silence speaks for them.
				f.targets.ByID("two").RunningCalls, f.targets.ByID("three").RunningCalls = 5, 9
				return f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{"three": true}}, f.opts.Clock.Boot()).Target.ID
			}
			served := make(chan error, 1)
			go func() { served <- f.Serve(context.Background(), newCall("unsafe"), &collector{}) }()
			for countReports(one) < 2 {
				time.Sleep(time.Millisecond)
			}
			for c.want == "two" && chosen() != c.want {
				time.Sleep(time.Millisecond)
			}
			if got := chosen(); got != c.want {
				t.Errorf("a further attempt goes to %s, want %s", got, c.want)
			}
			close(released)
			<-served
			for chosen() != c.after {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against queries to targets for which silence says nothing.
func TestTargetsThatAreNeverAsked(t *testing.T) {
	cases := map[string]func(f *Forwarder){
		"no engine API":        func(f *Forwarder) { f.opts.EngineAPI = nil },
		"the box is congested": func(f *Forwarder) { f.opts.IsCongested = func() bool { return true } },
		"no engines":           func(f *Forwarder) { f.targets.SetEngineTerms(nil) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			one := newTarget(t, "one", respondsAfter(released, closeConn()), respondsAfter(released, closeConn()))
			f := newForwarder(t, &fakeLeases{}, one)
			f.opts.EngineAPI = testEngineAPI{}
			f.silence = spread.SilenceTerms{Quiet: time.Hour}
			change(f)
			served := make(chan error, 1)
			go func() { served <- f.Serve(context.Background(), newCall("unsafe"), &collector{}) }()
			for len(one.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			f.silence = spread.SilenceTerms{}
			x := f.targets.ByID("one")
			if name == "the box is congested" {
				f.look(x)
			}
			if f.isSilent(context.Background(), x) {
				t.Error("the target counts as silent")
			}
			close(released)
			<-served
			if n := countReports(one); n > 0 {
				t.Errorf("the target got %d queries", n)
			}
		})
	}
}

// Guards against one query of each stalled stream to the target that they share.
func TestStalledStreamsShareOneQuery(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	hangs := func(net.Conn, received) { <-released }
	var scripts []script
	for range 100 {
		scripts = append(scripts, hangs)
	}
	one := newTarget(t, "one", scripts...)
	f := newForwarder(t, &fakeLeases{}, one)
	f.opts.EngineAPI = testEngineAPI{}
	var all sync.WaitGroup
	for range 20 {
		all.Add(1)
		go func() {
			defer all.Done()
			if !f.isSilent(context.Background(), f.targets.ByID("one")) {
				t.Error("the target does not count as silent")
			}
		}()
	}
	all.Wait()
	if n := countReports(one); n != 1 {
		t.Errorf("the target got %d queries, want 1", n)
	}
}

// Guards against calls that are held by a silent target until there is no time for another one.
func TestCallLeavesSilentTargetInTime(t *testing.T) {
	cases := map[string]struct {
		report  script
		maxWait time.Duration
	}{
		"it answers no query":           {report: func(net.Conn, received) { select {} }, maxWait: 3 * time.Second},
		"it answers, the call is short": {report: respondReport(200, "0 0"), maxWait: time.Second},
	}
	for name, c := range cases {
		for _, route := range []string{"safe", "resume"} {
			t.Run(name+", "+route, func(t *testing.T) {
				t.Parallel()
				released := make(chan struct{})
				t.Cleanup(func() { close(released) })
				var scripts []script
				for range 100 {
					scripts = append(scripts, respondsAfter(released, c.report))
				}
				one, two := newTarget(t, "one", scripts...), newTarget(t, "two", chunks(true, event(0)))
				f := newForwarder(t, &fakeLeases{}, one, two)
				f.opts.EngineAPI = testEngineAPI{}
				f.silentWait = 50 * time.Millisecond
				call, sink := newCall(route), &collector{}
				call.MaxWait = c.maxWait
				if err := f.Serve(context.Background(), call, sink); err != nil || sink.body.String() != event(0) {
					t.Errorf("Serve returned %v: %q, want the answer of the other target", err, sink.body.String())
				}
			})
		}
	}
}
