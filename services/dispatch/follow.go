// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/structs"
)

func streamID(r *statev1.RequestRecord) string { return ledger.StreamID(r, r.GetRuns()) }

// followInterval is the polling interval for a record whose request has not been
// started yet.
const followInterval = 100 * time.Millisecond

// takeOver continues a request that another box started before it died. It reads the
// answer of that run from the beginning, and never starts a second run while the first
// may still be active.
func (at *attempt) takeOver(ctx context.Context) (Result, *Refusal) {
	name := at.admission.record.GetTarget()
	at.record("taken over", fmt.Sprintf("run %d at %s", at.runs, name))
	out := runOutcome{target: name, replayed: true}
	address := at.d.TargetAddress(name)
	if address == "" {
		out.err = errors.New("the target is no longer listed")
		return at.settleFailed(ctx, out)
	}
	stream, err := at.d.opts.Engines.Resume(ctx, address, at.streamID(), 0)
	if err == nil {
		return at.settle(ctx, at.forwardStream(ctx, address, stream, out))
	}
	return at.handleUnknownRun(ctx, address, out, err)
}

// handleUnknownRun handles a taken-over run that its target can't resume. If the target
// does not know the run, cancelling it makes the target refuse the ID from then on:
// only then is it certain that the request was not run and may be started again.
func (at *attempt) handleUnknownRun(ctx context.Context, address string, out runOutcome, err error) (Result, *Refusal) {
	out.err = err
	cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, cancelErr := at.d.opts.Engines.Cancel(cancelCtx, address, at.streamID())
	if cancelErr != nil || state.Known {
		return at.settleFailed(ctx, out)
	}
	at.lostTokens = 0
	return at.run(ctx)
}

// follow forwards the answer of an attempt that another box is running or has ended.
func (d *Dispatcher) follow(ctx context.Context, a *Admission, sink Sink) (Result, *Refusal) {
	record, refusal := d.awaitStart(ctx, a, sink)
	if refusal != nil {
		return Result{}, refusal
	}
	d.opts.Recorder.Record("following", a.Request.ID, fmt.Sprintf("run %d at %s", record.GetRuns(), record.GetTarget()))
	address := d.TargetAddress(record.GetTarget())
	if address == "" {
		return Result{}, answerGone(record)
	}
	stream, err := d.opts.Engines.Resume(ctx, address, streamID(record), 0)
	if err != nil {
		return Result{}, unfollowed(ctx, record)
	}
	at := &attempt{d: d, admission: &Admission{Request: a.Request, keeper: a.keeper, record: record}, sink: &disconnectSafeSink{sink: sink}, startedAt: d.opts.Clock.Boot(), runs: record.GetRuns()}
	out := at.forwardStream(ctx, address, stream, runOutcome{target: record.GetTarget(), replayed: true})
	if out.err != nil {
		return Result{}, unfollowed(ctx, record)
	}
	return Result{Usage: out.usage, Billed: min(out.usage.Total(), record.GetBound()), Finish: out.finish, Target: out.target, Replayed: true}, nil
}

// awaitStart polls a record until its request has been started, and returns the record.
func (d *Dispatcher) awaitStart(ctx context.Context, a *Admission, sink Sink) (*statev1.RequestRecord, *Refusal) {
	record := a.record
	for record.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED {
		if d.opts.Clock.Wall().After(a.Request.Deadline) || ctx.Err() != nil {
			return nil, &Refusal{Kind: structs.KindInProgress, Run: structs.RunUnknown, RetryAfter: keeperRetryAfter,
				Message: "an earlier attempt under this key still waits for a target: ask again with the same key after the stated time"}
		}
		if sink.KeepAlive("an earlier attempt waits for a target") != nil {
			return nil, &Refusal{Kind: structs.KindCancelled, Run: structs.RunUnknown, Message: "the caller left"}
		}
		time.Sleep(followInterval)
		next, err := d.findAt(ctx, a.keeper, record.GetGroup(), record.GetKey())
		if err != nil {
			return nil, d.outcomeUnknown(a.keeper)
		}
		if next != nil {
			record = next
		}
	}
	if record.GetState() == statev1.RequestState_REQUEST_STATE_RELEASED {
		return nil, &Refusal{Kind: structs.KindInProgress, Run: structs.RunNo, RetryAfter: shortRetryAfter,
			Message: "the earlier attempt under this key ended without being run: ask again with the same key"}
	}
	return record, nil
}

// unfollowed returns the refusal for an answer that could not be followed to its end.
func unfollowed(ctx context.Context, record *statev1.RequestRecord) *Refusal {
	if ctx.Err() == nil {
		return answerGone(record)
	}
	return &Refusal{Kind: structs.KindInProgress, Run: structs.RunUnknown, RetryAfter: keeperRetryAfter,
		Message: "the earlier attempt under this key has not ended before the deadline of this one: ask again with the same key after the stated time"}
}

