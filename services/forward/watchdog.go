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

// watchdog cancels an attempt whose target stays silent for too long. It never cancels a call
// that may not be repeated.
type watchdog struct {
	timer *time.Timer
	done  atomic.Bool
}

// startWatchdog starts the timeout for the header of an answer.
func (fl *inflightCall) startWatchdog(cancel context.CancelFunc) *watchdog {
	s := &watchdog{}
	if !routing.IsRepeatable(fl.route) || fl.possibleRuns+1 >= int(fl.route.GetMaxAttempts()) {
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

func (s *watchdog) restart(limit time.Duration) {
	if s.timer != nil {
		s.timer.Reset(limit)
	}
}

func (s *watchdog) fired() bool { return s.done.Load() }

func (s *watchdog) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
