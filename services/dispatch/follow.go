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
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/structs"
)

func streamID(r *statev1.RequestRecord) string { return ledger.StreamID(r, r.GetRuns()) }

// followInterval is the time between looks at a record whose request has not
// been started yet.
const followInterval = 100 * time.Millisecond

// takeOver carries on a request whose box has died after starting it: the run
// is read again from its beginning, never started a second time while it may
// be at work.
func (at *attempt) takeOver(ctx context.Context) (Result, *Refusal) {
	name := at.a.record.GetTarget()
	at.record("taken over", fmt.Sprintf("run %d at %s", at.runs, name))
	out := outcome{target: name, replay: true}
	address := at.d.AddressOf(name)
	if address == "" {
		out.err = errors.New("the target is no longer listed")
		return at.broken(ctx, out)
	}
	stream, err := at.d.opts.Engines.Resume(ctx, address, at.streamID(), 0)
	if err == nil {
		return at.settle(ctx, at.carry(ctx, address, stream, out))
	}
	return at.absent(ctx, address, out, err)
}

// absent deals with a run that its target does not know: once the target has
// promised to refuse it, it certainly was not run and may be started.
func (at *attempt) absent(ctx context.Context, address string, out outcome, err error) (Result, *Refusal) {
	out.err = err
	ctxCancel, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	fate, cancelErr := at.d.opts.Engines.Cancel(ctxCancel, address, at.streamID())
	if cancelErr != nil || fate.Known {
		return at.broken(ctx, out)
	}
	at.lost = 0
	return at.run(ctx)
}

// follow carries the answer of an attempt that another box runs or has ended.
func (d *Dispatcher) follow(ctx context.Context, a *Admission, sink Sink) (Result, *Refusal) {
	record, refusal := d.awaitStart(ctx, a, sink)
	if refusal != nil {
		return Result{}, refusal
	}
	d.opts.Recorder.Record("following", a.Request.ID, fmt.Sprintf("run %d at %s", record.GetRuns(), record.GetTarget()))
	address := d.AddressOf(record.GetTarget())
	if address == "" {
		return Result{}, gone(record)
	}
	stream, err := d.opts.Engines.Resume(ctx, address, streamID(record), 0)
	if err != nil {
		return Result{}, gone(record)
	}
	at := &attempt{d: d, a: &Admission{Request: a.Request, keeper: a.keeper, record: record}, sink: &guardedSink{sink: sink}, began: d.opts.Clock.Boot(), runs: record.GetRuns()}
	out := at.carry(ctx, address, stream, outcome{target: record.GetTarget(), replay: true})
	if out.err != nil {
		return Result{}, gone(record)
	}
	return Result{Usage: out.usage, Billed: min(out.usage.Total(), record.GetBound()), Finish: out.finish, Target: out.target, Replayed: true}, nil
}

// awaitStart waits until a record has a run whose answer can be read.
func (d *Dispatcher) awaitStart(ctx context.Context, a *Admission, sink Sink) (*statev1.RequestRecord, *Refusal) {
	record := a.record
	for record.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED {
		if d.opts.Clock.Wall().After(a.Request.Deadline) || ctx.Err() != nil {
			return nil, &Refusal{Kind: structs.KindRunning, Run: structs.RunUnknown, RetryAfter: retryKeeper,
				Message: "an earlier attempt under this key still waits for a target: ask again with the same key after the stated time"}
		}
		if sink.Alive("an earlier attempt waits for a target") != nil {
			return nil, &Refusal{Kind: structs.KindCancelled, Run: structs.RunUnknown, Message: "the caller left"}
		}
		time.Sleep(followInterval)
		next, err := d.findAt(ctx, a.keeper, record.GetGroup(), record.GetKey())
		if err != nil {
			return nil, d.unknown(a.keeper)
		}
		if next != nil {
			record = next
		}
	}
	if record.GetState() == statev1.RequestState_REQUEST_STATE_RELEASED {
		return nil, &Refusal{Kind: structs.KindRunning, Run: structs.RunNo, RetryAfter: retryStop,
			Message: "the earlier attempt under this key ended without being run: ask again with the same key"}
	}
	return record, nil
}

