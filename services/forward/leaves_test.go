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

// In whichever phase a caller leaves, no target gets its call afterwards, and a
// target that works on it sees its connection closed. An idle connection took the
// call of a caller that had left while tokens were reserved for it.
func TestACallerThatLeaves(t *testing.T) {
	// leaving lets the caller leave when a target has the call, before it goes on.
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
		// script is what the target does that gets the call, nil for one that gets
		// none.
		script func(leave func()) script
		// leave lets the caller leave before that.
		leave func(f *Forwarder, b *book, leave func())
		sends int
	}{
		"while tokens are reserved": {route: "unsafe", leave: func(_ *Forwarder, b *book, leave func()) {
			b.asked = leave
		}},
		"while the call is looked up": {route: "safe", leave: func(f *Forwarder, _ *book, leave func()) {
			n := newNotes()
			n.asked = func(*notes, quarantine.Content) { leave() }
			f.opts.Quarantine = n
		}},
		"while a target turns it away": {route: "unsafe", sends: 1, script: leaving(shed())},
		"while a target fails it":      {route: "safe", sends: 1, script: leaving(closed())},
		"while a target is silent":     {route: "resume", sends: 1, script: leaving(silent)},
		"in a stream": {route: "resume", sends: 1, script: leaving(func(c net.Conn, r received) {
			chunks(false, event(0))(silentClose{c}, r)
			select {}
		})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			scripts := []script{whole(200, "x")}
			if c.script != nil {
				scripts = append(scripts, c.script(cancel))
			}
			one, two := newTarget(t, "one", scripts...), newTarget(t, "two", scripts...)
			b := &book{}
			f := newForwarder(t, b, one, two)
			prime(t, f, one, two)
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

// silentClose is a connection that stays open when a script closes it.
type silentClose struct{ net.Conn }

func (silentClose) Close() error { return nil }

// targetOf returns the row of a target.
func targetOf(f *Forwarder, tg *target) *spread.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	other := "one"
	if tg.name == other {
		other = "two"
	}
	return f.targets.Choose(spread.Need{Service: "s", Boxes: 1, Exclude: map[string]bool{other: true}}, f.opts.Clock.Boot()).Target
}

// prime has each target answer one call, so that a connection to it rests.
func prime(t *testing.T, f *Forwarder, targets ...*target) {
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
		x.whole = true
		x.finish()
	}
}

// A box that was suspended may find a call whose time is over while no timer has
// fired: the steady clock that they use stood still.
func TestACallWhoseTimeIsOverIsNotSent(t *testing.T) {
	one := newTarget(t, "one", whole(200, "x"))
	b := &book{}
	f := newForwarder(t, b, one)
	fake := clock.NewFake()
	f.opts.Clock = fake
	b.asked = func() { fake.Advance(time.Minute) }
	call := newCall("unsafe")
	call.Arrived = fake.Boot()
	if err := f.Serve(context.Background(), call, &collector{}); err == nil {
		t.Fatal("a call whose time is over was served")
	}
	if n := len(one.requests()); n != 0 {
		t.Fatalf("%d sends", n)
	}
}
