// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rate is a distributed rate limiter: it divides a number of sends per second
// among the boxes of a fleet, without a message for each send. The rate may be far lower
// than the number of boxes: time is divided into windows, and each send of a window is
// assigned to one box by rendezvous hashing (Thaler and Ravishankar 1998) over the names
// of the boxes. A box may make only the sends that are assigned to it in the current
// window. Unused ones expire, so that no send is made twice, and a box that restarts,
// freezes or is cut off takes nothing from the shares of the others.
//
// The boxes agree as long as they know the same boxes and the same time. Otherwise each
// still keeps to its own share: a wrong clock shifts the sends of a box by the same
// amount, and a box that doesn't know the others takes the share of one of many.
package rate

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"havenwinch.dev/havenwinch/modules/hashing"
)

const (
	// minWindow and maxWindow bound the length of a window. With minWindow, any four seconds
	// overlap at most nine windows, so that the fleet sends at most 1.13 times the rate in
	// them. maxWindow is the interval of the sends to a target that accepts none.
	minWindow = 500 * time.Millisecond
	maxWindow = 4 * time.Second
	// MinRate is the lowest effective rate, in sends a second. With a lower one, nobody
	// would notice that a limit has ended.
	MinRate = 1 / (float64(maxWindow) / float64(time.Second))
	// maxSlewRate is the share of the elapsed time by which the fleet's time may be
	// adjusted. Differences of stepThreshold or more are applied at once. If all were, a clock
	// that is set back and forth would hand out the sends of a window several times: 37
	// sends in 4 s where 35 are allowed, in one of 7,700 random schedules.
	maxSlewRate   = 0.1
	stepThreshold = 10 * time.Second
	// unknownBoxes is the number of boxes that a box assumes if it doesn't know the
	// others.
	unknownBoxes = 128
)

// Fleet is what a box knows of the boxes that share a rate. The zero value is that of a
// box that doesn't know the others.
type Fleet struct {
	self uint64
	// boxes holds the hashes of the names of all boxes including this one. It is empty
	// while they aren't known.
	boxes []uint64
	// offset is the fleet's time minus the boot clock.
	offset time.Duration
}

// NewFleet returns a Fleet from the box's own name, the names of all boxes (none while
// they aren't known), and the fleet's time minus the box's boot clock.
func NewFleet(self string, boxes []string, offset time.Duration) Fleet {
	f := Fleet{self: xxhash.Sum64String(self), offset: offset}
	if len(boxes) == 0 {
		return f
	}
	f.boxes = make([]uint64, 0, len(boxes)+1)
	for _, name := range boxes {
		f.boxes = append(f.boxes, xxhash.Sum64String(name))
	}
	if !slices.Contains(f.boxes, f.self) {
		f.boxes = append(f.boxes, f.self)
	}
	return f
}

// Boxes returns the number of boxes including this one, zero while they aren't known.
func (f Fleet) Boxes() int { return len(f.boxes) }

// Offset returns the fleet's time minus the boot clock.
func (f Fleet) Offset() time.Duration { return f.offset }

// Slew returns the fleet with its time adjusted towards a new offset. elapsed is the time
// since the last adjustment, which bounds this one.
func (f Fleet) Slew(offset, elapsed time.Duration) Fleet {
	if most := time.Duration(maxSlewRate * float64(elapsed)); (offset - f.offset).Abs() < stepThreshold {
		offset = min(max(offset, f.offset-most), f.offset+most)
	}
	f.offset = offset
	return f
}

// window is an interval of the fleet's time whose sends are assigned to boxes.
type window struct {
	index  int64
	length time.Duration
	// begins is its start on the boot clock.
	begins time.Duration
}

// window returns the current window for a rate. It is the shortest one that holds at
// least one send, but no longer than maxWindow.
func (f Fleet) window(perSecond float64, now time.Duration) window {
	length := minWindow
	for length < maxWindow && perSecond*length.Seconds() < 1 {
		length *= 2
	}
	at := now + f.offset
	index := int64(at / length)
	if at < 0 {
		index--
	}
	return window{index: index, length: length, begins: time.Duration(index)*length - f.offset}
}

// Phase returns the time since the current window of length minWindow began, and that
// length.
func (f Fleet) Phase(now time.Duration) (at, length time.Duration) {
	return now - f.window(Unlimited, now).begins, minWindow
}

// sends returns how many sends the window holds for the whole fleet: the whole sends that
// have accrued at the rate by its end, less those that had accrued by its start.
func (w window) sends(perSecond float64) int64 {
	perWindow := max(MinRate, perSecond) * w.length.Seconds()
	return int64(math.Floor(perWindow*float64(w.index+1)) - math.Floor(perWindow*float64(w.index)))
}

// share returns how many of a window's sends are assigned to this box. key identifies the
// target, so that the remainder goes to other boxes for other targets.
func (f Fleet) share(perSecond float64, key uint64, w window) int64 {
	return f.Part(w.sends(perSecond), key, w.index)
}

