// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"strings"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/targetlist"
	"havenwinch.dev/havenwinch/structs"
)

// slot is the right to send one run to a target.
type slot struct {
	target       *target.Target
	address      string
	promptTokens int
	pool         string
	work         int
	startedAt    time.Duration
	// scores are the scores of all candidates, for the timeline.
	scores []target.Score
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	item  queue.Item
	need  target.Criteria
	slots chan *slot
	// tooLate is closed when the request can't complete by its deadline any more.
	tooLate chan struct{}
}

// limits returns the limits per target from the rolled-out configuration.
func (d *Dispatcher) limits(service bool) target.Limits {
	l := target.Limits{
		Slots:            d.opts.Config.Value(state.RolloutTargetSlots),
		InteractiveSlots: d.opts.Config.Value(state.RolloutInteractiveSlots),
		DecodeWeight:     d.opts.Config.Value(state.RolloutDecodeWeight),
	}
	if service {
		l.Slots, l.InteractiveSlots = d.opts.Config.Value(state.RolloutServiceSlots), 0
	}
	return l
}

func (d *Dispatcher) poolOf(need target.Criteria) ([]*target.Target, string) {
	if need.Service != "" {
		return d.targets.ForService(need.Service), "service/" + need.Service
	}
	return d.targets.ForModel(need.Model), "model/" + need.Model
}

// needOf returns the input of the routing decision for a request.
func (d *Dispatcher) needOf(r *Request) target.Criteria {
	return target.Criteria{
		Model:        r.Model,
		Blocks:       r.Blocks,
		PromptTokens: r.Prompt,
		Interactive:  r.Interactive(),
		Exclude:      map[string]bool{},
		DataCentre:   d.opts.DataCentre,
	}
}

// precheck refuses requests that can't be served before any tokens are reserved: the
// box is drained, the request is quarantined, no target has the model, the queue is
// full, or the deadline can't be met.
func (d *Dispatcher) precheck(r *Request) *Refusal {
	if d.opts.Config.Drained(statev1.Drain_KIND_BOX, d.opts.Name) {
		return &Refusal{Kind: structs.KindStopping, Run: structs.RunNo, RetryAfter: shortRetryAfter, Message: "this box is drained: ask again, another box answers"}
	}
	if refusal := d.checkQuarantine(r); refusal != nil {
		return refusal
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	need := d.needOf(r)
	candidates, pool := d.poolOf(need)
	if len(candidates) == 0 {
		return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: keeperRetryAfter, Message: "no target has model " + r.Model + " now: ask again after the stated time"}
	}
	return d.checkQueue(pool, r)
}

func (d *Dispatcher) checkQueue(pool string, r *Request) *Refusal {
	p := d.statsOf(pool)
	estimate := time.Duration(waitMargin * float64(p.estimateWait(d.queue.Load(pool), r.Interactive())))
	left := r.Deadline.Sub(d.opts.Clock.Wall())
	if left <= 0 {
		return &Refusal{Kind: structs.KindDeadlinePast, Run: structs.RunNo, Message: "the deadline has passed: send a later one"}
	}
	if needed := estimate + time.Duration(runTimeMargin*float64(p.estimateRunTime(r.MaxTokens))); estimate > 0 && needed > left {
		return &Refusal{Kind: structs.KindDeadlineCannotBeMet, Run: structs.RunNo, RetryAfter: max(needed-left, time.Second),
			Message: fmt.Sprintf("work for about %s waits before this request, too much for its deadline: ask again after the stated time or allow a later deadline", estimate.Round(time.Millisecond))}
	}
	full := d.queue.Len() >= d.opts.Config.Value(state.RolloutQueueRequests) ||
		d.queue.Tokens()+int(r.Bound) > d.opts.Config.Value(state.RolloutQueueTokens) && d.queue.Len() > 0
	if full {
		return &Refusal{Kind: structs.KindOverloaded, Run: structs.RunNo, RetryAfter: max(estimate/2, time.Second),
			Message: "the queue of this box is full: ask again after the stated time"}
	}
	return nil
}

