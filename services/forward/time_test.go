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

// Each target is told what is left of the caller's time and of the route's, the
// second one no more than the first.
func TestTimeHandedToTargets(t *testing.T) {
	cases := map[string]struct {
		patience time.Duration
		most     int
	}{
		"the caller's time is shorter": {patience: 5 * time.Second, most: 5000},
		"the route's time is shorter":  {patience: time.Hour, most: 20000},
		"the caller names none":        {most: 20000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", whole(500, "no")), newTarget(t, "two", whole(200, "yes"))
			f := newForwarder(t, &book{}, one, two)
			call := newCall("safe")
			call.Patience = c.patience
			if err := f.Serve(context.Background(), call, &collector{}); err != nil {
				t.Fatal(err)
			}
			last := c.most
			for _, r := range append(one.requests(), two.requests()...) {
				ms, err := strconv.Atoi(r.deadline)
				if err != nil || ms > last || ms < 1 {
					t.Fatalf("a target was handed %q ms, at most %d are left", r.deadline, last)
				}
				last = ms
			}
		})
	}
}

// A call ends at its route's time, also when its target says nothing.
func TestCallEndsAtTheRoutesTime(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	f := newForwarder(t, &book{}, newTarget(t, "one", func(net.Conn, received) { <-done }))
	route := &statev1.Route{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: statev1.Route_KIND_UNSAFE, Timeout: 40, MaxAttempts: 1, Splits: []*statev1.Split{{Service: "s", Weight: 1}}}
	table := &statev1.RoutingTable{Version: 2, Routes: []*statev1.Route{route}, Services: []*statev1.Service{{Name: "s"}}, Payers: []*statev1.Payer{{Organisation: "o", Keys: []string{"key"}}}}
	if _, _, err := f.opts.Store.Take(&betweenv1.FollowResponse{Routing: table}); err != nil {
		t.Fatal(err)
	}
	sink := &collector{}
	err := f.Serve(context.Background(), newCall("unsafe"), sink)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Kind != structs.KindDeadline || refusal.Run != structs.RunUnknown || sink.status != 0 {
		t.Fatalf("status %d, %v", sink.status, err)
	}
}
