// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
)

// In whichever phase a caller disconnects, no target gets its call afterwards, and a target
// that runs it sees its connection closed. An idle connection carried the call of a caller that
// had left while tokens were reserved for it.
func TestCallerDisconnects(t *testing.T) {
	// leaving disconnects the caller once a target has the call, before the script continues.
	leaving := func(then script) func(leave func()) script {
		return func(leave func()) script {
			return func(c net.Conn, r received) {
				leave()
				then(c, r)
			}
		}
	}
	silent := func(net.Conn, received) { select {} }
	cases := map[string]struct {
		route string
		// script is the behaviour of the target that gets the call, nil if none gets it.
		script func(leave func()) script
		// leave arranges for the caller to disconnect before that.
		leave func(f *Forwarder, b *fakeLeases, leave func())
		sends int
	}{
		"while tokens are reserved": {route: "unsafe", leave: func(_ *Forwarder, b *fakeLeases, leave func()) {
			b.onReserve = leave
		}},
		"during the quarantine check": {route: "safe", leave: func(f *Forwarder, _ *fakeLeases, leave func()) {
			n := newFakeQuarantine()
			n.onHoldLeft = func(*fakeQuarantine, quarantine.Digest) { leave() }
			f.opts.Quarantine = n
		}},
		"while a target rejects it": {route: "unsafe", sends: 1, script: leaving(rejects())},
		"while a target drops it":   {route: "safe", sends: 1, script: leaving(closeConn())},
		"while a target is silent":  {route: "resume", sends: 1, script: leaving(silent)},
		"during a stream": {route: "resume", sends: 1, script: leaving(func(c net.Conn, r received) {
			chunks(false, event(0))(silentClose{c}, r)
			select {}
		})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			scripts := []script{respond(200, "x")}
			if c.script != nil {
				scripts = append(scripts, c.script(cancel))
			}
			one, two := newTarget(t, "one", scripts...), newTarget(t, "two", scripts...)
			b := &fakeLeases{}
			f := newForwarder(t, b, one, two)
			openIdleConnections(t, f, one, two)
			if c.leave != nil {
				c.leave(f, b, cancel)
			}
			_ = f.Serve(ctx, newCall(c.route), &collector{})
			if got := len(one.requests()) + len(two.requests()) - 2; got != c.sends {
				t.Fatalf("%d sends, want %d", got, c.sends)
			}
		})
	}
}

// silentClose is a connection that ignores Close.
type silentClose struct{ net.Conn }

func (silentClose) Close() error { return nil }

// targetOf returns the forwarder's entry for a target.
func targetOf(f *Forwarder, tg *target) *spread.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	other := "one"
	if tg.name == other {
		other = "two"
	}
	return f.targets.Choose(spread.Criteria{Service: "s", Boxes: 1, Exclude: map[string]bool{other: true}}, f.opts.Clock.Boot()).Target
}

// openIdleConnections has each target answer one call, which leaves an idle connection to it.
func openIdleConnections(t *testing.T, f *Forwarder, targets ...*target) {
	t.Helper()
	for _, tg := range targets {
		c, err := f.pool.dial(context.Background(), targetOf(f, tg))
		if err != nil {
			t.Fatal(err)
		}
		call := newCall("safe")
		x, err := f.send(context.Background(), c, call, nil, f.opts.Clock.Boot())
		if err != nil {
			t.Fatal(err)
		}
		if err := x.read(call.ID); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 8)
		for err == nil {
			_, err = x.body.Read(buffer)
		}
		x.bodyComplete = true
		x.finish()
	}
}

// After a box was suspended, the deadline of a call may have passed although no timer has
// fired: timers use the monotonic clock, which stands still during the suspension.
func TestExpiredCallIsNotSent(t *testing.T) {
	one := newTarget(t, "one", respond(200, "x"))
	b := &fakeLeases{}
	f := newForwarder(t, b, one)
	fake := clock.NewFake()
	f.opts.Clock = fake
	b.onReserve = func() { fake.Advance(time.Minute) }
	call := newCall("unsafe")
	call.Arrived = fake.Boot()
	if err := f.Serve(context.Background(), call, &collector{}); err == nil {
		t.Fatal("an expired call was served")
	}
	if n := len(one.requests()); n != 0 {
		t.Fatalf("%d sends", n)
	}
}
