// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/structs"
)

// A box that has just started sends the Retry-After time at which it is likely to serve: a time
// that is too early costs the caller its only retry.
func TestRetryAfterWhileStarting(t *testing.T) {
	tests := map[string]struct{ since, least time.Duration }{
		"at the start":         {since: 0, least: tableArrivalTime},
		"during startup":       {since: tableArrivalTime / 2, least: tableArrivalTime / 2},
		"long after the start": {since: 10 * tableArrivalTime, least: retrySoon},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake()
			f := New(Options{Dialect: testDialect, Store: gateway.NewStore(c), Leases: &fakeLeases{}, Clock: c, Logger: logging.Discard(), Counter: noCounter{}})
			c.Advance(test.since)
			var refusal *Refusal
			err := f.Serve(context.Background(), newCall("safe"), &collector{})
			if !errors.As(err, &refusal) || refusal.Kind != structs.KindNotReady || refusal.Run != structs.RunNo {
				t.Fatalf("got %v", err)
			}
			if refusal.RetryAfter < test.least || refusal.RetryAfter > test.least+retryAfterJitter {
				t.Fatalf("RetryAfter %s, want at least %s", refusal.RetryAfter, test.least)
			}
		})
	}
}

// After a power loss of all machines a third of the calls of two seconds were refused by boxes
// that had a routing table 0.1 to 0.5 s later; a refusal costs a caller its only retry. So a
// call waits for the first table of a box that has just started, for no longer than that
// usually takes. A call at a box that has been without a table for long is refused at once, and
// the wait is limited to a share of the caller's time.
func TestCallsWaitForFirstTable(t *testing.T) {
	tests := map[string]struct {
		// since is the time since the box started, patience how long the caller waits.
		since, patience time.Duration
		// comes is set when the table arrives while the call waits.
		comes  bool
		served bool
	}{
		"table arrives":         {comes: true, served: true},
		"table does not arrive": {patience: 20 * time.Millisecond},
		"box started long ago":  {since: 10 * tableArrivalTime},
		"startup period over":   {since: tableArrivalTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			full := newForwarder(t, &fakeLeases{}, newTarget(t, "one", respond(200, "yes")))
			c := clock.NewFake()
			opts := full.opts
			opts.Store, opts.Clock = gateway.NewStore(c), c
			f := New(opts)
			c.Advance(test.since)
			call := newCall("safe")
			call.Arrived, call.MaxWait = c.Boot(), test.patience
			outcome := make(chan error, 1)
			go func() { outcome <- f.Serve(context.Background(), call, &collector{}) }()
			if test.comes {
				if _, err := opts.Store.Apply(full.opts.Store.After(gateway.Position{})); err != nil {
					t.Fatal(err)
				}
				f.Refresh()
			}
			err := <-outcome
			var refusal *Refusal
			if test.served != (err == nil) || err != nil && (!errors.As(err, &refusal) || refusal.Kind != structs.KindNotReady) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
