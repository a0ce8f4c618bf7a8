// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/structs"
)

// Faults of two targets, and the answer that the caller gets.
func TestTargetFaults(t *testing.T) {
	cases := map[string]struct {
		route  string
		first  []script
		second []script
		// status and body are the answer of a target that the caller gets; refused is the kind
		// of this system's own answer instead.
		status  int
		body    string
		refused structs.Kind
		run     structs.Run
		broken  bool
		// sends is the number of requests that reached targets.
		sends int
		spent uint64
	}{
		"answer":                  {route: "unsafe", first: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 1, spent: 100},
		"error answer":            {route: "unsafe", first: []script{respond(500, "no")}, status: 500, body: "no", sends: 1, spent: 100},
		"safe after a failure":    {route: "safe", first: []script{respond(500, "no")}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"safe after two failures": {route: "safe", first: []script{respond(500, "no")}, second: []script{respond(500, "nope")}, status: 500, body: "nope", sends: 2, spent: 100},
		// Callers got 502 though a target had answered: the next target was unreachable or gave
		// no answer, and only the last result counted.
		"safe, a failure and no answer":      {route: "safe", first: []script{respond(500, "no")}, second: []script{closeConn()}, status: 500, body: "no", sends: 2, spent: 150},
		"safe, a failure and a rejection":    {route: "safe", first: []script{respond(500, "no")}, second: []script{rejects()}, status: 500, body: "no", sends: 2, spent: 100},
		"rejected":                           {route: "unsafe", first: []script{rejects()}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"rejected by all":                    {route: "unsafe", first: []script{rejects()}, second: []script{rejects()}, refused: structs.KindNoTarget, run: structs.RunNo, sends: 2},
		"another target at the address":      {route: "unsafe", first: []script{rawResponse("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"unsafe without answer":              {route: "unsafe", first: []script{closeConn()}, second: []script{respond(200, "yes")}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"safe without answer":                {route: "safe", first: []script{closeConn()}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"truncated answer":                   {route: "safe", first: []script{rawResponse(head("ID", "Content-Length: 10\r\n\r\nabc"))}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"truncated answer of an unsafe call": {route: "unsafe", first: []script{rawResponse(head("ID", "Content-Length: 10\r\n\r\nabc"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},
		"no length, ends with connection":    {route: "unsafe", first: []script{rawResponse(head("ID", "\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"invalid answer":                     {route: "safe", first: []script{rawResponse("nonsense\r\n\r\n")}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"an answer that is not signed":       {route: "safe", first: []script{rawResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno")}, second: []script{respond(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"an encoded answer":                  {route: "unsafe", first: []script{rawResponse(head("ID", "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},
		"an answer to another call first":    {route: "unsafe", first: []script{rawResponse(head("other", "Content-Length: 5\r\n\r\nwrong") + head("ID", "Content-Length: 3\r\n\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"only an answer to another call":     {route: "unsafe", first: []script{rawResponse(head("other", "Content-Length: 5\r\n\r\nwrong"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"interim answers":                    {route: "unsafe", first: []script{rawResponse("HTTP/1.1 100 Continue\r\n\r\n" + head("ID", "Content-Length: 3\r\n\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"chunked":                            {route: "unsafe", first: []script{chunks(true, "ye", "s")}, status: 200, body: "yes", sends: 1, spent: 100},
		"chunked without end":                {route: "unsafe", first: []script{chunks(false, "ye", "s")}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},

		"stream":                                {route: "stream", first: []script{chunks(true, event(0), event(1)+event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 1, spent: 115},
		"stream split within events":            {route: "stream", first: []script{chunks(true, "id: 0\nda", "ta: e0\n", "\nid: 1\ndata: e1\n\n")}, status: 200, body: event(0) + event(1), sends: 1, spent: 110},
		"stream that breaks off":                {route: "stream", first: []script{chunks(false, event(0), "id: 1\nda")}, second: []script{chunks(true, event(1))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream without answer":                 {route: "stream", first: []script{closeConn()}, second: []script{chunks(true, event(0))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"stream resumed elsewhere":              {route: "resume", first: []script{chunks(false, event(0), event(1), "id: 2\nda")}, second: []script{chunks(true, event(2), event(3))}, status: 200, body: event(0) + event(1) + event(2) + event(3), sends: 2, spent: 150},
		"stream resumed with a repeat":          {route: "resume", first: []script{chunks(false, event(0), event(1))}, second: []script{chunks(true, event(1), event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 2, spent: 150},
		"stream with an event missing":          {route: "stream", first: []script{chunks(true, event(0), event(2))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream that ends within an event":      {route: "stream", first: []script{chunks(true, event(0), "id: 1\ndata:")}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"resumable stream that breaks twice":    {route: "resume", first: []script{chunks(false, event(0))}, second: []script{chunks(false, event(1))}, status: 200, body: event(0) + event(1), broken: true, sends: 2, spent: 150},
		"stream with an event that has no id":   {route: "stream", first: []script{chunks(true, event(0), "data: x\n\n", event(1))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream whose last event is corrupt":    {route: "resume", first: []script{chunks(true, event(0)+event(1), "id: 0\ndata: e2\n\n")}, second: []script{chunks(true, event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 2, spent: 115},
		"stream with an HTTP header in it":      {route: "resume", first: []script{chunks(true, event(0), "HTTP/1.1 200 OK\r\nX: y\r\n\r\n\n\n")}, second: []script{chunks(true, event(1))}, status: 200, body: event(0) + event(1), sends: 2, spent: 110},
		"stream refused by the target":          {route: "stream", first: []script{respond(400, "bad")}, status: 400, body: "bad", sends: 1, spent: 100},
		"stream without length, reset at start": {route: "resume", first: []script{rawResponse(head("ID", "\r\n") + "id: 0\nda")}, second: []script{chunks(true, event(0))}, status: 200, body: event(0), sends: 2, spent: 150},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// The first target is in this data centre, the second is not.
			one, two := newTarget(t, "one", c.first...), newTarget(t, "two", c.second...)
			leases := &fakeLeases{}
			f := newForwarder(t, leases, one, two)
			sink := &collector{}
			err := f.Serve(context.Background(), newCall(c.route), sink)
			sends := append(one.requests(), two.requests()...)
			if len(sends) != c.sends {
				t.Errorf("%d sends, want %d: %v", len(sends), c.sends, sends)
			}
			for _, s := range sends {
				if s.id != "id-1" || s.body != "question" || s.org != "o" || s.rank != "3" || s.target == "" {
					t.Errorf("a target received %+v", s)
				}
			}
			var refusal *Refusal
			switch {
			case c.refused != "":
				if !errors.As(err, &refusal) || refusal.Kind != c.refused || refusal.Run != c.run || sink.status != 0 {
					t.Errorf("got %v and status %d, want %s with run %s", err, sink.status, c.refused, c.run)
				}
				if c.run == structs.RunNo && refusal.RetryAfter == 0 {
					t.Error("refusal of a call that did not run has no RetryAfter")
				}
			case c.broken:
				if err == nil || errors.As(err, &refusal) || sink.ended || sink.body.String() != c.body {
					t.Errorf("got %v, ended %v, body %q; want a truncated answer with %q", err, sink.ended, sink.body.String(), c.body)
				}
			default:
				if err != nil || !sink.ended || sink.status != c.status {
					t.Errorf("got %v, status %d, ended %v", err, sink.status, sink.ended)
				}
				if diff := cmp.Diff(c.body, sink.body.String()); diff != "" {
					t.Error(diff)
				}
			}
			if len(leases.settled) != 1 || leases.settled[0] != c.spent {
				t.Errorf("settled %v, want %d", leases.settled, c.spent)
			}
		})
	}
}

// leavingSink is a caller that disconnects after some writes.
type leavingSink struct {
	collector
	after int
}

func (c *leavingSink) Write(p []byte) error {
	if c.writes >= c.after {
		return errors.New("the caller disconnected")
	}
	return c.collector.Write(p)
}

// Output that did not arrive is billed up to what the target can have generated: a few events
// when its connection was closed, the maximum cost of the call when it was silent.
func TestBillingOfBrokenStreams(t *testing.T) {
	const limit = 1000
	silent := make(chan struct{})
	defer close(silent)
	cases := map[string]struct {
		target script
		sink   Sink
		left   time.Duration
		spent  uint64
	}{
		"the target closed":         {target: chunks(false, event(0), event(1)), sink: &collector{}, spent: 100 + (2+missedTailEvents)*5},
		"closed without answer":     {target: closeConn(), sink: &collector{}, spent: 100 + limit},
		"reset without answer":      {target: resetConn(), sink: &collector{}, spent: 100 + limit},
		"the caller disconnected":   {target: chunks(true, event(0)+event(1)), sink: &leavingSink{}, spent: 100 + (2+missedTailEvents)*5},
		"silent until the deadline": {target: func(net.Conn, received) { <-silent }, sink: &collector{}, left: 50 * time.Millisecond, spent: 100 + limit},
		"whole":                     {target: chunks(true, event(0), event(1)), sink: &collector{}, spent: 100 + 2*5},
		"error answer":              {target: respond(500, "no"), sink: &collector{}, spent: 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leases := &fakeLeases{}
			f := newForwarder(t, leases, newTarget(t, "one", c.target))
			call := newCall("stream")
			call.MaxOutputTokens, call.MaxWait = limit, c.left
			_ = f.Serve(context.Background(), call, c.sink)
			if len(leases.settled) != 1 || leases.settled[0] != c.spent {
				t.Fatalf("settled %v, want %d", leases.settled, c.spent)
			}
		})
	}
}

// A stream is resumed with the id of its last complete event.
func TestResumeSendsLastEventID(t *testing.T) {
	one, two := newTarget(t, "one", chunks(false, event(0), event(1))), newTarget(t, "two", chunks(true, event(2)))
	f := newForwarder(t, &fakeLeases{}, one, two)
	if err := f.Serve(context.Background(), newCall("resume"), &collector{}); err != nil {
		t.Fatal(err)
	}
	if got := two.requests()[0].last; got != "1" {
		t.Fatalf("Last-Event-ID at the second target is %q", got)
	}
}

// An idle connection that the target has closed, or that has bytes to read, is not used for the
// next call.
func TestUnusableIdleConnections(t *testing.T) {
	cases := map[string]script{
		"closed by the target": func(c net.Conn, r received) {
			respond(200, "a")(c, r)
			_ = c.Close()
		},
		"holds a late answer": func(c net.Conn, r received) {
			respond(200, "a")(c, r)
			respond(200, "late")(c, received{id: "older"})
		},
		"announces that it closes": func(c net.Conn, r received) {
			_, _ = io.WriteString(c, head(r.id, "Connection: close\r\nContent-Length: 1\r\n\r\na"))
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			// The second call starts once the first script is done, so that its effect on the
			// connection has arrived.
			done := make(chan struct{})
			one := newTarget(t, "one", func(c net.Conn, r received) { defer close(done); first(c, r) }, respond(200, "b"))
			f := newForwarder(t, &fakeLeases{}, one)
			for _, want := range []string{"a", "b"} {
				if want == "b" {
					<-done
				}
				sink := &collector{}
				if err := f.Serve(context.Background(), newCall("unsafe"), sink); err != nil || sink.body.String() != want {
					t.Fatalf("got %q, %v; want %q", sink.body.String(), err, want)
				}
			}
		})
	}
}

// A target may answer before it has read a long body; its connection is not reused.
func TestEarlyAnswerToLongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 413 X\r\nX-Signed: s\r\nX-Id: id-1\r\nContent-Length: 2\r\n\r\nno")
		}
	}()
	f := newForwarder(t, &fakeLeases{}, &target{name: "one", l: l})
	for range 2 {
		call := newCall("unsafe")
		call.Body = make([]byte, 8<<20)
		sink := &collector{}
		if err := f.Serve(context.Background(), call, sink); err != nil || sink.status != 413 {
			t.Fatalf("got %v, status %d", err, sink.status)
		}
		<-accepted
	}
}

func TestRefusedBeforeSending(t *testing.T) {
	cases := map[string]struct {
		change  func(c *Call)
		outcome gateway.Outcome
		kind    structs.Kind
		later   bool
	}{
		"no route":                   {change: func(c *Call) { c.Path = "/none/" }, kind: structs.KindNotFound},
		"unknown key":                {change: func(c *Call) { c.Key = "none" }, kind: structs.KindWrongKey},
		"deadline past":              {change: func(c *Call) { c.MaxWait = time.Nanosecond }, kind: structs.KindDeadlinePast, later: true},
		"budget exhausted":           {change: func(*Call) {}, outcome: gateway.Exhausted, kind: structs.KindBudgetExhausted},
		"too few tokens in this box": {change: func(*Call) {}, outcome: gateway.Short, kind: structs.KindBudgetUnreachable, later: true},
		"no target at all":           {change: func(c *Call) {}, kind: structs.KindNoTarget, later: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []*target
			one := newTarget(t, "one")
			if c.kind != structs.KindNoTarget {
				targets = append(targets, one)
			}
			f := newForwarder(t, &fakeLeases{outcome: c.outcome}, targets...)
			call := newCall("unsafe")
			c.change(call)
			var refusal *Refusal
			err := f.Serve(context.Background(), call, &collector{})
			if !errors.As(err, &refusal) || refusal.Kind != c.kind || refusal.Run != structs.RunNo || (refusal.RetryAfter > 0) != c.later {
				t.Fatalf("got %v", err)
			}
			if len(one.requests()) != 0 {
				t.Fatal("the call was sent")
			}
		})
	}
}

// A box that has just started does not know how many boxes divide the fleet's retry reserve. It
// took all of it for itself: after 92 boxes had been killed at the same moment a service got
// 924 retries in 10 s, where 875 are allowed.
func TestNoRetryReserveWithUnknownFleetSize(t *testing.T) {
	misdirected := rawResponse("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	cases := map[string]struct {
		// boxes is the number of boxes at each call, 0 while control has not sent it.
		boxes []int
		sends int
	}{
		"unknown":                  {boxes: []int{0, 0}, sends: 2},
		"known from the start":     {boxes: []int{1, 1}, sends: 3},
		"many boxes":               {boxes: []int{92, 92}, sends: 2},
		"known at the second call": {boxes: []int{0, 1}, sends: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []*target
			for _, name := range []string{"one", "two", "three", "four"} {
				targets = append(targets, newTarget(t, name, misdirected))
			}
			b := &fakeLeases{}
			f := newForwarder(t, b, targets...)
			f.opts.RetryStock = 1.7
			// In the first window of the fleet's clock no retry has accrued.
			f.fleet = rate.NewFleet("box", nil, -f.opts.Clock.Boot())
			for _, boxes := range c.boxes {
				b.boxes, b.unknown = boxes, boxes == 0
				_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
			}
			sends := 0
			for _, tg := range targets {
				sends += len(tg.requests())
			}
			if sends != c.sends {
				t.Fatalf("%d sends for 2 calls, want %d", sends, c.sends)
			}
		})
	}
}
