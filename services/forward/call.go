// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package forward passes calls through to registered targets without changing
// them, and their answers back: it finds the route and the payer, reserves the
// most that a call can cost, chooses a target, sends the call, and goes on at
// another target only where that is allowed.
package forward

import (
	"fmt"
	"time"

	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/structs"
)

// Field is one header field.
type Field = reply.Field

// Dialect names the header fields in which callers, targets and this system
// tell each other about a call. An empty name is a field that is not used.
type Dialect struct {
	// RequestID names the call; targets echo it.
	RequestID string
	// Deadline holds the milliseconds that are left.
	Deadline string
	// Organisation tells a target who pays.
	Organisation string
	// ExpectTarget holds the id of the one target that may run the call.
	ExpectTarget string
	// NotRun marks an answer whose target has not run the call.
	NotRun string
	// Signature is in every answer that a target has made.
	Signature string
	// LastEvent holds the id of the last event that was received.
	LastEvent string
	// Priority is the call's rank at an engine, zero first.
	Priority string
	// Fetch holds the address of an engine that keeps a part of the prompt; the
	// target copies it from there in place of reading it.
	Fetch string
	// Limit holds the requests a second that a target takes from all boxes together.
	Limit string
	// ReadLimit reads that field's text; nil where targets name no limits.
	ReadLimit func(text string) (perSecond float64, err error)
	// Resume names the copy of a stopped run's memory from which the target goes
	// on with it.
	Resume string
}

// Call is a caller's call, checked, with its own copies of all bytes.
type Call struct {
	ID     string
	Method string
	// URI is the request target as it was sent.
	URI  string
	Host string
	Path string
	// Fields are all fields that are passed on.
	Fields []Field
	Body   []byte
	// Key is the caller's access key.
	Key string
	// Patience is how long the caller waits, zero when it did not say.
	Patience time.Duration
	// LastEvent is the id of the last event that the caller has, -1 for none.
	LastEvent int64
	// Input and Output are the tokens of the prompt and the most generated.
	Input  uint64
	Output uint64
	// Own are the tokens of the prompt's last part, which no other call shares
	// but those of its session.
	Own uint64
	// Affinity is the hash of the part of the prompt that others share.
	Affinity uint64
	// Arrived is the boot time at which the call was read.
	Arrived time.Duration
	// System is set for a question or an order of this system's own.
	System bool
	// Continues is set while the call goes on with a run that was stopped for it: it
	// can't be refused any more.
	Continues bool
}

// name returns the call's id, of an order its path.
func (c *Call) name() string {
	if c.System {
		return c.URI
	}
	return c.ID
}

// Sink is the caller's end of an answer. A step that the answer's state doesn't allow
// is an error and writes nothing: see reply.Answer.
type Sink interface {
	// Begin sends the head; a negative length means that it is not known.
	Begin(status int, fields []Field, length int) error
	// Write sends bytes of the body at once.
	Write(p []byte) error
	// End says that the answer is whole.
	End() error
}

// Refusal is an answer of this system's own.
type Refusal struct {
	Kind    structs.Kind
	Message string
	Run     structs.Run
	// RetryAfter is zero when asking again does not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Message }

// errBegun says that an answer had begun and could not be made whole; the
// caller's connection must be closed so that it does not look complete.
type errBegun struct{ cause error }

func (e errBegun) Error() string { return fmt.Sprintf("the answer broke off: %v", e.cause) }
