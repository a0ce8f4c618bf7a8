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

// Leases holds an entry box's leases, its parts of the prepaid budgets, and syncs
// them with control.
type Leases struct {
	LeasesOptions
	// Holder is the name under which control knows this process.
	Holder string

	mu        sync.Mutex
	table     *lease.Table
	draws     *lease.Draws
	directory *lease.Directory
	// reportedAt is the boot time at which the last report was sent, answeredAt that of
	// control's last answer. Both are zero before the first.
	reportedAt, answeredAt time.Duration
	changed                chan struct{}
	urgent                 chan struct{}
	holders                int
	connected              bool
	startedAt              time.Duration
	// sample is the number of the last sample, acked whether control has confirmed it.
	sample uint64
	acked  bool
	// leaving is set when the box starts to stop, leavingSampled when a sample has been
	// taken after that.
	leaving        bool
	leavingSampled bool
	// reporting serializes reports.
	reporting sync.Mutex
	// waiting has a channel for each request that waits for the limit on unreported use, closed
	// once it is decided. decideTimer decides again when the limit admits the next one.
	waiting     map[*lease.Waiter]chan struct{}
	decideTimer *time.Timer
}

type LeasesOptions struct {
	// Box and Process name the holder. A report of a new process of a box tells
	// control that the former process has ended.
	Box, Process string
	// Address is where other entry boxes send their draws to this one, empty if they
	// can't.
	Address    string
	DataCentre string
	Store      *Store
	Client     *Client
	Clock      clock.Clock
	Logger     *slog.Logger
	// Placement exchanges prefill loads, rate limits and speeds of targets with control
	// through the reports. It is nil for a box that places no calls.
	Placement Placement
}

// Placement decides which targets serve calls. For that it needs the prefill load of
// the long prompts of all boxes, and the rate limits and the speeds of targets.
type Placement interface {
	// Readings returns the prefill load of this box's long prompts by service.
	Readings() []*betweenv1.ReadingLoad
	// SetReadings sets the prefill load of the long prompts of all boxes.
	SetReadings(all []*betweenv1.ReadingLoad)
	// HasLimits reports whether there are rate limits to report to control.
	HasLimits() bool
	// TellLimits adds the rate limits and the speeds to report to control, and the
	// revisions of control's lists that this box has.
	TellLimits(r *betweenv1.LeaseRequest)
	// TakeLimits handles control's answer to r, nil if there was none. boxes is nil
	// while the entry boxes are not known.
	TakeLimits(r *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse, boxes *lease.Directory)
}

// minDecideInterval is the least time between two timed decisions about waiting requests.
const minDecideInterval = time.Millisecond

// NewLeases returns the leases of a box's process, all empty. The holder name is
// BOX@PROCESS.
func NewLeases(opts LeasesOptions) *Leases {
	return &Leases{
		LeasesOptions: opts, Holder: opts.Box + "@" + opts.Process,
		table: lease.NewTable(), draws: lease.NewDraws(), changed: make(chan struct{}), urgent: make(chan struct{}, 1),
		waiting: map[*lease.Waiter]chan struct{}{}, startedAt: opts.Clock.Boot(), acked: true,
	}
}

// Directory returns the directory of entry boxes, nil before control has sent one.
func (l *Leases) Directory() *lease.Directory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory
}

// Outcome is the result of a reservation.
type Outcome int

// Outcomes of a reservation.
const (
	// Reserved means that the tokens are reserved.
	Reserved Outcome = iota
	// Exhausted means that too few tokens are left in the whole budget.
	Exhausted
	// Short means that the lease has too few tokens and got no more in time.
	Short
)

// String returns the name of an outcome in logs.
func (o Outcome) String() string { return [...]string{"reserved", "exhausted", "short"}[o] }

// Status is a snapshot of a lease, in tokens.
type Status struct {
	Free, Left, Unallotted uint64
	// Age is the age of control's last answer in milliseconds, -1 if there was none.
	Age int64
	// LimitWait describes the wait for the limit on unreported use.
	LimitWait
	// Unreached is set if a holder was not reached while the link of the box that asked was
	// congested.
	Unreached bool
}

// LimitWait describes the wait of a reservation for the limit on unreported use.
type LimitWait struct {
	// Limited is set if the lease had enough tokens and the limit did not admit them at once.
	Limited bool
	// Ahead is the sum of the tokens of the reservations that waited before it.
	Ahead uint64
	// AvailableIn is the time until the limit admits a refused reservation without a report,
	// zero if it is not known.
	AvailableIn time.Duration
	// Waited is how long the reservation waited.
	Waited time.Duration
}

// Reserve reserves tokens of an organisation. It waits at most for the given time
// until the lease has enough, or until control has received a report of a reservation
// that has to be reported first or the limit on unreported use admits it.
func (l *Leases) Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Outcome, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Reserve(organisation, tokens, l.Clock.Boot()) {
		return Reserved, l.status(organisation)
	}
	outcome, limit := l.waitForTokens(ctx, organisation, tokens, wait)
	if outcome == Short {
		l.table.AddRefused(organisation, tokens)
	}
	status := l.status(organisation)
	status.LimitWait = limit
	return outcome, status
}

