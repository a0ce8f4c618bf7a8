// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Readings implements the Placement interface of the leases: it returns the prefill load by
// service.
func (f *Forwarder) Readings() []*betweenv1.ReadingLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*betweenv1.ReadingLoad
	for service, load := range f.targets.PrefillLoads(f.opts.Clock.Boot()) {
		list = append(list, &betweenv1.ReadingLoad{Service: service, Load: uint64(load.Microseconds())})
	}
	return list
}

// SetReadings implements the Placement interface of the leases: it takes the fleet's prefill
// load by service.
func (f *Forwarder) SetReadings(all []*betweenv1.ReadingLoad) {
	boxes := f.opts.Leases.Boxes()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	for _, l := range all {
		load := time.Duration(l.GetLoad()) * time.Microsecond
		f.targets.SetFleetPrefillLoad(l.GetService(), load, now)
		f.logDedicatedTargets(l.GetService(), boxes, load, now)
	}
}

// logDedicatedTargets logs the number of targets that are dedicated to long prompts when it
// changes. The caller holds f.mu.
func (f *Forwarder) logDedicatedTargets(service string, boxes int, load, now time.Duration) {
	dedicated := f.targets.DedicatedTargets(service, boxes, now)
	if dedicated == f.loggedDedicated[service] {
		return
	}
	if f.loggedDedicated == nil {
		f.loggedDedicated = map[string]int{}
	}
	f.loggedDedicated[service] = dedicated
	f.opts.Logger.Info("targets that read long prompts", "service", service, "readers", dedicated, "fleet_reading_ms_per_s", load.Milliseconds())
}