// acquire waits for a slot. Meanwhile it calls alive every KeepAliveInterval with the
// number of requests ahead, and leaves the queue if alive returns an error.
func (d *Dispatcher) acquire(ctx context.Context, it queue.Item, need target.Criteria, alive func(position int) error) (*slot, *Refusal) {
	w := &queuedRequest{item: it, need: need, slots: make(chan *slot, 1), tooLate: make(chan struct{})}
	w.item.Payload = w
	d.mu.Lock()
	_, pool := d.poolOf(need)
	w.item.Pool = pool
	d.queue.Add(&w.item)
	d.assignSlots(pool)
	d.mu.Unlock()
	return d.awaitSlot(ctx, w, alive)
}

func (d *Dispatcher) awaitSlot(ctx context.Context, w *queuedRequest, alive func(position int) error) (*slot, *Refusal) {
	ticker := time.NewTicker(d.opts.KeepAliveInterval)
	defer ticker.Stop()
	expired := time.NewTimer(w.item.Deadline - d.opts.Clock.Boot())
	defer expired.Stop()
	for {
		select {
		case s := <-w.slots:
			return s, nil
		case <-ticker.C:
			d.mu.Lock()
			position := d.queue.CountAhead(w.item.Pool, w.item.Interactive)
			d.mu.Unlock()
			if alive(position) != nil {
				return d.leaveQueue(w, &Refusal{Kind: structs.KindCancelled, Run: structs.RunNo, Message: "the caller left the queue"})
			}
		case <-w.tooLate:
			return nil, deadlineRefusal()
		case <-expired.C:
			return d.leaveQueue(w, deadlineRefusal())
		case <-ctx.Done():
			if ctx.Err() == context.DeadlineExceeded {
				return d.leaveQueue(w, deadlineRefusal())
			}
			return d.leaveQueue(w, &Refusal{Kind: structs.KindStopping, Run: structs.RunNo, RetryAfter: shortRetryAfter, Message: "this box was ended: ask again with the same key, another box answers"})
		}
	}
}

func deadlineRefusal() *Refusal {
	return &Refusal{Kind: structs.KindDeadlineCannotBeMet, Run: structs.RunNo, RetryAfter: keeperRetryAfter, Message: "no target was free before the deadline: ask again with a later one"}
}

// leaveQueue removes a request from the queue and returns the refusal. If the request was
// assigned a slot at the last moment, it returns the slot instead.
func (d *Dispatcher) leaveQueue(w *queuedRequest, refusal *Refusal) (*slot, *Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case s := <-w.slots:
		return s, nil
	default:
	}
	d.queue.Remove(&w.item)
	return nil, refusal
}

// assignSlots assigns the free slots of a pool to queued requests. If the free slots are
// reserved for interactive requests and the next request is not interactive, an
// interactive request may overtake it. The caller holds d.mu.
func (d *Dispatcher) assignSlots(pool string) {
	for {
		it := d.queue.Peek(pool, false)
		if it == nil {
			return
		}
		if d.dropIfTooLate(it) || d.tryAssign(it) {
			continue
		}
		if it.Interactive {
			return
		}
		it = d.queue.Peek(pool, true)
		if it == nil || !(d.dropIfTooLate(it) || d.tryAssign(it)) {
			return
		}
	}
}

// dropIfTooLate removes a request from the queue that can't complete by its deadline any
// more, so that its caller is told at once and it takes no slot from one that can. It
// reports whether it did.
func (d *Dispatcher) dropIfTooLate(it *queue.Item) bool {
	left := it.Deadline - d.opts.Clock.Boot()
	needed := time.Duration(runTimeMargin * float64(d.statsOf(it.Pool).estimateRunTime(it.MaxOutputTokens)))
	if left >= needed {
		return false
	}
	d.queue.Remove(it)
	close(it.Payload.(*queuedRequest).tooLate)
	return true
}

// tryAssign assigns a slot to a queued request. It returns false if no target has one.
func (d *Dispatcher) tryAssign(it *queue.Item) bool {
	w := it.Payload.(*queuedRequest)
	candidates, _ := d.poolOf(w.need)
	decision := target.Choose(d.opts.Policy, candidates, w.need, d.limits(w.need.Service != ""), d.opts.Clock.Boot(), d.rng)
	if decision.Target == nil {
		return false
	}
	p := d.statsOf(it.Pool)
	if d.queue.Load(it.Pool).Batch > 0 {
		p.recordPick(!it.Interactive)
	}
	p.running++
	d.queue.Dequeue(it)
	decision.Target.RequestStarted(w.need.PromptTokens)
	w.slots <- &slot{target: decision.Target, address: decision.Target.Address, promptTokens: w.need.PromptTokens, pool: it.Pool, work: it.MaxOutputTokens, startedAt: d.opts.Clock.Boot(), scores: decision.Scores}
	return true
}

