// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package software

import (
	"cmp"
	"slices"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

const (
	// KeepTime is how long an end is remembered.
	KeepTime = 10 * time.Minute
	// maxEnds limits the ends that are remembered. The oldest are forgotten first.
	maxEnds = 1024
)

// Ends remembers when a target of each version last ended, by service. Together with the targets that
// run now it tells whether a service has run one version only. Times are in milliseconds of Unix time.
type Ends struct {
	last map[serviceVersion]int64
}

// serviceVersion is a version of a service's targets, empty for those that don't know theirs.
type serviceVersion struct{ service, version string }

// NewEnds returns ends from their rows.
func NewEnds(rows []*statev1.SoftwareEnd) *Ends {
	e := &Ends{last: map[serviceVersion]int64{}}
	for _, row := range rows {
		e.last[serviceVersion{row.GetService(), row.GetVersion()}] = row.GetAt()
	}
	return e
}

// Record records that a target has ended.
func (e *Ends) Record(t *statev1.RegisteredTarget, at int64) {
	key := serviceVersion{t.GetService(), t.GetVersion()}
	e.last[key] = max(e.last[key], at)
	for other, last := range e.last {
		if at-last > KeepTime.Milliseconds() {
			delete(e.last, other)
		}
	}
	if len(e.last) > maxEnds {
		oldest := slices.MinFunc(e.Rows(), func(a, b *statev1.SoftwareEnd) int { return cmp.Compare(a.GetAt(), b.GetAt()) })
		delete(e.last, serviceVersion{oldest.GetService(), oldest.GetVersion()})
	}
}

// Rows returns all ends, by service and version.
func (e *Ends) Rows() []*statev1.SoftwareEnd {
	rows := make([]*statev1.SoftwareEnd, 0, len(e.last))
	for key, at := range e.last {
		rows = append(rows, &statev1.SoftwareEnd{Service: key.service, Version: key.version, At: at})
	}
	slices.SortFunc(rows, func(a, b *statev1.SoftwareEnd) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return rows
}
