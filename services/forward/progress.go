// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"log/slog"

	"havenwinch.dev/havenwinch/models/software"
)

const (
	// maxStallComments is how many comments a stream may get in the time that counts as a stall without
	// being left for them. Targets that keep a connection alive send one a second at most.
	maxStallComments = 10
	// maxStallBytes is how many other bytes may arrive in that time: the framing after an event.
	maxStallBytes = 8
)

// progress watches the complete events of a stream that may go on at another target. Comments and parts of
// events are none. A nil progress watches nothing.
type progress struct {
	fl *inflightCall
	x  *exchange
	wd *watchdog
	// blocks is the number of complete events, comments that of comments since then, and received that of
	// the bytes on the connection that these account for. firstComment is the number of comments at the
	// start of the present stall.
	blocks                 uint64
	comments, firstComment int
	received               uint64
	// firstLine is the number of comment lines without an end at the start of the present stall.
	firstLine int
}

// limitStall limits the wait for the next event of a stream that may go on at another target. One of
// unverified software can go on nowhere else.
func (fl *inflightCall) limitStall(x *exchange, wd *watchdog) *progress {
	if wd.handOver == nil || fl.software == software.Unverified {
		x.conn.awaitForever()
		return nil
	}
	p := &progress{fl: fl, x: x, wd: wd, received: x.conn.received}
	x.conn.awaitBytes(fl.f.stallWait, p.stall)
	return p
}

// record looks at what has arrived since the last look, and has been written to the caller.
func (p *progress) record() {
	if p == nil {
		return
	}
	fl, e := p.fl, &p.fl.events
	switch {
	case fl.software == software.Unverified:
		p.x.conn.awaitForever()
	case e.blocks > p.blocks:
		p.blocks, p.received = e.blocks, p.x.conn.received
		p.restart()
	case e.comments-p.firstComment <= maxStallComments && e.comments > p.comments:
		p.received = p.x.conn.received
	}
	p.comments = e.comments
}

// restart begins to wait for the next event.
func (p *progress) restart() {
	p.firstComment, p.comments = p.fl.events.comments, p.fl.events.comments
	p.firstLine = p.fl.events.pendingComments()
	p.x.conn.awaitBytes(p.fl.f.stallWait, p.stall)
}

// stall looks for another target when no event has been completed for a while. It returns true if the
// stream goes on there. A target from which bytes come all the same is left also if it is alive.
func (p *progress) stall() bool {
	fl, c := p.fl, p.x.conn
	extra := c.received - p.received
	mustLeave := extra > maxStallBytes && !p.isKeptAlive() && !fl.f.opts.IsCongested()
	if p.wd.next = p.wd.handOver(mustLeave); p.wd.next != nil {
		if mustLeave {
			fl.f.logAnomaly(fl.call, c.target, anomalyNoEvent, fl.events.count, fl.events.pending, slog.Uint64("bytes", extra), slog.Int("comments", fl.events.comments))
		}
		p.wd.expired.Store(true)
		return true
	}
	p.received = c.received
	p.restart()
	return false
}

// isKeptAlive reports whether all that waits for its end is comment lines, few enough to keep a connection
// alive. A comment needs no empty line after it.
func (p *progress) isKeptAlive() bool {
	lines := p.fl.events.pendingComments()
	return lines > 0 && lines-p.firstLine <= maxStallComments
}
