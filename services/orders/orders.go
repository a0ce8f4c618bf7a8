// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package orders delivers operators' orders to targets: to load a model's weights, or to
// change role. Each order carries a fencing token, which increases with every order
// across all leaders.
//
// Only the leader of the control boxes sends orders, and only while its lease lasts longer
// than SendTimeout. So a leader that is paused or partitioned stops sending before its
// successor can start. A target that checks tokens rejects a delayed order of a former
// leader. For a target that does not, the new leader reads back the order in force and
// sends the current one again.
package orders

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	// SendTimeout is the maximum time to send one order. It is well below the shortest
	// lease.
	SendTimeout = 200 * time.Millisecond
	// tickInterval is the time between calls of Tick.
	tickInterval = 250 * time.Millisecond
	// retryInterval is the time between attempts to send one order.
	retryInterval = 2 * time.Second
	// verifyInterval is the time between checks of an order that is in force.
	verifyInterval = 30 * time.Second
	// loadsPerSecond is the rate limit of the weight store. As only the leader orders
	// loads, one limiter is enough for the whole fleet.
	loadsPerSecond = 1
)

// Lease is the leader lease of this box.
type Lease interface {
	// Lease returns the boot time until which this box is the only leader.
	Lease() time.Duration
}

// States gives read access to the replicated state.
type States interface {
	Read(look func(st *state.State))
}

// Targets sends orders to targets.
type Targets interface {
	Send(ctx context.Context, target string, o *statev1.Order) error
	// InForce returns the token of the order of a kind that the target has carried
	// out last, zero if there is none.
	InForce(ctx context.Context, target string, kind statev1.Order_Kind) (token uint64, err error)
}

// Options configure a Sender.
type Options struct {
	Lease    Lease
	States   States
	Targets  Targets
	Clock    clock.Clock
	Recorder *timeline.Recorder
	Logger   *slog.Logger
}

// Sender sends and verifies orders while this box is the leader.
type Sender struct {
	opts  Options
	loads *rate.Limiter
	// due holds the next check of each order, by state.OrderKey.
	due map[string]nextCheck
	// leading is the boot time at which this box became the leader, zero if it is not.
	leading time.Duration
}

// nextCheck is the next check of the order with a token; at is a boot time.
type nextCheck struct {
	token uint64
	at    time.Duration
}

func New(opts Options) *Sender {
	return &Sender{opts: opts, loads: rate.NewLimiter(loadsPerSecond, 1), due: map[string]nextCheck{}}
}

// Run calls Tick periodically until the context ends.
func (s *Sender) Run(ctx context.Context) { periodic.Run(ctx, tickInterval, s.Tick) }

// Tick sends and verifies the orders that are due. It does nothing while this box is not
// the leader.
func (s *Sender) Tick(ctx context.Context) {
	now := s.opts.Clock.Boot()
	if !s.canSend(now) {
		s.leading = 0
		return
	}
	if s.leading == 0 {
		// A new leader starts with an empty limiter, since the former one may have
		// used up the weight store's limit just now.
		s.leading = now
		s.due = map[string]nextCheck{}
		s.loads.AllowN(s.opts.Clock.Wall(), 1)
	}
	for _, o := range s.dueOrders() {
		if !s.canSend(s.opts.Clock.Boot()) {
			return
		}
		s.process(ctx, o, now)
	}
}

// canSend reports whether the lease lasts long enough to send one order.
func (s *Sender) canSend(now time.Duration) bool {
	return s.opts.Lease.Lease()-now > SendTimeout
}

// dueOrders returns the orders that are due. There are few orders, since there is at most
// one for each target and kind, and only if an operator has given it.
func (s *Sender) dueOrders() []*statev1.Order {
	var list []*statev1.Order
	now := s.opts.Clock.Boot()
	s.opts.States.Read(func(st *state.State) {
		for _, o := range state.SortedByKey(st.Orders) {
			p := s.due[state.OrderKey(o)]
			if p.token != o.GetToken() || p.at <= now {
				list = append(list, o)
			}
		}
	})
	return list
}

// process reads back the order in force and sends o if it is a different one.
func (s *Sender) process(ctx context.Context, o *statev1.Order, now time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	key := state.OrderKey(o)
	token, err := s.opts.Targets.InForce(ctx, o.GetTarget(), o.GetKind())
	if err == nil && token == o.GetToken() {
		s.due[key] = nextCheck{token: o.GetToken(), at: now + verifyInterval}
		return
	}
	if err == nil && !s.takeRateLimit(o) {
		// The rate limit is used up, so the order stays due.
		return
	}
	s.due[key] = nextCheck{token: o.GetToken(), at: now + retryInterval}
	if err != nil || !s.canSend(s.opts.Clock.Boot()) {
		return
	}
	if err := s.opts.Targets.Send(ctx, o.GetTarget(), o); err != nil {
		s.opts.Logger.Warn("sending an order to a target failed", "target", o.GetTarget(), "token", o.GetToken(), "error", err)
		return
	}
	s.opts.Recorder.Record("order sent", "", o.GetTarget()+" "+o.GetValue())
}

// takeRateLimit reports whether an order may be sent within the rate limit of the weight
// store, and counts it. Orders other than loads are not limited.
func (s *Sender) takeRateLimit(o *statev1.Order) bool {
	return o.GetKind() != statev1.Order_KIND_LOAD || s.loads.AllowN(s.opts.Clock.Wall(), 1)
}
