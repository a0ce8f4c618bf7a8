// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package keeper

import (
	"container/heap"
	"context"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
)

// exhaustedRetryAfter is the Retry-After for a spent budget. It is long, since an operator
// has to grant more tokens first.
const exhaustedRetryAfter = time.Minute

// unreachableRetryAfter is the Retry-After while control can't be reached.
const unreachableRetryAfter = 5 * time.Second

// waiter is a request that waits for tokens.
type waiter struct {
	request *statev1.RequestRecord
	box     string
	arrival uint64
	// index is the position in the heap, -1 once removed.
	index int
	done  chan ledger.Outcome
}

// waitQueue is a heap of the waiters of one budget: interactive requests first, then by
// arrival. It also holds the latest information from control about the budget.
type waitQueue struct {
	waiters  []*waiter
	arrivals uint64
	// remaining is the part of the whole budget that is neither spent nor lost. It
	// is valid once asked is set. reached is set if control answered the last report.
	remaining uint64
	asked     bool
	reached   bool
}

func (q *waitQueue) Len() int { return len(q.waiters) }
func (q *waitQueue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.request.GetPriority() != b.request.GetPriority() {
		return a.request.GetPriority() > b.request.GetPriority()
	}
	return a.arrival < b.arrival
}
func (q *waitQueue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	last.index = -1
	return last
}

// Reserve decides whether a request may run. If the tokens are short only here, the
// request waits while control moves tokens here and other requests return what they did
// not use. A request that the budget can't cover any more is refused at once.
func (k *Keeper) Reserve(ctx context.Context, r *betweenv1.ReserveRequest) (*betweenv1.ReserveResponse, error) {
	if err := k.Err(); err != nil {
		return nil, err
	}
	k.mu.Lock()
	if k.stopping {
		k.mu.Unlock()
		return nil, ErrNotReady{Box: k.opts.Box, Reason: "stopping"}
	}
	out := k.ledger.Reserve(r.GetRequest(), r.GetBox(), k.now())
	if out.Status != betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED || r.GetWait() <= 0 {
		return k.respond(ctx, out)
	}
	w := k.enqueue(r)
	k.mu.Unlock()
	k.TriggerSync()
	return k.await(ctx, w, time.Duration(r.GetWait())*time.Millisecond)
}

// respond returns the response to an outcome once the outcome is durable. The caller
// holds k.mu, which respond releases.
func (k *Keeper) respond(ctx context.Context, out ledger.Outcome) (*betweenv1.ReserveResponse, error) {
	position := k.queue(out.Records)
	k.mu.Unlock()
	if err := k.committer.Wait(ctx, position); err != nil {
		return nil, err
	}
	switch out.Status {
	case betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED:
		return exhaustedResponse(out.Request, out.Free, true), nil
	case betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED:
		return exhaustedResponse(out.Request, out.Free, false), nil
	}
	return &betweenv1.ReserveResponse{Status: out.Status, Request: out.Request, Free: out.Free}, nil
}

func (k *Keeper) enqueue(r *betweenv1.ReserveRequest) *waiter {
	budget := r.GetRequest().GetBudget()
	q := k.queues[budget]
	if q == nil {
		q = &waitQueue{}
		k.queues[budget] = q
	}
	q.arrivals++
	w := &waiter{request: r.GetRequest(), box: r.GetBox(), arrival: q.arrivals, done: make(chan ledger.Outcome, 1)}
	heap.Push(q, w)
	k.ledger.Waiting(w.request.GetGroup(), 1)
	k.updateDemand(budget)
	return w
}

// updateDemand sets the number of tokens that the waiters lack, which the next report
// passes to control. It drops the queue if it is empty. The caller holds k.mu.
func (k *Keeper) updateDemand(budget string) {
	need := uint64(0)
	q := k.queues[budget]
	for _, w := range q.waiters {
		need += w.request.GetBound()
	}
	k.ledger.SetNeed(budget, need-min(need, k.ledger.Budget(budget).Free()))
	if len(q.waiters) == 0 {
		delete(k.queues, budget)
	}
}

