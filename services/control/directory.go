// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
)

const (
	// listedFor is how long an entry box stays in the directory after its last
	// report: longer than a restart or a cut, so that leases stay where they are.
	listedFor = 20 * time.Second
	// gatherFor is how long a box that begins to lead gathers reports before it
	// gives a directory out.
	gatherFor = 1500 * time.Millisecond
	// sweepEvery is the time between looks at rows that are over.
	sweepEvery = 500 * time.Millisecond
)

// directory is the leader's list of entry boxes, from their reports. It is not
// replicated: a new leader gathers it anew.
type directory struct {
	rows map[string]directoryRow
	made *lease.Directory
	// since is when this box began to gather, last when it heard a report.
	since, last time.Duration
	sweeps      sweeps
}

type directoryRow struct {
	box lease.Box
	at  time.Duration
}

// note takes a report's box in.
func (d *directory) note(r *betweenv1.LeaseRequest, now time.Duration) {
	if d.rows == nil || now-d.last > holderTimeout {
		d.since = now
	}
	if d.rows == nil {
		d.rows = map[string]directoryRow{}
	}
	d.last = now
	if r.GetAddress() == "" {
		return
	}
	box := lease.Box{Name: r.GetBox(), Address: r.GetAddress(), DataCentre: r.GetDataCentre()}
	if d.rows[box.Name].box != box {
		d.made = nil
	}
	d.rows[box.Name] = directoryRow{box: box, at: now}
	d.sweep(now)
}

// sweep removes boxes that have not reported for long.
func (d *directory) sweep(now time.Duration) {
	if !d.sweeps.due(now) {
		return
	}
	for name, row := range d.rows {
		if now-row.at > listedFor {
			delete(d.rows, name)
			d.made = nil
		}
	}
}

// current returns the directory, nil while it is still being gathered.
func (d *directory) current(now time.Duration) *lease.Directory {
	if d.rows == nil || now-d.since < gatherFor {
		return nil
	}
	if d.made == nil {
		boxes := make([]lease.Box, 0, len(d.rows))
		for _, row := range d.rows {
			boxes = append(boxes, row.box)
		}
		d.made = lease.NewDirectory(boxes)
	}
	return d.made
}

// sweeps spaces the looks at rows that are over.
type sweeps struct{ last time.Duration }

// due tells whether it is time for the next look, and notes it.
func (s *sweeps) due(now time.Duration) bool {
	if now-s.last < sweepEvery {
		return false
	}
	s.last = now
	return true
}

// wireDirectory returns a directory as it is sent, nil for a box that has it.
func wireDirectory(d *lease.Directory, has uint64) *betweenv1.Directory {
	if d == nil || d.Version == has {
		return nil
	}
	sent := &betweenv1.Directory{Version: d.Version}
	for _, b := range d.Boxes {
		sent.Boxes = append(sent.Boxes, &betweenv1.EntryBox{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre})
	}
	return sent
}
