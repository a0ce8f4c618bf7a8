// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link has the faults of the connections from one box to another.
type Link struct {
	// Cut drops all bytes silently, like a network that loses packets.
	Cut bool
	// Delay is added to every read.
	Delay time.Duration
}

// Network relays the traffic between boxes and can delay or drop it. It identifies boxes
// by their source addresses.
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

// Set sets the faults of the link between two addresses, for open connections too. Unless
// the link is cut, open connections are closed.
func (n *Network) Set(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = l
	if l.Cut {
		return
	}
	// A connection that has lost bytes cannot continue, so both ends have to see it close.
	for conn, ends := range n.conns {
		if ends == [2]string{from, to} {
			_ = conn.Close()
		}
	}
}

// Bytes returns the number of bytes received on all links from or to an address, including
// dropped ones. Links of an address to itself do not count.
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

// Serve accepts connections to the box with address to and relays them to its listener at
// target. It returns when l is closed.
func (n *Network) Serve(l net.Listener, to, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go n.relay(conn, to, target)
	}
}

func (n *Network) relay(conn net.Conn, to, target string) {
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
		n.forward(conn, far, ends)
	}()
	n.forward(far, conn, ends)
}

func (n *Network) countBytes(ends [2]string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[ends] += int64(size)
}

// forward copies bytes in one direction. While the link is cut, bytes are dropped, in both
// directions of the connections that were opened over it.
func (n *Network) forward(w io.Writer, r io.Reader, ends [2]string) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := r.Read(buffer)
		l := n.link(ends)
		n.countBytes(ends, size)
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

// Isolate cuts or restores the links between a box and all others, in both directions.
func (f *Fleet) Isolate(name string, cut bool) {
	for _, other := range f.order {
		if other != name {
			f.Cut(name, other, cut)
			f.Cut(other, name, cut)
		}
	}
}

// Cut cuts or restores the link for connections that one box opens to another. It also
// resets the delay of the link.
func (f *Fleet) Cut(from, to string, cut bool) {
	f.Network.Set(f.Boxes[from].IP, f.Boxes[to].IP, Link{Cut: cut})
}
