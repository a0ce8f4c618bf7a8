// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/services/engine"
)

const (
	// maxResumes is the number of times that a broken stream is resumed.
	maxResumes = 3
	// maxStarts is the number of targets that one request may be started at.
	maxStarts = 3
	// resumePause is the delay before the first resume; it grows linearly.
	resumePause = 50 * time.Millisecond
)

// attempt is the state of one admitted request while this box serves it.
type attempt struct {
	d         *Dispatcher
	admission *Admission
	sink      *disconnectSafeSink
	need      target.Criteria
	startedAt time.Duration
	// runs is the number of runs started so far, over all boxes.
	runs uint32
	// lostTokens is the maximum number of tokens that failed runs may have used and
	// that the keeper has not been told of yet.
	lostTokens uint64
}

// Serve runs an admitted request and forwards its answer to the sink. The request is
// settled exactly once, whatever its outcome.
func (d *Dispatcher) Serve(ctx context.Context, a *Admission, sink Sink) (Result, *Refusal) {
	ctx, cancel := context.WithDeadline(ctx, a.Request.Deadline)
	defer cancel()
	if !a.owned {
		return d.follow(ctx, a, sink)
	}
	defer d.addReservations(a.keeper, -1)
	at := &attempt{d: d, admission: a, sink: &disconnectSafeSink{sink: sink}, need: d.needOf(a.Request), startedAt: d.opts.Clock.Boot(), runs: a.record.GetRuns()}
	if a.takenOver {
		return at.takeOver(ctx)
	}
	return at.run(ctx)
}

// run starts the request at a target. It tries another target if the first one has
// certainly not run the request, or if the request is repeatable.
func (at *attempt) run(ctx context.Context) (Result, *Refusal) {
	for start := 1; ; start++ {
		s, refusal := at.acquire(ctx)
		if refusal != nil {
			return at.settleUnserved(ctx, refusal)
		}
		if refusal := at.d.checkQuarantine(at.admission.Request); refusal != nil {
			at.d.release(s, true)
			return at.settleUnserved(ctx, refusal)
		}
		at.record("target chosen", s.target.Name+"; "+formatScores(s.scores))
		out := at.runAt(ctx, s)
		at.d.release(s, out.targetOK)
		if out.err != nil && !out.notRun && ctx.Err() == nil {
			at.d.reportIfEnded(at.admission.Request, s, out.lastEvent == 0)
		}
		if start == maxStarts || at.isFinal(ctx, out) || !at.d.takeRetry(s.pool) {
			return at.settle(ctx, out)
		}
		at.need.Exclude[s.target.Name] = true
		at.recordLostRun(ctx, out, s)
		at.sink.reset()
	}
}

// isFinal reports whether the request must not be started again after a run: the run
// completed, part of its answer has reached the caller, the keeper refused the start,
// the request or its caller is gone, or the run may still be active and the request is
// not repeatable.
func (at *attempt) isFinal(ctx context.Context, out runOutcome) bool {
	switch {
	case out.err == nil, out.sentToCaller, out.startRefused, ctx.Err() != nil:
		return true
	case errors.Cause(out.err) == errCallerDisconnected:
		return true
	default:
		return !out.notRun && !at.admission.Request.Repeatable
	}
}

func (at *attempt) acquire(ctx context.Context) (*slot, *Refusal) {
	r := at.admission.Request
	left := r.Deadline.Sub(at.d.opts.Clock.Wall())
	it := queue.Item{
		Organisation:    r.Organisation,
		Interactive:     r.Interactive(),
		Tokens:          int(r.Bound),
		MaxOutputTokens: r.MaxTokens,
		Deadline:        at.d.opts.Clock.Boot() + left,
	}
	return at.d.acquire(ctx, it, at.need, func(position int) error {
		return at.sink.KeepAlive(fmt.Sprintf("waiting, %d ahead", position))
	})
}

func (at *attempt) record(kind, detail string) {
	at.d.opts.Recorder.Record(kind, at.admission.Request.ID, detail)
}

// runOutcome is the outcome of one run.
type runOutcome struct {
	usage  *engine.Usage
	finish string
	target string
	// err is nil if the answer is complete.
	err error
	// notRun is set if the target has certainly not run the request.
	notRun bool
	// targetOK is set if the target is not to blame for a failure; it counts for the
	// target's health.
	targetOK bool
	// startRefused is set if the keeper did not record the start.
	startRefused bool
	// lastEvent is the sequence number of the last event received.
	lastEvent uint64
	// sentToCaller is set if part of the answer has reached the caller.
	sentToCaller bool
	replayed     bool
}

