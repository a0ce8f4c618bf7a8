// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// The time at which a follower reads a message says nothing about when it was made: it may
// have waited on its way or in the buffers of a box that stood still. So a follower sends its
// clock's reading with each answer, and the leader returns the newest one that it has. A
// message that returns a reading was made after it, by the follower's own clock.

// confirmsPerHeartbeat is how often at most a leader sends a peer's reading back ahead of the
// next heartbeat, in a heartbeat interval.
const confirmsPerHeartbeat = 2

// CaughtUpAt returns when this box was last known to hold every committed entry.
// A leader holds them while a quorum follows it, once it has committed an entry
// of its own term; a follower when it has all that such a leader has committed.
func (c *Core) CaughtUpAt(now time.Duration) time.Duration {
	if c.role == Leader && c.log.termAt(c.commit) == c.term {
		c.caughtUpAt = max(c.caughtUpAt, c.quorumAcked(now))
	}
	return c.caughtUpAt
}

// clockReading returns the reading that an answer carries.
func (c *Core) clockReading(now time.Duration) *betweenv1.ClockReading {
	return &betweenv1.ClockReading{Started: int64(c.startedAt), At: int64(now)}
}

// recordReading keeps the newest reading of the peer's process. One of another process
// replaces it: the clock of a machine that starts again begins anew.
func (p *progress) recordReading(r *betweenv1.ClockReading) {
	if r != nil && (p.reading.GetStarted() != r.GetStarted() || p.reading.GetAt() < r.GetAt()) {
		p.reading = r
	}
}

// heardFrom returns the reading to return to a peer. It is empty while this leader holds no
// lease, as another leader may have committed entries by then.
func (c *Core) heardFrom(p *progress, now time.Duration) *betweenv1.ClockReading {
	if p.reading == nil || c.Lease(now) <= now {
		return &betweenv1.ClockReading{}
	}
	return p.reading
}

// confirm returns the reading of a peer that lacks no entry at once, so that the peer knows
// itself caught up one round trip after each heartbeat and not one heartbeat later. The
// answer to such a request counts like that to a heartbeat, so a minimum time lies between
// two. New entries don't wait for the answer.
func (c *Core) confirm(name string, now time.Duration) {
	p := c.peers[name]
	if p == nil || p.reading == nil || p.next <= c.log.last() || c.Lease(now) <= now {
		return
	}
	if now-p.lastConfirmed < c.opts.HeartbeatInterval/confirmsPerHeartbeat {
		return
	}
	p.lastConfirmed = now
	c.sendAppend(name, now)
}

// madeAfter returns a time by this box's clock before which an append request was not made,
// zero if there is none.
func (c *Core) madeAfter(r *betweenv1.AppendRequest, now time.Duration) time.Duration {
	heard := r.GetHeard()
	if heard == nil {
		return c.presumedMadeAfter(now)
	}
	if at := time.Duration(heard.GetAt()); heard.GetStarted() == int64(c.startedAt) && at <= now {
		return at
	}
	return 0
}

// presumedMadeAfter stands in for madeAfter at a request of a leader that returns no readings.
// It proves nothing, but keeps the followers of such a leader in step: the request counts as
// made after the last tick, and not at all in the first heartbeat interval after a pause of
// this box, while requests of before are read.
func (c *Core) presumedMadeAfter(now time.Duration) time.Duration {
	if c.pausedUntil != 0 && now-c.pausedUntil < c.opts.HeartbeatInterval {
		return 0
	}
	return c.lastTick
}

// trackPauses notices that this box stood still.
func (c *Core) trackPauses(now time.Duration) {
	if now-c.lastTick > c.opts.HeartbeatInterval {
		c.pausedUntil = now
	}
	c.lastTick = now
}
