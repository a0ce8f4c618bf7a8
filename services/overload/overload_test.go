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
	// step is a period of traffic in bytes per second, and the expected state at its end.
	type step struct {
		seconds    int
		rate       int
		busy, shed bool
	}
	cases := map[string][]step{
		"below busyAbove":     {{seconds: 5, rate: 450e3}},
		"above busyAbove":     {{seconds: 2, rate: 800e3, busy: true}, {seconds: 2, rate: 800e3, busy: true, shed: true}},
		"a short burst":       {{seconds: 2, rate: 800e3, busy: true}, {seconds: 3, rate: 100e3}},
		"between the bounds":  {{seconds: 2, rate: 800e3, busy: true}, {seconds: 3, rate: 400e3, busy: true, shed: true}},
		"longer than maxBusy": {{seconds: 12, rate: 900e3}, {seconds: 6, rate: 900e3, busy: true}, {seconds: 2, rate: 900e3, busy: true, shed: true}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			c := clock.NewFake()
			w := &Watcher{Link: link, Meter: &meter.Meter{}, Clock: c, Logger: logging.Discard()}
			w.sample()
			for i, s := range steps {
				for range s.seconds * int(time.Second/sampleInterval) {
					c.Advance(sampleInterval)
					w.Meter.AddSent(s.rate / int(time.Second/sampleInterval))
					w.Meter.AddReceived(s.rate / 10)
					w.sample()
				}
				if w.IsBusy() != s.busy || w.ShouldCloseConnections() != s.shed {
					t.Fatalf("step %d: busy %v, sheds %v, load %.2f", i, w.IsBusy(), w.ShouldCloseConnections(), w.samples.load)
				}
			}
		})
	}
}

// A link counts as crowded from a lower load on than a box counts as busy, and does so also
// while the box accepts new connections.
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
		w.samples.load = step.load
		w.updateState(time.Second)
		if w.IsCongested() != step.crowded {
			t.Errorf("%s: crowded %v", name, w.IsCongested())
		}
	}
}
