// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package single runs a complete box inside a test process: the caller interface, the
// dispatcher, a keeper on an in-memory disk, control without a network, and simulated
// targets.
package single

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/allot"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/modules/disk/disktest"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/routers/caller"
	"havenwinch.dev/havenwinch/services/configuration"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/services/metrics"
	"havenwinch.dev/havenwinch/services/quarantine"
	"havenwinch.dev/havenwinch/services/targetlist"
	"havenwinch.dev/havenwinch/services/timeline"
	standin "havenwinch.dev/havenwinch/standin/engine"
	list "havenwinch.dev/havenwinch/standin/platform"
)

const (
	// Key is the access key of group north/a, which may call model m1 and service
	// portal at any priority.
	Key = "key-of-north-a"
	// BatchKey is the access key of group north/batch.
	BatchKey = "key-of-north-batch"
	// Box is the name of the box and DataCentre that of its data centre.
	Box        = "box-1"
	DataCentre = "dc-a"
)

// controlCalls forwards the calls of the keeper to control within the process.
type controlCalls struct{ service *control.Service }

func (c *controlCalls) Register(ctx context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error) {
	return c.service.Register(ctx, r.GetRegister())
}

func (c *controlCalls) Sync(ctx context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error) {
	return c.service.Sync(ctx, r.GetSync())
}

// keeperCalls forwards the calls of control to the only keeper.
type keeperCalls struct{ single *Single }

func (h *keeperCalls) Recall(ctx context.Context, _ string, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error) {
	return h.single.Keeper.Recall(ctx, r)
}

// Single is a running box with its targets.
type Single struct {
	T          testing.TB
	Control    *control.Service
	Machine    *control.Machine
	Store      *configuration.Store
	Keeper     *keeper.Keeper
	Dispatcher *dispatch.Dispatcher
	Caller     *caller.Caller
	Recorder   *timeline.Recorder
	Disk       *disktest.Memory
	Platform   *list.Platform
	Engines    []*standin.Engine
	Quarantine *quarantine.Service
	Policy     target.Policy
	URL        string
	Logger     *slog.Logger
	// number is the number of the last command.
	number uint64
}

// Options are the settings of the box and its targets. Zero values select defaults.
type Options struct {
	// Tokens is the budget north/main.
	Tokens uint64
	// Engines are the simulated engines; by default there is one DefaultEngine.
	Engines []standin.Options
	// Services are handlers of the plain service portal, one per target.
	Services []http.Handler
	// Window is how long idempotency keys are kept; 1 h by default.
	Window time.Duration
	// Wrap, if not nil, wraps the handler of each target. end simulates a crash of the
	// target.
	Wrap func(h http.Handler, end func()) http.Handler
	// Keepers, if not nil, wraps the access to the ledger, for example to inject errors.
	Keepers func(dispatch.Keepers) dispatch.Keepers
	// MaxBody limits the request body, in bytes; 1 MiB by default.
	MaxBody int
	// ReadTimeout limits the time for reading a request; 1 min by default.
	ReadTimeout time.Duration
	// Memory is what answers of targets are counted in; nil for no limit.
	Memory *bytebudget.Budget
	// WithholdQuarantineList withholds control's list of quarantined calls from the box until ApplyQuarantineList.
	WithholdQuarantineList bool
}

// DefaultEngine is a fast engine with eight slots.
var DefaultEngine = standin.Options{Slots: 8, PrefillPerSecond: 1_000_000, TokenTime: time.Millisecond, CacheBlocks: 64}

// New starts a box and waits until it serves callers. It stops at the end of the test.
func New(t testing.TB, opts Options) *Single {
	t.Helper()
	s := &Single{T: t, Disk: disktest.New(), Platform: list.New(1), Logger: logging.Discard(), Machine: control.NewMachine()}
	stamps := hlc.New(clock.System{})
	s.Recorder = timeline.New(Box, DataCentre, stamps)
	s.Control = control.New(control.Options{
		Log: controltest.Log{Machine: s.Machine}, Machine: s.Machine, Keepers: &keeperCalls{single: s}, Policy: allot.DefaultPolicy(),
		Clock: clock.System{}, Recorder: s.Recorder, Logger: s.Logger,
	})
	s.createGroups(opts.Tokens)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.startServices(ctx, opts)
	s.addTargets(opts)
	s.serveCallers(ctx, opts)
	s.waitReady()
	return s
}

