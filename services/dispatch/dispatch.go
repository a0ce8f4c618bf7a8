// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch takes a caller's request from its arrival to its bill: it
// reserves the bound at a keeper, waits for a target's slot, starts the run
// under a recorded name, carries the answer to the caller and settles.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

// Keepers reaches the ledger of a box by the box's name.
type Keepers interface {
	Reserve(ctx context.Context, box string, r *betweenv1.ReserveRequest) (*betweenv1.ReserveResponse, error)
	Start(ctx context.Context, box string, r *betweenv1.StartRequest) (*betweenv1.StartResponse, error)
	Settle(ctx context.Context, box string, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error)
	Lookup(ctx context.Context, box string, r *betweenv1.LookupRequest) (*betweenv1.LookupResponse, error)
	Beat(ctx context.Context, box string, r *betweenv1.BeatRequest) error
}

// Configuration is the box's copy of the configuration.
type Configuration interface {
	Read(look func(st *state.State))
	Keepers() []*statev1.KeeperMember
	Value(name string) int
	Drained(kind statev1.Drain_Kind, name string) bool
}

// Engines runs generations at model engines.
type Engines interface {
	Generate(ctx context.Context, address string, call engine.Call) (*engine.Stream, error)
	Resume(ctx context.Context, address, id string, after int) (*engine.Stream, error)
	Cancel(ctx context.Context, address, id string) (engine.Fate, error)
	Status(ctx context.Context, address, id string) (engine.Fate, error)
	CallService(ctx context.Context, address string, call engine.ServiceCall) (*engine.ServiceAnswer, error)
	// Reach tries a connection to a target.
	Reach(ctx context.Context, address string) error
}

// Sink is the caller's end of a streamed answer.
type Sink interface {
	// Alive shows a sign of life.
	Alive(note string) error
	// Event hands one event of the answer on.
	Event(e engine.Event) error
}

// Request is a caller's request, checked and with its own copies of all bytes.
type Request struct {
	ID           string
	Group        *statev1.Group
	Organisation string
	Key          string
	Anonymous    bool
	Model        string
	// Body goes to the engine; Digest tells whether two requests are the same.
	Body   []byte
	Digest string
	Scope  string
	Blocks []target.Block
	// Prompt is the estimate of the prompt's tokens, Bound the most that the
	// request can cost.
	Prompt int
	Bound  uint64
	// MaxTokens is the most it may generate.
	MaxTokens  int
	Priority   statev1.Priority
	Repeatable bool
	Deadline   time.Time
}

// Interactive tells whether the request goes before batch work.
func (r *Request) Interactive() bool {
	return r.Priority == statev1.Priority_PRIORITY_INTERACTIVE
}

// Result is how a request ended.
type Result struct {
	Usage      *engine.Usage
	Billed     uint64
	WrittenOff uint64
	Finish     string
	Target     string
	// Replayed says that the answer is that of an earlier attempt.
	Replayed bool
}

// Refusal is the final answer to a request that gets none other.
type Refusal struct {
	Kind       structs.Kind
	Message    string
	Run        structs.Run
	RetryAfter time.Duration
	Billed     uint64
	// Cause is what the refusal came from, if more is known.
	Cause error
}

func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Message }

// Options configure a Dispatcher.
type Options struct {
	// Box is the box's name with its incarnation, "box@incarnation".
	Box        string
	Name       string
	DataCentre string
	KeyWindow  time.Duration
	Keepers    Keepers
	Config     Configuration
	Engines    Engines
	Quarantine Quarantine
	Policy     target.Policy
	Clock      clock.Clock
	Recorder   *timeline.Recorder
	Logger     *slog.Logger
	// AliveInterval is the time between signs of life to a queued caller.
	AliveInterval time.Duration
	// Seed is for the routing policies that draw at random.
	Seed    int64
	Metrics Metrics
}

// Metrics counts what callers get.
type Metrics interface {
	Done(organisation, outcome string)
	FirstToken(interactive bool, d time.Duration)
	Tokens(n uint64)
}

// Dispatcher serves the requests of one box.
type Dispatcher struct {
	opts    Options
	settler *settler

	mu      sync.Mutex
	targets *target.Table
	queue   *queue.Queue
	rng     *rand.Rand
	pace    map[string]*pace
	due     []string
	retries map[string]*retryBudget
	keepers map[string]int
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	d := &Dispatcher{
		opts:    opts,
		targets: target.NewTable(),
		rng:     rand.New(rand.NewSource(opts.Seed)),
		pace:    map[string]*pace{},
		retries: map[string]*retryBudget{},
		keepers: map[string]int{},
	}
	d.queue = queue.New(d.share)
	d.settler = newSettler(opts.Keepers, opts.Logger)
	return d
}

func (d *Dispatcher) share(organisation string) int {
	share := 1
	d.opts.Config.Read(func(st *state.State) {
		if o := st.Organisations[organisation]; o != nil {
			share = int(o.GetShare())
		}
	})
	return share
}

// Run does what time makes due until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	periodic.Run(ctx, beatInterval, func(ctx context.Context) {
		d.beat(ctx)
		d.Refresh()
	})
}

// beatInterval is the time between signs of life to keepers that hold
// reservations for this box.
const beatInterval = time.Second

func (d *Dispatcher) beat(ctx context.Context) {
	d.mu.Lock()
	var boxes []string
	for box, n := range d.keepers {
		if n > 0 {
			boxes = append(boxes, box)
		}
	}
	d.mu.Unlock()
	for _, box := range boxes {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, beatInterval)
			defer cancel()
			_ = d.opts.Keepers.Beat(ctx, box, &betweenv1.BeatRequest{Box: d.opts.Box})
		}()
	}
}

// holds counts the reservations that a keeper has for this box.
func (d *Dispatcher) holds(keeper string, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keepers[keeper] += delta
}

// Settled returns once every bill is with its keeper, or the context ends.
func (d *Dispatcher) Settled(ctx context.Context) error { return d.settler.wait(ctx) }

// Status returns what the box is doing.
func (d *Dispatcher) Status() structs.EntryStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Boot()
	status := structs.EntryStatus{Queued: d.queue.Len()}
	for _, t := range state.Sorted(d.targets.Targets) {
		status.Running += t.InFlight
		status.Targets = append(status.Targets, structs.TargetStatus{
			Name:     t.Name,
			State:    string(t.StateAt(now)),
			InFlight: t.InFlight,
			Load:     t.Load(),
		})
	}
	return status
}
