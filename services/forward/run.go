// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/structs"
)

const (
	// maxUnreachable limits the targets that are tried while none can be reached, and the
	// attempts that fail because a rate limit was used up in the meantime.
	maxUnreachable = 5
	// silenceFactor, in latency objectives of the route, and silenceFloor, a minimum for
	// streams, set how long a repeatable call waits for an answer before it goes to another
	// target.
	silenceFactor = 2.5
	silenceFloor  = time.Second
	// stallLimit is how long a resumable stream stalls before its target is asked whether it is alive, and
	// silentTimeout how long that waits for an answer.
	stallLimit    = 1500 * time.Millisecond
	silentTimeout = 500 * time.Millisecond
	// drainLimit is how long the rest of an answer that is not relayed may take: a new connection
	// costs less.
	drainLimit = 200 * time.Millisecond
	// minOtherWait and maxOtherWait are the first and the greatest limit of the random time between two looks
	// for a target or a retry by a call that has left a silent target.
	minOtherWait = 300 * time.Millisecond
	maxOtherWait = 2400 * time.Millisecond
)

// answer is a complete answer that has not been relayed.
type answer struct {
	status int
	fields []Field
	body   []byte
	// declaredLength is the Content-Length to declare to the caller, negative for none.
	declaredLength int
}

// attempt is the result of sending the call to one target.
type attempt struct {
	verdict verdict
	// notRun is set when the target certainly did not run the call.
	notRun bool
	// done is set when the caller has its answer, finished when the target has ended the call.
	done, finished bool
	// failure is an error answer of the target, to be relayed if no other target does better.
	failure *answer
	err     error
	// tooLate is set when nobody waits for the answer any more; the call was not sent.
	tooLate bool
	// limited is set when the target accepted no more requests from this box, or its data centre
	// was evacuated in the meantime; the call was not sent.
	limited bool
	// heldFor is how much longer the call is quarantined; it was not sent then.
	heldFor time.Duration
	// resumption is set when the run was stopped to continue elsewhere.
	resumption *resumption
	// notSent is set when the call was not sent as it is not certain which start of the target would
	// have got it.
	notSent bool
	// starved is set when the box lacked a descriptor or the like to dial the target.
	starved bool
	// carried is set when another box carried the call, noPath when no box reaches the service.
	carried, noPath bool
	// givenUp is set when the attempt was given up for the silence of its target.
	givenUp bool
	// next is the target that has accepted the stream in place of a silent one.
	next *successor
}

// run sends the call to one target after another, within the limits on retries.
func (fl *inflightCall) run(ctx context.Context) error {
	fl.creditRetryBudget()
	var last attempt
	unreached, withheld := 0, 0
	for {
		c := fl.pickTarget(ctx)
		t := c.Target
		if t == nil && fl.awaitCheck(ctx) {
			continue
		}
		if t == nil {
			fl.stopReason = stopNoTarget
			if fl.awaitOther(ctx) {
				continue
			}
			return fl.finalAnswer(ctx, last)
		}
		last = fl.attempt(ctx, c)
		for last.next != nil {
			fl.releaseSlot(t, last)
			fl.excludeAfter(t, last)
			t = last.next.choice.Target
			last = fl.goOnAt(ctx, last.next)
		}
		fl.releaseSlot(t, last)
		if last.failure != nil {
			fl.failure = last.failure
		}
		if last.limited && ctx.Err() == nil && withheld < maxUnreachable {
			// Another call took the last of this box's share in the meantime.
			withheld++
			continue
		}
		fl.excludeAfter(t, last)
		if last.done {
			fl.recordServed(last)
			return last.err
		}
		if last.tooLate || last.heldFor > 0 || last.noPath {
			return fl.finalAnswer(ctx, last)
		}
		if fl.resumesFromCopy(ctx, last) {
			continue
		}
		// A call that reached no target may go elsewhere without a retry from the budget. One
		// whose run was stopped to be moved has reached a target.
		notReached := (last.verdict == unreachable || last.verdict == cutOff || last.notSent || last.starved) && !fl.resumed
		if notReached && ctx.Err() == nil {
			unreached++
			if unreached < maxUnreachable || fl.awaitCheck(ctx) {
				continue
			}
		}
		if ctx.Err() != nil || notReached || !fl.canRetry(last.notRun) {
			if fl.awaitOther(ctx) && fl.awaitRetry(ctx) {
				continue
			}
			return fl.finalAnswer(ctx, last)
		}
		if last.notRun {
			randomPause(ctx, 10*time.Millisecond)
			fl.tick()
		}
	}
}

