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

// Recorder keeps what comes on connections of a lenient client, to be read strictly once
// they are over. Each connection carries one request.
type Recorder struct {
	mu    sync.Mutex
	conns []*recorded
}

// recorded is a connection with the bytes of both ways.
type recorded struct {
	net.Conn
	mu   sync.Mutex
	sent bytes.Buffer
	got  bytes.Buffer
}

// Read implements net.Conn.
func (c *recorded) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.got.Write(p[:n])
	return n, err
}

// Write implements net.Conn.
func (c *recorded) Write(p []byte) (int, error) {
	c.mu.Lock()
	_, _ = c.sent.Write(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// DialContext opens a connection that is recorded; see http.Transport.
func (r *Recorder) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &recorded{Conn: conn}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return c, nil
}

// Check returns an error for the first connection on which bytes came that are not the
// one answer to its request. An answer may be cut.
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

func (c *recorded) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	method, _, _ := strings.Cut(c.sent.String(), " ")
	o := NewReader(bytes.NewReader(c.got.Bytes()))
	_, err := o.Answer(method)
	if IsErrCut(err) || err == io.EOF {
		return nil
	}
	if err != nil {
		return err
	}
	return o.Rest()
}
