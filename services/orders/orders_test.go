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

// fixture has a replicated state and a target, shared by control boxes that may become
// the leader.
type fixture struct {
	clock  *clock.Fake
	state  *state.State
	engine *standin.Engine
	// sendErr is the error of every send, nil for none. beforeSend is called before each send.
	sendErr    error
	beforeSend func()
}

func (f *fixture) Read(look func(st *state.State)) { look(f.state) }

func (f *fixture) Send(_ context.Context, _ string, o *statev1.Order) error {
	if f.beforeSend != nil {
		f.beforeSend()
	}
	if f.sendErr != nil {
		return f.sendErr
	}
	if !f.engine.ApplyOrder(standin.Order{Token: o.GetToken(), Kind: "load", Value: o.GetValue()}) {
		return errors.New("an order with a higher token is in force")
	}
	return nil
}

func (f *fixture) InForce(context.Context, string, statev1.Order_Kind) (uint64, error) {
	return f.engine.LastOrder("load").Token, nil
}

func (f *fixture) putOrder(value string) {
	a := &statev1.Command_PutOrder{PutOrder: &statev1.PutOrder{Order: &statev1.Order{Target: "e", Kind: statev1.Order_KIND_LOAD, Value: value}}}
	c := &statev1.Command{Operator: "op", Number: f.state.LastToken + 1, Digest: value, Action: a}
	f.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
}

// box is a control box whose lease is set by the test.
type box struct {
	// until is the boot time at which the lease ends.
	until  time.Duration
	sender *orders.Sender
}

func (b *box) Lease() time.Duration { return b.until }

func newFixture(checks bool) *fixture {
	return &fixture{clock: clock.NewFake(), state: state.New(), engine: standin.New(standin.Options{RejectsStaleOrders: checks})}
}

func (f *fixture) box() *box {
	b := &box{}
	b.sender = orders.New(orders.Options{
		Lease: b, States: f, Targets: f, Clock: f.clock, Logger: logging.Discard(),
		Recorder: timeline.New("box", "dc", hlc.New(f.clock)),
	})
	return b
}

// runLeader lets a box run for d with a lease that is renewed before every tick.
func (f *fixture) runLeader(b *box, d time.Duration) {
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
			f.putOrder("one")
			f.runLeader(f.box(), 10*time.Second)
		}, []string{"one"}},
		"only the newest is sent": {false, func(f *fixture) {
			f.putOrder("one")
			f.putOrder("two")
			f.runLeader(f.box(), 10*time.Second)
		}, []string{"two"}},
		"a box without a lease sends nothing": {false, func(f *fixture) {
			f.putOrder("one")
			b := f.box()
			for range 40 {
				f.clock.Advance(250 * time.Millisecond)
				b.sender.Tick(context.Background())
			}
		}, nil},
		"a lease shorter than one sending is not used": {false, func(f *fixture) {
			f.putOrder("one")
			b := f.box()
			for range 40 {
				f.clock.Advance(250 * time.Millisecond)
				b.until = f.clock.Boot() + orders.SendTimeout
				b.sender.Tick(context.Background())
			}
		}, nil},
		"a paused box sends nothing when it resumes": {false, func(f *fixture) {
			old, next := f.box(), f.box()
			f.putOrder("one")
			f.runLeader(old, 5*time.Second)
			f.putOrder("two")
			f.clock.Advance(time.Minute)
			f.runLeader(next, 5*time.Second)
			old.sender.Tick(context.Background())
		}, []string{"one", "two"}},
		"paused between reading back and sending, target checks tokens": {true, func(f *fixture) {
			f.sendStale("one", "two")
			f.runLeader(f.box(), 40*time.Second)
		}, []string{"two"}},
		"paused between reading back and sending, target does not check tokens": {false, func(f *fixture) {
			f.sendStale("one", "two")
			f.runLeader(f.box(), 40*time.Second)
		}, []string{"two", "one", "two"}},
		"a refused order is sent again": {false, func(f *fixture) {
			f.sendErr = errors.New("not now")
			f.putOrder("one")
			b := f.box()
			f.runLeader(b, 5*time.Second)
			f.sendErr = nil
			f.runLeader(b, 5*time.Second)
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

// sendStale gets the newer order carried out and then sends the older one, as a paused box
// does when it resumes.
func (f *fixture) sendStale(older, newer string) {
	f.putOrder(older)
	stale := f.state.Orders["e/KIND_LOAD"]
	f.putOrder(newer)
	f.runLeader(f.box(), 5*time.Second)
	_ = f.Send(context.Background(), "e", stale)
}

func TestLoadsStayWithinTheWeightStoresLimit(t *testing.T) {
	f := newFixture(false)
	for _, target := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		a := &statev1.Command_PutOrder{PutOrder: &statev1.PutOrder{Order: &statev1.Order{Target: target, Kind: statev1.Order_KIND_LOAD, Value: "m:2"}}}
		f.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: &statev1.Command{Operator: "op", Number: f.state.LastToken + 1, Digest: target, Action: a}}})
	}
	var sent []time.Duration
	f.beforeSend = func() { sent = append(sent, f.clock.Boot()) }
	f.sendErr = errors.New("every load fails, so that it is retried")
	f.runLeader(f.box(), 5*time.Second)
	f.runLeader(f.box(), 5*time.Second)
	for i := 1; i < len(sent); i++ {
		if sent[i]-sent[i-1] < time.Second {
			t.Errorf("loads sent %v apart, want at least 1s, also across a change of leader", sent[i]-sent[i-1])
		}
	}
	if len(sent) < 5 {
		t.Errorf("%d loads sent in 10s, want at least 5", len(sent))
	}
}
