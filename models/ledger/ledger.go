// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger implements the ledger of a keeper: the tokens allotted to it
// from each budget, and a record of each request that was reserved, run and
// billed. A single record decides both whether a request may run and what it is
// billed, so a request is billed once even if messages are repeated or lost.
//
// A Ledger does no I/O. Each operation returns the records to store, and its
// result must not be sent to anyone before they are durable.
package ledger

import (
	"container/heap"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Options configure a Ledger.
type Options struct {
	// RetentionWindow is the time for which a record is kept after its request ended.
	RetentionWindow time.Duration
	// BoxTimeout is the time without a message from a box after which its
	// requests are orphaned.
	BoxTimeout time.Duration
}

// maxClockSkewMillis is the assumed maximum difference between the clocks of
// callers and boxes, in milliseconds, where the time inside a key is relied on.
const maxClockSkewMillis = 60_000

// Ledger holds the tables. It is not safe for concurrent use.
type Ledger struct {
	opts        Options
	Incarnation string
	// Created is the creation time of this ledger in Unix milliseconds.
	Created int64
	// Blind is set if an earlier ledger of this box was lost. A key from before
	// Created may then have run without a record.
	Blind bool
	// Registered is set once control has registered this ledger.
	Registered bool
	Budgets    map[string]*Budget
	Usages     map[string]*Usage
	Requests   map[string]*statev1.RequestRecord
	// openByBox holds the keys of open requests by box.
	openByBox map[string]map[string]bool
	// lastBeats holds the boot time of the last message from each box. startedAt
	// stands for it for a box without one.
	lastBeats map[string]time.Duration
	startedAt time.Duration
	// pendingClaims holds the keys of records that their home ledger has not
	// confirmed yet.
	pendingClaims map[string]bool
	// expiries and expiryByKey hold the same expiries, by time and by record.
	expiries    expiryHeap
	expiryByKey map[string]*expiry
	// dirtyBudgets and dirtyUsages name the rows of the next Reports.
	dirtyBudgets map[string]bool
	dirtyUsages  map[string]bool
}

// Budget is the ledger's state of one budget.
type Budget struct {
	Row      *statev1.BudgetRow
	Reserved uint64
	// Need is the number of tokens that waiting requests lack.
	Need uint64
	rate decayingRate
}

// Free returns the number of allotted tokens that are neither returned, spent
// nor reserved.
func (b *Budget) Free() uint64 {
	used := b.Row.GetReturned() + b.Row.GetSpent() + b.Reserved
	if used >= b.Row.GetAllotted() {
		return 0
	}
	return b.Row.GetAllotted() - used
}

// Usage is the ledger's state of one group. Waiting is the number of its waiting
// requests.
type Usage struct {
	Row      *statev1.UsageRow
	Reserved uint64
	Waiting  uint64
}

// New returns an empty ledger. boot is the current boot time, from which the
// timeout of boxes without a message counts.
func New(opts Options, incarnation string, created time.Time, boot time.Duration) *Ledger {
	return &Ledger{
		opts:          opts,
		Incarnation:   incarnation,
		Created:       created.UnixMilli(),
		Budgets:       map[string]*Budget{},
		Usages:        map[string]*Usage{},
		Requests:      map[string]*statev1.RequestRecord{},
		openByBox:     map[string]map[string]bool{},
		lastBeats:     map[string]time.Duration{},
		startedAt:     boot,
		pendingClaims: map[string]bool{},
		expiryByKey:   map[string]*expiry{},
		dirtyBudgets:  map[string]bool{},
		dirtyUsages:   map[string]bool{},
	}
}

// RequestKey returns the key of a request's record in Ledger.Requests.
func RequestKey(group, key string) string { return group + "\x00" + key }

func keyOf(r *statev1.RequestRecord) string { return RequestKey(r.GetGroup(), r.GetKey()) }

// Budget returns a budget's state and creates it if there is none.
func (l *Ledger) Budget(name string) *Budget {
	b := l.Budgets[name]
	if b == nil {
		b = &Budget{Row: &statev1.BudgetRow{Budget: name}}
		l.Budgets[name] = b
	}
	return b
}

// Usage returns a group's state and creates it if there is none.
func (l *Ledger) Usage(group string) *Usage {
	u := l.Usages[group]
	if u == nil {
		u = &Usage{Row: &statev1.UsageRow{Group: group}}
		l.Usages[group] = u
	}
	return u
}

// Replay applies one stored record during recovery.
func (l *Ledger) Replay(r *statev1.LedgerRecord) {
	if row := r.GetBudget(); row != nil {
		l.Budget(row.GetBudget()).Row = row
		l.dirtyBudgets[row.GetBudget()] = true
	}
	if row := r.GetUsage(); row != nil {
		l.Usage(row.GetGroup()).Row = row
		l.dirtyUsages[row.GetGroup()] = true
	}
	if row := r.GetRequest(); row != nil {
		l.put(row)
	}
	if r.GetForget() != "" {
		l.remove(r.GetForget())
	}
}

// put sets a request's record and updates the state derived from it: the
// reserved sums, the open requests of its box, its expiry and its pending claim.
func (l *Ledger) put(r *statev1.RequestRecord) {
	key := keyOf(r)
	l.unindex(key)
	l.Requests[key] = r
	if IsOpen(r) {
		l.Budget(r.GetBudget()).Reserved += r.GetBound()
		l.Usage(r.GetGroup()).Reserved += r.GetBound()
		if l.openByBox[r.GetBox()] == nil {
			l.openByBox[r.GetBox()] = map[string]bool{}
		}
		l.openByBox[r.GetBox()][key] = true
		l.schedule(key, r.GetDeadline()+unstartedGraceMillis)
	} else {
		l.schedule(key, r.GetChanged()+l.opts.RetentionWindow.Milliseconds())
	}
	if r.GetForeignHome() != "" && r.GetState() != statev1.RequestState_REQUEST_STATE_RELEASED {
		l.pendingClaims[key] = true
	}
	l.markRowsDirty(r)
}

func (l *Ledger) markRowsDirty(r *statev1.RequestRecord) {
	if r.GetBudget() != "" {
		l.dirtyBudgets[r.GetBudget()] = true
	}
	l.dirtyUsages[r.GetGroup()] = true
}

func (l *Ledger) remove(key string) {
	l.unindex(key)
	l.unschedule(key)
	delete(l.Requests, key)
}

// unindex removes the state that put has derived from a record, except its
// expiry.
func (l *Ledger) unindex(key string) {
	r := l.Requests[key]
	if r == nil {
		return
	}
	delete(l.pendingClaims, key)
	if !IsOpen(r) {
		return
	}
	l.Budget(r.GetBudget()).Reserved -= r.GetBound()
	l.Usage(r.GetGroup()).Reserved -= r.GetBound()
	delete(l.openByBox[r.GetBox()], key)
	if len(l.openByBox[r.GetBox()]) == 0 {
		delete(l.openByBox, r.GetBox())
	}
}

// IsOpen reports whether a request holds a reservation.
func IsOpen(r *statev1.RequestRecord) bool {
	return r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED ||
		r.GetState() == statev1.RequestState_REQUEST_STATE_STARTED
}

// Open returns the number of requests that hold reservations.
func (l *Ledger) Open() int {
	n := 0
	for _, keys := range l.openByBox {
		n += len(keys)
	}
	return n
}

// expiry is the time, in Unix milliseconds, at which Expire examines a record.
// Each record has exactly one, which is rescheduled when its state changes.
type expiry struct {
	at    int64
	key   string
	index int
}

type expiryHeap []*expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*expiry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// schedule sets the expiry of a record.
func (l *Ledger) schedule(key string, at int64) {
	if e := l.expiryByKey[key]; e != nil {
		e.at = at
		heap.Fix(&l.expiries, e.index)
		return
	}
	e := &expiry{at: at, key: key}
	l.expiryByKey[key] = e
	heap.Push(&l.expiries, e)
}

func (l *Ledger) unschedule(key string) {
	if e := l.expiryByKey[key]; e != nil {
		heap.Remove(&l.expiries, e.index)
		delete(l.expiryByKey, key)
	}
}

// unstartedGraceMillis is the time after its deadline, in milliseconds, at which
// a reservation that was never started is released.
const unstartedGraceMillis = 60_000

// Expire removes records of requests that ended longer than the window ago, and
// releases reservations whose deadline passed without a start. It visits only
// records that are due.
func (l *Ledger) Expire(now Times) []*statev1.LedgerRecord {
	var records []*statev1.LedgerRecord
	milli := now.Wall.UnixMilli()
	for len(l.expiries) > 0 && l.expiries[0].at <= milli {
		key := l.expiries[0].key
		// Records that can't be removed yet are examined again later.
		l.schedule(key, milli+unstartedGraceMillis)
		records = append(records, l.expire(key, now)...)
	}
	return records
}

func (l *Ledger) expire(key string, now Times) []*statev1.LedgerRecord {
	r := l.Requests[key]
	switch {
	case r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED:
		return l.Settle(r.GetGroup(), r.GetKey(), Bill{Attempt: r.GetAttempt(), NotRun: true}, now).Records
	case IsOpen(r) || l.pendingClaims[key]:
		return nil
	}
	l.remove(key)
	return []*statev1.LedgerRecord{{Forget: key}}
}

// Snapshot returns the durable state of the ledger.
func (l *Ledger) Snapshot() *statev1.LedgerSnapshot {
	s := &statev1.LedgerSnapshot{Incarnation: l.Incarnation, Created: l.Created, Blind: l.Blind, Registered: l.Registered}
	for _, b := range l.Budgets {
		s.Budgets = append(s.Budgets, b.Row)
	}
	for _, u := range l.Usages {
		s.Usages = append(s.Usages, u.Row)
	}
	for _, r := range l.Requests {
		s.Requests = append(s.Requests, r)
	}
	return s
}

// Load restores a snapshot into an empty ledger.
func (l *Ledger) Load(s *statev1.LedgerSnapshot) {
	l.Incarnation, l.Created = s.GetIncarnation(), s.GetCreated()
	l.Blind, l.Registered = s.GetBlind(), s.GetRegistered()
	for _, row := range s.GetBudgets() {
		l.Replay(&statev1.LedgerRecord{Budget: row})
	}
	for _, row := range s.GetUsages() {
		l.Replay(&statev1.LedgerRecord{Usage: row})
	}
	for _, row := range s.GetRequests() {
		l.put(row)
	}
}
