// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// disconnectCheck returns a function that reports whether the peer of a connection
// has closed it, without consuming any bytes. It is needed because fasthttp doesn't
// watch the connection while a handler runs.
func disconnectCheck(conn net.Conn) func() bool {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	return func() bool {
		closed := false
		err := raw.Control(func(fd uintptr) {
			var buf [1]byte
			n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			closed = n == 0 && err == nil || err == unix.ECONNRESET
		})
		return closed || err != nil
	}
}
