// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// goneCheck returns a function that tells whether the peer of a connection has
// closed it, without taking any bytes. The HTTP library does not look at a
// connection while its handler works.
func goneCheck(conn net.Conn) func() bool {
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
		gone := false
		err := raw.Control(func(fd uintptr) {
			var one [1]byte
			n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			gone = n == 0 && err == nil || err == unix.ECONNRESET
		})
		return gone || err != nil
	}
}
