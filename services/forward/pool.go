// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/meter"
)

const (
	// dialTimeout is how long a new connection may take: some round trips of
	// 40 ms between regions. A lost opening packet is sent again after a second,
	// which no call can wait for.
	dialTimeout = 150 * time.Millisecond
	// dialAgain is when another attempt is begun beside one without an answer, so that
	// one lost packet does not take a target out.
	dialAgain = 60 * time.Millisecond
	// crowdedTimeout takes its place while the box's own link is crowded.
	crowdedTimeout = 600 * time.Millisecond
	// idleDefault is how long a connection may rest when the target names no
	// time, and idleShare the part of a named time that is used.
	idleDefault = 2500 * time.Millisecond
	idleShare   = 0.6
	// probeIdle and probeInterval are the keep-alive probes that tell a silent
	// target from one that is gone.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedLimit is how long sent bytes may stay without acknowledgement.
	unackedLimit = 2500 * time.Millisecond
	readBuffer   = 4096
)

// conn is a connection to a target. It carries one call at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	meter  *meter.Meter
	target *spread.Target
	// in is what comes from the target; closed is set once the target has closed or
	// reset the connection, lost also when its machine has fallen silent.
	in     io.Reader
	closed bool
	lost   bool
	// restsTo is when an idle connection must not be used any more.
	restsTo time.Duration
	reused  bool
	use     use
	// strays counts the answers to other calls that came over it.
	strays int
	// carried names the last call that left over it, an order by its path, before the
	// one that was before that.
	carried, before string
}

func (c *conn) close() { _ = c.net.Close() }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	c.closed = errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	c.lost = c.closed || errors.Is(err, syscall.ETIMEDOUT)
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.net.Write(p)
	c.meter.Sent(n)
	return n, err
}

// pool holds idle connections by target.
type pool struct {
	// connect opens a connection; again begins another attempt beside one that has no
	// answer yet.
	connect, again dial.Func
	now            func() time.Duration
	meter          *meter.Meter
	// crowded tells whether the box's own link is.
	crowded func() bool

	mu   sync.Mutex
	idle map[idleKey][]*conn
}

// use is what a connection is for. Answers to calls carry the call's id, those to questions
// and orders don't: one that comes late must not be taken for that of another kind.
type use int

const (
	// useCalls is for callers' calls.
	useCalls use = iota
	// useReports is for questions that change nothing: a late answer is an older one.
	useReports
	// useOrder is for one order: a late answer would be believed of the next.
	useOrder
)

// idleKey names the connections that may carry the same requests.
type idleKey struct {
	target string
	use    use
}

func newPool(now func() time.Duration, m *meter.Meter, crowded func() bool) *pool {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return &pool{
		crowded: crowded,
		connect: dialer.DialContext,
		again:   dial.Again(dialer.DialContext, dialAgain),
		now:     now,
		meter:   m,
		idle:    map[idleKey][]*conn{},
	}
}

// get returns an idle connection that is still sound, or a new one. One that has carried a
// call of the same id is not sound: an answer in excess could not be told from its own.
func (p *pool) get(ctx context.Context, t *spread.Target, u use, id string) (*conn, error) {
	if c := p.takeIdle(idleKey{t.ID, u}, id); c != nil {
		c.reused, c.target = true, t
		return c, nil
	}
	c, err := p.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	c.use = u
	return c, nil
}

func (p *pool) takeIdle(key idleKey, id string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if c.restsTo > p.now() && (key.use != useCalls || c.carried != id) && quiet(c.net) {
			return c
		}
		p.drop(c)
	}
}

// quiet tells whether a connection is open and has nothing to read: bytes that
// come without a call belong to none.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

func (p *pool) dial(ctx context.Context, t *spread.Target) (*conn, error) {
	limit, connect := dialTimeout, p.again
	if p.crowded() {
		limit, connect = crowdedTimeout, p.connect
	}
	c, err := dial.Within(connect, limit)(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		limitUnacked(tcp)
	}
	dialled := &conn{net: c, in: p.meter.Reader(c), meter: p.meter, target: t}
	dialled.reader = bufio.NewReaderSize(dialled, readBuffer)
	return dialled, nil
}

func limitUnacked(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
}

// put keeps a connection for a later call.
func (p *pool) put(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = idleDefault
	} else {
		keep = time.Duration(idleShare * float64(keep))
	}
	if c.reader.Buffered() > 0 || c.use == useOrder || c.strays > 0 {
		p.drop(c)
		return
	}
	c.restsTo = p.now() + keep
	key := idleKey{c.target.ID, c.use}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

func (p *pool) drop(c *conn) { c.close() }

// sweep closes idle connections whose time is over, and all of targets that
// are not kept.
func (p *pool) sweep(keep func(target string) bool) {
	now := p.now()
	var old []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		stays := keep(key.target)
		for _, c := range list {
			if stays && c.restsTo > now {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}
