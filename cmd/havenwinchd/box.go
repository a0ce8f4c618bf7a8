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
	// balancerDelay is how long a stopping box still takes requests, until
	// the balancer has seen that it is not ready.
	balancerDelay = 2 * time.Second
	// billsTimeout is how long a stopping box tries to reach keepers that can't
	// be reached.
	billsTimeout = 30 * time.Second
	closeTimeout = 5 * time.Second
)

// boxParams are the parts of a box.
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
	Clock      clock.Clock
}

// box is a running daemon.
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

	// stopping ends what other boxes rely on, after callers are served.
	stopping context.Context
	stopped  context.CancelFunc
	workers  sync.WaitGroup
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
	}
	b.stopping, b.stopped = context.WithCancel(p.Graceful.Hammer())
	b.orders = newOrders(b, p.Engines, p.Clock)
	b.gauges()
	return b
}

func (b *box) gauges() {
	b.metrics.Gauge("configuration_revision", "Revision of the configuration in force.", func() float64 { return float64(b.store.Revision()) })
	b.metrics.Gauge("requests_queued", "Requests that wait for a target.", func() float64 { return float64(b.dispatcher.Status().Queued) })
	if b.keeper != nil {
		b.metrics.Gauge("keeper_records", "Records in the ledger.", func() float64 { return float64(b.keeper.Stats().Records) })
	}
}

// live runs the box from its start to its end.
func (b *box) live(ctx context.Context) error {
	b.graceful.HandleSignals()
	servers, err := b.listen()
	if err != nil {
		return err
	}
	b.work()
	b.recorder.Record("box started", "", "")
	b.logger.Info("box started", "version", version, "roles", b.settings.Roles, "caller", b.settings.CallerListen, "admin", b.settings.AdminListen, "between", b.settings.BetweenListen)
	select {
	case <-b.graceful.Draining().Done():
	case <-b.graceful.Hammer().Done():
	}
	return b.stop(ctx, servers)
}

// servers are the box's open listeners.
type servers struct {
	caller  *fasthttp.Server
	admin   *fasthttp.Server
	between *http.Server
}

func (b *box) listen() (*servers, error) {
	s := &servers{
		admin:   newAdmin(b).Server(),
		between: b.peers.Server(between.New(newBetween(b))),
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
	if !b.settings.Has(setting.RoleEntry) {
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

func (b *box) serve(name, address string, run func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "--%s can't be opened: choose an address that is free", name)
	}
	go func() {
		if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) && b.stopping.Err() == nil {
			b.logger.Error("a listener failed", "listener", name, "error", err)
		}
	}()
	return nil
}

// work starts everything that runs in the background.
func (b *box) work() {
	if b.control.Node != nil {
		b.spawn(func() {
			if err := b.control.Node.Run(b.stopping); err != nil {
				b.logger.Error("the control group is left", "error", err)
			}
		})
		b.spawn(func() { b.control.Service.Quarantine().Watch(b.stopping) })
	}
	b.spawn(func() { b.follower.Run(b.stopping) })
	if b.keeper != nil {
		b.spawn(func() {
			if err := b.keeper.Run(b.stopping); err != nil {
				b.logger.Error("the ledger is not served", "error", err)
			}
		})
	}
	if b.settings.PlatformURL != "" {
		b.spawn(func() { b.poller.Run(b.stopping) })
	}
	if b.orders != nil {
		b.spawn(func() { b.orders.Run(b.stopping) })
	}
	if b.settings.Has(setting.RoleEntry) {
		b.spawn(func() { b.dispatcher.Run(b.stopping) })
		b.spawn(func() { b.quarantine.Run(b.stopping) })
		b.spawn(func() { b.refresh(b.stopping) })
	}
}

func (b *box) spawn(run func()) {
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		run()
	}()
}

// refresh brings changes of the configuration to the targets at once.
func (b *box) refresh(ctx context.Context) {
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

// stop ends the box in order: callers first, then bills, then allotments, then
// what other boxes rely on.
func (b *box) stop(ctx context.Context, s *servers) error {
	b.recorder.Record("box stopping", "", "")
	b.logger.Info("box stopping")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.graceful.Hammer(), cancel)()
	if s.caller != nil {
		periodic.Sleep(ctx, balancerDelay)
		_ = s.caller.ShutdownWithContext(ctx)
		b.waitForCallers(ctx)
		b.settleBills(ctx)
	}
	if b.keeper != nil && ctx.Err() == nil {
		b.keeper.Stop(ctx)
	}
	b.stopped()
	b.workers.Wait()
	closing, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	_ = s.between.Shutdown(closing)
	_ = s.between.Close()
	_ = s.admin.ShutdownWithContext(closing)
	if b.keeper != nil {
		if err := b.keeper.Close(); err != nil {
			return err
		}
	}
	b.logger.Info("box stopped", "cut", b.graceful.Hammer().Err() != nil)
	if b.graceful.Hammer().Err() != nil {
		return errors.New("the stop was cut short: requests in progress were ended")
	}
	return nil
}

// settleBills waits for bills to reach their keepers. One that can't is left to
// its keeper, which asks the target itself once this box has fallen silent.
func (b *box) settleBills(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(billsTimeout, b.settings.StopLimit/2))
	defer cancel()
	if err := b.dispatcher.WaitSettled(ctx); err != nil {
		b.logger.Warn("bills are left to their keepers", "reason", err.Error())
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
		if err := b.control.Node.Failed(); err != nil {
			return err
		}
	}
	if b.settings.Has(setting.RoleEntry) && len(b.store.Keepers()) == 0 {
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
		s.Control = &structs.ControlStatus{Role: n.Role.String(), Term: n.Term, Leader: n.Leader, Commit: n.Commit, Member: n.Member}
	}
	if b.settings.Has(setting.RoleEntry) {
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
