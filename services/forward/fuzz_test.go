// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/tests/observe"
)

// fuzzWait is how long callers wait, because a target may announce more bytes than it sends. A
// call is given up deadlineMargin earlier.
const fuzzWait = deadlineMargin + 4*time.Millisecond

// FuzzAnswers checks that, whatever bytes targets send, callers get answers that every parser
// reads in the same way, no answers to other calls, and streams of events in order. Each target
// answers each request with the same bytes, in which ID stands for the request's id.
func FuzzAnswers(f *testing.F) {
	const start = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\n"
	stream := start + "Transfer-Encoding: chunked\r\n\r\n"
	fails := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno", status)
	}
	seeds := []string{
		start + "Content-Length: 2\r\n\r\nok", start + "\r\nok",
		stream + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n", stream + chunk(event(1)) + chunk("data: lost\n\n"),
		stream + chunk(event(1)) + "1", stream + chunk(event(1)) + "HTTP/1.1 500 X\r\n\r\n", start + "\r\n" + event(1) + "id: 2\nda",
		fails(409), fails(500), fails(503), "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n" + start + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n\r\n", start + "X-A: b\rc\r\nContent-Length: 2\r\n\r\nok",
		strings.Repeat(start+"Content-Length: 2\r\n\r\nok", 2), "HTTP/1.1 413 " + start + "Content-Length: 2\r\n\r\nok",
		stream + chunk(event(1)) + "0\r\n\r\n" + fails(500), fails(413) + stream + chunk(event(1)),
	}
	for _, name := range slices.Sorted(maps.Keys(endless)) {
		seeds = append(seeds, endless[name][0]+strings.Repeat(endless[name][1], 300))
	}
	for _, name := range slices.Sorted(maps.Keys(endlessStreams)) {
		seeds = append(seeds, stream+chunk(event(1))+strings.Repeat(endlessStreams[name], 100))
	}
	for i, s := range seeds {
		for again := range 2 {
			f.Add([]byte(s), []byte(seeds[(i+7)%len(seeds)]), byte(2*i+again))
		}
	}
	routes := []string{"unsafe", "safe", "stream", "resume"}
	f.Fuzz(func(t *testing.T, first, then []byte, kind byte) {
		if len(first)+len(then) > 4096 {
			return
		}
		answers := make(chan []byte, 2)
		answers <- first
		answers <- then
		fw := newForwarder(t, &fakeLeases{}, inMemory(t, "one"), inMemory(t, "two"))
		dialled := func(context.Context, string, string) (net.Conn, error) {
			near, far := observe.Pipe()
			go answerRaw(far, answers, first)
			return near, nil
		}
		fw.pool.connect, fw.pool.hedgedConnect = dialled, dialled
		route := routes[int(kind)%len(routes)]
		for n := range 2 {
			call := newCall(route)
			call.ID, call.MaxWait = fmt.Sprint("call-", n), fuzzWait
			call.Fields = []Field{{Name: "X-Id", Value: call.ID}}
			if kind >= 0xf0 {
				call.Method = http.MethodHead
			}
			checkFuzzed(t, fw, call)
		}
		fw.pool.sweep(func(string) bool { return false })
	})
}

// answerRaw answers the requests of a connection with the next of answers, or else with last.
func answerRaw(c net.Conn, answers <-chan []byte, last []byte) {
	defer c.Close()
	r := bufio.NewReader(c)
	for range 3 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := last
		select {
		case answer = <-answers:
		default:
		}
		if _, err := c.Write(bytes.ReplaceAll(answer, []byte("ID"), []byte(req.Header.Get("X-Id")))); err != nil {
			return
		}
	}
}

func checkFuzzed(t *testing.T, f *Forwarder, call *Call) {
	t.Helper()
	a, err := serveTo(f, call)
	if observe.IsErrMalformed(err) {
		t.Fatalf("%s: %v", call.ID, err)
	}
	if named := a.Get("X-Id"); a.Status != 0 && named != "" && named != call.ID {
		t.Fatalf("%s: got the answer to %q", call.ID, named)
	}
	if a.Status == http.StatusOK && call.Method == http.MethodPost && !strings.HasPrefix(call.Path, "/unsafe") && !strings.HasPrefix(call.Path, "/safe") {
		checkOrder(t, a.Body)
	}
}

// checkOrder checks that the ids of the events in a body are consecutive.
func checkOrder(t *testing.T, body []byte) {
	t.Helper()
	last := int64(-1)
	for _, block := range bytes.SplitAfter(body, eventEnd) {
		for _, line := range bytes.Split(block, []byte("\n")) {
			text, found := bytes.CutPrefix(line, []byte("id:"))
			if !found {
				continue
			}
			var id int64
			if _, err := fmt.Sscan(string(text), &id); err != nil || last >= 0 && id != last+1 {
				t.Fatalf("event id %q follows %d in %q", text, last, body)
			}
			last = id
		}
	}
}
