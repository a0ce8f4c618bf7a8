// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package boxload paces the long bodies that cross the network link of an entry box. It answers a
// load in which the callers of one organisation are all assigned to one box and fill its link: the
// bodies of long prompts are then ten times as long as those of short calls with short latency
// objectives, which would wait behind them in the queues of the link.
package boxload

import (
	"math"
	"time"
)

const (
	// utilisation is the share of the link's capacity up to which long bodies may load it. Above
	// it the queue at the link grows to several hundred milliseconds in a burst, more than the
	// latency objectives of short calls.
	utilisation = 0.8
	// burstTime is how much unused capacity, in time, long bodies may use at once.
	burstTime = 20 * time.Millisecond
	// maxDebtTime bounds the time for which long bodies wait after a burst of other traffic.
	maxDebtTime = 200 * time.Millisecond
)

// Pacer tells when long bodies may use one direction of a link. It is a token bucket that all traffic
// of the direction drains and that only long bodies wait for. It is not safe for concurrent use.
type Pacer struct {
	// Capacity is that of the link in bytes per second.
	Capacity float64

	// tokens is the level of the bucket in bytes as of updated, when total bytes had passed.
	tokens  float64
	updated time.Duration
	total   int64
	primed  bool
}

// Wait returns how long a part of a long body has to wait, zero if it may be sent or read now. total is
// the number of bytes that have passed in the direction since the start. The part itself counts
// once it has passed.
func (p *Pacer) Wait(total int64, now time.Duration) time.Duration {
	rate := utilisation * p.Capacity
	if p.primed {
		p.tokens += rate*(now-p.updated).Seconds() - float64(total-p.total)
		p.tokens = min(p.tokens, rate*burstTime.Seconds())
		p.tokens = max(p.tokens, -rate*maxDebtTime.Seconds())
	}
	p.updated, p.total, p.primed = now, total, true
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(math.Ceil(-p.tokens / rate * float64(time.Second)))
}
