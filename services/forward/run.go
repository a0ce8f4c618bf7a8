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
	// maxReach bounds the targets that are tried before one can be reached.
	maxReach = 5
	// silenceFactor and silenceFloor say how long a repeatable call may have no
	// answer, in objectives and at least, before it goes to another target.
	silenceFactor = 2.5
	silenceFloor  = time.Second
	// stallLimit is how long a resumable stream may be silent.
	stallLimit = 1500 * time.Millisecond
)

// answer is a whole answer that has not been passed on.
type answer struct {
	status int
	fields []Field
	body   []byte
	// length is what the head says of the body's; negative for nothing.
	length int
}

// attempt is what came of sending the call to one target.
type attempt struct {
	verdict verdict
	// notRun says that the target certainly did not run the call.
	notRun bool
	// done says that the caller has its answer.
	done bool
	// failure is the target's own failure, to be passed on if no other target
	// does better.
	failure *answer
	err     error
	// over says that nobody waits for the answer any more; the call was not sent.
	over bool
	// limited says that the target took no more requests of this box; the call was
	// not sent.
	limited bool
	// heldFor is for how long the call is held back; it was not sent then.
	heldFor time.Duration
	// resumption is set when the run was stopped to go on elsewhere.
	resumption *resumption
}

// run sends the call to one target after the other, as far as is allowed.
func (fl *flight) run(ctx context.Context) error {
	fl.noteCall()
	var last attempt
	unreached, withheld := 0, 0
	for {
		c := fl.place(ctx)
		t := c.Target
		if t == nil {
			return fl.end(ctx, last)
		}
		last = fl.attempt(ctx, c)
		fl.leave(t, last.verdict)
		if last.failure != nil {
			fl.failure = last.failure
		}
		if last.limited && ctx.Err() == nil && withheld < maxReach {
			// Another call took the last of this box's part in between.
			withheld++
			continue
		}
		fl.exclude[t.Start()] = true
		if last.done {
			fl.noteServed(last)
			return last.err
		}
		if last.over || last.heldFor > 0 {
			return fl.end(ctx, last)
		}
		if fl.goesOn(ctx, last) {
			continue
		}
		// A call that has arrived nowhere is free to go elsewhere; one whose run
		// was stopped to move has arrived.
		free := last.verdict == unreachable && !fl.resumed
		if free && ctx.Err() == nil {
			unreached++
			if unreached < maxReach {
				continue
			}
		}
		if ctx.Err() != nil || free || !fl.mayRepeat(last.notRun) {
			return fl.end(ctx, last)
		}
		if last.notRun {
			pause(ctx, 10*time.Millisecond)
			fl.tick()
		}
	}
}

// place takes a place at the target that gets the call next.
func (fl *flight) place(ctx context.Context) spread.Choice {
	if fl.resumption != nil {
		return fl.follow()
	}
	return fl.choose(ctx)
}

// goesOn tells whether a stopped run goes on from a copy of its memory. One that
// may be repeated leaves the copy when no target takes it.
func (fl *flight) goesOn(ctx context.Context, last attempt) bool {
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
	fl.resumption = nil
	return false
}

// end gives the final answer when no target has given a good one.
func (fl *flight) end(ctx context.Context, last attempt) error {
	if fl.resumed {
		// The engine that was stopped may have made more than came through.
		fl.unseen = true
	}
	if fl.sink.begun() {
		return errBegun{last.err}
	}
	if fl.failure != nil {
		fl.failed = true
		return fl.pass(fl.failure)
	}
	if fl.ran == 0 && last.heldFor > 0 {
		return heldBack(last.heldFor)
	}
	if fl.ran == 0 && fl.placed.Limited > 0 && fl.placed.Target == nil {
		return overLimits(fl.service.GetName(), fl.placed.Want)
	}
	if fl.ran == 0 {
		return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: fl.retryAfter(),
			Message: fmt.Sprintf("no target of service %s took the call: ask again after the stated time", fl.service.GetName())}
	}
	if ctx.Err() != nil {
		return &Refusal{Kind: structs.KindDeadline, Run: structs.RunUnknown, Message: "the call was not answered within its time: whether it ran is not known"}
	}
	return &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunUnknown, Message: "the target broke off: whether the call ran is not known"}
}

func (fl *flight) retryAfter() time.Duration {
	return retrySoon + time.Duration(len(fl.sends))*retrySoon/2
}

