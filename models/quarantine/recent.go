// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "time"

const (
	// recentGeneration is half the number of successful calls that a box remembers, at 24
	// bytes each. A box serves 25 a second at present.
	recentGeneration = 1024
	// recentSuccess is how long after a success a call is not blamed for the end of a
	// target. Without this rule a call that makes up a third of the traffic was held
	// back after a crash of all targets at once, and 29,029 of 30,000 attempts were
	// refused (chance_test.go); with it, none.
	recentSuccess = 5 * time.Second
)

// generations holds the latest entries by digest in two maps of bounded size, of which the older one is
// dropped when the newer one is full. The zero value is empty.
type generations[V any] struct{ newer, older map[Digest]V }

// put adds or replaces an entry; size bounds each map.
func (g *generations[V]) put(c Digest, v V, size int) {
	if g.newer == nil || len(g.newer) >= size {
		g.newer, g.older = make(map[Digest]V, size), g.newer
	}
	g.newer[c] = v
}

func (g *generations[V]) get(c Digest) (v V, known bool) {
	if v, known = g.newer[c]; !known {
		v, known = g.older[c]
	}
	return v, known
}

// RecentSuccesses remembers the last successful calls, so that a call that many callers send is
// not blamed when several targets crash at the same moment. It is not safe for
// concurrent use.
type RecentSuccesses struct{ generations[time.Duration] }

// Add records a call that succeeded at the given time.
func (r *RecentSuccesses) Add(c Digest, at time.Duration) {
	r.put(c, at, recentGeneration)
}

// Contains reports whether a call succeeded within recentSuccess before now.
func (r *RecentSuccesses) Contains(c Digest, now time.Duration) bool {
	at, known := r.get(c)
	return known && now-at < recentSuccess
}
