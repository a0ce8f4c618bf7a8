// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package controltest provides fakes of the control service for tests.
package controltest

import (
	"context"

	"havenwinch.dev/havenwinch/services/control"
)

// Log applies entries immediately, like a group with a single member.
type Log struct{ Machine *control.Machine }

// Propose implements control.Log.
func (l Log) Propose(_ context.Context, data []byte) (any, error) {
	return l.Machine.Apply(data), nil
}

// ReadBarrier implements control.Log.
func (l Log) ReadBarrier() error { return nil }
