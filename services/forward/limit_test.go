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

// names answers well and names a limit in some fields of the head.
func names(fields string) script {
	return func(c net.Conn, r received) {
		_, _ = io.WriteString(c, head(r.id, fields+"Content-Length: 1\r\n\r\nx"))
	}
}

func many(n int, s script) []script {
	list := make([]script, n)
	for i := range list {
		list[i] = s
	}
	return list
}

// newLimited returns the only box of a fleet, under a clock that stands still, with
// targets that answer many calls.
func newLimited(t *testing.T, b *book, targets ...*target) (*Forwarder, *clock.Fake) {
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
		if tg := f.targets.Choose(spread.Need{Service: "s", Exclude: map[string]bool{other: true}}, f.opts.Clock.Boot()).Target; tg != nil && tg.ID == name {
			return f.targets.LimitOf(tg, f.opts.Clock.Boot())
		}
	}
	return -1
}

// What of an answer says which limit holds, and what changes nothing; no call fails
// for it.
func TestWhatNamesALimit(t *testing.T) {
	tests := map[string]struct {
		answer script
		want   float64
		status int
	}{
		"a limit":                     {answer: names("X-Limit: 7\r\n"), want: 7, status: 200},
		"none":                        {answer: names(""), want: rate.None, status: 200},
		"text":                        {answer: names("X-Limit: busy\r\n"), want: rate.None, status: 200},
		"empty":                       {answer: names("X-Limit:\r\n"), want: rate.None, status: 200},
		"two fields":                  {answer: names("X-Limit: 7\r\nX-Limit: 8\r\n"), want: rate.None, status: 200},
		"on a failure of the target":  {answer: raw("HTTP/1.1 404 X\r\nX-Signed: s\r\nX-Id: ID\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: 7, status: 404},
		"when it is turned away":      {answer: raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: 7, status: 200},
		"by another target there":     {answer: raw("HTTP/1.1 421 X\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: -1, status: 200},
		"by what is not the target":   {answer: raw("HTTP/1.1 200 X\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\n"), want: rate.None, status: 200},
		"in the answer to other call": {answer: raw("HTTP/1.1 200 X\r\nX-Signed: s\r\nX-Id: other\r\nX-Limit: 7\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), want: rate.None, status: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", test.answer), newTarget(t, "two", whole(200, "y"))
			f, c := newLimited(t, &book{}, one, two)
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

// Calls go elsewhere once a target's limit is used up, none is refused, and the limit
// is used again in the next window.
func TestCallsGoElsewhereFirst(t *testing.T) {
	one, two := newTarget(t, "one", many(100, names("X-Limit: 4\r\n"))...), newTarget(t, "two", many(100, names(""))...)
	f, c := newLimited(t, &book{}, one, two)
	for round := range 3 {
		for range 12 {
			if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
				t.Fatal(err)
			}
		}
		// Four a second are two in each half second; the first call was sent before
		// the limit was known.
		if n := len(one.requests()); n != 2*(round+1) {
			t.Fatalf("after %d rounds the target with a limit had %d requests", round+1, n)
		}
		c.Advance(500 * time.Millisecond)
	}
}

// Where every target has a limit that is used up, a call is refused at once, before
// tokens are asked for, with a time to come back.
func TestOverLimitsIsRefusedAtOnce(t *testing.T) {
	asked := 0
	b := &book{asked: func() { asked++ }}
	f, c := newLimited(t, b, newTarget(t, "one", many(9, names("X-Limit: 0.5\r\n"))...))
	if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	before := asked
	err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{})
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Kind != structs.KindOverloaded || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
		t.Fatalf("%v", err)
	}
	if asked != before {
		t.Fatal("tokens were asked for")
	}
}

// Whatever a request to a target is for, it is one of those that the target takes:
// reports and orders of this system's own as well as calls. Only what goes on with a
// run that was stopped for it is sent anyway, and made up for.
func TestEveryRequestCounts(t *testing.T) {
	one := newTarget(t, "one", many(20, names("X-Limit: 4\r\n"))...)
	f, c := newLimited(t, &book{}, one)
	if err := f.Serve(context.Background(), limitedCall(c, "safe"), &collector{}); err != nil {
		t.Fatal(err)
	}
	tg := f.targets.Choose(spread.Need{Service: "s"}, c.Boot()).Target
	ask := func() error {
		_, _, err := f.order(context.Background(), tg, useReports, http.MethodGet, "/report", nil)
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if err := ask(); !errors.Is(err, errLimited) {
		t.Fatalf("a third request in the window: %v", err)
	}
	f.mu.Lock()
	goesOn := f.targets.Take(tg, true, c.Boot())
	f.mu.Unlock()
	if !goesOn {
		t.Fatal("a stopped run could not go on")
	}
	c.Advance(500 * time.Millisecond)
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	if err := ask(); !errors.Is(err, errLimited) {
		t.Fatalf("what was sent beyond the limit was not made up for: %v", err)
	}
	if n := len(one.requests()); n != 3 {
		t.Fatalf("%d requests arrived", n)
	}
}

// A run is not moved from or to a target with a limit: that is three requests more.
func TestNoMoveAtALimit(t *testing.T) {
	for _, limited := range []string{"one", "two", ""} {
		t.Run("limit at "+limited, func(t *testing.T) {
			f, c := newLimited(t, &book{}, newTarget(t, "one"), newTarget(t, "two"))
			f.opts.Orders = testOrders{}
			byID := map[string]*spread.Target{}
			for _, id := range []string{"one", "two"} {
				other := map[string]string{"one": "two", "two": "one"}[id]
				byID[id] = f.targets.Choose(spread.Need{Service: "s", Exclude: map[string]bool{other: true}}, c.Boot()).Target
			}
			if tg := byID[limited]; tg != nil {
				f.targets.Heard(tg, rate.Statement{Limit: 3, Received: c.Boot()})
			}
			fl := &flight{f: f, call: limitedCall(c, "stream"), service: f.opts.Store.Index().Service("s")}
			fl.service.Engine.Moves = true
			m := fl.mover(spread.Choice{Target: byID["one"], Home: byID["two"], Apart: true})
			if (m != nil) != (limited == "") {
				t.Fatalf("mover %v", m)
			}
		})
	}
}

// What one box hears the others learn through control, with its age; a list of
// another leader starts anew, and what this box heard itself is told again.
func TestLimitsAreToldAndLearned(t *testing.T) {
	one := newTarget(t, "one", many(9, names("X-Limit: 4\r\n"))...)
	f, c := newLimited(t, &book{}, one, newTarget(t, "two", many(9, names(""))...))
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
		{name: "first report, lost", want: "first 0 1"},
		{name: "a control box without a list", resp: &betweenv1.LeaseResponse{}, want: "first 0 1"},
		{name: "another leader's", resp: answer("a", 3), want: "first 0 0"},
		{name: "told again", resp: answer("a", 3), want: "a 3 1"},
		{name: "nothing new", resp: answer("a", 4, &betweenv1.TargetLimit{Target: "two", Service: "s", PerSecond: 2, SentAgo: 200, ReceivedAgo: 100}), want: "a 3 0"},
		{name: "another leader", resp: answer("b", 1), want: "a 4 0"},
		{name: "heard here, told again", resp: answer("b", 2), want: "b 1 1"},
		{name: "known", resp: answer("b", 2), want: "b 2 0"},
	}
	for _, s := range steps {
		if got := tell(s.resp); got != s.want {
			t.Fatalf("%s: told %s, want %s", s.name, got, s.want)
		}
	}
	if limit := f.limitOf(t, "two"); limit != 2 {
		t.Fatalf("limit %v was learned", limit)
	}
}
