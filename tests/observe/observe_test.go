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
	complete        = "complete"
	truncatedAnswer = "truncated"
	malformedAnswer = "malformed"
	noAnswer        = "empty"
)

func resultOf(err error) string {
	switch {
	case err == nil:
		return complete
	case IsErrMalformed(err):
		return malformedAnswer
	case IsErrTruncated(err):
		return truncatedAnswer
	case err == io.EOF:
		return noAnswer
	}
	return err.Error()
}

func TestReaderIsStrict(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		bytes  string
		method string
		want   string
		body   string
	}{
		"empty":                  {want: noAnswer},
		"Content-Length":         {bytes: ok + "Content-Length: 2\r\n\r\nab", want: complete, body: "ab"},
		"chunks":                 {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nA\r\n0123456789\r\n0\r\n\r\n", want: complete, body: "a0123456789"},
		"after status 100":       {bytes: "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", want: complete},
		"status 204":             {bytes: "HTTP/1.1 204 No Content\r\n\r\n", want: complete},
		"answer to HEAD":         {bytes: ok + "Content-Length: 5\r\n\r\n", method: http.MethodHead, want: complete},
		"truncated status line":  {bytes: "HTTP/1.1 200 O", want: truncatedAnswer},
		"truncated field":        {bytes: ok + "Content-Le", want: truncatedAnswer},
		"truncated body":         {bytes: ok + "Content-Length: 2\r\n\r\na", want: truncatedAnswer, body: "a"},
		"truncated chunk size":   {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1", want: truncatedAnswer},
		"truncated chunk":        {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\na", want: truncatedAnswer, body: "a"},
		"missing last chunk":     {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", want: truncatedAnswer, body: "a"},
		"truncated last chunk":   {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", want: truncatedAnswer, body: "a"},
		"head between chunks":    {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n" + ok, want: malformedAnswer, body: "a"},
		"chunk longer than size": {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", want: malformedAnswer, body: "a"},
		"chunk extension":        {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\na\r\n", want: malformedAnswer},
		"sign in chunk size":     {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n", want: malformedAnswer},
		"space in chunk size":    {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n1 \r\na\r\n", want: malformedAnswer},
		"trailer":                {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n", want: malformedAnswer},
		"status 204 with chunks": {bytes: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", want: malformedAnswer},
		"no length":              {bytes: ok + "\r\n", want: malformedAnswer},
		"two Content-Lengths":    {bytes: ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", want: malformedAnswer},
		"length and chunks":      {bytes: ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", want: malformedAnswer},
		"other transfer coding":  {bytes: ok + "Transfer-Encoding: gzip\r\n\r\n", want: malformedAnswer},
		"sign in Content-Length": {bytes: ok + "Content-Length: +1\r\n\r\na", want: malformedAnswer},
		"bare LF":                {bytes: "HTTP/1.1 200 OK\nContent-Length: 0\n\n", want: malformedAnswer},
		"bare CR":                {bytes: ok + "A: b\rc\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"NUL":                    {bytes: ok + "A: b\x00c\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"folded line":            {bytes: ok + "A: b\r\n c\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"space before colon":     {bytes: ok + "A : b\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"status 099":             {bytes: "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"status 1000":            {bytes: "HTTP/1.1 1000 X\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"version 1.0":            {bytes: "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", want: malformedAnswer},
		"no status line":         {bytes: "nonsense\r\n\r\n", want: malformedAnswer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, err := NewReader(strings.NewReader(c.bytes)).Answer(c.method)
			if got := resultOf(err); got != c.want || string(a.Body) != c.body {
				t.Fatalf("got %s with %q (%v), want %s with %q", got, a.Body, err, c.want, c.body)
			}
		})
	}
}

func TestRest(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for extra, want := range map[string]string{"": complete, "x": malformedAnswer, answer: malformedAnswer} {
		o := NewReader(strings.NewReader(answer + extra))
		if _, err := o.Answer(http.MethodGet); err != nil {
			t.Fatal(err)
		}
		if got := resultOf(o.ExpectEOF()); got != want {
			t.Errorf("after %q: %s, want %s", extra, got, want)
		}
	}
}
