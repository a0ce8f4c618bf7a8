// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/structs"
)

// unnamed answers without the id of a call, as engines answer orders.
func unnamed(status int, extra, body string) script {
	return func(c net.Conn, _ received) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	}
}

// lateAnswers answers the first request twice, the second time only once another request
// has come: after the box has looked whether the connection is quiet. The other request is
// answered after that.
func lateAnswers(first, late, then script) []script {
	var over net.Conn
	return []script{func(c net.Conn, r received) {
		over = c
		first(c, r)
	}, func(c net.Conn, r received) {
		late(over, r)
		then(c, r)
	}}
}

// An engine that answers an order twice, the second time late, could have that answer taken
// for the one to a caller's call that came next over the connection: orders carry no id.
// One that says that nothing was run had the call run a second time elsewhere.
func TestLateAnswersToOrders(t *testing.T) {
	noRoom := unnamed(503, "X-Not-Run: 1\r\n", "")
	cases := map[string]script{
		"a refusal":           noRoom,
		"another identity":    unnamed(421, "", ""),
		"an answer":           unnamed(200, "", "h1"),
		"an answer, signed":   unnamed(200, "X-Signed: s\r\n", "h1"),
		"a failure, signed":   unnamed(500, "X-Signed: s\r\n", "h1"),
		"half of an answer":   func(c net.Conn, _ received) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"bytes that are none": func(c net.Conn, _ received) { _, _ = io.WriteString(c, "nonsense\r\n\r\n") },
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", lateAnswers(noRoom, late, whole(200, "yes"))...)
			two := newTarget(t, "two", whole(200, "again"))
			f := newForwarder(t, &book{}, one, two)
			if _, _, err := f.order(context.Background(), targetOf(f, one), useOrder, http.MethodPost, "/copy", []byte("x")); err != nil {
				t.Fatal(err)
			}
			c := &collector{}
			err := f.Serve(context.Background(), newCall("unsafe"), c)
			if err != nil || c.status != 200 || !c.ended {
				t.Fatalf("status %d, ended %v, %v", c.status, c.ended, err)
			}
			if n := len(one.calls()) + len(two.calls()); n != 1 {
				t.Fatalf("a call that may not be repeated was sent %d times", n)
			}
		})
	}
}

// calls are the requests that carried an id.
func (tg *target) calls() []received {
	var list []received
	for _, r := range tg.requests() {
		if r.id != "" {
			list = append(list, r)
		}
	}
	return list
}

// A second answer to an order is not taken for the one to the next order: a run was believed
// to be stopped that went on.
func TestLateAnswersToOrdersBeforeOrders(t *testing.T) {
	one := newTarget(t, "one", lateAnswers(unnamed(200, "", "h1"), unnamed(200, "", "h1"), unnamed(404, "", ""))...)
	f := newForwarder(t, &book{}, one)
	var statuses []int
	for range 2 {
		status, _, err := f.order(context.Background(), targetOf(f, one), useOrder, http.MethodPost, "/copy", []byte("x"))
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, status)
	}
	if want := []int{200, 404}; !cmp.Equal(statuses, want) {
		t.Fatalf("got %v, want %v", statuses, want)
	}
}

