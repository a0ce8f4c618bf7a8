// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const (
	soundBody = "content of the answer"
	sized     = "Content-Type: a/b\r\nContent-Length: 21\r\n\r\n" + soundBody
	chunked   = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// soundAnswers are answers as servers send them.
var soundAnswers = map[string]struct {
	text, method string
	code         int
	kind, body   string
}{
	"length":                 {text: "HTTP/1.1 200 OK\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"version 1.0":            {text: "HTTP/1.0 200 OK\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"no reason":              {text: "HTTP/1.1 200 \r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"no blank, no reason":    {text: "HTTP/1.1 200\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"other case":             {text: "HTTP/1.1 200 OK\r\ncontent-TYPE:a/b\r\nCONTENT-length:21\r\n\r\n" + soundBody, code: 200, kind: "a/b", body: soundBody},
	"blanks around a value":  {text: "HTTP/1.1 200 OK\r\nContent-Type: \t a/b \t\r\nContent-Length:  21 \r\n\r\n" + soundBody, code: 200, kind: "a/b", body: soundBody},
	"empty value":            {text: "HTTP/1.1 200 OK\r\nA:\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"bytes beyond ASCII":     {text: "HTTP/1.1 200 OK\r\nA: \xe4\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"to the end":             {text: "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n" + soundBody, code: 200, kind: "a/b", body: soundBody},
	"chunks":                 {text: chunked + "a\r\ncontent of\r\nB\r\n the answer\r\n0\r\n\r\n", code: 200, kind: "a/b", body: soundBody},
	"chunk extension":        {text: chunked + "15;a=b\r\n" + soundBody + "\r\n0\r\n\r\n", code: 200, kind: "a/b", body: soundBody},
	"empty, length":          {text: "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 0\r\n\r\n", code: 200, kind: "a/b"},
	"empty, chunks":          {text: chunked + "0\r\n\r\n", code: 200, kind: "a/b"},
	"early hints":            {text: "HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"two interim answers":    {text: "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
	"no content":             {text: "HTTP/1.1 204 X\r\nContent-Type: a/b\r\n\r\n", code: 204, kind: "a/b"},
	"not modified":           {text: "HTTP/1.1 304 X\r\nContent-Type: a/b\r\nContent-Length: 21\r\n\r\n", code: 304, kind: "a/b"},
	"HEAD":                   {text: "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 21\r\n\r\n", method: "HEAD", code: 200, kind: "a/b"},
	"HEAD, chunks":           {text: chunked, method: "HEAD", code: 200, kind: "a/b"},
	"not found":              {text: "HTTP/1.1 404 X\r\n" + sized, code: 404, kind: "a/b", body: soundBody},
	"last status":            {text: "HTTP/1.1 599 X\r\n" + sized, code: 599, kind: "a/b", body: soundBody},
	"redirect":               {text: "HTTP/1.1 302 X\r\nLocation: /\r\n" + sized, code: 302, kind: "a/b", body: soundBody},
	"bytes after the answer": {text: "HTTP/1.1 200 OK\r\n" + sized + "more", code: 200, kind: "a/b", body: soundBody},
	"long head":              {text: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 3000) + "\r\n" + sized, code: 200, kind: "a/b", body: soundBody},
}

func TestSoundAnswers(t *testing.T) {
	for name, test := range soundAnswers {
		t.Run(name, func(t *testing.T) {
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			want := result{code: test.code, kind: test.kind, body: test.body}
			if got := call(t, newClient(), serveRaw(t, sends(test.text)), method, nil); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// brokenAnswers returns answers that violate HTTP/1.1, or that parsers read in different ways.
func brokenAnswers() map[string]string {
	list := map[string]string{
		"no blank after the version": "HTTP/1.1200 OK\r\n" + sized, "two blanks before the status": "HTTP/1.1  200 OK\r\n" + sized,
		"a tab before the status": "HTTP/1.1\t200 OK\r\n" + sized, "a blank before the version": " HTTP/1.1 200 OK\r\n" + sized,
		"an empty line before the head": "\r\nHTTP/1.1 200 OK\r\n" + sized, "no version": "200 OK\r\n" + sized, "a request": "GET / HTTP/1.1\r\n" + sized,
		"a status line in the reason": "HTTP/1.1 413 HTTP/1.1 200 OK\r\n" + sized, "a status line in a field": "HTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\n" + sized,
		"a line without a colon": "HTTP/1.1 200 OK\r\nodd\r\n" + sized, "a folded line": "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n" + sized, "a folded first line": "HTTP/1.1 200 OK\r\n A: b\r\n" + sized,
		"bare line ends": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+sized, "\r", ""), "a bare line end": "HTTP/1.1 200 OK\nA: b\r\n" + sized,
		"a bare line end in a field": "HTTP/1.1 200 OK\r\nA: b\nB: c\r\n" + sized, "a length twice": "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n" + sized,
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n" + sized, "a list of lengths": "HTTP/1.1 200 OK\r\nContent-Length: 21, 21\r\n\r\n" + soundBody,
		"a length and a coding": "HTTP/1.1 200 OK\r\nContent-Length: 21\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n" + soundBody + "\r\n0\r\n\r\n",
		"a coding and a length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 21\r\n\r\n15\r\n" + soundBody + "\r\n0\r\n\r\n",
		"no bytes":              "", "no answer": "odd", "switching protocols": "HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" + soundBody,
		"only interim answers": strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 3), "many interim answers": strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n" + sized,
		"a broken interim answer": "HTTP/1.1 103 X\r\nA b\r\n\r\nHTTP/1.1 200 OK\r\n" + sized, "a TLS record": "\x15\x03\x01\x00\x02\x02\x16", "an HTTP/2 frame": "\x00\x00\x00\x04\x00\x00\x00\x00\x00",
		"short body": "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + soundBody,
	}
	for _, status := range []string{"", "0", "000", "001", "010", "099", "0200", "2000", "20", "2", "20x", "-20", "+20", "2 0", "600", "999", "1000", "200x", "٢٠٠"} {
		list["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + sized
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/2", "HTTP/1", "HTTP/1.", "HTTP/1.10", "HTTP/01.1", "http/1.1", "HTTPS/1.1", "HTTP/1.1x", "HTTP/+1.1", "ICY", "FTP/1.1"} {
		list["version "+version] = version + " 200 OK\r\n" + sized
	}
	for what, name := range map[string]string{"empty": "", "blank inside": "A b", "blank after": "A ", "tab after": "A\t", "tab inside": "A\tb", "slash": "A/b", "comma": "A,b", "quote": `A"b`, "brackets": "(A)", "equals": "A=b", "at": "A@b", "not ASCII": "A\xe4"} {
		list["name, "+what] = "HTTP/1.1 200 OK\r\n" + name + ": b\r\n" + sized
	}
	for _, name := range []string{"Content-Length ", "Content-Length\t", " Content-Length", "Content Length"} {
		list[fmt.Sprintf("name of a length %q", name)] = "HTTP/1.1 200 OK\r\n" + name + ": 7\r\n\r\n" + soundBody
	}
	for _, control := range []byte{0, 1, 7, 8, 0x0b, 0x0c, '\r', 0x1b, 0x1f, 0x7f} {
		list[fmt.Sprintf("control byte %#x in a name", control)] = "HTTP/1.1 200 OK\r\nA" + string(control) + "b: c\r\n" + sized
		list[fmt.Sprintf("control byte %#x in a value", control)] = "HTTP/1.1 200 OK\r\nA: b" + string(control) + "c\r\n" + sized
		list[fmt.Sprintf("control byte %#x in the reason", control)] = "HTTP/1.1 200 O" + string(control) + "K\r\n" + sized
	}
	for _, length := range []string{"", "x", "-1", "+21", "0x15", "21 ", "2 1", "21x", "21.0", "21;a", "999999999999999999999", "18446744073709551637"} {
		if strings.TrimSpace(length) != "21" {
			list["length "+length] = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + soundBody
		}
	}
	for _, coding := range []string{"", "gzip", "identity", "chunked, chunked", "gzip, chunked", "chunked, gzip", "xchunked", "chunked;a=b", "chunked\r\nTransfer-Encoding: chunked"} {
		list["coding "+coding] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n15\r\n" + soundBody + "\r\n0\r\n\r\n"
	}
	for _, chunks := range []string{
		"\r\n", "x\r\n", "-15\r\n", "+15\r\n", "0x15\r\n", " 15\r\n", "15\n", "fffffffffffffffff\r\n", "16\r\n", "14\r\n", ";a\r\n", "15 15\r\n",
	} {
		list[fmt.Sprintf("size line %q", chunks)] = chunked + chunks + soundBody + "\r\n0\r\n\r\n"
	}
	for _, end := range []string{"", "\r\n", "\r\n0", "\r\n0\r\n", "\r\n0\r\n\n", "\r\n0\n\r\n", "\n0\r\n\r\n", "\r\n0\r\nodd\r\n\r\n", "0\r\n\r\n", "\r\n1\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		list[fmt.Sprintf("end of chunks %q", end)] = chunked + "15\r\n" + soundBody + end
	}
	return list
}

// Guards against bytes that are no answer and reach the caller as one.
func TestBrokenAnswersAreNone(t *testing.T) {
	for name, text := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := call(t, newClient(), serveRaw(t, sends(text)), http.MethodPost, []byte("question")); !isBroken(got.err) {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// Guards against answers that are cut off and pass as whole.
func TestCutAnswersAreNone(t *testing.T) {
	whole := map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + sized, "chunks": chunked + "a\r\ncontent of\r\nB\r\n the answer\r\n0\r\n\r\n",
		"early hints": "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	ends := map[string]func(string) handler{"closed": sends, "reset": sendsAndResets}
	for name, text := range whole {
		for end, handle := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				for at := range len(text) {
					if got := call(t, newClient(), serveRaw(t, handle(text[:at])), http.MethodPost, nil); !isBroken(got.err) {
						t.Errorf("cut at %d of %d: got %+v", at, len(text), got)
					}
				}
			})
		}
	}
}
