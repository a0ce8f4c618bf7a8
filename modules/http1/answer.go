// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// maxInterim limits the interim (1xx) answers before the final one.
const maxInterim = 8

// Answer is the valid head of a final answer.
type Answer struct {
	Status int
	Framing
	// fields are its field lines, each with its line end.
	fields []byte
}

// ReadAnswer reads heads up to that of the final answer, which it consumes. Each must fit into the buffer.
// An invalid one, and too many of interim answers, is an ErrMalformedHead.
func ReadAnswer(r *bufio.Reader) (*Answer, error) {
	for range maxInterim + 1 {
		head, err := PeekHead(r)
		if err != nil {
			return nil, noEOF(err)
		}
		framing, err := CheckAnswer(head)
		if err != nil {
			return nil, err
		}
		a := parseAnswer(head, framing)
		if _, err := r.Discard(len(head)); err != nil {
			return nil, err
		}
		if a.Status >= http.StatusOK {
			return a, nil
		}
	}
	return nil, malformed("more than %d interim answers", maxInterim)
}

// parseAnswer returns a copy of a valid head.
func parseAnswer(head []byte, f Framing) *Answer {
	line, fields, _ := bytes.Cut(head[:len(head)-len(lineEnd)], lineEnd)
	_, rest, _ := bytes.Cut(line, []byte(" "))
	return &Answer{Status: int(rest[0]-'0')*100 + int(rest[1]-'0')*10 + int(rest[2]-'0'), Framing: f, fields: bytes.Clone(fields)}
}

// Field returns the value of the first field of a name, which must be in lower case; "" if there is none.
func (a *Answer) Field(name string) string {
	for lines := a.fields; len(lines) > 0; {
		line, rest, _ := bytes.Cut(lines, lineEnd)
		lines = rest
		if key, value, _ := bytes.Cut(line, []byte(":")); equalFold(key, name) {
			return string(bytes.Trim(value, " \t"))
		}
	}
	return ""
}

// HasBody reports whether a body follows the head, as the answer to a request of a method.
func (a *Answer) HasBody(method string) bool {
	return method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified
}

// Body returns a reader of the body, which must follow in r. A body that is cut off is an
// io.ErrUnexpectedEOF, unless it ends with its connection.
func (a *Answer) Body(method string, r *bufio.Reader) io.Reader {
	switch {
	case !a.HasBody(method):
		return bytes.NewReader(nil)
	case a.Chunked:
		return NewChunkedReader(r, nil)
	case a.Sized:
		return &sizedReader{r: r, left: a.Length}
	default:
		return r
	}
}

// sizedReader reads a body of a known length.
type sizedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (s *sizedReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	if s.left -= int64(n); s.left > 0 {
		return n, noEOF(err)
	}
	return n, err
}