// An answer in excess to a call may come late, in the place of the one that is due. Its id
// tells them apart; one without an id is nobody's on a connection that carried something
// before.
func TestLateAnswersToCalls(t *testing.T) {
	older := func(s script) script {
		return func(c net.Conn, _ received) { s(c, received{id: "older"}) }
	}
	cases := map[string]struct {
		late    script
		status  int
		refused structs.Kind
	}{
		"its answer again":                {late: older(whole(200, "old")), status: 200},
		"its failure again":               {late: older(whole(500, "old")), status: 200},
		"its refusal again":               {late: older(raw("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")), refused: structs.KindTargetFailed},
		"a refusal without an id":         {late: shed(), refused: structs.KindTargetFailed},
		"another identity without an id":  {late: unnamed(421, "", ""), refused: structs.KindTargetFailed},
		"an answer without an id, signed": {late: unnamed(200, "X-Signed: s\r\n", "old"), refused: structs.KindTargetFailed},
		"an answer without a length, signed": {late: func(c net.Conn, _ received) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: older\r\n\r\n")
		}, refused: structs.KindTargetFailed},
		"half of it": {late: func(c net.Conn, _ received) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: older\r\nContent-Length: 50\r\n\r\nabc")
		}, refused: structs.KindTargetFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", lateAnswers(whole(200, "first"), c.late, whole(200, "yes"))...)
			two := newTarget(t, "two", whole(200, "again"))
			f := newForwarder(t, &book{}, one, two)
			first := newCall("unsafe")
			first.ID, first.Fields = "older", []Field{{Name: "X-Id", Value: "older"}}
			if err := f.Serve(context.Background(), first, &collector{}); err != nil {
				t.Fatal(err)
			}
			got := &collector{}
			err := f.Serve(context.Background(), newCall("unsafe"), got)
			var refusal *Refusal
			if c.refused != "" {
				if !errors.As(err, &refusal) || refusal.Kind != c.refused || refusal.Run != structs.RunUnknown {
					t.Fatalf("got %v, status %d; want %s", err, got.status, c.refused)
				}
			} else if err != nil || got.status != c.status || got.body.String() != "yes" {
				t.Fatalf("got %v, status %d, body %q", err, got.status, got.body.String())
			}
			if n := len(one.calls()) + len(two.calls()); n != 2 {
				t.Fatalf("two calls that may not be repeated were sent %d times", n)
			}
		})
	}
}

// After an answer in excess the connection is not used again: another one may follow.
func TestAConnectionWithAnswersInExcessIsNotKept(t *testing.T) {
	text := func(id, body string) string {
		return head(id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}
	cases := map[string]script{
		"one before it": func(c net.Conn, r received) { _, _ = io.WriteString(c, text("older", "old")+text(r.id, "yes")) },
		"one with it":   func(c net.Conn, r received) { _, _ = io.WriteString(c, text(r.id, "yes")+text("older", "old")) },
		"half with it":  func(c net.Conn, r received) { _, _ = io.WriteString(c, text(r.id, "yes")+text("older", "old")[:20]) },
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", first, whole(200, "yes"))
			f := newForwarder(t, &book{}, one)
			for _, id := range []string{"first", "second"} {
				call, got := newCall("unsafe"), &collector{}
				call.ID, call.Fields = id, []Field{{Name: "X-Id", Value: id}}
				if err := f.Serve(context.Background(), call, got); err != nil || got.body.String() != "yes" {
					t.Fatalf("got %v, body %q", err, got.body.String())
				}
			}
			if n := len(one.connections()); n != 2 {
				t.Fatalf("%d connections, want 2", n)
			}
		})
	}
}

// Who signs an answer knows the id of its call: one without it is another call's, whose id
// was spoilt, also on a connection that has carried nothing before. One that was turned away
// before it was read has neither.
func TestAnswersWithoutAnID(t *testing.T) {
	cases := map[string]struct {
		first script
		sends int
		ok    bool
	}{
		"signed":           {first: unnamed(200, "X-Signed: s\r\n", "wrong"), sends: 1},
		"a failure signed": {first: unnamed(500, "X-Signed: s\r\n", "wrong"), sends: 1},
		"turned away":      {first: unnamed(503, "X-Not-Run: 1\r\n", ""), sends: 2, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", c.first), newTarget(t, "two", whole(200, "yes"))
			got := &collector{}
			err := newForwarder(t, &book{}, one, two).Serve(context.Background(), newCall("unsafe"), got)
			if sends := len(one.calls()) + len(two.calls()); (err == nil) != c.ok || sends != c.sends || c.ok && got.body.String() != "yes" {
				t.Fatalf("%d sends, status %d, body %q, %v", sends, got.status, got.body.String(), err)
			}
		})
	}
}

// A call that comes again to a target, by the same id, does not go over the connection that
// carried it before: an answer in excess to the first could not be told from its own.
func TestTheSameCallGoesOverAnotherConnection(t *testing.T) {
	one := newTarget(t, "one", whole(200, "first"), whole(200, "second"))
	f := newForwarder(t, &book{}, one)
	for _, want := range []string{"first", "second"} {
		got := &collector{}
		if err := f.Serve(context.Background(), newCall("unsafe"), got); err != nil || got.body.String() != want {
			t.Fatalf("got %v, body %q", err, got.body.String())
		}
	}
	if n := len(one.connections()); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}
