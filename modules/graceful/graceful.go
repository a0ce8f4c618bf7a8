// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package graceful owns the end of a process. A first signal starts draining:
// the box turns unready and takes no new work, and what runs may end. A second
// signal, or the limit, ends everything at once.
package graceful

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Manager passes the contexts of a process's life.
type Manager struct {
	draining context.Context
	drain    context.CancelFunc
	hammer   context.Context
	strike   context.CancelFunc
	limit    time.Duration
	once     sync.Once
}

// New returns a manager with a limit for draining.
func New(limit time.Duration) *Manager {
	m := &Manager{limit: limit}
	m.draining, m.drain = context.WithCancel(context.Background())
	m.hammer, m.strike = context.WithCancel(context.Background())
	return m
}

// Draining ends when a stop begins; who takes new work stops then.
func (m *Manager) Draining() context.Context { return m.draining }

// Hammer ends when everything must end; work in progress runs under it.
func (m *Manager) Hammer() context.Context { return m.hammer }

// IsDraining tells whether a stop has begun.
func (m *Manager) IsDraining() bool { return m.draining.Err() != nil }

// Stop begins a stop; the limit counts from here.
func (m *Manager) Stop() {
	m.once.Do(func() {
		m.drain()
		time.AfterFunc(m.limit, m.strike)
	})
}

// Strike ends everything at once.
func (m *Manager) Strike() { m.strike() }

// HandleSignals stops at the first SIGTERM or SIGINT and strikes at the second.
func (m *Manager) HandleSignals() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		m.Stop()
		<-signals
		m.Strike()
	}()
}
