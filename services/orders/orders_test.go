// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package orders_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/orders"
	"havenwinch.dev/havenwinch/services/timeline"
	standin "havenwinch.dev/havenwinch/standin/engine"
)

// fixture is one state, a target, and control boxes that may lead.
type fixture struct {
	clock  *clock.Fake
	state  *state.State
	engine *standin.Engine
	// fail makes sending fail; seen is called before each sending.
	fail error
	seen func()
}

func (f *fixture) Read(look func(st *state.State)) { look(f.state) }

func (f *fixture) Send(_ context.Context, _ string, o *statev1.Order) error {
	if f.seen != nil {
		f.seen()
	}
	if f.fail != nil {
		return f.fail
	}
	if !f.engine.Order(standin.Order{Token: o.GetToken(), Kind: "load", Value: o.GetValue()}) {
		return errors.New("an order with a newer token was taken before")
	}
	return nil
}

func (f *fixture) InForce(context.Context, string, statev1.Order_Kind) (uint64, error) {
	return f.engine.InForce("load").Token, nil
}

func (f *fixture) order(value string) {
	a := &statev1.Command_PutOrder{PutOrder: &statev1.PutOrder{Order: &statev1.Order{Target: "e", Kind: statev1.Order_KIND_LOAD, Value: value}}}
	c := &statev1.Command{Operator: "op", Number: f.state.LastToken + 1, Digest: value, Action: a}
	f.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
}

// box is a control box with a lease that a test sets.
type box struct {
	until  time.Duration
	sender *orders.Sender
}

func (b *box) Lease() time.Duration { return b.until }

func newFixture(checks bool) *fixture {
	return &fixture{clock: clock.NewFake(), state: state.New(), engine: standin.New(standin.Options{ChecksOrders: checks})}
}

func (f *fixture) box() *box {
	b := &box{}
	b.sender = orders.New(orders.Options{
		Lease: b, States: f, Targets: f, Clock: f.clock, Logger: logging.Discard(),
		Recorder: timeline.New("box", "dc", hlc.New(f.clock)),
	})
	return b
}

// run ticks a box for a while, under a lease that is renewed.
func (f *fixture) run(b *box, d time.Duration) {
	for end := f.clock.Boot() + d; f.clock.Boot() < end; {
		f.clock.Advance(250 * time.Millisecond)
		b.until = f.clock.Boot() + 800*time.Millisecond
		b.sender.Tick(context.Background())
	}
}

func (f *fixture) values() []string {
	var list []string
	for _, o := range f.engine.Orders() {
		list = append(list, o.Value)
	}
	return list
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		checks bool
		play   func(f *fixture)
		want   []string
	}{
		"sent once": {false, func(f *fixture) {
			f.order("one")
			f.run(f.box(), 10*time.Second)
		}, []string{"one"}},
		"only the newest is sent": {false, func(f *fixture) {
			f.order("one")
			f.order("two")
			f.run(f.box(), 10*time.Second)
		}, []string{"two"}},
		"a box without a lease sends nothing": {false, func(f *fixture) {
			f.order("one")
			b := f.box()
			for range 40 {
				f.clock.Advance(250 * time.Millisecond)
				b.sender.Tick(context.Background())
			}
		}, nil},
		"a lease shorter than one sending is not used": {false, func(f *fixture) {
			f.order("one")
			b := f.box()
			for range 40 {
				f.clock.Advance(250 * time.Millisecond)
				b.until = f.clock.Boot() + orders.SendTimeout
				b.sender.Tick(context.Background())
			}
		}, nil},
		"a box that was frozen sends nothing when thawed": {false, func(f *fixture) {
			old, next := f.box(), f.box()
			f.order("one")
			f.run(old, 5*time.Second)
			f.order("two")
			f.clock.Advance(time.Minute)
			f.run(next, 5*time.Second)
			old.sender.Tick(context.Background())
		}, []string{"one", "two"}},
		"frozen between reading back and sending, target checks": {true, func(f *fixture) {
			f.late("one", "two")
			f.run(f.box(), 40*time.Second)
		}, []string{"two"}},
		"frozen between reading back and sending, target does not check": {false, func(f *fixture) {
			f.late("one", "two")
			f.run(f.box(), 40*time.Second)
		}, []string{"two", "one", "two"}},
		"a refused order is sent again": {false, func(f *fixture) {
			f.fail = errors.New("not now")
			f.order("one")
			b := f.box()
			f.run(b, 5*time.Second)
			f.fail = nil
			f.run(b, 5*time.Second)
		}, []string{"one"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(test.checks)
			test.play(f)
			if diff := cmp.Diff(test.want, f.values()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// late carries out the newer order, and then brings the older one, which a
// frozen box had on its way.
func (f *fixture) late(older, newer string) {
	f.order(older)
	stale := f.state.Orders["e/KIND_LOAD"]
	f.order(newer)
	f.run(f.box(), 5*time.Second)
	_ = f.Send(context.Background(), "e", stale)
}

func TestLoadsStayWithinTheWeightStoresLimit(t *testing.T) {
	f := newFixture(false)
	for _, target := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		a := &statev1.Command_PutOrder{PutOrder: &statev1.PutOrder{Order: &statev1.Order{Target: target, Kind: statev1.Order_KIND_LOAD, Value: "m:2"}}}
		f.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: &statev1.Command{Operator: "op", Number: f.state.LastToken + 1, Digest: target, Action: a}}})
	}
	var sent []time.Duration
	f.seen = func() { sent = append(sent, f.clock.Boot()) }
	f.fail = errors.New("never in force, so that every load is tried again")
	f.run(f.box(), 5*time.Second)
	f.run(f.box(), 5*time.Second)
	for i := 1; i < len(sent); i++ {
		if sent[i]-sent[i-1] < time.Second {
			t.Errorf("two loads %v apart, over a change of leader", sent[i]-sent[i-1])
		}
	}
	if len(sent) < 5 {
		t.Errorf("only %d loads in 10 s", len(sent))
	}
}
