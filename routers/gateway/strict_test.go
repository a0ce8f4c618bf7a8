// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/tests/observe"
)

// Callers could get heads and bodies that readers take in different ways: the library that
// reads targets' heads takes bare line ends, folded lines, blanks in names and lengths beside
// codings, and what it had read was written on. An answer of 204 to a stream was
// followed by an empty chunk, which is the beginning of no answer. Each is read strictly,
// or written in a form that every reader takes the same way.
func TestAnswersThatReadersTakeInDifferentWays(t *testing.T) {
	const (
		start  = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\n"
		sized  = "Content-Length: 2\r\n\r\nok"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	refused := http.StatusBadGateway
	cases := map[string]struct {
		path   string
		answer string
		status int
		body   string
		method string
	}{
		"sound":                        {answer: start + sized, status: 200, body: "ok"},
		"chunks":                       {answer: start + chunks + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", status: 200, body: "ok"},
		"no length":                    {answer: start + "\r\nok", status: 200, body: "ok"},
		"another reason":               {answer: strings.Replace(start, "OK", "all is well", 1) + sized, status: 200, body: "ok"},
		"no reason":                    {answer: strings.Replace(start, " OK", "", 1) + sized, status: 200, body: "ok"},
		"the version before":           {answer: strings.Replace(start, "HTTP/1.1", "HTTP/1.0", 1) + sized, status: 200, body: "ok"},
		"a coding in capitals":         {answer: start + "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		"blanks around a value":        {answer: start + "X-A:\t b \r\n" + sized, status: 200, body: "ok"},
		"an unknown status":            {answer: strings.Replace(start, "200 OK", "299 X", 1) + sized, status: 299, body: "ok"},
		"204":                          {answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n\r\n", status: 204},
		"204 with a length":            {answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n" + sized, status: 204},
		"204 to a stream":              {path: "/stream/x", answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n\r\n", status: 204},
		"204 in chunks to a stream":    {path: "/stream/x", answer: "HTTP/1.1 204 X\r\nX-Signed: s\r\nX-Id: ID\r\n" + chunks + "0\r\n\r\n", status: 204},
		"304":                          {answer: "HTTP/1.1 304 X\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 7\r\n\r\n", status: 304},
		"HEAD":                         {method: http.MethodHead, answer: start + "Content-Length: 7\r\n\r\n", status: 200},
		"HEAD without a length":        {method: http.MethodHead, answer: start + "\r\n", status: 200},
		"HEAD with chunks":             {method: http.MethodHead, answer: start + chunks, status: 200},
		"a field of the connection":    {answer: start + "Connection: X-A\r\nX-A: b\r\n" + sized, status: 200, body: "ok"},
		"interim answers":              {answer: strings.Repeat("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", 3) + start + sized, status: 200, body: "ok"},
		"another protocol":             {answer: "HTTP/1.1 101 X\r\n\r\n" + start + sized, status: refused},
		"interim answers without end":  {answer: strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 100) + start + sized, status: refused},
		"a bare CR":                    {answer: start + "X-A: b\rX-B: c\r\n" + sized, status: refused},
		"a bare LF":                    {answer: start + "X-A: b\nX-B: c\r\n" + sized, status: refused},
		"only bare LF":                 {answer: strings.ReplaceAll(start+"Content-Length: 2\r\n\r\n", "\r", "") + "ok", status: refused},
		"NUL":                          {answer: start + "X-A: b\x00\r\n" + sized, status: refused},
		"a folded line":                {answer: start + "X-A: b\r\n c\r\n" + sized, status: refused},
		"a blank before the colon":     {answer: start + "X-A : b\r\n" + sized, status: refused},
		"a blank in a name":            {answer: start + "X A: b\r\n" + sized, status: refused},
		"no name":                      {answer: start + ": b\r\n" + sized, status: refused},
		"no colon":                     {answer: start + "nothing\r\n" + sized, status: refused},
		"two lengths":                  {answer: start + "Content-Length: 1\r\n" + sized, status: refused},
		"the same length twice":        {answer: start + "Content-Length: 2\r\n" + sized, status: refused},
		"length and chunks":            {answer: start + "Content-Length: 2\r\n" + chunks + "2\r\nok\r\n0\r\n\r\n", status: refused},
		"chunks and length":            {answer: start + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: refused},
		"two codings":                  {answer: start + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: refused},
		"an unknown coding":            {answer: start + "Transfer-Encoding: identity\r\n\r\nok", status: refused},
		"a sign of a length":           {answer: start + "Content-Length: +2\r\n\r\nok", status: refused},
		"a negative length":            {answer: start + "Content-Length: -2\r\n\r\nok", status: refused},
		"a list of lengths":            {answer: start + "Content-Length: 2, 2\r\n\r\nok", status: refused},
		"a length with a blank":        {answer: start + "Content-Length: 2 2\r\n\r\nok", status: refused},
		"an empty length":              {answer: start + "Content-Length: \r\n\r\nok", status: refused},
		"a length beyond all numbers":  {answer: start + "Content-Length: 99999999999999999999\r\n\r\nok", status: refused},
		"99":                           {answer: strings.Replace(start, "200", "99", 1) + sized, status: refused},
		"099":                          {answer: strings.Replace(start, "200", "099", 1) + sized, status: refused},
		"1000":                         {answer: strings.Replace(start, "200", "1000", 1) + sized, status: refused},
		"600":                          {answer: strings.Replace(start, "200", "600", 1) + sized, status: refused},
		"a status that is no number":   {answer: strings.Replace(start, "200", "2x0", 1) + sized, status: refused},
		"another version":              {answer: strings.Replace(start, "HTTP/1.1", "HTTP/2.0", 1) + sized, status: refused},
		"a version in small letters":   {answer: strings.Replace(start, "HTTP/1.1", "http/1.1", 1) + sized, status: refused},
		"bytes before the head":        {answer: "\r\n" + start + sized, status: refused},
		"half of another one before":   {answer: "HTTP/1.1 413 " + start + sized, status: refused},
		"a part of another one before": {answer: "HTTP/1.1 413 X\r\nDate: Mon" + start + sized, status: refused},
		"two ids":                      {answer: start + "X-Id: ID\r\n" + sized, status: refused},
		"two signatures":               {answer: start + "X-Signed: s\r\n" + sized, status: refused},
		"a protocol in a value":        {answer: start + "Via: HTTP/1.1 proxy\r\n" + sized, status: 200, body: "ok"},
		"a head without end":           {answer: start + "X-A: " + strings.Repeat("a", 64<<10), status: refused},
		"a sign of a chunk":            {answer: start + chunks + "+2\r\nok\r\n0\r\n\r\n", status: refused},
		"a chunk in another base":      {answer: start + chunks + "0x2\r\nok\r\n0\r\n\r\n", status: refused},
		"a chunk that is too long":     {answer: start + chunks + "1\r\nok\r\n0\r\n\r\n", status: refused},
		"a chunk beyond all numbers":   {answer: start + chunks + "fffffffffffffffff\r\nok\r\n0\r\n\r\n", status: refused},
		"a trailer":                    {answer: start + chunks + "2\r\nok\r\n0\r\nX-A: b\r\n\r\n", status: refused},
		"an extension of a chunk":      {answer: start + chunks + "2;a=b\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		"cut in a chunk's size":        {answer: start + chunks + "1\r\no\r\n1", status: refused},
		"cut before the last chunk":    {answer: start + chunks + "2\r\nok\r\n", status: refused},
		"cut after the last chunk":     {answer: start + chunks + "2\r\nok\r\n0\r\n", status: refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixtureBefore(t, rawTarget(t, false, c.answer))
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
			// Whatever the target has sent, the connection has the next answer in its place.
			conn.send(t, request("/none/x", "next"))
			if a, err = o.Answer(http.MethodPost); err != nil || a.Status != http.StatusNotFound {
				t.Fatalf("the next answer: status %d, %v", a.Status, err)
			}
		})
	}
}
