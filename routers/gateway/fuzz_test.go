// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/tests/observe"
)

// fuzzWait bounds one execution: without it, the server would wait for the rest of an
// unfinished request.
const fuzzWait = 5 * time.Millisecond

// forwardedRequest is a request as a target received it.
type forwardedRequest struct {
	id, method, target string
	body               []byte
	fields             http.Header
}

// FuzzRequests checks that, whatever bytes a caller sends, targets receive only whole
// requests that a strict parser finds in these bytes, in the same order and with the
// same bodies, and that the caller receives answers that all parsers interpret alike.
func FuzzRequests(f *testing.F) {
	const post = "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n"
	seeds := []string{
		request("/plain/x", "a"), request("/plain/x", "a") + request("/plain/x", "b"),
		post + "Content-Length: 2\r\n\r\nab", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + request("/plain/x", "b"),
		post + "Content-Length : 5\r\n\r\n" + request("/plain/x", "b"), post + "X-A: b\nX-Org: c\r\n\r\n",
		strings.Replace(post, "POST", "GET", 1) + "Content-Length: 2\r\n\r\nab", "\r\n" + post + "\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", post + "Connection: close, X-A\r\nX-A: b\r\n\r\n",
		strings.Replace(post, "POST", "HEAD", 1) + "\r\n" + request("/safe/x", "b"),
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	var mu sync.Mutex
	var got []forwardedRequest
	// The path contains the number of the execution, since the call of an execution that
	// timed out may still reach its target during a later one. If the path was altered,
	// the request must stem from this execution or one of the last that timed out.
	execution := 0
	var timedOut []*script
	m := newFixture(f, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		got = append(got, forwardedRequest{id: r.Header.Get("X-Id"), method: r.Method, target: r.RequestURI, body: body, fields: r.Header.Clone()})
		mu.Unlock()
		signed(w, r)
	})
	f.Fuzz(func(t *testing.T, sent []byte) {
		if len(sent) > 4096 {
			return
		}
		mu.Lock()
		got = nil
		execution++
		mark := fmt.Sprintf("/x%d.", execution)
		mu.Unlock()
		sent = bytes.ReplaceAll(sent, []byte("/x"), []byte(mark))
		answers, complete := sendRaw(m.server, sent)
		checkAnswers(t, sent, answers)
		mu.Lock()
		defer mu.Unlock()
		own := newScript(sent)
		for _, p := range got {
			if strings.Contains(p.target, "/x") && !strings.Contains(p.target, mark) {
				continue
			}
			scripts := []*script{own}
			if !strings.Contains(p.target, mark) {
				scripts = append(scripts, timedOut...)
			}
			checkForwarded(t, scripts, p, sent)
		}
		if !complete {
			timedOut = append([]*script{own}, timedOut[:min(len(timedOut), maxTimedOut-1)]...)
		}
	})
}

// sendRaw sends bytes over a new connection and returns what the server wrote. complete
// is false if fuzzWait passed before the server closed the connection.
func sendRaw(s *Server, sent []byte) (answers []byte, complete bool) {
	near, far := observe.Pipe()
	served, read := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		s.serveConn(far)
	}()
	_, _ = near.Write(sent)
	var got bytes.Buffer
	go func() {
		defer close(read)
		_, _ = io.Copy(&got, near)
	}()
	timer := time.AfterFunc(fuzzWait, func() { _ = near.Close() })
	<-served
	complete = timer.Stop()
	_ = near.Close()
	<-read
	return got.Bytes(), complete
}

// checkAnswers fails the test if a strict parser can't parse all answers.
func checkAnswers(t *testing.T, sent, got []byte) {
	t.Helper()
	want := bufio.NewReader(bytes.NewReader(sent))
	o := observe.NewReader(bytes.NewReader(got))
	for {
		method := http.MethodPost
		if r, err := readNext(want); err == nil {
			method = r.Method
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if _, err := o.Answer(method); observe.IsErrMalformed(err) {
			t.Fatalf("%v\nof %q, to %q", err, got, sent)
		} else if err != nil {
			return
		}
	}
}

// readNext reads a request and skips an empty line before it.
func readNext(r *bufio.Reader) (*http.Request, error) {
	if err := http1.SkipEmptyLine(r); err != nil {
		return nil, err
	}
	return http.ReadRequest(r)
}

// maxTimedOut is how many of the last executions that timed out may be the source of a
// request that arrives now.
const maxTimedOut = 16

// script lists the requests that an independent parser finds in a caller's bytes.
type script struct {
	requests []forwardedRequest
	// next is the index of the first request that no target has received yet.
	next int
}

func newScript(sent []byte) *script {
	s := &script{}
	r := bufio.NewReader(bytes.NewReader(sent))
	for {
		request, err := readNext(r)
		if err != nil {
			return s
		}
		body, _ := io.ReadAll(request.Body)
		s.requests = append(s.requests, forwardedRequest{id: request.Header.Get("X-Id"), method: request.Method, target: request.RequestURI, body: body})
	}
}

// consume reports whether the script contains the request at or after next, and moves
// next behind it.
func (s *script) consume(p forwardedRequest) bool {
	for i, r := range s.requests[s.next:] {
		if r.id == p.id && r.method == p.method && r.target == p.target && bytes.Equal(r.body, p.body) {
			s.next += i + 1
			return true
		}
	}
	return false
}

// checkForwarded fails the test if a request that a target received does not come next
// in one of the scripts.
func checkForwarded(t *testing.T, scripts []*script, p forwardedRequest, sent []byte) {
	t.Helper()
	if len(p.fields.Values("X-Id")) != 1 {
		t.Fatalf("a target received the fields %v; sent: %q", p.fields, sent)
	}
	if !slices.ContainsFunc(scripts, func(s *script) bool { return s.consume(p) }) {
		t.Fatalf("a target received %+v, which the caller has not sent: %q", p, sent)
	}
}
