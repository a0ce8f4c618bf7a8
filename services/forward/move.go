// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
)

// A call whose long prompt was prefilled at a dedicated target continues elsewhere once its
// first token was sent, because the next long prompt there would delay its events. While it
// runs, its KV cache is copied to the target that caches the shared prefix of its prompt; then
// the run is stopped, the rest of the cache is copied, and the stream continues there. It
// remains the same run: no token is generated twice.

const (
	// moveTimeout limits the requests of this system's own to engines, and how long the answer to a request
	// to copy is waited for after the end of its call.
	moveTimeout = 2 * time.Second
	// heardLimit is how long after its last event the run of a stream may be ordered to stop.
	heardLimit = 500 * time.Millisecond
	// orderPause and maxOrderPause are the first and the longest pause before an order without an answer is
	// sent again.
	orderPause    = 50 * time.Millisecond
	maxOrderPause = time.Second
	// maxFailedDials is how many failed dials in a row show that an engine can't be asked again.
	maxFailedDials = 3
	// maxEngineAnswer limits the answer of an engine to a request of this system, in bytes;
	// reports list the running calls.
	maxEngineAnswer = 32 << 10
)

// EngineAPI encodes the requests by which engines copy the KV cache of a running call.
type EngineAPI interface {
	// Copy returns the path and body of the request that copies a call's KV cache to the engine
	// at an address. With stop, the run is stopped first; otherwise it continues.
	Copy(call, address string, stop bool) (path string, body []byte)
	// ReportPath is the path of an engine's load report.
	ReportPath() string
	// Report parses a load report.
	Report(answer []byte) (EngineReport, error)
	// ReleasePath returns the path of the request that frees a copy.
	ReleasePath(handle string) string
	// ParseHandle parses the handle of the copy from an answer.
	ParseHandle(answer []byte) (string, error)
	// ResumeSource returns the value of Dialect.Resume for a copy made by the engine at an address.
	ResumeSource(address, handle string) string
}

// resumption is a stopped run that continues from a copy of its KV cache, at the first of
// targets that accepts it.
type resumption struct {
	mover   *mover
	source  string
	targets []*spread.Target
	// verdict is what the move shows about the health of the engine that had the run.
	verdict verdict
}

// release frees the copy of a run that continues at none of the targets.
func (r *resumption) release() {
	if r != nil {
		go r.mover.free()
	}
}

// stopOutcome is what is known about the order to stop a run.
type stopOutcome int

const (
	// stopNone means that no order was carried out.
	stopNone stopOutcome = iota
	// stopCopied means that the run was stopped and copied, stopKept that only the engine that stopped it
	// has its whole KV cache.
	stopCopied
	stopKept
	// stopUnknown means that an order was sent and may have been carried out, or may be later.
	stopUnknown
	// stopNoRun means that the engine has no such run after an order without an answer: the run has
	// completed, or was stopped.
	stopNoRun
	// stopUnreachable means that the engine can't be asked again after an order without an answer.
	stopUnreachable
)

// mover moves the run of one call away from the target that prefilled its prompt.
type mover struct {
	fl       *inflightCall
	from, to *spread.Target
	started  bool
	// resumed is set when the run continues from the copy.
	resumed bool
	// cancel ends the requests that are under way.
	cancel context.CancelFunc
	// heardAt is when events last arrived, on the boot clock; heard then wakes the wait for them.
	heardAt atomic.Int64
	heard   chan struct{}
	// streamEnded is closed when the stream has ended, after which a first order to stop the run is not
	// sent; callEnded when the call no longer needs the target that prefilled its prompt.
	streamEnded, callEnded chan struct{}
	done                   chan struct{}

	mu sync.Mutex
	// ordered is set once an order to stop the run may have been sent, ended once streamEnded is closed.
	ordered, ended bool

	// Written before done is closed, read after.
	handle  string
	outcome stopOutcome
	// failedDials is how many times in a row the engine could not be dialled to ask it again.
	failedDials int
}

// mover returns the mover of a call, nil if the call is not to be moved.
func (fl *inflightCall) mover(c spread.Choice) *mover {
	if !c.IsDedicated || c.AffinityTarget == nil || fl.f.opts.EngineAPI == nil || !fl.service.GetEngine().GetMoves() {
		return nil
	}
	// The other software can't read the copy.
	if c.Target.Software != c.AffinityTarget.Software {
		return nil
	}
	// A move costs at least three requests, too many for targets with a rate limit.
	if fl.f.isLimited(c.Target) || fl.f.isLimited(c.AffinityTarget) || fl.f.isEvacuated(c.Target, c.AffinityTarget) {
		return nil
	}
	return newMover(fl, c.Target, c.AffinityTarget)
}

