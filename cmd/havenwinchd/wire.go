// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"go.uber.org/dig"

	"havenwinch.dev/havenwinch/models/allot"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/graceful"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/routers/admin"
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
)

// keepAliveInterval is the time between keep-alives to a queued caller.
const keepAliveInterval = 5 * time.Second

// controlPart holds the components of the control role. On a box without the role
// all fields are nil.
type controlPart struct {
	Node    *raft.Node
	Machine *control.Machine
	Service *control.Service
}

// identity is the name of this process: the box name and an ID that changes with every
// start.
type identity struct {
	Box string
}

// container returns the dependency injection container of a box. Components of roles
// that the box lacks are nil.
func container(settings *setting.Settings) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *setting.Settings { return settings },
		func() clock.Clock { return clock.System{} },
		func() identity { return identity{Box: settings.Box + "@" + uuid.NewString()} },
		func() *slog.Logger {
			return logging.New(os.Stderr, settings.LogLevel, settings.Box, settings.DataCentre)
		},
		func() *graceful.Manager { return graceful.New(settings.StopLimit) },
		hlc.New,
		func(stamps *hlc.Clock) *timeline.Recorder {
			return timeline.New(settings.Box, settings.DataCentre, stamps)
		},
		metrics.New,
		newMemory,
		func(memory *bytebudget.Budget, l *slog.Logger) *engine.Client {
			return engine.New(engine.Options{Memory: memory, Logger: l})
		},
		newPeers,
		newControlClient,
		newControlPart,
		newStore,
		newFollower,
		newRemoteKeepers,
		newQuarantine,
		newDispatcher,
		newKeeper,
		newPoller,
		newCaller,
		newBox,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// newMemory returns the budget of the answers that the box holds.
func newMemory(s *setting.Settings) *bytebudget.Budget {
	return bytebudget.New(int64(bodyShare * float64(s.MemoryMB) * mebibyte))
}

func newPeers(s *setting.Settings, c clock.Clock, stamps *hlc.Clock) (*peers.Peers, error) {
	tls, err := peers.LoadTLS(s.BetweenCert, s.BetweenKey, s.BetweenCA)
	if err != nil {
		return nil, err
	}
	return peers.New(peers.Options{Box: s.Box, Secret: s.Secret, Clock: c, Stamps: stamps, TLS: tls, IP: listenIP(s)}), nil
}

// listenIP returns the IP address on which the box listens for other boxes, nil if it
// listens on all interfaces.
func listenIP(s *setting.Settings) net.IP {
	host, _, err := net.SplitHostPort(s.BetweenListen)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || ip.IsUnspecified() {
		return nil
	}
	return ip
}

func newControlClient(s *setting.Settings, p *peers.Peers) *control.Client {
	return control.NewClient(s.ControlNames(), p.Control(s.ControlBoxes))
}

func newControlPart(s *setting.Settings, p *peers.Peers, c clock.Clock, r *timeline.Recorder, l *slog.Logger) (*controlPart, error) {
	if !s.HasRole(setting.RoleControl) {
		return &controlPart{}, nil
	}
	d, err := disk.Open(filepath.Join(s.DataDir, "control"))
	if err != nil {
		return nil, err
	}
	machine := control.NewMachine()
	node, err := raft.NewNode(raft.NodeOptions{
		Options: raft.Options{
			Self:              s.Box,
			Members:           s.ControlNames(),
			ElectionTimeout:   s.ElectionTimeout,
			HeartbeatInterval: s.Heartbeat,
			Rand:              rand.New(rand.NewSource(time.Now().UnixNano())),
		},
		Disk:           d,
		Transport:      p.Consensus(s.ControlBoxes),
		Machine:        machine,
		Clock:          c,
		Logger:         l,
		NewIncarnation: uuid.NewString,
	})
	if err != nil {
		return nil, err
	}
	service := control.New(control.Options{Log: node, Machine: machine, Keepers: p, Policy: allot.DefaultPolicy(), Clock: c, Recorder: r, Logger: l})
	return &controlPart{Node: node, Machine: machine, Service: service}, nil
}

func newStore(s *setting.Settings, c clock.Clock) (*configuration.Store, error) {
	if s.DataDir == "" {
		return configuration.NewStore(c, nil)
	}
	d, err := disk.Open(s.DataDir)
	if err != nil {
		return nil, err
	}
	return configuration.NewStore(c, d)
}

// newFollower returns the follower of the configuration. It prefers the keepers of its
// own data centre, which relay the configuration. Keepers themselves, and boxes without
// a keeper in their data centre, follow the control boxes.
func newFollower(s *setting.Settings, store *configuration.Store, p *peers.Peers, r *timeline.Recorder, l *slog.Logger) *configuration.Follower {
	return &configuration.Follower{
		Box:      s.Box,
		Store:    store,
		Recorder: r,
		Logger:   l,
		Connect:  p.Configuration,
		Upstreams: func() []string {
			var list []string
			if s.HasRole(setting.RoleControl) {
				list = append(list, s.ControlBoxes[s.Box])
			}
			for _, k := range store.Keepers() {
				if k.GetDataCentre() == s.DataCentre && !s.HasRole(setting.RoleKeeper) {
					list = append(list, k.GetAddress())
				}
			}
			for _, name := range s.ControlNames() {
				list = append(list, s.ControlBoxes[name])
			}
			return list
		},
	}
}

