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
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// leaseInterval is the time between reports.
	leaseInterval = 300 * time.Millisecond
	// presenceInterval is the time between reports of a box that has no leases.
	presenceInterval = time.Second
	// leaseTimeout bounds one report with all its tries.
	leaseTimeout = 1500 * time.Millisecond
	// urgentPause is the shortest time between two reports.
	urgentPause = 15 * time.Millisecond
)

// Leases holds an entry box's parts of the prepaid budgets and keeps them in
// step with control.
type Leases struct {
	Holder string
	// Box is the holder's box; a new holder of a box says that the former has
	// ended.
	Box string
	// Address is where other entry boxes draw at this one, empty when they
	// can't.
	Address    string
	DataCentre string
	Store      *Store
	Client     *Client
	Clock      clock.Clock
	Logger     *slog.Logger

	mu        sync.Mutex
	table     *lease.Table
	draws     *lease.Draws
	directory *lease.Directory
	// reported is when the last report was sent, answered when control last
	// answered one.
	reported, answered time.Duration
	changed            chan struct{}
	urgent             chan struct{}
	holders            int
	inTouch            bool
	started            time.Duration
	// sample is the number of the last sample, acked whether control has it.
	sample uint64
	acked  bool
	// leaving is set once the box stops, left once a sample says so.
	leaving bool
	left    bool
	// reporting is held by the one report that is under way.
	reporting sync.Mutex
}

// LeasesOptions configure Leases.
type LeasesOptions struct {
	// Box and Process name the holder.
	Box, Process string
	// Address is where other entry boxes draw at this one, empty when they
	// can't.
	Address    string
	DataCentre string
	Store      *Store
	Client     *Client
	Clock      clock.Clock
	Logger     *slog.Logger
}

// NewLeases returns the leases of a box's process; the holder's name ends with
// it.
func NewLeases(opts LeasesOptions) *Leases {
	return &Leases{
		Holder: opts.Box + "@" + opts.Process, Box: opts.Box, Address: opts.Address, DataCentre: opts.DataCentre,
		Store: opts.Store, Client: opts.Client, Clock: opts.Clock, Logger: opts.Logger,
		table: lease.NewTable(), draws: lease.NewDraws(), changed: make(chan struct{}), urgent: make(chan struct{}, 1),
		holders: 1, started: opts.Clock.Boot(), acked: true,
	}
}

// Directory returns the entry boxes that hold leases, nil before control has
// named them.
func (l *Leases) Directory() *lease.Directory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directory
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

// String names an outcome for logs.
func (o Outcome) String() string { return [...]string{"reserved", "exhausted", "short"}[o] }

// Status is a reading of a lease for logs.
type Status struct {
	Free, Left, Unallotted uint64
	// Age is how long ago control answered, in milliseconds; -1 for never.
	Age int64
}

// Reserve sets tokens of an organisation aside, and waits for more, or for
// control to hear of them, at most as long as told.
func (l *Leases) Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Outcome, Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Reserve(organisation, tokens, l.Clock.Boot()) {
		return Reserved, l.status(organisation)
	}
	outcome := l.wait(ctx, organisation, tokens, wait)
	if outcome == Short {
		l.table.Missed(organisation, tokens)
	}
	return outcome, l.status(organisation)
}

// wait waits until the lease holds enough tokens and control has heard of the
// reservation; the caller holds the lock.
func (l *Leases) wait(ctx context.Context, organisation string, tokens uint64, wait time.Duration) Outcome {
	if l.table.Exhausted(organisation, tokens) {
		return Exhausted
	}
	if wait == 0 {
		return Short
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.table.Need(organisation, int64(tokens))
	outcome := l.obtain(ctx, organisation, tokens, timer.C)
	l.table.Need(organisation, -int64(tokens))
	if outcome == Reserved && !l.announce(ctx, organisation, tokens, timer.C) {
		return Short
	}
	return outcome
}

// obtain waits until the lease holds enough tokens.
func (l *Leases) obtain(ctx context.Context, organisation string, tokens uint64, late <-chan time.Time) Outcome {
	for {
		if l.table.Announce(organisation, tokens) {
			return Reserved
		}
		if l.table.Exhausted(organisation, tokens) {
			return Exhausted
		}
		if l.cutOff() || !l.await(ctx, late) {
			return Short
		}
	}
}

// cutOff tells whether control has not answered for so long that waiting for
// it is of no use; the caller holds the lock.
func (l *Leases) cutOff() bool {
	return l.answered > 0 && l.Clock.Boot()-l.answered > freshAge*time.Millisecond
}

// announce waits until control has heard of a reservation, or the limit allows
// it without.
func (l *Leases) announce(ctx context.Context, organisation string, tokens uint64, late <-chan time.Time) bool {
	wanted := l.sample + 1
	for l.sample < wanted || !l.acked {
		if !l.await(ctx, late) {
			return l.table.Withdraw(organisation, tokens, l.Clock.Boot())
		}
	}
	return true
}

// await waits for control's next answer; the caller holds the lock.
func (l *Leases) await(ctx context.Context, late <-chan time.Time) bool {
	l.hurry()
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

// Holders returns how many entry boxes there are at present.
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
		l.report(ctx)
		periodic.Sleep(ctx, urgentPause)
	}
}

