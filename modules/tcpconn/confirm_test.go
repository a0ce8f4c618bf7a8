// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpconn

import (
	"io"
	"net"
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
