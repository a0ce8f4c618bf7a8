// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/logging"
)

// testTimeout is the time that a call in a test has; no sound answer needs it.
const testTimeout = 10 * time.Second

// errNotGivenUp is the result of calls that ended only with their contexts.
var errNotGivenUp = errors.New("the call ended only with its context")

// handler answers one request on its connection, which is closed afterwards.
type handler func(c *net.TCPConn, r *http.Request)

// serveRaw starts a server and returns its address. Each connection carries one request.
func serveRaw(t testing.TB, handle handler) string {
	t.Helper()
	return serveConns(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			handle(c, r)
		}
	})
}

// serveConns starts a server that handles whole connections and closes them afterwards.
func serveConns(t testing.TB, handle func(c *net.TCPConn)) string {
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
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// serveKept starts a server whose connections stay open for further requests. answer writes the
// answer to the request of a path.
func serveKept(t testing.TB, answer func(c *net.TCPConn, path string)) string {
	t.Helper()
	return serveConns(t, func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer(c, r.URL.Path)
		}
	})
}

// sends answers with text and closes the connection.
func sends(text string) handler {
	data := []byte(text)
	return func(c *net.TCPConn, _ *http.Request) { _, _ = c.Write(data) }
}

// sendsAndResets answers with text and resets the connection once the client can have read it.
func sendsAndResets(text string) handler {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		_ = c.SetLinger(0)
	}
}

// endlessly answers with start and then repeats part until the connection fails.
func endlessly(start, part string) handler {
	data := []byte(part)
	return func(c *net.TCPConn, _ *http.Request) {
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(data)
		}
	}
}

func isBroken(err error) bool {
	_, ok := errors.Cause(err).(ErrBroken)
	return ok
}

// result is what a call of a plain service returned.
type result struct {
	code int
	kind string
	body string
	err  error
}

func call(t testing.TB, c *Client, address, method string, body []byte) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := c.CallService(ctx, address, ServiceCall{Method: method, Path: "/x", ID: "id-1", Body: body, Timeout: testTimeout})
	if ctx.Err() != nil {
		return result{err: errNotGivenUp}
	}
	if err != nil {
		return result{err: err}
	}
	return result{code: a.Code, kind: a.ContentType, body: bodyOf(t, a)}
}

func newClient() *Client { return New(Options{Logger: logging.Discard()}) }

// newLimitedClient returns a client that may hold limit bytes.
func newLimitedClient(limit int64) *Client {
	return New(Options{Memory: bytebudget.New(limit), Logger: logging.Discard()})
}

func bodyOf(t testing.TB, a *ServiceAnswer) string {
	t.Helper()
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
