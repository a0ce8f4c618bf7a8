// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway is the HTTP/1.1 server for calls that are forwarded to targets
// unchanged. It manages each connection itself rather than using a library server,
// since correctness depends on when a connection is closed: an incomplete answer
// must never look complete, and a caller that disconnects must be noticed while its
// call runs.
package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/accept"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/services/forward"
)

const (
	// Defaults for limits that the routing table does not set.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	// bodyReadTimeout is the time within which a request body must arrive.
	bodyReadTimeout = 10 * time.Second
	// stoppingRetryAfter is the Retry-After time of a stopping box; other boxes take the request.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultStopLinger is the StopLinger if the options set none.
	defaultStopLinger = 200 * time.Millisecond
	// closedAtFailure is how many idle connections are closed after an accept that failed.
	closedAtFailure = 32
	// limitLogInterval is the time between two log lines about closed connections beyond MaxConnections.
	limitLogInterval = time.Second
	// defaultWriteTimeout is the WriteTimeout if the options set none. A caller that reads steadily
	// acknowledges nothing for seconds once its window is full: with 4 s, callers that read 16 KB/s were
	// cut.
	defaultWriteTimeout = 20 * time.Second
	// lingerTime and lingerBytes limit what is read from a connection after an answer to a request whose
	// body was not read: closed with unread bytes, it would be reset, and the answer may be lost.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// Translator converts requests of one caller-facing dialect into calls.
type Translator interface {
	// Call builds a call from a request. The error is sent to the caller and must
	// say what to correct.
	Call(h *fasthttp.RequestHeader, body []byte) (*forward.Call, error)
	// RequestID returns the header field that carries the request's ID and its
	// value, to be repeated in refusals; the value is empty if there is none.
	RequestID(h *fasthttp.RequestHeader) (field, value string)
}

// Options configure a Server.
type Options struct {
	Forwarder  *forward.Forwarder
	Translator Translator
	// Limits returns the limits of the active routing table, nil before the first
	// table has arrived.
	Limits func() *statev1.CallerLimits
	Clock  clock.Clock
	Logger *slog.Logger
	// ShouldCloseConnections reports whether connections should be closed after their current answer,
	// to shed load; nil means never.
	ShouldCloseConnections func() bool
	// AwaitRead waits until the link has room to read a part of a long body, or the context is done;
	// nil to read at once.
	AwaitRead func(ctx context.Context)
	// MaxConnections is how many connections of callers may be open at a time, zero for any number.
	// Beyond it a new one takes the place of the one that has been idle for longest, and is closed
	// unread if none is.
	MaxConnections int
	// StopLinger is how long a stopping box waits, after an answer that did not announce the close, for a
	// request that its caller has sent meanwhile; 200 ms if zero.
	StopLinger time.Duration
	// Memory limits the bytes of bodies of requests that are held; nil for no limit.
	Memory *bytebudget.Budget
	// WriteTimeout is how long a write to a caller may make no progress before its call is ended, 20 s if
	// zero.
	WriteTimeout time.Duration
	// BaseContext is the parent context of all calls; canceling it aborts those in progress.
	BaseContext context.Context
}

// Server accepts connections of callers and forwards their calls.
type Server struct {
	opts     Options
	stopping atomic.Bool

	idle  *idleConns
	conns sync.WaitGroup
	// open is the number of connections.
	open  atomic.Int64
	limit limitLog
}

// New returns a server that accepts nothing until Serve is called.
func New(opts Options) *Server {
	if opts.StopLinger <= 0 {
		opts.StopLinger = defaultStopLinger
	}
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	return &Server{opts: opts, idle: newIdleConns()}
}

// Serve accepts connections until the listener is closed and returns the error of
// the listener.
func (s *Server) Serve(l net.Listener) error {
	l = accept.New(l, s.handleFailedAccept)
	for {
		c, err := l.Accept()
		if err != nil {
			return errors.WithStack(err)
		}
		if !s.admit() {
			_ = c.Close()
			continue
		}
		s.conns.Add(1)
		go func() {
			defer s.conns.Done()
			defer s.open.Add(-1)
			s.serveConn(c)
		}()
	}
}

// admit counts a new connection, and reports whether there is room for it.
func (s *Server) admit() bool {
	limit := int64(s.opts.MaxConnections)
	if s.open.Add(1) <= limit || limit == 0 {
		return true
	}
	closedIdle := s.idle.closeLongest(1) > 0
	if !closedIdle {
		s.open.Add(-1)
	}
	if idle, unread, due := s.limit.record(closedIdle, s.opts.Clock.Boot()); due {
		s.opts.Logger.Warn("too many connections of callers", "limit", limit, "closed_idle", idle, "closed_unread", unread)
	}
	return closedIdle
}

// limitLog counts the connections that were closed for the limit between two log lines. Only the
// accept loop uses it.
type limitLog struct {
	idle, unread int
	next         time.Duration
}

// record counts a closed connection, and returns the counts if a line is due.
func (l *limitLog) record(wasIdle bool, now time.Duration) (idle, unread int, due bool) {
	if wasIdle {
		l.idle++
	} else {
		l.unread++
	}
	if now < l.next {
		return 0, 0, false
	}
	idle, unread = l.idle, l.unread
	*l = limitLog{next: now + limitLogInterval}
	return idle, unread, true
}

// handleFailedAccept closes idle connections, so that a process that is short of descriptors has some.
func (s *Server) handleFailedAccept(err error) {
	closed := s.idle.closeLongest(closedAtFailure)
	s.opts.Logger.Warn("accept failed", "outcome", "closed idle connections of callers", "closed", closed, "reason", err.Error())
}

// Stop begins a graceful shutdown: calls in progress may finish, and each further
// answer announces Connection: close. Call CloseIdle afterwards to close the
// connections that are idle.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no call is in progress.
func (s *Server) CloseIdle() {
	s.idle.closeLongest(math.MaxInt)
}

// Wait blocks until all connections are closed or the context is done.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.conns.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// limits returns the limits of the active routing table, with defaults for those it
// does not set.
func (s *Server) limits() *statev1.CallerLimits {
	l := s.opts.Limits()
	if l == nil {
		l = &statev1.CallerLimits{}
	}
	orDefault := func(value uint32, defaultValue int64) uint32 {
		if value > 0 {
			return value
		}
		return uint32(defaultValue)
	}
	return &statev1.CallerLimits{
		MaxHeaderBytes: orDefault(l.GetMaxHeaderBytes(), defaultMaxHeaderBytes),
		MaxBodyBytes:   orDefault(l.GetMaxBodyBytes(), defaultMaxBodyBytes),
		HeaderTimeout:  orDefault(l.GetHeaderTimeout(), defaultHeaderTimeout.Milliseconds()),
		IdleTimeout:    orDefault(l.GetIdleTimeout(), defaultIdleTimeout.Milliseconds()),
	}
}

// connection is one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// writer is the only writer of the connection.
	writer *reply.Conn
	// closeAfter is true if the connection must be closed after the current answer.
	closeAfter bool
	// pipelined is set while bytes of the next request have been read.
	pipelined atomic.Bool
	// late is true if the box was stopping when the current request's turn came.
	late bool
	// call is the ID of the current call.
	call string
}

