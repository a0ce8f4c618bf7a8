// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"sync"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// List is a box's copy of the calls that control has listed. Its revision never
// decreases. It is safe for concurrent use.
type List struct {
	mu       sync.RWMutex
	rows     map[Digest]*statev1.QuarantinedCall
	revision uint64
	reports  uint64
}

// Update replaces the rows by those of a newer revision, and reports whether it has done
// so. reports is the number of the last report of calls that the rows include.
func (l *List) Update(rows []*statev1.QuarantinedCall, revision, reports uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return false
	}
	l.reports = max(l.reports, reports)
	if revision == l.revision {
		return false
	}
	l.rows = make(map[Digest]*statev1.QuarantinedCall, len(rows))
	for _, row := range rows {
		if c, ok := ParseDigest(row.GetContent()); ok {
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

// Reports returns the number of the last report of calls that the copy includes.
func (l *List) Reports() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.reports
}

// Row returns the row of a call, nil if the call is not listed. The row must not be
// modified.
func (l *List) Row(c Digest) *statev1.QuarantinedCall {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.rows[c]
}

// RowsSince returns the revision of the copy and its rows, no rows for a follower that
// already has that revision.
func (l *List) RowsSince(revision uint64) ([]*statev1.QuarantinedCall, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.revision <= revision {
		return nil, l.revision
	}
	return sorted(l.rows), l.revision
}

// ListedSince returns the revision of the table and its listed rows, no rows for a follower
// that already has that revision.
func (tb *Table) ListedSince(revision uint64) ([]*statev1.QuarantinedCall, uint64) {
	if tb.revision <= revision {
		return nil, tb.revision
	}
	return tb.Listed(), tb.revision
}
