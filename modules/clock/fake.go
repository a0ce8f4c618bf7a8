// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"time"
)

// Fake is a Clock for tests that changes only by Advance and Jump. It is safe for
// concurrent use.
type Fake struct {
	mu   sync.Mutex
	wall time.Time
	boot time.Duration
}

// NewFake returns a clock at 2026-01-01 00:00 UTC, one hour after boot.
func NewFake() *Fake {
	return &Fake{wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), boot: time.Hour}
}

// Wall implements Clock.
func (c *Fake) Wall() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall
}

// Boot implements Clock.
func (c *Fake) Boot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot
}

// Advance moves both the wall clock and the boot clock.
func (c *Fake) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall = c.wall.Add(d)
	c.boot += d
}

// Jump moves only the wall clock, as an adjustment by a wrong time server would.
func (c *Fake) Jump(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall = c.wall.Add(d)
}
