// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package queue schedules the requests that wait at one box for a target. It
// counts the tokens served to each organisation, divided by its share, and
// serves the waiting organisation with the lowest counter next (the virtual
// token counter of Sheng et al., "Fairness in Serving Large Language Models",
// 2024). Interactive requests go before batch requests, except that one of every
// BatchEvery picks goes to batch, so that batch requests are not starved.
package queue

import (
	"container/heap"
	"time"
)

// BatchEvery is the number of picks of which one goes to a batch request while
// both interactive and batch requests wait.
const BatchEvery = 8

// Item is a waiting request.
type Item struct {
	Organisation string
	Interactive  bool
	// Pool is the name of the model or service whose targets the request waits
	// for.
	Pool string
	// Tokens is the request's bound, which is charged when it is taken.
	Tokens int
	// MaxOutputTokens is the maximum number of tokens that the request may generate, a
	// measure of its run time.
	MaxOutputTokens int
	// Deadline is the boot time by which the request must be answered.
	Deadline time.Duration
	// Payload is the waiting request itself.
	Payload  any
	sequence uint64
	pool     *pool
	index    int
}

// Queue holds the waiting requests of a box. It is not safe for concurrent
// use.
type Queue struct {
	shares func(organisation string) int
	pools  map[string]*pool
	// virtualTokens holds, by organisation, the tokens served divided by its
	// share. virtualFloor is the minimum from which an organisation starts when
	// it adds a request.
	virtualTokens map[string]float64
	virtualFloor  float64
	sequence      uint64
	count         int
	tokens        int
}

// pool holds the requests for one model or service. classes holds batch requests
// at index 0 and interactive requests at index 1; picks counts the taken ones.
type pool struct {
	name    string
	classes [2]priorityClass
	picks   int
}

// priorityClass holds the requests of one priority by organisation. work is the
// sum of their MaxOutputTokens.
type priorityClass struct {
	byOrganisation map[string]*deadlineHeap
	count          int
	work           int
}

// Load is the sum of the waiting requests' MaxOutputTokens by priority.
type Load struct {
	Interactive int
	Batch       int
}

// Load returns the load of a pool, zero for one without waiting requests.
func (q *Queue) Load(poolName string) Load {
	p := q.pools[poolName]
	if p == nil {
		return Load{}
	}
	return Load{Interactive: p.classes[classIndex(true)].work, Batch: p.classes[classIndex(false)].work}
}