// exclude keeps a target from being chosen again for the call. When it turns out that the box has
// lost its own links, those that it could not reach may have the call through another box.
func (fl *inflightCall) exclude(t *spread.Target, v verdict) {
	switch v {
	case cutOff:
		fl.readmitUnreached()
		return
	case unreachable:
		fl.unreachedTargets = append(fl.unreachedTargets, t.StartIdentity())
	}
	fl.excluded[t.StartIdentity()] = true
}

// excludeAfter excludes the target of an attempt. One that has only turned the call away or was silent may
// be tried again when no other is left.
func (fl *inflightCall) excludeAfter(t *spread.Target, a attempt) {
	fl.exclude(t, a.verdict)
	if a.verdict == rejected || a.givenUp || a.verdict == inconclusive && a.notRun {
		fl.excludedForNow = append(fl.excludedForNow, t.StartIdentity())
	}
}

// readmit admits the targets that were excluded for now.
func (fl *inflightCall) readmit() {
	for _, start := range fl.excludedForNow {
		delete(fl.excluded, start)
	}
	fl.excludedForNow = nil
}

// awaitOther waits before the call is sent to any target again, if this box gave up an attempt that could
// have succeeded: then the call does not end before its time because the other targets have no room.
func (fl *inflightCall) awaitOther(ctx context.Context) bool {
	if !fl.gaveUp || !fl.hasAttempt() {
		return false
	}
	fl.readmit()
	fl.stopReason = ""
	fl.otherWait = min(maxOtherWait, max(minOtherWait, 2*fl.otherWait))
	randomPause(ctx, fl.otherWait)
	fl.tick()
	return ctx.Err() == nil && fl.remaining() > 0
}

// awaitRetry waits for a retry from the budget.
func (fl *inflightCall) awaitRetry(ctx context.Context) bool {
	for !fl.f.takeRetry(fl.service.GetName()) {
		randomPause(ctx, fl.otherWait)
		if ctx.Err() != nil {
			return false
		}
	}
	fl.tick()
	return true
}

// pickTarget acquires a slot at the next target for the call.
func (fl *inflightCall) pickTarget(ctx context.Context) spread.Choice {
	if fl.resumption != nil {
		return fl.nextResumeTarget()
	}
	return fl.choose(ctx)
}

// resumesFromCopy reports whether a stopped run continues from a copy of its KV cache. When no
// target accepts the copy, it is given up, and the call may run anew if its route allows that.
func (fl *inflightCall) resumesFromCopy(ctx context.Context, last attempt) bool {
	if last.resumption != nil {
		fl.resumption, fl.resumed = last.resumption, true
		return ctx.Err() == nil
	}
	if fl.resumption == nil {
		return false
	}
	if last.notRun && len(fl.resumption.targets) > 0 && ctx.Err() == nil {
		return true
	}
	fl.resumption.release()
	// The engine that stopped the run may have generated more than arrived.
	fl.resumption, fl.missedTail = nil, true
	return false
}

// finalAnswer sends or returns the final answer when no target has given a good one.
func (fl *inflightCall) finalAnswer(ctx context.Context, last attempt) error {
	if fl.resumed {
		// The engine that stopped the run may have generated more than arrived.
		fl.missedTail = true
	}
	fl.resumption.release()
	if fl.sink.started() {
		return errBegun{last.err}
	}
	if fl.failure != nil {
		fl.failureRelayed = true
		return fl.sendAnswer(fl.failure)
	}
	if fl.possibleRuns == 0 && last.noPath {
		return fl.f.noPathRefusal(fl.service.GetName())
	}
	if fl.possibleRuns == 0 && last.heldFor > 0 {
		return quarantinedRefusal(last.heldFor)
	}
	if fl.possibleRuns == 0 && fl.software != "" && !fl.hasSoftware() {
		return fl.goneSoftwareRefusal()
	}
	if fl.possibleRuns == 0 && fl.lastChoice.LimitedTargets > 0 && fl.lastChoice.Target == nil {
		return overloadedRefusal(fl.service.GetName(), fl.lastChoice.Backoff)
	}
	if fl.possibleRuns == 0 && fl.unreachedCongested {
		return fl.f.congestedRefusal(fl.service.GetName())
	}
	if fl.possibleRuns == 0 {
		return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: fl.retryAfter(),
			Message: fmt.Sprintf("no target of service %s took the call: ask again after the stated time", fl.service.GetName())}
	}
	if ctx.Err() != nil {
		return &Refusal{Kind: structs.KindDeadlineCannotBeMet, Run: structs.RunUnknown, Message: "the call was not answered within its time: whether it ran is not known"}
	}
	return &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunUnknown, Message: "the target broke off: whether the call ran is not known"}
}

