// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Readings implements the leases' Placement.
func (f *Forwarder) Readings() []*betweenv1.ReadingLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*betweenv1.ReadingLoad
	for service, load := range f.targets.ReadingLoads(f.opts.Clock.Boot()) {
		list = append(list, &betweenv1.ReadingLoad{Service: service, Load: uint64(load.Microseconds())})
	}
	return list
}

// SetReadings implements the leases' Placement.
func (f *Forwarder) SetReadings(all []*betweenv1.ReadingLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range all {
		f.targets.SetFleetReading(l.GetService(), time.Duration(l.GetLoad())*time.Microsecond, f.opts.Clock.Boot())
	}
}