// New returns an empty queue. shares returns an organisation's weight; values
// below 1 count as 1.
func New(shares func(organisation string) int) *Queue {
	return &Queue{shares: shares, pools: map[string]*pool{}, virtualTokens: map[string]float64{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Tokens returns the sum of the waiting requests' bounds.
func (q *Queue) Tokens() int { return q.tokens }

// Pools returns the names of the pools with waiting requests, in no particular
// order.
func (q *Queue) Pools() []string {
	names := make([]string, 0, len(q.pools))
	for name := range q.pools {
		names = append(names, name)
	}
	return names
}

// CountAhead returns the number of requests in a pool that a new request would wait
// behind. For an interactive request only interactive ones count.
func (q *Queue) CountAhead(poolName string, interactive bool) int {
	p := q.pools[poolName]
	if p == nil {
		return 0
	}
	if interactive {
		return p.classes[classIndex(true)].count
	}
	return p.classes[0].count + p.classes[1].count
}

func classIndex(interactive bool) int {
	if interactive {
		return 1
	}
	return 0
}

// Add adds a request to the pool that it names.
func (q *Queue) Add(it *Item) {
	p := q.pools[it.Pool]
	if p == nil {
		p = &pool{name: it.Pool}
		q.pools[it.Pool] = p
	}
	q.sequence++
	it.sequence = q.sequence
	it.pool = p
	// An organisation gains no credit for the time in which it had no requests.
	q.virtualTokens[it.Organisation] = max(q.virtualTokens[it.Organisation], q.virtualFloor)
	p.classes[classIndex(it.Interactive)].add(it)
	q.count++
	q.tokens += it.Tokens
}

// Remove removes a request that is no longer waited for. It does nothing for one
// that was already taken or removed.
func (q *Queue) Remove(it *Item) {
	if it.pool == nil {
		return
	}
	it.pool.classes[classIndex(it.Interactive)].remove(it)
	q.detach(it)
}

func (q *Queue) detach(it *Item) {
	p := it.pool
	it.pool = nil
	q.count--
	q.tokens -= it.Tokens
	if p.classes[0].count+p.classes[1].count == 0 {
		delete(q.pools, p.name)
	}
}

// Peek returns the next request of a pool without removing it, or nil if there
// is none. interactiveOnly restricts the choice to interactive requests.
func (q *Queue) Peek(poolName string, interactiveOnly bool) *Item {
	p := q.pools[poolName]
	if p == nil {
		return nil
	}
	class := classIndex(true)
	if p.classes[1].count == 0 || (p.classes[0].count > 0 && p.picks%BatchEvery == BatchEvery-1) {
		class = classIndex(false)
	}
	if interactiveOnly {
		class = classIndex(true)
	}
	return q.leastServed(&p.classes[class])
}

// leastServed returns the first request of the organisation with the lowest
// counter, or nil. Between equal counters the request added first wins.
func (q *Queue) leastServed(c *priorityClass) *Item {
	var best *deadlineHeap
	lowest := 0.0
	for organisation, h := range c.byOrganisation {
		served := q.virtualTokens[organisation]
		if best == nil || served < lowest || (served == lowest && h.items[0].sequence < best.items[0].sequence) {
			best, lowest = h, served
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// Dequeue removes a waiting request that is assigned a target and charges its
// tokens.
func (q *Queue) Dequeue(it *Item) {
	p := it.pool
	p.picks++
	p.classes[classIndex(it.Interactive)].remove(it)
	q.detach(it)
	q.Charge(it.Organisation, it.Tokens)
}

// Charge adds tokens to an organisation's counter. A negative number corrects an
// earlier charge whose bound was not used up.
func (q *Queue) Charge(organisation string, tokens int) {
	share := max(1, q.shares(organisation))
	q.virtualTokens[organisation] += float64(tokens) / float64(share)
	if tokens > 0 {
		q.virtualFloor = max(q.virtualFloor, q.lowestWaiting())
	}
}

// lowestWaiting returns the lowest counter of the organisations with waiting
// requests, or virtualFloor if there are none.
func (q *Queue) lowestWaiting() float64 {
	lowest, found := q.virtualFloor, false
	for _, p := range q.pools {
		for i := range p.classes {
			for organisation := range p.classes[i].byOrganisation {
				if served := q.virtualTokens[organisation]; !found || served < lowest {
					lowest, found = served, true
				}
			}
		}
	}
	return lowest
}

func (c *priorityClass) add(it *Item) {
	if c.byOrganisation == nil {
		c.byOrganisation = map[string]*deadlineHeap{}
	}
	h := c.byOrganisation[it.Organisation]
	if h == nil {
		h = &deadlineHeap{}
		c.byOrganisation[it.Organisation] = h
	}
	heap.Push(h, it)
	c.count++
	c.work += it.MaxOutputTokens
}

func (c *priorityClass) remove(it *Item) {
	h := c.byOrganisation[it.Organisation]
	heap.Remove(h, it.index)
	if h.Len() == 0 {
		delete(c.byOrganisation, it.Organisation)
	}
	c.count--
	c.work -= it.MaxOutputTokens
}

// deadlineHeap is a min-heap of one organisation's requests by deadline, then by
// arrival.
type deadlineHeap struct{ items []*Item }

func (h *deadlineHeap) Len() int { return len(h.items) }
func (h *deadlineHeap) Less(i, j int) bool {
	if h.items[i].Deadline != h.items[j].Deadline {
		return h.items[i].Deadline < h.items[j].Deadline
	}
	return h.items[i].sequence < h.items[j].sequence
}
func (h *deadlineHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}
