// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a small stand-in for a model engine. It batches continuously
// within a number of slots, queues by priority, caches prompt prefixes in limited
// memory, and resumes and cancels runs by ID. Options describe its performance. It
// doesn't generate language, only numbered words that depend on the prompt.
package engine

import (
	"container/heap"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"havenwinch.dev/havenwinch/models/target"
)

// Options describe the performance and behaviour of an engine.
type Options struct {
	Name string
	// Slots is how many runs are decoded concurrently.
	Slots int
	// PrefillPerSecond is the number of prompt tokens prefilled per second.
	PrefillPerSecond int
	// TokenTime is the time between tokens of a run.
	TokenTime time.Duration
	// CacheBlocks is how many prompt blocks are cached.
	CacheBlocks int
	// RejectsStaleOrders makes the engine reject orders with an outdated fencing token.
	RejectsStaleOrders bool
	// Retention is how long a finished run can still be read; 0 means 10 minutes.
	Retention time.Duration
}

// Fault is a kind of misbehaviour that can be injected.
type Fault string

// Faults that can be injected. Their values are the kinds of POST /fault.
const (
	FaultNone              Fault = ""
	FaultClose             Fault = "close"    // reads the request and closes the connection without running it
	FaultRunAndClose       Fault = "mute"     // runs the request and closes the connection without an answer
	FaultError             Fault = "error"    // answers 500 without running
	FaultTruncate          Fault = "truncate" // closes the stream after some tokens, the run continues
	FaultTruncateAndForget Fault = "forget"   // like truncate, but also drops the run
	FaultWrongRun          Fault = "cross"    // sends a chunk with the ID of another run
	FaultHang              Fault = "silent"   // never answers
	FaultDuplicate         Fault = "repeat"   // sends a chunk twice
)

// Engine is one stand-in engine.
type Engine struct {
	opts Options

	mu         sync.Mutex
	runs       map[string]*Run
	running    int
	queue      runHeap
	arrival    uint64
	cache      prefixCache
	faults     *faults
	orders     []Order
	lastOrders map[string]Order
	// served counts the runs started, received the requests read.
	served       int
	received     int
	tokens       uint64
	promptTokens int
}

// New returns an idle engine.
func New(opts Options) *Engine {
	if opts.Retention == 0 {
		opts.Retention = 10 * time.Minute
	}
	return &Engine{opts: opts, runs: map[string]*Run{}, cache: newPrefixCache(opts.CacheBlocks), faults: &faults{}, lastOrders: map[string]Order{}}
}

// Prompt holds the parameters of a run.
type Prompt struct {
	ID        string
	Model     string
	Scope     string
	Text      string
	MaxTokens int
	Priority  int
}

// Run is the generation of one answer.
type Run struct {
	Prompt
	PromptTokens int
	Cached       int

	mu        sync.Mutex
	words     []string
	ended     bool
	cancelled bool
	// stopped is set by the cancellation, cancelled when the run has ended for it.
	stopped bool
	changed chan struct{}
	cancel  context.CancelFunc
	arrival uint64
	start   chan struct{}
}

// faults are the faults to inject into the next requests; engines may share them.
type faults struct {
	mu        sync.Mutex
	kind      Fault
	remaining int
}

// SetFault injects a fault into the next n requests.
func (e *Engine) SetFault(f Fault, n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.kind, e.faults.remaining = f, n
}

// ShareFaults makes two engines share their faults, so that a fault hits the engine
// that gets the next request.
func (e *Engine) ShareFaults(other *Engine) { other.faults = e.faults }

func (e *Engine) takeFault() Fault {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	if e.faults.remaining == 0 {
		return FaultNone
	}
	e.faults.remaining--
	return e.faults.kind
}

// Counts returns how many requests were received, runs started and tokens generated.
func (e *Engine) Counts() (received, served int, tokens uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received, e.served, e.tokens
}

func (e *Engine) countReceived() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received++
}

// TotalTokens returns the tokens of all runs, including those of the prompts.
func (e *Engine) TotalTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(e.tokens) + e.promptTokens
}

