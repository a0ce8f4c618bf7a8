// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotLeader says that another box must be asked. Nothing was proposed.
type ErrNotLeader struct {
	// Leader is the box to ask, empty when there is none at the moment.
	Leader string
}

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "the control boxes have no leader at the moment: ask again in a few seconds"
	}
	return fmt.Sprintf("this box does not lead: ask box %s", e.Leader)
}

// IsErrNotLeader tells whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	_, ok := errors.Cause(err).(ErrNotLeader)
	return ok
}

// ErrOutcomeUnknown says that a proposal may or may not take effect.
type ErrOutcomeUnknown struct {
	Reason string
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether the command takes effect (%s): send it again under the same number", e.Reason)
}

// IsErrOutcomeUnknown tells whether an error is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Cause(err).(ErrOutcomeUnknown)
	return ok
}

// ErrStopped says that this box's log takes nothing more.
type ErrStopped struct {
	Reason error
}

func (e ErrStopped) Error() string {
	return fmt.Sprintf("this box has left the control group: %v", e.Reason)
}