// release returns a slot. targetOK is false if the target is to blame for a failed run.
func (d *Dispatcher) release(s *slot, targetOK bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Boot()
	s.target.RequestEnded(s.promptTokens)
	d.retryBudgetOf(s.pool).deposit()
	if targetOK {
		s.target.Health.RecordSuccess()
	} else {
		s.target.Health.RecordFailure(now)
	}
	p := d.statsOf(s.pool)
	p.running--
	if targetOK {
		p.recordRun(now-s.startedAt, s.work)
	}
	d.assignSlots(s.pool)
}

// Refresh applies the drains of the configuration and assigns slots that have become
// free with time, such as those of targets whose back-off has ended.
func (d *Dispatcher) Refresh() {
	drained, evacuated := map[string]bool{}, map[string]bool{}
	d.opts.Config.Read(func(st *state.State) {
		for _, row := range st.Drains {
			switch row.GetKind() {
			case statev1.Drain_KIND_TARGET:
				drained[row.GetName()] = true
			case statev1.Drain_KIND_DATA_CENTRE:
				evacuated[row.GetName()] = true
			}
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, t := range d.targets.Targets {
		t.Drained = drained[name] || evacuated[t.DataCentre]
	}
	for _, pool := range d.queue.Pools() {
		d.assignSlots(pool)
	}
}

// ReplaceList implements targetlist.Targets.
func (d *Dispatcher) ReplaceList(list []*target.Target) {
	d.mu.Lock()
	now := d.opts.Clock.Boot()
	named := map[string]bool{}
	for _, row := range list {
		named[row.Name] = true
		d.targets.Put(row, now)
	}
	for name := range d.targets.Targets {
		if !named[name] {
			d.targets.Remove(name)
		}
	}
	d.mu.Unlock()
	d.Refresh()
}

// NextQueries implements targetlist.Targets. It returns the engines of this data centre in turn,
// up to n at a time.
func (d *Dispatcher) NextQueries(n int) []targetlist.TargetQuery {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pollQueue) == 0 {
		for _, t := range state.SortedByKey(d.targets.Targets) {
			if t.Kind == target.Engine && t.DataCentre == d.opts.DataCentre {
				d.pollQueue = append(d.pollQueue, t.Name)
			}
		}
	}
	var questions []targetlist.TargetQuery
	for len(d.pollQueue) > 0 && len(questions) < n {
		t := d.targets.Targets[d.pollQueue[0]]
		d.pollQueue = d.pollQueue[1:]
		if t == nil {
			continue
		}
		epoch, sequence := t.Cache.LastApplied()
		questions = append(questions, targetlist.TargetQuery{Name: t.Name, Address: t.Address, Epoch: epoch, Sequence: sequence})
	}
	return questions
}

// ApplyReport implements targetlist.Targets.
func (d *Dispatcher) ApplyReport(name string, load engine.Load, cache engine.CacheEvents, err error) {
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets.Targets[name]
	if t == nil {
		return
	}
	now := d.opts.Clock.Boot()
	t.RecordLoad(load.Running+load.Queued, load.PromptQueued, now)
	t.Cache.Apply(cache.Epoch, targetlist.Events(cache), now)
}

// Explain returns the scores that a request for a model would get now, for operators.
func (d *Dispatcher) Explain(model string) []target.Score {
	d.mu.Lock()
	defer d.mu.Unlock()
	need := target.Criteria{Model: model, PromptTokens: 1, DataCentre: d.opts.DataCentre}
	candidates, _ := d.poolOf(need)
	return target.Choose(d.opts.Policy, candidates, need, d.limits(false), d.opts.Clock.Boot(), d.rng).Scores
}

// formatScores formats a routing decision for the timeline. It contains no prompts.
func formatScores(scores []target.Score) string {
	parts := make([]string, 0, len(scores))
	for _, s := range scores {
		if s.Reason != target.ReasonEligible {
			parts = append(parts, fmt.Sprintf("%s: %s", s.Target, s.Reason))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s: %d (recompute %d, queued %d, decode %d)", s.Target, s.Cost(), s.Recompute, s.Queued, s.Decode))
	}
	return strings.Join(parts, "; ")
}
