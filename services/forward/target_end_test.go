// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/structs"
)

// fakeQuarantine is a Quarantine that records its calls.
type fakeQuarantine struct {
	mu    sync.Mutex
	held  map[quarantine.Digest]bool
	ended []string
	// served counts successful calls, reported receives a value for each recorded end.
	served int
	// partEnds and partSuccesses are the parts that were recorded.
	partEnds, partSuccesses []quarantine.Digest
	reported                chan struct{}
	// onHoldLeft is called by HoldLeft.
	onHoldLeft func(n *fakeQuarantine, c quarantine.Digest)
}

func newFakeQuarantine() *fakeQuarantine {
	return &fakeQuarantine{held: map[quarantine.Digest]bool{}, reported: make(chan struct{}, 100), onHoldLeft: func(*fakeQuarantine, quarantine.Digest) {}}
}

func (n *fakeQuarantine) HoldLeft(c quarantine.Digest) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onHoldLeft(n, c)
	return time.Minute, n.held[c]
}

func (n *fakeQuarantine) RecordEnd(_ quarantine.Digest, target string, weight uint32) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = append(n.ended, map[uint32]string{quarantine.EarlyEnd: "early ", quarantine.LateEnd: "late "}[weight]+target)
	n.reported <- struct{}{}
}

func (n *fakeQuarantine) PartsHoldLeft(parts []quarantine.Digest) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range parts {
		if n.held[c] {
			return time.Minute, true
		}
	}
	return 0, false
}

func (n *fakeQuarantine) RecordPartEnds(parts []quarantine.Digest, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partEnds = append(n.partEnds, parts...)
}

func (n *fakeQuarantine) RecordPartSuccess(parts []quarantine.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partSuccesses = append(n.partSuccesses, parts...)
}

func (n *fakeQuarantine) RecordSuccess(quarantine.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.served++
}

// closesListener closes the target's listener before then runs.
func closesListener(tg **target, then script) script {
	return func(c net.Conn, r received) {
		_ = (*tg).l.Close()
		then(c, r)
	}
}

func resetConn() script {
	return func(c net.Conn, _ received) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// shortenObjectives gives all routes a short latency objective so that the watchdog fires soon.
func shortenObjectives(f *Forwarder) {
	table := proto.CloneOf(f.opts.Store.Index().Table)
	table.Version++
	for _, r := range table.GetRoutes() {
		r.Objective = 40
	}
	_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{Routing: table})
}

