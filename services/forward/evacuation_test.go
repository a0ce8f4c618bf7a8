// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/structs"
)

// targetNamed returns the target t0 or t1.
func (f *Forwarder) targetNamed(t *testing.T, name string) *spread.Target {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	other := map[string]string{"t0": "t1", "t1": "t0"}[name]
	c := f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{other: true}}, f.opts.Clock.Boot())
	if c.Target == nil {
		t.Fatalf("target %s can't be chosen", name)
	}
	return c.Target
}

// evacuate sends the forwarder the state of the evacuations of both data centres of a test.
func evacuate(t *testing.T, f *Forwarder, revision uint64, active ...string) {
	t.Helper()
	message := &betweenv1.FollowResponse{EvacuationRevision: revision}
	for _, name := range []string{"dc", "far"} {
		row := &statev1.Evacuation{DataCentre: name, Revision: revision}
		for _, other := range active {
			row.Active = row.Active || name == other
		}
		message.Evacuations = append(message.Evacuations, row)
	}
	changes, err := f.opts.Store.Apply(message)
	if err != nil || !changes.Evacuations {
		t.Fatalf("the evacuations were not applied: %+v, %v", changes, err)
	}
	f.Refresh()
}

// Guards against requests of any kind that still reach an evacuated data centre: all of them
// pass through countRequest, whatever they are for.
func TestNoRequestToEvacuatedTargets(t *testing.T) {
	tests := map[string]struct {
		call *Call
		err  error
	}{
		"a call":                       {call: newCall("safe"), err: errEvacuated},
		"a request of this system":     {call: &Call{Internal: true}, err: errEvacuated},
		"a run that was stopped there": {call: &Call{Resumes: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{outcome: gateway.Reserved}, newTarget(t, "t0"))
			target := f.targetNamed(t, "t0")
			if err := f.countRequest(target, test.call, 0); err != nil {
				t.Fatalf("before the evacuation: %v", err)
			}
			evacuate(t, f, 1, "dc")
			if err := f.countRequest(target, test.call, 0); !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			evacuate(t, f, 2)
			if err := f.countRequest(target, test.call, 0); err != nil {
				t.Fatalf("after the evacuation: %v", err)
			}
		})
	}
}

// Guards against calls that are refused or held while targets outside of the evacuated data
// centre can take them.
func TestCallsGoElsewhereDuringAnEvacuation(t *testing.T) {
	near := newTarget(t, "t0", respond(200, "near"))
	far := newTarget(t, "t1", respond(200, "far"), respond(200, "far"))
	f := newForwarder(t, &fakeLeases{outcome: gateway.Reserved}, near, far)
	evacuate(t, f, 1, "dc")
	for range 2 {
		sink := &collector{}
		if err := f.Serve(context.Background(), newCall("safe"), sink); err != nil || sink.body.String() != "far" {
			t.Fatalf("got %q, %v", sink.body.String(), err)
		}
	}
	evacuate(t, f, 2, "far")
	sink := &collector{}
	if err := f.Serve(context.Background(), newCall("safe"), sink); err != nil || sink.body.String() != "near" {
		t.Fatalf("after the evacuation moved to the other data centre: %q, %v", sink.body.String(), err)
	}
}

// Guards against callers that wait for nothing: with all targets evacuated a call is refused
// at once, has not run, reserves nothing, and the caller is told when to come back.
func TestAllTargetsEvacuated(t *testing.T) {
	leases := &fakeLeases{outcome: gateway.Reserved, onReserve: func() { t.Error("tokens were reserved for a call that can't be served") }}
	f := newForwarder(t, leases, newTarget(t, "t0"), newTarget(t, "t1"))
	evacuate(t, f, 1, "dc", "far")
	var refusal *Refusal
	err := f.Serve(context.Background(), newCall("stream"), &collector{})
	if !errors.As(err, &refusal) || refusal.Kind != structs.KindNoTarget || refusal.Run != structs.RunNo || refusal.RetryAfter != evacuatedRetryAfter {
		t.Fatalf("got %v", err)
	}
}

