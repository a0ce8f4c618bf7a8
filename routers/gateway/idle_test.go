// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"net"
	"slices"
	"testing"
	"time"
)

// deadlineConn records that its read deadline has passed.
type deadlineConn struct {
	net.Conn
	name    string
	expired bool
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.expired = t.Before(time.Now())
	return nil
}

func TestIdleConnsClosesTheLongestIdleFirst(t *testing.T) {
	open := func() bool { return false }
	cases := map[string]struct {
		// idle has the names in the order in which they became idle, active those that are not any more.
		idle, active []string
		n            int
		closed       []string
	}{
		"none":             {n: 2},
		"some":             {idle: []string{"a", "b", "c"}, n: 2, closed: []string{"a", "b"}},
		"more than idle":   {idle: []string{"a", "b"}, n: 5, closed: []string{"a", "b"}},
		"one is active":    {idle: []string{"a", "b", "c"}, active: []string{"a"}, n: 1, closed: []string{"b"}},
		"one is idle anew": {idle: []string{"a", "b", "a"}, n: 1, closed: []string{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := newIdleConns()
			conns := map[string]*deadlineConn{}
			for _, n := range c.idle {
				if conns[n] == nil {
					conns[n] = &deadlineConn{name: n}
				} else {
					i.remove(conns[n])
				}
				i.add(conns[n], time.Minute, open)
			}
			for _, n := range c.active {
				i.remove(conns[n])
			}
			if n := i.closeLongest(c.n); n != len(c.closed) {
				t.Errorf("closed %d, want %d", n, len(c.closed))
			}
			for n, conn := range conns {
				if conn.expired != slices.Contains(c.closed, n) {
					t.Errorf("%s closed: %v", n, conn.expired)
				}
			}
		})
	}
}

func TestIdleConnsTakesNoneOnceClosed(t *testing.T) {
	i := newIdleConns()
	if i.add(&deadlineConn{}, time.Minute, func() bool { return true }) {
		t.Error("a connection was added after the close")
	}
}
