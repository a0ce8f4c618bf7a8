// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package http1

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// However a head is split into reads, Peek must return all of it and consume nothing.
func TestPeek(t *testing.T) {
	const head, rest = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "body\r\n\r\n"
	readers := map[string]func(io.Reader) io.Reader{
		"at once":      func(r io.Reader) io.Reader { return r },
		"byte by byte": iotest.OneByteReader,
		"in halves":    iotest.HalfReader,
	}
	for name, reader := range readers {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(reader(strings.NewReader(head+rest)), 64)
			got, err := PeekHead(r)
			if err != nil || string(got) != head {
				t.Fatalf("got %q, %v", got, err)
			}
			if all, _ := io.ReadAll(r); string(all) != head+rest {
				t.Fatalf("%q remains in the reader, want all of it", all)
			}
		})
	}
}

func TestPeekErrors(t *testing.T) {
	cases := map[string]struct {
		bytes string
		long  bool
		want  error
	}{
		"empty":               {want: io.EOF},
		"incomplete":          {bytes: "HTTP/1.1 200 OK\r\nA: b\r\n", want: io.EOF},
		"too long":            {bytes: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 64), long: true},
		"one byte too long":   {bytes: strings.Repeat("b", 61) + "\r\n\r\n", long: true},
		"only bare line ends": {bytes: "HTTP/1.1 200 OK\nA: b\n\n", want: io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := PeekHead(bufio.NewReaderSize(strings.NewReader(c.bytes), 64))
			if IsErrHeadTooLong(err) != c.long || !c.long && err != c.want {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestFraming(t *testing.T) {
	cases := map[string]struct {
		fields string
		want   Framing
		bad    bool
	}{
		"none":                         {want: Framing{}},
		"length":                       {fields: "content-LENGTH: 12\r\n", want: Framing{Sized: true, Length: 12}},
		"chunked":                      {fields: "Transfer-Encoding:chunked\r\n", want: Framing{Chunked: true}},
		"length and chunked":           {fields: "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", bad: true},
		"length twice":                 {fields: "Content-Length: 1\r\nContent-Length: 1\r\n", bad: true},
		"length with a sign":           {fields: "Content-Length: -1\r\n", bad: true},
		"too many digits":              {fields: "Content-Length: 1234567890123456789\r\n", bad: true},
		"unknown transfer coding":      {fields: "Transfer-Encoding: gzip\r\n", bad: true},
		"status line in a field value": {fields: "A: xHTTP/1.1 200 OK\r\n", bad: true},
		"versions in a field value":    {fields: "Via: HTTP/1.1 proxy HTTP/1.0\r\n", want: Framing{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := CheckAnswer([]byte("HTTP/1.1 200 OK\r\n" + c.fields + "\r\n"))
			if (err != nil) != c.bad || err != nil && !IsErrMalformedHead(err) {
				t.Fatalf("got %v", err)
			}
			if diff := cmp.Diff(c.want, got); !c.bad && diff != "" {
				t.Fatal(diff)
			}
			request, err := CheckRequest([]byte("POST /x HTTP/1.1\r\nHost: h\r\n" + c.fields + "\r\n"))
			if (err != nil) != c.bad || !c.bad && request != got {
				t.Fatalf("as a request: got %v, %v", request, err)
			}
		})
	}
}
