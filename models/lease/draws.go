// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"container/heap"
	"time"
)

// Draw is a reservation that another box has made at a holder.
type Draw struct {
	ID           string
	Organisation string
	Tokens       uint64
	// Expires is when the draw ends by itself, on the holder's clock.
	Expires time.Duration
	// ended is set once it is settled; the row stays until it expires, so that
	// a draw that arrives late is known to be over.
	ended bool
}

// Draws are the draws at one holder. Rows that are due are found in a heap. It
// is not safe for concurrent use.
type Draws struct {
	rows map[string]*Draw
	due  dueDraws
}

// NewDraws returns an empty table.
func NewDraws() *Draws { return &Draws{rows: map[string]*Draw{}} }

// Len returns how many rows there are.
func (d *Draws) Len() int { return len(d.rows) }

// Known tells whether there is a row of a name.
func (d *Draws) Known(id string) bool { return d.rows[id] != nil }

// Put adds a draw.
func (d *Draws) Put(row Draw) {
	d.rows[row.ID] = &row
	heap.Push(&d.due, &row)
}

// End ends a draw, and tells whether that changes anything. One that is not
// known is remembered until a time, so that it is refused if it still comes.
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

// Expire removes the rows that are due and returns those that nobody ended.
func (d *Draws) Expire(now time.Duration) []Draw {
	var open []Draw
	for len(d.due) > 0 && d.due[0].Expires <= now {
		row := heap.Pop(&d.due).(*Draw)
		delete(d.rows, row.ID)
		if !row.ended {
			open = append(open, *row)
		}
	}
	return open
}

// dueDraws is a heap by the time of expiry.
type dueDraws []*Draw

func (h dueDraws) Len() int           { return len(h) }
func (h dueDraws) Less(i, j int) bool { return h[i].Expires < h[j].Expires }
func (h dueDraws) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueDraws) Push(x any) { *h = append(*h, x.(*Draw)) }

// Pop implements heap.Interface.
func (h *dueDraws) Pop() any {
	last := len(*h) - 1
	row := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return row
}
