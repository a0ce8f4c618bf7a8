// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reply

import (
	"fmt"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/http1"
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
		if !http1.IsToken(f.Name) {
			return errors.WithStack(ErrHead{Reason: fmt.Sprintf("%q is no name of a field", f.Name)})
		}
		if !http1.IsValue(f.Value) {
			return errors.WithStack(ErrHead{Reason: fmt.Sprintf("field %s has control characters in its value", f.Name)})
		}
	}
	return nil
}
