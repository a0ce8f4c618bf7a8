// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcpconn reads messages that end with their TCP connection. The kernel reports the error that
// ended a connection once, to the first call that asks for it, and shows the end of the stream to all
// later ones. Where a write or a look for bytes runs beside a read, the end of a connection that was
// reset then reads as an orderly one. A Conn keeps the error, so that every read returns it.
package tcpconn

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"havenwinch.dev/havenwinch/modules/steady"
)

const (
	// ConfirmTimeout is how long ConfirmEnd waits for a reset: several round trips of 40 ms between regions, and
	// the first retransmission of what is lost.
	ConfirmTimeout = 500 * time.Millisecond
	// UnheardTimeout is how long ConfirmEnd waits if the connection does not tell whether the peer still holds it: a
	// link that is cut, or a rest of the request that is not sent yet. It is that of unacknowledged bytes.
	UnheardTimeout = 2500 * time.Millisecond
	// confirmPoll is the time between looks of ConfirmEnd.
	confirmPoll = 2 * time.Millisecond
	// synBytes is what the kernel counts as acknowledged beside the bytes that were sent.
	synBytes = 1
	// tcpClose is the state of a connection without peer, as in Linux' tcp_states.h.
	tcpClose = 7
)

// ErrRequestUnread is the error for a peer that has ended the connection in order, and rejected what was
// still sent to it after that.
var ErrRequestUnread = errors.New("the peer closed the connection without reading all that was sent to it")

// ErrUnconfirmed is the error for a peer that has ended the connection in order, and of which is not known whether it
// would have taken the rest of what was to be sent to it.
var ErrUnconfirmed = errors.New("the peer ended the connection before all was sent, and nothing was heard from it since")

// Conn is a TCP connection. Its reads return io.EOF only if the peer has ended its side in order.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	// writing is held during each write.
	writing sync.Mutex
	mu      sync.Mutex
	// failure is the first error that ended the connection, other than EPIPE if any call has met another.
	failure error
}

// New returns a Conn over a connection to which nothing else reads or writes.
func New(c *net.TCPConn) *Conn { return &Conn{Conn: c, tcp: c} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.tcp }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err == io.EOF {
		return n, c.endError()
	}
	c.record(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	c.record(err)
	return n, err
}

// Peek returns the number of bytes, at most one, that can be read without waiting. The error is EAGAIN if
// there are none yet, and io.EOF at an orderly end.
func (c *Conn) Peek() (n int, err error) {
	n, err = c.peek()
	if n == 0 && err == nil {
		return 0, c.endError()
	}
	return max(0, n), err
}

// peek looks for a byte. It holds c.mu so that no other call records what follows an error before the error
// itself.
func (c *Conn) peek() (n int, err error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if closed != nil {
		return 0, closed
	}
	c.recordLocked(err)
	return n, err
}

// record keeps an error that ended the connection.
func (c *Conn) record(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocked(err)
}

// recordLocked is record for callers that hold c.mu.
func (c *Conn) recordLocked(err error) {
	var number syscall.Errno
	if !errors.As(err, &number) || number == syscall.EAGAIN || number == syscall.EINTR {
		return
	}
	// After a failure that another call has met, or after an orderly end of the peer, the kernel says EPIPE.
	if c.failure == nil || errors.Is(c.failure, syscall.EPIPE) {
		c.failure = err
	}
}

// endError returns what ended the connection, at whose end a read is: io.EOF if the peer has ended its
// side, else the error that the kernel has reported to another call.
func (c *Conn) endError() error {
	if dead, err := c.isDead(); dead || err != nil {
		c.awaitWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil || errors.Is(c.failure, syscall.EPIPE) {
		return io.EOF
	}
	return c.failure
}

// awaitWrite waits until a write that is under way has recorded its error. On a dead connection writes return
// at once.
func (c *Conn) awaitWrite() {
	c.writing.Lock()
	defer c.writing.Unlock()
}

// isDead reports whether the connection was reset or has timed out, so that nothing can be sent any more;
// false if its state is not known. The error is net.ErrClosed if this process has closed it.
func (c *Conn) isDead() (bool, error) {
	info, err := c.info()
	return info != nil && info.State == tcpClose, err
}

// info returns the kernel's state of the connection, nil if that is not known. The error is net.ErrClosed if this
// process has closed it.
func (c *Conn) info() (info *unix.TCPInfo, err error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var unknown error
	closed := raw.Control(func(fd uintptr) { info, unknown = unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO) })
	if closed != nil {
		return nil, closed
	}
	if unknown != nil || info.State == 0 {
		return nil, nil
	}
	return info, nil
}

// hasFailed reports whether any call has met an error that ended the connection.
func (c *Conn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure != nil
}

// ConfirmEnd waits, after Read has returned io.EOF, until the peer has acknowledged all that was sent to it. sent
// returns how many bytes have been written so far, and whether that is all. It returns ErrRequestUnread if the
// peer rejects a part of it, as one that has closed its connection does. It returns nil earlier if the peer holds the
// connection: it acknowledges bytes that were sent after its end had come, or it has no room for more and neither
// acknowledges nor rejects anything for ConfirmTimeout. If the rest is not sent, or on its way, for UnheardTimeout,
// the error is ErrUnconfirmed.
func (c *Conn) ConfirmEnd(sent func() (bytes int64, all bool)) error {
	last, unsent, progress := int64(0), -1, time.Time{}
	var sentBefore uint64
	for {
		bytes, all := sent()
		// Before the state: nothing is known to be unsent on a connection that is closed now.
		n := steady.Unsent(c.tcp)
		info, err := c.info()
		if err != nil {
			return errors.WithStack(err)
		}
		dead := info != nil && info.State == tcpClose
		if all && n == 0 && (!dead || hasAcknowledged(info)) {
			return nil
		}
		if dead || c.hasFailed() {
			return errors.WithStack(ErrRequestUnread)
		}
		if info != nil && sentBefore == 0 {
			sentBefore = info.Bytes_sent + synBytes
		}
		if info != nil && info.Bytes_acked > sentBefore {
			return nil
		}
		if bytes != last || n != unsent {
			last, unsent, progress = bytes, n, time.Now()
		}
		switch idle := time.Since(progress); {
		case idle >= ConfirmTimeout && (info == nil || n > 0 && hasNoRoom(info)):
			return nil
		case idle >= UnheardTimeout:
			return errors.WithStack(ErrUnconfirmed)
		}
		time.Sleep(confirmPoll)
	}
}

// hasAcknowledged reports whether the peer had acknowledged all bytes before the connection ended.
func hasAcknowledged(info *unix.TCPInfo) bool {
	return info.Bytes_acked >= synBytes && info.Bytes_acked >= info.Bytes_sent
}

// hasNoRoom reports whether the peer holds the connection and has no room for more bytes: none are on their way to
// it, or it has closed its window.
func hasNoRoom(info *unix.TCPInfo) bool { return info.Unacked == 0 || info.Snd_wnd == 0 }
