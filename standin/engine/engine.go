// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a small stand-in for a model engine. It batches
// continuously within a number of slots, queues by priority, caches prompt
// prefixes in limited memory, and resumes and cancels runs by their names. Its
// service model is stated in Options; it generates no language, only numbered
// words that depend on the prompt.
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

// Options are the service model of an engine.
type Options struct {
	Name string
	// Slots is how many runs are decoded together.
	Slots int
	// PrefillPerSecond is the prompt tokens worked through in a second.
	PrefillPerSecond int
	// TokenTime is the time between tokens of a run.
	TokenTime time.Duration
	// CacheBlocks is how many prompt blocks are kept.
	CacheBlocks int
	// ChecksOrders says whether orders with an old token are turned away.
	ChecksOrders bool
	// Keep is how long an ended run can still be read.
	Keep time.Duration
}

// Fault is something that an engine can be told to do wrong.
type Fault string

// Faults.
const (
	FaultNone     Fault = ""
	FaultClose    Fault = "close"    // reads the request and closes without a word
	FaultMute     Fault = "mute"     // runs the request, and closes without a word
	FaultError    Fault = "error"    // answers 500 without running
	FaultTruncate Fault = "truncate" // ends the stream after some tokens, the run goes on
	FaultForget   Fault = "forget"   // like truncate, and forgets the run
	FaultCross    Fault = "cross"    // sends a chunk with the name of another run
	FaultSilent   Fault = "silent"   // never answers
	FaultRepeat   Fault = "repeat"   // sends a chunk twice
)

// Engine is one stand-in engine.
type Engine struct {
	opts Options

	mu      sync.Mutex
	runs    map[string]*Run
	running int
	waiting runHeap
	order   uint64
	cache   prefixCache
	faults  *faults
	orders  []Order
	inForce map[string]Order
	// Served counts runs that were begun, Received requests that were read.
	served   int
	received int
	tokens   uint64
	prompts  int
}

// New returns an engine.
func New(opts Options) *Engine {
	if opts.Keep == 0 {
		opts.Keep = 10 * time.Minute
	}
	return &Engine{opts: opts, runs: map[string]*Run{}, cache: newPrefixCache(opts.CacheBlocks), faults: &faults{}, inForce: map[string]Order{}}
}

// Prompt is what a run is asked for.
type Prompt struct {
	ID        string
	Model     string
	Scope     string
	Text      string
	MaxTokens int
	Priority  int
}

// Run is one generation.
type Run struct {
	Prompt
	PromptTokens int
	Cached       int

	mu        sync.Mutex
	words     []string
	ended     bool
	cancelled bool
	changed   chan struct{}
	cancel    context.CancelFunc
	order     uint64
	start     chan struct{}
}

// faults are what the next requests go wrong by; engines may share them.
type faults struct {
	mu   sync.Mutex
	kind Fault
	left int
}

// SetFault makes the next n requests go wrong.
func (e *Engine) SetFault(f Fault, n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.kind, e.faults.left = f, n
}

// ShareFaults lets a fault hit whichever of two engines is asked first.
func (e *Engine) ShareFaults(other *Engine) { other.faults = e.faults }

func (e *Engine) takeFault() Fault {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	if e.faults.left == 0 {
		return FaultNone
	}
	e.faults.left--
	return e.faults.kind
}

// Counts returns how many requests were received, runs begun and tokens made.
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

// Work returns the tokens of all runs, prompts included.
func (e *Engine) Work() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(e.tokens) + e.prompts
}

// Begin starts a run, or returns the one that has its name already.
func (e *Engine) Begin(p Prompt) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[p.ID]; r != nil {
		return r
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{Prompt: p, changed: make(chan struct{}), cancel: cancel, start: make(chan struct{})}
	r.PromptTokens = len(p.Text)/4 + 4
	blocks := target.Blocks(p.Scope, p.Model, p.Text)
	r.Cached = min(r.PromptTokens, e.cache.use(blocks)*target.BlockBytes/4)
	e.order++
	r.order = e.order
	e.runs[p.ID] = r
	e.served++
	e.prompts += r.PromptTokens
	e.enqueue(r)
	go e.work(ctx, r)
	return r
}

func (e *Engine) enqueue(r *Run) {
	if e.running < e.opts.Slots {
		e.running++
		close(r.start)
		return
	}
	heap.Push(&e.waiting, r)
}

// release gives a slot to the next waiting run.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.waiting).(*Run).start)
}

func (e *Engine) work(ctx context.Context, r *Run) {
	<-r.start
	defer e.release()
	prefill := time.Duration(r.PromptTokens-r.Cached) * time.Second / time.Duration(e.opts.PrefillPerSecond)
	if !pause(ctx, prefill) {
		r.end(true)
		return
	}
	seed := xxhash.Sum64String(r.Text)
	for i := range r.MaxTokens {
		if !pause(ctx, e.opts.TokenTime) {
			r.end(true)
			return
		}
		r.add(fmt.Sprintf("w%d-%x ", i+1, (seed+uint64(i))&0xffff))
		e.mu.Lock()
		e.tokens++
		e.mu.Unlock()
	}
	r.end(false)
	time.AfterFunc(e.opts.Keep, func() { e.Forget(r.ID) })
}

func pause(ctx context.Context, d time.Duration) bool {
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

func (r *Run) add(word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words = append(r.words, word)
	r.announce()
}

func (r *Run) end(cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.cancelled = true, cancelled
	r.announce()
}

func (r *Run) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the words after a number, whether the run has ended, and what
// tells of more.
func (r *Run) after(n int) (words []string, ended, cancelled bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < len(r.words) {
		words = append(words, r.words[n:]...)
	}
	return words, r.ended, r.cancelled, r.changed
}

// Usage returns the tokens of a run so far.
func (r *Run) Usage() (prompt, completion int, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.PromptTokens, len(r.words), r.ended
}

// Find returns a run by name.
func (e *Engine) Find(id string) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Forget drops a run, as a restart would.
func (e *Engine) Forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// Cancel ends a run. A name that is not known is remembered as cancelled, so
// that a request that arrives late is not run.
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
	r.cancel()
	return r, r.PromptTokens > 0
}

// Load returns what the engine reports of itself.
func (e *Engine) Load() (running, queued, promptQueued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.waiting {
		promptQueued += r.PromptTokens - r.Cached
	}
	return e.running, e.waiting.Len(), promptQueued
}

// Order is a fenced order.
type Order struct {
	Token uint64 `json:"token"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// Order takes an order. An engine that checks turns old tokens away.
func (e *Engine) Order(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksOrders && o.Token < e.inForce[o.Kind].Token {
		return false
	}
	e.inForce[o.Kind] = o
	e.orders = append(e.orders, o)
	return true
}

// Orders returns the orders that were carried out, in their order.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// InForce returns the last order of a kind.
func (e *Engine) InForce(kind string) Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce[kind]
}

// runHeap orders waiting runs by priority, then arrival.
type runHeap []*Run

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].order < h[j].order
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

// Words returns a run's whole text once it has ended.
func (r *Run) Words() string {
	for {
		words, ended, _, changed := r.after(0)
		if ended {
			return strings.Join(words, "")
		}
		<-changed
	}
}
