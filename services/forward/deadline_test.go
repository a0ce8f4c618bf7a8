// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/structs"
)

// Each target is sent the smaller of the caller's and the route's remaining time, the second
// target no more than the first.
func TestDeadlineSentToTargets(t *testing.T) {
	cases := map[string]struct {
		patience time.Duration
		most     int
	}{
		"caller's time is shorter": {patience: 5 * time.Second, most: 5000},
		"route's time is shorter":  {patience: time.Hour, most: 20000},
		"no time from the caller":  {most: 20000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", respond(500, "no")), newTarget(t, "two", respond(200, "yes"))
			f := newForwarder(t, &fakeLeases{}, one, two)
			call := newCall("safe")
			call.MaxWait = c.patience
			if err := f.Serve(context.Background(), call, &collector{}); err != nil {
				t.Fatal(err)
			}
			last := c.most
			for _, r := range append(one.requests(), two.requests()...) {
				ms, err := strconv.Atoi(r.deadline)
				if err != nil || ms > last || ms < 1 {
					t.Fatalf("a target got a deadline of %q ms, want 1 to %d", r.deadline, last)
				}
				last = ms
			}
		})
	}
}

// A call ends at its route's timeout, also when its target is silent.
func TestRouteTimeout(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", func(net.Conn, received) { <-done }))
	route := &statev1.Route{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: statev1.Route_KIND_UNSAFE, Timeout: 40, MaxAttempts: 1, Splits: []*statev1.Split{{Service: "s", Weight: 1}}}
	table := &statev1.RoutingTable{Version: 2, Routes: []*statev1.Route{route}, Services: []*statev1.Service{{Name: "s"}}, Payers: []*statev1.Payer{{Organisation: "o", Keys: []string{"key"}}}}
	if _, err := f.opts.Store.Apply(&betweenv1.FollowResponse{Routing: table}); err != nil {
		t.Fatal(err)
	}
	sink := &collector{}
	err := f.Serve(context.Background(), newCall("unsafe"), sink)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Kind != structs.KindDeadlineCannotBeMet || refusal.Run != structs.RunUnknown || sink.status != 0 {
		t.Fatalf("status %d, %v", sink.status, err)
	}
}
