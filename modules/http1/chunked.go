// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxChunkLine bounds the line before a chunk in bytes: its size and its extension,
	// with the line end. Senders that use extensions need far less.
	MaxChunkLine = 256
	// maxSizeDigits bounds the hexadecimal digits of a chunk's size without leading zeros, so that it fits into
	// 64 bits.
	maxSizeDigits = 15
	// maxFraming bounds the bytes of size lines and line ends that a body may have beyond
	// framingPerChunk for each chunk and twice its data.
	maxFraming      = 16 << 10
	framingPerChunk = 16
)

// ErrMalformedChunk is the error for a body whose chunked transfer coding violates HTTP/1.1, or
// that has more framing than any sender needs.
type ErrMalformedChunk struct{ Reason string }

func (e ErrMalformedChunk) Error() string { return "the chunks are not sound HTTP/1.1: " + e.Reason }

// IsErrMalformedChunk reports whether an error is an ErrMalformedChunk.
func IsErrMalformedChunk(err error) bool {
	var e ErrMalformedChunk
	return errors.As(err, &e)
}

func malformedChunk(format string, args ...any) error {
	return errors.WithStack(ErrMalformedChunk{Reason: fmt.Sprintf(format, args...)})
}

// ChunkedReader reads a body in chunked transfer coding and the empty trailer after it. Line
// ends must be CRLF, and a trailer with fields is an error.
type ChunkedReader struct {
	r     *bufio.Reader
	guard func(read func() error) error
	// left is the number of bytes that are left of the current chunk; midBody is set once the
	// first chunk has begun.
	left    int64
	midBody bool
	framing int64
	err     error
}

// NewChunkedReader returns a reader of a chunked body. guard runs the read of the rest of each
// size line, once its first byte has arrived, and may limit its time; nil for no limit.
func NewChunkedReader(r *bufio.Reader, guard func(read func() error) error) *ChunkedReader {
	if guard == nil {
		guard = func(read func() error) error { return read() }
	}
	return &ChunkedReader{r: r, guard: guard}
}

// Read implements io.Reader. It returns io.EOF after the trailer, and ErrMalformedChunk for a
// body that is not well-formed.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	n := 0
	for c.err == nil && n < len(p) {
		if c.left == 0 {
			if n > 0 && !c.hasLine() {
				break
			}
			c.err = c.nextChunk()
			continue
		}
		if n > 0 && c.r.Buffered() == 0 {
			break
		}
		var got int
		got, c.err = c.r.Read(p[n:min(int64(len(p)), int64(n)+c.left)])
		c.err = noEOF(c.err)
		n += got
		c.left -= int64(got)
	}
	return n, c.err
}

// hasLine reports whether the end of this chunk and the next size line can be read without
// waiting.
func (c *ChunkedReader) hasLine() bool {
	p, _ := c.r.Peek(c.r.Buffered())
	return len(p) > len(lineEnd) && bytes.Contains(p[len(lineEnd):], lineEnd)
}

// nextChunk reads the end of the current chunk and the next size line. It returns io.EOF after
// the trailer.
func (c *ChunkedReader) nextChunk() error {
	if c.midBody {
		if err := c.readLineEnd("a chunk does not end with its size"); err != nil {
			return err
		}
	}
	c.midBody = true
	if _, err := c.r.Peek(1); err != nil {
		return noEOF(err)
	}
	return c.guard(c.readSizeLine)
}

// readSizeLine reads a size line, and the trailer after the last one.
func (c *ChunkedReader) readSizeLine() error {
	line, err := c.peekLine()
	if err != nil {
		return err
	}
	size, err := parseSizeLine(line)
	if err != nil {
		return err
	}
	_, _ = c.r.Discard(len(line))
	if size == 0 {
		if err := c.readLineEnd("fields after the last chunk are not taken"); err != nil {
			return err
		}
		return io.EOF
	}
	c.left = size
	c.framing = max(0, c.framing+int64(len(line)+len(lineEnd))-framingPerChunk-2*size)
	if c.framing > maxFraming {
		return malformedChunk("too much framing for little data")
	}
	return nil
}

// peekLine returns the next line with its end, without consuming it.
func (c *ChunkedReader) peekLine() ([]byte, error) {
	for seen := 0; ; {
		if _, err := c.r.Peek(seen + 1); err != nil {
			return nil, noEOF(err)
		}
		p, _ := c.r.Peek(min(c.r.Buffered(), MaxChunkLine))
		if i := bytes.IndexByte(p[seen:], '\n'); i >= 0 {
			return p[:seen+i+1], nil
		}
		if seen = len(p); seen == MaxChunkLine {
			return nil, malformedChunk("a size line is longer than %d bytes", MaxChunkLine)
		}
	}
}

func (c *ChunkedReader) readLineEnd(reason string) error {
	var end [2]byte
	if _, err := io.ReadFull(c.r, end[:]); err != nil {
		return noEOF(err)
	}
	if !bytes.Equal(end[:], lineEnd) {
		return malformedChunk("%s", reason)
	}
	return nil
}

// parseSizeLine returns the size that a size line, given with its end, names.
func parseSizeLine(line []byte) (int64, error) {
	text, found := bytes.CutSuffix(line, lineEnd)
	if !found || bytes.IndexByte(text, '\r') >= 0 {
		return 0, malformedChunk("%q does not end with CRLF", truncate(line))
	}
	digits, _, _ := bytes.Cut(text, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	significant := bytes.TrimLeft(digits, "0")
	if len(digits) == 0 || len(significant) > maxSizeDigits {
		return 0, malformedChunk("%q is no size", truncate(line))
	}
	var size int64
	for _, d := range significant {
		v := bytes.IndexByte([]byte("0123456789abcdef"), d|0x20)
		if v < 0 || d < '0' {
			return 0, malformedChunk("%q is no size", truncate(line))
		}
		size = size<<4 | int64(v)
	}
	return size, nil
}

// noEOF replaces io.EOF, as a body that ends without its last chunk is incomplete.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