func gone(record *statev1.RequestRecord) *Refusal {
	if record.GetUncertain() {
		return &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, Billed: record.GetBilled(),
			Message: "the target of this request was lost, and whether it was run can't be known any more: take a new key to run it anew"}
	}
	return &Refusal{Kind: structs.KindAnswerGone, Run: structs.RunYes, Billed: record.GetBilled(),
		Message: "this request was run and its answer is no longer kept by its target: take a new key to run it anew"}
}

// Answer streams the answer of a recorded request from after an event on.
func (d *Dispatcher) Answer(ctx context.Context, record *statev1.RequestRecord, after int) (*engine.Stream, *Refusal) {
	address := d.AddressOf(record.GetTarget())
	if address == "" || record.GetRuns() == 0 {
		return nil, gone(record)
	}
	stream, err := d.opts.Engines.Resume(ctx, address, streamID(record), after)
	if err != nil {
		return nil, gone(record)
	}
	return stream, nil
}

// Cancel ends the run of a recorded request; whoever runs it settles it.
func (d *Dispatcher) Cancel(ctx context.Context, record *statev1.RequestRecord) *Refusal {
	address := d.AddressOf(record.GetTarget())
	if address == "" {
		return &Refusal{Kind: structs.KindRunning, Run: structs.RunUnknown, RetryAfter: retryStop,
			Message: "the request has no target yet: ask again after the stated time"}
	}
	if _, err := d.opts.Engines.Cancel(ctx, address, streamID(record)); err != nil {
		return &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunUnknown, RetryAfter: retryTarget, Message: "the target can't be asked to end the run: ask again"}
	}
	return nil
}

// Recover implements keeper.Recoverer: what became of a run whose box died.
func (d *Dispatcher) Recover(ctx context.Context, record *statev1.RequestRecord, abandon bool) (keeper.Recovery, error) {
	address := d.AddressOf(record.GetTarget())
	if address == "" {
		return keeper.Recovery{}, errors.Errorf("target %s is not listed", record.GetTarget())
	}
	ask := d.opts.Engines.Status
	if abandon {
		ask = d.opts.Engines.Cancel
	}
	fate, err := ask(ctx, address, streamID(record))
	if err != nil {
		return keeper.Recovery{}, err
	}
	if !fate.Known && !abandon {
		// Only after the engine has promised to refuse it is it certain that
		// a request on its way is not run.
		fate, err = d.opts.Engines.Cancel(ctx, address, streamID(record))
	}
	return keeper.Recovery{Ended: fate.Ended, Absent: !fate.Known, Used: fate.PromptTokens + fate.CompletionTokens}, err
}

// guardedSink goes on after the caller has left, and remembers it.
type guardedSink struct {
	sink Sink
	left bool
}

// Alive implements Sink.
func (g *guardedSink) Alive(note string) error {
	if g.left {
		return nil
	}
	err := g.sink.Alive(note)
	g.left = err != nil
	return err
}

// Event implements Sink.
func (g *guardedSink) Event(e engine.Event) error {
	if g.left {
		return nil
	}
	err := g.sink.Event(e)
	g.left = err != nil
	return err
}

// restart forgets what a lost run has left for a caller that wants the answer
// in one piece.
func (g *guardedSink) restart() {
	if w, ok := g.sink.(*WholeSink); ok {
		w.Events = nil
	}
}

func (g *guardedSink) gone() bool { return g.left }

// streams tells whether events reach the caller as they come.
func (g *guardedSink) streams() bool {
	_, whole := g.sink.(*WholeSink)
	return !whole
}

// WholeSink gathers an answer for a caller that wants it in one piece.
type WholeSink struct {
	Events []engine.Event
	// Gone tells whether the caller has left; nil stands for never.
	Gone func() bool
}

// Alive implements Sink.
func (w *WholeSink) Alive(string) error { return w.check() }

// Event implements Sink.
func (w *WholeSink) Event(e engine.Event) error {
	w.Events = append(w.Events, e)
	return w.check()
}

func (w *WholeSink) check() error {
	if w.Gone != nil && w.Gone() {
		return errCallerLeft
	}
	return nil
}
