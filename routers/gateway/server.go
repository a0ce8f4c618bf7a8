// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway is the HTTP interface for calls that are passed through. It
// keeps each connection's life in its own hands, since the promises depend on
// when a connection is closed: an answer that is not whole must never look so,
// and a caller that leaves must be noticed while its call runs.
package gateway

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/services/forward"
)

const (
	// Limits until the routing table names others.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
	// bodyTime is how long a body may take.
	bodyTime = 10 * time.Second
	// writeTime is how long a caller may leave bytes unread.
	writeTime = 20 * time.Second
)

// Translator reads calls in the language of the callers.
type Translator interface {
	// Call makes a call of a request; an error says what is wrong with it.
	Call(h *fasthttp.RequestHeader, body []byte) (*forward.Call, error)
	// RequestID returns the request's own name, for refusals.
	RequestID(h *fasthttp.RequestHeader) (field, value string)
}

// Options configure a Server.
type Options struct {
	Forwarder  *forward.Forwarder
	Translator Translator
	// Limits returns the limits of the table in force, nil before the first.
	Limits func() *statev1.CallerLimits
	Clock  clock.Clock
	Logger *slog.Logger
	// Sheds tells whether connections should close after their answers; nil for
	// never.
	Sheds func() bool
	// Work ends when calls in progress must end.
	Work context.Context
}

// Server serves callers.
type Server struct {
	opts     Options
	stopping atomic.Bool

	mu    sync.Mutex
	idle  map[net.Conn]bool
	conns sync.WaitGroup
}

// New returns a server.
func New(opts Options) *Server {
	return &Server{opts: opts, idle: map[net.Conn]bool{}}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return errors.WithStack(err)
		}
		s.conns.Add(1)
		go func() {
			defer s.conns.Done()
			s.handle(c)
		}()
	}
}

// Stop lets calls in progress end and tells callers with each answer that the
// connection closes. CloseIdle then closes what rests.
func (s *Server) Stop() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no call is in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Wait returns once no connection is open, or when the context ends.
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

func (s *Server) limits() *statev1.CallerLimits {
	l := s.opts.Limits()
	if l == nil {
		l = &statev1.CallerLimits{}
	}
	or := func(value uint32, otherwise int64) uint32 {
		if value > 0 {
			return value
		}
		return uint32(otherwise)
	}
	return &statev1.CallerLimits{
		MaxHeaderBytes: or(l.GetMaxHeaderBytes(), defaultHeaderBytes),
		MaxBodyBytes:   or(l.GetMaxBodyBytes(), defaultBodyBytes),
		HeaderTimeout:  or(l.GetHeaderTimeout(), defaultHeaderTime.Milliseconds()),
		IdleTimeout:    or(l.GetIdleTimeout(), defaultIdleTime.Milliseconds()),
	}
}

// session is one connection of a caller.
type session struct {
	s      *Server
	conn   net.Conn
	reader *bufio.Reader
	// replies is all that writes to the connection.
	replies *reply.Conn
	// last says that the connection closes after this answer.
	last bool
}

func (s *Server) handle(c net.Conn) {
	defer c.Close()
	limits := s.limits()
	ss := &session{s: s, conn: c, reader: bufio.NewReaderSize(c, int(limits.GetMaxHeaderBytes()))}
	ss.replies = reply.NewConn(c, reply.Options{WriteTime: writeTime, Last: ss.closes})
	for !ss.last && ss.await(s.limits()) {
		if !ss.exchange(s.limits()) {
			return
		}
	}
}

// closes tells whether the connection closes after the answer whose head is written now.
func (ss *session) closes() bool {
	if ss.s.stopping.Load() || ss.s.opts.Sheds != nil && ss.s.opts.Sheds() {
		ss.last = true
	}
	return ss.last
}

// await waits for the first byte of a request.
func (ss *session) await(limits *statev1.CallerLimits) bool {
	if !ss.s.rest(ss.conn, time.Duration(limits.GetIdleTimeout())*time.Millisecond) {
		return false
	}
	defer ss.s.wake(ss.conn)
	_, err := ss.reader.Peek(1)
	return err == nil
}

// rest notes that no call is in progress on a connection, and for how long it
// may stay so; false when the server stops. The head of the last answer may
// have been sent before the stop began; a request that crosses the close is not
// read and can be sent again.
func (s *Server) rest(c net.Conn, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.idle[c] = true
	_ = c.SetReadDeadline(time.Now().Add(limit))
	return true
}

func (s *Server) wake(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
}

// exchange reads one request and answers it; false ends the connection.
func (ss *session) exchange(limits *statev1.CallerLimits) bool {
	_ = ss.conn.SetReadDeadline(time.Now().Add(time.Duration(limits.GetHeaderTimeout()) * time.Millisecond))
	h := &fasthttp.RequestHeader{}
	if err := ss.readHead(h); err != nil {
		return ss.badHeader(err)
	}
	ss.last = h.ConnectionClose()
	a := ss.replies.Next(string(h.Method()))
	body, refusal := ss.readBody(a, h, limits)
	if refusal != nil {
		ss.last = true
		return ss.refuse(a, h, refusal) == nil
	}
	call, err := ss.s.opts.Translator.Call(h, body)
	if err != nil {
		return ss.refuse(a, h, malformed(err)) == nil
	}
	call.Arrived = ss.s.opts.Clock.Boot()
	return ss.serve(a, h, call)
}

// readHead reads the head of a request that every reader takes the same way.
func (ss *session) readHead(h *fasthttp.RequestHeader) error {
	if err := http1.SkipLine(ss.reader); err != nil {
		return err
	}
	head, err := http1.Peek(ss.reader)
	if err != nil {
		return err
	}
	if _, err := http1.CheckRequest(head); err != nil {
		return err
	}
	return h.Read(ss.reader)
}

// serve has the call passed through while it watches the caller; false ends the
// connection.
func (ss *session) serve(a *reply.Answer, h *fasthttp.RequestHeader, call *forward.Call) bool {
	ctx, cancel := context.WithCancel(ss.s.opts.Work)
	defer cancel()
	stop := ss.watch(cancel)
	err := ss.s.opts.Forwarder.Serve(ctx, call, a)
	gone := stop()
	if gone {
		return false
	}
	var refusal *forward.Refusal
	if a.State() == reply.None && errors.As(err, &refusal) {
		err = ss.refuse(a, h, refusal)
	}
	return err == nil && a.State() == reply.Ended && !ss.last
}

// watch notices when the caller closes its connection; what it returns ends
// the watch and tells whether the caller has gone.
func (ss *session) watch(gone context.CancelFunc) func() bool {
	_ = ss.conn.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	go func() {
		_, err := ss.reader.Peek(ss.reader.Buffered() + 1)
		var timeout net.Error
		left := err != nil && err != bufio.ErrBufferFull && !(errors.As(err, &timeout) && timeout.Timeout())
		if left {
			gone()
		}
		done <- left
	}()
	return func() bool {
		_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
		return <-done
	}
}
