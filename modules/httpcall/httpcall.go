// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpcall sends a request on a connection of its own and reads its answer. It accepts only what every
// parser of HTTP/1.1 reads in the same way, and takes no part of an answer for all of it.
package httpcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/modules/tcpconn"
)

const (
	// maxHead is the maximum size of the head of an answer in bytes.
	maxHead     = 8 << 10
	writeBuffer = 4 << 10
)

// Answer is an answer whose body is still to be read.
type Answer struct {
	*http1.Answer
	Body io.Reader
	// Framed is set if the end of the body is known other than by the end of the connection.
	Framed bool
}

// Conn is a connection for one request. Its methods other than Close are not safe for concurrent use.
type Conn struct {
	net    net.Conn
	tcp    *tcpconn.Conn
	reader *bufio.Reader
	method string
	// received is set once a byte has arrived.
	received bool
}

// Dial connects to an address, at most for timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	dialled, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := tcpconn.New(dialled.(*net.TCPConn))
	c := &Conn{net: tcp, tcp: tcp}
	c.reader = bufio.NewReaderSize(c, maxHead)
	return c, nil
}

// DialURL is like Dial, for the host of a URL, over TLS if its scheme is https.
func DialURL(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	c, err := Dial(ctx, net.JoinHostPort(u.Hostname(), port), timeout)
	if err == nil && u.Scheme == "https" {
		c.net = tls.Client(c.tcp, &tls.Config{ServerName: u.Hostname(), NextProtos: []string{"http/1.1"}})
	}
	return c, err
}

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// SetReadDeadline bounds all reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.net.SetReadDeadline(t) }

// SetWriteDeadline bounds all writes.
func (c *Conn) SetWriteDeadline(t time.Time) { _ = c.net.SetWriteDeadline(t) }

// Close closes the connection, also while another method runs.
func (c *Conn) Close() { _ = c.tcp.Close() }

// HasReceived reports whether any byte has arrived.
func (c *Conn) HasReceived() bool { return c.received }

// Read reads from the connection, for the readers of the answer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.net.Read(p)
	c.received = c.received || n > 0
	return n, err
}

// Send writes the request.
func (c *Conn) Send(req *fasthttp.Request) error {
	c.method = string(req.Header.Method())
	req.SetConnectionClose()
	w := bufio.NewWriterSize(c.net, writeBuffer)
	if err := req.Write(w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(w.Flush())
}

// ReadAnswer reads the head of the final answer.
func (c *Conn) ReadAnswer() (*Answer, error) {
	head, err := http1.ReadAnswer(c.reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a := &Answer{Answer: head, Body: head.Body(c.method, c.reader), Framed: true}
	if head.HasBody(c.method) && !head.Chunked && !head.Sized {
		a.Body, a.Framed = &unframedBody{c}, false
	}
	return a, nil
}

// unframedBody reads a body that ends with its connection. It is whole only if the peer has not rejected a part
// of the request.
type unframedBody struct{ c *Conn }

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.c.reader.Read(p)
	if err == io.EOF {
		if failed := b.c.tcp.ConfirmEnd(func() (int64, bool) { return 0, true }); failed != nil {
			return n, failed
		}
	}
	return n, err
}
