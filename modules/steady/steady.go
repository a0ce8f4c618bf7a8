// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package steady writes to connections whose peers may stop reading. It limits the time without
// progress rather than the time of a write.
package steady

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// writeSize is the most bytes that are written at a time, so that slow progress is seen.
	writeSize = 16 << 10
	// looks is how many times within Writer.Timeout a write that waits is looked at for progress.
	looks = 4
)

// Conn is the part of a net.Conn that a Writer uses.
type Conn interface {
	Write(p []byte) (int, error)
	SetWriteDeadline(t time.Time) error
}

// Writer writes to a connection as long as that makes progress. It sets the connection's write
// deadline.
type Writer struct {
	Conn Conn
	// Timeout is how long a write may make no progress.
	Timeout time.Duration
	// Unsent returns how many bytes the kernel holds that the peer has not acknowledged; nil if that is
	// not known. Its decrease is progress: a full buffer takes more only once a third of it is free.
	Unsent func() int
	// OnStall is called when a write has made no progress for Timeout, with the number of bytes of it
	// that are left and of those that the kernel holds. The write goes on if it returns true, and fails
	// with os.ErrDeadlineExceeded otherwise.
	OnStall func(left int) bool
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	s := stall{unsent: -1}
	for written < len(p) {
		_ = w.Conn.SetWriteDeadline(time.Now().Add(w.Timeout / looks))
		n, err := w.Conn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		switch {
		case err == nil:
			s = stall{unsent: -1}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case s.look(n, w.unsent()):
			if w.OnStall == nil || !w.OnStall(len(p)-written+w.unsent()) {
				return written, err
			}
		}
	}
	return written, nil
}

func (w *Writer) unsent() int {
	if w.Unsent == nil {
		return 0
	}
	return w.Unsent()
}

// stall counts the looks at a write that waits.
type stall struct {
	count int
	// unsent is the number of unsent bytes at the last look, -1 for none.
	unsent int
}

// look records that a write has taken n bytes since the last look, and how many are unsent now. It
// reports whether there was no progress for too long, and counts anew then.
func (s *stall) look(n, unsent int) bool {
	if n > 0 || unsent < s.unsent {
		s.count = 0
	} else {
		s.count++
	}
	s.unsent = unsent
	if s.count < looks {
		return false
	}
	s.count = 0
	return true
}

// TCPConn returns the TCP connection below c, nil if there is none.
func TCPConn(c net.Conn) *net.TCPConn {
	for {
		switch v := c.(type) {
		case *net.TCPConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// Unsent returns how many bytes the kernel holds for the peer of a TCP connection, zero if that is
// not known. It may be nil.
func Unsent(c *net.TCPConn) (n int) {
	if c == nil {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
