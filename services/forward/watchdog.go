// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

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
	fl.f.watchSilence(t)
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
	fl.limitHeadWait(w, t, excluded)
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
