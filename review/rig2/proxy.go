// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy stands on the path from callers to one address. While it is cut, it holds what callers send, also
// of connections that they have closed meanwhile, and nothing comes back.
type Proxy struct {
	Address, To string

	record   *Record
	listener net.Listener

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
}

// AddProxy starts a proxy to an address of a control box.
func (f *Fleet) AddProxy(to string) (*Proxy, error) {
	f.mu.Lock()
	f.nextServer++
	address := fmt.Sprintf("%s.%d:%d", f.subnet, 100+f.nextServer, f.registry)
	f.mu.Unlock()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: address, To: to, record: f.Record, listener: l, healed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

// Cut begins a cut.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.healed = true, make(chan struct{})
	p.record.Printf("the path to %s is cut", p.To)
}

// Heal ends a cut: what was held goes on.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	close(p.healed)
	p.record.Printf("the path to %s is whole again", p.To)
}

// carry carries one connection.
func (p *Proxy) carry(c net.Conn) {
	defer c.Close()
	var held []byte
	buffer := make([]byte, 64<<10)
	p.mu.Lock()
	cut, healed := p.cut, p.healed
	p.mu.Unlock()
	for cut {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, _ := c.Read(buffer)
		held = append(held, buffer[:n]...)
		select {
		case <-healed:
			cut = false
		default:
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	to, err := net.Dial("tcp4", p.To)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(held); err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(c, to)
	}()
	_, _ = io.Copy(to, c)
	select {
	case <-done:
	case <-time.After(2 * time.Second):
	}
}
