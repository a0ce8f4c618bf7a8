// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
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
	// progress counts the times at which the target was heard. It also changes when the attempt ends.
	progress atomic.Int64
	// answered is set once the header has arrived, and begun if the caller has a part of the answer from
	// an earlier attempt. With either the attempt is canceled only if stalled is true and retry succeeds.
	answered atomic.Bool
	begun    bool
	stalled  func() bool
	retry    func() bool
	// mu is held while the timer is set, and while it is decided whether the attempt is canceled.
	mu sync.Mutex
}

// startWatchdog starts the timeout for the header of an answer.
func (fl *inflightCall) startWatchdog(ctx context.Context, t *spread.Target, cancel context.CancelFunc) *watchdog {
	w := &watchdog{cancel: cancel, begun: fl.sink.started()}
	if !routing.IsRepeatable(fl.route) || fl.possibleRuns+1 >= int(fl.route.GetMaxAttempts()) || fl.sendCount+1 >= maxSends {
		return w
	}
	f, service, excluded := fl.f, fl.service.GetName(), maps.Clone(fl.excluded)
	w.stalled = func() bool { return f.isSilent(ctx, t) && f.hasOther(t, excluded) }
	w.retry = func() bool {
		if !f.takeRetry(service) {
			return false
		}
		fl.retryTaken.Store(true)
		return true
	}
	limit := time.Duration(silenceFactor * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		limit = max(limit, silenceFloor)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() { w.expire(f.stallWait) })
	return w
}

// expire cancels the attempt. Once an answer has begun it does so only if the target is silent and the
// stream may go on elsewhere; else it looks again after wait.
func (w *watchdog) expire(wait time.Duration) {
	seen := w.progress.Load()
	hasAnswer := w.begun || w.answered.Load()
	mayCancel := !hasAnswer || w.stalled()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.progress.Load() != seen:
	case !mayCancel || hasAnswer && !w.retry():
		w.timer.Reset(wait)
	default:
		w.expired.Store(true)
		w.cancel()
	}
}

// answer records that the header has arrived. It returns false if the attempt has been canceled.
func (w *watchdog) answer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.Add(1)
	w.answered.Store(true)
	return !w.expired.Load()
}

// restart begins to wait for the next bytes of a stream.
func (w *watchdog) restart(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.Add(1)
	if w.timer != nil {
		w.timer.Reset(limit)
	}
}

func (w *watchdog) fired() bool { return w.expired.Load() }

// stop ends the wait; the attempt is not canceled any more until restart.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.Add(1)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasOther reports whether a stream may go on at a target other than t and those that are excluded.
func (f *Forwarder) hasOther(t *spread.Target, excluded map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.HasOther(t, excluded)
}

// isSilent reports whether a target gives no answer at all to a query for its load report. An overloaded
// target answers, or resets the connection.
func (f *Forwarder) isSilent(ctx context.Context, t *spread.Target) bool {
	if f.opts.EngineAPI == nil || f.opts.IsCongested() || f.isLimited(t) {
		return false
	}
	query, cancel := context.WithTimeout(ctx, f.silentWait)
	defer cancel()
	c, err := f.pool.get(query, t, useReports, "")
	if err == nil {
		f.pool.put(c, 0)
		_, _, err = f.request(query, t, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	}
	var timeout net.Error
	isSilent := ctx.Err() == nil && (query.Err() != nil || err != nil && errors.As(err, &timeout) && timeout.Timeout())
	f.opts.Logger.Info("target asked about a stalled stream", "target", t.ID, "silent", isSilent)
	return isSilent
}
