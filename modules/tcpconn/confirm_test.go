// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpconn

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// dropPackets makes a socket take no more packets, as a cut link does.
func dropPackets(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	closed := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(none)), Filter: &none[0]})
	})
	if closed != nil || err != nil {
		t.Fatal(closed, err)
	}
}

// Guards against an end that is confirmed though the bytes before it are still on their way to a peer that has closed.
func TestConfirmEndOverACutLink(t *testing.T) {
	c, peer := pair(t)
	dropPackets(t, peer)
	const size = 8 << 10
	if n, err := c.Write(make([]byte, size)); n != size || err != nil {
		t.Fatal(n, err)
	}
	_ = peer.Close()
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if err := c.ConfirmEnd(func() (int64, bool) { return size, true }); err == nil {
		t.Fatalf("the end is confirmed, the peer has acknowledged none of %d bytes", size)
	}
}

// Guards against an end that is confirmed because nothing of the request has been sent for a while.
func TestConfirmEndBeforeTheRestIsSent(t *testing.T) {
	c, peer := pair(t)
	endsOrderly(peer)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	var looks atomic.Int64
	// The rest of the request is sent once ConfirmTimeout is long over, and rejected.
	err := c.ConfirmEnd(func() (int64, bool) {
		if n := looks.Add(1); n == 2*int64(ConfirmTimeout/confirmPoll) {
			reset(peer)
		}
		return 0, false
	})
	if err == nil {
		t.Fatalf("the end is confirmed after %d looks, all while nothing was sent", looks.Load())
	}
}

// Guards against an end that is confirmed because this process has closed the connection.
func TestConfirmEndBesideAClose(t *testing.T) {
	const size = 8 << 10
	for range 1000 {
		c, peer := pair(t)
		dropPackets(t, peer)
		if _, err := c.Write(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		endsOrderly(peer)
		if _, err := io.ReadAll(c); err != nil {
			t.Fatal(err)
		}
		closing := make(chan struct{})
		go func() {
			<-closing
			_ = c.Close()
		}()
		first := true
		err := c.ConfirmEnd(func() (int64, bool) {
			if first {
				close(closing)
			}
			first = false
			return size, true
		})
		if err == nil {
			t.Fatal("the end is confirmed with bytes that the peer has not acknowledged")
		}
		_ = peer.Close()
	}
}

// Guards against a sound answer that is refused: its target has read all of the request, ends the answer in order and
// only then gives the connection up.
func TestConfirmEndOfARequestThatWasRead(t *testing.T) {
	c, peer := pair(t)
	const size = 8 << 10
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(peer, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	endsOrderly(peer)
	reset(peer)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if err := c.ConfirmEnd(func() (int64, bool) { return size, true }); err != nil {
		t.Fatalf("all %d bytes were read by the peer before the end: %v", size, err)
	}
}
