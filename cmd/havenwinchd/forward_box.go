// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"havenwinch.dev/havenwinch/modules/accept"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/graceful"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/setting"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/metrics"
	"havenwinch.dev/havenwinch/services/peers"
)

const (
	// memoryShare is the fraction of the process's memory that is set as the soft
	// memory limit of the Go runtime.
	memoryShare = 0.6
	// gcPercent is the heap growth between garbage collections, in percent.
	gcPercent = 60
	mebibyte  = 1 << 20
	// workShare is the fraction of the stop limit after which running calls are cut off. The rest is for
	// telling their callers, since the platform may kill the process at the limit.
	workShare = 0.95
)

// workLimit returns how long calls may run on after the signal to stop.
func workLimit(s *setting.Forward) time.Duration {
	return time.Duration(workShare * float64(s.StopLimit))
}

// forwardParams are the components that the container injects into a forwardBox.
type forwardParams struct {
	dig.In

	Settings *setting.Forward
	Bounded  *logging.RateLimitedWriter
	Logger   *slog.Logger
	Graceful *graceful.Manager
	Clock    clock.Clock
	Peers    *peers.Peers
	Client   *gateway.Client
	Store    *gateway.Store
	Metrics  *metrics.Metrics
}

// forwardBox is a box of the forward subcommand. It runs one of two roles.
type forwardBox struct {
	Settings *setting.Forward
	Bounded  *logging.RateLimitedWriter
	Logger   *slog.Logger
	Graceful *graceful.Manager
	Clock    clock.Clock
	Peers    *peers.Peers
	Client   *gateway.Client
	Store    *gateway.Store
	Metrics  *metrics.Metrics

	// workCtx is the context of background work; cancelWork ends it.
	workCtx    context.Context
	cancelWork context.CancelFunc
	workers    sync.WaitGroup
}

// forwardRole is the entry role or the control role.
type forwardRole interface {
	// start opens the role's listeners and starts its background work.
	start() error
	// stop shuts the role down gracefully until the context is cancelled.
	stop(ctx context.Context)
}

func forwardContainer(settings *setting.Forward) (*dig.Container, error) {
	c := dig.New()
	constructors := []any{
		func() *setting.Forward { return settings },
		func() clock.Clock { return clock.System{} },
		func() *logging.RateLimitedWriter { return logging.NewRateLimitedWriter(settings.LogRate) },
		func(b *logging.RateLimitedWriter) *slog.Logger {
			return logging.NewRateLimitedLogger(b, settings.LogLevel, settings.Box, settings.DataCentre)
		},
		func() *graceful.Manager { return graceful.New(workLimit(settings)) },
		hlc.New,
		metrics.New,
		newForwardPeers,
		func(p *peers.Peers) *gateway.Client { return gateway.NewClient(settings.Seeds, p.Gateway) },
		gateway.NewStore,
		func(p forwardParams) *forwardBox {
			b := &forwardBox{
				Settings: p.Settings, Bounded: p.Bounded, Logger: p.Logger, Graceful: p.Graceful, Clock: p.Clock,
				Peers: p.Peers, Client: p.Client, Store: p.Store, Metrics: p.Metrics,
			}
			b.workCtx, b.cancelWork = context.WithCancel(p.Graceful.WorkContext())
			return b
		},
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return c, nil
}

func newForwardPeers(s *setting.Forward, c clock.Clock, stamps *hlc.Clock) *peers.Peers {
	return peers.New(peers.Options{Box: s.Box, Secret: s.Secret, Clock: c, Stamps: stamps, IP: net.ParseIP(s.IP)})
}

// runForward builds a forwardBox and runs it until it is stopped.
func runForward(ctx context.Context, settings *setting.Forward) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * mebibyte))
	c, err := forwardContainer(settings)
	if err != nil {
		return err
	}
	return dig.RootCause(c.Invoke(func(b *forwardBox) error { return b.run(ctx) }))
}

