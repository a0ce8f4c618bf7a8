// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/services/overload"
)

// Guards against short bodies that wait for a full link, and long ones that are read without a wait or
// arrive changed.
func TestOnlyLongBodiesWaitForTheLink(t *testing.T) {
	cases := map[string]struct {
		length int
		waits  bool
	}{
		"short":       {length: overload.LongBody},
		"long":        {length: overload.LongBody + 1, waits: true},
		"much longer": {length: 100_001, waits: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("0123456789", c.length/10+1)[:c.length]
			var arrived atomic.Value
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				got, _ := io.ReadAll(r.Body)
				arrived.Store(string(got))
				signed(w, r)
			})
			var reads atomic.Int64
			f = f.with(t, func(o *Options) {
				o.Limits = func() *statev1.CallerLimits { return &statev1.CallerLimits{MaxHeaderBytes: 1024} }
				o.AwaitRead = func(context.Context) { reads.Add(1) }
			})
			caller := f.dial(t)
			caller.send(t, bodyRequest("a", "", body, false))
			if status := caller.head(t).StatusCode; status != http.StatusOK || arrived.Load() != body {
				t.Fatalf("status %d, the body has arrived unchanged: %v", status, arrived.Load() == body)
			}
			if (reads.Load() > 0) != c.waits {
				t.Fatalf("%d waits for the link to read", reads.Load())
			}
		})
	}
}
