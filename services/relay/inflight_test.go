// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"havenwinch.dev/havenwinch/services/relay"
)

// pausedLink passes bytes between boxes; while it is paused those to the carrying box stay on their way.
type pausedLink struct {
	address string
	paused  atomic.Bool
	goOn    chan struct{}
}

// newPausedLink returns a link to the box at an address.
func newPausedLink(t *testing.T, to string) *pausedLink {
	l := &pausedLink{goOn: make(chan struct{})}
	l.address = listen(t, func(near *net.TCPConn) {
		far, err := net.Dial("tcp", to)
		if err != nil {
			_ = near.Close()
			return
		}
		go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := near.Read(buffer)
			if l.paused.Load() {
				<-l.goOn
			}
			if err != nil {
				_ = far.Close()
				return
			}
			_, _ = far.Write(buffer[:n])
		}
	})
	return l
}

// Guards against a part of an answer that is confirmed though the rest of the request has not yet reached the carrying
// box, whose target has closed.
func TestEndBeforeTheRequestHasReachedTheBox(t *testing.T) {
	heard, closeNow := make(chan struct{}), make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		readLine(c)
		close(heard)
		<-closeNow
		_, _ = io.WriteString(c, "part")
		_ = c.Close()
	})
	box := newCarrier(t, "box", secret, &targets{address: address})
	link := newPausedLink(t, box.box.Address)
	box.box.Address = link.address
	c, err := newDialer(box).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	defer close(link.goOn)
	if _, err := io.WriteString(c, "question\n"); err != nil {
		t.Fatal(err)
	}
	<-heard
	link.paused.Store(true)
	const rest = 16 << 10
	if _, err := c.Write(make([]byte, rest)); err != nil {
		t.Fatal(err)
	}
	close(closeNow)
	got, err := io.ReadAll(c)
	if err != nil {
		return
	}
	if err := c.(*relay.Conn).ConfirmEnd(func() (int64, bool) { return rest, true }); err == nil {
		t.Fatalf("%q is confirmed though none of the last %d bytes of the request has reached the box", got, rest)
	}
}