// Leave makes this and all further reports give back what no request has
// reserved, and ask for nothing.
func (l *Leases) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.hurry()
}

// Return reports a last time, after Leave and the last request.
func (l *Leases) Return(ctx context.Context) { l.report(ctx) }

func (l *Leases) report(ctx context.Context) {
	l.reporting.Lock()
	defer l.reporting.Unlock()
	r := l.request()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	resp, err := l.Client.Lease(ctx, r)
	l.take(resp, err)
}

// request takes a new sample, or repeats the last one until control has it. It
// returns nil when there is nothing to say yet.
func (l *Leases) request() *betweenv1.LeaseRequest {
	index := l.Store.Index()
	if index == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	l.expireDraws(now)
	organisations := l.reports(index)
	if len(organisations) == 0 && !l.leaving && l.reported > 0 && now-l.reported < presenceInterval {
		return nil
	}
	l.reported = now
	if l.leaving {
		l.table.ReturnAll()
	}
	if l.acked {
		l.acked = false
		l.sample++
		l.table.Sample(now)
		l.left = l.leaving
	}
	r := &betweenv1.LeaseRequest{
		Holder: l.Holder, Box: l.Box, Leaving: l.left, Age: (now - l.started).Milliseconds(), Sample: l.sample,
		Address: l.Address, DataCentre: l.DataCentre,
	}
	if l.directory != nil {
		r.Directory = l.directory.Version
	}
	for _, organisation := range organisations {
		row := l.table.Report(organisation, now)
		r.Reports = append(r.Reports, &betweenv1.LeaseReport{
			Organisation: row.Organisation, Returned: row.Returned, Spent: row.Spent, Reserved: row.Reserved,
			Basis: row.Basis, Rate: row.Rate, Need: row.Need,
		})
	}
	return r
}

// reports returns the organisations that control has to hear of: those of which
// this box has a lease or should have one. The caller holds the lock.
func (l *Leases) reports(index *routing.Index) []string {
	var list []string
	for _, p := range index.Table.GetPayers() {
		if p.GetLimited() && (l.table.InUse(p.GetOrganisation()) || l.holds(p.GetOrganisation())) {
			list = append(list, p.GetOrganisation())
		}
	}
	return list
}

func (l *Leases) holds(organisation string) bool {
	return l.Address == "" || l.directory.Holds(l.Box, l.DataCentre, organisation)
}

func (l *Leases) take(resp *betweenv1.LeaseResponse, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched(err)
	if err != nil {
		return
	}
	l.acked = true
	now := l.Clock.Boot()
	l.answered = now
	for _, g := range resp.GetGrants() {
		l.table.Granted(g.GetOrganisation(), g.GetAllotted(), g.GetKeep(), g.GetLeft(), now)
		l.table.Of(g.GetOrganisation()).Unallotted = g.GetUnallotted()
	}
	l.holders = max(1, int(resp.GetHolders()))
	l.learn(resp.GetDirectory())
	close(l.changed)
	l.changed = make(chan struct{})
}

// learn takes a new directory in; the caller holds the lock.
func (l *Leases) learn(d *betweenv1.Directory) {
	if d == nil {
		return
	}
	boxes := make([]lease.Box, 0, len(d.GetBoxes()))
	for _, b := range d.GetBoxes() {
		boxes = append(boxes, lease.Box{Name: b.GetName(), Address: b.GetAddress(), DataCentre: b.GetDataCentre()})
	}
	l.directory = lease.NewDirectory(boxes)
	l.Logger.Info("directory of entry boxes in force", "version", l.directory.Version, "boxes", len(boxes))
}

// touched logs when control is lost or regained.
func (l *Leases) touched(err error) {
	touch := err == nil
	if touch == l.inTouch {
		return
	}
	l.inTouch = touch
	if touch {
		l.Logger.Info("dependency regained", "dependency", "leases", "sample", l.sample)
		return
	}
	l.Logger.Warn("dependency lost", "dependency", "leases", "sample", l.sample, "reason", err.Error())
}
