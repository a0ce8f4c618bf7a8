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
	"havenwinch.dev/havenwinch/models/reach"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/speed"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	// retrySoon and retryLater are Retry-After times.
	retrySoon  = 300 * time.Millisecond
	retryLater = time.Second
	// tableArrivalTime is how long after its start a box has its first routing table when
	// control starts at the same time.
	tableArrivalTime = time.Second
	// retryAfterJitter spreads the retries of callers that were refused by a box that had just
	// started.
	retryAfterJitter = 300 * time.Millisecond
	// maxTableWait limits how long a call waits for the first routing table of a box that has
	// just started, tableWaitShare limits it to a share of the caller's time.
	maxTableWait   = 400 * time.Millisecond
	tableWaitShare = 0.25
	// deadlineMargin is how long before the caller's deadline a call is given up.
	deadlineMargin = 15 * time.Millisecond
	// maxSends limits the targets that one call is sent to, including those that rejected it.
	maxSends = 4
	// sweepInterval is the time between checks of idle connections and of ejected targets.
	sweepInterval = 500 * time.Millisecond
	// probeTimeout limits a trial connection to a target.
	probeTimeout = 300 * time.Millisecond
)

// Leases reserves tokens of prepaid budgets.
type Leases interface {
	Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (gateway.Reservation, gateway.Outcome, gateway.Status)
	Settle(r gateway.Reservation, spent uint64)
	// Boxes is the number of entry boxes, 0 until control has sent it.
	Boxes() int
}

// Quarantine tracks calls that are suspected of crashing targets.
type Quarantine interface {
	// HoldLeft reports whether a call must not be sent, and for how long.
	HoldLeft(c quarantine.Digest) (left time.Duration, held bool)
	// RecordEnd records that a target ended while it had the call.
	RecordEnd(c quarantine.Digest, target string, weight uint32)
	// RecordSuccess records that a call succeeded.
	RecordSuccess(c quarantine.Digest)
	// PartsHoldLeft reports whether a call with these parts of a prompt must not be sent, and for how
	// long.
	PartsHoldLeft(parts []quarantine.Digest) (left time.Duration, held bool)
	// RecordPartEnds records that a target ended before it answered a call with these parts.
	RecordPartEnds(parts []quarantine.Digest, target string)
	// RecordPartSuccess records that a target has begun to answer a call with these parts.
	RecordPartSuccess(parts []quarantine.Digest)
}

// Counter receives the metrics of forwarded calls.
type Counter interface {
	Done(organisation, outcome string)
	// Returned counts a call that takes up a stream, by its outcome.
	Returned(service, outcome string)
	FirstByte(kind string, d time.Duration)
	Forwarded(service, outcome string)
	// Limit counts an event of a rate-limited target.
	Limit(event string)
	// Odd counts a protocol violation of a target.
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
	// ReportGone tells control that a start of a target is gone; nil to tell nobody.
	ReportGone func(ctx context.Context, target string, born int64) error
	// IsCongested reports whether the box's own link is congested; nil for never.
	IsCongested func() bool
	// Link paces long bodies and tells when callers may come back; nil for a link that is never full.
	Link Link
	// ReportNow makes this box report to control immediately; nil where it doesn't report.
	ReportNow func()
	// Relays dials targets through other boxes; nil for never.
	Relays Relays
	// Seats asks for seats at targets that fail under rejections; nil to send there only what may be
	// sent without one.
	Seats Seats
	// Streams keeps which software began each stream; nil to keep it nowhere.
	Streams Streams
	// EngineAPI encodes the requests by which engines copy the state of running calls; nil where
	// they can't.
	EngineAPI EngineAPI
	// Meter counts the bytes on connections to targets; nil for none.
	Meter *meter.Meter
	// Memory limits the bytes of answers that are held before they are relayed; nil for no limit.
	Memory *bytebudget.Budget
	// MaxEventBytes is the greatest size of an event of a stream, 1 MB if zero.
	MaxEventBytes int
	// RetryRatio and RetryStock limit the retries of the whole fleet per window: to a ratio of
	// the calls, and a fixed reserve on top.
	RetryRatio float64
	RetryStock float64
	// RetryWindow is the window of that limit, 10 s if zero.
	RetryWindow time.Duration
}

