// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"sync"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// List is a box's copy of the calls that control has listed. It moves forward only.
type List struct {
	mu       sync.RWMutex
	rows     map[Content]*statev1.QuarantinedCall
	revision uint64
	reports  uint64
}

// Take takes all listed rows of a revision in, and tells whether they are news. reports
// is the number of the last report of calls that they count.
func (l *List) Take(rows []*statev1.QuarantinedCall, revision, reports uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return false
	}
	l.reports = max(l.reports, reports)
	if revision == l.revision {
		return false
	}
	l.rows = make(map[Content]*statev1.QuarantinedCall, len(rows))
	for _, row := range rows {
		if c, ok := ContentOf(row.GetContent()); ok {
			l.rows[c] = row
		}
	}
	l.revision = revision
	return true
}

// Revision returns the revision of the copy.
func (l *List) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// Reports returns the number of the last report of calls that the copy counts.
func (l *List) Reports() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.reports
}

// Row returns what control has listed of a call, nil for most calls.
func (l *List) Row(c Content) *statev1.QuarantinedCall {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.rows[c]
}

// After returns the rows for a follower that has a revision, none when that is
// this one, and the revision of the copy.
func (l *List) After(revision uint64) ([]*statev1.QuarantinedCall, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.revision <= revision {
		return nil, l.revision
	}
	return sorted(l.rows), l.revision
}

// After returns the listed rows for a follower that has a revision, none when that
// is the table's, and the revision of the table.
func (tb *Table) After(revision uint64) ([]*statev1.QuarantinedCall, uint64) {
	if tb.revision <= revision {
		return nil, tb.revision
	}
	return tb.Listed(), tb.revision
}
