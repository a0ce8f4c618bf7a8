// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// maxParts is more than a target sends before it is left, and far less than up to a call's deadline.
const maxParts = 1000

// trickles writes a beginning, and then a part again and again until the box closes the connection.
// ID stands for the id of the request. The test fails if the box reads very many parts.
func trickles(t *testing.T, begin, part string) script {
	return func(c net.Conn, r received) {
		_, _ = io.WriteString(c, strings.ReplaceAll(begin, "ID", r.id))
		for range maxParts {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		t.Errorf("%d parts were read", maxParts)
	}
}

// writes writes parts one after the other, with a pause that gives each a segment of its own.
func writes(parts ...string) script {
	return func(c net.Conn, r received) {
		for _, p := range parts {
			_, _ = io.WriteString(c, strings.ReplaceAll(p, "ID", r.id))
			time.Sleep(time.Millisecond)
		}
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	// signedHead is a head without its last field.
	signedHead  = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endless has forms of bytes without end: what comes first, and what is repeated then.
var endless = map[string][2]string{
	"status line":            {"HTTP/1.1 200 O", "K"},
	"field":                  {signedHead + "X-A: ", "a"},
	"fields":                 {signedHead, "X-A: a\r\n"},
	"no head":                {"", "\x00"},
	"size":                   {chunkedHead, "0"},
	"extension":              {chunkedHead + "3;", "a"},
	"size after a chunk":     {chunkedHead + chunk("ab"), "0"},
	"extension at the end":   {chunkedHead + chunk("ab") + "0;", "a"},
	"after interim answers":  {"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 O", "K"},
	"answer to another call": {"HTTP/1.1 200 X\r\nX-Signed: s\r\nX-Id: other\r\nContent-Length: 900000\r\n\r\n", "a"},
}

// endlessStreams has forms in which a stream has begun; an event comes first if they are used after it.
var endlessStreams = map[string]string{
	"comments": chunk(":\n\n"), "a comment": chunk(": a"), "an event": chunk("id: 1"), "empty lines": chunk("\n\n"), "a size": "0",
}

// newHastyForwarder returns a forwarder that waits a tenth of a second for the rest of a head, of a size
// line and of an event.
func newHastyForwarder(t *testing.T, targets ...*target) *Forwarder {
	f := newForwarder(t, &fakeLeases{}, targets...)
	f.stallWait, f.partLimit = 100*time.Millisecond, 100*time.Millisecond
	return f
}

// Guards against calls that are held until their deadline by a target whose bytes are no answer.
func TestCallLeavesEndlessBytes(t *testing.T) {
	check := func(route, first string, bytes script) {
		t.Run(first+", "+route, func(t *testing.T) {
			t.Parallel()
			one, two := newTarget(t, "one", bytes), newTarget(t, "two", chunks(true, event(0), event(1)))
			f := newHastyForwarder(t, one, two)
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall(route), sink); err != nil || !sink.ended || !strings.HasSuffix(sink.body.String(), event(0)+event(1)) {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
		})
	}
	for name, e := range endless {
		for _, route := range []string{"safe", "resume"} {
			check(route, name, trickles(t, e[0], e[1]))
		}
	}
	for name, part := range endlessStreams {
		check("resume", name+" at the start", trickles(t, chunkedHead, part))
	}
}

// Guards against calls that are held by a target that turned them away in an answer without end.
func TestCallLeavesEndlessRejection(t *testing.T) {
	rejection := trickles(t, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 900000\r\n\r\n", "a")
	f := newHastyForwarder(t, newTarget(t, "one", rejection), newTarget(t, "two", respond(200, "ok")))
	sink := &collector{}
	if err := f.Serve(context.Background(), newCall("unsafe"), sink); err != nil || sink.body.String() != "ok" {
		t.Errorf("Serve returned %v: %q", err, sink.body.String())
	}
}

// Guards against streams that are held by a target that has stopped to send events.
func TestStreamLeavesEndlessBytes(t *testing.T) {
	for name, part := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, two := newTarget(t, "one", trickles(t, chunkedHead+chunk(event(0)), part)), newTarget(t, "two", chunks(true, event(1)))
			f := newHastyForwarder(t, one, two)
			log := &lockedBuffer{}
			f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall("resume"), sink); err != nil || !sink.ended || !strings.HasSuffix(sink.body.String(), event(1)) {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
			if !strings.Contains(log.String(), "odd answer of a target") {
				t.Errorf("no odd answer is logged: %s", log.String())
			}
		})
	}
}

// Guards against bytes without end that a call which can't go on elsewhere takes for an answer.
func TestEndlessBytesAreBounded(t *testing.T) {
	tests := map[string]struct{ route, begin, part string }{
		"head":                {"unsafe", signedHead + "X-A: ", strings.Repeat("a", 1<<10)},
		"size":                {"unsafe", chunkedHead, strings.Repeat("0", 100)},
		"extension":           {"stream", chunkedHead + chunk(event(0)) + "3;", strings.Repeat("a", 100)},
		"comments":            {"stream", chunkedHead + chunk(event(0)), chunk(strings.Repeat(":\n\n", 1<<10))},
		"a comment":           {"stream", chunkedHead + chunk(event(0)), chunk(":" + strings.Repeat("a", 8<<10))},
		"an event":            {"stream", chunkedHead + chunk(event(0)) + chunk("id: 1\ndata: "), chunk(strings.Repeat("a", 64<<10))},
		"the same event":      {"resume", chunkedHead, chunk(strings.Repeat(event(0), 1<<10))},
		"chunks with framing": {"unsafe", chunkedHead, "1;" + strings.Repeat("a", 200) + "\r\na\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", trickles(t, test.begin, test.part)))
			sink, call := &collector{}, newCall(test.route)
			if test.route == "resume" {
				call.LastEvent = 5
			}
			if err := f.Serve(context.Background(), call, sink); err == nil || sink.ended {
				t.Fatalf("Serve returned %v, ended %v", err, sink.ended)
			}
			if n := sink.body.Len(); n > maxCommentBytes {
				t.Errorf("%d bytes were passed on", n)
			}
		})
	}
}

