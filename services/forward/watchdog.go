// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/spread"
)

// watchdog cancels an attempt whose target stays silent for too long. It never cancels a call
// that may not be repeated.
type watchdog struct {
	// timer is nil if the call may not be sent to another target.
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	// progress counts the times at which the target was heard, and the end of the attempt.
	progress atomic.Int64
	// streaming is set once the header of a stream has arrived. From then on givesUp decides whether the
	// attempt is canceled.
	streaming atomic.Bool
	givesUp   func() bool
}

// startWatchdog starts the timeout for the header of an answer.
func (fl *inflightCall) startWatchdog(ctx context.Context, t *spread.Target, cancel context.CancelFunc) *watchdog {
	w := &watchdog{cancel: cancel, givesUp: func() bool { return fl.givesUp(ctx, t) }}
	if !routing.IsRepeatable(fl.route) || fl.possibleRuns+1 >= int(fl.route.GetMaxAttempts()) {
		return w
	}
	limit := time.Duration(silenceFactor * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		limit = max(limit, silenceFloor)
	}
	w.timer = time.AfterFunc(limit, func() { w.expire(fl.f.stallWait) })
	return w
}

// expire cancels the attempt, unless its stream is to go on. Then it looks again after wait.
func (w *watchdog) expire(wait time.Duration) {
	seen := w.progress.Load()
	givesUp := !w.streaming.Load() || w.givesUp()
	switch {
	case w.progress.Load() != seen:
	case givesUp:
		w.expired.Store(true)
		w.cancel()
	default:
		w.timer.Reset(wait)
	}
}

// restart begins to wait for the next bytes of a stream.
func (w *watchdog) restart(limit time.Duration) {
	w.progress.Add(1)
	w.streaming.Store(true)
	if w.timer != nil {
		w.timer.Reset(limit)
	}
}

func (w *watchdog) fired() bool { return w.expired.Load() }

func (w *watchdog) stop() {
	w.progress.Add(1)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// givesUp reports whether a stream is to be given up at a target that has gone silent in the middle of it:
// if the stream can go on elsewhere, and the target does not answer a query either. An overloaded target
// answers, and its stream is only late.
func (fl *inflightCall) givesUp(ctx context.Context, t *spread.Target) bool {
	f := fl.f
	if fl.sendCount >= maxSends || fl.possibleRuns >= int(fl.route.GetMaxAttempts()) {
		return false
	}
	if !f.isSilent(ctx, t) {
		return false
	}
	f.mu.Lock()
	hasOther := f.targets.HasOther(t)
	f.mu.Unlock()
	if !hasOther || !f.takeRetry(fl.service.GetName()) {
		return false
	}
	fl.retryTaken.Store(true)
	return true
}

// isSilent reports whether a target does not answer a query for its load report.
func (f *Forwarder) isSilent(ctx context.Context, t *spread.Target) bool {
	if f.opts.EngineAPI == nil || f.opts.IsCongested() || f.isLimited(t) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, f.silentWait)
	defer cancel()
	status, _, err := f.request(ctx, t, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	isSilent := err != nil && !errors.Is(err, errLimited) && !errors.Is(err, errEvacuated)
	f.opts.Logger.Info("target asked about a stalled stream", "target", t.ID, "silent", isSilent, "status", status)
	return isSilent
}
