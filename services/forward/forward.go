// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	// retrySoon and retryLater are when to ask again.
	retrySoon  = 300 * time.Millisecond
	retryLater = time.Second
	// warmUpTime is how long after its start a box gets its first routing table
	// when control starts with it: 0.5 to 0.8 s were measured on 10 boxes.
	warmUpTime = time.Second
	// warmUpSpread is the time over which callers come back that were refused
	// by a box that had just started.
	warmUpSpread = 300 * time.Millisecond
	// tableWait is the longest that a call waits for the first routing table of a box
	// that has just started, and tablePatience the part of the caller's time. After a
	// loss of power of everything boxes had it 0.4 to 0.5 s after their start; with
	// this wait and the one for their first leases the mean worth of 50 plays rose from
	// 0.413 to 0.419.
	tableWait     = 400 * time.Millisecond
	tablePatience = 0.25
	// lastMoment is how long before the caller's deadline a call is given up.
	lastMoment = 15 * time.Millisecond
	// maxSends bounds the targets that one call is offered to, those included
	// that turned it away.
	maxSends = 4
	// sweepInterval is the time between looks at idle connections and at
	// targets that are out.
	sweepInterval = 500 * time.Millisecond
	// probeTimeout bounds a trial connection to a target that is out.
	probeTimeout = 300 * time.Millisecond
)

// Leases sets tokens of prepaid budgets aside.
type Leases interface {
	Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (gateway.Reservation, gateway.Outcome, gateway.Status)
	Settle(r gateway.Reservation, spent uint64)
	// Boxes is how many entry boxes there are, zero while control has not said.
	Boxes() int
}

// Quarantine knows the calls that are held back since targets end under them.
type Quarantine interface {
	// Held tells whether a call is held back, and for how long.
	Held(c quarantine.Content) (left time.Duration, held bool)
	// Ended notes that a target ended while it had a call.
	Ended(c quarantine.Content, target string, weight uint32)
	// Served notes that a call has ended well.
	Served(c quarantine.Content)
}

// Counter counts what callers get.
type Counter interface {
	Done(organisation, outcome string)
	FirstByte(kind string, d time.Duration)
	Forwarded(service, outcome string)
	// Limit counts an event of targets that name limits.
	Limit(event string)
	// Odd counts bytes of targets that are not the answer as agreed.
	Odd(service, form string)
}

// Options configure a Forwarder.
type Options struct {
	Box        string
	DataCentre string
	Dialect    Dialect
	Store      *gateway.Store
	Leases     Leases
	Quarantine Quarantine
	Clock      clock.Clock
	Logger     *slog.Logger
	Counter    Counter
	// Gone tells control that a start of a target is gone; nil where nobody is told.
	Gone func(ctx context.Context, target string, born int64) error
	// Crowded tells whether the box's own link is crowded; nil for never.
	Crowded func() bool
	// Hurry makes this box report to control at once; nil where it doesn't report.
	Hurry func()
	// Orders says how engines copy running calls; nil where they can't.
	Orders EngineOrders
	// Meter counts the bytes of targets' connections; nil for none.
	Meter *meter.Meter
	// RetryRatio and RetryStock bound further sends over the whole fleet: a
	// share of the calls in a window, and a number beside it.
	RetryRatio float64
	RetryStock float64
	// RetryWindow is the time over which they do, 10 s where it is zero.
	RetryWindow time.Duration
}

// Forwarder passes the calls of one box through.
type Forwarder struct {
	opts    Options
	started time.Duration
	// reportWait bounds the questions to readers.
	reportWait time.Duration
	pool       *pool
	retries    retryBudget

	mu      sync.Mutex
	targets *spread.Table
	seen    uint64
	// known is closed once a routing table and a target are known.
	known chan struct{}
	// endings holds the targets that broke a call off lately.
	endings map[*spread.Target]*ending
	// fleet is who sends to targets, as control told it, fleetVersion the directory
	// that it is of, fleetSet when its time was last moved.
	fleet        rate.Fleet
	fleetVersion uint64
	fleetSet     time.Duration
	// limitsList names the list of limits that control told, limitsRevision says up to
	// where it is known; telling are those that control is being told.
	limitsList     string
	limitsRevision uint64
	telling        []*spread.Target
	// hurried is when control was last told of a limit out of turn.
	hurried time.Duration
	// readers is how many targets read long prompts, by service, for the log.
	readers map[string]int
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	if opts.Crowded == nil {
		opts.Crowded = func() bool { return false }
	}
	f := &Forwarder{opts: opts, started: opts.Clock.Boot(), reportWait: reportTimeout, pool: newPool(opts.Clock.Boot, opts.Meter, opts.Crowded), targets: spread.NewTable(opts.DataCentre), known: make(chan struct{}), endings: map[*spread.Target]*ending{}}
	// Until control tells the fleet's time, this box's time of day is near it.
	f.fleet = rate.NewFleet(opts.Box, nil, time.Duration(opts.Clock.Wall().UnixNano())-f.started)
	f.targets.SetFleet(f.fleet)
	return f
}