// newMover returns a mover for a call whose target has begun its answer.
func newMover(fl *inflightCall, from, to *spread.Target) *mover {
	m := &mover{fl: fl, from: from, to: to, cancel: func() {}, heard: make(chan struct{}, 1),
		streamEnded: make(chan struct{}), callEnded: make(chan struct{}), done: make(chan struct{})}
	m.heardAt.Store(int64(fl.f.opts.Clock.Boot()))
	return m
}

// start begins the move once the first event was sent. Each move is one more arrival at the
// service, so it takes a retry from the fleet's budget. It is called whenever events have arrived.
func (m *mover) start(ctx context.Context) {
	if m == nil || !m.fl.sink.started() {
		return
	}
	m.heardAt.Store(int64(m.fl.sink.lastEventAt))
	select {
	case m.heard <- struct{}{}:
	default:
	}
	if m.started || !m.fl.f.takeRetry(m.fl.service.GetName()) {
		return
	}
	m.started = true
	// Without the answer to the request the copy could not be freed.
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go m.run(ctx)
}

func (m *mover) run(ctx context.Context) {
	defer close(m.done)
	defer m.cancel()
	status, err := m.request(ctx, false)
	if err != nil || status != http.StatusOK || m.handle == "" {
		m.log(status, err)
		return
	}
	for pause := orderPause; m.awaitTurn(ctx); pause = min(2*pause, maxOrderPause) {
		status, err := m.request(ctx, true)
		settled := m.record(status, err)
		if m.outcome != stopCopied {
			m.log(status, err)
		}
		if settled || !m.pause(pause) {
			return
		}
	}
}

// awaitTurn waits until an order to stop the run may be sent, and reports whether it may: while events
// arrive, as an engine that is silent may carry it out much later; and again after the end of a stream
// whose run an order without an answer may have stopped.
func (m *mover) awaitTurn(ctx context.Context) bool {
	for m.fl.f.opts.Clock.Boot()-time.Duration(m.heardAt.Load()) > m.fl.f.heardWithin {
		select {
		case <-m.heard:
			continue
		case <-m.streamEnded:
		case <-ctx.Done():
		}
		break
	}
	// A run that was stopped must go on, so that none is stopped while one of its targets may not
	// be sent to.
	isEvacuated := m.fl.f.isEvacuated(m.from, m.to)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case ctx.Err() != nil || wasClosed(m.callEnded):
		return false
	case m.ordered:
		return true
	}
	m.ordered = !m.ended && !isEvacuated
	return m.ordered
}

// record records the result of an order to stop the run, and reports whether it is final.
func (m *mover) record(status int, err error) bool {
	notSent := errors.Is(err, errNotSent) || errors.Is(err, errLimited) || errors.Is(err, errEvacuated)
	isRejected := status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusConflict
	switch {
	case status == http.StatusOK:
		m.outcome = stopCopied
	case status == http.StatusServiceUnavailable:
		m.outcome = stopKept
	case m.outcome == stopNone && (notSent || isRejected):
	case status == http.StatusNotFound:
		m.outcome = stopNoRun
	case notSent:
		m.failedDials++
		if m.failedDials < maxFailedDials || !wasClosed(m.streamEnded) {
			return false
		}
		m.outcome = stopUnreachable
	default:
		m.outcome, m.failedDials = stopUnknown, 0
		return false
	}
	return true
}

// pause waits before the order is sent again. It returns false if the call has ended.
func (m *mover) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.callEnded:
		return false
	}
}

// log logs why a run was not moved, continues where it was stopped, or may have been stopped.
func (m *mover) log(status int, err error) {
	reason := fmt.Sprintf("the engine answered %d to the copy request", status)
	if err != nil {
		reason = err.Error()
	}
	m.fl.f.opts.Logger.Info("run not moved", "request", m.fl.call.ID, "from", m.from.ID, "to", m.to.ID,
		"stopped", m.outcome == stopKept, "unknown", m.outcome >= stopUnknown, "reason", reason)
}

// request sends one request to copy and records the handle. It waits for the answer as long as the call
// lasts, because an engine may carry out a request whose connection was closed. The status is 0 if there
// was no answer.
func (m *mover) request(ctx context.Context, stop bool) (status int, err error) {
	path, body := m.fl.f.opts.EngineAPI.Copy(m.fl.call.ID, m.to.Address, stop)
	// An order that is sent again belongs to a run that may have been stopped already.
	call := &Call{Method: http.MethodPost, URI: path, Body: body, Internal: true, Resumes: m.outcome != stopNone}
	status, answer, err := m.fl.f.roundTrip(ctx, m.from, useOnce, call)
	if err != nil {
		return 0, err
	}
	if handle, err := m.fl.f.opts.EngineAPI.ParseHandle(answer); err == nil && handle != "" {
		m.handle = handle
	}
	return status, nil
}