// waitForTokens waits until the lease has enough tokens and control has received a report of
// the reservation. The caller must hold l.mu, which is released while it waits.
func (l *Leases) waitForTokens(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Outcome, LimitWait) {
	if l.table.IsExhausted(organisation, tokens) {
		return Exhausted, LimitWait{}
	}
	if availableIn, limited := l.table.AvailableIn(organisation, tokens, l.Clock.Boot()); limited {
		if wait == 0 {
			return Short, LimitWait{Limited: true, AvailableIn: availableIn}
		}
		return l.waitForLimit(ctx, organisation, tokens, wait)
	}
	if wait == 0 {
		return Short, LimitWait{}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.table.AddNeed(organisation, int64(tokens))
	outcome := l.obtain(ctx, organisation, tokens, timer.C)
	l.table.AddNeed(organisation, -int64(tokens))
	if outcome == Reserved && !l.awaitReport(ctx, organisation, tokens, timer.C) {
		return Short, LimitWait{}
	}
	return outcome, LimitWait{}
}

// waitForLimit waits until control has received a report of a reservation that the lease has
// enough tokens for, or the limit on unreported use admits it in its turn. While the box is cut
// off from control, it returns at once if the limit does not admit the reservation soon. The caller
// must hold l.mu, which is released while it waits.
func (l *Leases) waitForLimit(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Outcome, LimitWait) {
	began := l.Clock.Boot()
	w := l.table.Wait(organisation, tokens, began+wait)
	decided := make(chan struct{})
	l.waiting[w] = decided
	l.decideWaiting()
	l.ReportNow()
	l.awaitDecision(ctx, decided, wait)
	l.decideWaiting()
	if _, undecided := l.waiting[w]; undecided {
		delete(l.waiting, w)
		l.table.Leave(w)
		l.decideWaiting()
	}
	limit := LimitWait{Limited: true, Ahead: w.Ahead, AvailableIn: w.AvailableIn, Waited: l.Clock.Boot() - began}
	if w.Admitted {
		return Reserved, limit
	}
	return Short, limit
}

// awaitDecision waits until decided is closed, the given time has passed or the context is done.
// The caller must hold l.mu, which is released while it waits.
func (l *Leases) awaitDecision(ctx context.Context, decided <-chan struct{}, wait time.Duration) {
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decideWaiting decides about the requests that wait for the limit on unreported use. The
// caller must hold l.mu.
func (l *Leases) decideWaiting() {
	if len(l.waiting) == 0 {
		return
	}
	now := l.Clock.Boot()
	decided, again := l.table.Decide(l.isCutOff(), now)
	for _, w := range decided {
		close(l.waiting[w])
		delete(l.waiting, w)
	}
	if l.decideTimer != nil {
		l.decideTimer.Stop()
	}
	if len(l.waiting) == 0 {
		return
	}
	if cutOffAt := l.answeredAt + maxAnswerAgeMillis*time.Millisecond; cutOffAt >= now && (again == 0 || cutOffAt < again) {
		again = cutOffAt
	}
	if again > 0 {
		l.decideTimer = time.AfterFunc(max(again-now, minDecideInterval), l.decideLater)
	}
}

func (l *Leases) decideLater() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decideWaiting()
}

// obtain waits until the lease has enough tokens, and reserves them.
func (l *Leases) obtain(ctx context.Context, organisation string, tokens uint64, late <-chan time.Time) Outcome {
	for {
		if l.table.ReservePending(organisation, tokens) {
			return Reserved
		}
		if l.table.IsExhausted(organisation, tokens) {
			return Exhausted
		}
		if l.isCutOff() || !l.awaitAnswer(ctx, late) {
			return Short
		}
	}
}

// HasContact reports whether control has answered lately.
func (l *Leases) HasContact() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredAt > 0 && !l.isCutOff()
}

// isCutOff reports whether control has not answered for so long that it is useless to
// wait for it. The caller must hold l.mu.
func (l *Leases) isCutOff() bool {
	return l.answeredAt > 0 && l.Clock.Boot()-l.answeredAt > maxAnswerAgeMillis*time.Millisecond
}

// awaitReport waits until control has received a report of a reservation. If that comes
// too late it reports whether the limit of unreported reservations admits it.
func (l *Leases) awaitReport(ctx context.Context, organisation string, tokens uint64, late <-chan time.Time) bool {
	wanted := l.sample + 1
	for l.sample < wanted || !l.acked {
		if !l.awaitAnswer(ctx, late) {
			return l.table.CancelPending(organisation, tokens, l.Clock.Boot())
		}
	}
	return true
}

// awaitAnswer requests a report and waits for control's next answer. It returns false if
// late fires or the context is done first. The caller must hold l.mu, which is
// released while it waits.
func (l *Leases) awaitAnswer(ctx context.Context, late <-chan time.Time) bool {
	l.ReportNow()
	changed := l.changed
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-changed:
		return true
	case <-late:
		return false
	case <-ctx.Done():
		return false
	}
}

func (l *Leases) status(organisation string) Status {
	row := l.table.Of(organisation)
	s := Status{Free: row.Free(), Left: row.Left, Unallotted: row.Unallotted, Age: -1}
	if row.HasAnswer {
		s.Age = (l.Clock.Boot() - row.AnsweredAt).Milliseconds()
	}
	return s
}

// AddDrawn records that a request drew tokens from another box's lease.
func (l *Leases) AddDrawn(organisation string, tokens uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.AddDrawn(organisation, tokens)
}

// HasFree reports whether this box has tokens of an organisation.
func (l *Leases) HasFree(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.HasFree(organisation)
}

// Settle ends a reservation of which the given tokens were spent.
func (l *Leases) Settle(organisation string, reserved, spent uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Settle(organisation, reserved, spent)
}

// EntryBoxCount returns the number of entry boxes, zero before control has answered.
func (l *Leases) EntryBoxCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders
}
