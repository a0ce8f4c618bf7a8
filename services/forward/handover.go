// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// A stream whose target is silent may go on at another target. The silent one may also answer again, so
// the stream leaves it only once the other one has accepted the call.

const (
	// acceptWait is how long after a call was sent a target that has not turned it away counts as having
	// accepted it.
	acceptWait = 200 * time.Millisecond
	// maxOffers limits the targets that are asked to accept a stream each time it has stalled.
	maxOffers = 3
	// quietPoll is the time between looks for bytes of the silent target meanwhile.
	quietPoll = 20 * time.Millisecond
)

// successor is a target that has accepted a stream in place of a silent one.
type successor struct {
	choice spread.Choice
	x      *exchange
	sent   time.Duration
	// ctx and cancel are those of the attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// head brings the result of reading the header.
	head chan error
	// startCheck and waitingTokens become those of the call.
	startCheck    <-chan startAnswer
	waitingTokens int
}

// handOver looks for a target that accepts the stream in place of from, which is silent on the
// connection c, or sends bytes without events if mustLeave is set. It returns nil if the stream is to
// stay.
func (fl *inflightCall) handOver(ctx context.Context, from *spread.Target, c *conn, mustLeave bool) *successor {
	quiet, stop := whileQuiet(ctx, c)
	if mustLeave {
		stop()
		quiet, stop = context.WithCancel(ctx)
	}
	defer stop()
	if reason := fl.whyStay(quiet, from, mustLeave); reason != "" {
		fl.f.logKept(fl.call.ID, from, reason)
		return nil
	}
	resumption, sentAt, start := fl.resumption, fl.sentAt, from.StartIdentity()
	fl.releaseWaitingTokens(from)
	fl.resumption, fl.excluded[start] = nil, true
	next := fl.offerToOthers(ctx, quiet)
	reason := keptDeclined
	if next != nil && (ctx.Err() != nil || !mustLeave && !c.isQuiet()) {
		fl.withdraw(next)
		next, reason = nil, keptAnswered
	}
	if next == nil {
		delete(fl.excluded, start)
		fl.resumption, fl.sentAt = resumption, sentAt
		fl.f.logKept(fl.call.ID, from, reason)
		return nil
	}
	c.close()
	resumption.release()
	next.waitingTokens, fl.waitingTokens = fl.waitingTokens, 0
	fl.f.opts.Logger.Info("stream leaves a silent target", "request", fl.call.ID, "target", from.ID, "next", next.choice.Target.ID, "last_event", fl.events.last, "bytes_without_event", mustLeave)
	return next
}

