// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/tests/observe"
)

// Guards against answers that parsers interpret in different ways: the library that
// parses targets' heads accepts bare line ends, folded lines, blanks in field names and
// a length beside a transfer coding, and what it had parsed was passed on to callers. A
// 204 to a streaming call was followed by an empty chunk, which can't be the beginning
// of the next answer. Each such answer must be rejected, or rewritten unambiguously.
func TestAmbiguousAnswersOfTargets(t *testing.T) {
	const (
		start  = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\n"
		sized  = "Content-Length: 2\r\n\r\nok"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	rejected := http.StatusBadGateway
	cases := map[string]struct {
		path   string
		answer string
		status int
		body   string
		method string
	}{
		"valid":                           {answer: start + sized, status: 200, body: "ok"},
		"chunked body":                    {answer: start + chunks + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", status: 200, body: "ok"},
		"no length":                       {answer: start + "\r\nok", status: 200, body: "ok"},
		"other reason phrase":             {answer: strings.Replace(start, "OK", "all is well", 1) + sized, status: 200, body: "ok"},
		"no reason phrase":                {answer: strings.Replace(start, " OK", "", 1) + sized, status: 200, body: "ok"},
		"HTTP/1.0":                        {answer: strings.Replace(start, "HTTP/1.1", "HTTP/1.0", 1) + sized, status: 200, body: "ok"},
		"transfer coding in capitals":     {answer: start + "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		"blanks around a value":           {answer: start + "X-A:\t b \r\n" + sized, status: 200, body: "ok"},
		"unknown status":                  {answer: strings.Replace(start, "200 OK", "299 X", 1) + sized, status: 299, body: "ok"},
		"204":                             {answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n\r\n", status: 204},
		"204 with a length":               {answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n" + sized, status: 204},
		"204 to a stream":                 {path: "/stream/x", answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n\r\n", status: 204},
		"chunked 204 to a stream":         {path: "/stream/x", answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n" + chunks + "0\r\n\r\n", status: 204},
		"304":                             {answer: "HTTP/1.1 304 X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 7\r\n\r\n", status: 304},
		"HEAD":                            {method: http.MethodHead, answer: start + "Content-Length: 7\r\n\r\n", status: 200},
		"HEAD without a length":           {method: http.MethodHead, answer: start + "\r\n", status: 200},
		"HEAD with chunked coding":        {method: http.MethodHead, answer: start + chunks, status: 200},
		"field named by Connection":       {answer: start + "Connection: X-A\r\nX-A: b\r\n" + sized, status: 200, body: "ok"},
		"interim answers":                 {answer: strings.Repeat("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", 3) + start + sized, status: 200, body: "ok"},
		"switching protocols":             {answer: "HTTP/1.1 101 X\r\n\r\n" + start + sized, status: rejected},
		"endless interim answers":         {answer: strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 100) + start + sized, status: rejected},
		"bare CR":                         {answer: start + "X-A: b\rX-B: c\r\n" + sized, status: rejected},
		"bare LF":                         {answer: start + "X-A: b\nX-B: c\r\n" + sized, status: rejected},
		"only bare LF":                    {answer: strings.ReplaceAll(start+"Content-Length: 2\r\n\r\n", "\r", "") + "ok", status: rejected},
		"NUL":                             {answer: start + "X-A: b\x00\r\n" + sized, status: rejected},
		"folded line":                     {answer: start + "X-A: b\r\n c\r\n" + sized, status: rejected},
		"blank before the colon":          {answer: start + "X-A : b\r\n" + sized, status: rejected},
		"blank in a field name":           {answer: start + "X A: b\r\n" + sized, status: rejected},
		"empty field name":                {answer: start + ": b\r\n" + sized, status: rejected},
		"no colon":                        {answer: start + "nothing\r\n" + sized, status: rejected},
		"two lengths":                     {answer: start + "Content-Length: 1\r\n" + sized, status: rejected},
		"the same length twice":           {answer: start + "Content-Length: 2\r\n" + sized, status: rejected},
		"length and chunks":               {answer: start + "Content-Length: 2\r\n" + chunks + "2\r\nok\r\n0\r\n\r\n", status: rejected},
		"chunks and length":               {answer: start + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: rejected},
		"two transfer codings":            {answer: start + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: rejected},
		"unknown transfer coding":         {answer: start + "Transfer-Encoding: identity\r\n\r\nok", status: rejected},
		"length with a sign":              {answer: start + "Content-Length: +2\r\n\r\nok", status: rejected},
		"negative length":                 {answer: start + "Content-Length: -2\r\n\r\nok", status: rejected},
		"list of lengths":                 {answer: start + "Content-Length: 2, 2\r\n\r\nok", status: rejected},
		"length with a blank inside":      {answer: start + "Content-Length: 2 2\r\n\r\nok", status: rejected},
		"empty length":                    {answer: start + "Content-Length: \r\n\r\nok", status: rejected},
		"length that overflows":           {answer: start + "Content-Length: 99999999999999999999\r\n\r\nok", status: rejected},
		"99":                              {answer: strings.Replace(start, "200", "99", 1) + sized, status: rejected},
		"099":                             {answer: strings.Replace(start, "200", "099", 1) + sized, status: rejected},
		"1000":                            {answer: strings.Replace(start, "200", "1000", 1) + sized, status: rejected},
		"600":                             {answer: strings.Replace(start, "200", "600", 1) + sized, status: rejected},
		"status is not a number":          {answer: strings.Replace(start, "200", "2x0", 1) + sized, status: rejected},
		"HTTP/2.0":                        {answer: strings.Replace(start, "HTTP/1.1", "HTTP/2.0", 1) + sized, status: rejected},
		"version in lower case":           {answer: strings.Replace(start, "HTTP/1.1", "http/1.1", 1) + sized, status: rejected},
		"empty line before the head":      {answer: "\r\n" + start + sized, status: rejected},
		"cut status line before the head": {answer: "HTTP/1.1 413 " + start + sized, status: rejected},
		"cut head before the head":        {answer: "HTTP/1.1 413 X\r\nDate: Mon" + start + sized, status: rejected},
		"two request IDs":                 {answer: start + "X-Id: ID\r\n" + sized, status: rejected},
		"two signatures":                  {answer: start + "X-Signed: s\r\n" + sized, status: rejected},
		"version in a field value":        {answer: start + "Via: HTTP/1.1 proxy\r\n" + sized, status: 200, body: "ok"},
		"endless head":                    {answer: start + "X-A: " + strings.Repeat("a", 64<<10), status: rejected},
		"chunk size with a sign":          {answer: start + chunks + "+2\r\nok\r\n0\r\n\r\n", status: rejected},
		"chunk size with a 0x prefix":     {answer: start + chunks + "0x2\r\nok\r\n0\r\n\r\n", status: rejected},
		"chunk longer than its size":      {answer: start + chunks + "1\r\nok\r\n0\r\n\r\n", status: rejected},
		"chunk size that overflows":       {answer: start + chunks + "fffffffffffffffff\r\nok\r\n0\r\n\r\n", status: rejected},
		"trailer fields":                  {answer: start + chunks + "2\r\nok\r\n0\r\nX-A: b\r\n\r\n", status: rejected},
		"chunk extension":                 {answer: start + chunks + "2;a=b\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		"cut in a chunk's size":           {answer: start + chunks + "1\r\no\r\n1", status: rejected},
		"cut before the last chunk":       {answer: start + chunks + "2\r\nok\r\n", status: rejected},
		"cut after the last chunk":        {answer: start + chunks + "2\r\nok\r\n0\r\n", status: rejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithTargets(t, rawTarget(t, false, c.answer))
			conn := f.dial(t)
			path, method := "/plain/x", http.MethodPost
			if c.path != "" {
				path = c.path
			}
			if c.method != "" {
				method = c.method
			}
			conn.send(t, method+strings.TrimPrefix(request(path, "call"), http.MethodPost))
			o := observe.NewReader(conn.Conn)
			a, err := o.Answer(method)
			if err != nil || a.Status != c.status || c.status == http.StatusOK && string(a.Body) != c.body {
				t.Fatalf("status %d, body %q, %v; want %d with %q", a.Status, a.Body, err, c.status, c.body)
			}
			if a.Get("X-A") != "" && strings.Contains(c.answer, "Connection: X-A") {
				t.Error("a field that belongs to the target's connection was passed on")
			}
			// Whatever the target has sent, the next request on the connection gets its answer.
			conn.send(t, request("/none/x", "next"))
			if a, err = o.Answer(http.MethodPost); err != nil || a.Status != http.StatusNotFound {
				t.Fatalf("the next answer: status %d, %v", a.Status, err)
			}
		})
	}
}