// serveConn handles the requests of one connection, one after the other, and closes
// it.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	limits := s.limits()
	c := &connection{server: s, conn: conn, reader: bufio.NewReaderSize(conn, int(limits.GetMaxHeaderBytes()))}
	c.writer = reply.NewConn(conn, reply.Options{WriteTimeout: s.opts.WriteTimeout, OnStall: c.dropUnread, CloseAfter: c.shouldClose})
	defer c.logDropped()
	for !c.closeAfter && c.awaitRequest(s.limits()) {
		if !c.handleRequest(s.limits()) {
			return
		}
	}
}

// logDropped logs bytes of a request that were read and are dropped with the connection.
func (c *connection) logDropped() {
	n := c.reader.Buffered()
	if n == 0 {
		return
	}
	c.server.opts.Logger.Warn("connection closed", "outcome", "bytes of a request dropped", "bytes", n,
		"stopping", c.server.stopping.Load(), "announced", c.closeAfter, "caller", c.conn.RemoteAddr().String())
}

// shouldClose reports whether the connection must be closed after the answer whose
// head is being written. A request of which bytes have been read is answered first.
func (c *connection) shouldClose() bool {
	if c.server.shouldClose() && !c.pipelined.Load() {
		c.closeAfter = true
	}
	return c.closeAfter
}

// shouldClose reports whether connections must be closed after their current answer.
func (s *Server) shouldClose() bool {
	return s.stopping.Load() || s.opts.ShouldCloseConnections != nil && s.opts.ShouldCloseConnections()
}

