// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"havenwinch.dev/havenwinch/tests/observe"
)

// Guards against request smuggling: the library that parses callers' heads accepts
// blanks after field names, bare line ends and folded lines, and does not read the body
// of a GET, which was then parsed as the next request. A caller could so hide a request
// in another one, or a field that only its target reads. Such a request is rejected,
// nothing of it reaches a target, and its connection is closed.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const (
		post   = "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n"
		hidden = "POST /plain/hidden HTTP/1.1\r\nHost: h\r\nX-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	)
	cases := map[string]struct {
		send string
		// ran lists the IDs of the requests that must reach the target, statuses those of
		// the answers.
		ran      string
		statuses []int
	}{
		"valid":                         {send: post + "Content-Length: 2\r\n\r\nab", ran: "a", statuses: []int{200}},
		"two pipelined requests":        {send: post + "Content-Length: 2\r\n\r\nab" + hidden, ran: "a hidden", statuses: []int{200, 200}},
		"chunked body":                  {send: post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, ran: "a hidden", statuses: []int{200, 200}},
		"no length":                     {send: post + "\r\n" + hidden, ran: "a hidden", statuses: []int{200, 200}},
		"GET with a body":               {send: strings.Replace(post, "POST", "GET", 1) + "Content-Length: 92\r\n\r\n" + hidden + strings.Repeat(" ", 92-len(hidden)), ran: "a", statuses: []int{200}},
		"HEAD with a body":              {send: strings.Replace(post, "POST", "HEAD", 1) + "Content-Length: 92\r\n\r\n" + hidden + strings.Repeat(" ", 92-len(hidden)), ran: "a", statuses: []int{200}},
		"GET with a chunked body":       {send: strings.Replace(post, "POST", "GET", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, ran: "a hidden", statuses: []int{200, 200}},
		"length and chunks":             {send: post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, statuses: []int{400}},
		"chunks and length":             {send: post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, statuses: []int{400}},
		"two lengths":                   {send: post + "Content-Length: 0\r\nContent-Length: 92\r\n\r\n" + hidden, statuses: []int{400}},
		"length with a sign":            {send: post + "Content-Length: +0\r\n\r\n" + hidden, statuses: []int{400}},
		"length with a blank inside":    {send: post + "Content-Length: 0 0\r\n\r\n" + hidden, statuses: []int{400}},
		"unknown transfer coding":       {send: post + "Transfer-Encoding: xchunked\r\n\r\n" + hidden, statuses: []int{400}},
		"blank after Content-Length":    {send: post + "Content-Length : 92\r\n\r\n" + hidden, statuses: []int{400}},
		"blank after Transfer-Encoding": {send: post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden, statuses: []int{400}},
		"field hidden by a blank":       {send: post + "X-Org : forged\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"field hidden by a bare CR":     {send: post + "X-A: b\rX-Org: forged\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"field hidden by a bare LF":     {send: post + "X-A: b\nX-Org: forged\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"field hidden by a folded line": {send: post + "X-A: b\r\n X-Org: forged\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"field hidden by a NUL":         {send: post + "X-A: b\x00X-Org: forged\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"field hidden in the path":      {send: strings.Replace(post, "/plain/x", "/plain/x\rX-Org:forged", 1) + "Content-Length: 0\r\n\r\n", statuses: []int{400}},
		"two Host fields":               {send: post + "Host: other\r\nContent-Length: 0\r\n\r\n", statuses: []int{400}},
		"no Host field":                 {send: strings.Replace(post, "Host: h\r\n", "", 1) + "Content-Length: 0\r\n\r\n", statuses: []int{400}},
		"empty line before the request": {send: "\r\n" + post + "Content-Length: 0\r\n\r\n", ran: "a", statuses: []int{200}},
		"chunk size with a sign":        {send: post + "Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n" + hidden, statuses: []int{400}},
		"trailer fields":                {send: post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Org: forged\r\n\r\n" + hidden, statuses: []int{400}},
		"closed within the body":        {send: post + "Content-Length: 92\r\n\r\nab", statuses: []int{400}},
		"closed within a chunk":         {send: post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", statuses: []int{400}},
		"unknown version":               {send: strings.Replace(post, "HTTP/1.1", "HTTP/3.0", 1) + "Content-Length: 0\r\n\r\n", statuses: []int{400}},
		"blank in the request target":   {send: strings.Replace(post, "/plain/x", "/plain/x y", 1) + "Content-Length: 0\r\n\r\n", statuses: []int{400}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var ran []string
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				ran = append(ran, r.Header.Get("X-Id"))
				mu.Unlock()
				if len(r.Header.Values("X-Org")) > 0 || strings.Contains(r.Header.Get("X-A"), "X-Org") {
					t.Errorf("the target received %v", r.Header)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				signed(w, r)
			})
			conn := f.dial(t)
			conn.send(t, c.send)
			if tcp, ok := conn.Conn.(interface{ CloseWrite() error }); ok && strings.HasPrefix(name, "closed within") {
				_ = tcp.CloseWrite()
			}
			o := observe.NewReader(conn.Conn)
			method, _, _ := strings.Cut(strings.TrimSpace(c.send), " ")
			for i, want := range c.statuses {
				a, err := o.Answer(method)
				if err != nil || a.Status != want {
					t.Fatalf("answer %d: status %d, %v; want %d", i, a.Status, err, want)
				}
				method = http.MethodPost
			}
			if c.statuses[len(c.statuses)-1] != http.StatusOK {
				if err := o.ExpectEOF(); err != nil {
					t.Fatal(err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if got := strings.Join(ran, " "); got != c.ran {
				t.Fatalf("the target ran %q, want %q", got, c.ran)
			}
		})
	}
}
