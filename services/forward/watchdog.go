// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/models/spread"
)

// watchdog ends an attempt whose target stays silent for too long, if the call may go on at another one.
// It never ends an attempt of a call that may not be repeated.
type watchdog struct {
	// timer limits the wait for the header. It is nil if the call may not be sent to another target.
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	// answered is set once the header has arrived or the attempt has ended, and overdue once the wait for it
	// was over before.
	answered, overdue bool
	// mayCancel reports whether another target may have the call, and takes a retry for it if so.
	mayCancel func() bool
	// handOver looks for a target that accepts the stream in place of one that is silent, or that sends
	// bytes without events, which mustLeave says; nil if the call may not be sent to another target.
	handOver func(mustLeave bool) *successor
	// next is the target that has accepted the stream.
	next *successor
	// mu is held while it is decided whether the attempt is canceled.
	mu sync.Mutex
}

// startWatchdog starts the timeout for the header of an answer on a connection. callCtx ends with the
// call, ctx with the attempt; runs and sends are the numbers of them with the attempt.
func (fl *inflightCall) startWatchdog(callCtx, ctx context.Context, c *conn, runs, sends int, cancel context.CancelFunc) *watchdog {
	fl.f.watchSilence(c.target)
	w := &watchdog{cancel: cancel}
	if !routing.IsRepeatable(fl.route) || runs >= int(fl.route.GetMaxAttempts()) || sends >= maxSends {
		return w
	}
	f, t, call, service, excluded, begun, id := fl.f, c.target, fl.call.ID, fl.service.GetName(), maps.Clone(fl.excluded), fl.sink.started(), fl.software
	part := fl.partWait()
	w.mayCancel = func() bool {
		switch {
		case begun && !f.isHeadLate(c, part) && !f.isSilent(ctx, t):
			f.logKept(call, t, keptAlive)
		case !f.hasOther(t, excluded, id):
			f.logKept(call, t, stopNoTarget)
		case !f.takeRetry(service):
			f.logKept(call, t, stopNoRetry)
		default:
			fl.retryTaken.Store(true)
			return true
		}
		return false
	}
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		w.handOver = func(mustLeave bool) *successor { return fl.handOver(callCtx, t, c, mustLeave) }
	}
	fl.limitHeadWait(w, c, excluded)
	return w
}

// expire cancels the attempt if no header has arrived and another target may have the call; else it
// looks again after wait.
func (w *watchdog) expire(wait time.Duration) {
	mayCancel := w.mayCancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overdue = !w.answered
	switch {
	case w.answered:
	case !mayCancel:
		w.timer.Reset(wait)
	default:
		w.expired.Store(true)
		w.cancel()
	}
}

// answer records that the header has arrived. It returns false if the attempt has been canceled.
func (w *watchdog) answer() bool {
	w.stop()
	return !w.expired.Load()
}

// fired reports whether the attempt was given up for the silence of its target.
func (w *watchdog) fired() bool { return w.expired.Load() }

// isOverdue reports whether the wait for the header was over, and none has arrived.
func (w *watchdog) isOverdue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overdue && !w.answered
}

// stop ends the wait for the header.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Reasons for which an attempt goes on at a target that is slow or silent, in logs, besides those for which
// a call is not sent to a further target.
const (
	keptAlive    = "the target is alive"
	keptDeclined = "no other target accepted it"
	keptAnswered = "the target has answered"
)

// logKept logs why a call stays at a target from which it has got nothing for a while.
func (f *Forwarder) logKept(call string, t *spread.Target, reason string) {
	f.opts.Logger.Info("attempt goes on at a slow target", "request", call, "target", t.ID, "reason", reason)
}

// hasOther reports whether a call of the given software, empty for any, may go to a target other than t
// and those that are excluded.
func (f *Forwarder) hasOther(t *spread.Target, excluded map[string]bool, id software.Identity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.HasOther(t, excluded, id)
}