// awaitRequest waits for the first byte of a request. It returns false if none
// arrives within the idle timeout, or soon after the server has begun to stop.
func (c *connection) awaitRequest(limits *statev1.CallerLimits) bool {
	c.late = false
	if c.reader.Buffered() > 0 {
		c.late = c.server.stopping.Load()
		return true
	}
	if c.server.idle.add(c.conn, time.Duration(limits.GetIdleTimeout())*time.Millisecond, c.server.stopping.Load) {
		defer c.server.idle.remove(c.conn)
	} else {
		// The last answer may not have announced the close, so that the caller sends its next request.
		c.late = true
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.opts.StopLinger))
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// handleRequest reads one request and answers it. It returns false if the connection
// must be closed.
func (c *connection) handleRequest(limits *statev1.CallerLimits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Duration(limits.GetHeaderTimeout()) * time.Millisecond))
	h := &fasthttp.RequestHeader{}
	if err := c.readHead(h, int(limits.GetMaxHeaderBytes())); err != nil {
		return c.rejectHead(err)
	}
	c.closeAfter = h.ConnectionClose()
	a := c.writer.Next(string(h.Method()))
	if c.late && expectsContinue(h) {
		// The body, which may come all the same, must not be taken for a request.
		c.closeAfter = true
		return c.refuseLate(a, h)
	}
	held := &bytebudget.Hold{Budget: c.server.opts.Memory}
	defer held.Release()
	body, refusal := c.readBody(a, h, limits, held)
	c.pipelined.Store(c.reader.Buffered() > 0)
	if refusal != nil {
		c.closeAfter = true
		err := c.writeRefusal(a, h, refusal)
		c.lingerClose()
		return err == nil
	}
	if c.late {
		return c.refuseLate(a, h)
	}
	call, err := c.server.opts.Translator.Call(h, body)
	if err != nil {
		return c.writeRefusal(a, h, malformed(err)) == nil
	}
	call.Arrived = c.server.opts.Clock.Boot()
	return c.forwardCall(a, h, call)
}

// setHeadLimit gives the reader a buffer for heads of up to n bytes. What has been read stays: a larger
// buffer is kept while it holds bytes.
func (c *connection) setHeadLimit(n int) {
	read, _ := c.reader.Peek(c.reader.Buffered())
	if n == c.reader.Size() || n < c.reader.Size() && len(read) > 0 {
		return
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(read)), c.conn), n)
	// Later steps look at the number of bytes that are buffered.
	_, _ = c.reader.Peek(len(read))
}

// readHead reads the head of a request, of up to limit bytes. Heads that parsers could interpret in
// different ways are rejected.
func (c *connection) readHead(h *fasthttp.RequestHeader, limit int) error {
	c.setHeadLimit(limit)
	if err := http1.SkipEmptyLine(c.reader); err != nil {
		return err
	}
	head, err := http1.PeekHead(c.reader)
	if err != nil {
		return err
	}
	if len(head) > limit {
		return errors.WithStack(http1.ErrHeadTooLong{MaxBytes: limit})
	}
	if _, err := http1.CheckRequest(head); err != nil {
		return err
	}
	return h.Read(c.reader)
}

// forwardCall forwards the call and cancels it if the caller disconnects meanwhile.
// It returns false if the connection must be closed.
func (c *connection) forwardCall(a *reply.Answer, h *fasthttp.RequestHeader, call *forward.Call) bool {
	ctx, cancel := context.WithCancel(c.server.opts.BaseContext)
	defer cancel()
	c.call = call.ID
	stopWatch := c.watchDisconnect(cancel)
	err := c.server.opts.Forwarder.Serve(ctx, call, a)
	disconnected := stopWatch()
	if disconnected {
		return false
	}
	var refusal *forward.Refusal
	if a.State() == reply.None && errors.As(err, &refusal) {
		err = c.writeRefusal(a, h, refusal)
	}
	return err == nil && a.State() == reply.Ended && !c.closeAfter
}

// watchDisconnect calls cancel as soon as the caller closes its connection. The
// function that it returns ends the watch and reports whether the caller has
// disconnected.
func (c *connection) watchDisconnect(cancel context.CancelFunc) func() bool {
	_ = c.conn.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		c.pipelined.Store(c.reader.Buffered() > 0)
		var timeout net.Error
		disconnected := err != nil && err != bufio.ErrBufferFull && !(errors.As(err, &timeout) && timeout.Timeout())
		if disconnected {
			cancel()
		}
		done <- disconnected
	}()
	return func() bool {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		return <-done
	}
}
