// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "testing"

// A box that is cut off from control keeps the ends of at most maxUnlisted calls.
func TestUnlistedIsBounded(t *testing.T) {
	u := &PendingEnds{}
	for _, target := range []string{"t1", "t2", "t3"} {
		u.Add(testContent(1), target, EarlyEnd, nil, 0)
	}
	for n := range 2 * maxUnlisted {
		u.Add(testContent(10+n), "t1", EarlyEnd, nil, 0)
	}
	if _, held := u.HoldLeft(testContent(1), nil, 0); !held || len(u.calls) != maxUnlisted {
		t.Fatalf("%d calls are kept, and the one with three ends is held back: %v", len(u.calls), held)
	}
}

// BenchmarkHoldLeft measures HoldLeft for a listed call with two ends observed by this box.
func BenchmarkHoldLeft(b *testing.B) {
	u, tb := &PendingEnds{}, NewTable()
	tb.Apply(endReport(0, targetEnd(testContent(1), "t1", EarlyEnd), targetEnd(testContent(1), "t2", EarlyEnd)))
	row := tb.Listed()[0]
	for _, target := range []string{"t1", "t2"} {
		u.Add(testContent(1), target, EarlyEnd, row, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = u.HoldLeft(testContent(1), row, 0)
	}
}
