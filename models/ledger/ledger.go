// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger is a keeper's book: what it was allotted of each budget, and
// a record of each request that reserved, ran and was billed from it. One
// record decides at once whether a request may run and who pays, so a request
// is billed once, whatever is repeated or lost on the way.
//
// A Ledger decides and does no I/O. Each step returns the records to store;
// nothing may be told to anyone before they last.
package ledger

import (
	"container/heap"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Options configure a Ledger.
type Options struct {
	// Window is how long a record is kept after its request ended.
	Window time.Duration
	// BoxTimeout is how long a box may be silent before its requests count as
	// orphaned.
	BoxTimeout time.Duration
}

// clockSkew is how far clocks of callers and boxes may differ, in
// milliseconds, where a key's own time is relied on.
const clockSkew = 60_000

// Ledger holds the tables. It is not safe for concurrent use.
type Ledger struct {
	opts        Options
	Incarnation string
	// Created is when this ledger began, in Unix milliseconds.
	Created int64
	// Blind says that an earlier ledger of this box was lost: keys from before
	// Created can't be vouched for.
	Blind bool
	// Registered says that control has brought this ledger into force once.
	Registered bool
	Budgets    map[string]*Budget
	Usages     map[string]*Usage
	Requests   map[string]*statev1.RequestRecord
	// open holds the keys of unfinished requests by box.
	open map[string]map[string]bool
	// beats holds the boot time at which a box was last heard of.
	beats map[string]time.Duration
	began time.Duration
	// pending holds the keys of records whose home must still be asked.
	pending  map[string]bool
	expiries expiryHeap
	due      map[string]*expiry
	dirty    map[string]bool
	dirtyUse map[string]bool
}

// Budget is a row of one budget.
type Budget struct {
	Row      *statev1.BudgetRow
	Reserved uint64
	// Need is what waiting requests lack.
	Need uint64
	rate rate
}

// Free is what can still be reserved.
func (b *Budget) Free() uint64 {
	used := b.Row.GetReturned() + b.Row.GetSpent() + b.Reserved
	if used >= b.Row.GetAllotted() {
		return 0
	}
	return b.Row.GetAllotted() - used
}

// Usage is a row of one group.
type Usage struct {
	Row      *statev1.UsageRow
	Reserved uint64
	Waiting  uint64
}

// New returns an empty ledger.
func New(opts Options, incarnation string, created time.Time, boot time.Duration) *Ledger {
	return &Ledger{
		opts:        opts,
		Incarnation: incarnation,
		Created:     created.UnixMilli(),
		Budgets:     map[string]*Budget{},
		Usages:      map[string]*Usage{},
		Requests:    map[string]*statev1.RequestRecord{},
		open:        map[string]map[string]bool{},
		beats:       map[string]time.Duration{},
		began:       boot,
		pending:     map[string]bool{},
		due:         map[string]*expiry{},
		dirty:       map[string]bool{},
		dirtyUse:    map[string]bool{},
	}
}

// RequestKey is the key of a record: a group's name and the caller's key.
func RequestKey(group, key string) string { return group + "\x00" + key }

func keyOf(r *statev1.RequestRecord) string { return RequestKey(r.GetGroup(), r.GetKey()) }

// Budget returns a row and makes it when missing.
func (l *Ledger) Budget(name string) *Budget {
	b := l.Budgets[name]
	if b == nil {
		b = &Budget{Row: &statev1.BudgetRow{Budget: name}}
		l.Budgets[name] = b
	}
	return b
}

// Usage returns a row and makes it when missing.
func (l *Ledger) Usage(group string) *Usage {
	u := l.Usages[group]
	if u == nil {
		u = &Usage{Row: &statev1.UsageRow{Group: group}}
		l.Usages[group] = u
	}
	return u
}

// Take replays one stored record.
func (l *Ledger) Take(r *statev1.LedgerRecord) {
	if row := r.GetBudget(); row != nil {
		l.Budget(row.GetBudget()).Row = row
		l.dirty[row.GetBudget()] = true
	}
	if row := r.GetUsage(); row != nil {
		l.Usage(row.GetGroup()).Row = row
		l.dirtyUse[row.GetGroup()] = true
	}
	if row := r.GetRequest(); row != nil {
		l.put(row)
	}
	if r.GetForget() != "" {
		l.remove(r.GetForget())
	}
}

// put stores a record and keeps what is derived from it: the reserved sums,
// the open requests of its box and the due time of its removal.
func (l *Ledger) put(r *statev1.RequestRecord) {
	key := keyOf(r)
	l.detach(key)
	l.Requests[key] = r
	if IsOpen(r) {
		l.Budget(r.GetBudget()).Reserved += r.GetBound()
		l.Usage(r.GetGroup()).Reserved += r.GetBound()
		if l.open[r.GetBox()] == nil {
			l.open[r.GetBox()] = map[string]bool{}
		}
		l.open[r.GetBox()][key] = true
		l.schedule(key, r.GetDeadline()+reservedGrace)
	} else {
		l.schedule(key, r.GetChanged()+l.opts.Window.Milliseconds())
	}
	if r.GetForeignHome() != "" && r.GetState() != statev1.RequestState_REQUEST_STATE_RELEASED {
		l.pending[key] = true
	}
	l.touch(r)
}

func (l *Ledger) touch(r *statev1.RequestRecord) {
	if r.GetBudget() != "" {
		l.dirty[r.GetBudget()] = true
	}
	l.dirtyUse[r.GetGroup()] = true
}

func (l *Ledger) remove(key string) {
	l.detach(key)
	l.unschedule(key)
	delete(l.Requests, key)
}

// detach takes back what put has derived from a record.
func (l *Ledger) detach(key string) {
	r := l.Requests[key]
	if r == nil {
		return
	}
	delete(l.pending, key)
	if !IsOpen(r) {
		return
	}
	l.Budget(r.GetBudget()).Reserved -= r.GetBound()
	l.Usage(r.GetGroup()).Reserved -= r.GetBound()
	delete(l.open[r.GetBox()], key)
	if len(l.open[r.GetBox()]) == 0 {
		delete(l.open, r.GetBox())
	}
}

// IsOpen tells whether a request holds a reservation.
func IsOpen(r *statev1.RequestRecord) bool {
	return r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED ||
		r.GetState() == statev1.RequestState_REQUEST_STATE_STARTED
}

// Open returns the number of requests that hold reservations.
func (l *Ledger) Open() int {
	n := 0
	for _, keys := range l.open {
		n += len(keys)
	}
	return n
}

// expiry is a record's due time of a look, in Unix milliseconds. Each record
// has one, which moves with its state.
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

// schedule sets when a record is looked at next.
func (l *Ledger) schedule(key string, at int64) {
	if e := l.due[key]; e != nil {
		e.at = at
		heap.Fix(&l.expiries, e.index)
		return
	}
	e := &expiry{at: at, key: key}
	l.due[key] = e
	heap.Push(&l.expiries, e)
}

func (l *Ledger) unschedule(key string) {
	if e := l.due[key]; e != nil {
		heap.Remove(&l.expiries, e.index)
		delete(l.due, key)
	}
}

// reservedGrace is how long after its deadline, in milliseconds, a reservation
// that was never started is released.
const reservedGrace = 60_000

// Expire removes records that have left the window, and releases reservations
// that were never started by their deadline. Only rows that are due are looked
// at.
func (l *Ledger) Expire(now Times) []*statev1.LedgerRecord {
	var records []*statev1.LedgerRecord
	milli := now.Wall.UnixMilli()
	for len(l.expiries) > 0 && l.expiries[0].at <= milli {
		key := l.expiries[0].key
		// What stays is looked at again later.
		l.schedule(key, milli+reservedGrace)
		records = append(records, l.expire(key, now)...)
	}
	return records
}

func (l *Ledger) expire(key string, now Times) []*statev1.LedgerRecord {
	r := l.Requests[key]
	switch {
	case r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED:
		return l.Settle(r.GetGroup(), r.GetKey(), Bill{Attempt: r.GetAttempt(), NotRun: true}, now).Records
	case IsOpen(r) || l.pending[key]:
		return nil
	}
	l.remove(key)
	return []*statev1.LedgerRecord{{Forget: key}}
}

// Snapshot returns the whole ledger.
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

// Load takes a snapshot into an empty ledger.
func (l *Ledger) Load(s *statev1.LedgerSnapshot) {
	l.Incarnation, l.Created = s.GetIncarnation(), s.GetCreated()
	l.Blind, l.Registered = s.GetBlind(), s.GetRegistered()
	for _, row := range s.GetBudgets() {
		l.Take(&statev1.LedgerRecord{Budget: row})
	}
	for _, row := range s.GetUsages() {
		l.Take(&statev1.LedgerRecord{Usage: row})
	}
	for _, row := range s.GetRequests() {
		l.put(row)
	}
}
