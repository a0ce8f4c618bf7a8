// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestLogTellsWhatEndedAStream(t *testing.T) {
	stalls := stallsUntil(make(chan struct{}), event(0), "")
	closes := chunks(false, event(0))
	cases := map[string]struct {
		route   string
		scripts []script
		wait    time.Duration
		isLeft  bool
		noRetry bool
		want    []string
	}{
		"target closes, no attempt left": {route: "stream", scripts: []script{closes}, want: []string{`broke off after event 0`, `"no_further_target":"no attempt left"`}},
		"target closes, no retry left":   {route: "resume", scripts: []script{closes}, noRetry: true, want: []string{`broke off after event 0`, `"no_further_target":"no retry left"`}},
		"target closes, no other target": {route: "resume", scripts: []script{closes}, want: []string{`broke off after event 0`, `"no_further_target":"no target left"`}},
		"deadline":                       {route: "stream", scripts: []script{stalls}, wait: 200 * time.Millisecond, want: []string{`out of time after event 0`}},
		"caller leaves":                  {route: "stream", scripts: []script{stalls}, isLeft: true, want: []string{`canceled after event 0`, `"outcome":"caller left"`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", c.scripts...))
			var log lockedBuffer
			f.opts.Logger = slog.New(slog.NewJSONHandler(&log, nil))
			if c.noRetry {
				f.opts.RetryStock = 0
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			sink := &callbackSink{Sink: &collector{}, leave: func() {
				if c.isLeft {
					cancel()
				}
			}}
			call := newCall(c.route)
			call.MaxWait = c.wait
			_ = f.Serve(ctx, call, sink)
			for _, want := range c.want {
				if !strings.Contains(log.String(), want) {
					t.Errorf("the log has no %q: %s", want, log.String())
				}
			}
		})
	}
}

// lockedBuffer is a buffer to which goroutines that outlive a call may still write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// callbackSink calls leave once it has got bytes of the body.
type callbackSink struct {
	Sink
	leave func()
}

func (s *callbackSink) Write(p []byte) error {
	defer s.leave()
	return s.Sink.Write(p)
}
