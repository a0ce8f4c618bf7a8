// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// maxUnread is how many bytes of a target a Conn keeps until they are read.
const maxUnread = 64 << 10

// confirmPoll is the time between looks of ConfirmEnd.
const confirmPoll = 2 * time.Millisecond

// clientStream is a stream of RelayService.Connect.
type clientStream = connect.BidiStreamForClient[betweenv1.ConnectRequest, betweenv1.ConnectResponse]

// Conn is a connection to a target that another box carries. It implements net.Conn; of the deadlines
// it has that of reads.
type Conn struct {
	stream *clientStream
	// cancel ends the stream, so that the other box closes its connection to the target.
	cancel context.CancelFunc
	box    string
	onEnd  func()

	mu     sync.Mutex
	unread []byte
	// expired is set once the read deadline has passed, and expiry ends the wait of a read then.
	expired bool
	expiry  *time.Timer
	// changed is signalled when unread, err, ended, closing or expired have changed.
	changed *sync.Cond
	// err is the end of the stream: io.EOF if the target has closed the connection. ended is set once the target
	// has ended its side, which the other box confirms by the end of the stream.
	err     error
	ended   bool
	closing bool
}

// newConn returns a connection over a stream that is open.
func newConn(stream *clientStream, cancel context.CancelFunc, box string, onEnd func()) *Conn {
	c := &Conn{stream: stream, cancel: cancel, box: box, onEnd: onEnd}
	c.changed = sync.NewCond(&c.mu)
	go c.receive()
	return c
}

// receive reads the stream to its end.
func (c *Conn) receive() {
	defer c.onEnd()
	for {
		m, err := c.stream.Receive()
		if err != nil {
			c.end(endError(err))
			return
		}
		if !c.take(m) {
			return
		}
	}
}

// endError converts the end of a stream to the error that a TCP connection would have.
func endError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case connect.CodeOf(err) == connect.CodeAborted:
		return errors.WithStack(syscall.ECONNRESET)
	default:
		return errors.WithMessage(errOtherBox, err.Error())
	}
}

// take adds the bytes of a message, and waits while there are too many. It returns false once
// the connection is closed.
func (c *Conn) take(m *betweenv1.ConnectResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.ended = c.closing || m.GetClosing(), c.ended || m.GetEnded()
	c.unread = append(c.unread, m.GetData()...)
	c.changed.Broadcast()
	for len(c.unread) > maxUnread && c.err == nil {
		c.changed.Wait()
	}
	return c.err == nil
}

// end records the end of the connection, unless it has ended already.
func (c *Conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
}

// Read implements net.Conn. The error is io.EOF if the target has closed the connection, and a
// reset if the target has reset it; another error says nothing about the target.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.err == nil && !c.ended && !c.expired {
		c.changed.Wait()
	}
	switch {
	case len(c.unread) > 0:
	case c.err != nil:
		return 0, c.err
	case c.ended:
		return 0, io.EOF
	default:
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.changed.Broadcast()
	return n, nil
}

// ConfirmEnd waits, after Read has returned io.EOF, until the other box has confirmed the end: the target has
// acknowledged all that was sent, or has no room for it. sent returns how many bytes have been sent so far, and
// whether that is all. A box of an earlier version confirms the end only for what had come to it before.
func (c *Conn) ConfirmEnd(sent func() (bytes int64, all bool)) error {
	for told := false; ; time.Sleep(confirmPoll) {
		_, all := sent()
		ended, err := c.ending()
		switch {
		case err == io.EOF && (ended || all):
			return nil
		case err == io.EOF:
			return errors.WithMessage(errOtherBox, "the connection ended before all was sent")
		case err != nil:
			return err
		case all && !told:
			told = true
			if err := c.stream.Send(&betweenv1.ConnectRequest{Finished: true}); err != nil && !errors.Is(err, io.EOF) {
				return errors.WithMessage(errOtherBox, err.Error())
			}
		}
	}
}

// ending reports whether the target has ended its side as the other box has told before the end of the stream, and
// returns the end of the stream, nil if it is open.
func (c *Conn) ending() (ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended, c.err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.stream.Send(&betweenv1.ConnectRequest{Data: p}); err != nil {
		return 0, errors.WithMessage(errOtherBox, err.Error())
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.end(net.ErrClosed)
	_ = c.SetReadDeadline(time.Time{})
	c.cancel()
	// The transport does not look at the context while it waits for bytes to send.
	_ = c.stream.CloseRequest()
	_ = c.stream.CloseResponse()
	return nil
}

// IsReusable reports whether the connection can carry another request: it is open, has no bytes
// to read, and the box that carries it is not stopping.
func (c *Conn) IsReusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) == 0 && c.err == nil && !c.ended && !c.closing
}

// Box returns the name of the box that carries the connection.
func (c *Conn) Box() string { return c.box }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.expiry, c.expired = nil, false
	if at.IsZero() {
		return nil
	}
	var expiry *time.Timer
	expiry = time.AfterFunc(time.Until(at), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.expiry == expiry {
			c.expired = true
			c.changed.Broadcast()
		}
	})
	c.expiry = expiry
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
