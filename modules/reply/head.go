// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reply

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Statuses of final answers.
const (
	leastStatus = 200
	mostStatus  = 599
)

// ErrHead says what of a head not every reader takes the same way.
type ErrHead struct{ Reason string }

func (e ErrHead) Error() string {
	return "the head can't be passed on: " + e.Reason
}

// IsErrHead tells whether an error is a head that can't be passed on.
func IsErrHead(err error) bool {
	var e ErrHead
	return errors.As(err, &e)
}

// CheckHead looks whether every reader takes the head of a final answer the same way: a
// final status, fields whose names are tokens and whose values have no control characters
// (RFC 9110, 5.5 and 5.6.2).
func CheckHead(status int, fields []Field) error {
	if status < leastStatus || status > mostStatus {
		return errors.WithStack(ErrHead{Reason: fmt.Sprintf("%d is no final status", status)})
	}
	for _, f := range fields {
		if !isToken(f.Name) {
			return errors.WithStack(ErrHead{Reason: fmt.Sprintf("%q is no name of a field", f.Name)})
		}
		if !isValue(f.Value) {
			return errors.WithStack(ErrHead{Reason: fmt.Sprintf("field %s has control characters in its value", f.Name)})
		}
	}
	return nil
}

// tokenChars says which bytes may stand in the name of a field.
var tokenChars = func() (chars [256]bool) {
	for c := range chars {
		letter := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		chars[c] = letter || c < 0x80 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return chars
}()

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return s != ""
}

func isValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
