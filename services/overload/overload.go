// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload tells when a box has about as much traffic as its link
// carries. Such a box asks the balancer for no new connections and closes kept
// ones after their answers, so that callers move to other boxes.
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
	// sampleInterval is the time between readings of the meter.
	sampleInterval = 250 * time.Millisecond
	// sampleWeight is the weight of a new reading.
	sampleWeight = 0.3
	// busyAbove and quietBelow are parts of what the link carries in one
	// direction.
	busyAbove  = 0.5
	quietBelow = 0.3
	// shedAfter is how long a box must be busy before it closes connections: the
	// balancer has then seen that it is not ready.
	shedAfter = 2200 * time.Millisecond
	// longestBusy bounds one time of asking for no connections, so that a box
	// whose load does not move is ready most of the time.
	longestBusy = 8 * time.Second
	// pauseAfter is how long a box stays ready after the longest time.
	pauseAfter = 8 * time.Second
)

// bytesPerMegabit converts the setting of the link.
const bytesPerMegabit = 1e6 / 8

// Watcher compares the traffic of a box with its link.
type Watcher struct {
	// Link is what the link carries in each direction, in megabits a second;
	// zero when it is not known, and the box then never counts as busy.
	Link   float64
	Meter  *meter.Meter
	Clock  clock.Clock
	Logger *slog.Logger

	// since is when the box became busy, in nanoseconds; zero while it is not.
	since atomic.Int64
	// crowded is set while the link carries so much that packets may wait.
	crowded atomic.Bool
	state   watchState
}

// watchState is what the watcher's own goroutine knows.
type watchState struct {
	sampled        time.Duration
	received, sent int64
	// load is the smoothed traffic of the busier direction, as a part of the link.
	load   float64
	rests  time.Duration
	primed bool
}

// Run reads the meter until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.Link <= 0 {
		return
	}
	periodic.Run(ctx, sampleInterval, func(context.Context) { w.sample() })
}

// Busy tells whether the box should get no new connections.
func (w *Watcher) Busy() bool { return w.since.Load() != 0 }

// Crowded tells whether packets may wait at the box's own link: what does not
// answer in time says little of the other end then.
func (w *Watcher) Crowded() bool { return w.crowded.Load() }

// Sheds tells whether kept connections should be closed after their answers.
func (w *Watcher) Sheds() bool {
	since := w.since.Load()
	return since != 0 && w.Clock.Boot()-time.Duration(since) >= shedAfter
}

func (w *Watcher) sample() {
	now := w.Clock.Boot()
	received, sent := w.Meter.Totals()
	s := &w.state
	elapsed := (now - s.sampled).Seconds()
	if s.primed && elapsed > 0 {
		bytes := max(received-s.received, sent-s.sent)
		part := float64(bytes) / elapsed / (w.Link * bytesPerMegabit)
		s.load += sampleWeight * (part - s.load)
	}
	s.sampled, s.received, s.sent, s.primed = now, received, sent, true
	w.decide(now)
}

func (w *Watcher) decide(now time.Duration) {
	since := time.Duration(w.since.Load())
	w.crowded.Store(w.state.load > quietBelow)
	switch {
	case since == 0 && w.state.load > busyAbove && now >= w.state.rests:
		w.since.Store(int64(now))
		w.Logger.Warn("link busy", "outcome", "asks for no new connections", "load", w.state.load, "link_mbps", w.Link)
	case since != 0 && (w.state.load < quietBelow || now-since > longestBusy):
		w.since.Store(0)
		if now-since > longestBusy {
			w.state.rests = now + pauseAfter
		}
		w.Logger.Info("link quiet", "outcome", "takes new connections", "load", w.state.load, "busy_ms", (now - since).Milliseconds())
	}
}
