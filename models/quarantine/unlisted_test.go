// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "testing"

// A box that is cut off keeps the ends of so many calls at most.
func TestUnlistedIsBounded(t *testing.T) {
	u := &Unlisted{}
	for _, target := range []string{"t1", "t2", "t3"} {
		u.Add(contentNo(1), target, EarlyEnd, nil, 0)
	}
	for n := range 2 * maxUnlisted {
		u.Add(contentNo(10+n), "t1", EarlyEnd, nil, 0)
	}
	if _, held := u.Held(contentNo(1), nil, 0); !held || len(u.calls) != maxUnlisted {
		t.Fatalf("%d calls kept, the one with three ends held back: %v", len(u.calls), held)
	}
}

// BenchmarkHeld asks for a call with two ends of this box and a row on the list.
func BenchmarkHeld(b *testing.B) {
	u, tb := &Unlisted{}, NewTable()
	tb.Take(ended(0, end(contentNo(1), "t1", EarlyEnd), end(contentNo(1), "t2", EarlyEnd)))
	row := tb.Listed()[0]
	for _, target := range []string{"t1", "t2"} {
		u.Add(contentNo(1), target, EarlyEnd, row, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = u.Held(contentNo(1), row, 0)
	}
}
