// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func (f *gatewayFixture) registerTargets(t *testing.T, n int) {
	t.Helper()
	put := &statev1.PutTargets{}
	for i := range n {
		put.Targets = append(put.Targets, &statev1.RegisteredTarget{Id: fmt.Sprint("t", i), Born: 5, Service: "s", Address: fmt.Sprint("10.0.0.1:", 1000+i), State: statev1.RegisteredTarget_STATE_READY, Sequence: 1})
	}
	f.put(t, &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: put}})
}

// A limit that one box reports is sent to each other box once, with its age. A box that
// has the list of another leader is sent this whole list.
func TestLimitsReachEveryBoxOnce(t *testing.T) {
	f := newGateway(t)
	f.registerTargets(t, 2)
	type known struct {
		list     string
		revision uint64
	}
	ask := func(k known, told ...*betweenv1.TargetLimit) (got []string, next known) {
		resp, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: "h", Box: "box", Limits: told, LimitsList: k.list, LimitsRevision: k.revision})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range resp.GetLimits() {
			got = append(got, fmt.Sprintf("%s %g %v %d", m.GetTarget(), m.GetPerSecond(), m.GetNone(), m.GetReceivedAgo()))
		}
		return got, known{list: resp.GetLimitsList(), revision: resp.GetLimitsRevision()}
	}
	limit := func(target string, born int64, perSecond float64, sent, received int64) *betweenv1.TargetLimit {
		return &betweenv1.TargetLimit{Target: target, Born: born, Service: "s", PerSecond: perSecond, SentAgo: sent, ReceivedAgo: received}
	}
	_, a := ask(known{})
	b := a
	steps := []struct {
		name string
		told []*betweenv1.TargetLimit
		want string
	}{
		{name: "first limit", told: []*betweenv1.TargetLimit{limit("t0", 5, 1, 90, 40)}, want: "[t0 1 false 90]"},
		{name: "no report", want: "[]"},
		{name: "same limit again", told: []*betweenv1.TargetLimit{limit("t0", 5, 1, 20, 10)}, want: "[]"},
		{name: "older answer", told: []*betweenv1.TargetLimit{limit("t0", 5, 9, 4000, 3000)}, want: "[]"},
		{name: "earlier start of the target", told: []*betweenv1.TargetLimit{limit("t1", 4, 1, 2, 1)}, want: "[]"},
		{name: "unregistered target", told: []*betweenv1.TargetLimit{limit("t9", 5, 1, 2, 1)}, want: "[]"},
		{name: "limit ended", told: []*betweenv1.TargetLimit{{Target: "t0", Born: 5, Service: "s", None: true, SentAgo: 2, ReceivedAgo: 1}}, want: "[t0 0 true 51]"},
	}
	for _, s := range steps {
		f.clock.Advance(time.Second)
		_, a = ask(a, s.told...)
		f.clock.Advance(50 * time.Millisecond)
		var got []string
		got, b = ask(b)
		if fmt.Sprint(got) != s.want {
			t.Fatalf("%s: %v, want %s", s.name, got, s.want)
		}
	}
	if got, _ := ask(known{list: "another leader's", revision: 99}); len(got) != 1 {
		t.Fatalf("a box that has another leader's list was sent %v, want one limit", got)
	}
}

// With many targets that change their limits all the time, answers stay small, every
// limit is sent eventually, and the list of changes does not grow without bound.
func TestLimitsOfManyTargets(t *testing.T) {
	const targets, rounds = 300, 40
	f := newGateway(t)
	f.registerTargets(t, targets)
	latest := map[string]float64{}
	list, revision := "", uint64(0)
	ask := func(told []*betweenv1.TargetLimit) int {
		resp, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: "h", Box: "box", Limits: told, LimitsList: list, LimitsRevision: revision})
		if err != nil {
			t.Fatal(err)
		}
		list, revision = resp.GetLimitsList(), resp.GetLimitsRevision()
		for _, m := range resp.GetLimits() {
			latest[m.GetTarget()] = m.GetPerSecond()
		}
		return len(resp.GetLimits())
	}
	for round := range rounds {
		f.clock.Advance(time.Second)
		var told []*betweenv1.TargetLimit
		for i := range targets {
			told = append(told, &betweenv1.TargetLimit{Target: fmt.Sprint("t", i), Born: 5, Service: "s", PerSecond: float64(1 + round), SentAgo: 20, ReceivedAgo: 10})
		}
		if n := ask(told); n > maxLimitsPerAnswer {
			t.Fatalf("%d limits in one answer", n)
		}
	}
	for ask(nil) > 0 {
	}
	for i := range targets {
		if got := latest[fmt.Sprint("t", i)]; got != rounds {
			t.Fatalf("target %d: the last limit sent is %v, want %d", i, got, rounds)
		}
	}
	if n := len(f.limits.changes); n > 2*targets+changesSlack+targets {
		t.Fatalf("the list has %d changes for %d limits", n, targets)
	}
}