func answerGone(record *statev1.RequestRecord) *Refusal {
	if record.GetUncertain() {
		return &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, Billed: record.GetBilled(),
			Message: "the target of this request was lost, and whether it was run can't be known any more: take a new key to run it anew"}
	}
	return &Refusal{Kind: structs.KindAnswerNotKept, Run: structs.RunYes, Billed: record.GetBilled(),
		Message: "this request was run and its answer is no longer kept by its target: take a new key to run it anew"}
}

// Answer streams the answer of a recorded request, beginning behind the event with
// sequence number after.
func (d *Dispatcher) Answer(ctx context.Context, record *statev1.RequestRecord, after int) (*engine.Stream, *Refusal) {
	address := d.TargetAddress(record.GetTarget())
	if address == "" || record.GetRuns() == 0 {
		return nil, answerGone(record)
	}
	stream, err := d.opts.Engines.Resume(ctx, address, streamID(record), after)
	if err != nil {
		return nil, answerGone(record)
	}
	return stream, nil
}

// Cancel ends the run of a recorded request. The box that runs it settles it.
func (d *Dispatcher) Cancel(ctx context.Context, record *statev1.RequestRecord) *Refusal {
	address := d.TargetAddress(record.GetTarget())
	if address == "" {
		return &Refusal{Kind: structs.KindInProgress, Run: structs.RunUnknown, RetryAfter: shortRetryAfter,
			Message: "the request has no target yet: ask again after the stated time"}
	}
	if _, err := d.opts.Engines.Cancel(ctx, address, streamID(record)); err != nil {
		return &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunUnknown, RetryAfter: targetRetryAfter, Message: "the target can't be asked to end the run: ask again"}
	}
	return nil
}

// Recover implements keeper.Recoverer. It asks the target about a run whose box died.
func (d *Dispatcher) Recover(ctx context.Context, record *statev1.RequestRecord, abandon bool) (keeper.Recovery, error) {
	address := d.TargetAddress(record.GetTarget())
	if address == "" {
		return keeper.Recovery{}, errors.Errorf("target %s is not listed", record.GetTarget())
	}
	ask := d.opts.Engines.Status
	if abandon {
		ask = d.opts.Engines.Cancel
	}
	state, err := ask(ctx, address, streamID(record))
	if err != nil {
		return keeper.Recovery{}, err
	}
	if !state.Known && !abandon {
		// The request may still be in transit. It certainly won't run only after the
		// engine has been told to refuse it.
		state, err = d.opts.Engines.Cancel(ctx, address, streamID(record))
	}
	return keeper.Recovery{Ended: state.Ended, Absent: !state.Known, Used: state.PromptTokens + state.CompletionTokens}, err
}

// disconnectSafeSink wraps a sink and discards everything after the caller has disconnected,
// so that the run can be read to its end and billed.
type disconnectSafeSink struct {
	sink         Sink
	disconnected bool
}

// KeepAlive implements Sink.
func (g *disconnectSafeSink) KeepAlive(note string) error {
	if g.disconnected {
		return nil
	}
	err := g.sink.KeepAlive(note)
	g.disconnected = err != nil
	return err
}

// Event implements Sink.
func (g *disconnectSafeSink) Event(e engine.Event) error {
	if g.disconnected {
		return nil
	}
	err := g.sink.Event(e)
	g.disconnected = err != nil
	return err
}

// reset discards the events of a failed run that have been collected for a caller that
// wants the complete answer.
func (g *disconnectSafeSink) reset() {
	if w, ok := g.sink.(*BufferedSink); ok {
		w.Reset()
	}
}

func (g *disconnectSafeSink) isDisconnected() bool { return g.disconnected }

// isStreaming reports whether events reach the caller as they arrive.
func (g *disconnectSafeSink) isStreaming() bool {
	_, whole := g.sink.(*BufferedSink)
	return !whole
}

// BufferedSink collects the events for a caller that wants the complete answer.
type BufferedSink struct {
	Events []engine.Event
	// Disconnected reports whether the caller has disconnected. Nil means that it is not
	// checked.
	Disconnected func() bool
	// Hold counts the events. Overflowed is set once there was no room for one; the events are dropped then,
	// and the sink reports that its caller has disconnected.
	Hold       bytebudget.Hold
	Overflowed bool
}

// eventSize is what an event takes in bytes without its data.
const eventSize = 96

// Reset drops the events.
func (w *BufferedSink) Reset() {
	w.Events = nil
	w.Hold.Release()
}

// KeepAlive implements Sink.
func (w *BufferedSink) KeepAlive(string) error { return w.check() }

// Event implements Sink.
func (w *BufferedSink) Event(e engine.Event) error {
	if !w.Hold.GrowShared(len(e.Data) + eventSize) {
		w.Reset()
		w.Overflowed = true
		return errCallerDisconnected
	}
	w.Events = append(w.Events, e)
	return w.check()
}

func (w *BufferedSink) check() error {
	if w.Disconnected != nil && w.Disconnected() {
		return errCallerDisconnected
	}
	return nil
}
