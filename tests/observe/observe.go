// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package observe reads what a caller gets over a connection as a strict reader of
// HTTP/1.1 (RFC 9112) does. A lenient reader passes over what another one takes for
// the head of the next answer, and so looks away from just the faults that matter.
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
	// mostLine bounds a line, mostBody the body of an answer, in bytes.
	mostLine = 16 << 10
	mostBody = 16 << 20
	// dumpBytes is how many of the last bytes are shown when they can't be read.
	dumpBytes = 512
)

// Field is one field of a head.
type Field struct {
	Name  string
	Value string
}

// Answer is one answer, or what has come of it.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	// Chunked says that the body came in chunks.
	Chunked bool
}

// Get returns the first value of a field, empty when there is none.
func (a *Answer) Get(name string) string {
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// count returns how often a field stands in the head.
func (a *Answer) count(name string) int {
	n := 0
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Closes says that the connection ends after this answer.
func (a *Answer) Closes() bool { return strings.EqualFold(a.Get("Connection"), "close") }

// ErrUnreadable says that bytes came that are no answer. It is never allowed.
type ErrUnreadable struct {
	What string
	// At is the number of the byte on the connection.
	At int64
	// Before are the answers that came before, Dump the last bytes.
	Before []string
	Dump   string
}

func (e ErrUnreadable) Error() string {
	return fmt.Sprintf("bytes that are no answer, up to byte %d of the connection: %s; before: %s\n%s", e.At, e.What, strings.Join(e.Before, ", "), e.Dump)
}

// IsErrUnreadable tells whether an error is that bytes came that are no answer.
func IsErrUnreadable(err error) bool {
	var e ErrUnreadable
	return errors.As(err, &e)
}

// ErrCut says that the connection ended before the answer was whole.
type ErrCut struct{ Cause error }

func (e ErrCut) Error() string { return "the connection ended within an answer: " + e.Cause.Error() }

// IsErrCut tells whether an error is that an answer was cut off.
func IsErrCut(err error) bool {
	var e ErrCut
	return errors.As(err, &e)
}

// Reader reads the answers of one connection. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	at     int64
	recent []byte
	before []string
}

// NewReader returns a reader of the bytes that a caller gets.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReader(r)} }

// Answer reads the answer to a request of a method. It returns what has come of the
// answer also with an ErrCut; io.EOF says that the connection ended between answers.
func (o *Reader) Answer(method string) (*Answer, error) {
	for {
		a, err := o.one(method)
		if err != nil {
			return a, err
		}
		o.before = append(o.before, fmt.Sprint(a.Status))
		if a.Status != http.StatusContinue {
			return a, nil
		}
	}
}

// Rest returns an error when more comes on the connection than the answers that
// were read: nil once it has ended.
func (o *Reader) Rest() error {
	b, err := o.byte()
	if err == nil {
		return o.unreadable(fmt.Sprintf("%q after the last answer", b))
	}
	return nil
}

func (o *Reader) one(method string) (*Answer, error) {
	a := &Answer{}
	line, err := o.line()
	if err == io.EOF && line == "" {
		return a, io.EOF
	}
	if err != nil {
		return a, o.ended(err)
	}
	if err := o.statusLine(a, line); err != nil {
		return a, err
	}
	if err := o.fields(a); err != nil {
		return a, err
	}
	return a, o.body(a, method)
}

// statusLine reads HTTP/1.1 SP three digits SP reason.
func (o *Reader) statusLine(a *Answer, line string) error {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, found := strings.Cut(rest, " ")
	if version != "HTTP/1.1" || !found || len(digits) != 3 {
		return o.unreadable(fmt.Sprintf("%q is no status line", line))
	}
	for _, d := range []byte(digits) {
		if d < '0' || d > '9' {
			return o.unreadable(fmt.Sprintf("%q is no status", digits))
		}
		a.Status = a.Status*10 + int(d-'0')
	}
	if a.Status < 100 || a.Status > 599 || a.Status < 200 && a.Status != http.StatusContinue {
		return o.unreadable(fmt.Sprintf("status %d", a.Status))
	}
	return nil
}

func (o *Reader) fields(a *Answer) error {
	for {
		line, err := o.line()
		if err != nil {
			return o.ended(err)
		}
		if line == "" {
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return o.unreadable(fmt.Sprintf("%q is no field", line))
		}
		value = strings.Trim(value, " \t")
		if !isValue(value) {
			return o.unreadable(fmt.Sprintf("field %s has the value %q", name, value))
		}
		a.Fields = append(a.Fields, Field{Name: name, Value: value})
	}
}

// isToken tells whether a text is a name of a field (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		letter := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// isValue tells whether a text has no control characters but tabs.
func isValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (o *Reader) body(a *Answer, method string) error {
	lengths, codings := a.count("Content-Length"), a.count("Transfer-Encoding")
	switch {
	case a.Status < 200 || a.Status == http.StatusNoContent:
		if lengths+codings > 0 {
			return o.unreadable(fmt.Sprintf("an answer of %d with a length or a coding", a.Status))
		}
		return nil
	case lengths > 1 || codings > 1 || lengths == codings:
		return o.unreadable(fmt.Sprintf("%d lengths and %d codings", lengths, codings))
	case codings == 1 && a.Get("Transfer-Encoding") != "chunked":
		return o.unreadable("the coding is " + a.Get("Transfer-Encoding"))
	case method == http.MethodHead || a.Status == http.StatusNotModified:
		_, err := o.size(a.Get("Content-Length"), 10, lengths == 0)
		return err
	case codings == 1:
		a.Chunked = true
		return o.chunks(a)
	}
	n, err := o.size(a.Get("Content-Length"), 10, false)
	if err != nil {
		return err
	}
	return o.bytes(a, n)
}

// size reads a number that has digits only.
func (o *Reader) size(text string, base int64, absent bool) (int64, error) {
	if text == "" && absent {
		return 0, nil
	}
	n := int64(0)
	for _, c := range []byte(strings.ToLower(text)) {
		digit := int64(strings.IndexByte("0123456789abcdef", c))
		if digit < 0 || digit >= base {
			return 0, o.unreadable(fmt.Sprintf("%q is no length", text))
		}
		if n = n*base + digit; n > mostBody {
			return 0, o.unreadable(fmt.Sprintf("a length of %q", text))
		}
	}
	if text == "" {
		return 0, o.unreadable("an empty length")
	}
	return n, nil
}

// chunks reads a body in chunks, without extensions and trailers.
func (o *Reader) chunks(a *Answer) error {
	for {
		line, err := o.line()
		if err != nil {
			return o.ended(err)
		}
		n, err := o.size(line, 16, false)
		if err != nil {
			return err
		}
		if err := o.bytes(a, n); err != nil {
			return err
		}
		end, err := o.line()
		if err != nil {
			return o.ended(err)
		}
		if end != "" {
			return o.unreadable(fmt.Sprintf("%q after a chunk of %d bytes", end, n))
		}
		if n == 0 {
			return nil
		}
	}
}

func (o *Reader) bytes(a *Answer, n int64) error {
	for ; n > 0; n-- {
		b, err := o.byte()
		if err != nil {
			return o.ended(err)
		}
		a.Body = append(a.Body, b)
	}
	return nil
}

// line reads up to CR LF; neither may stand alone.
func (o *Reader) line() (string, error) {
	var line []byte
	for len(line) < mostLine {
		b, err := o.byte()
		if err != nil {
			return string(line), err
		}
		line = append(line, b)
		if b != '\n' {
			continue
		}
		text, found := strings.CutSuffix(string(line), "\r\n")
		if !found || strings.ContainsAny(text, "\r\x00") {
			return "", o.unreadable(fmt.Sprintf("the line %q", line))
		}
		return text, nil
	}
	return "", o.unreadable("a line without an end")
}

func (o *Reader) byte() (byte, error) {
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

// ended makes an ErrCut of an end of the connection.
func (o *Reader) ended(err error) error {
	if IsErrUnreadable(err) {
		return err
	}
	return ErrCut{Cause: err}
}

func (o *Reader) unreadable(what string) error {
	return ErrUnreadable{What: what, At: o.at, Before: o.before, Dump: hex.Dump(o.recent[max(0, len(o.recent)-dumpBytes):])}
}
