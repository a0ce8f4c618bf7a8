// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"container/heap"
	"time"
)

// Draw is a reservation that a request on another box has made in this
// holder's lease.
type Draw struct {
	ID           string
	Organisation string
	Tokens       uint64
	// Expires is the time on the holder's clock at which the draw ends unless
	// it was settled before.
	Expires time.Duration
	// ended is set once the draw is settled. The row is kept until it expires, so
	// that a delayed draw request with the same id is refused.
	ended bool
}

// Draws is the table of draws in one holder's leases. A heap orders the rows by
// expiry. It is not safe for concurrent use.
type Draws struct {
	rows     map[string]*Draw
	expiries expiryHeap
}

// NewDraws returns an empty table.
func NewDraws() *Draws { return &Draws{rows: map[string]*Draw{}} }

// Len returns the number of rows, including those of draws that have ended.
func (d *Draws) Len() int { return len(d.rows) }

// Has reports whether there is a row with the given id.
func (d *Draws) Has(id string) bool { return d.rows[id] != nil }

// Put adds a draw. Its id must not be in the table.
func (d *Draws) Put(row Draw) {
	d.rows[row.ID] = &row
	heap.Push(&d.expiries, &row)
}

// End marks a draw as ended and returns it with true if it was open. An unknown
// id is recorded as ended until the given time, so that its draw request is
// refused if it arrives late.
func (d *Draws) End(id string, until time.Duration) (Draw, bool) {
	row := d.rows[id]
	if row == nil {
		d.Put(Draw{ID: id, Expires: until, ended: true})
		return Draw{}, false
	}
	if row.ended {
		return Draw{}, false
	}
	row.ended = true
	return *row, true
}

// Expire removes the rows that have expired and returns those that were still
// open.
func (d *Draws) Expire(now time.Duration) []Draw {
	var open []Draw
	for len(d.expiries) > 0 && d.expiries[0].Expires <= now {
		row := heap.Pop(&d.expiries).(*Draw)
		delete(d.rows, row.ID)
		if !row.ended {
			open = append(open, *row)
		}
	}
	return open
}

// expiryHeap is a min-heap of draws by expiry time.
type expiryHeap []*Draw

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires < h[j].Expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Draw)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	row := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return row
}
