// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/clock"
)

const (
	// leaseInterval is the time between reports.
	leaseInterval = 300 * time.Millisecond
	// leaseTimeout bounds one report with all its tries.
	leaseTimeout = 1500 * time.Millisecond
	// urgentPause is the shortest time between two reports.
	urgentPause = 40 * time.Millisecond
)

// Leases holds an entry box's parts of the prepaid budgets and keeps them in
// step with control.
type Leases struct {
	Holder string
	Store  *Store
	Client *Client
	Clock  clock.Clock
	Logger *slog.Logger

	mu      sync.Mutex
	table   *lease.Table
	changed chan struct{}
	urgent  chan struct{}
	holders int
	inTouch bool
}

// NewLeases returns leases of a holder, a name that ends with the process.
func NewLeases(holder string, store *Store, client *Client, c clock.Clock, l *slog.Logger) *Leases {
	return &Leases{Holder: holder, Store: store, Client: client, Clock: c, Logger: l,
		table: lease.NewTable(), changed: make(chan struct{}), urgent: make(chan struct{}, 1), holders: 1}
}

// Outcome is the answer to a reservation.
type Outcome int

// Outcomes of a reservation.
const (
	// Reserved means that the tokens are set aside.
	Reserved Outcome = iota
	// Exhausted means that the whole budget can't hold the request any more.
	Exhausted
	// Short means that the box has too few now and got none in time.
	Short
)

// Status is a reading of a lease for logs.
type Status struct {
	Free, Left uint64
	// Age is how long ago control answered, in milliseconds; -1 for never.
	Age int64
}

// Reserve sets tokens of an organisation aside, and waits for more at most as
// long as told.
func (l *Leases) Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Outcome, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Reserve(organisation, tokens) {
		return Reserved, l.status(organisation)
	}
	l.table.Need(organisation, int64(tokens))
	defer l.table.Need(organisation, -int64(tokens))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if l.table.Exhausted(organisation, tokens) {
			return Exhausted, l.status(organisation)
		}
		l.hurry()
		changed := l.changed
		l.mu.Unlock()
		late := false
		select {
		case <-changed:
		case <-timer.C:
			late = true
		case <-ctx.Done():
			late = true
		}
		l.mu.Lock()
		if l.table.Reserve(organisation, tokens) {
			return Reserved, l.status(organisation)
		}
		if late {
			return Short, l.status(organisation)
		}
	}
}

func (l *Leases) status(organisation string) Status {
	row := l.table.Of(organisation)
	s := Status{Free: row.Free(), Left: row.Left, Age: -1}
	if row.Asked {
		s.Age = (l.Clock.Boot() - row.Answered).Milliseconds()
	}
	return s
}

// Settle ends a reservation with what was spent of it.
func (l *Leases) Settle(organisation string, reserved, spent uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Settle(organisation, reserved, spent)
}

// Holders returns how many entry boxes report at present.
func (l *Leases) Holders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders
}

func (l *Leases) hurry() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// Run reports until the context ends.
func (l *Leases) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.urgent:
		}
		l.report(ctx, false)
		sleep(ctx, urgentPause)
	}
}

// Return gives everything back that no request has reserved.
func (l *Leases) Return(ctx context.Context) {
	l.mu.Lock()
	l.table.ReturnAll()
	l.mu.Unlock()
	l.report(ctx, true)
}

func (l *Leases) report(ctx context.Context, leaving bool) {
	r := l.request(leaving)
	if len(r.GetReports()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	resp, err := l.Client.Lease(ctx, r)
	l.take(resp, err)
}

func (l *Leases) request(leaving bool) *betweenv1.LeaseRequest {
	r := &betweenv1.LeaseRequest{Holder: l.Holder, Leaving: leaving}
	index := l.Store.Index()
	if index == nil {
		return r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	for _, p := range index.Table.GetPayers() {
		if !p.GetLimited() {
			continue
		}
		row := l.table.Report(p.GetOrganisation(), now)
		r.Reports = append(r.Reports, &betweenv1.LeaseReport{
			Organisation: row.Organisation, Returned: row.Returned, Spent: row.Spent,
			Reserved: row.Reserved, Rate: row.Rate, Need: row.Need,
		})
	}
	return r
}

func (l *Leases) take(resp *betweenv1.LeaseResponse, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if touch := err == nil; touch != l.inTouch {
		l.inTouch = touch
		if touch {
			l.Logger.Info("dependency regained", "dependency", "leases")
		} else {
			l.Logger.Warn("dependency lost", "dependency", "leases", "reason", err.Error())
		}
	}
	if err != nil {
		return
	}
	now := l.Clock.Boot()
	for _, g := range resp.GetGrants() {
		l.table.Granted(g.GetOrganisation(), g.GetAllotted(), g.GetKeep(), g.GetLeft(), now)
	}
	l.holders = max(1, int(resp.GetHolders()))
	close(l.changed)
	l.changed = make(chan struct{})
}
