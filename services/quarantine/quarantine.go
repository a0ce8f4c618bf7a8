// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine tells, on a box that sends calls to targets, which calls are
// held back since targets end under them, and reports to control what shows that,
// or the contrary.
package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// reportGather is how long news of calls are gathered into one report: the
	// end of a target strikes all its calls at the same moment.
	reportGather = 10 * time.Millisecond
	// reportTimeout bounds one report with all its tries, reportPause the time
	// between two that fail.
	reportTimeout = 900 * time.Millisecond
	reportPause   = 200 * time.Millisecond
	// mostReported bounds the ends that wait for control, many times the calls that
	// a box has under way; the oldest give way, and are told once the others are.
	mostReported = 512
	// overdue is how long a call is held back after its time is over, while
	// control does not say so: a box that is cut off must not hold it for ever.
	overdue = time.Minute
)

// Service tells whether a call is held back.
type Service struct {
	Options

	mu sync.Mutex
	// own holds the ends that control's list may not count yet. An acknowledgement
	// does not end them: the list that counts them comes later, in a cut much later.
	own     quarantine.Unlisted
	served  quarantine.Recent
	waiting statev1.ReportCalls
	// news wakes the reporter.
	news chan struct{}
	// seen is the revision of control's list that was looked through last.
	seen uint64
}

// Options configure a Service.
type Options struct {
	// List is the box's copy of what control has listed.
	List   *quarantine.List
	Clock  clock.Clock
	Logger *slog.Logger
	// Report tells control and sets the number of the report.
	Report func(ctx context.Context, r *statev1.ReportCalls) error
}

// New returns a service that knows of no calls.
func New(opts Options) *Service {
	return &Service{Options: opts, news: make(chan struct{}, 1)}
}

// Held tells whether a call is held back, and for how long.
func (q *Service) Held(c quarantine.Content) (left time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// The list is read under the lock: ends are dropped once it counts them, so one
	// that was read before could lack what has just been dropped.
	row := q.List.Row(c)
	if row == nil && !q.own.Has(c) {
		return 0, false
	}
	now := q.Clock.Boot()
	if row.GetHeld() && !q.served.Has(c, now) {
		left := time.UnixMilli(row.GetDue()).Sub(q.Clock.Wall())
		if left > -overdue {
			return max(time.Second, left), true
		}
	}
	return q.own.Held(c, q.onBootClock(row), now)
}

// onBootClock returns a listed row with its time on the boot clock of this box.
func (q *Service) onBootClock(row *statev1.QuarantinedCall) *statev1.QuarantinedCall {
	return quarantine.OnClock(row, q.Clock.Boot()-time.Duration(q.Clock.Wall().UnixNano()))
}

// Ended notes that a target ended while it had a call. A call that has ended well
// here a moment ago is not to blame.
func (q *Service) Ended(c quarantine.Content, target string, weight uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.served.Has(c, q.Clock.Boot()) {
		return
	}
	row, now := q.List.Row(c), q.Clock.Boot()
	listed := q.onBootClock(row)
	_, before := q.own.Held(c, listed, now)
	q.own.Add(c, target, weight, listed, now)
	if left, held := q.own.Held(c, listed, now); held && !before && !row.GetHeld() {
		q.Logger.Warn("call held back by this box", "content", c.String(), "target", target, "listed_weight", row.GetWeight(), "list_reports", q.List.Reports(), "for_ms", left.Milliseconds())
	}
	q.waiting.Ended = lastOf(append(q.waiting.Ended, &statev1.EndedUnder{Content: c[:], Target: target, Weight: weight}))
	q.wake()
}

// Served notes that a call has ended well.
func (q *Service) Served(c quarantine.Content) {
	listed := q.List.Row(c) != nil
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served.Add(c, q.Clock.Boot())
	if listed || q.own.Has(c) {
		q.clear(c)
	}
}

// clear tells control that a call ended well; the caller holds the lock.
func (q *Service) clear(c quarantine.Content) {
	q.own.Forget(c)
	q.waiting.Served = lastOf(append(q.waiting.Served, c[:]))
	q.wake()
}

func (q *Service) wake() {
	select {
	case q.news <- struct{}{}:
	default:
	}
}

// Listed looks through control's list when it is new: ends that it counts are dropped,
// a call on it that has ended well here a moment ago is told of, and what is held back
// is logged.
func (q *Service) Listed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.own.Settle(q.List, q.Clock.Boot())
	rows, revision := q.List.After(q.seen)
	if revision == q.seen {
		return
	}
	q.seen = revision
	held := 0
	for _, row := range rows {
		c, ok := quarantine.ContentOf(row.GetContent())
		if ok && q.served.Has(c, q.Clock.Boot()) {
			q.clear(c)
		}
		if row.GetHeld() {
			held++
		}
	}
	q.Logger.Info("quarantined calls known", "revision", revision, "suspected", len(rows)-held, "held_back", held)
}

// Run reports to control until the context ends.
func (q *Service) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.news:
		}
		periodic.Sleep(ctx, reportGather)
		for !q.report(ctx) && ctx.Err() == nil {
			periodic.Sleep(ctx, reportPause)
		}
	}
}

// report sends what waits. It returns false when control has not taken it.
func (q *Service) report(ctx context.Context) bool {
	q.mu.Lock()
	r := &statev1.ReportCalls{Ended: q.waiting.Ended, Served: q.waiting.Served}
	q.waiting.Ended, q.waiting.Served = nil, nil
	q.mu.Unlock()
	if len(r.GetEnded())+len(r.GetServed()) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := q.Report(ctx, r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.Logger.Warn("control was not told of calls under which targets ended", "ended", len(r.GetEnded()), "served", len(r.GetServed()), "reason", err.Error())
		q.waiting.Ended = lastOf(append(r.GetEnded(), q.waiting.Ended...))
		q.waiting.Served = lastOf(append(r.GetServed(), q.waiting.Served...))
		return false
	}
	// The list that counts the report may have come before the answer.
	q.own.Acknowledge(r)
	q.own.Settle(q.List, q.Clock.Boot())
	q.reportRest(r)
	return true
}

// reportRest has the ends told that gave way to others while control was out of reach.
// Control of an earlier version acknowledges no end, so it is told of none again. The
// caller holds the lock.
func (q *Service) reportRest(r *statev1.ReportCalls) {
	if r.GetNumber() == 0 || len(q.waiting.GetEnded()) > 0 {
		return
	}
	if q.waiting.Ended = q.own.Unreported(mostReported); len(q.waiting.Ended) > 0 {
		q.wake()
	}
}

// lastOf bounds what waits for control.
func lastOf[T any](list []T) []T { return list[max(0, len(list)-mostReported):] }
