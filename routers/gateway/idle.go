// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// idleConns are the connections without a call in progress, in the order in which they became idle. It
// is safe for concurrent use.
type idleConns struct {
	mu       sync.Mutex
	elements map[net.Conn]*list.Element
	order    *list.List
}

func newIdleConns() *idleConns {
	return &idleConns{elements: map[net.Conn]*list.Element{}, order: list.New()}
}

// add adds a connection and sets its idle timeout, unless isClosed returns true.
func (i *idleConns) add(c net.Conn, timeout time.Duration, isClosed func() bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if isClosed() {
		return false
	}
	i.elements[c] = i.order.PushBack(c)
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return true
}

func (i *idleConns) remove(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if e := i.elements[c]; e != nil {
		i.order.Remove(e)
		delete(i.elements, c)
	}
}

// closeLongest ends the idle time of at most n connections, those that have been idle for longest first,
// and returns their number. Their owners close them, with what they have not read left unread.
func (i *idleConns) closeLongest(n int) (closed int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for closed < n && i.order.Len() > 0 {
		c := i.order.Remove(i.order.Front()).(net.Conn)
		delete(i.elements, c)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		closed++
	}
	return closed
}
