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

// Pipe returns the two ends of an in-memory connection. As on a network, writes are
// buffered, and bytes written before a close can still be read. Deadlines are ignored.
func Pipe() (net.Conn, net.Conn) {
	there, back := newBuffer(), newBuffer()
	return &pipeEnd{in: back, out: there}, &pipeEnd{in: there, out: back}
}

// buffer has the unread bytes of one direction.
type buffer struct {
	mu      sync.Mutex
	changed *sync.Cond
	bytes   []byte
	// writerClosed and readerClosed are set when that end has been closed.
	writerClosed, readerClosed bool
}

func newBuffer() *buffer {
	b := &buffer{}
	b.changed = sync.NewCond(&b.mu)
	return b
}

func (b *buffer) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.bytes) == 0 && !b.writerClosed && !b.readerClosed {
		b.changed.Wait()
	}
	switch {
	case b.readerClosed:
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
	if b.readerClosed || b.writerClosed {
		return 0, syscall.EPIPE
	}
	b.bytes = append(b.bytes, p...)
	b.changed.Broadcast()
	return len(p), nil
}

func (b *buffer) close(set *bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*set = true
	b.changed.Broadcast()
}

// pipeEnd is one end of a connection.
type pipeEnd struct{ in, out *buffer }

func (e *pipeEnd) Read(p []byte) (int, error)  { return e.in.read(p) }
func (e *pipeEnd) Write(p []byte) (int, error) { return e.out.write(p) }

// Close implements net.Conn.
func (e *pipeEnd) Close() error {
	e.out.close(&e.out.writerClosed)
	e.in.close(&e.in.readerClosed)
	return nil
}

func (e *pipeEnd) LocalAddr() net.Addr              { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (e *pipeEnd) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2} }
func (e *pipeEnd) SetDeadline(time.Time) error      { return nil }
func (e *pipeEnd) SetReadDeadline(time.Time) error  { return nil }
func (e *pipeEnd) SetWriteDeadline(time.Time) error { return nil }
