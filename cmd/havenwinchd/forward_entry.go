// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	models "havenwinch.dev/havenwinch/models/seats"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/platform"
	"havenwinch.dev/havenwinch/routers/between"
	callers "havenwinch.dev/havenwinch/routers/gateway"
	"havenwinch.dev/havenwinch/services/forward"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/overload"
	"havenwinch.dev/havenwinch/services/quarantine"
	"havenwinch.dev/havenwinch/services/relay"
	"havenwinch.dev/havenwinch/services/resume"
	"havenwinch.dev/havenwinch/services/seats"
)

const (
	// entryBalancerDelay is how long a stopping entry box still accepts new
	// connections, so that the load balancer notices that it isn't ready.
	entryBalancerDelay = 2300 * time.Millisecond
	// returnTimeout bounds the time to return leases at a stop.
	returnTimeout = time.Second
	// returnShare is the fraction of the stop limit after which leases are returned
	// even though calls are still running.
	returnShare = 0.85
	// callerShare is the share of the descriptors that connections of callers may take. A call needs
	// another one for its target, and boxes, checks and files take the rest.
	callerShare = 0.45
	// bodyShare is the share of the memory that bodies of requests and buffered answers may take. Those of
	// requests may be there twice while they are parsed.
	bodyShare = 0.25
	// smallMemoryMB is the memory in MB below which a box takes events up to smallMaxEvent bytes only.
	smallMemoryMB = 128
	smallMaxEvent = 256 << 10
)

// entryRole forwards callers' calls to targets.
type entryRole struct {
	*forwardBox
	leases     *gateway.Leases
	shared     *gateway.SharedLeases
	quarantine *quarantine.Service
	between    *http.Server
	relays     *relay.Server
	streams    *resume.Service
	seats      *seats.Server
	meter      *meter.Meter
	overload   *overload.Watcher
	forwarder  *forward.Forwarder
	callers    *callers.Server
	ready      *fasthttp.Server
	listener   net.Listener
}

