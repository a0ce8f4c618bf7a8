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
	// endsPerService is the number of versions of a service whose ends are remembered. Of the last two
	// one is not that of the targets which run now.
	endsPerService = 2
	// AnyService is the service of the row that stands for all ends which were forgotten early. Its
	// version is not known.
	AnyService = ""
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
	if n, oldest := e.oldestOf(key.service); n > endsPerService {
		delete(e.last, oldest)
	}
	for len(e.last) > maxEnds {
		_, oldest := e.oldestOf(AnyService)
		forgotten := serviceVersion{service: AnyService}
		e.last[forgotten] = max(e.last[forgotten], e.last[oldest])
		delete(e.last, oldest)
	}
}

// oldestOf returns how many ends of a service, or of all, are remembered, and the oldest of them.
func (e *Ends) oldestOf(service string) (n int, oldest serviceVersion) {
	for key := range e.last {
		if key.service == AnyService || service != AnyService && key.service != service {
			continue
		}
		if n++; n == 1 || cmp.Or(cmp.Compare(e.last[key], e.last[oldest]), cmp.Compare(key.service, oldest.service), cmp.Compare(key.version, oldest.version)) < 0 {
			oldest = key
		}
	}
	return n, oldest
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
