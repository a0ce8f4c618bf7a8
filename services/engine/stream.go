// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/httpcall"
)

const (
	lineBuffer = 4 << 10
	// maxLine is the maximum length of a line of a stream, in bytes.
	maxLine = 1 << 20
	// maxSkipped is the maximum size of what comes between two events, in bytes: comments, empty lines, and
	// events that the receiver has. Each line counts as minLine at least.
	maxSkipped = 4 << 20
	minLine    = 64
	// maxShownID bounds the bytes of a wrong run's ID in an error.
	maxShownID = 64
)

// Stream is an answer that is being received.
type Stream struct {
	*exchange
	lines *bufio.Reader
	// last is the sequence number of the last event returned.
	last int
	// long is the buffer of lines beyond lineBuffer. holds is set if anything is held for the last line.
	long  []byte
	holds bool

	mu sync.Mutex
	// hold counts long and the last event returned. It has no bytes once closed is set.
	hold   bytebudget.Hold
	closed bool
}

func (c *Client) openStream(ctx context.Context, address, id string, after int, req *fasthttp.Request) (*Stream, error) {
	x, err := c.send(ctx, address, id, streamIdleTimeout, req)
	if err != nil {
		return nil, err
	}
	if code := x.answer.Status; code != fasthttp.StatusOK {
		x.close()
		return nil, errors.WithStack(ErrStatus{Code: code, NotRun: code >= 400 && code < 500})
	}
	return &Stream{exchange: x, lines: bufio.NewReaderSize(x.answer.Body, lineBuffer), last: after, hold: bytebudget.Hold{Budget: c.opts.Memory}}, nil
}

// Close closes the connection, which is never reused.
func (s *Stream) Close() {
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.hold.Release()
}

// grow counts n more bytes as held.
func (s *Stream) grow(n int) error {
	s.holds = true
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.hold.GrowShared(n) {
		return errors.WithStack(httpcall.ErrNoMemory{Held: s.hold.Budget.Held()})
	}
	return nil
}

// releaseLine drops what the last line took.
func (s *Stream) releaseLine() {
	if !s.holds {
		return
	}
	s.long, s.holds = nil, false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold.Release()
}

// wireChunk has the fields of an event that this package reads.
type wireChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Next returns the next event. It skips events up to the one that the stream was resumed
// behind. It returns ErrBroken if the stream ends without the end-of-stream event.
func (s *Stream) Next() (Event, error) {
	event := Event{Sequence: s.last + 1}
	s.extend(streamIdleTimeout)
	for skipped := 0; ; {
		if skipped > maxSkipped {
			return event, s.broken(errors.Errorf("more than %d bytes without an event", maxSkipped))
		}
		line, err := s.readLine()
		if err != nil {
			return event, s.broken(err)
		}
		skipped += max(len(line), minLine)
		field, value := splitField(line)
		switch string(field) {
		case "id":
			if n, err := strconv.Atoi(string(value)); err == nil {
				event.Sequence = n
			}
		case "data":
			if string(value) == "[DONE]" {
				event.End = true
				return event, nil
			}
			if event.Sequence <= s.last {
				continue
			}
			return event, s.fill(&event, value)
		}
	}
}

func (s *Stream) fill(event *Event, data []byte) error {
	if err := s.grow(len(data)); err != nil {
		return s.broken(err)
	}
	var c wireChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return s.broken(err)
	}
	if c.ID != s.id {
		return errors.WithStack(ErrWrongRun{Want: s.id, Got: c.ID[:min(len(c.ID), maxShownID)]})
	}
	s.last = event.Sequence
	event.Data = bytes.Clone(data)
	event.Usage = c.Usage
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		event.Finish = *c.Choices[0].FinishReason
	}
	return nil
}

// readLine returns the next line without its end. It is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	s.releaseLine()
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && s.long == nil {
			return trimLineEnd(part), nil
		}
		if len(s.long)+len(part) > maxLine {
			return nil, errors.Errorf("a line is longer than %d bytes", maxLine)
		}
		if grown := s.append(part); grown != nil {
			return nil, grown
		}
		switch {
		case err == nil:
			return trimLineEnd(s.long), nil
		case err == bufio.ErrBufferFull:
		case err == io.EOF && s.answer.Framed && len(s.long) > 0:
			// The body is whole, and its last line has no end.
			return s.long, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// append adds a part to the long line.
func (s *Stream) append(part []byte) error {
	if size := len(s.long) + len(part); size > cap(s.long) {
		wider := max(size, 2*cap(s.long), 2*lineBuffer)
		// The former buffer is in use until its bytes have been copied.
		if err := s.grow(wider); err != nil {
			return err
		}
		s.long = append(make([]byte, 0, wider), s.long...)
	}
	s.long = append(s.long, part...)
	return nil
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func splitField(line []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(line, []byte(":"))
	return field, bytes.TrimPrefix(value, []byte(" "))
}
