// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// slowReader is a target that reads nothing until goOn is closed, and answers then.
func slowReader(t *testing.T, goOn <-chan struct{}) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{t: t, name: "one", l: l, scripts: []script{respond(200, "ok"), respond(200, "ok")}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				<-goOn
				tg.handle(c)
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return tg
}

// Guards against calls that are cut because their target reads slowly, and large bodies that are sent to a
// target that has stopped to read.
func TestTargetThatDoesNotReadGetsNoFurtherLargeBodies(t *testing.T) {
	goOn := make(chan struct{})
	one, two := slowReader(t, goOn), newTarget(t, "two", respond(200, "ok"), respond(200, "ok"))
	f := newForwarder(t, &fakeLeases{}, one, two)
	f.uploadStall = 40 * time.Millisecond
	log := &lockedBuffer{}
	f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
	large := newCall("unsafe")
	// More than the kernel's buffers of both sides take.
	large.Body = make([]byte, 32<<20)
	first := make(chan error, 1)
	sink := &collector{}
	go func() { first <- f.Serve(context.Background(), large, sink) }()
	for !strings.Contains(log.String(), `"target does not read","request":"id-1","target":"one","bytes_left":`) {
		time.Sleep(time.Millisecond)
	}
	chosen := func(bytes int) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		// The other target has more calls, so that only the stall speaks for it.
		f.targets.ByID("two").RunningCalls = 9
		return f.targets.Choose(spread.Criteria{Service: "s", Avoid: f.slowReaders(bytes)}, f.opts.Clock.Boot()).Target.ID
	}
	if got := chosen(windowBody + 1); got != "two" {
		t.Errorf("a large body goes to %s", got)
	}
	if got := chosen(windowBody); got != "one" {
		t.Errorf("a small body goes to %s", got)
	}
	close(goOn)
	if err := <-first; err != nil || sink.body.String() != "ok" {
		t.Errorf("Serve returned %v: %q", err, sink.body.String())
	}
	for chosen(windowBody+1) != "one" {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a target that counts as one that does not read after the call that found it so.
func TestStallEndsWithItsCall(t *testing.T) {
	goOn := make(chan struct{})
	defer close(goOn)
	f := newForwarder(t, &fakeLeases{}, slowReader(t, goOn))
	f.uploadStall = 40 * time.Millisecond
	log := &lockedBuffer{}
	f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
	call := newCall("unsafe")
	call.Body = make([]byte, 32<<20)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.Serve(ctx, call, &collector{}) }()
	for !strings.Contains(log.String(), "target does not read") {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-served
	for stalls := 1; stalls > 0; {
		f.mu.Lock()
		stalls = len(f.uploadStalls)
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}
