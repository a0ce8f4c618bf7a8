// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reply

import (
	"fmt"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/http1"
)

// Range of the statuses of final answers.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ErrInvalidHead is the error for a head that must not be written, since parsers may interpret
// it in different ways.
type ErrInvalidHead struct{ Reason string }

func (e ErrInvalidHead) Error() string {
	return "invalid head of an answer: " + e.Reason
}

// IsErrInvalidHead reports whether an error is an ErrInvalidHead.
func IsErrInvalidHead(err error) bool {
	var e ErrInvalidHead
	return errors.As(err, &e)
}

// CheckHead returns an ErrInvalidHead unless all parsers interpret the head of a final answer
// alike: it needs a final status, field names that are tokens, and field values without
// control characters (RFC 9110, 5.5 and 5.6.2).
func CheckHead(status int, fields []Field) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return errors.WithStack(ErrInvalidHead{Reason: fmt.Sprintf("status %d is not final", status)})
	}
	for _, f := range fields {
		if !http1.IsToken(f.Name) {
			return errors.WithStack(ErrInvalidHead{Reason: fmt.Sprintf("invalid field name %q", f.Name)})
		}
		if !http1.IsFieldValue(f.Value) {
			return errors.WithStack(ErrInvalidHead{Reason: fmt.Sprintf("the value of field %s has control characters", f.Name)})
		}
	}
	return nil
}