// Forwarder forwards the calls that one box receives.
type Forwarder struct {
	opts    Options
	started time.Duration
	// reportWait limits the queries for load reports.
	reportWait time.Duration
	// stallWait is stallLimit, and silentWait silentTimeout.
	stallWait, silentWait time.Duration
	// uploadStall is the constant of this name.
	uploadStall time.Duration
	// partLimit replaces the limit of partWait if it is not zero.
	partLimit time.Duration
	// headLimit replaces headLineLimit, and half of the constant headLimit, if it is not zero.
	headLimit time.Duration
	silence   spread.SilenceTerms
	// heardWithin is heardLimit.
	heardWithin time.Duration
	pool        *pool
	retries     retryBudget

	mu      sync.Mutex
	targets *spread.Table
	// uploadStalls counts, by target, the bodies of whose writes none has made progress for a while.
	uploadStalls map[*spread.Target]int
	// queries has the queries that are under way to find out whether targets are silent.
	queries        map[*spread.Target]*silenceQuery
	targetRevision uint64
	// tableVersion and evacuationRevision are the versions of the routing table and of the
	// evacuations that targets has.
	tableVersion, evacuationRevision uint64
	// ready is closed once a routing table and a target are known.
	ready chan struct{}
	// breaks holds the targets that dropped calls recently.
	breaks map[*spread.Target]*targetBreaks
	// reach tells which services this box can't dial, and nextProbe, by service, where the next
	// check begins in the list of its targets. checks has, by service, a channel that is closed at
	// the end of the check that is under way.
	reach     *reach.Tracker
	nextProbe map[string]int
	checks    map[string]chan struct{}
	// fleet holds the boxes that send to targets and the fleet's clock, as told by control.
	// fleetVersion is the version of the box directory it was made from, fleetSet when its
	// clock was last adjusted.
	fleet        rate.Fleet
	fleetVersion uint64
	fleetSet     time.Duration
	// limitsList identifies control's list of limits, limitsRevision the revision up to which
	// it is known. limitsInReport are the targets whose limits are in the report that is under
	// way.
	limitsList     string
	limitsRevision uint64
	limitsInReport []*spread.Target
	// speedSamples are the speeds that this box has measured, speeds those that control has sent,
	// and weightsLogged is when changes of weights were last logged.
	speedSamples  speed.Collector
	speeds        speed.List
	weightsLogged time.Duration
	// controlHeard is set once control has answered a report, and with it told the limits of targets.
	controlHeard bool
	// seatWaiters has, for each call that waits for a seat, a channel that wakes it.
	seatWaiters map[seatWaiter]chan struct{}
	// limitsReported is when a limit was last reported ahead of schedule.
	limitsReported time.Duration
	// loggedDedicated is the last logged number of dedicated targets, by service.
	loggedDedicated map[string]int
}

// New returns a Forwarder. It has no targets until Refresh.
func New(opts Options) *Forwarder {
	if opts.IsCongested == nil {
		opts.IsCongested = func() bool { return false }
	}
	f := &Forwarder{opts: opts, started: opts.Clock.Boot(), reportWait: reportTimeout, stallWait: stallLimit, silentWait: silentTimeout, uploadStall: uploadStall, uploadStalls: map[*spread.Target]int{}, heardWithin: heardLimit, silence: spread.DefaultSilenceTerms(), pool: newPool(opts.Clock.Boot, opts.Meter, opts.IsCongested), targets: spread.NewTable(opts.DataCentre), ready: make(chan struct{}), breaks: map[*spread.Target]*targetBreaks{},
		reach: reach.NewTracker(), nextProbe: map[string]int{}, checks: map[string]chan struct{}{}, seatWaiters: map[seatWaiter]chan struct{}{}, queries: map[*spread.Target]*silenceQuery{}}
	f.pool.isLost, f.pool.relay, f.pool.dialled = f.isLost, f.dialRelay, f.recordDial
	// Until control sends the fleet's clock, this box's wall clock is a close estimate.
	f.fleet = rate.NewFleet(opts.Box, nil, time.Duration(opts.Clock.Wall().UnixNano())-f.started)
	f.targets.SetFleet(f.fleet)
	return f
}

// retryAfterStart returns when a box without a routing table is likely to have one.
func (f *Forwarder) retryAfterStart() time.Duration {
	left := f.started + tableArrivalTime - f.opts.Clock.Boot()
	return max(retrySoon, left) + time.Duration(rand.Int63n(int64(retryAfterJitter)))
}

// Refresh updates the targets, their terms and the evacuations from the store.
func (f *Forwarder) Refresh() {
	rows, revision := f.opts.Store.Targets()
	evacuations, evacuationRevision := f.opts.Store.Evacuations()
	index := f.opts.Store.Index()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	f.refreshTerms(index)
	if revision != f.targetRevision {
		f.targetRevision = revision
		f.refreshTargets(rows, now)
	}
	if evacuationRevision != f.evacuationRevision {
		f.evacuationRevision = evacuationRevision
		f.targets.SetEvacuations(evacuations, now)
	}
	f.markReady(index)
}

// refreshTargets replaces the targets by those of all rows. The caller holds f.mu.
func (f *Forwarder) refreshTargets(rows []*statev1.RegisteredTarget, now time.Duration) {
	ids := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids[row.GetId()] = true
		f.targets.Put(row, now)
	}
	f.targets.RetainOnly(ids)
	f.reportReplaced()
}

