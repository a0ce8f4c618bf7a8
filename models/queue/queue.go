// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package queue orders the requests that wait at one box for a target. Each
// organisation has a counter of the tokens it was served, divided by its
// share; the waiting organisation with the lowest counter goes next (the
// virtual token counter of Sheng et al., "Fairness in Serving Large Language
// Models", 2024). Interactive requests go before batch ones, except that every
// few picks belong to batch, so that it is never starved.
package queue

import (
	"container/heap"
	"time"
)

// BatchEvery is how many picks there are for each that belongs to batch while
// both kinds wait.
const BatchEvery = 8

// Item is a waiting request.
type Item struct {
	Organisation string
	Interactive  bool
	// Pool names the model or service whose targets it waits for.
	Pool string
	// Tokens is its bound, the cost that is counted when it is picked.
	Tokens int
	// Work is the most tokens it may generate, the measure of its run time.
	Work int
	// Deadline is the boot time by which it must have its answer.
	Deadline time.Duration
	// Payload is the waiting request itself.
	Payload any
	order   uint64
	pool    *pool
	index   int
}

// Queue holds the waiting requests of a box. It is not safe for concurrent
// use.
type Queue struct {
	shares func(organisation string) int
	pools  map[string]*pool
	// served holds tokens by share of each organisation that waits or was
	// served; floor is the lowest counter a newly waiting one starts from.
	served map[string]float64
	floor  float64
	order  uint64
	count  int
	tokens int
}

// pool holds the requests for one model or service.
type pool struct {
	name  string
	lanes [2]lane
	picks int
}

// lane holds the requests of one priority by organisation.
type lane struct {
	byOrganisation map[string]*fifo
	count          int
	work           int
}

// Load is the work that waits, by kind.
type Load struct {
	Interactive int
	Batch       int
}

// Load returns the work that waits in a pool.
func (q *Queue) Load(poolName string) Load {
	p := q.pools[poolName]
	if p == nil {
		return Load{}
	}
	return Load{Interactive: p.lanes[laneOf(true)].work, Batch: p.lanes[laneOf(false)].work}
}

// New returns an empty queue; shares gives an organisation's weight.
func New(shares func(organisation string) int) *Queue {
	return &Queue{shares: shares, pools: map[string]*pool{}, served: map[string]float64{}}
}

// Len returns the number of waiting requests, Tokens their bounds' sum.
func (q *Queue) Len() int { return q.count }

// Tokens returns the sum of the waiting requests' bounds.
func (q *Queue) Tokens() int { return q.tokens }

// Pools returns the names of the pools for which requests wait.
func (q *Queue) Pools() []string {
	names := make([]string, 0, len(q.pools))
	for name := range q.pools {
		names = append(names, name)
	}
	return names
}

// Ahead returns how many requests a new one would find before it, counting
// only interactive ones for an interactive request.
func (q *Queue) Ahead(poolName string, interactive bool) int {
	p := q.pools[poolName]
	if p == nil {
		return 0
	}
	if interactive {
		return p.lanes[laneOf(true)].count
	}
	return p.lanes[0].count + p.lanes[1].count
}

func laneOf(interactive bool) int {
	if interactive {
		return 1
	}
	return 0
}

// Add appends a request.
func (q *Queue) Add(it *Item) {
	p := q.pools[it.Pool]
	if p == nil {
		p = &pool{name: it.Pool}
		q.pools[it.Pool] = p
	}
	q.order++
	it.order = q.order
	it.pool = p
	// An organisation that was away may not claim the time it was away for.
	q.served[it.Organisation] = max(q.served[it.Organisation], q.floor)
	p.lanes[laneOf(it.Interactive)].add(it)
	q.count++
	q.tokens += it.Tokens
}

// Remove takes a request out that gave up; a picked one is left alone.
func (q *Queue) Remove(it *Item) {
	if it.pool == nil {
		return
	}
	it.pool.lanes[laneOf(it.Interactive)].remove(it)
	q.left(it)
}

func (q *Queue) left(it *Item) {
	p := it.pool
	it.pool = nil
	q.count--
	q.tokens -= it.Tokens
	if p.lanes[0].count+p.lanes[1].count == 0 {
		delete(q.pools, p.name)
	}
}

// Next returns the request that is next in a pool, without taking it, nil when
// none waits. interactiveOnly restricts it to interactive requests.
func (q *Queue) Next(poolName string, interactiveOnly bool) *Item {
	p := q.pools[poolName]
	if p == nil {
		return nil
	}
	at := laneOf(true)
	if p.lanes[1].count == 0 || (p.lanes[0].count > 0 && p.picks%BatchEvery == BatchEvery-1) {
		at = laneOf(false)
	}
	if interactiveOnly {
		at = laneOf(true)
	}
	return q.first(&p.lanes[at])
}

// first returns the first request of the organisation served least.
func (q *Queue) first(l *lane) *Item {
	var best *fifo
	lowest := 0.0
	for organisation, f := range l.byOrganisation {
		served := q.served[organisation]
		if best == nil || served < lowest || (served == lowest && f.items[0].order < best.items[0].order) {
			best, lowest = f, served
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// Take removes a request that gets a target and counts its tokens.
func (q *Queue) Take(it *Item) {
	p := it.pool
	p.picks++
	p.lanes[laneOf(it.Interactive)].remove(it)
	q.left(it)
	q.Charge(it.Organisation, it.Tokens)
}

// Charge counts tokens for an organisation; negative ones correct a bound that
// was not used up.
func (q *Queue) Charge(organisation string, tokens int) {
	share := max(1, q.shares(organisation))
	q.served[organisation] += float64(tokens) / float64(share)
	if tokens > 0 {
		q.floor = max(q.floor, q.lowestWaiting())
	}
}

// lowestWaiting is the lowest counter among waiting organisations.
func (q *Queue) lowestWaiting() float64 {
	lowest, found := q.floor, false
	for _, p := range q.pools {
		for i := range p.lanes {
			for organisation := range p.lanes[i].byOrganisation {
				if served := q.served[organisation]; !found || served < lowest {
					lowest, found = served, true
				}
			}
		}
	}
	return lowest
}

func (l *lane) add(it *Item) {
	if l.byOrganisation == nil {
		l.byOrganisation = map[string]*fifo{}
	}
	f := l.byOrganisation[it.Organisation]
	if f == nil {
		f = &fifo{}
		l.byOrganisation[it.Organisation] = f
	}
	heap.Push(f, it)
	l.count++
	l.work += it.Work
}

func (l *lane) remove(it *Item) {
	f := l.byOrganisation[it.Organisation]
	heap.Remove(f, it.index)
	if f.Len() == 0 {
		delete(l.byOrganisation, it.Organisation)
	}
	l.count--
	l.work -= it.Work
}

// fifo orders the requests of one organisation by deadline, then arrival.
type fifo struct{ items []*Item }

func (f *fifo) Len() int { return len(f.items) }
func (f *fifo) Less(i, j int) bool {
	if f.items[i].Deadline != f.items[j].Deadline {
		return f.items[i].Deadline < f.items[j].Deadline
	}
	return f.items[i].order < f.items[j].order
}
func (f *fifo) Swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].index, f.items[j].index = i, j
}

// Push implements heap.Interface.
func (f *fifo) Push(x any) {
	it := x.(*Item)
	it.index = len(f.items)
	f.items = append(f.items, it)
}

// Pop implements heap.Interface.
func (f *fifo) Pop() any {
	last := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	return last
}
