// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay lets an entry box that has lost its links to targets reach them through the
// links of another entry box, in one hop. The other box only carries bytes: who pays, how often
// a call is sent, and where, is decided by the box that has the call, as if it had dialled the
// target itself. So a call is charged, counted and limited once, wherever its bytes pass.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// maxCarried limits the connections that one box carries for others.
	maxCarried = 1024
	// bufferSize is the size of the largest message with bytes of a target.
	bufferSize = 8 << 10
	// stopPoll is the time between looks at the connections that are left during a stop.
	stopPoll = 50 * time.Millisecond
	// settleTime is how long after bytes of a box that does not say when it has sent all no more are expected at
	// the end of a connection: a round trip between regions.
	settleTime = 50 * time.Millisecond
)

// Targets dials targets over the box's own links. The error is an ErrNoPath if the box has
// lost these, and an ErrUnknownTarget for a target that is not registered.
type Targets interface {
	DialTarget(ctx context.Context, id string) (net.Conn, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Targets Targets
	// Meter counts the bytes that are carried: each is received and sent.
	Meter *meter.Meter
	// IsCongested reports whether the box's own link is congested.
	IsCongested func() bool
	// Count counts connections by outcome.
	Count func(outcome string)
}

// Server carries connections to targets for other boxes.
type Server struct {
	opts ServerOptions

	mu         sync.Mutex
	carried    map[*carried]bool
	isStopping bool
}

// carried is a connection that is carried for another box.
type carried struct {
	target net.Conn
	stream ServerStream
	// sending serializes the messages to the other box; isEnded is set once none may be sent any more.
	sending sync.Mutex
	isEnded bool
	// confirmsEnd is set if the other box says when it has sent all of a request.
	confirmsEnd bool
	// mu guards received, the number of bytes of the other box, isWriting, which is set while the last of
	// them are written to the target, heardAt, when they came, and finished, which is set once the other box
	// has sent all.
	mu        sync.Mutex
	received  int64
	isWriting bool
	heardAt   time.Time
	finished  bool
}

// endConfirmer is a connection that tells after its end whether the peer has rejected a part of what was sent
// to it.
type endConfirmer interface {
	ConfirmEnd(sent func() (bytes int64, all bool)) error
}

// ServerStream is the stream of a connection to another box.
type ServerStream interface {
	Receive() (*betweenv1.ConnectRequest, error)
	Send(m *betweenv1.ConnectResponse) error
}

// NewServer returns a server without connections.
func NewServer(opts ServerOptions) *Server {
	return &Server{opts: opts, carried: map[*carried]bool{}}
}

// Outcomes of connections in metrics.
const (
	outcomeOpened  = "opened"
	outcomeRefused = "refused"
)

// Serve opens a connection to the target that the first message names, and carries its bytes
// until the stream or the connection ends. The error has the codes of RelayService.
func (s *Server) Serve(ctx context.Context, stream ServerStream) error {
	first, err := stream.Receive()
	if err != nil {
		return errors.WithStack(err)
	}
	c, err := s.open(ctx, first, stream)
	if err != nil {
		s.opts.Count(outcomeRefused)
		return toConnect(err)
	}
	s.opts.Count(outcomeOpened)
	defer s.close(c)
	stop := context.AfterFunc(ctx, func() { _ = c.target.Close() })
	defer stop()
	if err := c.send(&betweenv1.ConnectResponse{}); err != nil {
		return errors.WithStack(err)
	}
	go s.upload(c)
	return s.download(c)
}

// open dials the target that the first message names and adds the connection to those that are carried.
func (s *Server) open(ctx context.Context, first *betweenv1.ConnectRequest, stream ServerStream) (*carried, error) {
	if s.opts.IsCongested() {
		return nil, errors.WithStack(ErrBusy{Reason: "its link is congested"})
	}
	if err := s.checkRoom(); err != nil {
		return nil, err
	}
	conn, err := s.opts.Targets.DialTarget(ctx, first.GetTarget())
	if err != nil {
		return nil, err
	}
	c := &carried{target: conn, stream: stream, confirmsEnd: first.GetConfirmsEnd()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopping {
		_ = conn.Close()
		return nil, errors.WithStack(ErrBusy{Reason: "it is stopping"})
	}
	s.carried[c] = true
	return c, nil
}

// checkRoom returns an ErrBusy if no more connections are carried.
func (s *Server) checkRoom() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isStopping:
		return errors.WithStack(ErrBusy{Reason: "it is stopping"})
	case len(s.carried) >= maxCarried:
		return errors.WithStack(ErrBusy{Reason: "it carries too many"})
	default:
		return nil
	}
}