// Part returns how many of n units are assigned to this box in the period with the given index.
// The parts of all boxes differ by at most one and add up to n. key identifies what is divided, so
// that the remainder goes to other boxes for other keys.
func (f Fleet) Part(n int64, key uint64, index int64) int64 {
	draw := hashing.Mix(key ^ hashing.Mix(uint64(index)))
	own := hashing.Mix(f.self ^ draw)
	if len(f.boxes) == 0 {
		rest := n % unknownBoxes
		if own%unknownBoxes < uint64(rest) {
			return n/unknownBoxes + 1
		}
		return n / unknownBoxes
	}
	boxes := int64(len(f.boxes))
	part, rest := n/boxes, n%boxes
	if rest == 0 {
		return part
	}
	before := int64(0)
	for _, box := range f.boxes {
		if box != f.self && hashing.Mix(box^draw) >= own {
			before++
		}
	}
	if before < rest {
		part++
	}
	return part
}

// Divisor returns by how many boxes this one divides: all boxes or, while they aren't known, an
// assumed number.
func (f Fleet) Divisor() int {
	if len(f.boxes) == 0 {
		return unknownBoxes
	}
	return len(f.boxes)
}

// HasSameBoxes reports whether another Fleet knows the same boxes.
func (f Fleet) HasSameBoxes(other Fleet) bool { return slices.Equal(f.boxes, other.boxes) }

// Meter counts a box's sends to one target against the box's share of the target's limit.
// The zero value has counted none. It is not safe for concurrent use.
type Meter struct {
	window window
	// share is the box's share of the current window at a rate of shareRate.
	share     int64
	shareRate float64
	// used counts the sends of the current window that are used up. owed counts those
	// beyond the box's share, which are taken off later windows.
	used, owed int64
	// last is the time of the last send.
	last time.Duration
	// next is the following window, nextShare the box's share of it at a rate of nextRate.
	// They are cached: computing the share for each call that finds no target cost 0.5 ms
	// with 264 targets and 360 boxes.
	next      window
	nextShare int64
	nextRate  float64
}

// unknownUsed blocks a window in which an unknown number of sends has been made.
const unknownUsed = math.MaxInt32

// advance advances the meter to the current window.
func (m *Meter) advance(f Fleet, perSecond float64, key uint64, now time.Duration) {
	w := f.window(perSecond, now)
	same := w.index == m.window.index && w.length == m.window.length
	if same && perSecond == m.shareRate {
		return
	}
	if back := m.window.index - w.index; w.length == m.window.length && back > 0 && back < int64(stepThreshold/minWindow) {
		// The fleet's time was set back a little, into a window that is used already.
		return
	}
	longer := w.length > m.window.length
	m.window, m.shareRate = w, perSecond
	if perSecond != Unlimited {
		m.share = f.share(perSecond, key, w)
	}
	switch {
	case same:
	case longer && m.last > 0 && w.begins < m.last:
		// The earlier part of this window was counted in shorter ones, so that the number
		// of sends in it is not known.
		m.used = unknownUsed
	case w.begins > m.last:
		m.used = 0
		repaid := min(m.owed, m.share)
		m.owed -= repaid
		m.used += repaid
	}
}

// CanSend reports whether the box may send at now, if the fleet's rate is perSecond.
func (m *Meter) CanSend(f Fleet, perSecond float64, key uint64, now time.Duration) bool {
	m.advance(f, perSecond, key, now)
	return m.used < m.share
}

// Acquire reports whether the box may send at now, and counts the send if so.
func (m *Meter) Acquire(f Fleet, perSecond float64, key uint64, now time.Duration) bool {
	if !m.CanSend(f, perSecond, key, now) {
		return false
	}
	m.used++
	m.last = now
	return true
}

// NextShare returns when the next window begins, on the boot clock, and the box's share of it
// less the sends that are owed.
func (m *Meter) NextShare(f Fleet, perSecond float64, key uint64, now time.Duration) (begins time.Duration, part int64) {
	w := f.window(perSecond, now)
	next := window{index: w.index + 1, length: w.length, begins: w.begins + w.length}
	if next.index != m.next.index || next.length != m.next.length || perSecond != m.nextRate {
		m.next, m.nextRate = next, perSecond
		m.nextShare = f.share(perSecond, key, next)
	}
	return next.begins, max(0, m.nextShare-m.owed)
}

// Count counts a send to a target without a limit, so that it is included if a limit
// takes effect within the window.
func (m *Meter) Count(f Fleet, now time.Duration) {
	m.advance(f, Unlimited, 0, now)
	m.used++
	m.last = now
}

// ForceCount counts a send that must be made even if it exceeds the box's share. In that case it
// is taken off the shares of later windows.
func (m *Meter) ForceCount(f Fleet, perSecond float64, key uint64, now time.Duration) {
	if !m.Acquire(f, perSecond, key, now) {
		m.owed++
		m.last = now
	}
}
