// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package http1 looks at heads of HTTP/1.1 as a strict reader does, before a library reads
// them. The libraries take more than the protocol allows (RFC 9112): bare line ends, folded
// lines, blanks in and after names, a length beside a coding. What one reader takes for a
// field or a length another one takes for something else: behind such a head a request can
// be hidden in another one, and an answer can be taken for another's.
package http1

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/pkg/errors"
)

const (
	// leastStatus and mostStatus bound the statuses of answers; switching is the status of
	// a change of protocol, which nobody here asks for.
	leastStatus = 100
	mostStatus  = 599
	switching   = 101
	// mostDigits bounds the digits of a number, which then fits 64 bits.
	mostDigits = 18
	// shown bounds the bytes of a head that an error shows.
	shown = 32
)

// ErrHead says why a head is none of HTTP/1.1 that every reader takes the same way.
type ErrHead struct{ Reason string }

func (e ErrHead) Error() string { return "the head is not sound HTTP/1.1: " + e.Reason }

// IsErrHead tells whether an error is a head that is not sound.
func IsErrHead(err error) bool {
	var e ErrHead
	return errors.As(err, &e)
}

// ErrTooLong says that a head is longer than the reader's buffer.
type ErrTooLong struct{ Most int }

func (e ErrTooLong) Error() string {
	return fmt.Sprintf("the head is longer than %d bytes: send fewer or shorter fields", e.Most)
}

// IsErrTooLong tells whether an error is a head that is too long.
func IsErrTooLong(err error) bool {
	var e ErrTooLong
	return errors.As(err, &e)
}

func unsound(format string, args ...any) error {
	return errors.WithStack(ErrHead{Reason: fmt.Sprintf(format, args...)})
}

// Framing says where the body ends that follows a head.
type Framing struct {
	// Chunked says that the body comes in chunks, Sized that Length is its length in
	// bytes. With neither a request has no body, and that of an answer ends with its
	// connection.
	Chunked bool
	Sized   bool
	Length  int64
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// Peek returns the next head with its end, which stays in the buffer. One that does not fit
// there is an ErrTooLong.
func Peek(r *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		if _, err := r.Peek(seen + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errors.WithStack(ErrTooLong{Most: r.Size()})
			}
			return nil, err
		}
		// What is buffered can be had without an error.
		p, _ := r.Peek(r.Buffered())
		if at := bytes.Index(p[max(0, seen-len(headEnd)):], headEnd); at >= 0 {
			return p[:max(0, seen-len(headEnd))+at+len(headEnd)], nil
		}
		seen = len(p)
	}
}

// SkipLine passes over an empty line before a request, as RFC 9112, 2.2 asks of a server.
func SkipLine(r *bufio.Reader) error {
	p, err := r.Peek(len(lineEnd))
	if err == nil && bytes.Equal(p, lineEnd) {
		_, err = r.Discard(len(lineEnd))
	}
	return err
}

// CheckAnswer looks at the head of an answer.
func CheckAnswer(head []byte) (Framing, error) {
	line, fields, _ := bytes.Cut(head[:len(head)-len(lineEnd)], lineEnd)
	if err := checkStatusLine(line); err != nil {
		return Framing{}, err
	}
	return checkFields(fields, nil)
}

// CheckRequest looks at the head of a request.
func CheckRequest(head []byte) (Framing, error) {
	line, fields, _ := bytes.Cut(head[:len(head)-len(lineEnd)], lineEnd)
	if err := checkRequestLine(line); err != nil {
		return Framing{}, err
	}
	hosts := 0
	f, err := checkFields(fields, &hosts)
	if err == nil && hosts != 1 {
		err = unsound("it has %d Host fields", hosts)
	}
	return f, err
}

// checkStatusLine looks at the version and status of an answer.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isVersion(version) || len(digits) != 3 || !IsNumber(digits) || !IsValue(reason) || hasHead(reason) {
		return unsound("%q is no status line", clip(line))
	}
	status := int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
	if status < leastStatus || status > mostStatus || status == switching {
		return unsound("%d is no status of an answer", status)
	}
	return nil
}

// checkRequestLine looks at the method, target and version of a request.
func checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !IsToken(method) || !isTarget(target) || !isVersion(version) {
		return unsound("%q is no request line", clip(line))
	}
	return nil
}

// hasHead tells whether a text holds the beginning of another answer: half of an answer in
// excess came before this one, and the two would be read as one.
func hasHead(text []byte) bool {
	for {
		at := bytes.Index(text, []byte("HTTP/1."))
		if at < 0 {
			return false
		}
		text = text[at:]
		if len(text) >= len("HTTP/1.1 200") && text[8] == ' ' && IsNumber(text[9:12]) {
			return true
		}
		text = text[1:]
	}
}

func isVersion(version []byte) bool {
	return string(version) == "HTTP/1.1" || string(version) == "HTTP/1.0"
}

// isTarget tells whether a text is the target of a request: no blanks and no control
// characters.
func isTarget(target []byte) bool {
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(target) > 0
}

// checkFields looks at the lines of fields, each with its end, and counts those that name
// the host.
func checkFields(lines []byte, hosts *int) (Framing, error) {
	var f Framing
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, lineEnd)
		lines = rest
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !found || !IsToken(name) || !IsValue(value) || hasHead(value) {
			return f, unsound("%q is no field", clip(line))
		}
		if hosts != nil && isName(name, "host") {
			*hosts++
		}
		if err := f.take(name, value); err != nil {
			return f, err
		}
	}
	return f, nil
}

// take looks at a field that may say where the body ends; there is one at most.
func (f *Framing) take(name, value []byte) error {
	length, coding := isName(name, "content-length"), isName(name, "transfer-encoding")
	switch {
	case !length && !coding:
		return nil
	case f.Sized || f.Chunked:
		return unsound("it names more than one length or coding")
	case coding && !isName(value, "chunked"):
		return unsound("the coding %q is not known", clip(value))
	case coding:
		f.Chunked = true
		return nil
	case !IsNumber(value):
		return unsound("%q is no length", clip(value))
	}
	f.Sized = true
	for _, c := range value {
		f.Length = f.Length*10 + int64(c-'0')
	}
	return nil
}

// isName tells whether a text is a name, in small letters, in whichever case.
func isName(text []byte, name string) bool {
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

// IsNumber tells whether a text is digits only, and few enough for 64 bits.
func IsNumber(digits []byte) bool {
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(digits) > 0 && len(digits) <= mostDigits
}

func clip(text []byte) []byte { return text[:min(len(text), shown)] }

// Text is a name or value of a field.
type Text interface{ ~string | ~[]byte }

// IsToken tells whether a text can be the name of a field (RFC 9110, 5.6.2).
func IsToken[T Text](s T) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

// IsValue tells whether a text can be the value of a field: no control characters but tabs
// (RFC 9110, 5.5).
func IsValue[T Text](s T) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenChars says which bytes may stand in the name of a field.
var tokenChars = func() (chars [256]bool) {
	for c := range chars {
		letter := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		chars[c] = letter || c < 0x80 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
	}
	return chars
}()
