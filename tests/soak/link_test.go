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

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c)
	}
}

func (l *link) connect(caller net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	muted := &atomic.Bool{}
	l.mu.Lock()
	l.conns[caller], l.conns[server] = true, true
	l.muted[muted] = true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.forward(server, caller, false, muted, done)
	go l.forward(caller, server, true, muted, done)
	<-done
	_ = caller.Close()
	_ = server.Close()
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.muted, muted)
	delete(l.conns, caller)
	delete(l.conns, server)
}

func (l *link) forward(to io.Writer, from io.Reader, answers bool, muted *atomic.Bool, done chan<- struct{}) {
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
		for l.mustWait(answers) {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// mustWait reports whether bytes must still wait. A delayed link sleeps here once instead.
func (l *link) mustWait(answers bool) bool {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == linkDelayed {
		time.Sleep(linkDelay)
		return false
	}
	return mode == linkSilent || mode == linkOneWay && answers
}

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
}

// mute permanently stops forwarding on all open connections; new ones are unaffected.
func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for muted := range l.muted {
		muted.Store(true)
	}
}

// reset closes all open connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *link) close() {
	l.set(linkNormal)
	_ = l.listener.Close()
	l.reset()
}
