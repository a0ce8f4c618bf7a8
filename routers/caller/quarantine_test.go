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

// fatal is in the body of a request under which targets end.
const fatal = "fatal"

// A request that ends each target that begins to run it comes again, under a new
// key each time. When three have ended under it, it is refused and the other
// targets go on.
func TestARequestThatEndsItsTargets(t *testing.T) {
	const targets = 6
	cases := map[string]struct {
		path, body, sound string
		headers           []string
	}{
		"generation, whole":             {path: chatPath, body: chat(fatal, 8, ""), sound: chat("hi", 8, "")},
		"generation, streamed":          {path: chatPath, body: chat(fatal, 8, `,"stream":true`), sound: chat("hi", 8, "")},
		"generation, not repeatable":    {path: chatPath, body: chat(fatal, 8, ""), sound: chat("hi", 8, ""), headers: []string{"Havenwinch-Repeatable: no"}},
		"plain service":                 {path: "/services/portal/x", body: fatal, sound: "hi"},
		"plain service, not repeatable": {path: "/services/portal/x", body: fatal, sound: "hi", headers: []string{"Havenwinch-Repeatable: no"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ended atomic.Int64
			opts := single.Options{Tokens: 100_000, Wrap: func(h http.Handler, end func()) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err == nil && bytes.Contains(body, []byte(fatal)) {
						ended.Add(1)
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
			ask := func(body string) answer {
				n++
				return send(t, s, "POST", c.path, body, append(c.headers, fmt.Sprintf("Idempotency-Key: key-%d", n), "Prefer: wait=5")...)
			}
			refused := func() bool { return strings.Contains(ask(c.body).body, string(structs.KindQuarantined)) }
			s.Eventually("the request is held back", refused)
			// The end of a target is confirmed beside the request: the next copies may
			// have been sent before.
			if got := ended.Load(); got < 3 || got > 5 {
				t.Fatalf("%d targets ended", got)
			}
			before := ended.Load()
			got := ask(c.body)
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"run":"no"`) {
				t.Fatalf("status %d, come back %q: %s", got.status, got.header.Get("Retry-After"), got.body)
			}
			if ended.Load() != before {
				t.Fatal("a request that is held back was sent")
			}
			s.Eventually("other requests are served", func() bool { return ask(c.sound).status == http.StatusOK })
		})
	}
}

// A request that control holds back stays held back at a box that control's list reaches
// late. It used to be sent to further targets from the acknowledgement of the box's
// report on, and the caller got 502 in place of 503.
func TestARequestIsHeldBackBeforeTheListComes(t *testing.T) {
	cases := map[string]struct{ path, body string }{
		"generation":    {path: chatPath, body: chat(fatal, 8, "")},
		"plain service": {path: "/services/portal/x", body: fatal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opts := single.Options{Tokens: 100_000, ListLate: true, Wrap: func(_ http.Handler, end func()) http.Handler {
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
			ask := func() answer {
				n++
				return send(t, s, "POST", c.path, c.body, fmt.Sprintf("Idempotency-Key: key-%d", n))
			}
			s.Eventually("control holds the request back", func() bool {
				ask()
				return s.HeldByControl() == 1
			})
			for range 30 {
				if got := ask(); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(structs.KindQuarantined)) {
					t.Fatalf("status %d: %s", got.status, got.body)
				}
			}
			s.ListCalls()
			if got := ask(); got.status != http.StatusServiceUnavailable {
				t.Fatalf("status %d once the list is there: %s", got.status, got.body)
			}
		})
	}
}
