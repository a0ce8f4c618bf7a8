// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"time"

	"havenwinch.dev/havenwinch/models/software"
)

const (
	// maxLifetime limits how long a record is kept.
	maxLifetime = 2 * time.Minute
	// maxRecords limits the records of a table, about 100 bytes each. The oldest are evicted first.
	maxRecords = 1 << 16
)

// Table holds the records of streams until they expire. Times are relative to the boot of the box.
// It is not safe for concurrent use.
type Table struct {
	records map[Key]record
	// order has the keys in the order in which they were first put.
	order []Key
	limit int
}

type record struct {
	// software is empty if two boxes have told of different ones.
	software software.Identity
	expires  time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]record{}, limit: maxRecords} }

// Len returns the number of records, including expired ones that are not evicted yet.
func (tb *Table) Len() int { return len(tb.records) }

// Put records which software began a stream. An attempt id that was used for two streams identifies
// neither: once two records differ, the software is unknown until they expire.
func (tb *Table) Put(k Key, id software.Identity, lifetime, now time.Duration) {
	r := record{software: id, expires: now + min(lifetime, maxLifetime)}
	old, known := tb.records[k]
	if known && old.expires > now {
		if old.software != id {
			r.software = ""
		}
		r.expires = max(r.expires, old.expires)
	}
	if !known {
		tb.order = append(tb.order, k)
	}
	tb.records[k] = r
	tb.evict(now)
}

// Get returns the software that began a stream. It is empty if the records differ; known is false if
// there is none.
func (tb *Table) Get(k Key, now time.Duration) (id software.Identity, known bool) {
	r, known := tb.records[k]
	if !known || r.expires <= now {
		return "", false
	}
	return r.software, true
}

// Entry is a record of a table.
type Entry struct {
	Key      Key
	Software software.Identity
	// Left is how long the record is still kept.
	Left time.Duration
}

// Entries returns the records that have not expired and whose software is known.
func (tb *Table) Entries(now time.Duration) []Entry {
	var list []Entry
	for _, k := range tb.order {
		if r := tb.records[k]; r.software != "" && r.expires > now {
			list = append(list, Entry{Key: k, Software: r.software, Left: r.expires - now})
		}
	}
	return list
}

// evict removes the oldest records that have expired, and more if there are too many.
func (tb *Table) evict(now time.Duration) {
	n := 0
	for n < len(tb.order) && (tb.records[tb.order[n]].expires <= now || len(tb.order)-n > tb.limit) {
		delete(tb.records, tb.order[n])
		n++
	}
	tb.order = tb.order[n:]
}
