// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package observe

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// TestRecorder checks that the recorder rejects answers that the lenient client of net/http
// accepts.
func TestRecorder(t *testing.T) {
	cases := map[string]struct {
		answer string
		valid  bool
	}{
		"complete":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"truncated":              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
		"empty":                  {"", true},
		"two answers":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
		"line without CR":        {"HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok", false},
		"invalid Content-Length": {"HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.Close()
			}()
			r := &Recorder{}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: r.DialContext}}
			if resp, err := client.Get("http://" + l.Addr().String()); err == nil {
				_, _ = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if err := r.Check(); (err == nil) != c.valid {
				t.Fatalf("unexpected result: %v", err)
			}
		})
	}
}