func newEntryRole(b *forwardBox) *entryRole {
	e := &entryRole{forwardBox: b, meter: &meter.Meter{}}
	held := bytebudget.New(int64(bodyShare * float64(b.Settings.MemoryMB) * mebibyte))
	e.overload = &overload.Watcher{Link: b.Settings.LinkMbps, Meter: e.meter, Clock: b.Clock, Logger: b.Logger}
	e.leases = gateway.NewLeases(gateway.LeasesOptions{
		Box: b.Settings.Box, Process: newIncarnation(), Address: b.Settings.BetweenAddress(), DataCentre: b.Settings.DataCentre,
		Store: b.Store, Client: b.Client, Clock: b.Clock, Logger: b.Logger,
	})
	e.shared = &gateway.SharedLeases{Leases: e.leases, Dial: b.Peers.Draws, IsCongested: e.overload.IsCongested}
	dialer := relay.NewDialer(relay.DialerOptions{
		Box: b.Settings.Box, DataCentre: b.Settings.DataCentre, Directory: e.leases.Directory, Connect: b.Peers.Relays,
		Clock: b.Clock, Logger: b.Logger,
	})
	e.streams = resume.New(resume.Options{
		Box: b.Settings.Box, DataCentre: b.Settings.DataCentre, Directory: e.leases.Directory, Connect: b.Peers.Streams,
		Clock: b.Clock, Logger: b.Logger, Count: b.Metrics.StreamRecord,
	})
	e.seats = seats.NewServer(seats.ServerOptions{Box: b.Settings.Box, Directory: e.leases.Directory, HasContact: e.leases.HasContact, Connect: b.Peers.Seats, Targets: seatedTargets{e}, Clock: b.Clock, Logger: b.Logger})
	registry := &gateway.Registry{Lookup: b.Store.Target, Client: b.Client, Clock: b.Clock}
	e.quarantine = quarantine.New(quarantine.Options{List: &b.Store.Quarantine, Clock: b.Clock, Logger: b.Logger, Report: b.Client.ReportCalls})
	e.forwarder = forward.New(forward.Options{
		Box:        b.Settings.Box,
		DataCentre: b.Settings.DataCentre,
		Dialect:    platform.Dialect(),
		Store:      b.Store,
		Leases:     e.shared,
		Quarantine: e.quarantine,
		Clock:      b.Clock,
		Logger:     b.Logger,
		Counter:    b.Metrics,
		EngineAPI:  platform.EngineAPI{},
		ReportGone: registry.Deregister,
		ReportNow:  e.leases.ReportNow,
		Relays:     dialer,
		Seats: seats.NewClient(seats.ClientOptions{
			Box: b.Settings.Box, DataCentre: b.Settings.DataCentre, Directory: e.leases.Directory, Connect: b.Peers.Seats, Own: e.seats,
			Clock: b.Clock, Logger: b.Logger,
		}),
		Streams:       e.streams,
		IsCongested:   e.overload.IsCongested,
		Link:          e.pacedLink(),
		Meter:         e.meter,
		Memory:        held,
		MaxEventBytes: maxEventBytes(b.Settings.MemoryMB),
		RetryRatio:    b.Settings.RetryRatio,
		RetryStock:    b.Settings.RetryStock,
		RetryWindow:   b.Settings.RetryWindow,
	})
	e.leases.Placement = e.forwarder
	e.relays = relay.NewServer(relay.ServerOptions{Targets: e.forwarder, Meter: e.meter, IsCongested: e.overload.IsCongested, Count: b.Metrics.Relay})
	e.between = b.Peers.Server(between.NewEntryHandler(e.leases, e.relays, e.streams, e.seats, b.Peers.HandlerOptions()))
	e.callers = callers.New(callers.Options{
		Forwarder:  e.forwarder,
		Translator: platform.Translator{},
		Limits: func() *statev1.CallerLimits {
			if index := b.Store.Index(); index != nil {
				return index.Table.GetLimits()
			}
			return nil
		},
		Clock:                  b.Clock,
		Logger:                 b.Logger,
		ShouldCloseConnections: e.overload.ShouldCloseConnections,
		AwaitRead:              e.overload.AwaitRead,
		Memory:                 held,
		MaxConnections:         int(callerShare * float64(b.Settings.MaxDescriptors)),
		BaseContext:            b.Graceful.WorkContext(),
	})
	b.Metrics.Gauge("evacuated_data_centres", "Data centres whose targets are sent nothing, as far as this box knows.", func() float64 {
		rows, _ := b.Store.Evacuations()
		return float64(len(state.ActiveEvacuations(rows)))
	})
	b.Metrics.Gauge("held_bytes", "Bytes of requests' bodies and of answers that this box holds.", func() float64 { return float64(held.Held()) })
	b.Metrics.Gauge("unreachable_services", "Services to which this box has lost its own links.", func() float64 { return float64(e.forwarder.LostServices()) })
	b.Metrics.Gauge("relayed_connections", "Open connections of this box to targets that other boxes carry.", func() float64 { return float64(dialer.Open()) })
	b.Metrics.Gauge("carried_connections", "Open connections to targets that this box carries for others.", func() float64 { return float64(e.relays.Carried()) })
	b.Metrics.Gauge("granted_seats", "Seats at targets with a rejection limit that this box has granted and that are taken.", func() float64 { return float64(e.seats.Held()) })
	b.Metrics.Gauge("stream_records", "Records of the software that began a stream, of this box and of others.", func() float64 { return float64(e.streams.Len()) })
	b.Metrics.GaugeVec("running_calls", "Calls of this box at targets, by service and version of the target's software.", []string{"service", "version"}, func(set func(float64, ...string)) {
		for k, n := range e.forwarder.RunningCalls() {
			set(float64(n), k.Service, k.Version)
		}
	})
	b.Metrics.GaugeVec("target_weight", "Weights of targets by their speed, other than 1, of at most 128 targets.", []string{"service", "target"}, func(set func(float64, ...string)) {
		for _, w := range e.forwarder.TargetWeights() {
			set(w.Weight, w.Service, w.Target)
		}
	})
	b.Metrics.Gauge("target_speeds_age_seconds", "Time since control last sent the speeds of targets, -1 if it never has.", e.forwarder.SpeedsAge)
	e.ready = newReadyServer(platform.ReadyHandler(e.isReady))
	return e
}

