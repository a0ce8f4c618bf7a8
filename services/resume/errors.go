// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import "github.com/pkg/errors"

// ErrUnknown is the error for a stream of which no box knows the software that began it.
type ErrUnknown struct {
	// Reason says what the boxes have answered.
	Reason string
	// Unanswered is the number of boxes that may know it but did not answer.
	Unanswered int
}

func (e ErrUnknown) Error() string {
	return "it is not known which software began the stream: " + e.Reason + ": begin it anew"
}

// IsErrUnknown reports whether an error is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// ErrInvalidRecord is the error for a message of another box with an invalid field.
type ErrInvalidRecord struct{ Field, Remedy string }

func (e ErrInvalidRecord) Error() string { return e.Field + ": " + e.Remedy }

// IsErrInvalidRecord reports whether an error is or wraps an ErrInvalidRecord.
func IsErrInvalidRecord(err error) bool {
	var e ErrInvalidRecord
	return errors.As(err, &e)
}

// ErrLeaving is the error of a box that is stopping and takes no more records.
type ErrLeaving struct{}

func (ErrLeaving) Error() string { return "this box is stopping: record the stream at another one" }

// IsErrLeaving reports whether an error is or wraps an ErrLeaving.
func IsErrLeaving(err error) bool {
	var e ErrLeaving
	return errors.As(err, &e)
}
