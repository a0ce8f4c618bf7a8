// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/tests/certs"
)

// blackholeProxy is a TCP proxy that can silently drop all data of its open connections,
// while new connections work.
type blackholeProxy struct {
	l net.Listener
	// accepted is the number of connections so far. The first muted of them are silent.
	accepted, muted atomic.Int64
}

func (m *blackholeProxy) serve(target string) {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = c.Close()
			continue
		}
		n := m.accepted.Add(1)
		go m.forward(n, c, server)
		go m.forward(n, server, c)
	}
}

func (m *blackholeProxy) forward(n int64, to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		got, err := from.Read(buffer)
		if err != nil {
			return
		}
		if n <= m.muted.Load() {
			continue
		}
		if _, err := to.Write(buffer[:got]); err != nil {
			return
		}
	}
}

// A connection between boxes may stop delivering data without a reset, for example when the
// network drops its packets. Calls on it must time out until the HTTP/2 ping detects the
// dead connection and a new one is opened.
func TestConnectionsThatFallSilent(t *testing.T) {
	p := newPeers(t, "a secret that is shared", certs.Files{}, clock.System{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, handler := betweenv1connect.NewKeeperServiceHandler(keeper{}, p.HandlerOptions()...)
	s := p.Server(handler)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = front.Close() })
	m := &blackholeProxy{l: front}
	go m.serve(l.Addr().String())
	client := p.Keeper(front.Addr().String())
	beat := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		_, err := client.Beat(ctx, connect.NewRequest(&betweenv1.BeatRequest{}))
		return err
	}
	if err := beat(); err != nil {
		t.Fatal(err)
	}
	m.muted.Store(m.accepted.Load())
	start := time.Now()
	failed := 0
	for err = beat(); err != nil; err = beat() {
		if failed++; failed > 100 {
			t.Fatalf("all calls fail after the connection fell silent: %v", err)
		}
	}
	if failed == 0 || m.accepted.Load() < 2 {
		t.Fatalf("%d calls failed over %d connections, want at least 1 over 2", failed, m.accepted.Load())
	}
	t.Logf("%d calls failed, the next was answered after %d ms", failed, time.Since(start).Milliseconds())
}
