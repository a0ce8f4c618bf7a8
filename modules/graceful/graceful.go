// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package graceful manages the shutdown of a process. The first signal starts
// draining: the box reports that it is not ready and takes no new work, while work
// in progress may finish. An interrupt during that time, or the time limit for
// draining, cancels the work in progress.
package graceful

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Manager holds the contexts that signal the two stages of a shutdown.
type Manager struct {
	draining       context.Context
	cancelDraining context.CancelFunc
	hammer         context.Context
	cancelHammer   context.CancelFunc
	limit          time.Duration
	once           sync.Once
}

// New returns a manager; limit is the maximum time for draining.
func New(limit time.Duration) *Manager {
	m := &Manager{limit: limit}
	m.draining, m.cancelDraining = context.WithCancel(context.Background())
	m.hammer, m.cancelHammer = context.WithCancel(context.Background())
	return m
}

// DrainContext returns a context that is cancelled when the shutdown starts. Code that
// accepts new work stops then.
func (m *Manager) DrainContext() context.Context { return m.draining }

// WorkContext returns the context for work in progress. It is cancelled when draining
// exceeds its limit or is cut short.
func (m *Manager) WorkContext() context.Context { return m.hammer }

// IsDraining reports whether the shutdown has started.
func (m *Manager) IsDraining() bool { return m.draining.Err() != nil }

// Shutdown starts the shutdown and the time limit for draining. Further calls have no
// effect.
func (m *Manager) Shutdown() {
	m.once.Do(func() {
		m.cancelDraining()
		time.AfterFunc(m.limit, m.cancelHammer)
	})
}

// Terminate cancels the work in progress at once.
func (m *Manager) Terminate() { m.cancelHammer() }

// HandleSignals starts the shutdown at the first SIGTERM or SIGINT. Further SIGTERMs change nothing, since
// planned stops may overlap; a SIGINT during the shutdown calls Terminate. It does not block.
func (m *Manager) HandleSignals() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go m.handle(signals)
}

// handle handles signals until the channel is closed.
func (m *Manager) handle(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGINT && m.IsDraining() {
			m.Terminate()
		}
		m.Shutdown()
	}
}