// request sends a request of this system's own to a target, and waits moveTimeout for the whole answer.
func (f *Forwarder) request(ctx context.Context, t *spread.Target, u connUse, method, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	return f.roundTrip(ctx, t, u, &Call{Method: method, URI: path, Body: body, Internal: true})
}

// roundTrip sends a request of this system's own to a target. An answer of which a part is missing, or that
// is longer than maxEngineAnswer, is an errNoAnswer; the status is 0 then.
func (f *Forwarder) roundTrip(ctx context.Context, t *spread.Target, u connUse, call *Call) (status int, answer []byte, err error) {
	c, err := f.pool.get(ctx, t, u, "")
	if err != nil {
		return 0, nil, errors.Wrap(errNotSent, err.Error())
	}
	call.Host = t.Address
	if len(call.Body) > 0 {
		call.Fields = []Field{{Name: "Content-Type", Value: "application/json"}}
	}
	x, err := f.send(ctx, c, call, nil, f.opts.Clock.Boot())
	if err != nil {
		return 0, nil, err
	}
	if err := x.read(""); err != nil {
		x.abandon()
		return 0, nil, err
	}
	answer, err = io.ReadAll(io.LimitReader(x.body, maxEngineAnswer+1))
	if err == nil && len(answer) > maxEngineAnswer {
		err = errors.Errorf("the answer is longer than %d bytes", maxEngineAnswer)
	}
	x.bodyComplete = err == nil
	x.finish()
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return x.head.StatusCode(), answer, nil
}

// resume returns where the run continues after its stream was closed; nil if no order has stopped it, or
// if nothing is known. certain is set if no order has stopped it. closedByTarget is set if the engine has
// closed the stream, so that it no longer works on the run.
func (m *mover) resume(ctx context.Context, closedByTarget bool) (r *resumption, certain bool) {
	if m == nil || !m.started || !m.endStream() {
		return nil, true
	}
	select {
	case <-m.done:
	case <-ctx.Done():
		return nil, false
	}
	r = &resumption{mover: m, verdict: healthy, source: m.fl.f.opts.EngineAPI.ResumeSource(m.from.Address, m.handle)}
	switch m.outcome {
	case stopNone:
		return nil, true
	case stopCopied:
		// The engine that stopped the run keeps its KV cache, too.
		r.targets = []*spread.Target{m.to, m.from}
	case stopKept:
		r.targets = []*spread.Target{m.from}
	case stopNoRun:
		// Only an engine that has stopped the run continues it from its own KV cache.
		r.targets, r.verdict = []*spread.Target{m.from, m.to}, inconclusive
	case stopUnreachable:
		if !closedByTarget {
			return nil, false
		}
		r.targets, r.verdict = []*spread.Target{m.from, m.to}, failing
	default:
		return nil, false
	}
	m.resumed = true
	return r, false
}

// endStream records that the stream has ended, and reports whether an order to stop its run may have been
// sent.
func (m *mover) endStream() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ended {
		m.ended = true
		close(m.streamEnded)
	}
	return m.ordered
}

// release frees an unused copy: the call ended before it was moved.
func (m *mover) release() {
	if m == nil || !m.started || m.resumed {
		return
	}
	m.endStream()
	close(m.callEnded)
	limit := time.AfterFunc(moveTimeout, m.cancel)
	go func() {
		<-m.done
		limit.Stop()
		m.free()
	}()
}

// free frees the copy, if there may be one.
func (m *mover) free() {
	if m.handle == "" {
		return
	}
	_, _, err := m.fl.f.request(context.Background(), m.from, useOnce, http.MethodDelete, m.fl.f.opts.EngineAPI.ReleasePath(m.handle), nil)
	if err != nil {
		m.fl.f.opts.Logger.Info("failed to release the copy of a run", "request", m.fl.call.ID, "target", m.from.ID, "reason", err.Error())
	}
}

// wasClosed reports whether a channel on which nothing is sent is closed.
func wasClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// nextResumeTarget acquires a slot at the next target where a stopped run may continue.
func (fl *inflightCall) nextResumeTarget() spread.Choice {
	r := fl.resumption
	if len(r.targets) == 0 {
		return spread.Choice{}
	}
	t := r.targets[0]
	r.targets = r.targets[1:]
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	t.RunningCalls++
	t.HeldTokens += fl.mostTokens()
	return spread.Choice{Target: t}
}
