// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// requestOf returns a request with a head of about head bytes and a body of body bytes.
func requestOf(id string, head, body int) string {
	return fmt.Sprintf("POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", id, strings.Repeat("a", head), body, strings.Repeat("b", body))
}

// Guards against a connection that keeps the limits under which it was opened.
func TestChangedLimitsReachOpenConnections(t *testing.T) {
	limits := func(head, body uint32) *statev1.CallerLimits {
		return &statev1.CallerLimits{MaxHeaderBytes: head, MaxBodyBytes: body}
	}
	cases := map[string]struct {
		before, after *statev1.CallerLimits
		request       string
		want          int
	}{
		"longer heads":           {limits(1<<10, 2<<10), limits(32<<10, 2<<10), requestOf("b", 20<<10, 10), 200},
		"heads beyond the new":   {limits(1<<10, 2<<10), limits(32<<10, 2<<10), requestOf("b", 40<<10, 10), 431},
		"shorter heads":          {limits(32<<10, 2<<10), limits(1<<10, 2<<10), requestOf("b", 20<<10, 10), 431},
		"shorter heads, one fit": {limits(32<<10, 2<<10), limits(1<<10, 2<<10), requestOf("b", 100, 10), 200},
		"longer bodies":          {limits(1<<10, 1<<10), limits(1<<10, 64<<10), requestOf("b", 100, 40<<10), 200},
		"shorter bodies":         {limits(1<<10, 64<<10), limits(1<<10, 1<<10), requestOf("b", 100, 40<<10), 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { signed(w, r) })
			f.limits.Store(c.before)
			conn := f.dial(t)
			conn.send(t, requestOf("a", 100, 10))
			if resp := conn.head(t); resp.StatusCode != 200 {
				t.Fatalf("the first request got %d", resp.StatusCode)
			}
			f.limits.Store(c.after)
			go func() { _, _ = conn.Write([]byte(c.request)) }()
			if resp := conn.head(t); resp.StatusCode != c.want {
				t.Fatalf("the request after the change got %d, want %d", resp.StatusCode, c.want)
			}
		})
	}
}

// Guards against bytes of a further request that are lost as the limits change.
func TestChangedLimitsKeepWhatWasRead(t *testing.T) {
	for name, after := range map[string]uint32{"longer heads": 32 << 10, "shorter heads": 512} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				f.limits.Store(&statev1.CallerLimits{MaxHeaderBytes: after})
				signed(w, r)
			})
			f.limits.Store(&statev1.CallerLimits{MaxHeaderBytes: 4 << 10})
			conn := f.dial(t)
			conn.send(t, requestOf("a", 10, 10)+requestOf("b", 10, 10)+requestOf("c", 10, 10))
			for _, id := range []string{"a", "b", "c"} {
				if resp := conn.head(t); resp.StatusCode != 200 || resp.Header.Get("X-Id") != id {
					t.Fatalf("request %s got %d for %q", id, resp.StatusCode, resp.Header.Get("X-Id"))
				}
			}
		})
	}
}
