// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package observe

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pipe returns the two ends of a connection in memory. As on a network, what is written
// waits for its reader, and bytes that were sent before a close arrive. Deadlines are not
// kept.
func Pipe() (net.Conn, net.Conn) {
	there, back := newBuffer(), newBuffer()
	return &end{in: back, out: there}, &end{in: there, out: back}
}

// buffer holds the bytes on their way in one direction.
type buffer struct {
	mu     sync.Mutex
	change *sync.Cond
	bytes  []byte
	// shut is set once the writer has closed, gone once the reader has.
	shut, gone bool
}

func newBuffer() *buffer {
	b := &buffer{}
	b.change = sync.NewCond(&b.mu)
	return b
}

func (b *buffer) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.bytes) == 0 && !b.shut && !b.gone {
		b.change.Wait()
	}
	switch {
	case b.gone:
		return 0, net.ErrClosed
	case len(b.bytes) == 0:
		return 0, io.EOF
	}
	n := copy(p, b.bytes)
	b.bytes = b.bytes[n:]
	return n, nil
}

func (b *buffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone || b.shut {
		return 0, syscall.EPIPE
	}
	b.bytes = append(b.bytes, p...)
	b.change.Broadcast()
	return len(p), nil
}

func (b *buffer) end(set *bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*set = true
	b.change.Broadcast()
}

// end is one end of a connection.
type end struct{ in, out *buffer }

func (e *end) Read(p []byte) (int, error)  { return e.in.read(p) }
func (e *end) Write(p []byte) (int, error) { return e.out.write(p) }

// Close implements net.Conn.
func (e *end) Close() error {
	e.out.end(&e.out.shut)
	e.in.end(&e.in.gone)
	return nil
}

func (e *end) LocalAddr() net.Addr              { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (e *end) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2} }
func (e *end) SetDeadline(time.Time) error      { return nil }
func (e *end) SetReadDeadline(time.Time) error  { return nil }
func (e *end) SetWriteDeadline(time.Time) error { return nil }
