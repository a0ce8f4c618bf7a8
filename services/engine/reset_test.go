// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"havenwinch.dev/havenwinch/modules/steady"
)

// unframed is an answer that ends with its connection, of which body is a part.
const unframed = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\npart"

// Guards against a part of an answer without a length that passes as whole after a reset.
func TestResetEndsNoAnswer(t *testing.T) {
	address := serveRaw(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, unframed)
		awaitAcknowledged(c)
		_ = c.SetLinger(0)
	})
	for range 10 {
		if got := call(t, newClient(), address, http.MethodPost, []byte("question")); !isBroken(got.err) {
			t.Fatalf("got %+v", got)
		}
	}
}

// awaitAcknowledged waits until the peer's kernel has all that was sent.
func awaitAcknowledged(c *net.TCPConn) {
	for steady.Unsent(c) > 0 {
	}
}

// Guards against an answer to a part of a request that passes as whole.
func TestEndDuringTheRequestIsNoAnswer(t *testing.T) {
	type size struct {
		name  string
		bytes int
	}
	sizes := []size{{"20 KB", 20 << 10}, {"100 KB", 100 << 10}, {"200 KB", 200 << 10}, {"300 KB", 300 << 10}, {"1 MB", 1 << 20}, {"8 MB", 8 << 20}, {"32 MB", 32 << 20}}
	ends := map[string]struct {
		end   func(c *net.TCPConn)
		sizes []size
	}{
		"closed": {func(*net.TCPConn) {}, sizes},
		"reset":  {func(c *net.TCPConn) { _ = c.SetLinger(0) }, sizes},
		// The peer's kernel can't have taken these requests before it rejects the rest.
		"closed in order, the rest rejected later": {func(c *net.TCPConn) { _ = c.CloseWrite() }, sizes[2:]},
	}
	for name, e := range ends {
		for _, size := range e.sizes {
			t.Run(name+", "+size.name, func(t *testing.T) {
				address := serveConns(t, func(c *net.TCPConn) {
					_ = c.SetReadBuffer(4 << 10)
					if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
						return
					}
					_, _ = io.WriteString(c, unframed)
					e.end(c)
				})
				for range 5 {
					if got := call(t, newClient(), address, http.MethodPost, make([]byte, size.bytes)); !isBroken(got.err) {
						t.Fatalf("got %+v", got)
					}
				}
			})
		}
	}
}
