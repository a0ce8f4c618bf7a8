// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/quarantine"
)

var (
	fatalPart = quarantine.DigestOfPart("fatal")
	common    = quarantine.DigestOfPart("in every prompt")
	rare      = quarantine.DigestOfPart("rare")
)

// arePartsHeld reports whether a box holds back calls with the parts.
func (w *testCluster) arePartsHeld(box *Service, parts ...quarantine.Digest) bool {
	_, held := box.PartsHoldLeft(parts)
	return held
}

// sendFatalPart sends calls with the fatal part and others to each box in turn until all boxes hold them
// back, and returns how many targets have crashed. between is called after each crash.
func (w *testCluster) sendFatalPart(others func(n int) []quarantine.Digest, between func(box, crashed int)) (crashed int) {
	for held := 0; held < len(w.boxes) && crashed < 10*len(w.boxes); {
		for b, q := range w.boxes {
			parts := append(others(crashed), fatalPart)
			if w.arePartsHeld(q, parts...) {
				held++
				continue
			}
			held = 0
			crashed++
			w.clock.Advance(time.Second)
			q.RecordPartEnds(parts, fmt.Sprint("t", crashed))
			between(b, crashed)
		}
	}
	return crashed
}

// How many targets crash under a fatal part, and that parts which sound calls share are not held back:
// one that is in every prompt, and one that succeeded once, long ago, at another box.
func TestFatalPartIsHeldBackAlone(t *testing.T) {
	tests := map[string]struct {
		cut bool
		// perBox is how many targets may crash for each box, extra how many beyond these.
		perBox, extra int
	}{
		"control is reached":     {extra: 3},
		"control is not reached": {cut: true, perBox: 3},
	}
	for name, test := range tests {
		for _, boxes := range []int{6, 360} {
			t.Run(fmt.Sprintf("%s, %d boxes", name, boxes), func(t *testing.T) {
				w := newTestCluster(t, boxes)
				w.boxes[boxes-1].RecordPartSuccess([]quarantine.Digest{rare})
				w.clock.Advance(4 * time.Minute)
				w.setCut(test.cut)
				others := func(n int) []quarantine.Digest {
					return []quarantine.Digest{common, rare, quarantine.DigestOfPart(fmt.Sprint("session ", n))}
				}
				crashed := w.sendFatalPart(others, func(int, int) {
					for _, q := range w.boxes {
						q.RecordPartSuccess([]quarantine.Digest{common})
					}
					if !test.cut {
						w.exchangeAll()
					}
				})
				t.Logf("%d targets crashed", crashed)
				if most := test.perBox*boxes + test.extra; crashed > most {
					t.Errorf("%d targets crashed, want at most %d", crashed, most)
				}
				for b, q := range w.boxes {
					if w.arePartsHeld(q, common) {
						t.Fatalf("box %d holds back the part in every prompt", b)
					}
					if !test.cut && w.arePartsHeld(q, rare) {
						t.Fatalf("box %d holds back a part that succeeded minutes ago", b)
					}
				}
			})
		}
	}
}

// A part that was sound and has become fatal is held back, though boxes remember its successes.
func TestPartThatBecomesFatalIsHeldBack(t *testing.T) {
	w := newTestCluster(t, 6)
	for _, q := range w.boxes {
		q.RecordPartSuccess([]quarantine.Digest{fatalPart})
	}
	w.clock.Advance(time.Minute)
	crashed := w.sendFatalPart(func(int) []quarantine.Digest { return nil }, func(int, int) { w.exchangeAll() })
	if crashed > 10 {
		t.Errorf("%d targets crashed", crashed)
	}
}

// A call that is answered at any box releases its parts at all of them.
func TestPartIsReleasedBySuccess(t *testing.T) {
	w := newTestCluster(t, 3)
	w.sendFatalPart(func(int) []quarantine.Digest { return nil }, func(int, int) { w.exchangeAll() })
	w.boxes[1].RecordPartSuccess([]quarantine.Digest{fatalPart})
	w.exchangeAll()
	w.exchangeAll()
	for b, q := range w.boxes {
		if w.arePartsHeld(q, fatalPart) {
			t.Errorf("box %d still holds the part back", b)
		}
	}
}

// BenchmarkPartsHoldLeft checks the parts of a prompt, as is done once for each send.
func BenchmarkPartsHoldLeft(b *testing.B) {
	w := newTestCluster(&testing.T{}, 1)
	names := make([]string, 16)
	for i := range names {
		names[i] = fmt.Sprintf("%x", 0x5c1e07a2+i)
	}
	b.ReportAllocs()
	for b.Loop() {
		parts := make([]quarantine.Digest, 0, len(names))
		for _, name := range names {
			parts = append(parts, quarantine.DigestOfPart(name))
		}
		_, _ = w.boxes[0].PartsHoldLeft(parts)
	}
}
