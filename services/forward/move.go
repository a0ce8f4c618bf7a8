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

// A call whose long prompt was read apart goes on elsewhere once it has begun to
// answer: the next long prompt at its target would make its events late. Its
// memory is copied to the target that keeps the common part of its prompt while
// it runs, then the run is stopped, what is new is copied, and the stream goes on
// there. It is the same run: no token is made twice.

const (
	// moveTimeout bounds one order to copy; copies of the longest prompts took up
	// to 0.5 s between data centres.
	moveTimeout = 2 * time.Second
	// orderAnswer bounds the answer to an order, in bytes; reports list the calls
	// that run.
	orderAnswer = 32 << 10
)

// EngineOrders says how engines are told to copy the memory of a running call.
type EngineOrders interface {
	// Copy returns the path and body of the order to copy a call's memory to the
	// engine at an address. With stop the run ends first; else it goes on.
	Copy(call, address string, stop bool) (path string, body []byte)
	// ReportPath is where an engine tells of its work.
	ReportPath() string
	// Report reads what it tells.
	Report(answer []byte) (EngineReport, error)
	// Release returns the path under which a copy is freed.
	Release(handle string) string
	// Handle reads the name of the copy in an answer.
	Handle(answer []byte) (string, error)
	// Source returns what Dialect.Resume holds for a copy made by the engine at
	// an address.
	Source(address, handle string) string
}

// resumption is a run that has been stopped and goes on from a copy of its
// memory, at the first of some targets that takes it.
type resumption struct {
	source  string
	targets []*spread.Target
}

// mover moves the run of one call from the target that has read its prompt.
type mover struct {
	fl       *flight
	from, to *spread.Target
	begun    bool
	// used is set when the run goes on from the copy, ended when the call is done
	// with the target that has read its prompt.
	used  bool
	ended atomic.Bool
	done  chan struct{}

	// Written before done is closed.
	handle  string
	stopped bool
	copied  bool
}

// mover returns the mover of a call, nil when it stays where it is.
func (fl *flight) mover(c spread.Choice) *mover {
	if !c.Apart || c.Home == nil || fl.f.opts.Orders == nil || !fl.service.GetEngine().GetMoves() {
		return nil
	}
	// A move is three requests or more at targets that take few.
	if fl.f.limited(c.Target) || fl.f.limited(c.Home) {
		return nil
	}
	return &mover{fl: fl, from: c.Target, to: c.Home, done: make(chan struct{})}
}

// start begins to move once the call has its first event; each move is one more
// arrival at the service, which the fleet's bound on further sends counts.
func (m *mover) start(ctx context.Context) {
	if m == nil || m.begun || !m.fl.sink.begun() || !m.fl.f.takeRetry(m.fl.service.GetName()) {
		return
	}
	m.begun = true
	// An order whose answer nobody waits for would leave a copy behind.
	go m.run(context.WithoutCancel(ctx))
}

func (m *mover) run(ctx context.Context) {
	defer close(m.done)
	if _, err := m.order(ctx, false); err != nil {
		m.log(err)
		return
	}
	if m.ended.Load() {
		return
	}
	status, err := m.order(ctx, true)
	m.copied = err == nil
	m.stopped = m.copied || status == http.StatusServiceUnavailable
	if err != nil {
		m.log(err)
	}
}

// log says why a run stays where it is, or goes on where it was stopped.
func (m *mover) log(err error) {
	m.fl.f.opts.Logger.Info("run not moved", "request", m.fl.call.ID, "from", m.from.ID, "to", m.to.ID, "stopped", m.stopped, "reason", err.Error())
}

// order sends one order to copy and notes the handle.
func (m *mover) order(ctx context.Context, stop bool) (status int, err error) {
	path, body := m.fl.f.opts.Orders.Copy(m.fl.call.ID, m.to.Address, stop)
	status, answer, err := m.fl.f.order(ctx, m.from, useOrder, http.MethodPost, path, body)
	if err != nil {
		return status, err
	}
	if handle, err := m.fl.f.opts.Orders.Handle(answer); err == nil && handle != "" {
		m.handle = handle
	}
	if status != http.StatusOK {
		return status, errors.Errorf("the engine answered %d to the order to copy", status)
	}
	return status, nil
}

// order makes a call of this system's own to a target.
func (f *Forwarder) order(ctx context.Context, t *spread.Target, u use, method, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	c, err := f.pool.get(ctx, t, u, "")
	if err != nil {
		return 0, nil, errors.Wrap(errNotSent, err.Error())
	}
	call := &Call{Method: method, URI: path, Host: t.Address, Body: body, System: true}
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
	answer, err = io.ReadAll(io.LimitReader(x.body, orderAnswer))
	x.whole = err == nil && len(answer) < orderAnswer
	x.finish()
	return x.head.StatusCode(), answer, err
}

// resume returns where the run goes on after its stream was closed, nil when it
// was not this move that stopped it.
func (m *mover) resume(ctx context.Context) *resumption {
	if m == nil || !m.begun {
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
	m.used = true
	r := &resumption{source: m.fl.f.opts.Orders.Source(m.from.Address, m.handle)}
	if m.copied {
		r.targets = append(r.targets, m.to)
	}
	// The engine that was stopped keeps the memory, too.
	r.targets = append(r.targets, m.from)
	return r
}

// release frees a copy that is not used: the call ended before it had moved.
func (m *mover) release() {
	if m == nil || !m.begun || m.used {
		return
	}
	m.ended.Store(true)
	go func() {
		<-m.done
		if m.handle == "" {
			return
		}
		_, _, err := m.fl.f.order(context.Background(), m.from, useOrder, http.MethodDelete, m.fl.f.opts.Orders.Release(m.handle), nil)
		if err != nil {
			m.fl.f.opts.Logger.Info("copy of a run not released", "request", m.fl.call.ID, "target", m.from.ID, "reason", err.Error())
		}
	}()
}

// follow takes a place at the next target where a stopped run may go on.
func (fl *flight) follow() spread.Choice {
	r := fl.resumption
	if len(r.targets) == 0 {
		return spread.Choice{}
	}
	t := r.targets[0]
	r.targets = r.targets[1:]
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	t.Running++
	return spread.Choice{Target: t}
}
