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

// retryExhausted is when to ask again after a budget was found spent: an
// operator has to grant more first.
const retryExhausted = time.Minute

// retryUnreachable is when to ask again while control can't be reached.
const retryUnreachable = 5 * time.Second

// waiter is a request that waits for tokens.
type waiter struct {
	request *statev1.RequestRecord
	box     string
	order   uint64
	index   int
	done    chan ledger.Outcome
}

// waitQueue holds the waiters of one budget, interactive ones first, then by
// arrival. What control last said of the budget stands beside them.
type waitQueue struct {
	waiters []*waiter
	arrived uint64
	// remaining is what of the whole budget is neither spent nor lost, known
	// once asked is set; reached tells whether control answered last time.
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
	return a.order < b.order
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

// Reserve decides whether a request may run. A request whose budget is only
// short here waits, while control pulls tokens together and other requests
// give back what they did not use; one that can't be covered any more is
// refused at once.
func (k *Keeper) Reserve(ctx context.Context, r *betweenv1.ReserveRequest) (*betweenv1.ReserveResponse, error) {
	if err := k.Err(); err != nil {
		return nil, err
	}
	k.mu.Lock()
	if k.stopping {
		k.mu.Unlock()
		return nil, ErrNotReady{Box: k.opts.Box, Reason: "stopping"}
	}
	out := k.ledger.Reserve(r.GetRequest(), r.GetBox(), k.times())
	if out.Status != betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED || r.GetWait() <= 0 {
		return k.answer(ctx, out)
	}
	w := k.enqueue(r)
	k.mu.Unlock()
	k.Kick()
	return k.await(ctx, w, time.Duration(r.GetWait())*time.Millisecond)
}

// answer returns an outcome once it lasts; the caller holds the lock, which is
// released here.
func (k *Keeper) answer(ctx context.Context, out ledger.Outcome) (*betweenv1.ReserveResponse, error) {
	position := k.queue(out.Records)
	k.mu.Unlock()
	if err := k.committer.Wait(ctx, position); err != nil {
		return nil, err
	}
	switch out.Status {
	case betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED:
		return exhausted(out.Request, out.Free, true), nil
	case betweenv1.ReserveStatus_RESERVE_STATUS_UNSPECIFIED:
		return exhausted(out.Request, out.Free, false), nil
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
	q.arrived++
	w := &waiter{request: r.GetRequest(), box: r.GetBox(), order: q.arrived, done: make(chan ledger.Outcome, 1)}
	heap.Push(q, w)
	k.ledger.Waiting(w.request.GetGroup(), 1)
	k.want(budget)
	return w
}

// want tells control, with the next report, what the waiters lack.
func (k *Keeper) want(budget string) {
	need := uint64(0)
	q := k.queues[budget]
	for _, w := range q.waiters {
		need += w.request.GetBound()
	}
	k.ledger.Want(budget, need-min(need, k.ledger.Budget(budget).Free()))
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
		return k.answer(ctx, out)
	case <-timer.C:
	case <-ctx.Done():
	}
	return k.giveUp(context.WithoutCancel(ctx), w)
}

// giveUp ends a wait. A reservation made at the last moment still counts.
func (k *Keeper) giveUp(ctx context.Context, w *waiter) (*betweenv1.ReserveResponse, error) {
	k.mu.Lock()
	select {
	case out := <-w.done:
		return k.answer(ctx, out)
	default:
	}
	reached := true
	if q := k.queues[w.request.GetBudget()]; q != nil && w.index >= 0 {
		reached = q.reached
		heap.Remove(q, w.index)
		k.ledger.Waiting(w.request.GetGroup(), -1)
		k.want(w.request.GetBudget())
	}
	free := k.ledger.Budget(w.request.GetBudget()).Free()
	k.mu.Unlock()
	return exhausted(w.request, free, reached), nil
}

func exhausted(r *statev1.RequestRecord, free uint64, reached bool) *betweenv1.ReserveResponse {
	retry := retryExhausted
	if !reached {
		retry = retryUnreachable
	}
	return &betweenv1.ReserveResponse{
		Status:      betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED,
		Request:     r,
		RetryAfter:  retry.Milliseconds(),
		Free:        free,
		Unreachable: !reached,
	}
}

// serveAll lets waiters run whose budget has tokens again; the caller holds
// the lock.
func (k *Keeper) serveAll() {
	for budget := range k.queues {
		k.serve(budget)
	}
}

func (k *Keeper) serve(budget string) {
	q := k.queues[budget]
	if q == nil {
		return
	}
	var kept []*waiter
	served := false
	for q.Len() > 0 {
		w := heap.Pop(q).(*waiter)
		if !k.tryServe(w, q) {
			kept = append(kept, w)
			continue
		}
		served = true
	}
	for _, w := range kept {
		heap.Push(q, w)
	}
	if served || q.Len() == 0 {
		k.want(budget)
	}
}

// tryServe answers a waiter that can be reserved for now, or that can't any
// more; it returns false while there is hope.
func (k *Keeper) tryServe(w *waiter, q *waitQueue) bool {
	if k.ledger.Budget(w.request.GetBudget()).Free() < w.request.GetBound() && !k.hopeless(w, q) {
		return false
	}
	out := k.ledger.Reserve(w.request, w.box, k.times())
	k.queue(out.Records)
	// They are queued for the log; the waiter only waits until they last.
	out.Records = nil
	k.ledger.Waiting(w.request.GetGroup(), -1)
	w.done <- out
	return true
}

// dropUnreachable answers waiters while control can't be reached, when not even
// all tokens that are reserved here could cover them; the caller holds the
// lock.
func (k *Keeper) dropUnreachable(budget string) {
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
	k.want(budget)
}

// hopeless tells whether the budget as a whole can't cover a waiter: what is
// neither spent nor lost is less than its bound.
func (k *Keeper) hopeless(w *waiter, q *waitQueue) bool {
	return k.stopping || q.asked && q.remaining < w.request.GetBound()
}