func (k *Keeper) await(ctx context.Context, w *waiter, limit time.Duration) (*betweenv1.ReserveResponse, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case out := <-w.done:
		k.mu.Lock()
		return k.respond(ctx, out)
	case <-timer.C:
	case <-ctx.Done():
	}
	return k.stopWaiting(context.WithoutCancel(ctx), w)
}

// stopWaiting removes a waiter from its queue and refuses its request. A reservation that
// was made at the last moment is returned instead.
func (k *Keeper) stopWaiting(ctx context.Context, w *waiter) (*betweenv1.ReserveResponse, error) {
	k.mu.Lock()
	select {
	case out := <-w.done:
		return k.respond(ctx, out)
	default:
	}
	reached := true
	if q := k.queues[w.request.GetBudget()]; q != nil && w.index >= 0 {
		reached = q.reached
		heap.Remove(q, w.index)
		k.ledger.Waiting(w.request.GetGroup(), -1)
		k.updateDemand(w.request.GetBudget())
	}
	free := k.ledger.Budget(w.request.GetBudget()).Free()
	k.mu.Unlock()
	return exhaustedResponse(w.request, free, reached), nil
}

func exhaustedResponse(r *statev1.RequestRecord, free uint64, reached bool) *betweenv1.ReserveResponse {
	retry := exhaustedRetryAfter
	if !reached {
		retry = unreachableRetryAfter
	}
	return &betweenv1.ReserveResponse{
		Status:      betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED,
		Request:     r,
		RetryAfter:  retry.Milliseconds(),
		Free:        free,
		Unreachable: !reached,
	}
}

// serveAll serves the waiters of all budgets. The caller holds k.mu.
func (k *Keeper) serveAll() {
	for budget := range k.queues {
		k.serve(budget)
	}
}

// serve answers the waiters of a budget that can be answered now. The caller holds k.mu.
func (k *Keeper) serve(budget string) {
	q := k.queues[budget]
	if q == nil {
		return
	}
	var remaining []*waiter
	served := false
	for q.Len() > 0 {
		w := heap.Pop(q).(*waiter)
		if !k.tryServe(w, q) {
			remaining = append(remaining, w)
			continue
		}
		served = true
	}
	for _, w := range remaining {
		heap.Push(q, w)
	}
	if served || q.Len() == 0 {
		k.updateDemand(budget)
	}
}

// tryServe answers a waiter if its tokens can be reserved now, or can't be reserved any
// more. It returns false if the waiter has to go on waiting.
func (k *Keeper) tryServe(w *waiter, q *waitQueue) bool {
	if k.ledger.Budget(w.request.GetBudget()).Free() < w.request.GetBound() && !k.isUncoverable(w, q) {
		return false
	}
	out := k.ledger.Reserve(w.request, w.box, k.now())
	k.queue(out.Records)
	// The records are already queued for the log. The waiter only waits until they
	// are durable.
	out.Records = nil
	k.ledger.Waiting(w.request.GetGroup(), -1)
	w.done <- out
	return true
}

// refuseUncovered refuses waiters while control can't be reached. It refuses those that
// could not be covered even if all tokens reserved here were returned. The caller holds
// k.mu.
func (k *Keeper) refuseUncovered(budget string) {
	q := k.queues[budget]
	if q == nil {
		return
	}
	q.reached = false
	b := k.ledger.Budget(budget)
	for i := q.Len() - 1; i >= 0; i-- {
		w := q.waiters[i]
		if b.Free()+b.Reserved >= w.request.GetBound() {
			continue
		}
		heap.Remove(q, w.index)
		k.ledger.Waiting(w.request.GetGroup(), -1)
		w.done <- ledger.Outcome{Request: w.request, Free: b.Free()}
	}
	k.updateDemand(budget)
}

// isUncoverable reports whether a waiter can't be served any more: the keeper is stopping,
// or what is left of the whole budget is less than the request's bound.
func (k *Keeper) isUncoverable(w *waiter, q *waitQueue) bool {
	return k.stopping || q.asked && q.remaining < w.request.GetBound()
}
