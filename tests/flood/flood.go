// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package flood plays servers that send bytes without end, in answers and in what comes instead of them.
package flood

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	// fastBytes are sent each fastPause, or one part of a form each tricklePause.
	fastBytes    = 32 << 10
	fastPause    = 10 * time.Millisecond
	tricklePause = 20 * time.Millisecond
)

// Form is what a server sends without end. In its texts ID stands for the id of the request and EVENT for the first
// event of the stream.
type Form struct {
	// Head comes first. First is the beginning of the body, and Part is repeated after it.
	Head, First, Part string
	// InChunks is set if First and each Part are sent as chunks.
	InChunks bool
	// IsStream is set if only answers to streams can have the form.
	IsStream bool
}

const (
	// fields begin a head, chunked ends one of a body in chunks, long one of a length that is never reached, and
	// unframed one of a body that ends with its connection.
	fields   = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
	long     = "Content-Length: 1099511627776\r\n\r\n"
	unframed = "Connection: close\r\n\r\n"
	text     = "aaaaaaaaaaaaaaaa"
	field    = "Note: " + text + "\r\n"
)

// Forms are the forms by name.
var Forms = map[string]Form{
	"status line":              {Head: "HTTP/1.1 200 ", Part: text},
	"field":                    {Head: fields + "Note: ", Part: text},
	"name of a field":          {Head: fields, Part: text},
	"fields":                   {Head: fields, Part: field},
	"no head":                  {Part: text},
	"lines without a head":     {Part: text + "\r\n"},
	"empty lines":              {Part: "\r\n"},
	"interim answers":          {Part: "HTTP/1.1 103 Early Hints\r\nNote: a\r\n\r\n"},
	"fields of an interim one": {Head: "HTTP/1.1 103 Early Hints\r\n", Part: field},
	"length":                   {Head: fields + long, Part: text},
	"length of another answer": {Head: "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Signature: s\r\n" + long, Part: text},
	"length of a rejection":    {Head: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + long, Part: text},
	"length of a failure":      {Head: "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n" + long, Part: text},
	"chunk size":               {Head: fields + chunked, Part: "0000"},
	"chunk extension":          {Head: fields + chunked + "5;", Part: text},
	"chunks with extensions":   {Head: fields + chunked, Part: "1;" + text + "\r\na\r\n"},
	"chunk":                    {Head: fields + chunked + "ffffffffff\r\n", Part: text},
	"chunks":                   {Head: fields + chunked, Part: text, InChunks: true},
	"trailer fields":           {Head: fields + chunked + chunk("a") + "0\r\n", Part: field},
	"no framing":               {Head: fields + unframed, Part: text},
	"comments":                 {Head: fields + chunked, First: "EVENT", Part: ": " + text + "\n\n", InChunks: true, IsStream: true},
	"comment":                  {Head: fields + chunked, First: "EVENT: ", Part: text, InChunks: true, IsStream: true},
	"event":                    {Head: fields + chunked, First: "EVENTid: 1\ndata: ", Part: text, InChunks: true, IsStream: true},
	"lines of an event":        {Head: fields + chunked, First: "EVENTid: 1\n", Part: "data: " + text + "\n", InChunks: true, IsStream: true},
	"event before all others":  {Head: fields + chunked, Part: "note: " + text + "\n", InChunks: true, IsStream: true},
	"empty lines of a stream":  {Head: fields + chunked, First: "EVENT", Part: "\n\n", InChunks: true, IsStream: true},
	"event without framing":    {Head: fields + unframed, First: "EVENTdata: ", Part: text, IsStream: true},
	"events seen before":       {Head: fields + chunked, First: "EVENT", Part: "EVENT", InChunks: true, IsStream: true},
}

// Names returns the names of the forms, in order.
func Names() []string { return slices.Sorted(maps.Keys(Forms)) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Request is what the texts of a form take from a request.
type Request struct {
	ID string
	// Event is the first event of the stream, with the empty line after it.
	Event string
	// Trickles is set if few bytes are sent at a time.
	Trickles bool
}

// fill returns a text of the form as it is sent.
func (f Form) fill(text string, r Request) string {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "EVENT", r.Event), "ID", r.ID)
	if f.InChunks && text != "" {
		return chunk(text)
	}
	return text
}

// Send sends on a connection until it ends or quit is closed.
func (f Form) Send(c net.Conn, r Request, quit <-chan struct{}) {
	part, pause := f.fill(f.Part, r), tricklePause
	if !r.Trickles {
		part, pause = strings.Repeat(part, fastBytes/len(part)), fastPause
	}
	_, err := io.WriteString(c, strings.ReplaceAll(f.Head, "ID", r.ID)+f.fill(f.First, r))
	for err == nil {
		select {
		case <-quit:
			return
		case <-time.After(pause):
		}
		_, err = io.WriteString(c, part)
	}
}
