// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// ErrNoPath is the error for a box, or for all boxes that were asked, without a connection to
// the targets of a service.
type ErrNoPath struct{ Reason string }

func (e ErrNoPath) Error() string {
	return "no path to the target through other boxes: " + e.Reason + ": check their links to the targets"
}

// IsErrNoPath reports whether an error is or wraps an ErrNoPath.
func IsErrNoPath(err error) bool {
	var e ErrNoPath
	return errors.As(err, &e)
}

// ErrUnknownTarget is the error for a target that a box does not know.
type ErrUnknownTarget struct{ Target string }

func (e ErrUnknownTarget) Error() string {
	return "target " + e.Target + " is not registered here: ask a box with a newer list of targets"
}

// IsErrUnknownTarget reports whether an error is or wraps an ErrUnknownTarget.
func IsErrUnknownTarget(err error) bool {
	var e ErrUnknownTarget
	return errors.As(err, &e)
}

// ErrBusy is the error for a box that can't carry more connections.
type ErrBusy struct{ Reason string }

func (e ErrBusy) Error() string {
	return "the box carries no more connections: " + e.Reason + ": ask another one"
}

// IsErrBusy reports whether an error is or wraps an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// errOtherBox is the cause of a connection that ended because of the box that carried it, so
// that nothing is known of the target.
var errOtherBox = errors.New("the box that carried the connection broke off")

// toConnect converts an error of a dial to one with the code that RelayService documents.
func toConnect(err error) error {
	switch {
	case IsErrUnknownTarget(err):
		return connect.NewError(connect.CodeNotFound, err)
	case IsErrBusy(err):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case IsErrNoPath(err):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, syscall.ECONNREFUSED):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
}

// targetError returns the error of the target that a box reports, nil if the error says nothing
// about the target. It wraps the error that a dial of this box would have had.
func targetError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return errors.WithMessage(syscall.ECONNREFUSED, "another box could not reach the target")
	case connect.CodeDeadlineExceeded:
		return errors.WithMessage(context.DeadlineExceeded, "another box could not reach the target")
	default:
		return nil
	}
}
