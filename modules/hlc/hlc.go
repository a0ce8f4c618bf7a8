// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package hlc is a hybrid logical clock (Kulkarni et al. 2014): stamps that
// follow the time of day closely and still order every message after the
// events that led to it, whatever the boxes' clocks say.
package hlc

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"havenwinch.dev/havenwinch/modules/clock"
)

// Stamp is a reading: milliseconds of Unix time and a counter inside them.
type Stamp struct {
	Milli   int64
	Counter uint32
}

// Less orders stamps.
func (s Stamp) Less(o Stamp) bool {
	if s.Milli != o.Milli {
		return s.Milli < o.Milli
	}
	return s.Counter < o.Counter
}

// String returns "milliseconds.counter".
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Milli, s.Counter) }

// Parse reads what String wrote; anything else is the zero stamp.
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

// maxAhead bounds how far a received stamp may run ahead, in milliseconds, so
// that one wrong clock does not drag all others along.
const maxAhead = 60_000

// Clock hands out stamps.
type Clock struct {
	mu   sync.Mutex
	time clock.Clock
	last Stamp
}

// New returns a clock over a source of time.
func New(c clock.Clock) *Clock { return &Clock{time: c} }

// Now returns a stamp after all earlier ones.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.step(Stamp{})
}

// Observe takes a received stamp in; later stamps come after it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Milli > c.time.Wall().UnixMilli()+maxAhead {
		return
	}
	c.step(s)
}

func (c *Clock) step(received Stamp) Stamp {
	next := Stamp{Milli: c.time.Wall().UnixMilli()}
	for _, s := range []Stamp{c.last, received} {
		if !s.Less(next) {
			next = Stamp{Milli: s.Milli, Counter: s.Counter + 1}
		}
	}
	c.last = next
	return next
}
