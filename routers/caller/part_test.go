// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"havenwinch.dev/havenwinch/tests/single"
)

// Guards against a part of a body that is sent to a service as a whole request.
func TestPartsOfBodiesReachNoService(t *testing.T) {
	const size, sent = 100_000, 50_000
	tests := map[string]string{
		"of a body with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("a", sent),
		"of a chunk":              fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size) + strings.Repeat("a", sent),
		"of a body in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", sent) + strings.Repeat("a", sent) + "\r\n",
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var got []int
			record := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				mu.Lock()
				defer mu.Unlock()
				got = append(got, len(body))
			})
			s := single.New(t, single.Options{Tokens: 100, Services: []http.Handler{record}})
			c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, err = io.WriteString(c, "POST /services/portal/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+single.Key+"\r\n"+part)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.(*net.TCPConn).CloseWrite()
			answer, _ := io.ReadAll(c)
			mu.Lock()
			defer mu.Unlock()
			if len(got) > 0 {
				t.Fatalf("the service got bodies of %v bytes, want none; the caller got %.80q", got, answer)
			}
		})
	}
}