// Guards against streams that are cut when their data centre is evacuated.
func TestStreamOutlivesEvacuation(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	target := newTarget(t, "t0", func(c net.Conn, r received) {
		_, _ = io.WriteString(c, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
		chunk := func(text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
		chunk(event(0))
		close(begun)
		<-goOn
		chunk(event(1))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	f := newForwarder(t, &fakeLeases{outcome: gateway.Reserved}, target)
	sink := &collector{}
	done := make(chan error, 1)
	go func() { done <- f.Serve(context.Background(), newCall("stream"), sink) }()
	<-begun
	evacuate(t, f, 1, "dc")
	close(goOn)
	if err := <-done; err != nil || sink.body.String() != event(0)+event(1) || !sink.ended {
		t.Fatalf("got %q, ended %v, %v", sink.body.String(), sink.ended, err)
	}
}

// Guards against runs that are stopped, to be moved, when they can't go on anywhere.
func TestNoRunIsStoppedDuringAnEvacuation(t *testing.T) {
	for _, centre := range []string{"dc", "far"} {
		t.Run(centre, func(t *testing.T) {
			script := &engineScript{copies: 200, stops: 200, stopped: make(chan struct{}), released: make(chan string, 1)}
			target := newTarget(t, "t0", repeated(9, script.answer)...)
			other := newTarget(t, "t1", repeated(9, script.answer)...)
			f := newMovingForwarder(t, &fakeLeases{outcome: gateway.Reserved}, target, other)
			fl := &inflightCall{f: f, call: longCall(), excluded: map[string]bool{}, sink: &trackingSink{Sink: &collector{}, now: f.opts.Clock.Boot}}
			m := newMover(fl, f.targetNamed(t, "t0"), f.targetNamed(t, "t1"))
			evacuate(t, f, 1, centre)
			m.run(context.Background())
			if m.ordered || m.outcome != stopNone {
				t.Error("the run was stopped")
			}
			for _, r := range append(target.requests(), other.requests()...) {
				if r.path == "/copy" && centre == "dc" {
					t.Errorf("request to an evacuated target: %+v", r)
				}
			}
		})
	}
}

// Guards against a target that comes back cold and gets the calls of all boxes at once: by
// its row, by its own answers and after a change of the terms, this box keeps to its share.
func TestColdTargetsGetAShare(t *testing.T) {
	const perSecond = 4
	setTerms := func(f *Forwarder, rate float64) {
		index := f.opts.Store.Index()
		table := &statev1.RoutingTable{Version: index.Table.GetVersion() + 1, Routes: index.Table.GetRoutes(), Payers: index.Table.GetPayers(),
			Services: []*statev1.Service{{Name: "s", ColdRate: rate, ColdStart: 3000}}}
		if _, err := f.opts.Store.Apply(&betweenv1.FollowResponse{Routing: table}); err != nil {
			t.Fatal(err)
		}
		f.Refresh()
	}
	putCold := func(f *Forwarder, cold uint32, revision uint64) {
		row := f.opts.Store.Target("t0")
		next := &statev1.RegisteredTarget{Id: row.GetId(), Service: row.GetService(), Address: row.GetAddress(), DataCentre: row.GetDataCentre(), Version: row.GetVersion(), State: row.GetState(), Cold: cold, Revision: revision}
		if _, err := f.opts.Store.Apply(&betweenv1.FollowResponse{Targets: []*statev1.RegisteredTarget{next}, TargetRevision: revision}); err != nil {
			t.Fatal(err)
		}
		f.Refresh()
	}
	tests := map[string]struct {
		prepare func(f *Forwarder)
		// limited says whether the target has a limit, second whether a second later it has one.
		limited, second bool
	}{
		"warm":                  {prepare: func(f *Forwarder) { setTerms(f, perSecond) }},
		"cold":                  {prepare: func(f *Forwarder) { setTerms(f, perSecond); putCold(f, 900, 2) }, limited: true},
		"cold before the terms": {prepare: func(f *Forwarder) { putCold(f, 900, 2); setTerms(f, perSecond) }, limited: true},
		"warm again":            {prepare: func(f *Forwarder) { setTerms(f, perSecond); putCold(f, 9000, 2); putCold(f, 0, 3) }},
		"for longer":            {prepare: func(f *Forwarder) { setTerms(f, perSecond); putCold(f, 900, 2); putCold(f, 2000, 3) }, limited: true, second: true},
		"terms without a rate":  {prepare: func(f *Forwarder) { putCold(f, 900, 2); setTerms(f, 0) }},
		"after an evacuation":   {prepare: func(f *Forwarder) { setTerms(f, perSecond); evacuate(t, f, 1, "dc"); evacuate(t, f, 2) }, limited: true, second: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{outcome: gateway.Reserved}, newTarget(t, "t0"))
			c := clock.NewFake()
			f.opts.Clock, f.opts.Box = c, "a"
			f.TakeLimits(nil, &betweenv1.LeaseResponse{LimitsList: "first", FleetTime: c.Wall().UnixMilli()}, lease.NewDirectory([]lease.Box{{Name: "a", Address: "a:1", DataCentre: "dc"}}))
			test.prepare(f)
			target := f.targetNamed(t, "t0")
			sent := 0
			for range 10 {
				if f.countRequest(target, newCall("safe"), c.Boot()) == nil {
					sent++
				}
			}
			if limited := sent < 10; limited != test.limited || limited && sent > perSecond {
				t.Errorf("%d of 10 requests were sent at once", sent)
			}
			c.Advance(time.Second)
			if got := f.isLimited(target); got != test.second {
				t.Errorf("limited a second later: %v", got)
			}
		})
	}
}