// runAt records the start at the keeper and then sends the request to the slot's
// target.
func (at *attempt) runAt(ctx context.Context, s *slot) runOutcome {
	out := runOutcome{target: s.target.Name, targetOK: true}
	accepted, err := at.start(ctx, s.target.Name)
	if err != nil || !accepted {
		out.err, out.startRefused, out.notRun = err, true, true
		if err == nil {
			out.err = errors.New("another box has taken over this request")
		}
		return out
	}
	at.record("started", fmt.Sprintf("%s, run %d", s.target.Name, at.runs))
	r := at.admission.Request
	call := engine.GenerateCall{ID: at.streamID(), Scope: r.Scope, Interactive: r.Interactive(), Body: r.Body}
	stream, err := at.d.opts.Engines.Generate(ctx, s.address, call)
	if err != nil {
		return at.handleNoStream(ctx, s.address, out, err)
	}
	return at.forwardStream(ctx, s.address, stream, out)
}

func (at *attempt) streamID() string { return ledger.StreamID(at.admission.record, at.runs) }

func (at *attempt) start(ctx context.Context, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	record := at.admission.record
	resp, err := at.d.opts.Keepers.Start(ctx, at.admission.keeper, &betweenv1.StartRequest{
		Group:        record.GetGroup(),
		Key:          record.GetKey(),
		Attempt:      record.GetAttempt(),
		Target:       name,
		FormerNotRun: at.lostTokens == 0,
		Lost:         at.lostTokens,
	})
	if err != nil {
		return false, err
	}
	if resp.GetAccepted() {
		at.runs, at.lostTokens = resp.GetRuns(), 0
	}
	return resp.GetAccepted(), nil
}

// handleNoStream handles a request that was sent without a stream in return. Unless
// the request certainly was not run, it tries to resume the run by its ID, and to
// cancel it if that fails.
func (at *attempt) handleNoStream(ctx context.Context, address string, out runOutcome, err error) runOutcome {
	out.err = err
	status, answered := errors.Cause(err).(engine.ErrStatus)
	out.targetOK = answered && status.NotRun
	out.notRun = engine.IsErrNotSent(err) || out.targetOK
	if out.notRun || ctx.Err() != nil {
		return out
	}
	at.record("no answer", err.Error())
	if stream, err := at.resume(ctx, address, 0, 1); err == nil {
		return at.forwardStream(ctx, address, stream, out)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, err := at.d.opts.Engines.Cancel(ctx, address, at.streamID())
	out.notRun = err == nil && !state.Known
	return out
}

// forwardStream forwards a stream to the sink. It resumes a broken stream after the
// last event received, up to maxResumes times.
func (at *attempt) forwardStream(ctx context.Context, address string, stream *engine.Stream, out runOutcome) runOutcome {
	resumes := 0
	for {
		err := at.forwardEvents(stream, &out)
		stream.Close()
		if err == nil || ctx.Err() != nil || resumes == maxResumes || errors.Cause(err) == errCallerDisconnected {
			out.err = err
			return out
		}
		out.targetOK = false
		resumes++
		at.record("stream broke", err.Error())
		if stream, err = at.resume(ctx, address, int(out.lastEvent), resumes); err != nil {
			out.err = err
			return out
		}
	}
}

func (at *attempt) resume(ctx context.Context, address string, after, resumes int) (*engine.Stream, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(resumePause * time.Duration(resumes)):
	}
	return at.d.opts.Engines.Resume(ctx, address, at.streamID(), after)
}

// forwardEvents forwards events until the engine's end-of-stream event. Without that
// event the stream is incomplete and an error is returned.
func (at *attempt) forwardEvents(stream *engine.Stream, out *runOutcome) error {
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		if e.End {
			if out.usage == nil {
				return errors.New("the target ended the answer without saying what it used")
			}
			return nil
		}
		if out.lastEvent == 0 {
			at.d.opts.Metrics.FirstToken(at.admission.Request.Interactive(), at.d.opts.Clock.Boot()-at.startedAt)
		}
		out.lastEvent = uint64(e.Sequence)
		if e.Usage != nil {
			out.usage = e.Usage
		}
		if e.Finish != "" {
			out.finish = e.Finish
		}
		at.d.opts.Metrics.Tokens(1)
		if at.sink.Event(e) == nil {
			out.sentToCaller = out.sentToCaller || at.sink.isStreaming()
		}
		if at.sink.isDisconnected() && at.admission.Request.Anonymous {
			return errCallerDisconnected
		}
	}
}

var errCallerDisconnected = errors.New("the caller left")

// TargetAddress returns a target's address, or "" if the target is not listed.
func (d *Dispatcher) TargetAddress(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets.Targets[name]; t != nil {
		return t.Address
	}
	return ""
}
