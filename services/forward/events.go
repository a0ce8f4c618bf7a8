// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"strconv"
	"time"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/http1"
)

// eventSplitter splits a stream into complete server-sent events, so that the caller never gets
// a partial one and the stream can be resumed at another target. Anything that is not a valid
// event of the run is a fault: neither it nor anything after it is relayed.
//
// An event is a block of lines that ends with an empty line. One of its fields is a decimal id
// that must follow the previous one. A block of comments has no id. Only the first events of a
// target may repeat events that the caller has, each once, because the target may not know what the
// caller received.
type eventSplitter struct {
	pending []byte
	// last is the id of the latest complete event, -1 for none.
	last int64
	// count is the number of complete events so far.
	count uint64
	// advanced is set once the current target has sent a new event.
	advanced bool
	// repeated is the id of the latest event that was skipped, -1 for none of the current target.
	repeated int64
	// fault is set once invalid bytes arrived.
	fault bool
	// maxEvent limits the size of an event in bytes, defaultMaxEvent if zero.
	maxEvent int
	// hold counts the pending bytes beyond smallEvent.
	hold bytebudget.Hold
	// now is the boot clock, by which comments are passed on; nil to pass all of them on.
	now func() time.Duration
	// comments and commentBytes count the comments since the latest event, and nextComment is
	// when one may be passed on again.
	comments, commentBytes int
	nextComment            time.Duration
	// blocks counts the complete events of the current target, with those that were skipped.
	blocks uint64
	// logAnomaly is called with the first invalid bytes; may be nil.
	logAnomaly func(block []byte)
}

var (
	eventEnd       = []byte("\n\n")
	idField        = []byte("id")
	dataField      = []byte("data")
	forbiddenBytes = "\r\x00"
)

const (
	// defaultMaxEvent limits the size of an event in bytes, so that a target that never ends one
	// can't exhaust the memory of the box.
	defaultMaxEvent = 1 << 20
	// maxCommentBytes limits the comments between two events in bytes. Comments keep a connection
	// alive; a few bytes every second are enough for that.
	maxCommentBytes = 64 << 10
	// smallEvent is the size in bytes up to which an incomplete event is not counted as held: most
	// events are shorter.
	smallEvent = 16 << 10
	// commentInterval is the least time between two comments that are passed on. It is shorter than
	// any time after which a proxy or a caller takes a quiet connection for dead.
	commentInterval = time.Second
)

// startTarget prepares for the stream of the next target and discards the partial event of the
// previous one.
func (e *eventSplitter) startTarget() {
	e.pending, e.advanced, e.fault, e.repeated = nil, false, false, -1
	e.hold.Release()
	e.comments, e.commentBytes, e.blocks = 0, 0, 0
}

// eventLimit returns the greatest size of an event in bytes.
func (e *eventSplitter) eventLimit() int {
	if e.maxEvent == 0 {
		return defaultMaxEvent
	}
	return e.maxEvent
}

// isTooLong reports whether the pending bytes, which no separator ends yet, exceed what an event or
// the comments between two events may have, or the memory that is left for them.
func (e *eventSplitter) isTooLong() bool {
	if len(e.pending) > e.eventLimit() || !e.countPending() {
		return true
	}
	return e.commentBytes+len(e.pending) > maxCommentBytes && isComment(e.pending)
}

// countPending counts the pending bytes as held, and reports whether there is room for them.
func (e *eventSplitter) countPending() bool {
	large := max(0, len(e.pending)-smallEvent)
	if large > e.hold.Size() {
		return e.hold.Grow(large - e.hold.Size())
	}
	e.hold.ShrinkTo(large)
	return true
}

// isComment reports whether all lines of a block, the last of which may be incomplete, are comments.
func isComment(block []byte) bool {
	for line := range bytes.SplitSeq(block, eventEnd[:1]) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// pendingComments returns the number of comment lines that have arrived since the last event or block of
// comments, zero if anything else has.
func (e *eventSplitter) pendingComments() int {
	if !bytes.HasSuffix(e.pending, eventEnd[:1]) || !isComment(e.pending) {
		return 0
	}
	return bytes.Count(e.pending, eventEnd[:1])
}

// acceptsComment reports whether a block of comments is to be relayed. It sets the fault if there
// are too many between two events.
func (e *eventSplitter) acceptsComment(block []byte) bool {
	e.comments++
	e.commentBytes += len(block)
	if e.commentBytes > maxCommentBytes {
		e.fail(block)
		return false
	}
	if e.now == nil {
		return true
	}
	now := e.now()
	if now < e.nextComment {
		return false
	}
	e.nextComment = now + commentInterval
	return true
}

// recordEvent counts a complete event, relayed or skipped.
func (e *eventSplitter) recordEvent() {
	e.blocks++
	e.comments, e.commentBytes = 0, 0
}

// split adds bytes and returns the new complete events; events up to the last id are skipped.
// The result is valid until the next call.
func (e *eventSplitter) split(p []byte) []byte {
	if e.fault {
		return nil
	}
	// A separator that was not in the pending bytes starts at their last byte at the earliest.
	from := max(0, len(e.pending)-1)
	e.pending = append(e.pending, p...)
	var out []byte
	for ; ; from = 0 {
		at := bytes.Index(e.pending[from:], eventEnd)
		if at < 0 {
			if e.isTooLong() {
				e.fail(e.pending)
			}
			return out
		}
		block := e.pending[:from+at+len(eventEnd)]
		fresh := e.accepts(block)
		if e.fault {
			return out
		}
		if fresh {
			out = append(out, block...)
		}
		e.pending = e.pending[len(block):]
	}
}

// accepts reports whether a block is to be relayed. It sets the fault on an invalid one.
func (e *eventSplitter) accepts(block []byte) bool {
	id, kind := readBlock(block)
	switch {
	case kind == blockComment:
		return e.acceptsComment(block)
	case kind == blockInvalid || len(block) > e.eventLimit()+len(eventEnd):
		e.fail(block)
		return false
	case id <= e.last && !e.advanced && id > e.repeated:
		e.repeated = id
		e.recordEvent()
		return false
	case e.last >= 0 && id != e.last+1:
		e.fail(block)
		return false
	}
	e.last, e.advanced = id, true
	e.count++
	e.recordEvent()
	return true
}

func (e *eventSplitter) fail(block []byte) {
	e.fault = true
	if e.logAnomaly != nil {
		e.logAnomaly(block)
	}
}

// blockKind classifies a block of lines.
type blockKind int

const (
	blockInvalid blockKind = iota
	blockEvent
	blockComment
)

// readBlock returns the kind of a block, and the id if it is an event. A carriage return or a
// NUL makes it invalid because parsers disagree on where lines end then.
func readBlock(block []byte) (id int64, kind blockKind) {
	if bytes.ContainsAny(block, forbiddenBytes) {
		return 0, blockInvalid
	}
	kind = blockComment
	for line := range bytes.SplitSeq(block, eventEnd[:1]) {
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == 0:
		case !isFieldName(name) || !found && !bytes.Equal(name, dataField):
			return 0, blockInvalid
		case !bytes.Equal(name, idField):
			if kind == blockComment {
				kind = blockInvalid
			}
		default:
			digits := bytes.TrimPrefix(value, []byte(" "))
			if kind == blockEvent || !http1.IsNumber(digits) {
				return 0, blockInvalid
			}
			// IsNumber admits only digits, and few enough to fit.
			id, _ = strconv.ParseInt(string(digits), 10, 64)
			kind = blockEvent
		}
	}
	return id, kind
}

// isFieldName reports whether name is a valid field name of an event.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return true
}