// refreshTerms sets the terms of cold targets and of engines from a routing table, unless they
// are known; index is nil before the first table. The caller holds f.mu.
func (f *Forwarder) refreshTerms(index *routing.Index) {
	if index == nil || index.Table.GetVersion() == f.tableVersion {
		return
	}
	f.tableVersion = index.Table.GetVersion()
	terms := make(map[string]spread.ColdTerms, len(index.Table.GetServices()))
	engines := map[string]spread.EngineTerms{}
	for _, s := range index.Table.GetServices() {
		terms[s.GetName()] = spread.ColdTerms{Rate: s.GetColdRate(), Start: time.Duration(s.GetColdStart()) * time.Millisecond}
		if e := s.GetEngine(); e != nil {
			engines[s.GetName()] = spread.EngineTerms{Slots: int(e.GetSlots()), Capacity: int(e.GetCapacity())}
		}
	}
	f.targets.SetEngineTerms(engines)
	f.targets.SetColdTerms(terms)
}

// markReady releases the calls that wait for the first table, once it has arrived and control has
// told what limits the targets have. The caller holds f.mu.
func (f *Forwarder) markReady(index *routing.Index) {
	if f.targets.Len() == 0 || index == nil {
		return
	}
	if !f.controlHeard && f.opts.ReportNow != nil {
		f.opts.ReportNow()
		return
	}
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// IsReady reports whether calls can be served: a routing table and a target are known.
func (f *Forwarder) IsReady() bool {
	f.mu.Lock()
	known := f.targets.Len() > 0
	f.mu.Unlock()
	return known && f.opts.Store.Index() != nil
}

// Run maintains idle connections and probes ejected targets until ctx is done.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	checks := time.NewTicker(pathCheckInterval)
	defer checks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-checks.C:
			f.checkLostPaths(ctx)
			f.confirmEnds(f.opts.Clock.Boot())
			continue
		case <-ticker.C:
		}
		f.pool.sweep(f.isTargetReady)
		f.expireSpeeds()
		f.pruneBreaks()
		f.probe(ctx)
	}
}

func (f *Forwarder) isTargetReady(target string) bool {
	row := f.opts.Store.Target(target)
	return row.GetState() == statev1.RegisteredTarget_STATE_READY
}

// probe dials ejected targets in the background.
func (f *Forwarder) probe(ctx context.Context) {
	f.mu.Lock()
	due := f.targets.DueForProbe(f.opts.Clock.Boot())
	for _, t := range due {
		f.targets.BanUnreachable(t, f.opts.Clock.Boot())
	}
	f.mu.Unlock()
	for _, t := range due {
		go f.probeTarget(ctx, t)
	}
}

func (f *Forwarder) probeTarget(ctx context.Context, t *spread.Target) {
	if f.dialAndKeep(ctx, t) != nil {
		return
	}
	f.mu.Lock()
	f.targets.MarkReachable(t, f.opts.Clock.Boot())
	f.mu.Unlock()
	f.opts.Logger.Info("target reached again", "target", t.ID, "address", t.Address)
}

// dialAndKeep dials a target and adds the connection to the pool.
func (f *Forwarder) dialAndKeep(ctx context.Context, t *spread.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := f.pool.dial(ctx, t)
	if err != nil {
		return err
	}
	f.pool.put(c, 0)
	return nil
}

// Serve forwards one call. It returns nil when the sink got a complete answer, a *Refusal when
// it got nothing, and another error when the answer was cut off.
func (f *Forwarder) Serve(ctx context.Context, call *Call, sink Sink) error {
	fl := &inflightCall{f: f, call: call, sink: &trackingSink{Sink: sink, now: f.opts.Clock.Boot}, excluded: map[string]bool{}}
	fl.events.last, fl.events.maxEvent, fl.events.now = call.LastEvent, f.opts.MaxEventBytes, f.opts.Clock.Boot
	fl.held.Budget, fl.events.hold.Budget = f.opts.Memory, f.opts.Memory
	defer fl.held.Release()
	defer fl.events.hold.Release()
	err := fl.serve(timeline.WithRequest(ctx, call.ID))
	fl.log(ctx, err)
	return err
}

func (fl *inflightCall) serve(ctx context.Context) error {
	fl.awaitTable(ctx)
	if refusal := fl.resolve(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, fl.remaining())
	defer cancel()
	if refusal := fl.resolveSoftware(ctx); refusal != nil {
		return refusal
	}
	if refusal := fl.refuseIfEvacuated(); refusal != nil {
		return refusal
	}
	if refusal := fl.refuseIfCutOff(); refusal != nil {
		return refusal
	}
	if refusal := fl.refuseIfSoftwareGone(); refusal != nil {
		return refusal
	}
	defer fl.leaveQueue()
	if refusal := fl.refuseIfLimited(ctx); refusal != nil {
		return refusal
	}
	if refusal := fl.reserve(ctx); refusal != nil {
		return refusal
	}
	err := fl.run(ctx)
	fl.settle(err)
	return err
}