func (s *Server) close(c *carried) {
	_ = c.target.Close()
	c.endSending()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.carried, c)
}

func (c *carried) send(m *betweenv1.ConnectResponse) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	if c.isEnded {
		return errors.WithStack(net.ErrClosed)
	}
	return c.stream.Send(m)
}

// endSending waits for a message that is being sent. Nothing may be sent on a stream whose handler has returned.
func (c *carried) endSending() {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.isEnded = true
}

// upload writes the other box's bytes to the target until the stream ends, which closes the
// connection, or a write fails. What the target has sent before that can still be read.
func (s *Server) upload(c *carried) {
	for {
		m, err := c.stream.Receive()
		if err != nil {
			_ = c.target.Close()
			return
		}
		s.opts.Meter.AddReceived(len(m.GetData()))
		s.opts.Meter.AddSent(len(m.GetData()))
		if m.GetFinished() {
			c.finish()
		}
		if err := c.write(m.GetData()); err != nil {
			return
		}
	}
}

func (c *carried) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// write writes bytes of the other box to the target.
func (c *carried) write(p []byte) error {
	c.record(len(p), true)
	defer c.record(0, false)
	_, err := c.target.Write(p)
	return errors.WithStack(err)
}

func (c *carried) record(received int, isWriting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(received)
	c.isWriting, c.heardAt = isWriting, time.Now()
}

// sent returns how many bytes of the other box have come, and whether these are all. Those of a box that does not
// say so are taken for all once no more have come for settleTime.
func (c *carried) sent() (bytes int64, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmsEnd {
		return c.received, c.finished && !c.isWriting
	}
	return c.received, !c.isWriting && time.Since(c.heardAt) >= settleTime
}

// end returns the error that tells the other box how its connection has ended.
func (c *carried) end(err error) error {
	if confirmer, ok := c.target.(endConfirmer); ok && err == io.EOF {
		err = c.confirmEnd(confirmer)
	}
	if err == nil || err == io.EOF {
		return nil
	}
	return connect.NewError(connect.CodeAborted, errors.WithMessage(err, "the connection to the target broke off"))
}

// confirmEnd tells the other box of the orderly end of the target, and waits for all that it sends.
func (c *carried) confirmEnd(confirmer endConfirmer) error {
	if c.confirmsEnd {
		if err := c.send(&betweenv1.ConnectResponse{Ended: true}); err != nil {
			return errors.WithStack(err)
		}
	}
	return confirmer.ConfirmEnd(c.sent)
}

// download sends the target's bytes to the other box until the target ends the connection.
func (s *Server) download(c *carried) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := c.target.Read(buffer)
		if n > 0 {
			s.opts.Meter.AddReceived(n)
			s.opts.Meter.AddSent(n)
			if sendErr := c.send(&betweenv1.ConnectResponse{Data: buffer[:n]}); sendErr != nil {
				return errors.WithStack(sendErr)
			}
		}
		if err != nil {
			return c.end(err)
		}
	}
}

// Carried returns the number of connections that are carried.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.carried)
}

// Stop accepts no more connections and tells the other boxes to give the open ones up after
// their current request.
func (s *Server) Stop() {
	s.mu.Lock()
	s.isStopping = true
	open := make([]*carried, 0, len(s.carried))
	for c := range s.carried {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		go func() { _ = c.send(&betweenv1.ConnectResponse{Closing: true}) }()
	}
}

// Wait waits until no connection is carried or the context is done.
func (s *Server) Wait(ctx context.Context) {
	for s.Carried() > 0 && ctx.Err() == nil {
		periodic.Sleep(ctx, stopPoll)
	}
}
