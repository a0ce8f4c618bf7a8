// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock provides two separate clocks. The wall clock can jump and is meant
// for records that people read. The boot clock never goes back, and also advances
// while the process is frozen or the box is suspended; leases and timeouts use it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the wall clock and the boot clock.
type Clock interface {
	// Wall returns the time of day, which can jump in both directions.
	Wall() time.Time
	// Boot returns the time since the box booted, which never decreases.
	Boot() time.Duration
}

// System reads the clocks of the operating system.
type System struct{}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }

// Boot implements Clock.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: failed to read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
