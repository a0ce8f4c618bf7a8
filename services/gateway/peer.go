// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
)

const (
	// suspendAfter is how many consecutive draws without an answer suspend a box.
	// One is not enough, as a saturated link of this box delays answers, too.
	suspendAfter = 3
	// firstSuspension and maxSuspension bound the time for which a box that did not answer is
	// suspended.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// settleDelay is how long settlements are collected into one message.
	settleDelay = 60 * time.Millisecond
	// settleTimeout bounds one attempt to deliver a message, and settleRetryDelay is the
	// delay between attempts.
	settleTimeout    = 500 * time.Millisecond
	settleRetryDelay = 200 * time.Millisecond
)

// settlement is the end of a draw, to be delivered to the box that holds the lease.
type settlement struct {
	id    string
	spent uint64
	// expires is the boot time from which on delivery is useless, as the holder has
	// ended the draw itself.
	expires time.Duration
}

// peer is another entry box from whose leases this one draws.
type peer struct {
	box    lease.Box
	client betweenv1connect.DrawServiceClient
	now    func() time.Duration

	mu             sync.Mutex
	failures       int
	suspendedUntil time.Duration
	// queued are the settlements to deliver. sending is set while a goroutine
	// delivers them.
	queued  []settlement
	sending bool
}

// isAvailable reports whether a draw may be sent to the box. After a suspension it
// admits a single draw as a probe, and others only after drawTimeout.
func (p *peer) isAvailable(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures < suspendAfter {
		return true
	}
	if now < p.suspendedUntil {
		return false
	}
	p.suspendedUntil = now + drawTimeout
	return true
}

// recordSuccess records that the box has answered.
func (p *peer) recordSuccess(logger *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures >= suspendAfter {
		logger.Info("dependency regained", "dependency", "lease holder", "box", p.box.Name, "address", p.box.Address)
	}
	p.failures = 0
}

// recordFailure records that a draw failed, and suspends the box after suspendAfter
// failures in a row, for longer with each further one.
func (p *peer) recordFailure(now time.Duration, err error, logger *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures >= suspendAfter && now < p.suspendedUntil-drawTimeout {
		// The draw was sent before the box was suspended.
		return
	}
	if connect.CodeOf(err) == connect.CodeUnavailable {
		// The connection was refused, so a single failure suspends the box.
		p.failures = max(p.failures, suspendAfter-1)
	}
	p.failures++
	if p.failures == suspendAfter {
		logger.Warn("dependency lost", "dependency", "lease holder", "box", p.box.Name, "address", p.box.Address, "reason", err.Error())
	}
	if p.failures >= suspendAfter {
		p.suspendedUntil = now + min(maxSuspension, firstSuspension<<min(p.failures-suspendAfter, 5))
	}
}

// settle queues a settlement. It is sent until the box has received it or delivery
// has become useless.
func (p *peer) settle(s settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued = append(p.queued, s)
	if !p.sending {
		p.sending = true
		go p.deliver()
	}
}

// isDelivering reports whether settlements are being delivered.
func (p *peer) isDelivering() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sending
}

// deliver sends the queued settlements until none is left.
func (p *peer) deliver() {
	pause := settleDelay
	for {
		time.Sleep(pause)
		batch := p.batch()
		if len(batch) == 0 {
			return
		}
		if p.send(batch) {
			pause = settleDelay
			continue
		}
		p.mu.Lock()
		p.queued = append(batch, p.queued...)
		p.mu.Unlock()
		pause = settleRetryDelay
	}
}

// batch removes all queued settlements and returns those that are still useful. If
// there are none it clears sending.
func (p *peer) batch() []settlement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []settlement
	now := p.now()
	for _, s := range p.queued {
		if s.expires > now {
			batch = append(batch, s)
		}
	}
	p.queued = nil
	p.sending = len(batch) > 0
	return batch
}

func (p *peer) send(batch []settlement) bool {
	r := &betweenv1.SettleDrawsRequest{}
	for _, s := range batch {
		r.Settlements = append(r.Settlements, &betweenv1.DrawSettlement{Id: s.id, Spent: s.spent})
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err := p.client.Settle(ctx, connect.NewRequest(r))
	return err == nil
}
