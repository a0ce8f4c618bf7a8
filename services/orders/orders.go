// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package orders brings operators' orders to targets: to load a model's
// weights, or to change role. Each carries a fencing token that rises with
// every order over all leaders.
//
// Only the leading control box sends, and only while its lease outlasts the
// longest time that sending can take, so a box that is frozen or cut off stops
// on its own before a successor can start. A target that checks tokens turns
// away what a frozen box may still have on its way; for one that does not, the
// successor reads the order in force back and puts it right.
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
	// SendTimeout is the longest that sending one order can take. It lies well
	// under the shortest lease.
	SendTimeout = 200 * time.Millisecond
	// tickInterval is the time between looks at the orders that are due.
	tickInterval = 250 * time.Millisecond
	// retryAfter is the time between tries of one order.
	retryAfter = 2 * time.Second
	// verifyEvery is the time between looks at an order that was carried out.
	verifyEvery = 30 * time.Second
	// loadsPerSecond keeps the fleet within the weight store's limit: only the
	// leader orders loads, so one limiter bounds all.
	loadsPerSecond = 1
)

// Lease tells until when, on the boot clock, this box alone leads.
type Lease interface {
	Lease() time.Duration
}

// States is the replicated state.
type States interface {
	Read(look func(st *state.State))
}

// Targets sends orders and reads back which one is in force.
type Targets interface {
	Send(ctx context.Context, target string, o *statev1.Order) error
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

// Sender is the leader's work on orders.
type Sender struct {
	opts  Options
	loads *rate.Limiter
	// due holds when an order, by key and token, is looked at next.
	due map[string]progress
	// leading is the boot time since when this box leads, zero when it does not.
	leading time.Duration
}

type progress struct {
	token uint64
	at    time.Duration
}

// New returns a sender.
func New(opts Options) *Sender {
	return &Sender{opts: opts, loads: rate.NewLimiter(loadsPerSecond, 1), due: map[string]progress{}}
}

// Run works until the context ends.
func (s *Sender) Run(ctx context.Context) { periodic.Run(ctx, tickInterval, s.Tick) }

// Tick sends and verifies the orders that are due.
func (s *Sender) Tick(ctx context.Context) {
	now := s.opts.Clock.Boot()
	if !s.mayAct(now) {
		s.leading = 0
		return
	}
	if s.leading == 0 {
		// A new leader waits a while of the weight store's limit, since the one
		// before may have used it just now.
		s.leading = now
		s.due = map[string]progress{}
		s.loads.AllowN(s.opts.Clock.Wall(), 1)
	}
	for _, o := range s.orders() {
		if !s.mayAct(s.opts.Clock.Boot()) {
			return
		}
		s.work(ctx, o, now)
	}
}

// mayAct tells whether the lease outlasts one sending.
func (s *Sender) mayAct(now time.Duration) bool {
	return s.opts.Lease.Lease()-now > SendTimeout
}

// orders returns the orders that are due. Orders are few: one for each target
// and kind that an operator has named.
func (s *Sender) orders() []*statev1.Order {
	var list []*statev1.Order
	now := s.opts.Clock.Boot()
	s.opts.States.Read(func(st *state.State) {
		for _, o := range state.Sorted(st.Orders) {
			p := s.due[state.OrderKey(o)]
			if p.token != o.GetToken() || p.at <= now {
				list = append(list, o)
			}
		}
	})
	return list
}

// work reads the order in force back, and sends the wanted one when it is
// another.
func (s *Sender) work(ctx context.Context, o *statev1.Order, now time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	key := state.OrderKey(o)
	token, err := s.opts.Targets.InForce(ctx, o.GetTarget(), o.GetKind())
	if err == nil && token == o.GetToken() {
		s.due[key] = progress{token: o.GetToken(), at: now + verifyEvery}
		return
	}
	if err == nil && !s.allowed(o) {
		// The limit is used up: it stays due.
		return
	}
	s.due[key] = progress{token: o.GetToken(), at: now + retryAfter}
	if err != nil || !s.mayAct(s.opts.Clock.Boot()) {
		return
	}
	if err := s.opts.Targets.Send(ctx, o.GetTarget(), o); err != nil {
		s.opts.Logger.Warn("an order was not taken", "target", o.GetTarget(), "token", o.GetToken(), "error", err)
		return
	}
	s.opts.Recorder.Record("order sent", "", o.GetTarget()+" "+o.GetValue())
}

// allowed keeps loads within the weight store's limit; the order stays due.
func (s *Sender) allowed(o *statev1.Order) bool {
	return o.GetKind() != statev1.Order_KIND_LOAD || s.loads.AllowN(s.opts.Clock.Wall(), 1)
}
