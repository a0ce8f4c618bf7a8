// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"sync/atomic"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/routing"
)

// silence ends an attempt whose target says nothing for too long. A call that
// may not be repeated is never ended by it.
type silence struct {
	timer *time.Timer
	done  atomic.Bool
}

// watch starts to wait for the head of an answer.
func (fl *flight) watch(cancel context.CancelFunc) *silence {
	s := &silence{}
	if !routing.Repeatable(fl.route) || fl.ran+1 >= int(fl.route.GetMaxAttempts()) {
		return s
	}
	limit := time.Duration(silenceFactor * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		limit = max(limit, silenceFloor)
	}
	s.timer = time.AfterFunc(limit, func() {
		s.done.Store(true)
		cancel()
	})
	return s
}

func (s *silence) restart(limit time.Duration) {
	if s.timer != nil {
		s.timer.Reset(limit)
	}
}

func (s *silence) fired() bool { return s.done.Load() }

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
