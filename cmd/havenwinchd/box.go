// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/accept"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/graceful"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/routers/between"
	"havenwinch.dev/havenwinch/routers/caller"
	"havenwinch.dev/havenwinch/services/configuration"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/services/metrics"
	"havenwinch.dev/havenwinch/services/orders"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/quarantine"
	"havenwinch.dev/havenwinch/services/targetlist"
	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

const (
	// balancerDelay is how long a stopping box still accepts requests, so that the
	// load balancer notices that it isn't ready.
	balancerDelay = 2 * time.Second
	// settleTimeout is how long a stopping box retries to settle bills with keepers
	// that can't be reached.
	settleTimeout = 30 * time.Second
	// closeTimeout bounds the shutdown of the listeners for boxes and operators.
	closeTimeout = 5 * time.Second
)

// boxParams are the components that the container injects into a box.
type boxParams struct {
	dig.In

	Settings   *setting.Settings
	Logger     *slog.Logger
	Graceful   *graceful.Manager
	Peers      *peers.Peers
	Client     *control.Client
	Control    *controlPart
	Store      *configuration.Store
	Follower   *configuration.Follower
	Quarantine *quarantine.Service
	Dispatcher *dispatch.Dispatcher
	Keeper     *keeper.Keeper
	Poller     *targetlist.Poller
	Caller     *caller.Caller
	Recorder   *timeline.Recorder
	Metrics    *metrics.Metrics
	Engines    *engine.Client
	Memory     *bytebudget.Budget
	Clock      clock.Clock
}

// box is a daemon with all its roles.
type box struct {
	settings   *setting.Settings
	logger     *slog.Logger
	graceful   *graceful.Manager
	peers      *peers.Peers
	client     *control.Client
	control    *controlPart
	store      *configuration.Store
	follower   *configuration.Follower
	quarantine *quarantine.Service
	dispatcher *dispatch.Dispatcher
	keeper     *keeper.Keeper
	poller     *targetlist.Poller
	caller     *caller.Caller
	recorder   *timeline.Recorder
	metrics    *metrics.Metrics
	orders     *orders.Sender
	memory     *bytebudget.Budget

	// workCtx is the context of background work and of services for other boxes. At a
	// stop it is cancelled after the callers have been served.
	workCtx    context.Context
	cancelWork context.CancelFunc
	workers    sync.WaitGroup
}

func newBox(p boxParams) *box {
	b := &box{
		settings:   p.Settings,
		logger:     p.Logger,
		graceful:   p.Graceful,
		peers:      p.Peers,
		client:     p.Client,
		control:    p.Control,
		store:      p.Store,
		follower:   p.Follower,
		quarantine: p.Quarantine,
		dispatcher: p.Dispatcher,
		keeper:     p.Keeper,
		poller:     p.Poller,
		caller:     p.Caller,
		recorder:   p.Recorder,
		metrics:    p.Metrics,
		memory:     p.Memory,
	}
	b.workCtx, b.cancelWork = context.WithCancel(p.Graceful.WorkContext())
	b.orders = newOrders(b, p.Engines, p.Clock)
	b.registerGauges()
	return b
}

func (b *box) registerGauges() {
	b.metrics.Gauge("configuration_revision", "Revision of the configuration in force.", func() float64 { return float64(b.store.Revision()) })
	b.metrics.Gauge("held_bytes", "Bytes of targets' answers that this box holds.", func() float64 { return float64(b.memory.Held()) })
	b.metrics.Gauge("requests_queued", "Requests that wait for a target.", func() float64 { return float64(b.dispatcher.Status().Queued) })
	if b.keeper != nil {
		b.metrics.Gauge("keeper_records", "Records in the ledger.", func() float64 { return float64(b.keeper.Stats().Records) })
	}
}

// run starts the box, waits for a stop signal and stops it.
func (b *box) run(ctx context.Context) error {
	b.graceful.HandleSignals()
	servers, err := b.listen()
	if err != nil {
		return err
	}
	b.startWorkers()
	b.recorder.Record("box started", "", "")
	b.logger.Info("box started", "version", version, "roles", b.settings.Roles, "caller", b.settings.CallerListen, "admin", b.settings.AdminListen, "between", b.settings.BetweenListen)
	select {
	case <-b.graceful.DrainContext().Done():
	case <-b.graceful.WorkContext().Done():
	}
	return b.stop(ctx, servers)
}

// servers are the box's HTTP servers; caller is nil without the entry role.
type servers struct {
	caller  *fasthttp.Server
	admin   *fasthttp.Server
	between *http.Server
}

func (b *box) listen() (*servers, error) {
	s := &servers{
		admin:   newAdmin(b).Server(),
		between: b.peers.Server(between.NewHandler(newBetween(b))),
	}
	if err := b.serve("between-listen", b.settings.BetweenListen, func(l net.Listener) error {
		if s.between.TLSConfig != nil {
			return s.between.ServeTLS(l, "", "")
		}
		return s.between.Serve(l)
	}); err != nil {
		return nil, err
	}
	if err := b.serve("admin-listen", b.settings.AdminListen, s.admin.Serve); err != nil {
		return nil, err
	}
	if !b.settings.HasRole(setting.RoleEntry) {
		return s, nil
	}
	s.caller = b.caller.Server()
	return s, b.serve("caller-listen", b.settings.CallerListen, func(l net.Listener) error {
		if b.settings.CallerCert != "" {
			return s.caller.ServeTLS(l, b.settings.CallerCert, b.settings.CallerKey)
		}
		return s.caller.Serve(l)
	})
}