func (s *Single) createGroups(tokens uint64) {
	s.T.Helper()
	texts := []string{
		"create organisation north share 1",
		"create budget north/main tokens " + strconv.FormatUint(tokens, 10),
		"create group north/a budget north/main models m1 services portal default-tokens 20",
		"create group north/batch budget north/main models m1 priority batch",
		"create group north/other budget north/main models m2",
		"add key " + digest.Of([]byte(Key)) + " to north/a",
		"add key " + digest.Of([]byte(BatchKey)) + " to north/batch",
	}
	for _, text := range texts {
		s.Command(text)
	}
}

// Command runs an operator command and applies the new configuration at the box. The
// command must succeed.
func (s *Single) Command(text string) {
	s.T.Helper()
	s.number++
	r, err := s.Control.Command(context.Background(), &betweenv1.CommandRequest{Operator: "test", Number: s.number, Text: text})
	if err != nil || r.GetRefusal() != "" {
		s.T.Fatalf("%s: %v %s", text, err, r.GetMessage())
	}
	if s.Store != nil {
		s.applyConfiguration()
	}
}

func (s *Single) applyConfiguration() {
	s.T.Helper()
	source := configuration.MachineSource{Machine: s.Machine, SyncAge: func() time.Duration { return 0 }}
	if _, err := s.Store.Apply(source.Since(s.Store.Position())); err != nil {
		s.T.Fatal(err)
	}
	if s.Dispatcher != nil {
		s.Dispatcher.Refresh()
	}
}

// reporter returns the function that reports calls that crashed targets to control and,
// unless WithholdQuarantineList is set, applies control's list of quarantined calls at the box.
func (s *Single) reporter(opts Options) func(context.Context, *statev1.ReportCalls) error {
	return func(ctx context.Context, r *statev1.ReportCalls) error {
		if err := s.Control.Quarantine().Report(ctx, r); err != nil || opts.WithholdQuarantineList {
			return err
		}
		return s.applyQuarantineList()
	}
}

func (s *Single) applyQuarantineList() error {
	source := configuration.MachineSource{Machine: s.Machine, SyncAge: func() time.Duration { return 0 }}
	_, err := s.Store.Apply(source.Since(s.Store.Position()))
	return err
}

// ApplyQuarantineList applies control's list of quarantined calls at the box.
func (s *Single) ApplyQuarantineList() {
	s.T.Helper()
	if err := s.applyQuarantineList(); err != nil {
		s.T.Fatal(err)
	}
	s.Quarantine.ProcessList()
}

// QuarantinedByControl returns the number of calls that control has in quarantine.
func (s *Single) QuarantinedByControl() (n int) {
	s.Machine.Read(func(st *state.State) {
		for _, row := range st.Quarantine.Listed() {
			if row.GetHeld() {
				n++
			}
		}
	})
	return n
}

func (s *Single) startServices(ctx context.Context, opts Options) {
	s.T.Helper()
	if opts.Window == 0 {
		opts.Window = time.Hour
	}
	store, err := configuration.NewStore(clock.System{}, nil)
	if err != nil {
		s.T.Fatal(err)
	}
	s.Store = store
	remote := &dispatch.RemoteKeepers{Self: Box, Config: store, Client: func(string) betweenv1connect.KeeperServiceClient { return nil }}
	var keepers dispatch.Keepers = remote
	if opts.Keepers != nil {
		keepers = opts.Keepers(remote)
	}
	s.Policy = target.CacheLoad{}
	s.Quarantine = quarantine.New(quarantine.Options{List: &store.Quarantine, Clock: clock.System{}, Logger: s.Logger, Report: s.reporter(opts)})
	go s.Quarantine.Run(ctx)
	s.Dispatcher = dispatch.New(dispatch.Options{
		Box: Box + "@1", Name: Box, DataCentre: DataCentre, KeyWindow: opts.Window, Keepers: keepers, Config: store,
		Engines: engine.New(engine.Options{Memory: opts.Memory, Logger: s.Logger}), Quarantine: s.Quarantine, Policy: s.Policy, Clock: clock.System{}, Recorder: s.Recorder, Logger: s.Logger,
		KeepAliveInterval: 10 * time.Millisecond, Seed: 1, Metrics: metrics.New(),
	})
	s.Keeper, err = keeper.New(keeper.Options{
		Box: Box, DataCentre: DataCentre, Address: "127.0.0.1:1", Disk: s.Disk, Clock: clock.System{},
		Control: &controlCalls{service: s.Control}, HomeKeepers: remote, Recoverer: s.Dispatcher, Recorder: s.Recorder, Logger: s.Logger,
		Incarnation: uuid.NewString, Ledger: ledger.Options{RetentionWindow: opts.Window, BoxTimeout: 3 * time.Second}, SyncInterval: 20 * time.Millisecond, CompactAfter: 1 << 20,
	})
	if err != nil {
		s.T.Fatal(err)
	}
	remote.Local = s.Keeper
	go func() { _ = s.Keeper.Run(ctx) }()
	go s.Dispatcher.Run(ctx)
}