// Guards against targets that are left although they are merely slow.
func TestSlowTargetsAreNotLeft(t *testing.T) {
	long := signedHead + "X-A: " + strings.Repeat("a", 3000) + "\r\n"
	var slowBody, slowEvents, comments, slowHead []string
	for i := range 60 {
		slowBody = append(slowBody, chunk("ab"))
		slowEvents = append(slowEvents, chunk(event(i)))
		comments = append(comments, "")
		if i%20 == 0 {
			comments = append(comments, chunk(":\n\n"))
		}
	}
	for at := 0; at < len(long); at += 100 {
		slowHead = append(slowHead, long[at:min(len(long), at+100)])
	}
	ends := "0\r\n\r\n"
	tests := map[string]struct {
		route string
		parts []string
		want  string
	}{
		"a long head":              {"safe", append(slowHead, "Content-Length: 2\r\n\r\nok"), "ok"},
		"interim answers":          {"safe", []string{"HTTP/1.1 103 X\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n", signedHead, "Content-Length: 2\r\n\r\nok"}, "ok"},
		"a body in many chunks":    {"safe", append(append([]string{chunkedHead}, slowBody...), ends), strings.Repeat("ab", 60)},
		"an extension":             {"safe", []string{chunkedHead, "2;a=b\r\nab\r\n", ends}, "ab"},
		"events":                   {"resume", append(append([]string{chunkedHead}, slowEvents...), ends), "id: 59\n"},
		"comments now and then":    {"resume", append(append([]string{chunkedHead, chunk(event(0))}, comments...), chunk(event(1)), ends), event(1)},
		"comments before an event": {"resume", append(append([]string{chunkedHead}, comments...), chunk(event(0)), ends), event(0)},
		"an event in parts":        {"resume", []string{chunkedHead, chunk("id: 0\n"), chunk("data: a\n"), chunk("\n"), ends}, "id: 0\ndata: a\n\n"},
		"a chunk in parts":         {"resume", []string{chunkedHead, "1", "1\r", "\nid: 0\ndata: abc\n", "\n\r", "\n0", "\r\n", "\r\n"}, "id: 0\ndata: abc\n\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, two := newTarget(t, "one", writes(test.parts...)), newTarget(t, "two", chunks(true, event(0), event(1)))
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.stallWait = time.Second
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall(test.route), sink); err != nil || !strings.Contains(sink.body.String(), test.want) {
				t.Fatalf("Serve returned %v: %q", err, sink.body.String())
			}
			if n := len(two.requests()); n > 0 {
				t.Errorf("the other target got %d calls", n)
			}
		})
	}
}

// Guards against a live target that is left since it keeps its connection alive by comment lines without an
// empty line after them.
func TestCommentLinesKeepAStreamAlive(t *testing.T) {
	slow := func(c net.Conn, r received) {
		_, _ = io.WriteString(c, strings.ReplaceAll(chunkedHead, "ID", r.id)+chunk(event(0)))
		for range 4 {
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(c, chunk(": keep-alive\n"))
		}
		_, _ = io.WriteString(c, chunk(event(1))+"0\r\n\r\n")
	}
	one, two := newTarget(t, "one", slow), newTarget(t, "two", chunks(true, event(1)))
	f := newHastyForwarder(t, one, two)
	log := &lockedBuffer{}
	f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
	if err := f.Serve(context.Background(), newCall("resume"), &collector{}); err != nil || strings.Contains(log.String(), "stream leaves") {
		t.Errorf("the live target was left: %v\n%s", err, log.String())
	}
}
