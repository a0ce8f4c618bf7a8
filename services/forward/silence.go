// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/spread"
)

const (
	// headWaitShare is the share of its remaining time for which a repeatable call waits for the header
	// of an answer at most, so that there is time for another target.
	headWaitShare = 0.5
	// silenceQueryFactor is how many times the wait for an answer a query stays open, so that a target
	// that is silent is heard as soon as it goes on.
	silenceQueryFactor = 4
	// partWaitShare, in latency objectives of the route, and minPartWait, which covers a lost packet,
	// set how long a head or a size line of a chunk may take from its first byte on, if the call may
	// go to another target. Half of the objective leaves time for that one.
	partWaitShare = 0.5
	minPartWait   = 500 * time.Millisecond
)

// silenceQuery is a query for the load report of a target, to find out whether the target is silent.
type silenceQuery struct {
	// decided is closed once the target has answered or not answered in time.
	decided   chan struct{}
	isDecided bool
}

// decide closes decided. The caller holds f.mu.
func (q *silenceQuery) decide() {
	if !q.isDecided {
		q.isDecided = true
		close(q.decided)
	}
}

// canAsk reports whether a target can be asked for its load report.
func (f *Forwarder) canAsk(t *spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.EngineAPI != nil && f.targets.IsEngine(t.Service)
}

// watchSilence begins to look whether bytes arrive from a target that has a call of this box.
func (f *Forwarder) watchSilence(t *spread.Target) {
	if f.opts.EngineAPI == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets.IsEngine(t.Service) && f.targets.Watch(t, f.opts.Clock.Boot()) {
		f.lookLater(t)
	}
}

func (f *Forwarder) lookLater(t *spread.Target) {
	time.AfterFunc(f.silence.LookInterval(), func() { f.look(t) })
}

// look looks at a watched target, and asks it if it has been quiet for too long.
func (f *Forwarder) look(t *spread.Target) {
	mayAsk := !f.opts.IsCongested()
	f.mu.Lock()
	defer f.mu.Unlock()
	ask, watched := f.targets.Look(t, f.silence, mayAsk, f.opts.Clock.Boot())
	if ask {
		f.startQuery(t)
	}
	if watched {
		f.lookLater(t)
	}
}

// startQuery starts the query that has begun at a target. The caller holds f.mu.
func (f *Forwarder) startQuery(t *spread.Target) *silenceQuery {
	q := &silenceQuery{decided: make(chan struct{})}
	f.queries[t] = q
	go f.query(t, q)
	return q
}

// query asks a target for its load report.
func (f *Forwarder) query(t *spread.Target, q *silenceQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), silenceQueryFactor*f.silentWait)
	defer cancel()
	timer := time.AfterFunc(f.silentWait, func() { f.recordNoAnswer(t, q) })
	defer timer.Stop()
	c, err := f.pool.get(ctx, t, useReports, "")
	if err == nil {
		f.pool.put(c, 0)
		_, _, err = f.request(ctx, t, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	}
	var timeout net.Error
	timedOut := ctx.Err() != nil || err != nil && errors.As(err, &timeout) && timeout.Timeout()
	if timedOut {
		f.recordNoAnswer(t, q)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wasSilent := t.IsSilent()
	t.EndQuery(!timedOut)
	delete(f.queries, t)
	q.decide()
	if wasSilent && !timedOut {
		f.opts.Logger.Info("target not silent any more", "target", t.ID)
	}
}

// recordNoAnswer records that a query had no answer in time.
func (f *Forwarder) recordNoAnswer(t *spread.Target, q *silenceQuery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.isDecided {
		return
	}
	t.RecordNoAnswer(f.silentWait, f.opts.Clock.Boot())
	q.decide()
	f.opts.Logger.Info("target answered no query", "target", t.ID, "silent", t.IsSilent(), "running", t.RunningCalls)
}

// isKnownSilent reports whether a target is known to be silent.
func (f *Forwarder) isKnownSilent(t *spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.IsSilent()
}

// isSilent reports whether a target is silent, and asks it if that is not known. An overloaded target
// answers, or resets the connection.
func (f *Forwarder) isSilent(ctx context.Context, t *spread.Target) bool {
	if f.opts.IsCongested() || !f.canAsk(t) || f.isLimited(t) {
		return false
	}
	f.mu.Lock()
	now := f.opts.Clock.Boot()
	if known := t.IsSilent(); known || t.AnsweredLately(f.silence, now) {
		f.mu.Unlock()
		return known
	}
	q := f.queries[t]
	if q == nil && f.targets.BeginQuery(t, now) {
		q = f.startQuery(t)
	}
	f.mu.Unlock()
	if q == nil {
		return false
	}
	select {
	case <-q.decided:
		return f.isKnownSilent(t)
	case <-ctx.Done():
		return false
	}
}

// headWait returns how long the call waits for the header of an answer before it goes to another target.
func (fl *inflightCall) headWait() time.Duration {
	limit := time.Duration(silenceFactor * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		limit = max(limit, silenceFloor)
	}
	return min(limit, time.Duration(headWaitShare*float64(fl.remaining())))
}

// partWait returns how long a head or a size line may take from its first byte on.
func (fl *inflightCall) partWait() time.Duration {
	wait := time.Duration(partWaitShare * float64(fl.route.GetObjective()) * float64(time.Millisecond))
	wait = max(wait, minPartWait)
	if fl.f.partLimit > 0 {
		wait = fl.f.partLimit
	}
	return min(wait, fl.headWait())
}

// isHeadLate reports whether the head of an answer on the connection has begun and is not complete within
// wait. It never is while the box's own link is congested, as that delays bytes, too.
func (f *Forwarder) isHeadLate(c *conn, wait time.Duration) bool {
	began := time.Duration(c.headBegan.Load())
	return began > 0 && f.opts.Clock.Boot()-began >= wait && !f.opts.IsCongested()
}

// limitHeadWait starts the timer of a watchdog. It looks from time to time whether the target is known to
// be silent, or whether a head has begun and does not end: the wait ends then if there is another target.
// The time for which the body waits for this box's own link does not count.
func (fl *inflightCall) limitHeadWait(w *watchdog, c *conn, excluded map[string]bool) {
	f, t, limit, part, began, id := fl.f, c.target, fl.headWait(), fl.partWait(), fl.now, fl.software
	w.mu.Lock()
	defer w.mu.Unlock()
	look := min(limit, part)
	if f.canAsk(t) {
		look = min(look, f.silence.Quiet)
	}
	w.timer = time.AfterFunc(look, func() {
		since := max(began, time.Duration(c.pacedAt.Load()))
		left := limit - (f.opts.Clock.Boot() - since)
		if left <= 0 || f.isHeadLate(c, part) || f.isKnownSilent(t) && f.hasOther(t, excluded, id) {
			w.expire(f.stallWait)
			return
		}
		w.lookAgain(min(left, look))
	})
}

// lookAgain sets the timer anew while the header has not arrived.
func (w *watchdog) lookAgain(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.answered {
		w.timer.Reset(wait)
	}
}
