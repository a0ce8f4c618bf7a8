// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotLeader is returned when this box can't serve a request because it is not
// leader. Nothing was proposed.
type ErrNotLeader struct {
	// Leader is the name of the current leader, empty when it is not known.
	Leader string
}

func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "the control boxes have no leader at the moment: ask again in a few seconds"
	}
	return fmt.Sprintf("this box does not lead: ask box %s", e.Leader)
}

// IsErrNotLeader reports whether an error is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	_, ok := errors.Cause(err).(ErrNotLeader)
	return ok
}

// ErrOutcomeUnknown is returned when a proposal may or may not take effect.
type ErrOutcomeUnknown struct {
	Reason string
}

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether the command takes effect (%s): send it again under the same number", e.Reason)
}

// IsErrOutcomeUnknown reports whether an error is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Cause(err).(ErrOutcomeUnknown)
	return ok
}

// ErrStopped is returned once the node of this box has stopped.
type ErrStopped struct {
	Reason error
}

func (e ErrStopped) Error() string {
	return fmt.Sprintf("this box has left the control group: %v", e.Reason)
}
