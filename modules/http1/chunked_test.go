// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against size lines without end, and framing that parsers interpret in different ways.
func TestChunkedReader(t *testing.T) {
	ext := func(n int) string { return strings.Repeat("x", n) }
	cases := map[string]struct {
		text      string
		body      string
		malformed bool
		short     bool
		// rest is what is left unread.
		rest string
	}{
		"one chunk":                {text: "2\r\nok\r\n0\r\n\r\nnext", body: "ok", rest: "next"},
		"two chunks":               {text: "2\r\nok\r\nA\r\n0123456789\r\n0\r\n\r\n", body: "ok0123456789"},
		"empty":                    {text: "0\r\n\r\n"},
		"blank after the size":     {text: "2 \r\nok\r\n0\r\n\r\n", body: "ok"},
		"extension":                {text: "2;a=b\r\nok\r\n0;c\r\n\r\n", body: "ok"},
		"longest line":             {text: "2;" + ext(MaxChunkLine-4) + "\r\nok\r\n0\r\n\r\n", body: "ok"},
		"longer line":              {text: "2;" + ext(MaxChunkLine-3) + "\r\nok\r\n0\r\n\r\n", malformed: true},
		"size without end":         {text: strings.Repeat("0", 1<<20), malformed: true},
		"extension without end":    {text: "2\r\nok\r\n2;" + ext(1<<20), body: "ok", malformed: true},
		"many long extensions":     {text: strings.Repeat("1;"+ext(200)+"\r\na\r\n", 200), body: strings.Repeat("a", maxFraming/188), malformed: true},
		"bare line end":            {text: "2\nok\r\n0\r\n\r\n", malformed: true},
		"carriage return inside":   {text: "2\r;\r\nok\r\n0\r\n\r\n", malformed: true},
		"no size":                  {text: ";a\r\n", malformed: true},
		"no digit":                 {text: "2g\r\n", malformed: true},
		"control character":        {text: "\x11\r\n", malformed: true},
		"sign":                     {text: "+2\r\nok\r\n0\r\n\r\n", malformed: true},
		"size beyond 64 bits":      {text: "fffffffffffffffff\r\n", malformed: true},
		"chunk longer than named":  {text: "2\r\noko\r\n0\r\n\r\n", body: "ok", malformed: true},
		"trailer":                  {text: "2\r\nok\r\n0\r\nA: b\r\n\r\n", body: "ok", malformed: true},
		"ends in the size":         {text: "2", short: true},
		"ends in the data":         {text: "4\r\nok", body: "ok", short: true},
		"ends before the trailer":  {text: "2\r\nok\r\n0\r\n", body: "ok", short: true},
		"ends without last chunk":  {text: "2\r\nok\r\n", body: "ok", short: true},
		"ends without a line end ": {text: "2\r\nok", body: "ok", short: true},
	}
	for name, c := range cases {
		for way, wrap := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader} {
			t.Run(name+", "+way, func(t *testing.T) {
				r := bufio.NewReader(wrap(strings.NewReader(c.text)))
				body, err := io.ReadAll(NewChunkedReader(r, nil))
				if string(body) != c.body || IsErrMalformedChunk(err) != c.malformed || (err == io.ErrUnexpectedEOF) != c.short || err != nil && !c.malformed && !c.short {
					t.Fatalf("got %q, %v", body, err)
				}
				if rest, _ := io.ReadAll(r); err == nil && string(rest) != c.rest {
					t.Errorf("left %q", rest)
				}
			})
		}
	}
}

// Guards against bodies that are read in another way than the standard library reads them.
func FuzzChunkedReader(f *testing.F) {
	for _, s := range []string{"2\r\nok\r\n0\r\n\r\n", "2;a\r\nok\r\n0\r\n\r\n", "1\r\na\r\n1\r\nb\r\n0\r\nA: b\r\n\r\n", "0000000000000002\r\nok", ";", "2 ;a\r\nok\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(string(text))), nil))
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(string(text))))
		if err == nil && (wantErr != nil || string(want) != string(body)) {
			t.Fatalf("%q: got %q, the library %q, %v", text, body, want, wantErr)
		}
	})
}

// Guards against a size with leading zeros that is refused for its number of digits.
func TestChunkSizeWithLeadingZeros(t *testing.T) {
	for text, valid := range map[string]bool{
		"0000000000000005\r\nhello\r\n0\r\n\r\n":             true,
		"5\r\nhello\r\n00000000000000000000\r\n\r\n":         true,
		"1000000000000005\r\nhello\r\n0\r\n\r\n":             false,
		"00001000000000000005\r\nhello\r\n0\r\n\r\n":         false,
		strings.Repeat("0", MaxChunkLine) + "5\r\nhello\r\n": false,
	} {
		got, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(text)), nil))
		if (err == nil) != valid || valid && string(got) != "hello" {
			t.Errorf("%.24q: %q, %v", text, got, err)
		}
	}
}