// serve opens the listener of a setting and runs a server on it in the background.
func (b *box) serve(name, address string, run func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "--%s can't be opened: choose an address that is free", name)
	}
	l = accept.New(l, func(err error) { logFailedAccept(b.logger, name, err) })
	go func() {
		if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) && b.workCtx.Err() == nil {
			b.logger.Error("listener failed", "listener", name, "error", err)
		}
	}()
	return nil
}

// startWorkers starts all background work.
func (b *box) startWorkers() {
	if b.control.Node != nil {
		b.spawn(func() {
			if err := b.control.Node.Run(b.workCtx); err != nil {
				b.logger.Error("consensus node failed", "error", err)
			}
		})
		b.spawn(func() { b.control.Service.Quarantine().Watch(b.workCtx) })
	}
	b.spawn(func() { b.follower.Run(b.workCtx) })
	if b.keeper != nil {
		b.spawn(func() {
			if err := b.keeper.Run(b.workCtx); err != nil {
				b.logger.Error("keeper failed", "error", err)
			}
		})
	}
	if b.settings.PlatformURL != "" {
		b.spawn(func() { b.poller.Run(b.workCtx) })
	}
	if b.orders != nil {
		b.spawn(func() { b.orders.Run(b.workCtx) })
	}
	if b.settings.HasRole(setting.RoleEntry) {
		b.spawn(func() { b.dispatcher.Run(b.workCtx) })
		b.spawn(func() { b.quarantine.Run(b.workCtx) })
		b.spawn(func() { b.applyConfiguration(b.workCtx) })
	}
}

func (b *box) spawn(run func()) {
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		run()
	}()
}

// applyConfiguration applies every change of the configuration to the dispatcher and
// the quarantine list as soon as it arrives.
func (b *box) applyConfiguration(ctx context.Context) {
	for {
		changed := b.store.Changed()
		b.dispatcher.Refresh()
		b.quarantine.ProcessList()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// stop stops the box in order: it serves the remaining callers, settles bills, returns
// allotments, and only then ends the services that other boxes rely on.
func (b *box) stop(ctx context.Context, s *servers) error {
	b.recorder.Record("box stopping", "", "")
	b.logger.Info("box stopping")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.graceful.WorkContext(), cancel)()
	if s.caller != nil {
		periodic.Sleep(ctx, balancerDelay)
		_ = s.caller.ShutdownWithContext(ctx)
		b.waitForCallers(ctx)
		b.waitSettled(ctx)
	}
	if b.keeper != nil && ctx.Err() == nil {
		b.keeper.Stop(ctx)
	}
	b.cancelWork()
	b.workers.Wait()
	closeCtx, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	_ = s.between.Shutdown(closeCtx)
	_ = s.between.Close()
	_ = s.admin.ShutdownWithContext(closeCtx)
	if b.keeper != nil {
		if err := b.keeper.Close(); err != nil {
			return err
		}
	}
	b.logger.Info("box stopped", "cut", b.graceful.WorkContext().Err() != nil)
	if b.graceful.WorkContext().Err() != nil {
		return errors.New("the graceful stop was cut short: requests in progress were cancelled")
	}
	return nil
}

// waitSettled waits until all bills have reached their keepers. A bill that can't be
// delivered is left to its keeper, which asks the target itself once it no longer hears
// from this box.
func (b *box) waitSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(settleTimeout, b.settings.StopLimit/2))
	defer cancel()
	if err := b.dispatcher.WaitSettled(ctx); err != nil {
		b.logger.Warn("some bills are not settled; their keepers will ask the targets", "reason", err.Error())
	}
}

func (b *box) waitForCallers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		b.caller.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Ready implements admin.Box.
func (b *box) Ready() error {
	if b.graceful.IsDraining() {
		return errors.New("a planned stop has begun")
	}
	if b.store.Revision() == 0 {
		return errors.New("no configuration has arrived yet")
	}
	if b.keeper != nil {
		if err := b.keeper.Err(); err != nil {
			return err
		}
	}
	if b.control.Node != nil {
		if err := b.control.Node.Err(); err != nil {
			return err
		}
	}
	if b.settings.HasRole(setting.RoleEntry) && len(b.store.Keepers()) == 0 {
		return errors.New("no keeper is known yet")
	}
	return nil
}

// Explain implements admin.Box.
func (b *box) Explain(model string) []target.Score { return b.dispatcher.Explain(model) }

// Status implements admin.Box.
func (b *box) Status() structs.BoxStatus {
	s := structs.BoxStatus{
		Box:        b.settings.Box,
		DataCentre: b.settings.DataCentre,
		Roles:      b.settings.Roles,
		Version:    version,
		Ready:      true,
		Revision:   b.store.Revision(),
		Confirmed:  -1,
	}
	if err := b.Ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	if ago, known := b.store.ConfirmedAgo(); known {
		s.Confirmed = ago.Seconds()
	}
	if b.control.Node != nil {
		n := b.control.Node.Status()
		s.Control = &structs.ControlStatus{Role: n.Role.String(), Term: n.Term, Leader: n.Leader, Commit: n.CommitIndex, Member: n.IsVoter}
	}
	if b.settings.HasRole(setting.RoleEntry) {
		entry := b.dispatcher.Status()
		s.Entry = &entry
	}
	if b.keeper != nil {
		stats := b.keeper.Stats()
		s.Keeper = &structs.KeeperStatus{Holder: b.keeper.Holder(), Budgets: stats.Budgets, Records: stats.Records, Open: stats.Open}
		if err := b.keeper.Err(); err != nil {
			s.Keeper.Error = err.Error()
		}
	}
	return s
}
