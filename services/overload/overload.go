// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload detects that the traffic of a box approaches the capacity of its network
// link. Such a box reports itself as not ready to the load balancer and closes persistent
// connections after the current answer, so that callers move to other boxes. It also paces long
// bodies, so that short calls do not wait behind them.
package overload

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// sampleInterval is the time between samples of the meter.
	sampleInterval = 250 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.3
	// busyAbove and quietBelow are fractions of the capacity of the link in one
	// direction.
	busyAbove  = 0.5
	quietBelow = 0.3
	// maxBusy is the maximum time for which a box reports itself as not ready, so that
	// a box whose load does not move to others is still ready most of the time.
	maxBusy = 8 * time.Second
	// readyAfterMaxBusy is how long a box stays ready after maxBusy has passed.
	readyAfterMaxBusy = 8 * time.Second
)

const bytesPerMegabit = 1e6 / 8

// Watcher compares the traffic of a box with its link.
type Watcher struct {
	// Link is the capacity of the link in each direction, in megabits per second. Zero
	// means unknown; the box is then never considered busy.
	Link   float64
	Meter  *meter.Meter
	Clock  clock.Clock
	Logger *slog.Logger

	// busySince is the boot time in nanoseconds at which the box became busy, zero
	// while it is not.
	busySince atomic.Int64
	// crowded is set while the load of the link is so high that packets may be queued.
	crowded atomic.Bool
	samples watchState
	pacers  pacers
}

// watchState is used only by the goroutine that samples the meter.
type watchState struct {
	sampledAt      time.Duration
	received, sent int64
	// load is the moving average of the traffic in the busier direction, as a fraction
	// of the capacity of the link.
	load float64
	// readyUntil is the boot time before which the box does not become busy again.
	readyUntil time.Duration
	primed     bool
}

// Run samples the meter until the context ends. It returns at once if Link is zero.
func (w *Watcher) Run(ctx context.Context) {
	if w.Link <= 0 {
		return
	}
	periodic.Run(ctx, sampleInterval, func(context.Context) { w.sample() })
}

// IsBusy reports whether the box should get no new connections.
func (w *Watcher) IsBusy() bool { return w.busySince.Load() != 0 }

// IsCongested reports whether packets may be queued at the box's own link. A timeout is then
// no evidence of a fault at the other end.
func (w *Watcher) IsCongested() bool { return w.crowded.Load() }

// ShouldCloseConnections reports whether persistent connections should be closed after the current answer.
func (w *Watcher) ShouldCloseConnections() bool {
	since := w.busySince.Load()
	return since != 0 && w.Clock.Boot()-time.Duration(since) >= movedAfter
}

func (w *Watcher) sample() {
	now := w.Clock.Boot()
	received, sent := w.Meter.Totals()
	s := &w.samples
	elapsed := (now - s.sampledAt).Seconds()
	if s.primed && elapsed > 0 {
		bytes := max(received-s.received, sent-s.sent)
		load := float64(bytes) / elapsed / (w.Link * bytesPerMegabit)
		s.load += sampleWeight * (load - s.load)
	}
	s.sampledAt, s.received, s.sent, s.primed = now, received, sent, true
	w.updateState(now)
}

func (w *Watcher) updateState(now time.Duration) {
	since := time.Duration(w.busySince.Load())
	w.crowded.Store(w.samples.load > quietBelow)
	switch {
	case since == 0 && w.samples.load > busyAbove && now >= w.samples.readyUntil:
		w.busySince.Store(int64(now))
		w.Logger.Warn("link busy", "outcome", "asks for no new connections", "load", w.samples.load, "link_mbps", w.Link)
	case since != 0 && (w.samples.load < quietBelow || now-since > maxBusy):
		w.busySince.Store(0)
		if now-since > maxBusy {
			w.samples.readyUntil = now + readyAfterMaxBusy
		}
		w.Logger.Info("link quiet", "outcome", "takes new connections", "load", w.samples.load, "busy_ms", (now - since).Milliseconds())
	}
}
