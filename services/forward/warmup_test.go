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
