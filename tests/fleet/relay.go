// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is what a relay does with the bytes from one box to another.
type Link struct {
	// Cut swallows everything, as a network does that drops packets.
	Cut bool
	// Delay is added to every read.
	Delay time.Duration
}

// Network relays the traffic between boxes and can cut it. Boxes are told
// apart by the address they dial from.
type Network struct {
	mu    sync.Mutex
	links map[[2]string]Link
	conns map[net.Conn][2]string
	bytes map[[2]string]int64
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{links: map[[2]string]Link{}, conns: map[net.Conn][2]string{}, bytes: map[[2]string]int64{}}
}

// Set changes the link from one address to another, for open connections too.
func (n *Network) Set(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = l
	if l.Cut {
		return
	}
	// A connection that has swallowed bytes can't go on: its ends are told.
	for conn, ends := range n.conns {
		if ends == [2]string{from, to} {
			_ = conn.Close()
		}
	}
}

// Bytes returns what has passed on all links that touch an address.
func (n *Network) Bytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for ends, bytes := range n.bytes {
		if ends[0] != ends[1] && (ends[0] == address || ends[1] == address) {
			sum += bytes
		}
	}
	return sum
}

func (n *Network) link(ends [2]string) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[ends]
}

// Serve passes connections for a box on to its real address.
func (n *Network) Serve(l net.Listener, to, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go n.carry(conn, to, target)
	}
}

func (n *Network) carry(conn net.Conn, to, target string) {
	defer conn.Close()
	from := conn.RemoteAddr().(*net.TCPAddr).IP.String()
	ends := [2]string{from, to}
	n.mu.Lock()
	n.conns[conn] = ends
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	far, err := dialer.Dial("tcp", target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		defer conn.Close()
		n.pass(conn, far, ends)
	}()
	n.pass(far, conn, ends)
}

func (n *Network) count(ends [2]string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[ends] += int64(size)
}

// pass copies bytes; what arrives while the link is cut is swallowed, in both
// directions of a connection that the cut box has opened.
func (n *Network) pass(w io.Writer, r io.Reader, ends [2]string) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := r.Read(buffer)
		l := n.link(ends)
		n.count(ends, size)
		if l.Delay > 0 {
			time.Sleep(l.Delay)
		}
		if size > 0 && !l.Cut {
			if _, err := w.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Isolate cuts or heals one box from a set of others, both ways.
func (f *Fleet) Isolate(name string, cut bool) {
	for _, other := range f.order {
		if other != name {
			f.Cut(name, other, cut)
			f.Cut(other, name, cut)
		}
	}
}

// Cut cuts or heals the connections that one box opens to another.
func (f *Fleet) Cut(from, to string, cut bool) {
	f.Network.Set(f.Boxes[from].IP, f.Boxes[to].IP, Link{Cut: cut})
}
