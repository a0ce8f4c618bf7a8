// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"

	"havenwinch.dev/havenwinch/models/quarantine"
)

// sendFatalCall sends a call that ends every target to each box in turn, until all boxes hold
// it back or ten targets per box have ended. It returns the number of targets that ended.
// between is called after each end.
func (w *testCluster) sendFatalCall(c quarantine.Digest, between func(box, ended int)) (ended int) {
	for held := 0; held < len(w.boxes) && ended < 10*len(w.boxes); {
		for b, q := range w.boxes {
			if w.isHeld(q, c) {
				held++
				continue
			}
			held = 0
			ended++
			w.endTargets(b, c, fmt.Sprint("t", ended))
			between(b, ended)
		}
	}
	return ended
}

// Checks how many targets a fatal call ends if it is sent to each box in turn: three if
// the boxes learn of each other's ends, more if they don't.
func TestTargetsThatEndUnderACall(t *testing.T) {
	c := quarantine.Digest{7}
	cases := map[string]struct {
		run func(w *testCluster) int
		// perBox is how many targets may end for each box, extra how many beyond these.
		perBox, extra int
	}{
		"immediate reports and lists": {run: func(w *testCluster) int {
			return w.sendFatalCall(c, func(int, int) { w.exchangeAll() })
		}, extra: 3},
		"immediate reports, no lists": {run: func(w *testCluster) int {
			return w.sendFatalCall(c, func(b, _ int) { w.sendReport(b) })
		}, perBox: 3},
		"control unreachable, no end known": {run: func(w *testCluster) int {
			w.setCut(true)
			return w.sendFatalCall(c, func(int, int) {})
		}, perBox: 3},
		"control unreachable, two ends known": {run: func(w *testCluster) int {
			w.endTargets(0, c, "a", "b")
			w.exchangeAll()
			w.setCut(true)
			return w.sendFatalCall(c, func(int, int) {}) + 2
		}, perBox: 1, extra: 2},
		"control unreachable, one box restarts after its second end": {run: func(w *testCluster) int {
			w.setCut(true)
			ends, restarted := 0, false
			return w.sendFatalCall(c, func(b, _ int) {
				if b != 0 || restarted {
					return
				}
				if ends++; ends == 2 {
					restarted = true
					w.restartBox(0)
				}
			})
		}, perBox: 3, extra: 2},
		"ends that exceed a report, then control is reachable": {run: func(w *testCluster) int {
			w.setCut(true)
			w.endTargets(0, c, "a", "b", "c")
			for n := range maxQueued {
				w.endTargets(0, quarantine.Digest{8, byte(n), byte(n >> 8)}, "x")
			}
			w.setCut(false)
			w.exchangeAll()
			return w.sendFatalCall(c, func(int, int) { w.exchangeAll() }) + 3
		}, extra: 3},
	}
	for name, c := range cases {
		for _, boxes := range []int{6, 360} {
			t.Run(fmt.Sprintf("%s, %d boxes", name, boxes), func(t *testing.T) {
				w := newTestCluster(t, boxes)
				got, want := c.run(w), c.perBox*boxes+c.extra
				t.Logf("%d targets ended", got)
				if got > want {
					t.Errorf("%d targets ended, want at most %d", got, want)
				}
			})
		}
	}
}
