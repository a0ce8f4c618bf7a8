// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	standin "havenwinch.dev/havenwinch/standin/engine"
	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/single"
)

// fatal marks the body of a request that crashes the target which runs it.
const fatal = "fatal"

// A request that crashes every target which runs it is sent again and again, with a
// new key each time. After three crashes it has to be refused, so that the remaining
// targets survive.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	const targets = 6
	cases := map[string]struct {
		path, body, harmless string
		headers              []string
	}{
		"generation, JSON":              {path: chatPath, body: chat(fatal, 8, ""), harmless: chat("hi", 8, "")},
		"generation, streamed":          {path: chatPath, body: chat(fatal, 8, `,"stream":true`), harmless: chat("hi", 8, "")},
		"generation, not repeatable":    {path: chatPath, body: chat(fatal, 8, ""), harmless: chat("hi", 8, ""), headers: []string{"Havenwinch-Repeatable: no"}},
		"plain service":                 {path: "/services/portal/x", body: fatal, harmless: "hi"},
		"plain service, not repeatable": {path: "/services/portal/x", body: fatal, harmless: "hi", headers: []string{"Havenwinch-Repeatable: no"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var crashed atomic.Int64
			opts := single.Options{Tokens: 100_000, Wrap: func(h http.Handler, end func()) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err == nil && bytes.Contains(body, []byte(fatal)) {
						crashed.Add(1)
						end()
						panic(http.ErrAbortHandler)
					}
					r.Body = io.NopCloser(bytes.NewReader(body))
					h.ServeHTTP(w, r)
				})
			}}
			for range targets {
				opts.Engines = append(opts.Engines, standin.Options(single.DefaultEngine))
				opts.Services = append(opts.Services, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
			}
			s := single.New(t, opts)
			n := 0
			call := func(body string) answer {
				n++
				return send(t, s, "POST", c.path, body, append(c.headers, fmt.Sprintf("Idempotency-Key: key-%d", n), "Prefer: wait=5")...)
			}
			refused := func() bool { return strings.Contains(call(c.body).body, string(structs.KindQuarantined)) }
			s.WaitFor("the request is quarantined", refused)
			// A crash is confirmed concurrently with the request, so the next copies
			// may be sent before the confirmation.
			if got := crashed.Load(); got < 3 || got > 5 {
				t.Fatalf("%d targets crashed", got)
			}
			before := crashed.Load()
			got := call(c.body)
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"run":"no"`) {
				t.Fatalf("status %d, Retry-After %q: %s", got.status, got.header.Get("Retry-After"), got.body)
			}
			if crashed.Load() != before {
				t.Fatal("a quarantined request was sent to a target")
			}
			s.WaitFor("other requests are still served", func() bool { return call(c.harmless).status == http.StatusOK })
		})
	}
}

// A request that control quarantines must stay quarantined at a box that receives
// control's list late. Once the box's report was acknowledged, the request used to be
// sent to further targets, and the caller got 502 instead of 503.
func TestRequestStaysQuarantinedUntilTheListArrives(t *testing.T) {
	cases := map[string]struct{ path, body string }{
		"generation":    {path: chatPath, body: chat(fatal, 8, "")},
		"plain service": {path: "/services/portal/x", body: fatal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := single.Options{Tokens: 100_000, WithholdQuarantineList: true, Wrap: func(_ http.Handler, end func()) http.Handler {
				return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					end()
					panic(http.ErrAbortHandler)
				})
			}}
			for range 16 {
				opts.Engines = append(opts.Engines, standin.Options(single.DefaultEngine))
				opts.Services = append(opts.Services, http.NotFoundHandler())
			}
			s := single.New(t, opts)
			n := 0
			call := func() answer {
				n++
				return send(t, s, "POST", c.path, c.body, fmt.Sprintf("Idempotency-Key: key-%d", n))
			}
			s.WaitFor("control quarantines the request", func() bool {
				call()
				return s.QuarantinedByControl() == 1
			})
			for range 30 {
				if got := call(); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(structs.KindQuarantined)) {
					t.Fatalf("status %d: %s", got.status, got.body)
				}
			}
			s.ApplyQuarantineList()
			if got := call(); got.status != http.StatusServiceUnavailable {
				t.Fatalf("status %d after the list arrived: %s", got.status, got.body)
			}
		})
	}
}