func newRemoteKeepers(s *setting.Settings, store *configuration.Store, p *peers.Peers) *dispatch.RemoteKeepers {
	return &dispatch.RemoteKeepers{Self: s.Box, Config: store, Client: p.Keeper}
}

func newQuarantine(store *configuration.Store, client *control.Client, c clock.Clock, l *slog.Logger) *quarantine.Service {
	return quarantine.New(quarantine.Options{List: &store.Quarantine, Clock: c, Logger: l, Report: client.ReportCalls})
}

func newDispatcher(s *setting.Settings, id identity, q *quarantine.Service, keepers *dispatch.RemoteKeepers, store *configuration.Store, engines *engine.Client, c clock.Clock, r *timeline.Recorder, l *slog.Logger, m *metrics.Metrics) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Box:               id.Box,
		Name:              s.Box,
		DataCentre:        s.DataCentre,
		KeyWindow:         s.KeyWindow,
		Keepers:           keepers,
		Config:            store,
		Engines:           engines,
		Quarantine:        q,
		Policy:            target.PolicyByName(s.Policy),
		Clock:             c,
		Recorder:          r,
		Logger:            l,
		KeepAliveInterval: keepAliveInterval,
		Seed:              time.Now().UnixNano(),
		Metrics:           m,
	})
}

// newKeeper returns nil on a box without the keeper role.
func newKeeper(s *setting.Settings, client *control.Client, keepers *dispatch.RemoteKeepers, d *dispatch.Dispatcher, c clock.Clock, r *timeline.Recorder, l *slog.Logger) (*keeper.Keeper, error) {
	if !s.HasRole(setting.RoleKeeper) {
		return nil, nil
	}
	dir, err := disk.Open(filepath.Join(s.DataDir, "keeper"))
	if err != nil {
		return nil, err
	}
	k, err := keeper.New(keeper.Options{
		Box:          s.Box,
		DataCentre:   s.DataCentre,
		Address:      s.BetweenAddress,
		Disk:         dir,
		Clock:        c,
		Control:      client,
		HomeKeepers:  keepers,
		Recoverer:    d,
		Recorder:     r,
		Logger:       l,
		Incarnation:  uuid.NewString,
		Ledger:       ledger.Options{RetentionWindow: s.KeyWindow, BoxTimeout: s.BoxTimeout},
		SyncInterval: s.SyncInterval,
	})
	if err != nil {
		return nil, err
	}
	keepers.Local = k
	return k, nil
}

func newPoller(s *setting.Settings, memory *bytebudget.Budget, d *dispatch.Dispatcher, engines *engine.Client, l *slog.Logger) *targetlist.Poller {
	return &targetlist.Poller{Lister: &targetlist.HTTPLister{URL: s.PlatformURL, Memory: memory}, Reporter: engines, Targets: d, Logger: l}
}

func newCaller(s *setting.Settings, memory *bytebudget.Budget, d *dispatch.Dispatcher, store *configuration.Store, m *metrics.Metrics, r *timeline.Recorder, l *slog.Logger, g *graceful.Manager) *caller.Caller {
	return caller.New(caller.Options{
		Dispatcher:  d,
		Config:      store,
		Counter:     m,
		Recorder:    r,
		Logger:      l,
		Work:        g.WorkContext(),
		MaxBody:     s.MaxBody,
		Memory:      memory,
		MaxWait:     s.MaxWait,
		ReadTimeout: s.ReadTimeout,
		NewID:       uuid.NewString,
		Now:         time.Now,
	})
}

// newOrders returns nil on a box without the control role.
func newOrders(b *box, engines *engine.Client, c clock.Clock) *orders.Sender {
	if b.control.Node == nil {
		return nil
	}
	return orders.New(orders.Options{
		Lease:    b.control.Node,
		States:   b.control.Machine,
		Targets:  &engine.Orders{Client: engines, Address: b.dispatcher.TargetAddress},
		Clock:    c,
		Recorder: b.recorder,
		Logger:   b.logger,
	})
}

func newAdmin(b *box) *admin.Admin {
	return admin.New(admin.Options{
		Control:     b.client,
		Box:         b,
		Operators:   b.settings.Operators,
		Recorder:    b.recorder,
		Registry:    b.metrics.Registry,
		Logger:      b.logger,
		BaseContext: b.graceful.WorkContext(),
	})
}

func newBetween(b *box) between.Options {
	opts := between.Options{
		Node:           b.control.Node,
		Control:        b.control.Service,
		Keeper:         b.keeper,
		Source:         b.store,
		Stopping:       b.workCtx,
		HandlerOptions: b.peers.HandlerOptions(),
	}
	if b.control.Node != nil {
		opts.Source = configuration.MachineSource{Machine: b.control.Machine, SyncAge: b.control.Node.OutOfTouch}
	}
	return opts
}

// run builds a box and runs it until it is stopped.
func run(settings *setting.Settings) error {
	c, err := container(settings)
	if err != nil {
		return err
	}
	return dig.RootCause(c.Invoke(func(b *box) error { return b.run(context.Background()) }))
}
