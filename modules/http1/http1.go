// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package http1 validates the heads of HTTP/1.1 messages strictly before a library
// parses them. The libraries accept more than RFC 9112 allows: bare line ends, folded
// lines, blanks in and after field names, a length beside a transfer coding. Where two
// parsers disagree on a field or a length, a request can be smuggled within another one,
// and an answer can be taken for that of another request.
package http1

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/pkg/errors"
)

const (
	// minStatus and maxStatus bound the statuses of answers. statusSwitchingProtocols is
	// rejected, since no request that is forwarded asks for an upgrade.
	minStatus                = 100
	maxStatus                = 599
	statusSwitchingProtocols = 101
	// maxDigits bounds the digits of a number, so that it fits into 64 bits.
	maxDigits = 18
	// maxShownBytes bounds the bytes of a head that an error message quotes.
	maxShownBytes = 32
)

// ErrMalformedHead is the error for a head that violates HTTP/1.1, or that parsers may
// interpret in different ways.
type ErrMalformedHead struct{ Reason string }

func (e ErrMalformedHead) Error() string { return "the head is not sound HTTP/1.1: " + e.Reason }

// IsErrMalformedHead reports whether an error is an ErrMalformedHead.
func IsErrMalformedHead(err error) bool {
	var e ErrMalformedHead
	return errors.As(err, &e)
}

// ErrHeadTooLong is the error for a head that does not fit into the reader's buffer.
type ErrHeadTooLong struct{ MaxBytes int }

func (e ErrHeadTooLong) Error() string {
	return fmt.Sprintf("the head is longer than %d bytes: send fewer or shorter fields", e.MaxBytes)
}

// IsErrHeadTooLong reports whether an error is an ErrHeadTooLong.
func IsErrHeadTooLong(err error) bool {
	var e ErrHeadTooLong
	return errors.As(err, &e)
}

func malformed(format string, args ...any) error {
	return errors.WithStack(ErrMalformedHead{Reason: fmt.Sprintf(format, args...)})
}

// Framing says how the end of the body that follows a head is found.
type Framing struct {
	// Chunked means chunked transfer coding, Sized that Length is the number of bytes.
	// With neither, a request has no body, and the body of an answer ends when the
	// connection is closed.
	Chunked bool
	Sized   bool
	Length  int64
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// PeekHead returns the next head, including the empty line that ends it, without consuming
// it. A head that does not fit into the buffer is an ErrHeadTooLong.
func PeekHead(r *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		if _, err := r.Peek(seen + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errors.WithStack(ErrHeadTooLong{MaxBytes: r.Size()})
			}
			return nil, err
		}
		// Peeking at bytes that are already buffered can't fail.
		p, _ := r.Peek(r.Buffered())
		if i := bytes.Index(p[max(0, seen-len(headEnd)):], headEnd); i >= 0 {
			return p[:max(0, seen-len(headEnd))+i+len(headEnd)], nil
		}
		seen = len(p)
	}
}

// SkipEmptyLine skips an empty line before a request, as RFC 9112, 2.2 asks of servers.
func SkipEmptyLine(r *bufio.Reader) error {
	p, err := r.Peek(len(lineEnd))
	if err == nil && bytes.Equal(p, lineEnd) {
		_, err = r.Discard(len(lineEnd))
	}
	return err
}

// CheckAnswer validates the head of an answer, given with the empty line that ends it.
// An invalid one is an ErrMalformedHead.
func CheckAnswer(head []byte) (Framing, error) {
	line, fields, _ := bytes.Cut(head[:len(head)-len(lineEnd)], lineEnd)
	if err := checkStatusLine(line); err != nil {
		return Framing{}, err
	}
	return checkFields(fields, nil)
}

// CheckRequest validates the head of a request, given with the empty line that ends it.
// An invalid one is an ErrMalformedHead.
func CheckRequest(head []byte) (Framing, error) {
	line, fields, _ := bytes.Cut(head[:len(head)-len(lineEnd)], lineEnd)
	if err := checkRequestLine(line); err != nil {
		return Framing{}, err
	}
	hosts := 0
	f, err := checkFields(fields, &hosts)
	if err == nil && hosts != 1 {
		err = malformed("it has %d Host fields", hosts)
	}
	return f, err
}

