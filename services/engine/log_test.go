// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// Guards against a refused answer that no log line tells of, and against a log that a faulty server fills.
func TestRefusedAnswersAreLogged(t *testing.T) {
	var log bytes.Buffer
	c := New(Options{Logger: slog.New(slog.NewJSONHandler(&log, nil))})
	address := serveRaw(t, sends("HTTP/1.1 000 OK"+strings.Repeat("a", 4096)+"\r\n\r\n"))
	call(t, c, address, http.MethodPost, nil)
	for _, want := range []string{`"msg":"answer of a target refused"`, `"request":"id-1"`, `"target":"` + address + `"`, `"reason":"the head is not sound HTTP/1.1`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is not in %s", want, log.String())
		}
	}
	if log.Len() > 512 {
		t.Errorf("a line of %d bytes", log.Len())
	}
	c.refused.SetLimit(0)
	for range 2 * refusedBurst {
		call(t, c, address, http.MethodPost, nil)
	}
	if got := strings.Count(log.String(), "\n"); got > refusedBurst {
		t.Errorf("%d lines, want at most %d", got, refusedBurst)
	}
}