func (s *Single) addTargets(opts Options) {
	if opts.Engines == nil {
		opts.Engines = []standin.Options{DefaultEngine}
	}
	for i, o := range opts.Engines {
		e := standin.New(o)
		s.Engines = append(s.Engines, e)
		name := "engine-" + strconv.FormatUint(uint64(i+1), 10)
		s.Platform.Put(list.Target{Name: name, Address: s.serveTarget(opts, e.Handler()), Kind: "engine", Models: []string{"m1"}, DataCentre: DataCentre, State: "live"})
	}
	for i, h := range opts.Services {
		name := "portal-" + strconv.FormatUint(uint64(i+1), 10)
		s.Platform.Put(list.Target{Name: name, Address: s.serveTarget(opts, h), Kind: "service", Service: "portal", DataCentre: DataCentre, State: "live"})
	}
}

func (s *Single) serveTarget(opts Options, h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	if opts.Wrap != nil {
		server.Config.Handler = opts.Wrap(h, func() {
			_ = server.Listener.Close()
			server.CloseClientConnections()
		})
	}
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	s.T.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (s *Single) serveCallers(ctx context.Context, opts Options) {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = time.Minute
	}
	if opts.MaxBody == 0 {
		opts.MaxBody = 1 << 20
	}
	s.Caller = caller.New(caller.Options{
		Dispatcher: s.Dispatcher, Config: s.Store, Counter: metrics.New(), Recorder: s.Recorder, Logger: s.Logger, Memory: opts.Memory,
		Work: ctx, MaxBody: opts.MaxBody, MaxWait: time.Hour, ReadTimeout: opts.ReadTimeout, NewID: uuid.NewString, Now: time.Now,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.T.Fatal(err)
	}
	s.URL = "http://" + l.Addr().String()
	go func() { _ = s.Caller.Server().Serve(l) }()
	s.T.Cleanup(func() { _ = s.Caller.Server().Shutdown() })
}

// Poll passes the platform's list and the load reports of the targets to the dispatcher.
func (s *Single) Poll() {
	s.T.Helper()
	rows, err := s.listTargets()
	if err != nil {
		s.T.Fatal(err)
	}
	s.Dispatcher.ReplaceList(rows)
	p := &targetlist.Poller{Reporter: engine.New(engine.Options{Logger: s.Logger}), Targets: s.Dispatcher, Logger: s.Logger}
	p.PollReports(context.Background())
}

func (s *Single) listTargets() ([]*target.Target, error) {
	server := httptest.NewServer(s.Platform.Handler())
	defer server.Close()
	lister := &targetlist.HTTPLister{URL: server.URL}
	l, _, err := lister.List(context.Background())
	return targetlist.TargetsOf(l), err
}

// waitReady waits until the keeper is registered and the dispatcher knows the targets.
func (s *Single) waitReady() {
	s.T.Helper()
	s.WaitFor("the keeper is registered", func() bool { return s.Keeper.Err() == nil })
	s.applyConfiguration()
	s.Poll()
}

// WaitFor polls a condition and fails the test if it does not hold within 20 s.
func (s *Single) WaitFor(what string, met func() bool) {
	s.T.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			s.T.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Record returns the ledger's record of an idempotency key of a group.
func (s *Single) Record(group, key string) *statev1.RequestRecord {
	s.T.Helper()
	resp, err := s.Keeper.Lookup(context.Background(), &betweenv1.LookupRequest{Group: group, Key: key})
	if err != nil {
		s.T.Fatal(err)
	}
	return resp.GetRequest()
}

// Cell returns the value of a column in the only row of a query result.
func (s *Single) Cell(query, column string) string {
	s.T.Helper()
	resp, err := s.Control.Query(query)
	if err != nil || len(resp.GetRows()) != 1 {
		s.T.Fatalf("%s: %v, %d rows", query, err, len(resp.GetRows()))
	}
	for i, c := range resp.GetColumns() {
		if c == column {
			return resp.GetRows()[0].GetCells()[i]
		}
	}
	s.T.Fatalf("%s has no column %s", query, column)
	return ""
}
