// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"io"
	"net/http"
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
	// moveTimeout limits one request to copy; copies of the longest prompts took up to 0.5 s
	// between data centres.
	moveTimeout = 2 * time.Second
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
	source  string
	targets []*spread.Target
}

// mover moves the run of one call away from the target that prefilled its prompt.
type mover struct {
	fl       *inflightCall
	from, to *spread.Target
	started  bool
	// resumed is set when the run continues from the copy, callEnded when the call no longer
	// needs the target that prefilled its prompt.
	resumed   bool
	callEnded atomic.Bool
	done      chan struct{}

	// Written before done is closed, read after.
	handle  string
	stopped bool
	copied  bool
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
	return &mover{fl: fl, from: c.Target, to: c.AffinityTarget, done: make(chan struct{})}
}

// start begins the move once the first event was sent. Each move is one more arrival at the
// service, so it takes a retry from the fleet's budget.
func (m *mover) start(ctx context.Context) {
	if m == nil || m.started || !m.fl.sink.started() || !m.fl.f.takeRetry(m.fl.service.GetName()) {
		return
	}
	m.started = true
	// Without the answer to the request the copy could not be freed.
	go m.run(context.WithoutCancel(ctx))
}

func (m *mover) run(ctx context.Context) {
	defer close(m.done)
	if _, err := m.request(ctx, false); err != nil {
		m.log(err)
		return
	}
	// A run that was stopped must go on, so that none is stopped while one of its targets may not
	// be sent to.
	if m.callEnded.Load() || m.fl.f.isEvacuated(m.from, m.to) {
		return
	}
	status, err := m.request(ctx, true)
	m.copied = err == nil
	m.stopped = m.copied || status == http.StatusServiceUnavailable
	if err != nil {
		m.log(err)
	}
}

// log logs why a run was not moved, or continues where it was stopped.
func (m *mover) log(err error) {
	m.fl.f.opts.Logger.Info("run not moved", "request", m.fl.call.ID, "from", m.from.ID, "to", m.to.ID, "stopped", m.stopped, "reason", err.Error())
}

// request sends one request to copy and records the handle.
func (m *mover) request(ctx context.Context, stop bool) (status int, err error) {
	path, body := m.fl.f.opts.EngineAPI.Copy(m.fl.call.ID, m.to.Address, stop)
	status, answer, err := m.fl.f.request(ctx, m.from, useOnce, http.MethodPost, path, body)
	if err != nil {
		return status, err
	}
	if handle, err := m.fl.f.opts.EngineAPI.ParseHandle(answer); err == nil && handle != "" {
		m.handle = handle
	}
	if status != http.StatusOK {
		return status, errors.Errorf("the engine answered %d to the copy request", status)
	}
	return status, nil
}

// request sends a request of this system's own to a target.
func (f *Forwarder) request(ctx context.Context, t *spread.Target, u connUse, method, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	c, err := f.pool.get(ctx, t, u, "")
	if err != nil {
		return 0, nil, errors.Wrap(errNotSent, err.Error())
	}
	call := &Call{Method: method, URI: path, Host: t.Address, Body: body, Internal: true}
	if len(body) > 0 {
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
	answer, err = io.ReadAll(io.LimitReader(x.body, maxEngineAnswer))
	x.bodyComplete = err == nil && len(answer) < maxEngineAnswer
	x.finish()
	return x.head.StatusCode(), answer, err
}

// resume returns where the run continues after its stream was closed; nil if this move did not
// stop it.
func (m *mover) resume(ctx context.Context) *resumption {
	if m == nil || !m.started {
		return nil
	}
	select {
	case <-m.done:
	case <-ctx.Done():
		return nil
	}
	if !m.stopped || m.handle == "" {
		return nil
	}
	m.resumed = true
	r := &resumption{source: m.fl.f.opts.EngineAPI.ResumeSource(m.from.Address, m.handle)}
	if m.copied {
		r.targets = append(r.targets, m.to)
	}
	// The engine that stopped the run keeps its KV cache, too.
	r.targets = append(r.targets, m.from)
	return r
}

// release frees an unused copy: the call ended before it was moved.
func (m *mover) release() {
	if m == nil || !m.started || m.resumed {
		return
	}
	m.callEnded.Store(true)
	go func() {
		<-m.done
		if m.handle == "" {
			return
		}
		_, _, err := m.fl.f.request(context.Background(), m.from, useOnce, http.MethodDelete, m.fl.f.opts.EngineAPI.ReleasePath(m.handle), nil)
		if err != nil {
			m.fl.f.opts.Logger.Info("failed to release the copy of a run", "request", m.fl.call.ID, "target", m.from.ID, "reason", err.Error())
		}
	}()
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
