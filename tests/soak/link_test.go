// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is the fault that a link applies to its connections.
type linkMode int

const (
	linkNormal linkMode = iota
	// linkDelayed delays every read by linkDelay.
	linkDelayed
	// linkSilent accepts bytes but forwards none in either direction.
	linkSilent
	// linkOneWay forwards requests but no answers.
	linkOneWay
)

const linkDelay = 150 * time.Millisecond

// link is a loopback proxy in front of a server that injects network faults.
type link struct {
	address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
	// muted has a flag for each open pair of connections; a pair whose flag is set
	// forwards nothing for the rest of its life.
	muted map[*atomic.Bool]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}, muted: map[*atomic.Bool]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.connect(c)
	}
}

func (k *link) connect(caller net.Conn) {
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	muted := &atomic.Bool{}
	k.mu.Lock()
	k.conns[caller], k.conns[server] = true, true
	k.muted[muted] = true
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	go k.forward(server, caller, false, muted, done)
	go k.forward(caller, server, true, muted, done)
	<-done
	_ = caller.Close()
	_ = server.Close()
	<-done
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.muted, muted)
	delete(k.conns, caller)
	delete(k.conns, server)
}

func (k *link) forward(to io.Writer, from io.Reader, answers bool, muted *atomic.Bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if muted.Load() {
			continue
		}
		for k.mustWait(answers) {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// mustWait reports whether bytes must still wait. A delayed link sleeps here once instead.
func (k *link) mustWait(answers bool) bool {
	k.mu.Lock()
	mode := k.mode
	k.mu.Unlock()
	if mode == linkDelayed {
		time.Sleep(linkDelay)
		return false
	}
	return mode == linkSilent || mode == linkOneWay && answers
}

func (k *link) set(mode linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
}

// mute permanently stops forwarding on all open connections; new ones are unaffected.
func (k *link) mute() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for muted := range k.muted {
		muted.Store(true)
	}
}

// reset closes all open connections with a TCP reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (k *link) close() {
	k.set(linkNormal)
	_ = k.listener.Close()
	k.reset()
}
