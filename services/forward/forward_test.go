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

	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/structs"
)

// The fault table: what two targets do, and what the caller gets.
func TestFaultsOfTargets(t *testing.T) {
	cases := map[string]struct {
		route  string
		first  []script
		second []script
		// status and body are what the caller gets of a target; refused is the
		// kind of the system's own answer in its place.
		status  int
		body    string
		refused structs.Kind
		run     structs.Run
		broken  bool
		// sends is how many requests reached targets.
		sends int
		spent uint64
	}{
		"answer":                   {route: "unsafe", first: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 1, spent: 100},
		"the target's own failure": {route: "unsafe", first: []script{whole(500, "no")}, status: 500, body: "no", sends: 1, spent: 100},
		"safe after a failure":     {route: "safe", first: []script{whole(500, "no")}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"safe after two failures":  {route: "safe", first: []script{whole(500, "no")}, second: []script{whole(500, "nope")}, status: 500, body: "nope", sends: 2, spent: 100},
		// Callers got 502 though a target had answered: the next one could not be reached
		// or gave no answer, and only what came last counted.
		"safe, a failure and no answer":   {route: "safe", first: []script{whole(500, "no")}, second: []script{closed()}, status: 500, body: "no", sends: 2, spent: 150},
		"safe, a failure and turned away": {route: "safe", first: []script{whole(500, "no")}, second: []script{shed()}, status: 500, body: "no", sends: 2, spent: 100},
		"shed":                            {route: "unsafe", first: []script{shed()}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"shed by all":                     {route: "unsafe", first: []script{shed()}, second: []script{shed()}, refused: structs.KindNoTarget, run: structs.RunNo, sends: 2},
		"another target at the address":   {route: "unsafe", first: []script{raw("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"unsafe without answer":           {route: "unsafe", first: []script{closed()}, second: []script{whole(200, "yes")}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"safe without answer":             {route: "safe", first: []script{closed()}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"cut answer":                      {route: "safe", first: []script{raw(head("ID", "Content-Length: 10\r\n\r\nabc"))}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"cut answer of an unsafe call":    {route: "unsafe", first: []script{raw(head("ID", "Content-Length: 10\r\n\r\nabc"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},
		"no length, ends with connection": {route: "unsafe", first: []script{raw(head("ID", "\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"bytes that are no answer":        {route: "safe", first: []script{raw("nonsense\r\n\r\n")}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"an answer that is not signed":    {route: "safe", first: []script{raw("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno")}, second: []script{whole(200, "yes")}, status: 200, body: "yes", sends: 2, spent: 100},
		"an encoded answer":               {route: "unsafe", first: []script{raw(head("ID", "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},
		"an answer of another call first": {route: "unsafe", first: []script{raw(head("other", "Content-Length: 5\r\n\r\nwrong") + head("ID", "Content-Length: 3\r\n\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"only an answer of another call":  {route: "unsafe", first: []script{raw(head("other", "Content-Length: 5\r\n\r\nwrong"))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"interim answers":                 {route: "unsafe", first: []script{raw("HTTP/1.1 100 Continue\r\n\r\n" + head("ID", "Content-Length: 3\r\n\r\nyes"))}, status: 200, body: "yes", sends: 1, spent: 100},
		"chunked":                         {route: "unsafe", first: []script{chunks(true, "ye", "s")}, status: 200, body: "yes", sends: 1, spent: 100},
		"chunked without end":             {route: "unsafe", first: []script{chunks(false, "ye", "s")}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 100},

		"stream":                                {route: "stream", first: []script{chunks(true, event(0), event(1)+event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 1, spent: 115},
		"stream in torn pieces":                 {route: "stream", first: []script{chunks(true, "id: 0\nda", "ta: e0\n", "\nid: 1\ndata: e1\n\n")}, status: 200, body: event(0) + event(1), sends: 1, spent: 110},
		"stream that breaks off":                {route: "stream", first: []script{chunks(false, event(0), "id: 1\nda")}, second: []script{chunks(true, event(1))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream without answer":                 {route: "stream", first: []script{closed()}, second: []script{chunks(true, event(0))}, refused: structs.KindTargetFailed, run: structs.RunUnknown, sends: 1, spent: 150},
		"stream that goes on elsewhere":         {route: "resume", first: []script{chunks(false, event(0), event(1), "id: 2\nda")}, second: []script{chunks(true, event(2), event(3))}, status: 200, body: event(0) + event(1) + event(2) + event(3), sends: 2, spent: 150},
		"stream that goes on with a repeat":     {route: "resume", first: []script{chunks(false, event(0), event(1))}, second: []script{chunks(true, event(1), event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 2, spent: 150},
		"stream with an event missing":          {route: "stream", first: []script{chunks(true, event(0), event(2))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream that ends in an event":          {route: "stream", first: []script{chunks(true, event(0), "id: 1\ndata:")}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"resumable stream that breaks twice":    {route: "resume", first: []script{chunks(false, event(0))}, second: []script{chunks(false, event(1))}, status: 200, body: event(0) + event(1), broken: true, sends: 2, spent: 150},
		"stream with an event that has no id":   {route: "stream", first: []script{chunks(true, event(0), "data: x\n\n", event(1))}, status: 200, body: event(0), broken: true, sends: 1, spent: 150},
		"stream whose last event is spoilt":     {route: "resume", first: []script{chunks(true, event(0)+event(1), "id: 0\ndata: e2\n\n")}, second: []script{chunks(true, event(2))}, status: 200, body: event(0) + event(1) + event(2), sends: 2, spent: 115},
		"stream with a head in it":              {route: "resume", first: []script{chunks(true, event(0), "HTTP/1.1 200 OK\r\nX: y\r\n\r\n\n\n")}, second: []script{chunks(true, event(1))}, status: 200, body: event(0) + event(1), sends: 2, spent: 110},
		"stream refused by the target":          {route: "stream", first: []script{whole(400, "bad")}, status: 400, body: "bad", sends: 1, spent: 100},
		"stream without length, reset at start": {route: "resume", first: []script{raw(head("ID", "\r\n") + "id: 0\nda")}, second: []script{chunks(true, event(0))}, status: 200, body: event(0), sends: 2, spent: 150},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// The first target is near and the second far.
			one, two := newTarget(t, "one", c.first...), newTarget(t, "two", c.second...)
			leases := &book{}
			f := newForwarder(t, leases, one, two)
			sink := &collector{}
			err := f.Serve(context.Background(), newCall(c.route), sink)
			sends := append(one.requests(), two.requests()...)
			if len(sends) != c.sends {
				t.Errorf("%d sends, want %d: %v", len(sends), c.sends, sends)
			}
			for _, s := range sends {
				if s.id != "id-1" || s.body != "question" || s.org != "o" || s.rank != "3" || s.target == "" {
					t.Errorf("a target got %+v", s)
				}
			}
			var refusal *Refusal
			switch {
			case c.refused != "":
				if !errors.As(err, &refusal) || refusal.Kind != c.refused || refusal.Run != c.run || sink.status != 0 {
					t.Errorf("got %v and status %d, want %s with run %s", err, sink.status, c.refused, c.run)
				}
				if c.run == structs.RunNo && refusal.RetryAfter == 0 {
					t.Error("a call that did not run was refused without a time to come back")
				}
			case c.broken:
				if err == nil || errors.As(err, &refusal) || sink.ended || sink.body.String() != c.body {
					t.Errorf("got %v, ended %v, body %q; want a broken answer with %q", err, sink.ended, sink.body.String(), c.body)
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

// leavingSink is a caller that leaves after some writes.
type leavingSink struct {
	collector
	after int
}

func (c *leavingSink) Write(p []byte) error {
	if c.writes >= c.after {
		return errors.New("the caller left")
	}
	return c.collector.Write(p)
}

// What nobody saw is billed as far as the target can have made it: a few events
// when its connection was closed, all that the call may cost when it was silent.
func TestWhatIsBilledOfABrokenStream(t *testing.T) {
	const limit = 1000
	silent := make(chan struct{})
	defer close(silent)
	cases := map[string]struct {
		target script
		sink   Sink
		left   time.Duration
		spent  uint64
	}{
		"the target closed":    {target: chunks(false, event(0), event(1)), sink: &collector{}, spent: 100 + (2+unseenEvents)*5},
		"closed unanswered":    {target: closed(), sink: &collector{}, spent: 100 + limit},
		"reset unanswered":     {target: reset(), sink: &collector{}, spent: 100 + limit},
		"the caller left":      {target: chunks(true, event(0)+event(1)), sink: &leavingSink{}, spent: 100 + (2+unseenEvents)*5},
		"silent to the end":    {target: func(net.Conn, received) { <-silent }, sink: &collector{}, left: 50 * time.Millisecond, spent: 100 + limit},
		"whole":                {target: chunks(true, event(0), event(1)), sink: &collector{}, spent: 100 + 2*5},
		"a failure of its own": {target: whole(500, "no"), sink: &collector{}, spent: 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leases := &book{}
			f := newForwarder(t, leases, newTarget(t, "one", c.target))
			call := newCall("stream")
			call.Output, call.Patience = limit, c.left
			_ = f.Serve(context.Background(), call, c.sink)
			if len(leases.settled) != 1 || leases.settled[0] != c.spent {
				t.Fatalf("settled %v, want %d", leases.settled, c.spent)
			}
		})
	}
}

// A stream goes on with the id of its last whole event.
func TestResumeTellsTheLastEvent(t *testing.T) {
	one, two := newTarget(t, "one", chunks(false, event(0), event(1))), newTarget(t, "two", chunks(true, event(2)))
	f := newForwarder(t, &book{}, one, two)
	if err := f.Serve(context.Background(), newCall("resume"), &collector{}); err != nil {
		t.Fatal(err)
	}
	if got := two.requests()[0].last; got != "1" {
		t.Fatalf("the second target was told event %q", got)
	}
}

// An idle connection that the target has closed, or that holds bytes, is not
// used for the next call.
func TestIdleConnections(t *testing.T) {
	cases := map[string]script{
		"closed by the target": func(c net.Conn, r received) {
			whole(200, "a")(c, r)
			_ = c.Close()
		},
		"holds a late answer": func(c net.Conn, r received) {
			whole(200, "a")(c, r)
			whole(200, "late")(c, received{id: "older"})
		},
		"says that it closes": func(c net.Conn, r received) {
			_, _ = io.WriteString(c, head(r.id, "Connection: close\r\nContent-Length: 1\r\n\r\na"))
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			// The second call comes once the first script is over: what it did to
			// the connection has then arrived.
			over := make(chan struct{})
			one := newTarget(t, "one", func(c net.Conn, r received) { defer close(over); first(c, r) }, whole(200, "b"))
			f := newForwarder(t, &book{}, one)
			for _, want := range []string{"a", "b"} {
				if want == "b" {
					<-over
				}
				sink := &collector{}
				if err := f.Serve(context.Background(), newCall("unsafe"), sink); err != nil || sink.body.String() != want {
					t.Fatalf("got %q, %v; want %q", sink.body.String(), err, want)
				}
			}
		})
	}
}

// A target may answer before a long body is in; its connection is not used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
	f := newForwarder(t, &book{}, &target{name: "one", l: l})
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

func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	cases := map[string]struct {
		spoil   func(c *Call)
		outcome gateway.Outcome
		kind    structs.Kind
		later   bool
	}{
		"no route":         {spoil: func(c *Call) { c.Path = "/none/" }, kind: structs.KindNotFound},
		"unknown key":      {spoil: func(c *Call) { c.Key = "none" }, kind: structs.KindWrongKey},
		"deadline past":    {spoil: func(c *Call) { c.Patience = time.Nanosecond }, kind: structs.KindDeadlinePast, later: true},
		"budget exhausted": {spoil: func(*Call) {}, outcome: gateway.Exhausted, kind: structs.KindBudgetExhausted},
		"too few tokens":   {spoil: func(*Call) {}, outcome: gateway.Short, kind: structs.KindBudgetUnreachable, later: true},
		"no target at all": {spoil: func(c *Call) {}, kind: structs.KindNoTarget, later: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []*target
			one := newTarget(t, "one")
			if c.kind != structs.KindNoTarget {
				targets = append(targets, one)
			}
			f := newForwarder(t, &book{outcome: c.outcome}, targets...)
			call := newCall("unsafe")
			c.spoil(call)
			var refusal *Refusal
			err := f.Serve(context.Background(), call, &collector{})
			if !errors.As(err, &refusal) || refusal.Kind != c.kind || refusal.Run != structs.RunNo || (refusal.RetryAfter > 0) != c.later {
				t.Fatalf("got %v", err)
			}
			if len(one.requests()) != 0 {
				t.Fatal("the call was sent all the same")
			}
		})
	}
}

// A box that has just started does not know how many boxes divide the fleet's stock
// of further sends. It took the whole of it for itself: after 92 boxes had been killed
// at the same moment a service got 924 further sends in 10 s, where 875 are allowed.
func TestABoxThatDoesNotKnowTheOthersHasNoStock(t *testing.T) {
	misdirected := raw("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	cases := map[string]struct {
		// boxes is how many there are, zero while control has not said.
		boxes []int
		sends int
	}{
		"not known":                {boxes: []int{0, 0}, sends: 2},
		"known from the start":     {boxes: []int{1, 1}, sends: 3},
		"many":                     {boxes: []int{92, 92}, sends: 2},
		"known at the second call": {boxes: []int{0, 1}, sends: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []*target
			for _, name := range []string{"one", "two", "three", "four"} {
				targets = append(targets, newTarget(t, name, misdirected))
			}
			b := &book{}
			f := newForwarder(t, b, targets...)
			f.opts.RetryStock = 1.7
			for _, boxes := range c.boxes {
				b.boxes, b.unknown = boxes, boxes == 0
				_ = f.Serve(context.Background(), newCall("unsafe"), &collector{})
			}
			sends := 0
			for _, tg := range targets {
				sends += len(tg.requests())
			}
			if sends != c.sends {
				t.Fatalf("%d sends for two calls, want %d", sends, c.sends)
			}
		})
	}
}