// attempt sends the call to one target.
func (fl *flight) attempt(ctx context.Context, choice spread.Choice) attempt {
	t := choice.Target
	c, err := fl.f.pool.get(ctx, t, useCalls, fl.call.ID)
	if err != nil {
		fl.note(t, "unreachable "+reachFailure(err))
		return attempt{verdict: unreachable, notRun: true, err: errors.Wrap(errNotSent, err.Error())}
	}
	// The caller may have left, or the call's time be over: writing to a connection
	// that was idle does not ask the context first, and after the box was suspended
	// no timer has fired yet.
	fl.tick()
	if ctx.Err() != nil || fl.left() <= 0 {
		fl.f.pool.put(c, 0)
		return attempt{verdict: unjudged, notRun: true, over: true, err: errNotSent}
	}
	// Other boxes may have seen targets end under it while it waited here.
	if left, held := fl.f.opts.Quarantine.Held(fl.content()); held {
		fl.f.pool.put(c, 0)
		return attempt{verdict: unjudged, notRun: true, heldFor: left, err: errHeldBack}
	}
	before := fl.events.count
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := fl.watch(cancel)
	defer silence.stop()
	a := fl.attemptOn(ctx, choice, c, silence)
	if a.verdict == failing && (c.lost || silence.fired()) {
		fl.struckAt(t, fl.events.count == before)
	}
	return a
}

// attemptOn sends the call over a connection and takes the answer.
func (fl *flight) attemptOn(ctx context.Context, choice spread.Choice, c *conn, silence *silence) attempt {
	t := choice.Target
	sent := fl.now
	fl.call.Continues = fl.resumption != nil
	x, err := fl.f.send(ctx, c, fl.call, fl.own(choice), sent)
	if errors.Is(err, errLimited) {
		return attempt{verdict: unjudged, notRun: true, limited: true, err: err}
	}
	fl.ran++
	if err != nil {
		fl.note(t, "broken")
		return attempt{verdict: failing, err: err}
	}
	if err := x.read(fl.call.ID); err != nil {
		x.abandon()
		fl.lose(ctx, silence)
		fl.note(t, "no answer")
		return attempt{verdict: fl.blame(ctx, silence), err: err}
	}
	return fl.judge(ctx, choice, x, silence, sent)
}

// blame tells whose fault a silence is: a call that ran out of its own time
// shows nothing of its target.
func (fl *flight) blame(ctx context.Context, s *silence) verdict {
	if ctx.Err() != nil && !s.fired() {
		return unjudged
	}
	return failing
}

// lose notes what a target may have made that gave no answer. One whose caller
// left was closed at once; of any other nothing is known.
func (fl *flight) lose(ctx context.Context, s *silence) {
	if errors.Is(ctx.Err(), context.Canceled) && !s.fired() {
		fl.unseen = true
		return
	}
	fl.lostOutput = true
}

// loseRest notes what a target may have made of a stream that broke off. One that
// has closed its connection makes no more than was on its way.
func (fl *flight) loseRest(ctx context.Context, c *conn, s *silence) {
	if c.closed && ctx.Err() == nil {
		fl.unseen = true
		return
	}
	fl.lose(ctx, s)
}

func (fl *flight) note(t *spread.Target, outcome string) {
	fl.sends = append(fl.sends, t.ID+" "+outcome)
	fl.f.opts.Counter.Forwarded(t.Service, outcome)
}

// judge looks at the head of an answer.
func (fl *flight) judge(ctx context.Context, c spread.Choice, x *exchange, s *silence, sent time.Duration) attempt {
	t := c.Target
	d := fl.f.opts.Dialect
	status := x.head.StatusCode()
	notRun := len(x.head.Peek(d.NotRun)) > 0 || status == http.StatusMisdirectedRequest
	signed := x.signed()
	switch {
	case notRun:
		return fl.turnedAway(t, x, status)
	case !signed || len(x.head.ContentEncoding()) > 0:
		x.abandon()
		x.odd(oddForeign)
		fl.note(t, "foreign")
		return attempt{verdict: failing, err: errForeign}
	case fl.isStream(status):
		return fl.stream(ctx, c, x, s, sent)
	default:
		return fl.whole(t, x, status)
	}
}

// isStream tells whether an answer is events of the call. A stream goes on with the status
// that it began with: an empty answer of another one would be taken for its end.
func (fl *flight) isStream(status int) bool {
	if fl.sink.begun() {
		return status == fl.sink.status
	}
	return status < http.StatusMultipleChoices && fl.route.GetKind() == statev1.Route_KIND_STREAM
}

// turnedAway reads the rest of an answer whose target did not run the call.
func (fl *flight) turnedAway(t *spread.Target, x *exchange, status int) attempt {
	fl.ran--
	fl.drain(x)
	fl.note(t, fmt.Sprintf("turned away %d", status))
	if status == http.StatusMisdirectedRequest {
		// Another target has the address now.
		return attempt{verdict: replaced, notRun: true, err: errNotSent}
	}
	return attempt{verdict: turnedAway, notRun: true, err: errNotSent}
}

// drain reads a short body to its end, so that the connection can be kept.
func (fl *flight) drain(x *exchange) {
	if !x.framed {
		x.abandon()
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.body, strayBody))
	x.whole = err == nil && n < strayBody
	x.finish()
}
