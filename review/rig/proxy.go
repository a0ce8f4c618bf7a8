// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes the connections to a server on, and can delay, hold up or reset them.
type Proxy struct {
	listener net.Listener
	to       string
	// upUntil and downUntil are until when bytes to and from the server are held up, in Unix nanoseconds.
	upUntil, downUntil atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]net.Conn
}

// NewProxy returns a proxy that listens at an address and passes connections on to another one.
func NewProxy(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, conns: map[net.Conn]net.Conn{}}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *Proxy) pass(c net.Conn) {
	s, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = s
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { copyHeld(s, c, &p.upUntil); done <- struct{}{} }()
	go func() { copyHeld(c, s, &p.downUntil); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	reset(s)
	reset(c)
}

// copyHeld copies bytes, and holds them up while it is told to.
func copyHeld(to, from net.Conn, until *atomic.Int64) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for left := until.Load() - time.Now().UnixNano(); left > 0; left = until.Load() - time.Now().UnixNano() {
			time.Sleep(min(time.Duration(left), 20*time.Millisecond))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			time.Sleep(50 * time.Millisecond)
			return
		}
		if err != nil {
			return
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// HoldUp holds up the bytes to and from the server for some time each.
func (p *Proxy) HoldUp(up, down time.Duration) {
	p.upUntil.Store(time.Now().Add(up).UnixNano())
	p.downUntil.Store(time.Now().Add(down).UnixNano())
}

// IsHeldUp reports whether bytes are held up now.
func (p *Proxy) IsHeldUp() bool {
	now := time.Now().UnixNano()
	return p.upUntil.Load() > now || p.downUntil.Load() > now
}

// Reset resets the open connections, both ends of each.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, s := range p.conns {
		reset(c)
		reset(s)
	}
}
