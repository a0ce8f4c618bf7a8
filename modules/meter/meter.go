// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package meter counts the bytes that a box sends and receives.
package meter

import (
	"io"
	"net"
	"sync/atomic"
)

// Meter counts bytes received and sent. It is safe for concurrent use. Received and Sent
// on a nil Meter do nothing.
type Meter struct {
	received atomic.Int64
	sent     atomic.Int64
}

// AddReceived adds n received bytes.
func (m *Meter) AddReceived(n int) {
	if m != nil {
		m.received.Add(int64(n))
	}
}

// AddSent adds n sent bytes.
func (m *Meter) AddSent(n int) {
	if m != nil {
		m.sent.Add(int64(n))
	}
}

// Totals returns the bytes received and sent since the Meter was created.
func (m *Meter) Totals() (received, sent int64) { return m.received.Load(), m.sent.Load() }

// WrapReader returns a reader that counts the bytes read from r as received.
func (m *Meter) WrapReader(r io.Reader) io.Reader { return &reader{r, m} }

type reader struct {
	io.Reader
	m *Meter
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.m.AddReceived(n)
	return n, err
}

// WrapListener returns a listener that counts the bytes of all connections accepted by l.
func (m *Meter) WrapListener(l net.Listener) net.Listener { return &listener{l, m} }

type listener struct {
	net.Listener
	m *Meter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.m}, nil
}

type conn struct {
	net.Conn
	m *Meter
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.AddReceived(n)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.AddSent(n)
	return n, err
}