// maxEventBytes returns the greatest size of an event on a box with so much memory, zero for the default.
func maxEventBytes(memoryMB int) int {
	if memoryMB < smallMemoryMB {
		return smallMaxEvent
	}
	return 0
}

// pacedLink returns the link that long bodies wait for, nil if its capacity is not known.
func (e *entryRole) pacedLink() forward.Link {
	if e.Settings.LinkMbps <= 0 {
		return nil
	}
	return e.overload
}

// seatedTargets lists targets by the forwarder, which is made after the seats.
type seatedTargets struct{ e *entryRole }

// SeatedTargets implements seats.Targets.
func (t seatedTargets) SeatedTargets(service, centre string) []models.Target {
	return t.e.forwarder.SeatedTargets(service, centre)
}

func (e *entryRole) isReady() error {
	if e.Graceful.IsDraining() {
		return errors.New("a planned stop has begun")
	}
	if e.overload.IsBusy() {
		return errors.New("the link of this box is busy")
	}
	if !e.forwarder.IsReady() {
		return errors.New("no routing table or no target is known yet")
	}
	return nil
}

// start opens every listener before the box dials anything, because an outgoing
// connection could occupy the port of a listener that is opened later.
func (e *entryRole) start() error {
	follower := &gateway.Follower{Box: e.Settings.Box, Store: e.Store, Client: e.Client, Logger: e.Logger,
		OnChange: func(c gateway.Changes) {
			if c.Table || c.Targets || c.Evacuations {
				e.forwarder.Refresh()
			}
			e.quarantine.ProcessList()
		}}
	if _, err := e.serve("between-port", e.Settings.BetweenAddress(), e.between.Serve); err != nil {
		return err
	}
	if _, err := e.serve("ready-listen", e.Settings.ReadyListen, e.retryAccepts("ready-listen", e.ready.Serve)); err != nil {
		return err
	}
	var err error
	e.listener, err = e.serve("caller-listen", e.Settings.CallerListen, func(l net.Listener) error { return e.callers.Serve(e.meter.WrapListener(l)) })
	if err != nil {
		return err
	}
	e.spawn(follower.Run)
	e.spawn(e.leases.Run)
	e.spawn(e.quarantine.Run)
	e.spawn(e.seats.Run)
	e.spawn(e.overload.Run)
	e.spawn(e.forwarder.Run)
	return nil
}

// stop keeps accepting connections until the load balancer has noticed, then waits for
// the running calls. Leases are returned before the stop limit even if calls still run.
func (e *entryRole) stop(ctx context.Context) {
	periodic.Sleep(ctx, entryBalancerDelay)
	e.callers.Stop()
	e.relays.Stop()
	_ = e.listener.Close()
	e.callers.CloseIdle()
	e.leases.Leave()
	var handedOver sync.WaitGroup
	handedOver.Go(func() { e.streams.HandOver(ctx) })
	limit := time.Duration(returnShare*float64(e.Settings.StopLimit)) - entryBalancerDelay
	waitCtx, cancel := context.WithTimeout(ctx, limit)
	e.callers.Wait(waitCtx)
	cancel()
	e.seats.Stop()
	e.returnLeases(returnTimeout)
	e.callers.Wait(ctx)
	// Calls that were cut off end at once, and their callers are told before the process ends.
	answerCtx, answered := context.WithTimeout(context.Background(), e.Settings.StopLimit-workLimit(e.Settings))
	e.callers.Wait(answerCtx)
	answered()
	// What they had reserved is returned now that they have ended.
	e.returnLeases(e.Settings.StopLimit - workLimit(e.Settings))
	e.relays.Wait(ctx)
	handedOver.Wait()
	_ = e.between.Close()
}

// returnLeases returns what no call uses any more of the leases to control, and the draws of calls to their
// holders.
func (e *entryRole) returnLeases(limit time.Duration) {
	ctx, done := context.WithTimeout(context.Background(), limit)
	defer done()
	e.shared.Flush(ctx)
	e.leases.SendFinalReport(ctx)
}
