// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rate

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Message returns the message with which boxes send each other the statement of a
// target's start. It has the age of the statement, since the clocks of boxes differ.
func (s Statement) Message(target string, born int64, service string, now time.Duration) *betweenv1.TargetLimit {
	m := &betweenv1.TargetLimit{
		Target: target, Born: born, Service: service,
		SentAgo: (now - s.Sent).Milliseconds(), ReceivedAgo: (now - s.Received).Milliseconds(),
	}
	if s.Limit == Unlimited {
		m.None = true
	} else {
		m.PerSecond = s.Limit
	}
	return m
}

// FromMessage returns the statement in a message that arrived at now, false if its limit is
// invalid.
func FromMessage(m *betweenv1.TargetLimit, now time.Duration) (Statement, bool) {
	s := Statement{
		Limit: m.GetPerSecond(),
		Sent:  now - time.Duration(m.GetSentAgo())*time.Millisecond, Received: now - time.Duration(m.GetReceivedAgo())*time.Millisecond,
	}
	if m.GetNone() {
		s.Limit = Unlimited
	}
	return s, s.Limit >= 0
}
