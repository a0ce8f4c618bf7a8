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

// rawTarget is a target that answers each request with bytes of a test, in which ID
// stands for the request's id, and then closes the connection unless it is to be kept.
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

const headOfStream = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

func failure(status, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: %d\r\n\r\n%s", status, length, strings.Repeat("x", length))
}

// Callers with long prompts got bytes that are no answer in the middle of a stream,
// which was then ended as whole. A stream had handed on events; its target broke off,
// or its run was stopped to move; the next target answered with a failure of its own.
//
// Cause: each path to the caller wrote a head when it had an answer, and none of them
// knew what had been written. Evidence: in plays of stuttering and failing targets the
// log had a call whose run moved after event 7 and whose next target answered 500, with
// the outcome "done", and its caller could not read the answer; with a line for each
// second head, all calls that callers could not read had one.
func TestNothingFollowsABegunStreamButItsOwnEvents(t *testing.T) {
	// A long failure is passed on as it comes, a short one once it has been read.
	const short, long = 5, 300 << 10
	for _, status := range []int{201, 204, 302, 400, 404, 409, 413, 429, 500, 502, 503, 504} {
		for name, length := range map[string]int{"short": short, "long": long} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				f := newFixtureBefore(t, rawTarget(t, false, headOfStream+chunk(event(1)+event(2))), rawTarget(t, false, failure(status, length)))
				c := f.dial(t)
				c.send(t, request("/resume/x", "call"))
				a, err := observe.NewReader(c.Conn).Answer(http.MethodPost)
				if !observe.IsErrCut(err) || a.Status != http.StatusOK || string(a.Body) != event(1)+event(2) {
					t.Fatalf("status %d, body %q, %v; want the two events and a stream that breaks off", a.Status, a.Body, err)
				}
			})
		}
	}
}
