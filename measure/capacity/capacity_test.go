// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package capacity measures the slopes that docs/CAPACITY.md is worked out
// from: what one more row, request, change or box costs.
package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/routers/between"
	"havenwinch.dev/havenwinch/services/configuration"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	allBudgets       = 120_000
	allOrganisations = 450
	holdersPerBudget = 2
)

// full is the control state at the target's size: budgets with a group and a
// key each, and two holders that have drawn on each budget.
func full(budgets int) *state.State {
	s := state.New()
	n := uint64(0)
	apply := func(c *statev1.Command) {
		n++
		c.Operator, c.Number, c.Digest = "op", n, "d"
		s.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
	}
	for i := range allOrganisations {
		apply(&statev1.Command{Action: &statev1.Command_CreateOrganisation{CreateOrganisation: &statev1.CreateOrganisation{Name: org(i), Share: 1}}})
	}
	for k := range 22 {
		s.Apply(&statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: &statev1.RegisterKeeper{Box: fmt.Sprint("k", k), Incarnation: "1", Time: 1}}})
	}
	for i := range budgets {
		name := fmt.Sprintf("%s/budget-%d", org(i), i)
		apply(&statev1.Command{Action: &statev1.Command_CreateBudget{CreateBudget: &statev1.CreateBudget{Name: name, Tokens: 1_000_000}}})
		group := &statev1.Group{Name: fmt.Sprintf("%s/group-%d", org(i), i), Budget: name, Models: []string{"m1", "m2"}, DefaultTokens: 1024}
		apply(&statev1.Command{Action: &statev1.Command_PutGroup{PutGroup: &statev1.PutGroup{Group: group, Create: true}}})
		key := &statev1.AccessKey{Digest: fmt.Sprintf("%064x", i), Group: group.GetName()}
		apply(&statev1.Command{Action: &statev1.Command_PutKey{PutKey: &statev1.PutKey{Key: key}}})
		for h := range holdersPerBudget {
			s.Apply(&statev1.Entry{Kind: &statev1.Entry_Sync{Sync: &statev1.Sync{
				Holder:  fmt.Sprintf("k%d@1", (i+h)%22),
				Reports: []*statev1.BudgetReport{{Budget: name, Spent: 0}},
				Usages:  []*statev1.GroupUsage{{Group: group.GetName(), Spent: 10}},
				Grants:  []*statev1.Grant{{Budget: name, Tokens: 1000}},
			}}})
		}
	}
	s.Results = map[string][]*statev1.CommandResult{}
	return s
}

func org(i int) string { return fmt.Sprint("org-", i%allOrganisations) }

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// each reports the memory of one row of many.
func each(b *testing.B, n int, build func() any) {
	for b.Loop() {
		before := heap()
		kept := build()
		after := heap()
		b.ReportMetric(float64(after-before)/float64(n), "bytes/row")
		runtime.KeepAlive(kept)
	}
}

