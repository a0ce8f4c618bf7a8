// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/structs"
)

// serveRaw starts a server that answers each request with start, and then repeats part until the connection
// fails if there is any.
func serveRaw(t *testing.T, start, part string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, err = io.WriteString(c, start)
				for err == nil && part != "" {
					_, err = io.WriteString(c, part)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a tool that prints bytes that are no answer, or reads them without end.
func TestBrokenAnswersOfBoxes(t *testing.T) {
	const body = `{"box":"b","ready":true}`
	rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, parts := range map[string][2]string{
		"status 000": {"HTTP/1.1 000 OK\r\n" + rest}, "another version": {"HTTP/2.0 200 OK\r\n" + rest}, "blank in a name": {"HTTP/1.1 200 OK\r\nA b: c\r\n" + rest},
		"control byte": {"HTTP/1.1 200 O\x01K\r\n" + rest}, "cut head": {"HTTP/1.1 200 OK\r\nContent-Le"}, "cut body": {"HTTP/1.1 200 OK\r\n" + rest[:len(rest)-1]},
		"endless head": {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 8<<10)}, "endless body": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(" ", 64<<10)}, "endless chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1000\r\n"+strings.Repeat(" ", 4096)+"\r\n", 16)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s structs.BoxStatus
			err := (&client{key: "k"}).do(serveRaw(t, parts[0], parts[1]), http.MethodGet, "/admin/v1/status", nil, &s)
			if f, ok := err.(*failure); !ok || f.code != exitUnreachable {
				t.Errorf("got %v, %+v", err, s)
			}
		})
	}
}

// Guards against a part of an answer that the tool prints as all of it.
func TestBrokenAnswersToSend(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	end := "data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\ndata: [DONE]"
	for name, test := range map[string]struct {
		start, part string
		want        int
	}{
		"status 000":      {start: "HTTP/1.1 000 OK\r\n\r\n" + end + "\n\n", want: exitUnreachable},
		"cut head":        {start: "HTTP/1.1 200 OK\r\n", want: exitUnreachable},
		"cut after DONE":  {start: head + fmt.Sprintf("%x\r\n%s", len(end)+2, end), want: exitUnknown},
		"no end":          {start: head + "4\r\n: a\n\r\n0\r\n\r\n", want: exitUnknown},
		"endless line":    {start: head, part: "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", want: exitUnknown},
		"endless refusal": {start: "HTTP/1.1 429 X\r\n\r\n", part: strings.Repeat("a", 64<<10), want: exitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := sendCommand()
			err := cmd.Run(t.Context(), []string{"send", "--caller", serveRaw(t, test.start, test.part), "--model", "m", "hi"})
			if f, ok := err.(*failure); !ok || f.code != test.want {
				t.Errorf("got %v, want exit code %d", err, test.want)
			}
		})
	}
}