// run starts the box in its role, waits for a stop signal and stops it. The log is
// written out before it returns.
func (b *forwardBox) run(ctx context.Context) error {
	logCtx, cancelLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		b.Bounded.Run(logCtx, os.Stdout, b.Logger)
	}()
	defer func() {
		cancelLog()
		<-logDone
	}()
	b.Graceful.HandleSignals()
	b.handleReload()
	role, err := b.newRole()
	if err != nil {
		return err
	}
	b.Logger.Info("start", "role", b.Settings.Role, "version", version, "seeds", b.Settings.Seeds, "first_start", b.Settings.FirstStart)
	if err := b.serveMetrics(); err != nil {
		return err
	}
	if err := role.start(); err != nil {
		return err
	}
	select {
	case <-b.Graceful.DrainContext().Done():
	case <-b.Graceful.WorkContext().Done():
	}
	b.Logger.Info("stop", "reason", "signal")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.Graceful.WorkContext(), cancel)()
	role.stop(ctx)
	b.cancelWork()
	b.workers.Wait()
	b.Logger.Info("stopped", "cut", b.Graceful.WorkContext().Err() != nil)
	return nil
}

func (b *forwardBox) newRole() (forwardRole, error) {
	if b.Settings.Role == setting.RoleControl {
		return newControlRole(b)
	}
	return newEntryRole(b), nil
}

func (b *forwardBox) spawn(run func(ctx context.Context)) {
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		run(b.workCtx)
	}()
}

// reloads receives SIGHUP.
var reloads = make(chan os.Signal, 1)

// catchReloads keeps a SIGHUP until the box handles it. By default the signal would end a box that is
// still starting.
func catchReloads() { signal.Notify(reloads, syscall.SIGHUP) }

// handleReload reloads the settings on SIGHUP. Only the seeds change while the box runs.
func (b *forwardBox) handleReload() {
	go func() {
		for range reloads {
			b.reload()
		}
	}()
}

func (b *forwardBox) reload() {
	settings, err := loadSettings()
	if err != nil {
		b.Logger.Error("reload", "outcome", "refused: the settings are unchanged", "reason", err.Error())
		return
	}
	b.Client.SetSeeds(settings.Seeds)
	b.Logger.Info("reload", "outcome", "seeds in force", "seeds", settings.Seeds)
}

// loadSettings loads the settings again. If the file is refused, the environment is
// restored, so that nothing of it affects a later reload.
func loadSettings() (*setting.Forward, error) {
	undo, err := loadSettingsFile()
	if err != nil {
		return nil, err
	}
	settings := &setting.Forward{}
	if err := settings.Load(forwardArgs(os.Args)); err != nil {
		undo()
		return nil, err
	}
	return settings, nil
}

func (b *forwardBox) serveMetrics() error {
	if b.Settings.MetricsListen == "" {
		return nil
	}
	l, err := listen("metrics-listen", b.Settings.MetricsListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(b.Metrics.Registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return nil
}

// listen opens a listener. The error names its setting.
func listen(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	return l, errors.Wrapf(err, "--%s can't be opened: choose an address that is free", name)
}

// serve opens the listener of a setting and runs a server on it in the background. It
// logs an error of the server unless the box is stopping.
func (b *forwardBox) serve(name, address string, run func(net.Listener) error) (net.Listener, error) {
	l, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	go func() {
		err := run(l)
		if err != nil && b.workCtx.Err() == nil && !b.Graceful.IsDraining() {
			b.Logger.Error("listener failed", "listener", name, "reason", err.Error())
		}
	}()
	return l, nil
}

// retryAccepts returns run for a server whose library ends at the first accept that fails.
func (b *forwardBox) retryAccepts(name string, run func(net.Listener) error) func(net.Listener) error {
	return func(l net.Listener) error {
		return run(accept.New(l, func(err error) { logFailedAccept(b.Logger, name, err) }))
	}
}

func logFailedAccept(logger *slog.Logger, name string, err error) {
	logger.Warn("accept failed", "listener", name, "outcome", "tries again", "reason", err.Error())
}

// newReadyServer returns the HTTP server for readiness probes.
func newReadyServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReadTimeout: time.Minute}
}

// newRand returns the random source for election timeouts.
func newRand() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) }

// controlDir is the directory of a control box's log.
func controlDir(s *setting.Forward) string { return filepath.Join(s.DataDir, "control") }

// newIncarnation returns a random ID for a started process or a new disk.
func newIncarnation() string { return uuid.NewString() }
