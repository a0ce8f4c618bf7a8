// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package observe

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	whole   = "whole"
	cut     = "cut"
	refused = "unreadable"
	nothing = "nothing"
)

func kind(err error) string {
	switch {
	case err == nil:
		return whole
	case IsErrUnreadable(err):
		return refused
	case IsErrCut(err):
		return cut
	case err == io.EOF:
		return nothing
	}
	return err.Error()
}

func TestWhatIsTaken(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		bytes  string
		method string
		want   string
		body   string
	}{
		"nothing":                  {want: nothing},
		"a length":                 {bytes: ok + "Content-Length: 2\r\n\r\nab", want: whole, body: "ab"},
		"chunks":                   {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nA\r\n0123456789\r\n0\r\n\r\n", want: whole, body: "a0123456789"},
		"after 100":                {bytes: "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", want: whole},
		"204":                      {bytes: "HTTP/1.1 204 No Content\r\n\r\n", want: whole},
		"HEAD":                     {bytes: ok + "Content-Length: 5\r\n\r\n", method: http.MethodHead, want: whole},
		"cut in the head":          {bytes: "HTTP/1.1 200 O", want: cut},
		"cut in a field":           {bytes: ok + "Content-Le", want: cut},
		"cut in the body":          {bytes: ok + "Content-Length: 2\r\n\r\na", want: cut, body: "a"},
		"cut in a chunk's size":    {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1", want: cut},
		"cut in a chunk":           {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\na", want: cut, body: "a"},
		"cut before the last":      {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", want: cut, body: "a"},
		"cut in the last chunk":    {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", want: cut, body: "a"},
		"a second head in chunks":  {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n" + ok, want: refused, body: "a"},
		"more than its chunk says": {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", want: refused, body: "a"},
		"extension of a chunk":     {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\na\r\n", want: refused},
		"sign of a chunk's size":   {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n", want: refused},
		"blank of a chunk's size":  {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1 \r\na\r\n", want: refused},
		"trailer":                  {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n", want: refused},
		"chunks after 204":         {bytes: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", want: refused},
		"no length":                {bytes: ok + "\r\n", want: refused},
		"two lengths":              {bytes: ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", want: refused},
		"length and chunks":        {bytes: ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", want: refused},
		"another coding":           {bytes: ok + "Transfer-Encoding: gzip\r\n\r\n", want: refused},
		"sign of a length":         {bytes: ok + "Content-Length: +1\r\n\r\na", want: refused},
		"bare LF":                  {bytes: "HTTP/1.1 200 OK\nContent-Length: 0\n\n", want: refused},
		"bare CR":                  {bytes: ok + "A: b\rc\r\nContent-Length: 0\r\n\r\n", want: refused},
		"NUL":                      {bytes: ok + "A: b\x00c\r\nContent-Length: 0\r\n\r\n", want: refused},
		"folded line":              {bytes: ok + "A: b\r\n c\r\nContent-Length: 0\r\n\r\n", want: refused},
		"blank before the colon":   {bytes: ok + "A : b\r\nContent-Length: 0\r\n\r\n", want: refused},
		"a status of 99":           {bytes: "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", want: refused},
		"a status of 1000":         {bytes: "HTTP/1.1 1000 X\r\nContent-Length: 0\r\n\r\n", want: refused},
		"another version":          {bytes: "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", want: refused},
		"no head":                  {bytes: "nonsense\r\n\r\n", want: refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, err := NewReader(strings.NewReader(c.bytes)).Answer(c.method)
			if got := kind(err); got != c.want || string(a.Body) != c.body {
				t.Fatalf("got %s with %q (%v), want %s with %q", got, a.Body, err, c.want, c.body)
			}
		})
	}
}

func TestNothingComesAfterTheLastAnswer(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for extra, want := range map[string]string{"": whole, "x": refused, answer: refused} {
		o := NewReader(strings.NewReader(answer + extra))
		if _, err := o.Answer(http.MethodGet); err != nil {
			t.Fatal(err)
		}
		if got := kind(o.Rest()); got != want {
			t.Errorf("after %q: %s, want %s", extra, got, want)
		}
	}
}
