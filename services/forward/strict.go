// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/reply"
)

// The library that reads targets' heads takes more than HTTP/1.1 allows (RFC 9112): bare
// line ends, folded lines, blanks in and after names, a length beside a coding. What one
// reader takes for a field or a length another one takes for something else, so a head is
// looked at before it is read, and one that is not sound is no answer.

// errHead says why a head is no answer of HTTP/1.1.
type errHead struct{ reason string }

func (e errHead) Error() string { return "the head is no answer of HTTP/1.1: " + e.reason }

var headEnd = []byte("\r\n\r\n")

// peekHead returns the next head with its end, which stays in the buffer.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		if _, err := r.Peek(seen + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errHead{fmt.Sprintf("it is longer than %d bytes", r.Size())}
			}
			return nil, err
		}
		// What is buffered can be had without an error.
		p, _ := r.Peek(r.Buffered())
		if at := bytes.Index(p, headEnd); at >= 0 {
			return p[:at+len(headEnd)], nil
		}
		seen = len(p)
	}
}

// checkHead looks whether a head is an answer of HTTP/1.1 that every reader takes the same
// way.
func checkHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), string(headEnd)), "\r\n")
	status, err := readStatusLine(lines[0])
	if err != nil {
		return err
	}
	fields := make([]Field, 0, len(lines)-1)
	framing := map[string]int{}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return errHead{fmt.Sprintf("%q is no field", clip(line, oddShown))}
		}
		value = strings.Trim(value, " \t")
		fields = append(fields, Field{Name: name, Value: value})
		if err := checkFraming(framing, name, value); err != nil {
			return err
		}
	}
	if framing[fieldLength]+framing[fieldCoding] > 1 {
		return errHead{"it names more than one length or coding"}
	}
	// An interim answer is not passed on, but read in the same way.
	return reply.CheckHead(max(status, 200), fields)
}

const (
	fieldLength = "content-length"
	fieldCoding = "transfer-encoding"
)

// checkFraming looks at a field that says where the body ends.
func checkFraming(seen map[string]int, name, value string) error {
	switch name := strings.ToLower(name); name {
	case fieldLength:
		seen[name]++
		if !isNumber([]byte(value)) {
			return errHead{fmt.Sprintf("%q is no length", clip(value, oddShown))}
		}
	case fieldCoding:
		seen[name]++
		if !strings.EqualFold(value, "chunked") {
			return errHead{fmt.Sprintf("the coding %q is not known", clip(value, oddShown))}
		}
	}
	return nil
}

// readStatusLine reads the status of an answer.
func readStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(digits) != 3 || !isNumber([]byte(digits)) {
		return 0, errHead{fmt.Sprintf("%q is no status line", clip(line, oddShown))}
	}
	status := int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
	if status < 100 || status > 599 || status == 101 {
		return 0, errHead{fmt.Sprintf("%d is no status of an answer", status)}
	}
	return status, nil
}