// warmUp returns when a box without a routing table will likely have one.
func (f *Forwarder) warmUp() time.Duration {
	left := f.started + warmUpTime - f.opts.Clock.Boot()
	return max(retrySoon, left) + time.Duration(rand.Int63n(int64(warmUpSpread)))
}

// Refresh takes the targets of the store in.
func (f *Forwarder) Refresh() {
	rows, revision := f.opts.Store.Targets()
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.seen {
		return
	}
	f.seen = revision
	ids := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids[row.GetId()] = true
		f.targets.Put(row)
	}
	f.targets.Keep(ids)
	f.replacedEndings()
	if len(ids) > 0 && f.opts.Store.Index() != nil {
		f.becomeKnown()
	}
}

// becomeKnown lets calls go on that wait for the first table; the caller holds the
// lock.
func (f *Forwarder) becomeKnown() {
	select {
	case <-f.known:
	default:
		close(f.known)
	}
}

// Ready tells whether calls can be served: a table and a target are known.
func (f *Forwarder) Ready() bool {
	f.mu.Lock()
	known := f.targets.Len() > 0
	f.mu.Unlock()
	return known && f.opts.Store.Index() != nil
}

// Run looks after connections and targets that are out.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.pool.sweep(f.keeps)
		f.forgetEndings()
		f.probe(ctx)
	}
}

func (f *Forwarder) keeps(target string) bool {
	row := f.opts.Store.Target(target)
	return row.GetState() == statev1.RegisteredTarget_STATE_READY
}

// probe tries connections to targets that are out, beside the calls.
func (f *Forwarder) probe(ctx context.Context) {
	f.mu.Lock()
	due := f.targets.Banned(f.opts.Clock.Boot())
	for _, t := range due {
		f.targets.Unreached(t, f.opts.Clock.Boot())
	}
	f.mu.Unlock()
	for _, t := range due {
		go f.try(ctx, t)
	}
}

func (f *Forwarder) try(ctx context.Context, t *spread.Target) {
	if f.reach(ctx, t) != nil {
		return
	}
	f.mu.Lock()
	f.targets.Reached(t)
	f.mu.Unlock()
	f.opts.Logger.Info("target reached again", "target", t.ID, "address", t.Address)
}

// reach tries a connection to a target, and keeps it for calls.
func (f *Forwarder) reach(ctx context.Context, t *spread.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := f.pool.dial(ctx, t)
	if err != nil {
		return err
	}
	f.pool.put(c, 0)
	return nil
}

// Serve passes one call through. It returns nil when the sink got a whole
// answer, a *Refusal when it got nothing, and another error when the answer
// broke off.
func (f *Forwarder) Serve(ctx context.Context, call *Call, sink Sink) error {
	fl := &flight{f: f, call: call, sink: &countingSink{Sink: sink, now: f.opts.Clock.Boot}, exclude: map[string]bool{}}
	fl.events.last = call.LastEvent
	err := fl.serve(timeline.WithRequest(ctx, call.ID))
	fl.log(ctx, err)
	return err
}

func (fl *flight) serve(ctx context.Context) error {
	fl.awaitTable(ctx)
	if refusal := fl.find(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, fl.left())
	defer cancel()
	if refusal := fl.shut(ctx); refusal != nil {
		return refusal
	}
	if refusal := fl.reserve(ctx); refusal != nil {
		return refusal
	}
	err := fl.run(ctx)
	fl.settle(err)
	return err
}
