// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"strconv"

	"havenwinch.dev/havenwinch/modules/http1"
)

// eventSplitter splits a stream into complete server-sent events, so that the caller never gets
// a partial one and the stream can be resumed at another target. Anything that is not a valid
// event of the run is a fault: neither it nor anything after it is relayed.
//
// An event is a block of lines that ends with an empty line. One of its fields is a decimal id
// that must follow the previous one. A block of comments has no id. Only the first events of a
// target may repeat events that the caller has, because the target may not know what the caller
// received.
type eventSplitter struct {
	pending []byte
	// last is the id of the latest complete event, -1 for none.
	last int64
	// count is the number of complete events so far.
	count uint64
	// advanced is set once the current target has sent a new event.
	advanced bool
	// fault is set once invalid bytes arrived.
	fault bool
	// logAnomaly is called with the first invalid bytes; may be nil.
	logAnomaly func(block []byte)
}

var (
	eventEnd       = []byte("\n\n")
	idField        = []byte("id")
	dataField      = []byte("data")
	forbiddenBytes = "\r\x00"
)

// maxEventSize limits the size of an event in bytes, so that a target that never ends one can't
// exhaust the memory of the box.
const maxEventSize = 1 << 20

// startTarget prepares for the stream of the next target and discards the partial event of the
// previous one.
func (e *eventSplitter) startTarget() {
	e.pending, e.advanced, e.fault = nil, false, false
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
			if len(e.pending) > maxEventSize {
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
		return true
	case kind == blockInvalid:
		e.fail(block)
		return false
	case id <= e.last && !e.advanced:
		return false
	case e.last >= 0 && id != e.last+1:
		e.fail(block)
		return false
	}
	e.last, e.advanced = id, true
	e.count++
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