// Start starts a run, or returns the existing one with its ID.
func (e *Engine) Start(p Prompt) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[p.ID]; r != nil {
		return r
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{Prompt: p, changed: make(chan struct{}), cancel: cancel, start: make(chan struct{})}
	r.PromptTokens = len(p.Text)/4 + 4
	blocks := target.Blocks(p.Scope, p.Model, p.Text)
	r.Cached = min(r.PromptTokens, e.cache.lookup(blocks)*target.BlockBytes/4)
	e.arrival++
	r.arrival = e.arrival
	e.runs[p.ID] = r
	e.served++
	e.promptTokens += r.PromptTokens
	e.enqueue(r)
	go e.generate(ctx, r)
	return r
}

func (e *Engine) enqueue(r *Run) {
	if e.running < e.opts.Slots {
		e.running++
		close(r.start)
		return
	}
	heap.Push(&e.queue, r)
}

// release passes a slot on to the next queued run.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.queue).(*Run).start)
}

func (e *Engine) generate(ctx context.Context, r *Run) {
	<-r.start
	defer e.release()
	prefill := time.Duration(r.PromptTokens-r.Cached) * time.Second / time.Duration(e.opts.PrefillPerSecond)
	if !sleep(ctx, prefill) {
		r.end(true)
		return
	}
	seed := xxhash.Sum64String(r.Text)
	for i := range r.MaxTokens {
		if !sleep(ctx, e.opts.TokenTime) {
			r.end(true)
			return
		}
		if !r.add(fmt.Sprintf("w%d-%x ", i+1, (seed+uint64(i))&0xffff)) {
			r.end(true)
			return
		}
		e.mu.Lock()
		e.tokens++
		e.mu.Unlock()
	}
	r.end(false)
	time.AfterFunc(e.opts.Retention, func() { e.Forget(r.ID) })
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// add appends a word, unless the run was stopped.
func (r *Run) add(word string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.words = append(r.words, word)
	r.notify()
	return true
}

// stop ends the run: no word is added after it has returned.
func (r *Run) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
}

func (r *Run) end(cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.cancelled = true, cancelled
	r.notify()
}

func (r *Run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// wordsAfter returns the words after the first n, whether the run has ended or was
// cancelled, and a channel that is closed at the next change.
func (r *Run) wordsAfter(n int) (words []string, ended, cancelled bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < len(r.words) {
		words = append(words, r.words[n:]...)
	}
	return words, r.ended, r.cancelled, r.changed
}

// Usage returns the tokens of a run so far and whether it has ended.
func (r *Run) Usage() (prompt, completion int, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.PromptTokens, len(r.words), r.ended
}

// Find returns the run with an ID, nil if there is none.
func (e *Engine) Find(id string) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Forget drops a run, as a restart of the engine would.
func (e *Engine) Forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// Cancel cancels a run. An unknown ID is recorded as cancelled, so that a request that
// arrives late isn't run.
func (e *Engine) Cancel(id string) (r *Run, known bool) {
	e.mu.Lock()
	r = e.runs[id]
	if r == nil {
		r = &Run{Prompt: Prompt{ID: id}, ended: true, cancelled: true, changed: make(chan struct{}), cancel: func() {}}
		e.runs[id] = r
		e.mu.Unlock()
		return r, false
	}
	e.mu.Unlock()
	r.stop()
	return r, r.PromptTokens > 0
}

// Load returns the number of running and queued runs and the prompt tokens that the
// queued ones still have to prefill.
func (e *Engine) Load() (running, queued, promptQueued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.queue {
		promptQueued += r.PromptTokens - r.Cached
	}
	return e.running, e.queue.Len(), promptQueued
}

// Order is an order with a fencing token.
type Order struct {
	Token uint64 `json:"token"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// ApplyOrder applies an order. It returns false if the engine checks tokens and has applied
// an order of the same kind with a newer one.
func (e *Engine) ApplyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.RejectsStaleOrders && o.Token < e.lastOrders[o.Kind].Token {
		return false
	}
	e.lastOrders[o.Kind] = o
	e.orders = append(e.orders, o)
	return true
}

// Orders returns the applied orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// LastOrder returns the last applied order of a kind, the zero Order if there is none.
func (e *Engine) LastOrder(kind string) Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastOrders[kind]
}

// runHeap orders queued runs by priority, then by arrival.
type runHeap []*Run

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].arrival < h[j].arrival
}
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runHeap) Push(x any) { *h = append(*h, x.(*Run)) }

// Pop implements heap.Interface.
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// WaitText waits until the run has ended and returns its text.
func (r *Run) WaitText() string {
	for {
		words, ended, _, changed := r.wordsAfter(0)
		if ended {
			return strings.Join(words, "")
		}
		<-changed
	}
}