func (fl *inflightCall) retryAfter() time.Duration {
	return retrySoon + time.Duration(len(fl.sends))*retrySoon/2
}

// attempt sends the call to one target, unless the caller has left or the call was quarantined
// in the meantime.
func (fl *inflightCall) attempt(ctx context.Context, choice spread.Choice) attempt {
	fl.sentAt = 0
	c, failed := fl.connect(ctx, choice)
	if failed != nil {
		return *failed
	}
	before, callCtx := fl.events.count, ctx
	ctx, cancel := fl.attemptContext(ctx)
	defer cancel()
	fl.startCheck = fl.checkStart(ctx, c)
	wd := fl.startWatchdog(callCtx, ctx, c, fl.possibleRuns+1, fl.sendCount+1, cancel)
	defer wd.stop()
	a := fl.attemptOn(ctx, choice, c, wd)
	fl.concludeAttempt(&a, c, wd, before)
	return a
}

// connect returns a connection to a target on which the call may be sent, or else the result of the
// attempt.
func (fl *inflightCall) connect(ctx context.Context, choice spread.Choice) (*conn, *attempt) {
	t := choice.Target
	c, err := fl.f.pool.get(ctx, t, useCalls, fl.call.ID)
	if err != nil {
		a := fl.unreached(ctx, t, err)
		return nil, &a
	}
	// The caller may have left, or the deadline may have passed: writing to an idle connection
	// does not check the context first, and after the box was suspended no timer has fired yet.
	fl.tick()
	if ctx.Err() != nil || fl.remaining() <= 0 {
		fl.f.pool.put(c, 0)
		return nil, &attempt{verdict: inconclusive, notRun: true, tooLate: true, err: errNotSent}
	}
	// Other boxes may have seen targets crash under this call while it waited here.
	if left, held := fl.holdLeft(); held {
		fl.f.pool.put(c, 0)
		return nil, &attempt{verdict: inconclusive, notRun: true, heldFor: left, err: errQuarantined}
	}
	if a := fl.verifyStart(ctx, c); a != nil {
		fl.f.pool.drop(c)
		return nil, a
	}
	return c, nil
}

// concludeAttempt records who carried an attempt, and whether its target dropped the call or had not begun
// to answer it at the deadline. before is the number of events that the caller had.
func (fl *inflightCall) concludeAttempt(a *attempt, c *conn, wd *watchdog, before uint64) {
	if a.carried = c.isCarried(); a.carried {
		fl.carriers = append(fl.carriers, c.carriedBy())
	}
	if wd.fired() {
		a.givenUp, fl.gaveUp = true, true
	}
	isOverdue := a.verdict == inconclusive && wd.isOverdue() && fl.tick() >= fl.deadline
	if a.verdict == failing && (c.lost || wd.fired()) || isOverdue {
		fl.recordBreak(c.target, fl.events.count == before)
	}
}

// attemptOn sends the call over a connection and reads the answer.
func (fl *inflightCall) attemptOn(ctx context.Context, choice spread.Choice, c *conn, wd *watchdog) attempt {
	sent := fl.now
	x, failure := fl.send(ctx, choice, c, wd, sent)
	if failure != nil {
		return *failure
	}
	if err := x.read(fl.call.ID); err != nil {
		return fl.unanswered(ctx, choice.Target, x, wd, err)
	}
	return fl.handleHead(ctx, choice, x, wd, sent)
}

// send sends the call over a connection and counts it, or returns the result of the attempt.
func (fl *inflightCall) send(ctx context.Context, choice spread.Choice, c *conn, wd *watchdog, sent time.Duration) (*exchange, *attempt) {
	fl.call.Resumes = fl.resumption != nil
	x, err := fl.f.send(ctx, c, fl.call, fl.addedFields(choice), sent)
	if errors.Is(err, errLimited) || errors.Is(err, errEvacuated) {
		return nil, &attempt{verdict: inconclusive, notRun: true, limited: true, err: err}
	}
	fl.sentAt = sent
	fl.possibleRuns++
	fl.sendCount++
	if err != nil {
		// A body that waited for this box's link may not have been sent when the call ended.
		fl.recordSend(choice.Target, endedBy(ctx, wd, "broken"))
		return nil, &attempt{verdict: fl.verdictOnTimeout(ctx, wd), err: err}
	}
	return x, nil
}

