// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
)

const (
	// directoryTTL is how long an entry box stays in the directory after its last
	// report. It exceeds a restart or a network partition, so that leases do not move.
	directoryTTL = 20 * time.Second
	// directoryWarmup is how long a new leader collects reports before it publishes a
	// directory.
	directoryWarmup = 1500 * time.Millisecond
	// sweepInterval is how often expired rows are removed.
	sweepInterval = 500 * time.Millisecond
)

// directory is the leader's list of entry boxes, built from their reports. It is
// not replicated: a new leader collects it again.
type directory struct {
	entries map[string]directoryEntry
	built   *lease.Directory
	// collectingSince is when this box began to collect reports, lastReport when it
	// received the last one.
	collectingSince, lastReport time.Duration
	throttle                    sweepThrottle
}

type directoryEntry struct {
	box        lease.Box
	reportedAt time.Duration
}

// record stores the box of a report. After holderTimeout without any report the
// collection starts over.
func (d *directory) record(r *betweenv1.LeaseRequest, now time.Duration) {
	if d.entries == nil || now-d.lastReport > holderTimeout {
		d.collectingSince = now
	}
	if d.entries == nil {
		d.entries = map[string]directoryEntry{}
	}
	d.lastReport = now
	if r.GetAddress() == "" {
		return
	}
	box := lease.Box{Name: r.GetBox(), Address: r.GetAddress(), DataCentre: r.GetDataCentre()}
	if d.entries[box.Name].box != box {
		d.built = nil
	}
	d.entries[box.Name] = directoryEntry{box: box, reportedAt: now}
	d.removeExpired(now)
}

// removeExpired removes boxes that have not reported within directoryTTL.
func (d *directory) removeExpired(now time.Duration) {
	if !d.throttle.allow(now) {
		return
	}
	for name, row := range d.entries {
		if now-row.reportedAt > directoryTTL {
			delete(d.entries, name)
			d.built = nil
		}
	}
}

// current returns the directory, or nil while reports are still being collected.
func (d *directory) current(now time.Duration) *lease.Directory {
	if d.entries == nil || now-d.collectingSince < directoryWarmup {
		return nil
	}
	if d.built == nil {
		boxes := make([]lease.Box, 0, len(d.entries))
		for _, row := range d.entries {
			boxes = append(boxes, row.box)
		}
		d.built = lease.NewDirectory(boxes)
	}
	return d.built
}

// sweepThrottle limits how often expired rows are removed.
type sweepThrottle struct{ last time.Duration }

// allow reports whether sweepInterval has passed since it last returned true.
func (s *sweepThrottle) allow(now time.Duration) bool {
	if now-s.last < sweepInterval {
		return false
	}
	s.last = now
	return true
}

// directoryMessage converts a directory to its message. It returns nil if there is
// none or the receiver has this version already.
func directoryMessage(d *lease.Directory, has uint64) *betweenv1.Directory {
	if d == nil || d.Version == has {
		return nil
	}
	sent := &betweenv1.Directory{Version: d.Version}
	for _, b := range d.Boxes {
		sent.Boxes = append(sent.Boxes, &betweenv1.EntryBox{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre})
	}
	return sent
}
