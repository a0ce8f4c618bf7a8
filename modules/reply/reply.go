// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reply writes the answers of one connection to its caller. An Answer controls
// everything that is written for one request: one head, the bytes of one body and one
// end, in this order. A step that its state does not allow writes nothing, and an answer
// that could not be completed can no longer be ended, so that no client takes it for
// complete.
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

	"havenwinch.dev/havenwinch/modules/steady"
)

// bufferSize is the size of a connection's write buffer, in bytes.
const bufferSize = 4 << 10

// Field is one field of a head.
type Field struct {
	Name  string
	Value string
}

// State is the progress of an answer.
type State int

// States of an answer.
const (
	// None means that nothing has been written, other than 100 Continue.
	None State = iota
	// Begun means that the head has been written, and possibly a part of the body.
	Begun
	// Ended means that the complete answer has been written.
	Ended
	// Broken means that the answer can't be completed: its connection must be closed.
	Broken
)

func (s State) String() string {
	return [...]string{"nothing sent", "begun", "ended", "broken off"}[s]
}

// ErrState is the error for a step that the state of an answer does not allow.
type ErrState struct {
	Step  string
	State State
}

func (e ErrState) Error() string {
	return fmt.Sprintf("an answer in state %q can't %s: close its connection", e.State, e.Step)
}

// IsErrState reports whether an error is an ErrState.
func IsErrState(err error) bool {
	var e ErrState
	return errors.As(err, &e)
}

// Options configure a Conn.
type Options struct {
	// WriteTimeout is how long a write may make no progress because the caller does not read.
	WriteTimeout time.Duration
	// OnStall is called when a write has failed for that, with the number of bytes of it that are left
	// and of those that the kernel holds; may be nil.
	OnStall func(left int)
	// CloseAfter is called when a head is written, and reports whether the connection will be
	// closed after this answer.
	CloseAfter func() bool
}

// Conn writes the answers of one connection. It is not safe for concurrent use.
type Conn struct {
	w       *bufio.Writer
	opts    Options
	current *Answer
}

// NewConn returns a Conn that writes to c. The caller remains responsible for closing c.
func NewConn(c net.Conn, opts Options) *Conn {
	tcp := steady.TCPConn(c)
	w := &steady.Writer{Conn: c, Timeout: opts.WriteTimeout, Unsent: func() int { return steady.Unsent(tcp) }, OnStall: func(left int) bool {
		if opts.OnStall != nil {
			opts.OnStall(left)
		}
		return false
	}}
	return &Conn{w: bufio.NewWriterSize(w, bufferSize), opts: opts}
}

// Next returns the answer to the next request, which has the given method. If the
// previous answer has not ended, the new one is Broken and nothing can be written to it.
func (c *Conn) Next(method string) *Answer {
	a := &Answer{conn: c, isHead: method == http.MethodHead}
	if c.current != nil && c.current.state != Ended {
		a.state = Broken
	}
	c.current = a
	return a
}

// Answer is the answer to one request.
type Answer struct {
	conn  *Conn
	state State
	// isHead is true if the request's method is HEAD.
	isHead bool
	// bodyless means that no body follows the head, chunked that it is sent in chunks.
	// Otherwise remaining is the number of bytes still to be written.
	bodyless  bool
	chunked   bool
	remaining int
}

// State returns the progress of the answer.
func (a *Answer) State() State { return a.state }

// Continue writes 100 Continue, which tells the caller to send the body of its request.
func (a *Answer) Continue() error {
	if a.state != None {
		return a.rejectStep("ask for the request's body")
	}
	_, _ = a.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return a.flush()
}

// Begin writes the head. A negative length means that the length of the body is not
// known; the body is then sent in chunks. An invalid head is an ErrInvalidHead, and nothing is
// written.
func (a *Answer) Begin(status int, fields []Field, length int) error {
	if a.state != None {
		return a.rejectStep("begin")
	}
	if err := CheckHead(status, fields); err != nil {
		return err
	}
	a.state = Begun
	a.bodyless = a.isHead || status == http.StatusNoContent || status == http.StatusNotModified
	a.chunked, a.remaining = length < 0, max(0, length)
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
	if a.conn.opts.CloseAfter() {
		a.field("Connection", "close")
	}
	_, err := a.conn.w.WriteString("\r\n")
	return a.markBroken(err)
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

// Write sends bytes of the body without buffering them. They are dropped if the answer
// has no body, as with HEAD, 204 and 304.
func (a *Answer) Write(p []byte) error {
	if a.state != Begun {
		return a.rejectStep("write to its body")
	}
	if len(p) == 0 || a.bodyless {
		return a.flush()
	}
	if a.chunked {
		_, err := httputil.NewChunkedWriter(a.conn.w).Write(p)
		if err != nil {
			return a.markBroken(err)
		}
		return a.flush()
	}
	if len(p) > a.remaining {
		return a.rejectStep("exceed its Content-Length")
	}
	a.remaining -= len(p)
	if _, err := a.conn.w.Write(p); err != nil {
		return a.markBroken(err)
	}
	return a.flush()
}

// End completes the answer. It fails if bytes of the announced length are missing.
func (a *Answer) End() error {
	if a.state != Begun {
		return a.rejectStep("end")
	}
	if a.remaining > 0 && !a.bodyless {
		return a.rejectStep("end short of its Content-Length")
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

// Send writes a complete answer.
func (a *Answer) Send(status int, fields []Field, body []byte) error {
	if err := a.Begin(status, fields, len(body)); err != nil {
		return err
	}
	if err := a.Write(body); err != nil {
		return err
	}
	return a.End()
}

func (a *Answer) flush() error { return a.markBroken(a.conn.w.Flush()) }

// markBroken sets the state to Broken if err is not nil, and returns err.
func (a *Answer) markBroken(err error) error {
	if err == nil {
		return nil
	}
	a.state = Broken
	return errors.WithStack(err)
}

// rejectStep returns an ErrState. The state becomes Broken, since what the caller has
// received is not the intended answer, unless the answer has already ended.
func (a *Answer) rejectStep(step string) error {
	err := errors.WithStack(ErrState{Step: step, State: a.state})
	if a.state != Ended {
		a.state = Broken
	}
	return err
}
