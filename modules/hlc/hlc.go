// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package hlc is a hybrid logical clock (Kulkarni et al. 2014). Its timestamps
// stay close to the wall clock and still respect causality: a message is ordered
// after the events that led to it, even when the clocks of the boxes differ.
package hlc

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"havenwinch.dev/havenwinch/modules/clock"
)

// Stamp is a timestamp: Unix time in milliseconds, and a counter that orders
// stamps within the same millisecond.
type Stamp struct {
	Milli   int64
	Counter uint32
}

// Less reports whether s is before o.
func (s Stamp) Less(o Stamp) bool {
	if s.Milli != o.Milli {
		return s.Milli < o.Milli
	}
	return s.Counter < o.Counter
}

// String formats a stamp as "milliseconds.counter", which Parse reads.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Milli, s.Counter) }

// Parse reads the format of String. It returns the zero stamp for invalid input.
func Parse(text string) Stamp {
	milli, counter, ok := strings.Cut(text, ".")
	m, err := strconv.ParseInt(milli, 10, 64)
	if !ok || err != nil || m < 0 {
		return Stamp{}
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}
	}
	return Stamp{Milli: m, Counter: uint32(c)}
}

// maxAhead is how far a received stamp may be ahead of the local wall clock, in
// milliseconds, so that one wrong clock does not move all others ahead.
const maxAhead = 60_000

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	source clock.Clock
	last   Stamp
}

// New returns a clock that reads the wall time from c.
func New(c clock.Clock) *Clock { return &Clock{source: c} }

// Now returns a stamp later than all stamps issued or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next(Stamp{})
}

// Observe advances the clock past a received stamp, so that later stamps are
// ordered after it. Stamps too far ahead of the wall clock (maxAhead) are ignored.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Milli > c.source.Wall().UnixMilli()+maxAhead {
		return
	}
	c.next(s)
}

// next returns the earliest stamp that is not before the wall clock and later than
// both the last stamp and the received one. The caller holds mu.
func (c *Clock) next(received Stamp) Stamp {
	stamp := Stamp{Milli: c.source.Wall().UnixMilli()}
	for _, s := range []Stamp{c.last, received} {
		if !s.Less(stamp) {
			stamp = Stamp{Milli: s.Milli, Counter: s.Counter + 1}
		}
	}
	c.last = stamp
	return stamp
}
