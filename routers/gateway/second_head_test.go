// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/tests/observe"
)

// rawTarget starts a target that answers each request with the next of the given byte
// strings, in which ID is replaced with the request's ID, and then closes the
// connection unless keep is set. It returns the target's address.
func rawTarget(t *testing.T, keep bool, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	close(next)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, keep, next)
		}
	}()
	return l.Addr().String()
}

func answerRaw(c net.Conn, keep bool, next <-chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer, more := <-next
		if !more {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", req.Header.Get("X-Id")))
		if !keep {
			return
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event returns the nth event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

// failure returns an answer with an error status and a body of length bytes.
func failure(status, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: %d\r\n\r\n%s", status, length, strings.Repeat("x", length))
}

// Guards against a second head in the middle of a stream. A target failed after some
// events of a resumable stream had been sent, or its run was stopped to move it to
// another target, and the next target answered with an error status. Each path to the
// caller wrote a head without knowing what had already been written, so the caller got
// that error's bytes as part of the stream, which was then ended as complete. In the
// logs, a call that moved after event 7 and got a 500 from its next target had the
// outcome "done"; every call whose caller could not parse the answer had a second head.
func TestStreamIsCutWhenNextTargetFails(t *testing.T) {
	// A long failure is streamed through, a short one is buffered first.
	const short, long = 5, 300 << 10
	for _, status := range []int{201, 204, 302, 400, 404, 409, 413, 429, 500, 502, 503, 504} {
		for name, length := range map[string]int{"short": short, "long": long} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				f := newFixtureWithTargets(t, rawTarget(t, false, streamHead+chunk(event(1)+event(2))), rawTarget(t, false, failure(status, length)))
				c := f.dial(t)
				c.send(t, request("/resume/x", "call"))
				a, err := observe.NewReader(c.Conn).Answer(http.MethodPost)
				if !observe.IsErrTruncated(err) || a.Status != http.StatusOK || string(a.Body) != event(1)+event(2) {
					t.Fatalf("status %d, body %q, %v; want the two events and a stream that is cut off", a.Status, a.Body, err)
				}
			})
		}
	}
}
