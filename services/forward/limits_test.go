// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/structs"
)

// statesLimit answers with status 200 and the given header fields.
func statesLimit(fields string) script {
	return func(c net.Conn, r received) {
		_, _ = io.WriteString(c, head(r.id, fields+"Content-Length: 1\r\n\r\nx"))
	}
}

func repeated(n int, s script) []script {
	list := make([]script, n)
	for i := range list {
		list[i] = s
	}
	return list
}

// newLimited returns a forwarder on the only box of a fleet, with a fake clock that stands
// still.
func newLimited(t *testing.T, b *fakeLeases, targets ...*target) (*Forwarder, *clock.Fake) {
	t.Helper()
	f := newForwarder(t, b, targets...)
	c := clock.NewFake()
	f.opts.Clock, f.opts.Box = c, "a"
	f.opts.Dialect.Limit = "X-Limit"
	f.opts.Dialect.ReadLimit = func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	f.TakeLimits(nil, &betweenv1.LeaseResponse{LimitsList: "first", FleetTime: c.Wall().UnixMilli()}, lease.NewDirectory([]lease.Box{{Name: "a", Address: "a:1", DataCentre: "dc"}}))
	return f, c
}

func limitedCall(c clock.Clock, route string) *Call {
	call := newCall(route)
	call.Arrived = c.Boot()
	return call
}

func (f *Forwarder) limitOf(t *testing.T, name string) float64 {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range []string{"one", "two"} {
		if tg := f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{other: true}}, f.opts.Clock.Boot()).Target; tg != nil && tg.ID == name {
			return f.targets.CurrentLimit(tg, f.opts.Clock.Boot())
		}
	}
	return -1
}

