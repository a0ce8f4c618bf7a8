// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
)

const (
	// headLineLimit is how long the bytes of one line of a head may go on to arrive, and headLimit those of
	// all that comes before the head of the answer has ended. A sound line fits into one or two segments;
	// the limits leave time for a server that writes it byte by byte.
	headLineLimit = 3 * time.Second
	headLimit     = 6 * time.Second
	// trickleGap is the longest time between two arrivals that counts towards these limits, so that a
	// silence counts little, however long it is: the answer may still be on its way after it.
	trickleGap = 500 * time.Millisecond
)

// errHeadTrickles means that bytes of a head go on to arrive without its end.
var errHeadTrickles = errors.New("bytes of a head arrive without its end")

// trickle limits the time for which bytes arrive that are no answer yet.
type trickle struct {
	now       func() time.Duration
	congested func() bool
	lineLimit time.Duration
	limit     time.Duration
	// last is when bytes last arrived, zero at the start of a head; line and total are the times that count.
	last, line, total time.Duration
	// isSkipping is set while the body of an answer to another call is skipped, which has no lines.
	isSkipping bool
	expired    bool
}

// nextHead begins another head after an interim answer or one to another call.
func (l *trickle) nextHead() { l.last, l.line, l.isSkipping = 0, 0, false }

// record records bytes that have arrived. A congested link of this box delays bytes, so that the time does
// not count then.
func (l *trickle) record(p []byte) {
	now := l.now()
	if l.last > 0 && !l.congested() {
		gap := min(now-l.last, trickleGap)
		l.line += gap
		l.total += gap
	}
	l.last = now
	if l.isSkipping || bytes.IndexByte(p, '\n') >= 0 {
		l.line = 0
	}
	l.expired = l.line >= l.lineLimit || l.total >= l.limit
}

// limitHead limits the time for which bytes arrive until the head of the answer has ended. It is called
// before the first of them is read, and the function that it returns once the head has been read.
func (x *exchange) limitHead() (end func()) {
	lineLimit, limit := headLineLimit, headLimit
	if x.f.headLimit > 0 {
		lineLimit, limit = x.f.headLimit, 2*x.f.headLimit
	}
	x.conn.trickle = &trickle{now: x.f.opts.Clock.Boot, congested: x.f.opts.IsCongested, lineLimit: lineLimit, limit: limit}
	return func() { x.conn.trickle = nil }
}
