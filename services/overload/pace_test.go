// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload

import (
	"context"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/meter"
)

// Guards against callers that return while the load balancer still assigns them to the busy box.
func TestRetryAfterUntilCallersAreMoved(t *testing.T) {
	cases := map[string]struct {
		busyFor     time.Duration
		least, most time.Duration
	}{
		"not busy":         {busyFor: -1, least: minRetryAfter, most: minRetryAfter + retryAfterJitter},
		"busy since now":   {least: movedAfter, most: movedAfter + retryAfterJitter},
		"busy for a while": {busyFor: time.Second, least: movedAfter - time.Second, most: movedAfter - time.Second + retryAfterJitter},
		"callers moved":    {busyFor: 5 * time.Second, least: minRetryAfter, most: minRetryAfter + retryAfterJitter},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake()
			fake.Advance(time.Hour)
			w := &Watcher{Link: 10, Meter: &meter.Meter{}, Clock: fake, Logger: logging.Discard()}
			if c.busyFor >= 0 {
				w.busySince.Store(int64(fake.Boot() - c.busyFor))
			}
			for range 100 {
				if got := w.RetryAfter(); got < c.least || got > c.most {
					t.Fatalf("Retry-After %s, want %s to %s", got, c.least, c.most)
				}
			}
		})
	}
}

// Guards against a part of a body that waits although its caller has left, and against one that waits
// at a box whose link is not known.
func TestWaitForTheLinkEnds(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	cases := map[string]struct {
		ctx  context.Context
		link float64
	}{
		"caller has left":  {ctx: left, link: 10},
		"unknown capacity": {ctx: context.Background()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &Watcher{Link: c.link, Meter: &meter.Meter{}, Clock: clock.NewFake(), Logger: logging.Discard()}
			w.AwaitRead(context.Background())
			w.AwaitWrite(context.Background())
			w.Meter.AddReceived(1 << 20)
			w.Meter.AddSent(1 << 20)
			w.AwaitRead(c.ctx)
			w.AwaitWrite(c.ctx)
			w.AwaitRead(c.ctx)
			w.AwaitWrite(c.ctx)
		})
	}
}

// Guards against a body that waits for ever while other traffic needs all of the link.
func TestBodiesWaitABoundedTime(t *testing.T) {
	w := &Watcher{Link: 10, Meter: &meter.Meter{}, Clock: clock.NewFake(), Logger: logging.Discard()}
	w.AwaitRead(context.Background())
	w.Meter.AddReceived(1 << 20)
	ctx, cancel := context.WithTimeout(context.Background(), MaxPace)
	defer cancel()
	// The fake clock stands still, so that the link never has room again.
	w.AwaitRead(ctx)
	w.AwaitRead(ctx)
	if ctx.Err() == nil {
		t.Fatal("the body did not wait for a full link")
	}
}
