// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxload decides which calls an entry box takes while its network link is full, and when
// callers are to be moved to other boxes. It answers a load in which one organisation's callers
// are all assigned to one box, whose link their calls fill, while the other boxes of the data
// centre are lightly loaded.
package boxload

import "time"

// SampleInterval is the time between samples of a link's traffic. Several samples fit into the
// shortest latency objectives, of some hundred milliseconds.
const SampleInterval = 100 * time.Millisecond

// sampleWeight is the weight of a new sample in the smoothed load, which then follows a change
// within about 0.25 s.
const sampleWeight = 0.4

// Link measures the load of a network link, whose directions have the same capacity.
type Link struct {
	// Capacity is in bytes per second in each direction.
	Capacity float64

	sampledAt      time.Duration
	received, sent int64
	in, out        float64
	primed         bool
}

// Sample updates the load from the bytes received and sent since the start.
func (l *Link) Sample(received, sent int64, now time.Duration) {
	elapsed := (now - l.sampledAt).Seconds()
	if l.primed && elapsed > 0 && l.Capacity > 0 {
		l.in += sampleWeight * (float64(received-l.received)/elapsed/l.Capacity - l.in)
		l.out += sampleWeight * (float64(sent-l.sent)/elapsed/l.Capacity - l.out)
	}
	l.sampledAt, l.received, l.sent, l.primed = now, received, sent, true
}

// Load returns the smoothed traffic in the busier direction as a fraction of the capacity.
func (l *Link) Load() float64 { return max(l.in, l.out) }