// whileQuiet returns a context that ends as soon as bytes arrive on a connection.
func whileQuiet(ctx context.Context, c *conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(quietPoll)
		defer ticker.Stop()
		for c.isQuiet() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// whyStay returns why the stream can't leave a target from which nothing comes, or only bytes without
// events if mustLeave is set, empty if it may.
func (fl *inflightCall) whyStay(quiet context.Context, from *spread.Target, mustLeave bool) string {
	f, service := fl.f, fl.service.GetName()
	if !fl.hasAttempt() {
		return stopNoAttempt
	}
	if !f.hasOther(from, fl.excluded, fl.software) {
		fl.readmit()
		return stopNoTarget
	}
	if !fl.retryTaken.Load() && !f.hasRetry(service) {
		return stopNoRetry
	}
	isSilent := mustLeave || f.isSilent(quiet, from)
	fl.tick()
	switch {
	case quiet.Err() != nil:
		return keptAnswered
	case !isSilent:
		return keptAlive
	}
	return ""
}

// hasAttempt reports whether one more target may run the call.
func (fl *inflightCall) hasAttempt() bool {
	return fl.possibleRuns < int(fl.route.GetMaxAttempts())
}

// offerToOthers sends the call to another target that is not silent. It returns nil if none has
// accepted it, or once quiet has ended.
func (fl *inflightCall) offerToOthers(ctx, quiet context.Context) *successor {
	var silent []string
	defer func() {
		for _, start := range silent {
			delete(fl.excluded, start)
		}
	}()
	criteria := fl.criteria()
	criteria.MaxWait, criteria.MaxSeatWait = -1, -1
	for range maxOffers {
		c := fl.chooseNow(quiet, criteria)
		if c.Target == nil {
			return nil
		}
		if fl.f.isSilent(quiet, c.Target) {
			fl.releaseSlot(c.Target, attempt{verdict: inconclusive})
			fl.excluded[c.Target.StartIdentity()] = true
			silent = append(silent, c.Target.StartIdentity())
			continue
		}
		sends := fl.sendCount
		next, a := fl.offer(ctx, quiet, c)
		if next != nil {
			return next
		}
		fl.releaseSlot(c.Target, a)
		fl.excludeAfter(c.Target, a)
		if fl.sendCount > sends || quiet.Err() != nil {
			return nil
		}
	}
	return nil
}

// offer sends the call to a target and waits until that has accepted it. Otherwise it returns the result
// of the attempt. Nothing is sent once quiet has ended.
func (fl *inflightCall) offer(ctx, quiet context.Context, choice spread.Choice) (*successor, attempt) {
	t := choice.Target
	fl.sentAt = 0
	c, failed := fl.connect(quiet, choice)
	if failed != nil {
		return nil, *failed
	}
	if quiet.Err() != nil || !fl.mayHaveCalls(t) || !fl.retryTaken.Swap(false) && !fl.f.takeRetry(fl.service.GetName()) {
		fl.f.pool.put(c, 0)
		return nil, attempt{verdict: inconclusive, notRun: true, err: errNotSent}
	}
	next := &successor{choice: choice, sent: fl.now, head: make(chan error, 1), startCheck: fl.checkStart(ctx, c)}
	next.ctx, next.cancel = fl.attemptContext(ctx)
	var failure *attempt
	if next.x, failure = fl.send(next.ctx, choice, c, &watchdog{}, next.sent); failure != nil {
		next.cancel()
		return nil, *failure
	}
	go func() { next.head <- next.x.read(fl.call.ID) }()
	accepted := time.NewTimer(acceptWait)
	defer accepted.Stop()
	select {
	case err := <-next.head:
		if err == nil && !fl.isNotRun(next.x) {
			next.head <- nil
			return next, attempt{}
		}
		defer next.cancel()
		if err != nil {
			return nil, fl.unanswered(next.ctx, t, next.x, &watchdog{}, err)
		}
		return nil, fl.handleNotRun(t, next.x, next.x.head.StatusCode())
	case <-accepted.C:
	case <-ctx.Done():
	}
	return next, attempt{}
}

// mayHaveCalls reports whether new calls may still go to a target that was chosen a while ago.
func (fl *inflightCall) mayHaveCalls(t *spread.Target) bool {
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	return fl.f.targets.MayHaveCalls(t)
}

// withdraw takes the call back from a target that has accepted it, as the silent one has answered or the
// call has ended.
func (fl *inflightCall) withdraw(next *successor) {
	next.x.abandon()
	next.cancel()
	fl.missedTail = true
	fl.recordSend(next.choice.Target, "not needed")
	fl.releaseSlot(next.choice.Target, attempt{verdict: inconclusive, err: errNotNeeded})
}

// goOnAt continues the stream at the target that has accepted it.
func (fl *inflightCall) goOnAt(ctx context.Context, next *successor) attempt {
	defer next.cancel()
	fl.startCheck, fl.waitingTokens = next.startCheck, next.waitingTokens
	before, t := fl.events.count, next.choice.Target
	wd := fl.startWatchdog(ctx, next.ctx, next.x.conn, fl.possibleRuns, fl.sendCount, next.cancel)
	defer wd.stop()
	var a attempt
	if err := <-next.head; err != nil {
		a = fl.unanswered(next.ctx, t, next.x, wd, err)
	} else {
		a = fl.handleHead(next.ctx, next.choice, next.x, wd, next.sent)
	}
	fl.concludeAttempt(&a, next.x.conn, wd, before)
	return a
}

// isNotRun reports whether an answer says that the target did not run the call.
func (fl *inflightCall) isNotRun(x *exchange) bool {
	return len(x.head.Peek(fl.f.opts.Dialect.NotRun)) > 0 || x.head.StatusCode() == http.StatusMisdirectedRequest
}
