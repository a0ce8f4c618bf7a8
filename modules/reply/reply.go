// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reply writes the answers of one connection to its caller. An Answer owns all
// that a caller gets for one request: it has one head, bytes of one body and one end, in
// this order. What its state doesn't allow is never written, and an answer that could not
// be finished can't be ended any more, so that no reader takes it for whole.
package reply

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// bufferSize is the size of a connection's write buffer, in bytes.
const bufferSize = 4 << 10

// Field is one field of a head.
type Field struct {
	Name  string
	Value string
}

// State is how far an answer has gone.
type State int

// States of an answer.
const (
	// None says that nothing was written.
	None State = iota
	// Begun says that a head was written, and perhaps a part of the body.
	Begun
	// Ended says that the whole answer was written.
	Ended
	// Broken says that the answer can't become whole: its connection must be closed.
	Broken
)

func (s State) String() string {
	return [...]string{"nothing sent", "begun", "ended", "broken off"}[s]
}

// ErrState says that a step was asked for that the state of an answer doesn't allow.
type ErrState struct {
	Step  string
	State State
}

func (e ErrState) Error() string {
	return fmt.Sprintf("an answer that is %q can't %s: close its connection", e.State, e.Step)
}

// IsErrState tells whether an error is a step that an answer's state doesn't allow.
func IsErrState(err error) bool {
	var e ErrState
	return errors.As(err, &e)
}

// Options configure a Conn.
type Options struct {
	// WriteTime is how long a caller may leave bytes unread.
	WriteTime time.Duration
	// Last tells, as a head is written, whether the connection closes after its answer.
	Last func() bool
}

// Conn writes to one connection. It is not safe for concurrent use.
type Conn struct {
	net  net.Conn
	w    *bufio.Writer
	opts Options
	last *Answer
}

// NewConn returns the writer of a connection.
func NewConn(c net.Conn, opts Options) *Conn {
	return &Conn{net: c, w: bufio.NewWriterSize(c, bufferSize), opts: opts}
}

// Next returns the answer to the next request, of a method. The answer before must have
// ended: else nothing can be written in this one's place.
func (c *Conn) Next(method string) *Answer {
	a := &Answer{conn: c, head: method == http.MethodHead}
	if c.last != nil && c.last.state != Ended {
		a.state = Broken
	}
	c.last = a
	return a
}

// Answer is the answer to one request.
type Answer struct {
	conn  *Conn
	state State
	// head says that the request wants no body.
	head bool
	// bodyless says that no body follows, chunked that it comes in chunks; else left is
	// what is still due of it, in bytes.
	bodyless bool
	chunked  bool
	left     int
}

// State returns how far the answer has gone.
func (a *Answer) State() State { return a.state }

// Continue tells the caller to send the body of its request.
func (a *Answer) Continue() error {
	if a.state != None {
		return a.refuse("ask for the request's body")
	}
	a.conn.limit()
	_, _ = a.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return a.flush()
}

// Begin writes the head; a negative length means that it is not known. A head that not
// every reader takes the same way is an ErrHead, and nothing is written.
func (a *Answer) Begin(status int, fields []Field, length int) error {
	if a.state != None {
		return a.refuse("have another head")
	}
	if err := CheckHead(status, fields); err != nil {
		return err
	}
	a.state = Begun
	a.bodyless = a.head || status == http.StatusNoContent || status == http.StatusNotModified
	a.chunked, a.left = length < 0, max(0, length)
	a.conn.limit()
	a.statusLine(status)
	for _, f := range fields {
		a.field(f.Name, f.Value)
	}
	switch {
	case status == http.StatusNoContent:
	case a.chunked:
		a.field("Transfer-Encoding", "chunked")
	default:
		a.field("Content-Length", strconv.Itoa(length))
	}
	if a.conn.opts.Last() {
		a.field("Connection", "close")
	}
	_, err := a.conn.w.WriteString("\r\n")
	return a.broken(err)
}

func (a *Answer) statusLine(status int) {
	w := a.conn.w
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(status))
	_, _ = w.WriteString("\r\n")
}

func (a *Answer) field(name, value string) {
	w := a.conn.w
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// Write sends bytes of the body at once. An answer without a body passes over them.
func (a *Answer) Write(p []byte) error {
	if a.state != Begun {
		return a.refuse("have bytes of its body")
	}
	if len(p) == 0 || a.bodyless {
		return a.flush()
	}
	a.conn.limit()
	if a.chunked {
		_, err := httputil.NewChunkedWriter(a.conn.w).Write(p)
		if err != nil {
			return a.broken(err)
		}
		return a.flush()
	}
	if len(p) > a.left {
		return a.refuse("be longer than its length")
	}
	a.left -= len(p)
	if _, err := a.conn.w.Write(p); err != nil {
		return a.broken(err)
	}
	return a.flush()
}

// End says that the answer is whole.
func (a *Answer) End() error {
	if a.state != Begun {
		return a.refuse("end")
	}
	if a.left > 0 && !a.bodyless {
		return a.refuse("end before its length")
	}
	if a.chunked && !a.bodyless {
		_, _ = a.conn.w.WriteString("0\r\n\r\n")
	}
	if err := a.flush(); err != nil {
		return err
	}
	a.state = Ended
	return nil
}

// Whole writes a whole answer.
func (a *Answer) Whole(status int, fields []Field, body []byte) error {
	if err := a.Begin(status, fields, len(body)); err != nil {
		return err
	}
	if err := a.Write(body); err != nil {
		return err
	}
	return a.End()
}

func (a *Answer) flush() error { return a.broken(a.conn.w.Flush()) }

// broken notes that bytes could not be sent.
func (a *Answer) broken(err error) error {
	if err == nil {
		return nil
	}
	a.state = Broken
	return errors.WithStack(err)
}

// refuse notes a step that the state doesn't allow: whatever was meant, what the caller
// has is not the whole answer. One that has ended stays whole.
func (a *Answer) refuse(step string) error {
	err := errors.WithStack(ErrState{Step: step, State: a.state})
	if a.state != Ended {
		a.state = Broken
	}
	return err
}

// limit gives the caller time for what is written next.
func (c *Conn) limit() { _ = c.net.SetWriteDeadline(time.Now().Add(c.opts.WriteTime)) }
