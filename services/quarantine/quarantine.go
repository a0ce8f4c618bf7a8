// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package quarantine decides, on a box that sends calls to targets, which calls are
// held back because targets end while they run them. It reports such ends, and later
// successes of these calls, to control.
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
	// reportDelay is how long events are collected into one report, since the end of
	// a target affects all its calls at the same moment.
	reportDelay = 10 * time.Millisecond
	// reportTimeout bounds one report including all attempts, reportPause is the pause
	// after a report that has failed.
	reportTimeout = 900 * time.Millisecond
	reportPause   = 200 * time.Millisecond
	// maxQueued bounds the ends that wait to be reported. It is many times the number
	// of calls that a box has in flight. The oldest ends are dropped first, and are
	// reported once the others have been.
	maxQueued = 512
	// releaseGrace is how long a call is held back beyond the end of its hold while control
	// has not released it. Without the bound, a box that is cut off from control would
	// hold it back forever.
	releaseGrace = time.Minute
)

// Service decides whether calls are held back. It is safe for concurrent use.
type Service struct {
	Options

	mu sync.Mutex
	// pendingEnds holds the ends that control's list may not include yet. They are kept after
	// the report is acknowledged, since the list that includes them arrives later, and
	// much later if the box is cut off.
	pendingEnds     quarantine.PendingEnds
	recentSuccesses quarantine.RecentSuccesses
	partSuccesses   quarantine.PartSuccesses
	queued          statev1.ReportCalls
	// wakeUp wakes Run.
	wakeUp chan struct{}
	// seenRevision is the revision of control's list that was processed last.
	seenRevision uint64
}

// Options configure a Service.
type Options struct {
	// List is the box's copy of the calls that control has listed.
	List   *quarantine.List
	Clock  clock.Clock
	Logger *slog.Logger
	// Report sends a report to control and sets its number.
	Report func(ctx context.Context, r *statev1.ReportCalls) error
}

// New returns a service without any recorded calls. Run must be started for it to send
// reports.
func New(opts Options) *Service {
	return &Service{Options: opts, wakeUp: make(chan struct{}, 1)}
}

// HoldLeft reports whether a call is held back, and for how long.
func (q *Service) HoldLeft(c quarantine.Digest) (left time.Duration, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holdLeft(c, q.recentSuccesses.Contains)
}

// holdLeft reports whether a call or a part of prompts is held back, and for how long. isRecent reports
// whether it has succeeded on this box lately. The caller holds q.mu.
func (q *Service) holdLeft(c quarantine.Digest, isRecent func(quarantine.Digest, time.Duration) bool) (left time.Duration, held bool) {
	// The list must be read under the lock. Ends are dropped once the list includes
	// them, so a row that was read earlier might lack ends that have just been dropped.
	row := q.List.Row(c)
	if row == nil && !q.pendingEnds.Contains(c) {
		return 0, false
	}
	now := q.Clock.Boot()
	if row.GetHeld() && !isRecent(c, now) {
		left := time.UnixMilli(row.GetDue()).Sub(q.Clock.Wall())
		if left > -releaseGrace {
			return max(time.Second, left), true
		}
	}
	return q.pendingEnds.HoldLeft(c, q.onBootClock(row), now)
}

// onBootClock returns a copy of a listed row with its time on this box's boot clock.
func (q *Service) onBootClock(row *statev1.QuarantinedCall) *statev1.QuarantinedCall {
	return quarantine.OnClock(row, q.Clock.Boot()-time.Duration(q.Clock.Wall().UnixNano()))
}

// RecordEnd records that a target ended while it ran a call. A call that has recently
// succeeded on this box is not blamed.
func (q *Service) RecordEnd(c quarantine.Digest, target string, weight uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.recentSuccesses.Contains(c, q.Clock.Boot()) {
		return
	}
	q.countEnd(c, &statev1.EndedUnder{Content: c[:], Target: target, Weight: weight})
}