// A target has ended during a call if it dropped the call, and its machine accepts no
// connection or a new instance has taken its place.
func TestTargetEndsDuringCall(t *testing.T) {
	row := func(f *Forwarder, id string, born int64, address string, state statev1.RegisteredTarget_State, revision uint64) {
		r := &statev1.RegisteredTarget{Id: id, Born: born, Service: "s", Address: address, DataCentre: "dc", Version: "v1", State: state, Revision: revision}
		_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{r}, TargetRevision: revision})
		f.Refresh()
	}
	cases := map[string]struct {
		route string
		// then is what the target does, after closing its listener if ends is set.
		then script
		ends bool
		// before and after change the target's registration before the call is dropped and
		// after Serve has returned.
		before, after func(f *Forwarder, address string)
		// others is the number of other targets, which answer the call.
		others int
		// wait is how long the caller waits, zero for the time of the route.
		wait time.Duration
		want []string
	}{
		"ends before the answer":   {route: "unsafe", then: closeConn(), ends: true, want: []string{"early one"}},
		"resets before the answer": {route: "unsafe", then: resetConn(), ends: true, want: []string{"early one"}},
		"ends after the head":      {route: "stream", then: chunks(false), ends: true, want: []string{"early one"}},
		"ends after an event":      {route: "stream", then: chunks(false, event(0)), ends: true, want: []string{"late one"}},
		"ends in an answer":        {route: "unsafe", then: rawResponse(head("ID", "Content-Length: 9\r\n\r\nabc")), ends: true, want: []string{"early one"}},
		"closes and keeps running": {route: "unsafe", then: closeConn()},
		"resets and keeps running": {route: "stream", then: resetConn()},
		"replaced before the call is dropped": {route: "unsafe", then: closeConn(), before: func(f *Forwarder, address string) {
			row(f, "one", 0, address, statev1.RegisteredTarget_STATE_GONE, 9)
			row(f, "two", 0, address, statev1.RegisteredTarget_STATE_READY, 10)
		}, want: []string{"early one"}},
		"announces that it is gone and ends": {route: "unsafe", then: closeConn(), ends: true, before: func(f *Forwarder, address string) {
			row(f, "one", 0, address, statev1.RegisteredTarget_STATE_GONE, 9)
		}},
		"stops answering and is replaced, the only target": {route: "safe", wait: 400 * time.Millisecond, then: func(net.Conn, received) { select {} }, after: func(f *Forwarder, address string) {
			row(f, "one", 5, address, statev1.RegisteredTarget_STATE_READY, 9)
		}, want: []string{"early one"}},
		"stops answering and is replaced": {route: "safe", others: 1, then: func(net.Conn, received) { select {} }, after: func(f *Forwarder, address string) {
			row(f, "one", 5, address, statev1.RegisteredTarget_STATE_READY, 9)
		}, want: []string{"early one"}},
		"drains and ends": {route: "unsafe", then: closeConn(), ends: true, before: func(f *Forwarder, address string) {
			row(f, "one", 0, address, statev1.RegisteredTarget_STATE_DRAINING, 9)
		}},
		"new instance at its address": {route: "unsafe", then: closeConn(), after: func(f *Forwarder, address string) {
			row(f, "one", 0, address, statev1.RegisteredTarget_STATE_GONE, 9)
			row(f, "two", 0, address, statev1.RegisteredTarget_STATE_READY, 10)
		}, want: []string{"early one"}},
		"restarts under its id": {route: "unsafe", then: closeConn(), after: func(f *Forwarder, address string) {
			row(f, "one", 5, address, statev1.RegisteredTarget_STATE_READY, 9)
		}, want: []string{"early one"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var one *target
			then := c.then
			if c.ends {
				then = closesListener(&one, c.then)
			}
			changed := make(chan struct{})
			one = newTarget(t, "one", func(conn net.Conn, r received) {
				<-changed
				then(conn, r)
			})
			n := newFakeQuarantine()
			list := []*target{one}
			for range c.others {
				list = append(list, newTarget(t, "other", respond(200, "answer")))
			}
			f := newForwarder(t, &fakeLeases{}, list...)
			f.opts.Quarantine = n
			shortenObjectives(f)
			go func() {
				defer close(changed)
				for len(one.requests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				if c.before != nil {
					c.before(f, one.l.Addr().String())
				}
			}()
			call := newCall(c.route)
			call.MaxWait = c.wait
			_ = f.Serve(context.Background(), call, &collector{})
			if c.after != nil {
				c.after(f, one.l.Addr().String())
			}
			for range c.want {
				<-n.reported
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			n.mu.Lock()
			defer n.mu.Unlock()
			if diff := cmp.Diff(c.want, n.ended); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Guards against ends of targets that are never counted: while no other target is reached, a box
// can't tell a target that has ended from the loss of its own links.
func TestEndIsConfirmedOnceAnotherTargetIsReached(t *testing.T) {
	tests := map[string]struct {
		// then is what the target does, after closing its listener if ends is set.
		then script
		ends bool
		// leaves is set if the target announces its end before the links work again.
		leaves bool
		want   []string
	}{
		"the target has ended":         {then: closeConn(), ends: true, want: []string{"early a"}},
		"it has ended within a stream": {then: chunks(false, event(0)), ends: true, want: []string{"late a"}},
		"the target runs":              {then: closeConn()},
		"it has announced its end":     {then: closeConn(), ends: true, leaves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a *target
			links := &links{}
			a = newTarget(t, "a", func(c net.Conn, r received) {
				if test.ends {
					_ = a.l.Close()
				}
				links.set(linkRefuses, a)
				test.then(c, r)
			})
			b := newTarget(t, "b")
			f, n := newForwarder(t, &fakeLeases{}, a, b), newFakeQuarantine()
			f.opts.Quarantine = n
			links.replaceDials(f)
			links.set(linkRefuses, b)
			_ = f.Serve(context.Background(), newCall("stream"), &collector{})
			awaitConfirmations(f)
			if len(n.ended) > 0 {
				t.Fatalf("counted while no target was reached: %v", n.ended)
			}
			if test.leaves {
				row := &statev1.RegisteredTarget{Id: "a", Service: "s", Address: a.l.Addr().String(), DataCentre: "dc", Version: "v1", State: statev1.RegisteredTarget_STATE_GONE, Revision: 9}
				_, _ = f.opts.Store.Apply(&betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{row}, TargetRevision: 9})
				f.Refresh()
			}
			links.set(linkWorks, a, b)
			awaitOwnLinks(f)
			confirmPending(f)
			if diff := cmp.Diff(test.want, n.ended); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// awaitConfirmations waits until no target that dropped a call is being dialled.
func awaitConfirmations(f *Forwarder) {
	for {
		probing := false
		f.mu.Lock()
		for _, e := range f.breaks {
			probing = probing || e.probing
		}
		f.mu.Unlock()
		if !probing {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// confirmPending dials all targets whose end is not decided once more.
func confirmPending(f *Forwarder) {
	f.confirmEnds(f.opts.Clock.Boot() + confirmInterval)
	awaitConfirmations(f)
}

// A quarantined call is refused as not run, also when the quarantine begins while it waits; a
// call that may have run is not reported as not run.
func TestQuarantinedCallsAreRefused(t *testing.T) {
	cases := map[string]struct {
		route   string
		scripts []script
		// holdAt is the number of the HoldLeft query from which on the call is quarantined.
		holdAt int
		kind   structs.Kind
		sends  int
	}{
		"quarantined before":                     {route: "resume", holdAt: 1, kind: structs.KindQuarantined},
		"quarantined while it waits":             {route: "resume", holdAt: 2, kind: structs.KindQuarantined},
		"quarantined after a target ended":       {route: "safe", scripts: []script{closeConn()}, holdAt: 3, kind: structs.KindTargetFailed, sends: 1},
		"quarantined after a target rejected it": {route: "unsafe", scripts: []script{rejects()}, holdAt: 3, kind: structs.KindQuarantined, sends: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", c.scripts...)
			two := newTarget(t, "two", c.scripts...)
			n := newFakeQuarantine()
			queries := 0
			n.onHoldLeft = func(n *fakeQuarantine, content quarantine.Digest) {
				queries++
				n.held[content] = queries >= c.holdAt
			}
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.opts.Quarantine = n
			var refusal *Refusal
			if err := f.Serve(context.Background(), newCall(c.route), &collector{}); !errors.As(err, &refusal) {
				t.Fatalf("got %v", err)
			}
			if refusal.Kind != c.kind || (refusal.Run == structs.RunNo) != (c.kind == structs.KindQuarantined) {
				t.Fatalf("kind %s, run %s", refusal.Kind, refusal.Run)
			}
			if refusal.Kind == structs.KindQuarantined && refusal.RetryAfter != time.Minute {
				t.Fatalf("retry after %s", refusal.RetryAfter)
			}
			if got := len(one.requests()) + len(two.requests()); got != c.sends {
				t.Fatalf("%d sends, want %d", got, c.sends)
			}
		})
	}
}

func TestContentDigest(t *testing.T) {
	same := func() *Call { return newCall("safe") }
	first := contentDigestOf("o", same())
	cases := map[string]struct {
		organisation string
		change       func(c *Call)
		same         bool
	}{
		"another id":           {organisation: "o", change: func(c *Call) { c.ID = "id-2" }, same: true},
		"other fields":         {organisation: "o", change: func(c *Call) { c.Fields = nil; c.MaxWait = time.Second; c.LastEvent = 4 }, same: true},
		"another body":         {organisation: "o", change: func(c *Call) { c.Body = []byte("questions") }},
		"another path":         {organisation: "o", change: func(c *Call) { c.URI = "/safe/y?q=1" }},
		"another query":        {organisation: "o", change: func(c *Call) { c.URI = "/safe/x?q=2" }},
		"another method":       {organisation: "o", change: func(c *Call) { c.Method = http.MethodPut }},
		"another organisation": {organisation: "p", change: func(*Call) {}},
		"bytes moved from body to path": {organisation: "o", change: func(c *Call) {
			c.URI, c.Body = c.URI+"q", c.Body[1:]
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call := same()
			c.change(call)
			if got := contentDigestOf(c.organisation, call) == first; got != c.same {
				t.Fatalf("same digest: %v", got)
			}
		})
	}
}

func TestServedCallsAreRecorded(t *testing.T) {
	cases := map[string]struct {
		route  string
		script script
		served int
	}{
		"whole":         {route: "safe", script: respond(200, "x"), served: 1},
		"client error":  {route: "safe", script: respond(404, "x"), served: 1},
		"failed":        {route: "unsafe", script: respond(500, "x")},
		"stream":        {route: "stream", script: chunks(true, event(0)), served: 1},
		"broken stream": {route: "stream", script: chunks(false, event(0))},
		"rejected":      {route: "unsafe", script: rejects()},
		"closed":        {route: "unsafe", script: closeConn()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFakeQuarantine()
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", c.script))
			f.opts.Quarantine = n
			_ = f.Serve(context.Background(), newCall(c.route), &collector{})
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.served != c.served {
				t.Fatalf("%d served, want %d", n.served, c.served)
			}
		})
	}
}

// If the target that resumes a moved run ends, that counts against the call as usual. The
// target that was told to stop the run has not ended.
func TestMovedRunEndsItsTarget(t *testing.T) {
	e := &engineScript{copies: 200, stops: 200, stopped: make(chan struct{}), released: make(chan string, 1)}
	targets := map[string]*target{}
	ended := make(chan string, 4)
	answer := func(name string) script {
		return func(c net.Conn, r received) {
			if r.resume == "" {
				e.answer(c, r)
				return
			}
			ended <- name
			_ = targets[name].l.Close()
			_ = c.Close()
		}
	}
	var list []*target
	for _, name := range []string{"one", "two", "three", "four"} {
		s := answer(name)
		targets[name] = newTarget(t, name, s, s, s, s, s, s, s, s)
		list = append(list, targets[name])
	}
	f := newMovingForwarder(t, &fakeLeases{}, list...)
	n := newFakeQuarantine()
	f.opts.Quarantine = n
	if err := f.Serve(context.Background(), longCall(), &collector{}); err == nil {
		t.Fatal("Serve succeeded although the run ended its target")
	}
	<-n.reported
	first := <-ended
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended[0] != "early "+first || n.served != 0 {
		t.Fatalf("recorded ends %v, %d served; %s ended", n.ended, n.served, first)
	}
}
