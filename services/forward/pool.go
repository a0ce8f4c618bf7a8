// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/modules/steady"
	"havenwinch.dev/havenwinch/modules/tcpconn"
)

const (
	// dialTimeout limits dialling: some round trips of 40 ms between regions. A lost SYN is
	// sent again after a second, which no call can wait for.
	dialTimeout = 150 * time.Millisecond
	// secondDialDelay is when a second dial is started in parallel to one without an answer, so
	// that one lost packet does not eject a target.
	secondDialDelay = 60 * time.Millisecond
	// congestedDialTimeout is used instead while the box's own link is congested.
	congestedDialTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle when the target announces no
	// timeout. idleTimeoutShare is the share of an announced timeout that is used.
	defaultIdleTimeout = 2500 * time.Millisecond
	idleTimeoutShare   = 0.6
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes that tell a
	// silent target from one that is gone.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedLimit is how long sent bytes may remain unacknowledged. The kernel also ends a connection then
	// whose receiver is alive and does not read, so that longer bodies than windowBody have no such limit.
	unackedLimit = 2500 * time.Millisecond
	// windowBody is the length of a body, in bytes, for which a receiver has room without reading.
	windowBody = 48 << 10
	readBuffer = 4096
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	meter  *meter.Meter
	target *spread.Target
	// input is the receiving side. closed is set once the target has closed or reset the
	// connection, lost also when its machine stopped answering.
	input  io.Reader
	closed bool
	lost   bool
	// dialledAt is when the connection was dialled.
	dialledAt time.Duration
	// startVerified is set once the target has told, after the dial, that it runs in its registered
	// start.
	startVerified bool
	// pacedAt is the boot time in nanoseconds until which the body of the present request has waited for
	// this box's link, zero if it has not.
	pacedAt atomic.Int64
	// idleUntil is when an idle connection expires.
	idleUntil time.Duration
	reused    bool
	use       connUse
	// strayAnswers counts the answers to other calls received on this connection.
	strayAnswers int
	// onStall is called when a read has got nothing for the time of awaitBytes; nil to wait on. It
	// returns true if the read is to fail with errGivenUp.
	onStall func() bool
	// trickle limits the time for which bytes arrive while a head is read; nil otherwise.
	trickle *trickle
	// received counts the bytes that were read.
	received uint64
	// headBegan is when the first byte of the head that is being read arrived, in nanoseconds on the
	// boot clock; zero if none has. It remains set while answers to other calls are skipped.
	headBegan atomic.Int64
	// lastCall names the last request sent on this connection, a request of this system by its
	// path. previousCall is the one before it.
	lastCall, previousCall string
}

// carriedConn is a connection that another box carries.
type carriedConn interface {
	// Box returns the name of that box.
	Box() string
	// IsReusable reports whether the connection can carry another request: it is open and has no
	// bytes to read.
	IsReusable() bool
}

// isCarried reports whether another box carries the connection.
func (c *conn) isCarried() bool { return c.carriedBy() != "" }

// carriedBy returns the name of the box that carries the connection, empty for one over this
// box's own links.
func (c *conn) carriedBy() string {
	if other, ok := c.net.(carriedConn); ok {
		return other.Box()
	}
	return ""
}

func (c *conn) close() { _ = c.net.Close() }

// awaitBytes limits the time that reads wait for bytes.
func (c *conn) awaitBytes(limit time.Duration, onStall func() bool) {
	c.onStall = onStall
	_ = c.net.SetReadDeadline(time.Now().Add(limit))
}

// awaitForever ends the limit of awaitBytes.
func (c *conn) awaitForever() {
	if c.onStall != nil {
		c.onStall = nil
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// isQuiet reports whether nothing has arrived since the last read from the network: no bytes, and not the end
// of the connection. Only that of a TCP connection is known.
func (c *conn) isQuiet() bool {
	tcp, ok := c.net.(*tcpconn.Conn)
	if !ok {
		return true
	}
	_, err := tcp.Peek()
	return errors.Is(err, unix.EAGAIN)
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.trickle != nil && c.trickle.expired {
		return 0, errHeadTrickles
	}
	n, err := c.input.Read(p)
	for n == 0 && c.onStall != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if c.onStall() {
			return 0, errGivenUp
		}
		n, err = c.input.Read(p)
	}
	if n > 0 {
		c.received += uint64(n)
		c.target.Hear()
		if c.trickle != nil {
			c.trickle.record(p[:n])
		}
	}
	c.closed = errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	c.lost = c.closed || errors.Is(err, syscall.ETIMEDOUT)
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.net.Write(p)
	c.meter.AddSent(n)
	return n, err
}

// pool holds the idle connections to targets.
type pool struct {
	// connect dials. hedgedConnect starts a second dial in parallel to one that has no answer
	// yet.
	connect, hedgedConnect dial.Func
	now                    func() time.Duration
	meter                  *meter.Meter
	// congested reports whether the box's own link is congested.
	congested func() bool
	// isLost reports whether the box has lost its own links to the targets of a service. relay
	// then dials through another box.
	isLost func(service string) bool
	relay  func(ctx context.Context, t *spread.Target) (net.Conn, error)
	// dialled is called with the result of each dial over the box's own links.
	dialled func(t *spread.Target, err error)

	mu   sync.Mutex
	idle map[idleKey][]*conn
}

// connUse is what a connection is used for. Answers to calls carry the call's id, those to
// requests of this system don't: a late answer to one must not be taken for an answer to the
// other.
type connUse int

const (
	// useCalls is for calls.
	useCalls connUse = iota
	// useReports is for read-only requests: a late answer is merely an older report.
	useReports
	// useOnce is for a single request that changes state: a late answer would be taken for the
	// answer to the next one.
	useOnce
)

// idleKey groups the connections that may carry the same requests.
type idleKey struct {
	target string
	use    connUse
}

func newPool(now func() time.Duration, m *meter.Meter, congested func() bool) *pool {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return &pool{
		congested:     congested,
		isLost:        func(string) bool { return false },
		dialled:       func(*spread.Target, error) {},
		connect:       dialer.DialContext,
		hedgedConnect: dial.Hedged(dialer.DialContext, secondDialDelay),
		now:           now,
		meter:         m,
		idle:          map[idleKey][]*conn{},
	}
}

// get returns a usable idle connection or dials a new one. A connection that last carried a
// call with the same id is not used: a duplicate answer could not be told from the new one.
func (p *pool) get(ctx context.Context, t *spread.Target, u connUse, id string) (*conn, error) {
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
		if c.idleUntil > p.now() && (key.use != useCalls || c.lastCall != id) && isOpenAndEmpty(c.net) {
			return c
		}
		p.drop(c)
	}
}