// countEnd counts an end against a call or a part of prompts. The caller holds q.mu.
func (q *Service) countEnd(c quarantine.Digest, e *statev1.EndedUnder) {
	row, now := q.List.Row(c), q.Clock.Boot()
	listed := q.onBootClock(row)
	_, before := q.pendingEnds.HoldLeft(c, listed, now)
	message, key := "call held back by this box", "content"
	if e.GetPart() {
		message, key = "part of prompts held back by this box", "part"
		q.pendingEnds.AddPart(c, e.GetTarget(), listed, now)
	} else {
		q.pendingEnds.Add(c, e.GetTarget(), e.GetWeight(), listed, now)
	}
	if left, held := q.pendingEnds.HoldLeft(c, listed, now); held && !before && !row.GetHeld() {
		q.Logger.Warn(message, key, c.String(), "target", e.GetTarget(), "listed_weight", row.GetWeight(), "list_reports", q.List.Reports(), "for_ms", left.Milliseconds())
	}
	q.queued.Ended = newestQueued(append(q.queued.Ended, e))
	q.wake()
}

// RecordSuccess records that a call has succeeded.
func (q *Service) RecordSuccess(c quarantine.Digest) {
	listed := q.List.Row(c) != nil
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recentSuccesses.Add(c, q.Clock.Boot())
	if listed || q.pendingEnds.Contains(c) {
		q.reportSuccess(c)
	}
}

// reportSuccess drops the ends of a call and queues a report of its success. The caller holds
// q.mu.
func (q *Service) reportSuccess(c quarantine.Digest) {
	q.pendingEnds.Forget(c)
	q.queued.Served = newestQueued(append(q.queued.Served, c[:]))
	q.wake()
}

func (q *Service) wake() {
	select {
	case q.wakeUp <- struct{}{}:
	default:
	}
}

// ProcessList processes control's list after it may have changed. It drops the ends that the
// list includes, reports listed calls that have recently succeeded on this box, and logs
// how many calls are held back.
func (q *Service) ProcessList() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingEnds.DropListed(q.List, q.Clock.Boot())
	rows, revision := q.List.RowsSince(q.seenRevision)
	if revision == q.seenRevision {
		return
	}
	q.seenRevision = revision
	held := 0
	for _, row := range rows {
		c, ok := quarantine.ParseDigest(row.GetContent())
		switch {
		case !ok:
		case row.GetPart() && q.partSuccesses.TakeUnreported(c, q.Clock.Boot()), !row.GetPart() && q.recentSuccesses.Contains(c, q.Clock.Boot()):
			q.reportSuccess(c)
		}
		if row.GetHeld() {
			held++
		}
	}
	q.Logger.Info("quarantined calls known", "revision", revision, "suspected", len(rows)-held, "held_back", held)
}

// Run sends reports to control until the context is cancelled.
func (q *Service) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wakeUp:
		}
		periodic.Sleep(ctx, reportDelay)
		for !q.report(ctx) && ctx.Err() == nil {
			periodic.Sleep(ctx, reportPause)
		}
	}
}

// report sends the queued events. It returns false if control has not accepted them;
// they are queued again then.
func (q *Service) report(ctx context.Context) bool {
	q.mu.Lock()
	r := &statev1.ReportCalls{Ended: q.queued.Ended, Served: q.queued.Served}
	q.queued.Ended, q.queued.Served = nil, nil
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
		q.queued.Ended = newestQueued(append(r.GetEnded(), q.queued.Ended...))
		q.queued.Served = newestQueued(append(r.GetServed(), q.queued.Served...))
		return false
	}
	// The list that includes the report may have arrived before the acknowledgement.
	q.pendingEnds.Acknowledge(r)
	q.pendingEnds.DropListed(q.List, q.Clock.Boot())
	q.queueUnreported(r)
	return true
}

// queueUnreported queues ends that were dropped from the queue while control could not be
// reached. Older versions of control acknowledge no ends (the number is zero), so
// nothing is reported to them again. The caller holds q.mu.
func (q *Service) queueUnreported(r *statev1.ReportCalls) {
	if r.GetNumber() == 0 || len(q.queued.GetEnded()) > 0 {
		return
	}
	if q.queued.Ended = q.pendingEnds.Unreported(maxQueued); len(q.queued.Ended) > 0 {
		q.wake()
	}
}

// newestQueued returns the last maxQueued elements of list.
func newestQueued[T any](list []T) []T { return list[max(0, len(list)-maxQueued):] }
