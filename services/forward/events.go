// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"strconv"

	"havenwinch.dev/havenwinch/modules/http1"
)

// events cuts a stream into whole events, so that a part of one never reaches
// the caller and the stream can go on at another target. What is no event of the run is a
// fault: nothing of it is handed on, nor anything after it.
//
// An event is a block of lines up to an empty one: fields, one of them an id of digits that
// follows the one before. A block of comments has no id. Only the first events of a target
// may repeat what the caller has: it may not know how far the caller came.
type events struct {
	rest []byte
	// last is the id of the newest whole event, -1 for none.
	last int64
	// count is how many whole events there were.
	count uint64
	// own is set once the present target has brought an event that is new.
	own bool
	// fault is set when what came is no event of the run.
	fault bool
	// odd is told of the first bytes that are none; nil for nobody.
	odd func(block []byte)
}

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id")
	dataField = []byte("data")
	otherEnds = "\r\x00"
)

// mostEvent bounds an event, in bytes: a target that never ends one must not fill the memory
// of the box.
const mostEvent = 1 << 20

// begin starts with what another target sends. What is left of an event that broke off
// belongs to the former one.
func (e *events) begin() {
	e.rest, e.own, e.fault = nil, false, false
}

// take adds bytes and returns the whole events that are new; those up to the
// last id are passed over. What it returns is valid until the next call.
func (e *events) take(p []byte) []byte {
	if e.fault {
		return nil
	}
	// An end that is not in what was left before begins with its last byte at most.
	from := max(0, len(e.rest)-1)
	e.rest = append(e.rest, p...)
	var out []byte
	for ; ; from = 0 {
		at := bytes.Index(e.rest[from:], eventEnd)
		if at < 0 {
			if len(e.rest) > mostEvent {
				e.fail(e.rest)
			}
			return out
		}
		block := e.rest[:from+at+len(eventEnd)]
		fresh := e.accept(block)
		if e.fault {
			return out
		}
		if fresh {
			out = append(out, block...)
		}
		e.rest = e.rest[len(block):]
	}
}

// accept tells whether a block is handed on; it may be a fault.
func (e *events) accept(block []byte) bool {
	id, kind := readBlock(block)
	switch {
	case kind == blockComment:
		return true
	case kind == blockSpoilt:
		e.fail(block)
		return false
	case id <= e.last && !e.own:
		return false
	case e.last >= 0 && id != e.last+1:
		e.fail(block)
		return false
	}
	e.last, e.own = id, true
	e.count++
	return true
}

func (e *events) fail(block []byte) {
	e.fault = true
	if e.odd != nil {
		e.odd(block)
	}
}

// blockKind is what a block of lines is.
type blockKind int

const (
	blockSpoilt blockKind = iota
	blockEvent
	blockComment
)

// readBlock returns what a block is, and the id of an event. A carriage return or a NUL
// spoils it: readers differ in where lines end then.
func readBlock(block []byte) (id int64, kind blockKind) {
	if bytes.ContainsAny(block, otherEnds) {
		return 0, blockSpoilt
	}
	kind = blockComment
	for line := range bytes.SplitSeq(block, eventEnd[:1]) {
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == 0:
		case !isFieldName(name) || !found && !bytes.Equal(name, dataField):
			return 0, blockSpoilt
		case !bytes.Equal(name, idField):
			if kind == blockComment {
				kind = blockSpoilt
			}
		default:
			digits := bytes.TrimPrefix(value, []byte(" "))
			if kind == blockEvent || !http1.IsNumber(digits) {
				return 0, blockSpoilt
			}
			// It has digits only, and few enough.
			id, _ = strconv.ParseInt(string(digits), 10, 64)
			kind = blockEvent
		}
	}
	return id, kind
}

// isFieldName tells whether a text is the name of a field of an event.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return true
}
