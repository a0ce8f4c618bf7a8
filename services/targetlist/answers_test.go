// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package targetlist_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/services/targetlist"
)

// serveList starts a server that answers each request with text and closes the connection.
func serveList(t *testing.T, text string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against bytes that are no answer and replace the list of targets.
func TestBrokenAnswersAreNoLists(t *testing.T) {
	const list = `{"version":2,"targets":[]}`
	rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(list), list)
	for name, text := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\n" + rest, "another version": "HTTP/2.0 200 OK\r\n" + rest, "two blanks": "HTTP/1.1  200 OK\r\n" + rest,
		"blank in a name": "HTTP/1.1 200 OK\r\nA b: c\r\n" + rest, "control byte": "HTTP/1.1 200 O\x01K\r\n" + rest, "bare line end": "HTTP/1.1 200 OK\nA: b\r\n" + rest,
		"two framings":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n1a\r\n" + list + "\r\n0\r\n\r\n",
		"many interim answers": strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\n" + rest,
		"cut head":             "HTTP/1.1 200 OK\r\nContent-Le", "cut body": "HTTP/1.1 200 OK\r\n" + rest[:len(rest)-1], "null": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
		"no list": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "an error": "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"error\":\"x\"}",
	} {
		lister := &targetlist.HTTPLister{URL: serveList(t, text)}
		if got, unchanged, err := lister.List(context.Background()); err == nil {
			t.Errorf("%s: got %v, %v", name, got, unchanged)
		}
	}
}
