// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"io"
	"net/http"
	"testing"

	"havenwinch.dev/havenwinch/structs"
	"havenwinch.dev/havenwinch/tests/single"
)

// A call whose first server closed the connection after it had read the call may have
// run, whatever refuses the second attempt. That refusal used to report run "no".
func TestRefusedRetryReportsThatTheFirstAttemptMayHaveRun(t *testing.T) {
	breaksOff := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	cases := map[string][]string{
		"without a key": {"Havenwinch-Repeatable: yes", "Prefer: wait=1"},
		"with a key":    {"Havenwinch-Repeatable: yes", "Prefer: wait=1", "Idempotency-Key: k1"},
	}
	for name, headers := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := single.New(t, single.Options{Tokens: 1000, Services: []http.Handler{breaksOff}})
			if got := send(t, s, "POST", "/services/portal/x", "body", headers...); got.status < 400 || got.Error.Run != structs.RunUnknown {
				t.Fatalf("status %d: %s", got.status, got.body)
			}
		})
	}
}
