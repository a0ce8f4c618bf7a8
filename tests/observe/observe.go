// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package observe parses what a caller receives on a connection strictly according to
// HTTP/1.1 (RFC 9112). A lenient parser ignores bytes that another one takes for the head
// of the next answer, and thus hides request desynchronisation.
package observe

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxLine limits a line and maxBody the body of an answer, in bytes.
	maxLine = 16 << 10
	maxBody = 16 << 20
	// dumpBytes is how many of the last bytes a parse error includes.
	dumpBytes = 512
)

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Answer is a response. After an error it has the part that was received.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	// Chunked is true if the body used the chunked transfer coding.
	Chunked bool
}

// Get returns the first value of a field, or "".
func (a *Answer) Get(name string) string {
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// count returns the number of fields with the name.
func (a *Answer) count(name string) int {
	n := 0
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Closes reports whether the answer has "Connection: close".
func (a *Answer) Closes() bool { return strings.EqualFold(a.Get("Connection"), "close") }

// ErrMalformed means that bytes were received that are not a valid answer, which is always
// a fault.
type ErrMalformed struct {
	What string
	// At is the number of bytes of the connection read so far.
	At int64
	// Before has the statuses of the preceding answers.
	Before []string
	// Dump is a hex dump of the last bytes.
	Dump string
}

func (e ErrMalformed) Error() string {
	return fmt.Sprintf("malformed answer before byte %d of the connection: %s; preceding statuses: %s\n%s", e.At, e.What, strings.Join(e.Before, ", "), e.Dump)
}

// IsErrMalformed reports whether err is or wraps an ErrMalformed.
func IsErrMalformed(err error) bool {
	var e ErrMalformed
	return errors.As(err, &e)
}

// ErrTruncated means that the connection ended before the answer was complete.
type ErrTruncated struct{ Cause error }

func (e ErrTruncated) Error() string {
	return "the connection ended during an answer: " + e.Cause.Error()
}

// IsErrTruncated reports whether err is or wraps an ErrTruncated.
func IsErrTruncated(err error) bool {
	var e ErrTruncated
	return errors.As(err, &e)
}

// Reader reads the answers of one connection. It is not safe for concurrent use.
type Reader struct {
	r *bufio.Reader
	// at is the number of bytes read; recent has at least the last dumpBytes of them.
	at     int64
	recent []byte
	// before has the statuses of the answers read.
	before []string
}

// NewReader returns a Reader for the bytes that a caller receives.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Answer reads the answer to a request with the given method and skips preceding answers
// with status 100. With an ErrTruncated it returns the part that was received. The error is
// io.EOF if the connection ended between answers.
func (o *Reader) Answer(method string) (*Answer, error) {
	for {
		a, err := o.readOne(method)
		if err != nil {
			return a, err
		}
		o.before = append(o.before, fmt.Sprint(a.Status))
		if a.Status != http.StatusContinue {
			return a, nil
		}
	}
}

// Continue reads an answer with status 100, which a caller that sent Expect: 100-continue waits for
// before it sends the body. Any other answer is an error.
func (o *Reader) Continue() error {
	a, err := o.readOne(http.MethodPost)
	if err == nil && a.Status != http.StatusContinue {
		err = errors.Errorf("status %d instead of 100", a.Status)
	}
	if err == nil {
		o.before = append(o.before, fmt.Sprint(a.Status))
	}
	return err
}

// ExpectEOF waits for the end of the connection and returns an error if further bytes are
// received before it.
func (o *Reader) ExpectEOF() error {
	b, err := o.readByte()
	if err == nil {
		return o.malformed(fmt.Sprintf("%q after the last answer", b))
	}
	return nil
}

func (o *Reader) readOne(method string) (*Answer, error) {
	a := &Answer{}
	line, err := o.readLine()
	if err == io.EOF && line == "" {
		return a, io.EOF
	}
	if err != nil {
		return a, o.truncated(err)
	}
	if err := o.parseStatusLine(a, line); err != nil {
		return a, err
	}
	if err := o.readFields(a); err != nil {
		return a, err
	}
	return a, o.readBody(a, method)
}

// parseStatusLine parses "HTTP/1.1", a space, three digits, a space and the reason phrase.
func (o *Reader) parseStatusLine(a *Answer, line string) error {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, found := strings.Cut(rest, " ")
	if version != "HTTP/1.1" || !found || len(digits) != 3 {
		return o.malformed(fmt.Sprintf("%q is not a status line", line))
	}
	for _, d := range []byte(digits) {
		if d < '0' || d > '9' {
			return o.malformed(fmt.Sprintf("%q is not a status code", digits))
		}
		a.Status = a.Status*10 + int(d-'0')
	}
	if a.Status < 100 || a.Status > 599 || a.Status < 200 && a.Status != http.StatusContinue {
		return o.malformed(fmt.Sprintf("unexpected status %d", a.Status))
	}
	return nil
}

func (o *Reader) readFields(a *Answer) error {
	for {
		line, err := o.readLine()
		if err != nil {
			return o.truncated(err)
		}
		if line == "" {
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return o.malformed(fmt.Sprintf("%q is not a header field", line))
		}
		value = strings.Trim(value, " \t")
		if !isFieldValue(value) {
			return o.malformed(fmt.Sprintf("field %s has the invalid value %q", name, value))
		}
		a.Fields = append(a.Fields, Field{Name: name, Value: value})
	}
}

// isToken reports whether s is a token, as field names have to be (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		letter := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s contains no control characters except tabs.
func isFieldValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (o *Reader) readBody(a *Answer, method string) error {
	lengths, codings := a.count("Content-Length"), a.count("Transfer-Encoding")
	switch {
	case a.Status < 200 || a.Status == http.StatusNoContent:
		if lengths+codings > 0 {
			return o.malformed(fmt.Sprintf("status %d with Content-Length or Transfer-Encoding", a.Status))
		}
		return nil
	case lengths > 1 || codings > 1 || lengths == codings:
		return o.malformed(fmt.Sprintf("%d Content-Length and %d Transfer-Encoding fields, want one of them", lengths, codings))
	case codings == 1 && a.Get("Transfer-Encoding") != "chunked":
		return o.malformed("unsupported transfer coding " + a.Get("Transfer-Encoding"))
	case method == http.MethodHead || a.Status == http.StatusNotModified:
		_, err := o.parseLength(a.Get("Content-Length"), 10, lengths == 0)
		return err
	case codings == 1:
		a.Chunked = true
		return o.readChunks(a)
	}
	n, err := o.parseLength(a.Get("Content-Length"), 10, false)
	if err != nil {
		return err
	}
	return o.readBytes(a, n)
}

// parseLength parses a length that consists of digits only. absent allows it to be empty.
func (o *Reader) parseLength(text string, base int64, absent bool) (int64, error) {
	if text == "" && absent {
		return 0, nil
	}
	n := int64(0)
	for _, c := range []byte(strings.ToLower(text)) {
		digit := int64(strings.IndexByte("0123456789abcdef", c))
		if digit < 0 || digit >= base {
			return 0, o.malformed(fmt.Sprintf("%q is not a length", text))
		}
		if n = n*base + digit; n > maxBody {
			return 0, o.malformed(fmt.Sprintf("length %q is too large", text))
		}
	}
	if text == "" {
		return 0, o.malformed("empty length")
	}
	return n, nil
}

// readChunks reads a chunked body. Chunk extensions and trailers are errors.
func (o *Reader) readChunks(a *Answer) error {
	for {
		line, err := o.readLine()
		if err != nil {
			return o.truncated(err)
		}
		n, err := o.parseLength(line, 16, false)
		if err != nil {
			return err
		}
		if err := o.readBytes(a, n); err != nil {
			return err
		}
		end, err := o.readLine()
		if err != nil {
			return o.truncated(err)
		}
		if end != "" {
			return o.malformed(fmt.Sprintf("%q after a chunk of %d bytes", end, n))
		}
		if n == 0 {
			return nil
		}
	}
}

func (o *Reader) readBytes(a *Answer, n int64) error {
	for ; n > 0; n-- {
		b, err := o.readByte()
		if err != nil {
			return o.truncated(err)
		}
		a.Body = append(a.Body, b)
	}
	return nil
}

// readLine reads a line up to CR LF. A CR or LF alone is an error.
func (o *Reader) readLine() (string, error) {
	var line []byte
	for len(line) < maxLine {
		b, err := o.readByte()
		if err != nil {
			return string(line), err
		}
		line = append(line, b)
		if b != '\n' {
			continue
		}
		text, found := strings.CutSuffix(string(line), "\r\n")
		if !found || strings.ContainsAny(text, "\r\x00") {
			return "", o.malformed(fmt.Sprintf("invalid line %q", line))
		}
		return text, nil
	}
	return "", o.malformed("line too long")
}

func (o *Reader) readByte() (byte, error) {
	b, err := o.r.ReadByte()
	if err != nil {
		return 0, err
	}
	o.at++
	if o.recent = append(o.recent, b); len(o.recent) > 2*dumpBytes {
		o.recent = append([]byte(nil), o.recent[len(o.recent)-dumpBytes:]...)
	}
	return b, nil
}

// truncated wraps a read error in an ErrTruncated, unless it is an ErrMalformed.
func (o *Reader) truncated(err error) error {
	if IsErrMalformed(err) {
		return err
	}
	return ErrTruncated{Cause: err}
}

func (o *Reader) malformed(what string) error {
	return ErrMalformed{What: what, At: o.at, Before: o.before, Dump: hex.Dump(o.recent[max(0, len(o.recent)-dumpBytes):])}
}
