// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"strconv"
)

// events cuts a stream into whole events, so that a part of one never reaches
// the caller and the stream can go on at another target.
type events struct {
	rest []byte
	// last is the id of the newest whole event, -1 for none.
	last int64
	// count is how many whole events there were.
	count uint64
	// fault is set when an id did not follow the one before.
	fault bool
	// odd is told of events whose id can't be read; nil for nobody.
	odd func(event []byte)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// take adds bytes and returns the whole events that are new; those up to the
// last id are passed over. What it returns is valid until the next call.
func (e *events) take(p []byte) []byte {
	e.rest = append(e.rest, p...)
	var out []byte
	for {
		at := bytes.Index(e.rest, eventEnd)
		if at < 0 {
			return out
		}
		event := e.rest[:at+len(eventEnd)]
		if e.accept(event) {
			out = append(out, event...)
		}
		e.rest = e.rest[len(event):]
	}
}

func (e *events) accept(event []byte) bool {
	id, found := eventID(event)
	if !found {
		if e.odd != nil {
			e.odd(event)
		}
		return true
	}
	if id <= e.last {
		return false
	}
	if e.last >= 0 && id != e.last+1 {
		e.fault = true
		return false
	}
	if e.fault {
		return false
	}
	e.last = id
	e.count++
	return true
}

// eventID returns the number in an event's id field.
func eventID(event []byte) (int64, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		return id, err == nil
	}
	return 0, false
}
