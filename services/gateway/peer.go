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
	// silentBefore is how many draws in a row may go unanswered before a box
	// rests: a full link of this box delays answers, too.
	silentBefore = 3
	// firstRest and longestRest bound the time for which a box is not asked
	// that gave no answer.
	firstRest   = 250 * time.Millisecond
	longestRest = 2 * time.Second
	// settleDelay is how long settlements are gathered into one message.
	settleDelay = 60 * time.Millisecond
	// settleTimeout bounds one message, settlePause the time between tries.
	settleTimeout = 500 * time.Millisecond
	settlePause   = 200 * time.Millisecond
)

// settlement is the end of a draw that its holder has to hear of.
type settlement struct {
	id    string
	spent uint64
	// until is when the holder has ended the draw by itself.
	until time.Duration
}

// peer is another entry box that this one draws at.
type peer struct {
	box    lease.Box
	client betweenv1connect.DrawServiceClient
	now    func() time.Duration

	mu       sync.Mutex
	failures int
	restsTo  time.Duration
	// waiting are settlements on their way; sending is set while a goroutine
	// delivers them.
	waiting []settlement
	sending bool
}

// available tells whether the box may be asked. The first to ask one that has
// rested tries for all others.
func (p *peer) available(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures < silentBefore {
		return true
	}
	if now < p.restsTo {
		return false
	}
	p.restsTo = now + drawTimeout
	return true
}

func (p *peer) reached(logger *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures >= silentBefore {
		logger.Info("dependency regained", "dependency", "lease holder", "box", p.box.Name, "address", p.box.Address)
	}
	p.failures = 0
}

func (p *peer) unreached(now time.Duration, err error, logger *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures >= silentBefore && now < p.restsTo-drawTimeout {
		// It was asked before the box was found out of reach.
		return
	}
	if connect.CodeOf(err) == connect.CodeUnavailable {
		// Its machine says that nothing listens there.
		p.failures = max(p.failures, silentBefore-1)
	}
	p.failures++
	if p.failures == silentBefore {
		logger.Warn("dependency lost", "dependency", "lease holder", "box", p.box.Name, "address", p.box.Address, "reason", err.Error())
	}
	if p.failures >= silentBefore {
		p.restsTo = now + min(longestRest, firstRest<<min(p.failures-silentBefore, 5))
	}
}

// settle sends a settlement until the box has it, or it is of no use any more.
func (p *peer) settle(s settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, s)
	if !p.sending {
		p.sending = true
		go p.deliver()
	}
}

// busy tells whether settlements are on their way.
func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sending
}

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
		p.waiting = append(batch, p.waiting...)
		p.mu.Unlock()
		pause = settlePause
	}
}

// batch takes what is still of use; nothing left ends the delivery.
func (p *peer) batch() []settlement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []settlement
	now := p.now()
	for _, s := range p.waiting {
		if s.until > now {
			batch = append(batch, s)
		}
	}
	p.waiting = nil
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
