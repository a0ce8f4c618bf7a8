// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package graceful

import (
	"os"
	"syscall"
	"testing"
	"time"
)

func TestSignals(t *testing.T) {
	cases := map[string]struct {
		signals              []os.Signal
		draining, terminated bool
	}{
		"none":                    {},
		"one SIGTERM":             {signals: []os.Signal{syscall.SIGTERM}, draining: true},
		"SIGTERM in series":       {signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, draining: true},
		"one SIGINT":              {signals: []os.Signal{syscall.SIGINT}, draining: true},
		"SIGINT after SIGTERM":    {signals: []os.Signal{syscall.SIGTERM, syscall.SIGINT}, draining: true, terminated: true},
		"two SIGINT":              {signals: []os.Signal{syscall.SIGINT, syscall.SIGINT}, draining: true, terminated: true},
		"SIGTERM between SIGINTs": {signals: []os.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGINT}, draining: true, terminated: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(time.Hour)
			signals := make(chan os.Signal, len(c.signals))
			for _, s := range c.signals {
				signals <- s
			}
			close(signals)
			m.handle(signals)
			if m.IsDraining() != c.draining || (m.WorkContext().Err() != nil) != c.terminated {
				t.Fatalf("draining %v, terminated %v, want %v and %v", m.IsDraining(), m.WorkContext().Err() != nil, c.draining, c.terminated)
			}
		})
	}
}
