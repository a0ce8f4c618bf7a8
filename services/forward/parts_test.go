// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/structs"
)

// What is recorded of the parts of a prompt: an end only before the first event, a success from it on.
func TestPartsOfCallsAreRecorded(t *testing.T) {
	parts := []quarantine.Digest{quarantine.DigestOfPart("aa"), quarantine.DigestOfPart("bb")}
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
			n.held[quarantine.DigestOfPart("bad")] = true
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

// Guards against a fatal part that is held back for one service and ends the targets of the next one.
func TestPartIsHeldBackForAllServices(t *testing.T) {
	route := func(name, service string) *statev1.Route {
		return &statev1.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: statev1.Route_KIND_STREAM, Timeout: 2000, MaxAttempts: 1, Splits: []*statev1.Split{{Service: service, Weight: 1}}}
	}
	tests := map[string]struct {
		// routes are those in force once the part is held back.
		routes []*statev1.Route
		path   string
	}{
		"its route moves":                   {routes: []*statev1.Route{route("stream", "t")}, path: "stream"},
		"another route":                     {routes: []*statev1.Route{route("stream", "s"), route("other", "t")}, path: "other"},
		"another route to the same service": {routes: []*statev1.Route{route("stream", "s"), route("other", "s")}, path: "other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var one *target
			one = newTarget(t, "one", closesListener(&one, chunks(false)))
			other := newTarget(t, "other", chunks(true, event(0)))
			f := newForwarder(t, &fakeLeases{}, one)
			n := newFakeQuarantine()
			f.opts.Quarantine = n
			call := newCall("stream")
			call.SharedParts = []string{"bad"}
			_ = f.Serve(context.Background(), call, &collector{})
			<-n.reported
			f.mu.Lock()
			n.mu.Lock()
			for _, part := range n.partEnds {
				n.held[part] = true
			}
			n.mu.Unlock()
			f.mu.Unlock()
			_, err := f.opts.Store.Apply(&betweenv1.FollowResponse{
				Routing:        &statev1.RoutingTable{Version: 2, Routes: test.routes, Services: []*statev1.Service{{Name: "s"}, {Name: "t"}}, Payers: f.opts.Store.Index().Table.GetPayers()},
				Targets:        []*statev1.RegisteredTarget{{Id: "other", Service: "t", Address: other.l.Addr().String(), DataCentre: "dc", Version: "v1", State: statev1.RegisteredTarget_STATE_READY, Revision: 2}},
				TargetRevision: 2,
			})
			if err != nil {
				t.Fatal(err)
			}
			f.Refresh()
			call = newCall(test.path)
			call.ID, call.SharedParts = "id-2", []string{"bad"}
			err = f.Serve(context.Background(), call, &collector{})
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Kind != structs.KindQuarantined || refusal.Run != structs.RunNo {
				t.Errorf("%v, want a refusal as quarantined", err)
			}
			if len(other.requests()) > 0 {
				t.Error("the call was sent to the other service")
			}
		})
	}
}
