// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	// linkBodiesWait forwards no more than longRequest bytes of a request.
	linkBodiesWait
)

const (
	linkDelay = 150 * time.Millisecond
	// longRequest is the size of a request in bytes from which on a link with linkBodiesWait does not
	// read it.
	longRequest = 16 << 10
	// smallBuffer is the kernel's receive buffer of a link in bytes while long bodies wait, so that
	// what it does not read remains with the sender.
	smallBuffer = 64 << 10
)

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
	// hasSmallBuffers is set if new connections get receive buffers of smallBuffer.
	hasSmallBuffers bool
}

// plainTCP opens listeners without Multipath TCP, whose sockets take no packet filters.
var plainTCP = func() *net.ListenConfig {
	c := &net.ListenConfig{}
	c.SetMultipathTCP(false)
	return c
}()

func newLink(target string) (*link, error) { return newLinkAt("127.0.0.1:0", target) }

func newLinkAt(address, target string) (*link, error) {
	l, err := plainTCP.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}, muted: map[*atomic.Bool]bool{}}
	go k.accept(l)
	return k, nil
}

// retarget makes the link lead to another server from now on.
func (l *link) retarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c)
	}
}

func (l *link) connect(caller net.Conn) {
	l.mu.Lock()
	target := l.target
	if tcp, ok := caller.(*net.TCPConn); ok && l.hasSmallBuffers {
		_ = tcp.SetReadBuffer(smallBuffer)
	}
	l.mu.Unlock()
	server, err := net.Dial("tcp", target)
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
	// unanswered is how many bytes have come since the last ones of an answer.
	unanswered := &atomic.Int64{}
	go l.forward(server, caller, false, muted, unanswered, done)
	go l.forward(caller, server, true, muted, unanswered, done)
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

func (l *link) forward(to io.Writer, from io.Reader, answers bool, muted *atomic.Bool, unanswered *atomic.Int64, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, l.readSize())
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if muted.Load() {
			continue
		}
		if answers {
			unanswered.Store(0)
		} else {
			unanswered.Add(int64(n))
		}
		for l.mustWait(answers, unanswered.Load()) {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// readSize returns how many bytes are read at once. Long bodies need fewer reads.
func (l *link) readSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasSmallBuffers {
		return smallBuffer
	}
	return 4096
}

// mustWait reports whether bytes must still wait. A delayed link sleeps here once instead.
func (l *link) mustWait(answers bool, unanswered int64) bool {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == linkDelayed {
		time.Sleep(linkDelay)
		return false
	}
	return mode == linkSilent || mode == linkOneWay && answers || mode == linkBodiesWait && !answers && unanswered > longRequest
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

// linkFault is how the whole link between a box and a server fails.
type linkFault int

const (
	noFault linkFault = iota
	// silentFault drops all packets, those of new connections included.
	silentFault
	// resetFault resets open connections and refuses new ones.
	resetFault
	// refusingFault leaves open connections alone and refuses new ones.
	refusingFault
)

// apply begins or ends a fault of the link.
func (l *link) apply(fault linkFault) {
	if fault == resetFault || fault == refusingFault {
		_ = l.listener.Close()
	} else {
		l.listen()
	}
	l.dropPackets(fault == silentFault)
	if fault == silentFault {
		l.set(linkSilent)
	} else {
		l.set(linkNormal)
	}
	if fault == resetFault {
		l.reset()
	}
}

// listen opens the listener again at its address, unless it is open.
func (l *link) listen() {
	listener, err := plainTCP.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
}

// dropPackets makes the kernel discard all packets that arrive for the link from its callers,
// or ends that.
func (l *link) dropPackets(drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	setDrop(l.listener.(*net.TCPListener), drop)
	for c := range l.conns {
		if c.LocalAddr().String() == l.address {
			setDrop(c.(*net.TCPConn), drop)
		}
	}
}

// setDrop attaches a socket filter that accepts no packet, or removes it.
func setDrop(socket syscall.Conn, drop bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		// The socket is closed.
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if !drop {
			// There may be none.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(none)), Filter: &none[0]})
	})
	if err != nil {
		panic(err)
	}
}
