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

// A box that has just started names the time at which it will likely serve: one
// that is named too early costs the caller its only retry.
func TestABoxThatStartsNamesWhenItServes(t *testing.T) {
	tests := map[string]struct{ since, least time.Duration }{
		"at the start":     {since: 0, least: warmUpTime},
		"a moment later":   {since: warmUpTime / 2, least: warmUpTime / 2},
		"longer than that": {since: 10 * warmUpTime, least: retrySoon},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake()
			f := New(Options{Dialect: testDialect, Store: gateway.NewStore(c), Leases: &book{}, Clock: c, Logger: logging.Discard(), Counter: noCounter{}})
			c.Advance(test.since)
			var refusal *Refusal
			err := f.Serve(context.Background(), newCall("safe"), &collector{})
			if !errors.As(err, &refusal) || refusal.Kind != structs.KindNotReady || refusal.Run != structs.RunNo {
				t.Fatalf("got %v", err)
			}
			if refusal.RetryAfter < test.least || refusal.RetryAfter > test.least+warmUpSpread {
				t.Fatalf("told to come back after %s, want at least %s", refusal.RetryAfter, test.least)
			}
		})
	}
}

// After a loss of power of everything a third of the calls of two seconds were refused
// by boxes that had a routing table 0.1 to 0.5 s later; a refusal costs a caller its
// only retry. A call waits for the first table of a box that has just started, for no
// longer than that usually takes; one at a box without a table for long is refused at
// once, and one that a caller needs soon waits for a part of its time only.
func TestCallsWaitForTheFirstTable(t *testing.T) {
	tests := map[string]struct {
		// since is how long ago the box started, patience what the caller has.
		since, patience time.Duration
		// comes is set when the table comes while the call waits.
		comes  bool
		served bool
	}{
		"it comes":                   {comes: true, served: true},
		"it does not come":           {patience: 20 * time.Millisecond},
		"the box started long ago":   {since: 10 * warmUpTime},
		"no time left of the start ": {since: warmUpTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			full := newForwarder(t, &book{}, newTarget(t, "one", whole(200, "yes")))
			c := clock.NewFake()
			opts := full.opts
			opts.Store, opts.Clock = gateway.NewStore(c), c
			f := New(opts)
			c.Advance(test.since)
			call := newCall("safe")
			call.Arrived, call.Patience = c.Boot(), test.patience
			outcome := make(chan error, 1)
			go func() { outcome <- f.Serve(context.Background(), call, &collector{}) }()
			if test.comes {
				if _, _, err := opts.Store.Take(full.opts.Store.After(gateway.Position{})); err != nil {
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
