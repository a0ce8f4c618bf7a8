// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package speed measures how fast targets are, and turns that into weights for the
// placement of calls. Each box sums up the calls that it has seen answered (Collector),
// control estimates the speeds from the sums of all boxes (Aggregate) and sends them to
// all boxes (List), which weigh the targets of each service by them (Weigh). So all boxes place by
// the same speeds: a single box sees a target too rarely to tell its speed.
package speed

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// MaxPerMessage bounds the samples in a report and the speeds in an answer. At about
// 30 bytes each, either takes 2 KB a second at most with one report a second.
const MaxPerMessage = 64

// Instance is one start of a target. A target that has restarted is another instance, of
// unknown speed.
type Instance struct {
	Target string
	// Born is when it started, in Unix milliseconds by its own clock.
	Born int64
}

// Speed is the speed of an instance; zero values are unknown.
type Speed struct {
	// PromptTokenTime is the time to read a prompt token, EventInterval the time between
	// two events of a stream. A plain service has the time to answer a call as its interval.
	PromptTokenTime, EventInterval time.Duration
}

// IsKnown reports whether either time is known.
func (s Speed) IsKnown() bool { return s.PromptTokenTime > 0 || s.EventInterval > 0 }

func (s Speed) message(i Instance) *betweenv1.TargetSpeed {
	return &betweenv1.TargetSpeed{
		Target: i.Target, Born: i.Born,
		PromptTokenTime: uint64(s.PromptTokenTime.Nanoseconds()), EventInterval: uint64(s.EventInterval.Microseconds()),
	}
}

// maxTime bounds the times in messages, so that a wrong one can't overflow.
const maxTime = time.Hour

func fromMessage(m *betweenv1.TargetSpeed) (Instance, Speed) {
	return Instance{Target: m.GetTarget(), Born: m.GetBorn()}, Speed{
		PromptTokenTime: time.Duration(min(m.GetPromptTokenTime(), uint64(maxTime))),
		EventInterval:   time.Duration(min(m.GetEventInterval(), uint64(maxTime/time.Microsecond))) * time.Microsecond,
	}
}