// unanswered returns the result of an attempt whose target gave no answer.
func (fl *inflightCall) unanswered(ctx context.Context, t *spread.Target, x *exchange, wd *watchdog, err error) attempt {
	x.abandon()
	fl.noteLostOutput(ctx, wd)
	fl.recordSend(t, endedBy(ctx, wd, "no answer"))
	return attempt{verdict: fl.verdictOnTimeout(ctx, wd), err: err}
}

// verdictOnTimeout returns the verdict on a target that did not answer: a call that ran out of
// its own time says nothing about its target.
func (fl *inflightCall) verdictOnTimeout(ctx context.Context, wd *watchdog) verdict {
	if ctx.Err() != nil && !wd.fired() {
		return inconclusive
	}
	return failing
}

// endedBy returns what ended an attempt that has no whole answer, for the log: this box, which took its
// target for silent, the end of the call, or else the target.
func endedBy(ctx context.Context, wd *watchdog, byTarget string) string {
	switch {
	case wd.fired():
		return "given up as silent"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "out of time"
	case ctx.Err() != nil:
		return "canceled"
	}
	return byTarget
}

// noteLostOutput records the output that may be lost at a target that gave no answer. If the
// caller left, the connection was closed at once; otherwise nothing is known.
func (fl *inflightCall) noteLostOutput(ctx context.Context, wd *watchdog) {
	if errors.Is(ctx.Err(), context.Canceled) && !wd.fired() {
		fl.missedTail = true
		return
	}
	fl.lostOutput = true
}

// noteLostTail records the output that may be lost of a stream that was cut off. A target that
// has closed its connection generates nothing more.
func (fl *inflightCall) noteLostTail(ctx context.Context, closedByTarget bool, wd *watchdog) {
	if closedByTarget {
		fl.missedTail = true
		return
	}
	fl.noteLostOutput(ctx, wd)
}

func (fl *inflightCall) recordSend(t *spread.Target, outcome string) {
	fl.sends = append(fl.sends, t.ID+" "+outcome)
	fl.versions = append(fl.versions, t.Version)
	fl.f.opts.Counter.Forwarded(t.Service, outcome)
}

// handleHead decides by its header how an answer is handled.
func (fl *inflightCall) handleHead(ctx context.Context, c spread.Choice, x *exchange, wd *watchdog, sent time.Duration) attempt {
	t := c.Target
	status := x.head.StatusCode()
	signed := x.isSigned()
	switch {
	case fl.isNotRun(x):
		return fl.handleNotRun(t, x, status)
	case !signed || len(x.head.ContentEncoding()) > 0:
		x.abandon()
		x.logAnomaly(anomalyNotSigned)
		fl.recordSend(t, "foreign")
		return attempt{verdict: failing, err: errNotSigned}
	case fl.isStream(status):
		return fl.forwardStream(ctx, c, x, wd, sent)
	default:
		return fl.bufferAnswer(ctx, t, x, wd, status)
	}
}

// isStream reports whether an answer is a stream of events of the call. A resumed stream must
// have the status that it began with: an empty answer with another one would be taken for its
// end.
func (fl *inflightCall) isStream(status int) bool {
	if fl.sink.started() {
		return status == fl.sink.status
	}
	return status < http.StatusMultipleChoices && fl.route.GetKind() == statev1.Route_KIND_STREAM
}

// handleNotRun reads the rest of an answer of a target that did not run the call.
func (fl *inflightCall) handleNotRun(t *spread.Target, x *exchange, status int) attempt {
	fl.possibleRuns--
	fl.drain(x)
	fl.recordSend(t, fmt.Sprintf("turned away %d", status))
	if status == http.StatusMisdirectedRequest {
		// Another target has the address now.
		return attempt{verdict: replaced, notRun: true, err: errNotSent}
	}
	fl.f.recordRejection(t, fl.call, status)
	return attempt{verdict: rejected, notRun: true, err: errNotSent}
}

// drain reads a short body to its end so that the connection can be reused.
func (fl *inflightCall) drain(x *exchange) {
	if !x.framed {
		x.abandon()
		return
	}
	x.conn.awaitBytes(drainLimit, func() bool { return true })
	n, err := io.Copy(io.Discard, io.LimitReader(x.body, maxStrayBody))
	x.conn.awaitForever()
	x.bodyComplete = err == nil && n < maxStrayBody
	x.finish()
}