// checkStatusLine validates the version, status and reason phrase of an answer.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isVersion(version) || len(digits) != 3 || !IsNumber(digits) || !IsFieldValue(reason) || containsStatusLine(reason) {
		return malformed("invalid status line %q", truncate(line))
	}
	status := int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
	if status < minStatus || status > maxStatus || status == statusSwitchingProtocols {
		return malformed("unexpected status %d", status)
	}
	return nil
}

// checkRequestLine validates the method, target and version of a request.
func checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !IsToken(method) || !isTarget(target) || !isVersion(version) {
		return malformed("%q is no request line", truncate(line))
	}
	return nil
}

// containsStatusLine reports whether a text contains a status line. This happens if a
// target sent an incomplete surplus answer before this one, so that the two would be
// parsed as one.
func containsStatusLine(text []byte) bool {
	for {
		i := bytes.Index(text, []byte("HTTP/1."))
		if i < 0 {
			return false
		}
		text = text[i:]
		if len(text) >= len("HTTP/1.1 200") && text[8] == ' ' && IsNumber(text[9:12]) {
			return true
		}
		text = text[1:]
	}
}

func isVersion(version []byte) bool {
	return string(version) == "HTTP/1.1" || string(version) == "HTTP/1.0"
}

// isTarget reports whether a text can be the target of a request: it is not empty and
// has no blanks or control characters.
func isTarget(target []byte) bool {
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(target) > 0
}

// checkFields validates field lines, each given with its line end. It counts the Host
// fields in hosts unless that is nil.
func checkFields(lines []byte, hosts *int) (Framing, error) {
	var f Framing
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, lineEnd)
		lines = rest
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !found || !IsToken(name) || !IsFieldValue(value) || containsStatusLine(value) {
			return f, malformed("%q is no field", truncate(line))
		}
		if hosts != nil && equalFold(name, "host") {
			*hosts++
		}
		if err := f.addField(name, value); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addField records Content-Length or Transfer-Encoding and ignores other fields. A head
// may have only one of the two, once.
func (f *Framing) addField(name, value []byte) error {
	length, coding := equalFold(name, "content-length"), equalFold(name, "transfer-encoding")
	switch {
	case !length && !coding:
		return nil
	case f.Sized || f.Chunked:
		return malformed("it names more than one length or coding")
	case coding && !equalFold(value, "chunked"):
		return malformed("the coding %q is not known", truncate(value))
	case coding:
		f.Chunked = true
		return nil
	case !IsNumber(value):
		return malformed("%q is no length", truncate(value))
	}
	f.Sized = true
	for _, c := range value {
		f.Length = f.Length*10 + int64(c-'0')
	}
	return nil
}

// equalFold reports whether a text equals a name in ASCII, ignoring case. The name must
// be in lower case.
func equalFold(text []byte, name string) bool {
	if len(text) != len(name) {
		return false
	}
	for i, c := range text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != name[i] {
			return false
		}
	}
	return true
}

// IsNumber reports whether a text consists of digits only, and few enough for 64 bits.
func IsNumber(digits []byte) bool {
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(digits) > 0 && len(digits) <= maxDigits
}

func truncate(text []byte) []byte { return text[:min(len(text), maxShownBytes)] }

// Text is the type of a field's name or value.
type Text interface{ ~string | ~[]byte }

// IsToken reports whether a text can be the name of a field (RFC 9110, 5.6.2).
func IsToken[T Text](s T) bool {
	for i := range len(s) {
		if !isTokenChar[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

// IsFieldValue reports whether a text can be the value of a field: no control characters
// other than tabs (RFC 9110, 5.5).
func IsFieldValue[T Text](s T) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isTokenChar contains, for each byte, whether it may occur in the name of a field.
var isTokenChar = func() (chars [256]bool) {
	for c := range chars {
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		chars[c] = alphanumeric || c < 0x80 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
	}
	return chars
}()
