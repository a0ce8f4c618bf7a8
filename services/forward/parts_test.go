// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/structs"
)

// What is recorded of the parts of a prompt: an end only before the first event, a success from it on.
func TestPartsOfCallsAreRecorded(t *testing.T) {
	parts := []quarantine.Digest{quarantine.DigestOfPart("s", "aa"), quarantine.DigestOfPart("s", "bb")}
	tests := map[string]struct {
		route           string
		then            script
		ends            bool
		ended, answered []quarantine.Digest
	}{
		"ends before the answer":   {route: "stream", then: closeConn(), ends: true, ended: parts},
		"ends after the head":      {route: "stream", then: chunks(false), ends: true, ended: parts},
		"ends after an event":      {route: "stream", then: chunks(false, event(0)), ends: true, answered: parts},
		"a whole stream":           {route: "stream", then: chunks(true, event(0), event(1)), answered: parts},
		"a whole answer":           {route: "unsafe", then: respond(200, "x"), answered: parts},
		"an error":                 {route: "unsafe", then: respond(500, "x")},
		"resets and keeps running": {route: "stream", then: resetConn()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var one *target
			then := test.then
			if test.ends {
				then = closesListener(&one, test.then)
			}
			one = newTarget(t, "one", then)
			n := newFakeQuarantine()
			f := newForwarder(t, &fakeLeases{}, one)
			f.opts.Quarantine = n
			call := newCall(test.route)
			call.SharedParts = []string{"aa", "bb"}
			_ = f.Serve(context.Background(), call, &collector{})
			if test.ends {
				<-n.reported
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			n.mu.Lock()
			defer n.mu.Unlock()
			if diff := cmp.Diff(test.ended, n.partEnds); diff != "" {
				t.Errorf("ends: %s", diff)
			}
			if diff := cmp.Diff(test.answered, n.partSuccesses); diff != "" {
				t.Errorf("successes: %s", diff)
			}
		})
	}
}

// Guards against calls that are sent though a part of their prompt is held back.
func TestCallWithAHeldPartIsRefused(t *testing.T) {
	tests := map[string]struct {
		parts []string
		held  bool
	}{
		"among others": {parts: []string{"aa", "bad", "bb"}, held: true},
		"alone":        {parts: []string{"bad"}, held: true},
		"others only":  {parts: []string{"aa", "bb"}},
		"none":         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", respond(200, "x"))
			n := newFakeQuarantine()
			n.held[quarantine.DigestOfPart("s", "bad")] = true
			f := newForwarder(t, &fakeLeases{}, one)
			f.opts.Quarantine = n
			call := newCall("safe")
			call.SharedParts = test.parts
			err := f.Serve(context.Background(), call, &collector{})
			if !test.held {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			refusal, ok := err.(*Refusal)
			if !ok || refusal.Kind != structs.KindQuarantined || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
				t.Fatalf("%v, want a refusal as quarantined", err)
			}
			if len(one.requests()) > 0 {
				t.Fatal("the call was sent")
			}
		})
	}
}
