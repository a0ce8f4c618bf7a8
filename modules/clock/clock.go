// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock gives time as two separate readings: the wall, which can
// jump, for records that people read; and the boot clock, which never goes
// back and also counts while the process is frozen or the box is suspended,
// for every lease and timeout.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads time.
type Clock interface {
	// Wall is the time of day; it can jump.
	Wall() time.Time
	// Boot is the time since the box booted; it only rises.
	Boot() time.Duration
}

// System is the operating system's clock.
type System struct{}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }

// Boot implements Clock.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the boot clock can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