// Which answers set a rate limit and which change nothing; no call fails because of one.
func TestReadLimit(t *testing.T) {
	tests := map[string]struct {
		answer script
		want   float64
		status int
	}{
		"a valid limit":                    {answer: statesLimit("X-Limit: 7\r\n"), want: 7, status: 200},
		"none":                             {answer: statesLimit(""), want: rate.Unlimited, status: 200},
		"text":                             {answer: statesLimit("X-Limit: busy\r\n"), want: rate.Unlimited, status: 200},
		"empty":                            {answer: statesLimit("X-Limit:\r\n"), want: rate.Unlimited, status: 200},
		"two fields":                       {answer: statesLimit("X-Limit: 7\r\nX-Limit: 8\r\n"), want: rate.Unlimited, status: 200},
		"in an error answer":               {answer: rawResponse("HTTP/1.1 404 X\r\nX-Signed: s\r\nX-Id: ID\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: 7, status: 404},
		"in a rejection":                   {answer: rawResponse("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: 7, status: 200},
		"by another target at the address": {answer: rawResponse("HTTP/1.1 421 X\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: -1, status: 200},
		"in an unsigned answer":            {answer: rawResponse("HTTP/1.1 200 X\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: rate.Unlimited, status: 200},
		"in an answer to another call":     {answer: rawResponse("HTTP/1.1 200 X\r\nX-Signed: s\r\nX-Id: other\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), want: rate.Unlimited, status: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", test.answer), newTarget(t, "two", respond(200, "y"))
			f, c := newLimited(t, &fakeLeases{}, one, two)
			got := &collector{}
			if err := f.Serve(context.Background(), limitedCall(c, "safe"), got); err != nil || got.status != test.status {
				t.Fatalf("status %d, %v", got.status, err)
			}
			if limit := f.limitOf(t, "one"); limit != test.want {
				t.Fatalf("limit %v, want %v", limit, test.want)
			}
		})
	}
}

// Once a target's rate limit is used up calls go to other targets, none is refused, and the
// limit is used again in the next window.
func TestLimitedTargetIsBypassed(t *testing.T) {
	one, two := newTarget(t, "one", repeated(100, statesLimit("X-Limit: 4\r\n"))...), newTarget(t, "two", repeated(100, statesLimit(""))...)
	f, c := newLimited(t, &fakeLeases{}, one, two)
	for round := range 3 {
		for range 12 {
			if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
				t.Fatal(err)
			}
		}
		// Four a second are two per window of half a second; the first call was sent before the
		// limit was known.
		if n := len(one.requests()); n != 2*(round+1) {
			t.Fatalf("after %d rounds the limited target had %d requests", round+1, n)
		}
		c.Advance(500 * time.Millisecond)
	}
}

// Where all targets are at their rate limit, a call is refused immediately, with a Retry-After
// time and before tokens are reserved.
func TestAllTargetsLimitedRefusesImmediately(t *testing.T) {
	reservations := 0
	b := &fakeLeases{onReserve: func() { reservations++ }}
	f, c := newLimited(t, b, newTarget(t, "one", repeated(9, statesLimit("X-Limit: 0.5\r\n"))...))
	if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	before := reservations
	err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{})
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Kind != structs.KindOverloaded || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
		t.Fatalf("%v", err)
	}
	if reservations != before {
		t.Fatal("tokens were reserved")
	}
}

// All requests to a target count against its rate limit, reports and other requests of this
// system as well as calls. Only the resumption of a run that was stopped for it is sent
// regardless, and is deducted later.
func TestAllRequestsCountAgainstLimit(t *testing.T) {
	one := newTarget(t, "one", repeated(20, statesLimit("X-Limit: 4\r\n"))...)
	f, c := newLimited(t, &fakeLeases{}, one)
	if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	tg := f.targets.Choose(spread.Criteria{Service: "s"}, c.Boot()).Target
	ask := func() error {
		_, _, err := f.request(context.Background(), tg, useReports, http.MethodGet, "/report", nil)
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if err := ask(); !errors.Is(err, errLimited) {
		t.Fatalf("third request in the window: %v", err)
	}
	f.mu.Lock()
	resumed := f.targets.AcquireSend(tg, true, c.Boot())
	f.mu.Unlock()
	if !resumed {
		t.Fatal("a stopped run could not be resumed")
	}
	c.Advance(500 * time.Millisecond)
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if err := ask(); !errors.Is(err, errLimited) {
		t.Fatalf("the request beyond the limit was not deducted: %v", err)
	}
	if n := len(one.requests()); n != 3 {
		t.Fatalf("%d requests arrived", n)
	}
}

// A run is not moved from or to a rate-limited target, because that costs three more requests.
func TestNoMoveWithLimitedTarget(t *testing.T) {
	for _, limited := range []string{"one", "two", ""} {
		t.Run("limit at "+limited, func(t *testing.T) {
			f, c := newLimited(t, &fakeLeases{}, newTarget(t, "one"), newTarget(t, "two"))
			f.opts.EngineAPI = testEngineAPI{}
			byID := map[string]*spread.Target{}
			for _, id := range []string{"one", "two"} {
				other := map[string]string{"one": "two", "two": "one"}[id]
				byID[id] = f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{other: true}}, c.Boot()).Target
			}
			if tg := byID[limited]; tg != nil {
				f.targets.RecordStatement(tg, rate.Statement{Limit: 3, Received: c.Boot()})
			}
			fl := &inflightCall{f: f, call: limitedCall(c, "stream"), service: f.opts.Store.Index().Service("s")}
			fl.service.Engine.Moves = true
			m := fl.mover(spread.Choice{Target: byID["one"], AffinityTarget: byID["two"], IsDedicated: true})
			if (m != nil) != (limited == "") {
				t.Fatalf("mover %v", m)
			}
		})
	}
}

// The limits that one box receives reach the others through control, with their age. When
// another leader starts a new list, a box reports again what it received itself.
func TestLimitExchangeWithControl(t *testing.T) {
	one := newTarget(t, "one", repeated(9, statesLimit("X-Limit: 4\r\n"))...)
	f, c := newLimited(t, &fakeLeases{}, one, newTarget(t, "two", repeated(9, statesLimit(""))...))
	if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	tell := func(resp *betweenv1.LeaseResponse) string {
		r := &betweenv1.LeaseRequest{}
		f.TellLimits(r)
		f.TakeLimits(r, resp, nil)
		return fmt.Sprintf("%s %d %d", r.GetLimitsList(), r.GetLimitsRevision(), len(r.GetLimits()))
	}
	answer := func(list string, revision uint64, limits ...*betweenv1.TargetLimit) *betweenv1.LeaseResponse {
		return &betweenv1.LeaseResponse{LimitsList: list, LimitsRevision: revision, Limits: limits, FleetTime: c.Wall().UnixMilli()}
	}
	steps := []struct {
		name string
		resp *betweenv1.LeaseResponse
		want string
	}{
		{name: "first report fails", want: "first 0 1"},
		{name: "control box without a list", resp: &betweenv1.LeaseResponse{}, want: "first 0 1"},
		{name: "list of another leader", resp: answer("a", 3), want: "first 0 0"},
		{name: "reported again", resp: answer("a", 3), want: "a 3 1"},
		{name: "nothing new to report", resp: answer("a", 4, &betweenv1.TargetLimit{Target: "two", Service: "s", PerSecond: 2, SentAgo: 200, ReceivedAgo: 100}), want: "a 3 0"},
		{name: "a new list", resp: answer("b", 1), want: "a 4 0"},
		{name: "own limit reported again", resp: answer("b", 2), want: "b 1 1"},
		{name: "up to date", resp: answer("b", 2), want: "b 2 0"},
	}
	for _, s := range steps {
		if got := tell(s.resp); got != s.want {
			t.Fatalf("%s: reported %s, want %s", s.name, got, s.want)
		}
	}
	if limit := f.limitOf(t, "two"); limit != 2 {
		t.Fatalf("learned limit %v, want 2", limit)
	}
}