// BenchmarkMemory is the memory of one more row of each table.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	b.Run("control budget with 2 holders, group and key", func(b *testing.B) { each(b, n, func() any { return full(n) }) })
	b.Run("entry group and key", func(b *testing.B) {
		s := full(n)
		data, err := proto.Marshal(s.Configuration())
		if err != nil {
			b.Fatal(err)
		}
		each(b, n, func() any {
			var c statev1.Configuration
			if err := proto.Unmarshal(data, &c); err != nil {
				b.Fatal(err)
			}
			copied := state.New()
			copied.LoadConfiguration(&c)
			return copied
		})
	})
	b.Run("ledger budget", func(b *testing.B) {
		each(b, n, func() any {
			l := newLedger()
			for i := range n {
				l.SetAllotted(fmt.Sprintf("org-%d/budget-%d", i%450, i), 1000)
			}
			l.Reports(n+1, 0)
			return l
		})
	})
	b.Run("ledger record", func(b *testing.B) {
		each(b, n, func() any {
			l := newLedger()
			l.SetAllotted("org/budget", 1<<50)
			for range n {
				key := uuid.NewString()
				l.Reserve(&statev1.RequestRecord{Group: "org/group", Key: key, Budget: "org/budget", Bound: 100, BodyDigest: fmt.Sprintf("%064s", key), Model: "m1", Deadline: 1 << 60}, "box@1", ledger.Times{})
				l.Start("org/group", key, ledger.StartOptions{Attempt: 1, Target: "engine-1"}, ledger.Times{})
				l.Settle("org/group", key, ledger.Bill{Attempt: 1, Used: 50}, ledger.Times{})
			}
			return l
		})
	})
	b.Run("queued request", func(b *testing.B) {
		each(b, n, func() any {
			q := queue.New(func(string) int { return 1 })
			for i := range n {
				q.Add(&queue.Item{Organisation: org(i), Pool: "m", Tokens: 100, MaxOutputTokens: 50})
			}
			return q
		})
	})
	b.Run("target", func(b *testing.B) {
		const targets = 2900
		each(b, targets, func() any {
			t := target.NewTable()
			for i := range targets {
				row := &target.Target{Name: fmt.Sprint("engine-", i), Address: "127.0.0.1:1", Kind: target.Engine, Models: []string{"m1", "m2"}}
				t.Targets[row.Name] = row
			}
			return t
		})
	})
}

func newLedger() *ledger.Ledger {
	return ledger.New(ledger.Options{RetentionWindow: time.Hour, BoxTimeout: time.Second}, "one", time.Unix(0, 0), 0)
}

// BenchmarkSnapshot is the control state's snapshot at the target's size.
func BenchmarkSnapshot(b *testing.B) {
	s := full(allBudgets)
	var data []byte
	b.Run("freeze, under the lock", func(b *testing.B) {
		for b.Loop() {
			s.Capture()
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			var err error
			if data, err = s.Encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data))/(1<<20), "MB")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := state.Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApplySync is one keeper's report of 82 budgets, the requests that
// one of 22 data centres starts each second at the target's peak.
func BenchmarkApplySync(b *testing.B) {
	for _, n := range []int{1000, allBudgets} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			s := full(n)
			m := &statev1.Sync{Holder: "k1@1"}
			for i := range 82 {
				m.Reports = append(m.Reports, &statev1.BudgetReport{Budget: fmt.Sprintf("%s/budget-%d", org(i), i), Spent: 500, Reserved: 100, Rate: 30})
				m.Usages = append(m.Usages, &statev1.GroupUsage{Group: fmt.Sprintf("%s/group-%d", org(i), i), Spent: 500})
			}
			for b.Loop() {
				s.Apply(&statev1.Entry{Kind: &statev1.Entry_Sync{Sync: m}})
			}
			b.ReportMetric(float64(proto.Size(m)), "bytes")
		})
	}
}

// direct carries messages between nodes of one process.
type direct struct{ nodes map[string]*raft.Node }

func (d *direct) Vote(_ context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error) {
	return d.nodes[to].HandleVote(r)
}
func (d *direct) Append(_ context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error) {
	return d.nodes[to].HandleAppend(r)
}
func (d *direct) Install(_ context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error) {
	return d.nodes[to].HandleInstall(r)
}
func (d *direct) Identify(_ context.Context, to string, _ *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	return d.nodes[to].HandleIdentify(), nil
}

func (d *direct) Join(_ context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	return d.nodes[to].HandleJoin(r)
}

// nodes starts a control group on real disks in one process.
func nodes(b *testing.B, count int) []*raft.Node {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &direct{nodes: map[string]*raft.Node{}}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("c", i))
	}
	var list []*raft.Node
	var running sync.WaitGroup
	for i, name := range names {
		d, err := disk.Open(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		n, err := raft.NewNode(raft.NodeOptions{
			Options: raft.Options{Self: name, Members: names, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond, Rand: rand.New(rand.NewSource(int64(i)))},
			Disk:    d, Transport: transport, Machine: control.NewMachine(), Clock: clock.System{}, Logger: logging.Discard(), NewIncarnation: uuid.NewString,
		})
		if err != nil {
			b.Fatal(err)
		}
		transport.nodes[name] = n
		list = append(list, n)
	}
	for _, n := range list {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = n.Run(ctx)
		}()
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return list
}

