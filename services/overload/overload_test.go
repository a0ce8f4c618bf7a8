// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/meter"
)

func TestBusyBySteps(t *testing.T) {
	const link = 8.0 // a megabyte a second
	// step is some seconds of traffic, and what is believed at their end.
	type step struct {
		seconds    int
		rate       int
		busy, shed bool
	}
	cases := map[string][]step{
		"below the bound":    {{seconds: 5, rate: 450e3}},
		"above it":           {{seconds: 2, rate: 800e3, busy: true}, {seconds: 2, rate: 800e3, busy: true, shed: true}},
		"a short burst":      {{seconds: 2, rate: 800e3, busy: true}, {seconds: 3, rate: 100e3}},
		"between the bounds": {{seconds: 2, rate: 800e3, busy: true}, {seconds: 3, rate: 400e3, busy: true, shed: true}},
		"it does not move":   {{seconds: 12, rate: 900e3}, {seconds: 6, rate: 900e3, busy: true}, {seconds: 2, rate: 900e3, busy: true, shed: true}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake()
			w := &Watcher{Link: link, Meter: &meter.Meter{}, Clock: c, Logger: logging.Discard()}
			w.sample()
			for i, s := range steps {
				for range s.seconds * int(time.Second/sampleInterval) {
					c.Advance(sampleInterval)
					w.Meter.Sent(s.rate / int(time.Second/sampleInterval))
					w.Meter.Received(s.rate / 10)
					w.sample()
				}
				if w.Busy() != s.busy || w.Sheds() != s.shed {
					t.Fatalf("step %d: busy %v, sheds %v, load %.2f", i, w.Busy(), w.Sheds(), w.state.load)
				}
			}
		})
	}
}

// A crowded link is told apart from a busy one: also while the box asks for new
// connections again.
func TestCrowded(t *testing.T) {
	w := &Watcher{Link: 10, Clock: clock.NewFake(), Logger: logging.Discard()}
	for name, step := range map[string]struct {
		load    float64
		crowded bool
	}{
		"idle":    {load: quietBelow / 2},
		"crowded": {load: (quietBelow + busyAbove) / 2, crowded: true},
		"busy":    {load: 1, crowded: true},
	} {
		w.state.load = step.load
		w.decide(time.Second)
		if w.Crowded() != step.crowded {
			t.Errorf("%s: crowded %v", name, w.Crowded())
		}
	}
}
