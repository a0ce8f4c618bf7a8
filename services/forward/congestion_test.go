// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/structs"
)

// Guards against calls that are refused as if no target could be reached, although only the link
// of this box is congested, and against that reason after a send that may have run.
func TestCongestedBoxNamesItsLink(t *testing.T) {
	tests := map[string]struct {
		congested bool
		fault     linkFault
		// cut is how many of the three targets can't be reached, the others run script.
		cut    int
		script script
		lost   bool
		kind   structs.Kind
		run    structs.Run
	}{
		"none can be dialled":            {congested: true, fault: linkRefuses, cut: 3, kind: structs.KindBoxOverloaded, run: structs.RunNo},
		"none can be dialled, free link": {fault: linkRefuses, cut: 3, kind: structs.KindNoTarget, run: structs.RunNo},
		"one turned it away":             {congested: true, fault: linkRefuses, cut: 2, script: rejects(), kind: structs.KindBoxOverloaded, run: structs.RunNo},
		"all turned it away":             {congested: true, script: rejects(), kind: structs.KindNoTarget, run: structs.RunNo},
		"one may have run it":            {congested: true, fault: linkRefuses, cut: 2, script: closeConn(), kind: structs.KindTargetFailed, run: structs.RunUnknown},
		"no descriptor":                  {congested: true, fault: noDescriptor, cut: 3, kind: structs.KindNoTarget, run: structs.RunNo},
		"no box reaches them":            {congested: true, fault: linkRefuses, cut: 3, lost: true, kind: structs.KindBoxOverloaded, run: structs.RunNo},
		"no box reaches them, free link": {fault: linkRefuses, cut: 3, lost: true, kind: structs.KindNoTarget, run: structs.RunNo},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := newTargets(t, 3, answers(test.script)...)
			f := newForwarder(t, &fakeLeases{}, list...)
			newLinks(f).set(test.fault, list[:test.cut]...)
			if test.lost {
				relays := newRelays()
				relays.noPath = true
				f.opts.Relays = relays
				_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
				awaitChecks(f)
			}
			f.opts.IsCongested = func() bool { return test.congested }
			var refusal *Refusal
			err := f.Serve(context.Background(), newCall("unsafe"), &collector{})
			if !errors.As(err, &refusal) || refusal.Kind != test.kind || refusal.Run != test.run {
				t.Fatalf("Serve returned %v, want %s with run %s", err, test.kind, test.run)
			}
			if isShort := refusal.RetryAfter >= retryElsewhereMin && refusal.RetryAfter <= retryElsewhereMax; isShort != (test.kind == structs.KindBoxOverloaded) {
				t.Fatalf("Retry-After %s", refusal.RetryAfter)
			}
		})
	}
}

// Guards against callers that are told to wait longer or shorter than the reason of their refusal
// lasts, and are refused again.
func TestRetryAfterOfRefusedTokens(t *testing.T) {
	limited := gateway.LimitWait{Limited: true, AvailableIn: 700 * time.Millisecond}
	later := gateway.LimitWait{Limited: true, AvailableIn: 3 * time.Second}
	tests := map[string]struct {
		status      gateway.Status
		least, most time.Duration
	}{
		"limit":                           {status: gateway.Status{Age: 100, LimitWait: limited}, least: 700 * time.Millisecond, most: 840 * time.Millisecond},
		"limit, a report may come sooner": {status: gateway.Status{Age: 100, LimitWait: later}, least: retryLater, most: retryLater * 6 / 5},
		"limit, cut off":                  {status: gateway.Status{Age: 2000, LimitWait: later}, least: 3 * time.Second, most: 3600 * time.Millisecond},
		"limit of another box":            {status: gateway.Status{Age: 100, LimitWait: gateway.LimitWait{Limited: true}}, least: retryLater, most: retryLater},
		"holders not reached":             {status: gateway.Status{Age: -1, Unreached: true}, least: 20 * time.Millisecond, most: 60 * time.Millisecond},
		"control not reached":             {status: gateway.Status{Age: 2000}, least: retryControlUnreachable, most: retryControlUnreachable},
		"too few tokens":                  {status: gateway.Status{Age: 100}, least: retryLater, most: retryLater},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				if got := (&Forwarder{}).tokenRetryAfter(test.status); got < test.least || got > test.most {
					t.Fatalf("Retry-After %s, want %s to %s", got, test.least, test.most)
				}
			}
		})
	}
}