func leaderOf(list []*raft.Node) *raft.Node {
	for {
		for _, n := range list {
			if n.ReadBarrier() == nil {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkCommit is one command through the log of three control boxes, whose
// disks are real and whose network is not, alone and 64 at a time.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			leader := leaderOf(nodes(b, 3))
			var number atomic.Uint64
			propose := func() {
				n := number.Add(1)
				c := &statev1.Command{Operator: "op", Number: n, Digest: "d", Action: &statev1.Command_PutRollout{PutRollout: &statev1.PutRollout{Rollout: &statev1.Rollout{Name: "target-slots", Value: "8"}}}}
				data, err := proto.Marshal(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
				if err != nil {
					b.Error(err)
					return
				}
				if _, err := leader.Propose(context.Background(), data); err != nil {
					b.Error(err)
				}
			}
			if callers == 1 {
				for b.Loop() {
					propose()
				}
				return
			}
			b.SetParallelism(callers / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					propose()
				}
			})
		})
	}
}

// BenchmarkConfigurationChange is the time from a change at a control box
// until it is in force at so many boxes that watch it over real connections,
// and what each costs in bytes.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, boxes := range []int{8, 32, 100, 360} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			machine := control.NewMachine()
			sent := &counter{}
			address := listen(b, machine, sent)
			stores := follow(b, boxes, address)
			n := 0
			change := func() {
				n++
				c := &statev1.Command{Operator: "op", Number: uint64(n), Digest: "d", Action: &statev1.Command_PutRollout{PutRollout: &statev1.PutRollout{Rollout: &statev1.Rollout{Name: "target-slots", Value: fmt.Sprint(1 + n%100)}}}}
				data, err := proto.Marshal(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
				if err != nil {
					b.Fatal(err)
				}
				machine.Apply(data)
				for _, s := range stores {
					await(s, uint64(n))
				}
			}
			change()
			before := sent.bytes.Load()
			start := n
			for b.Loop() {
				change()
			}
			b.ReportMetric(float64(sent.bytes.Load()-before)/float64(n-start)/float64(boxes), "bytes/box/change")
		})
	}
}

func await(s *configuration.Store, revision uint64) {
	for {
		changed := s.Changed()
		if s.Revision() >= revision {
			return
		}
		<-changed
	}
}

// counter counts the bytes that a listener's connections write.
type counter struct{ bytes atomic.Int64 }

type countingListener struct {
	net.Listener
	counter *counter
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, counter: l.counter}, err
}

type countingConn struct {
	net.Conn
	counter *counter
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func newPeers(name string) *peers.Peers {
	return peers.New(peers.Options{Box: name, Secret: []byte("a secret for benchmarks"), Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
}

func listen(b *testing.B, machine *control.Machine, sent *counter) string {
	p := newPeers("control")
	ctx, cancel := context.WithCancel(context.Background())
	source := configuration.MachineSource{Machine: machine, SyncAge: func() time.Duration { return 0 }}
	server := p.Server(between.NewHandler(between.Options{Source: source, Stopping: ctx, HandlerOptions: p.HandlerOptions()}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(&countingListener{Listener: l, counter: sent}) }()
	b.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return l.Addr().String()
}

// follow starts followers, each with a connection of its own.
func follow(b *testing.B, boxes int, address string) []*configuration.Store {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var stores []*configuration.Store
	for i := range boxes {
		store, err := configuration.NewStore(clock.System{}, nil)
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprint("box-", i)
		p := newPeers(name)
		f := &configuration.Follower{
			Box: name, Store: store, Recorder: timeline.New(name, "dc", hlc.New(clock.System{})), Logger: slog.New(slog.DiscardHandler),
			Upstreams: func() []string { return []string{address} }, Connect: p.Configuration,
		}
		go f.Run(ctx)
		stores = append(stores, store)
	}
	return stores
}
