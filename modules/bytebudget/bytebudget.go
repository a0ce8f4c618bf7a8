// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package bytebudget counts the bytes that a process holds for others, such as bodies of requests,
// against a limit. It allocates nothing itself and never blocks.
package bytebudget

import "sync/atomic"

// smallHold is how many bytes an owner that shares the budget may hold of all of it. Beyond it the owner may
// not take the last half, so that a few large owners leave room for small ones.
const smallHold = 64 << 10

// Budget limits the bytes that are held at a time. It is safe for concurrent use. A nil Budget has
// no limit and counts nothing.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryAcquire counts n bytes as held. It returns false, and counts nothing, if that would exceed the
// limit.
func (b *Budget) TryAcquire(n int64) bool { return b.tryWithin(n, 1) }

// tryWithin is like TryAcquire, for the part of the limit that remains after a division.
func (b *Budget) tryWithin(n, divisor int64) bool {
	if b == nil {
		return true
	}
	if b.held.Add(n) > b.limit/divisor {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release ends the count of n bytes that were acquired.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.held.Add(-n)
	}
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Hold counts the bytes of a budget that one owner holds. It is not safe for concurrent use. The
// zero Hold has no budget and no limit.
type Hold struct {
	// Budget is what the bytes are taken from; nil for no limit.
	Budget *Budget
	held   int64
}

// Grow acquires n more bytes, and reports whether there was room for them.
func (h *Hold) Grow(n int) bool { return h.growWithin(n, 1) }

// GrowShared is like Grow, but leaves the last half of the budget to owners of at most smallHold bytes.
func (h *Hold) GrowShared(n int) bool {
	divisor := int64(1)
	if h.held+int64(n) > smallHold {
		divisor = 2
	}
	return h.growWithin(n, divisor)
}

func (h *Hold) growWithin(n int, divisor int64) bool {
	if !h.Budget.tryWithin(int64(n), divisor) {
		return false
	}
	h.held += int64(n)
	return true
}

// Size returns the bytes that the owner holds.
func (h *Hold) Size() int { return int(h.held) }

// ShrinkTo releases all but n bytes.
func (h *Hold) ShrinkTo(n int) {
	h.Budget.Release(h.held - int64(n))
	h.held = int64(n)
}

// Release releases all bytes.
func (h *Hold) Release() { h.ShrinkTo(0) }
