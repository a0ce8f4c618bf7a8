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
	// timer is nil if the call may not be sent to another target.
	timer   *time.Timer
	expired atomic.Bool
}

// startWatchdog starts the timeout for the header of an answer.
func (fl *inflightCall) startWatchdog(cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	if !routing.IsRepeatable(fl.route) || fl.possibleRuns+1 >= int(fl.route.GetMaxAttempts()) {
		return w
	}
	limit := time.Duration(silenceFactor * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		limit = max(limit, silenceFloor)
	}
	w.timer = time.AfterFunc(limit, func() {
		w.expired.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) restart(limit time.Duration) {
	if w.timer != nil {
		w.timer.Reset(limit)
	}
}

func (w *watchdog) fired() bool { return w.expired.Load() }

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
