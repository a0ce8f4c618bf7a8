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

// respondWithoutID answers without the id of a call, as engines answer requests of this system.
func respondWithoutID(status int, extra, body string) script {
	return func(c net.Conn, _ received) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	}
}

// lateAnswers answers the first request twice, the second time only once another request has
// arrived, which is after the box checked that the connection is empty. The other request is
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

// If an engine answered a copy request twice, the second time late, that answer could be taken
// for the one to the next call on the connection, because these requests carry no id. A late
// answer that says that nothing was run made the call run a second time elsewhere.
func TestLateAnswerToEngineRequest(t *testing.T) {
	noRoom := respondWithoutID(503, "X-Not-Run: 1\r\n", "")
	cases := map[string]script{
		"a rejection":       noRoom,
		"misdirected":       respondWithoutID(421, "", ""),
		"an answer":         respondWithoutID(200, "", "h1"),
		"an answer, signed": respondWithoutID(200, "X-Signed: s\r\n", "h1"),
		"a failure, signed": respondWithoutID(500, "X-Signed: s\r\n", "h1"),
		"a partial answer":  func(c net.Conn, _ received) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"an invalid answer": func(c net.Conn, _ received) { _, _ = io.WriteString(c, "nonsense\r\n\r\n") },
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", lateAnswers(noRoom, late, respond(200, "yes"))...)
			two := newTarget(t, "two", respond(200, "again"))
			f := newForwarder(t, &fakeLeases{}, one, two)
			if _, _, err := f.request(context.Background(), targetOf(f, one), useOnce, http.MethodPost, "/copy", []byte("x")); err != nil {
				t.Fatal(err)
			}
			c := &collector{}
			err := f.Serve(context.Background(), newCall("unsafe"), c)
			if err != nil || c.status != 200 || !c.ended {
				t.Fatalf("status %d, ended %v, %v", c.status, c.ended, err)
			}
			if n := len(one.calls()) + len(two.calls()); n != 1 {
				t.Fatalf("a call that is not repeatable was sent %d times", n)
			}
		})
	}
}

// calls returns the requests that carried an id.
func (tg *target) calls() []received {
	var list []received
	for _, r := range tg.requests() {
		if r.id != "" {
			list = append(list, r)
		}
	}
	return list
}

// A second answer to a copy request is not taken for the answer to the next one: a run was
// considered stopped although it continued.
func TestLateAnswerBeforeEngineRequest(t *testing.T) {
	one := newTarget(t, "one", lateAnswers(respondWithoutID(200, "", "h1"), respondWithoutID(200, "", "h1"), respondWithoutID(404, "", ""))...)
	f := newForwarder(t, &fakeLeases{}, one)
	var statuses []int
	for range 2 {
		status, _, err := f.request(context.Background(), targetOf(f, one), useOnce, http.MethodPost, "/copy", []byte("x"))
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, status)
	}
	if want := []int{200, 404}; !cmp.Equal(statuses, want) {
		t.Fatalf("got %v, want %v", statuses, want)
	}
}

// A duplicate answer to a call may come late, in place of the one that is due. Its id tells
// them apart; an answer without an id belongs to no call on a connection that was used before.
func TestLateAnswerToCall(t *testing.T) {
	older := func(s script) script {
		return func(c net.Conn, _ received) { s(c, received{id: "older"}) }
	}
	cases := map[string]struct {
		late    script
		status  int
		refused structs.Kind
	}{
		"answer repeated":                 {late: older(respond(200, "old")), status: 200},
		"failure repeated":                {late: older(respond(500, "old")), status: 200},
		"rejection repeated":              {late: older(rawResponse("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")), refused: structs.KindTargetFailed},
		"rejection without an id":         {late: rejects(), refused: structs.KindTargetFailed},
		"misdirected, without an id":      {late: respondWithoutID(421, "", ""), refused: structs.KindTargetFailed},
		"an answer without an id, signed": {late: respondWithoutID(200, "X-Signed: s\r\n", "old"), refused: structs.KindTargetFailed},
		"an answer without a length, signed": {late: func(c net.Conn, _ received) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: older\r\n\r\n")
		}, refused: structs.KindTargetFailed},
		"partial answer": {late: func(c net.Conn, _ received) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: older\r\nContent-Length: 50\r\n\r\nabc")
		}, refused: structs.KindTargetFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", lateAnswers(respond(200, "first"), c.late, respond(200, "yes"))...)
			two := newTarget(t, "two", respond(200, "again"))
			f := newForwarder(t, &fakeLeases{}, one, two)
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
				t.Fatalf("2 calls that are not repeatable were sent %d times", n)
			}
		})
	}
}

// After an extra answer the connection is not reused, because another one may follow.
func TestConnectionWithExtraAnswerIsClosed(t *testing.T) {
	text := func(id, body string) string {
		return head(id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}
	cases := map[string]script{
		"extra answer before":  func(c net.Conn, r received) { _, _ = io.WriteString(c, text("older", "old")+text(r.id, "yes")) },
		"extra answer after":   func(c net.Conn, r received) { _, _ = io.WriteString(c, text(r.id, "yes")+text("older", "old")) },
		"partial answer after": func(c net.Conn, r received) { _, _ = io.WriteString(c, text(r.id, "yes")+text("older", "old")[:20]) },
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", first, respond(200, "yes"))
			f := newForwarder(t, &fakeLeases{}, one)
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

// A target that signs an answer knows the id of its call: a signed answer without one belongs
// to another call, whose id was corrupted, also on a new connection. An answer that rejects a
// call before it was read has neither.
func TestAnswersWithoutID(t *testing.T) {
	cases := map[string]struct {
		first script
		sends int
		ok    bool
	}{
		"signed":          {first: respondWithoutID(200, "X-Signed: s\r\n", "wrong"), sends: 1},
		"failure, signed": {first: respondWithoutID(500, "X-Signed: s\r\n", "wrong"), sends: 1},
		"rejected":        {first: respondWithoutID(503, "X-Not-Run: 1\r\n", ""), sends: 2, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", c.first), newTarget(t, "two", respond(200, "yes"))
			got := &collector{}
			err := newForwarder(t, &fakeLeases{}, one, two).Serve(context.Background(), newCall("unsafe"), got)
			if sends := len(one.calls()) + len(two.calls()); (err == nil) != c.ok || sends != c.sends || c.ok && got.body.String() != "yes" {
				t.Fatalf("%d sends, status %d, body %q, %v", sends, got.status, got.body.String(), err)
			}
		})
	}
}

// A call that comes again to a target under the same id is not sent over the connection that
// carried it before, because a duplicate answer to the first could not be told from its own.
func TestSameCallUsesAnotherConnection(t *testing.T) {
	one := newTarget(t, "one", respond(200, "first"), respond(200, "second"))
	f := newForwarder(t, &fakeLeases{}, one)
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