// isOpenAndEmpty reports whether a connection is open and has no bytes to read: bytes that
// arrive without a request belong to no call.
func isOpenAndEmpty(c net.Conn) bool {
	if other, ok := c.(carriedConn); ok {
		return other.IsReusable()
	}
	tcp, ok := c.(*tcpconn.Conn)
	if !ok {
		return true
	}
	_, err := tcp.Peek()
	return errors.Is(err, unix.EAGAIN)
}

// carriedDialError is the error of a dial through another box.
type carriedDialError struct{ error }

func (e carriedDialError) Unwrap() error { return e.error }

// isCarriedDialError reports whether an error is or wraps a carriedDialError.
func isCarriedDialError(err error) bool {
	var e carriedDialError
	return errors.As(err, &e)
}

// dial opens a connection to a target: over the box's own links, or through another box while
// these are lost.
func (p *pool) dial(ctx context.Context, t *spread.Target) (*conn, error) {
	if !p.isLost(t.Service) {
		return p.dialDirect(ctx, t)
	}
	c, err := p.relay(ctx, t)
	if err != nil {
		return nil, carriedDialError{err}
	}
	return p.wrap(c, t), nil
}

// dialDirect opens a connection to a target over the box's own links.
func (p *pool) dialDirect(ctx context.Context, t *spread.Target) (*conn, error) {
	c, err := p.dialTCP(ctx, t)
	if err != nil {
		return nil, err
	}
	return p.wrap(c, t), nil
}

func (p *pool) wrap(c net.Conn, t *spread.Target) *conn {
	dialled := &conn{net: c, input: p.meter.WrapReader(c), meter: p.meter, target: t, dialledAt: p.now()}
	dialled.reader = bufio.NewReaderSize(dialled, readBuffer)
	return dialled
}

// dialTCP dials a target over the box's own links.
func (p *pool) dialTCP(ctx context.Context, t *spread.Target) (net.Conn, error) {
	limit, connect := dialTimeout, p.hedgedConnect
	if p.congested() {
		limit, connect = congestedDialTimeout, p.connect
	}
	c, err := dial.WithTimeout(connect, limit)(ctx, "tcp", t.Address)
	if err == nil || ctx.Err() == nil {
		p.dialled(t, err)
	}
	if err != nil {
		return nil, err
	}
	limitUnacked(c, unackedLimit)
	if tcp, ok := c.(*net.TCPConn); ok {
		return tcpconn.New(tcp), nil
	}
	return c, nil
}

// limitUnacked limits how long bytes sent on a TCP connection may remain unacknowledged, zero for the
// kernel's own limit.
func limitUnacked(c net.Conn, limit time.Duration) {
	tcp := steady.TCPConn(c)
	if tcp == nil {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

// put keeps a connection for reuse. keep is the idle timeout that the target announced, 0 for
// none.
func (p *pool) put(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdleTimeout
	} else {
		keep = time.Duration(idleTimeoutShare * float64(keep))
	}
	// Another box's links are used only while this box has lost its own.
	isUnneeded := c.isCarried() && !p.isLost(c.target.Service)
	if c.reader.Buffered() > 0 || c.use == useOnce || c.strayAnswers > 0 || isUnneeded {
		p.drop(c)
		return
	}
	c.idleUntil = p.now() + keep
	key := idleKey{c.target.ID, c.use}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

func (p *pool) drop(c *conn) { c.close() }

// dropIdle closes the idle connections to the targets of a service: those through other boxes, or
// those over the box's own links.
func (p *pool) dropIdle(service string, carried bool) {
	p.closeIdle(func(_ idleKey, c *conn) bool { return c.target.Service == service && c.isCarried() == carried })
}

// sweep closes expired idle connections, all those to targets for which keep returns false, and
// those that the box that carries them is about to give up.
func (p *pool) sweep(keep func(target string) bool) {
	now := p.now()
	p.closeIdle(func(key idleKey, c *conn) bool {
		return c.idleUntil <= now || !keep(key.target) || c.isCarried() && !isOpenAndEmpty(c.net)
	})
}

// closeIdle closes the idle connections for which old returns true.
func (p *pool) closeIdle(old func(key idleKey, c *conn) bool) {
	var closed []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if old(key, c) {
				closed = append(closed, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closed {
		p.drop(c)
	}
}
