// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package observe

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Recorder records the connections of a lenient client, to check them strictly afterwards.
// Each connection must carry a single request.
type Recorder struct {
	mu    sync.Mutex
	conns []*recordedConn
}

// recordedConn is a connection that records the bytes of both directions.
type recordedConn struct {
	net.Conn
	mu       sync.Mutex
	sent     bytes.Buffer
	received bytes.Buffer
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.received.Write(p[:n])
	return n, err
}

// Write implements net.Conn.
func (c *recordedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	_, _ = c.sent.Write(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// DialContext opens a recorded connection, for http.Transport.
func (r *Recorder) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &recordedConn{Conn: conn}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return c, nil
}

// Check returns an error for the first connection that received anything but a single
// answer to its request. Truncated and missing answers are accepted.
func (r *Recorder) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		if err := c.check(); err != nil {
			return errors.Wrapf(err, "on the connection to %s", c.RemoteAddr())
		}
	}
	return nil
}

func (c *recordedConn) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	method, _, _ := strings.Cut(c.sent.String(), " ")
	o := NewReader(bytes.NewReader(c.received.Bytes()))
	_, err := o.Answer(method)
	if IsErrTruncated(err) || err == io.EOF {
		return nil
	}
	if err != nil {
		return err
	}
	return o.ExpectEOF()
}
