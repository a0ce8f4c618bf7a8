// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/disk/disktest"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/wal"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/services/timeline"
)

var errUnreachable = errors.New("control can't be reached")

// control is a control service that allots the whole of every budget to each keeper.
type control struct {
	mu      sync.Mutex
	granted uint64
	// gone is the number of tokens that are spent or lost elsewhere.
	gone uint64
	// offline makes control unreachable.
	offline bool
	synced  int
}

func (c *control) Register(_ context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offline {
		return nil, errUnreachable
	}
	return &betweenv1.RegisterResponse{Holder: r.GetRegister().GetBox() + "@" + r.GetRegister().GetIncarnation()}, nil
}

func (c *control) Sync(_ context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synced++
	if c.offline {
		return nil, errUnreachable
	}
	resp := &betweenv1.SyncResponse{}
	for _, report := range r.GetSync().GetReports() {
		resp.Rows = append(resp.Rows, &betweenv1.AllottedRow{Budget: report.GetBudget(), Allotted: c.granted, Granted: c.granted, Gone: report.GetSpent() + c.gone})
	}
	return resp, nil
}

func (c *control) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// targets is a Recoverer that returns the same recovery for every run.
type targets struct {
	found keeper.Recovery
	err   error
}

func (r *targets) Recover(context.Context, *statev1.RequestRecord, bool) (keeper.Recovery, error) {
	return r.found, r.err
}

// fixture is a running keeper with its disk, clock, control and targets.
type fixture struct {
	t       testing.TB
	keeper  *keeper.Keeper
	disk    disk.Disk
	clock   *clock.Fake
	control *control
	targets *targets
	stop    context.CancelFunc
}

func newFixture(t testing.TB, d disk.Disk, c *control) *fixture {
	t.Helper()
	f := &fixture{t: t, disk: d, clock: clock.NewFake(), control: c, targets: &targets{}}
	names := 0
	k, err := keeper.New(keeper.Options{
		Box: "k1", DataCentre: "dc", Disk: d, Clock: f.clock, Control: c, Recoverer: f.targets,
		Recorder: timeline.New("k1", "dc", hlc.New(f.clock)), Logger: logging.Discard(),
		Incarnation: func() string { names++; return fmt.Sprint("life-", names) },
		Ledger:      ledger.Options{RetentionWindow: time.Hour, BoxTimeout: 3 * time.Second}, SyncInterval: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.keeper = k
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	t.Cleanup(cancel)
	go func() { _ = k.Run(ctx) }()
	return f
}

func (f *fixture) waitUntilReady() *fixture {
	f.t.Helper()
	f.eventually("the keeper is ready", func() bool { return f.keeper.Err() == nil })
	return f
}

func (f *fixture) eventually(what string, met func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) reserve(key string, bound uint64, wait time.Duration) (*betweenv1.ReserveResponse, error) {
	r := &statev1.RequestRecord{Group: "north/a", Key: key, Budget: "north/main", Bound: bound, Repeatable: true, Deadline: f.clock.Wall().Add(time.Minute).UnixMilli()}
	return f.keeper.Reserve(context.Background(), &betweenv1.ReserveRequest{Request: r, Box: "box@1", Wait: wait.Milliseconds()})
}

func (f *fixture) mustReserve(key string, bound uint64) {
	f.t.Helper()
	resp, err := f.reserve(key, bound, time.Minute)
	if err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED {
		f.t.Fatal(resp, err)
	}
}

func (f *fixture) settle(key string, used uint64) {
	f.t.Helper()
	if _, err := f.keeper.Settle(context.Background(), &betweenv1.SettleRequest{Group: "north/a", Key: key, Attempt: 1, Used: used}); err != nil {
		f.t.Fatal(err)
	}
}

// TestWaitingForTokens checks the outcome of a request whose budget is short of tokens when
// it arrives: another request has reserved 60 of 100 tokens.
func TestWaitingForTokens(t *testing.T) {
	const granted, exhausted = betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED
	tests := map[string]struct {
		bound       uint64
		wait        time.Duration
		then        func(f *fixture)
		want        betweenv1.ReserveStatus
		unreachable bool
	}{
		"other request returns enough":                      {80, time.Minute, func(f *fixture) { f.settle("first", 10) }, granted, false},
		"other request uses too much":                       {80, time.Minute, func(f *fixture) { f.settle("first", 60) }, exhausted, false},
		"more than the whole budget":                        {200, time.Minute, func(*fixture) {}, exhausted, false},
		"operator grants more":                              {80, time.Minute, func(f *fixture) { f.control.update(func() { f.control.granted = 300 }) }, granted, false},
		"wait times out":                                    {80, 50 * time.Millisecond, func(*fixture) {}, exhausted, false},
		"no wait":                                           {80, 0, func(*fixture) {}, exhausted, false},
		"control unreachable, other request returns enough": {80, time.Minute, func(f *fixture) { f.control.update(func() { f.control.offline = true }); f.settle("first", 10) }, granted, false},
		"control unreachable, more than all tokens here":    {200, time.Minute, func(f *fixture) { f.control.update(func() { f.control.offline = true }) }, exhausted, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, disktest.New(), &control{granted: 100}).waitUntilReady()
			f.mustReserve("first", 60)
			if test.unreachable {
				test.then(f)
			}
			done := make(chan *betweenv1.ReserveResponse, 1)
			go func() {
				resp, err := f.reserve("second", test.bound, test.wait)
				if err != nil {
					t.Error(err)
				}
				done <- resp
			}()
			if !test.unreachable {
				test.then(f)
			}
			resp := <-done
			if resp.GetStatus() != test.want || resp.GetUnreachable() != test.unreachable {
				t.Errorf("got status %v, unreachable %v", resp.GetStatus(), resp.GetUnreachable())
			}
			if test.want == exhausted && resp.GetRetryAfter() <= 0 {
				t.Error("refusal without RetryAfter")
			}
		})
	}
}

// TestRestart checks that a keeper recovers its ledger from the disk after a crash.
func TestRestart(t *testing.T) {
	tests := map[string]struct {
		offline bool
		torn    int
	}{"control reachable": {false, 0}, "control unreachable": {true, 0}, "torn last record": {false, 7}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := disktest.New()
			c := &control{granted: 100}
			f := newFixture(t, d, c).waitUntilReady()
			f.mustReserve("ended", 30)
			f.settle("ended", 20)
			f.mustReserve("open", 40)
			f.stop()
			c.update(func() { c.offline = test.offline })
			restarted := newFixture(t, d.Crash(test.torn), c).waitUntilReady()
			if resp, err := restarted.reserve("open", 40, 0); err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING {
				t.Errorf("open request: got %v, %v", resp, err)
			}
			if resp, err := restarted.reserve("ended", 30, 0); err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_DONE || resp.GetRequest().GetBilled() != 20 {
				t.Errorf("ended request: got %v, %v", resp, err)
			}
			if resp, err := restarted.reserve("more", 41, 0); err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED || resp.GetFree() != 40 {
				t.Errorf("new request: got %v, %v", resp, err)
			}
		})
	}
}

// TestFullDisk checks that no reservation is granted that could not be written to the disk,
// and that the keeper reports the failure.
func TestFullDisk(t *testing.T) {
	d := disktest.New()
	f := newFixture(t, d, &control{granted: 100}).waitUntilReady()
	f.mustReserve("first", 10)
	d.SetError(errors.New("no space left on device"))
	if resp, err := f.reserve("second", 10, 0); err == nil {
		t.Errorf("reservation on a full disk: got %v, want an error", resp)
	}
	if f.keeper.Err() == nil {
		t.Error("Err is nil after the disk has failed")
	}
	if _, err := f.reserve("third", 10, 0); err == nil {
		t.Error("reservation succeeded after the disk has failed")
	}
}

// TestOrphans checks how requests are settled whose box sends no heartbeats any more.
func TestOrphans(t *testing.T) {
	lost := errors.New("the target can't be reached")
	tests := map[string]struct {
		started bool
		found   keeper.Recovery
		err     error
		later   time.Duration
		state   statev1.RequestState
		billed  uint64
	}{
		"never started":               {false, keeper.Recovery{}, lost, 10 * time.Second, statev1.RequestState_REQUEST_STATE_RELEASED, 0},
		"target never received it":    {true, keeper.Recovery{Absent: true}, nil, 10 * time.Second, statev1.RequestState_REQUEST_STATE_RELEASED, 0},
		"ended":                       {true, keeper.Recovery{Ended: true, Used: 25}, nil, 10 * time.Second, statev1.RequestState_REQUEST_STATE_DONE, 25},
		"still running":               {true, keeper.Recovery{}, nil, 10 * time.Second, statev1.RequestState_REQUEST_STATE_STARTED, 0},
		"target unreachable":          {true, keeper.Recovery{}, lost, 10 * time.Second, statev1.RequestState_REQUEST_STATE_STARTED, 0},
		"target unreachable for long": {true, keeper.Recovery{}, lost, 5 * time.Minute, statev1.RequestState_REQUEST_STATE_DONE, 40},
		"box silent for 1s only":      {true, keeper.Recovery{Ended: true, Used: 25}, nil, time.Second, statev1.RequestState_REQUEST_STATE_STARTED, 0},
		"target reports too much":     {true, keeper.Recovery{Ended: true, Used: 900}, nil, 10 * time.Second, statev1.RequestState_REQUEST_STATE_DONE, 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, disktest.New(), &control{granted: 100}).waitUntilReady()
			f.targets.found, f.targets.err = test.found, test.err
			f.mustReserve("k", 40)
			if test.started {
				if _, err := f.keeper.Start(context.Background(), &betweenv1.StartRequest{Group: "north/a", Key: "k", Attempt: 1, Target: "e"}); err != nil {
					t.Fatal(err)
				}
			}
			f.clock.Advance(test.later)
			f.keeper.Tick(context.Background())
			resp, err := f.keeper.Lookup(context.Background(), &betweenv1.LookupRequest{Group: "north/a", Key: "k"})
			if err != nil || resp.GetRequest().GetState() != test.state || resp.GetRequest().GetBilled() != test.billed {
				t.Errorf("got record %v, error %v", resp.GetRequest(), err)
			}
		})
	}
}

// TestRecallLeavesWhatIsNeeded checks that two ledgers that are both short of tokens don't
// keep taking them from each other.
func TestRecallLeavesWhatIsNeeded(t *testing.T) {
	tests := map[string]struct {
		waits bool
		asker string
		want  uint64
	}{
		"no request waits":             {false, "z@1", 40},
		"one waits, asker sorts after": {true, "z@1", 0},
		"one waits, asker sorts first": {true, "a@1", 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, disktest.New(), &control{granted: 100}).waitUntilReady()
			f.mustReserve("first", 60)
			if test.waits {
				go func() { _, _ = f.reserve("second", 80, time.Minute) }()
				f.eventually("the request waits", func() bool { return f.keeper.Waiting("north/main") == 1 })
			}
			resp, err := f.keeper.Recall(context.Background(), &betweenv1.RecallRequest{Budget: "north/main", Tokens: 500, Asker: test.asker})
			if err != nil || resp.GetReport().GetReturned() != test.want {
				t.Errorf("got %v, %v, want %d returned", resp, err, test.want)
			}
		})
	}
}

// BenchmarkLedgerOnDisk measures durable reservations on a real disk, by one caller and by
// many callers that share syncs.
func BenchmarkLedgerOnDisk(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			d, err := disk.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			f := newFixture(b, d, &control{granted: 1 << 50}).waitUntilReady()
			f.mustReserve("warm", 1)
			var mu sync.Mutex
			n := 0
			b.SetParallelism(max(1, callers/8))
			before := f.keeper.Syncs()
			body := func() {
				mu.Lock()
				n++
				key := fmt.Sprint("k", n)
				mu.Unlock()
				if _, err := f.reserve(key, 10, 0); err != nil {
					b.Error(err)
				}
			}
			if callers == 1 {
				for b.Loop() {
					body()
				}
			} else {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						body()
					}
				})
			}
			b.ReportMetric(float64(f.keeper.Syncs()-before)/float64(n), "syncs/reservation")
		})
	}
}

// TestServedWaiterIsWrittenOnce checks that the reservation of a request that waited for
// its tokens is written to the log once. A second, later record could restore a reservation
// that was settled in the meantime.
func TestServedWaiterIsWrittenOnce(t *testing.T) {
	d := disktest.New()
	f := newFixture(t, d, &control{granted: 100}).waitUntilReady()
	f.mustReserve("first", 60)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.mustReserve("second", 80)
	}()
	f.eventually("the request waits", func() bool { return f.keeper.Waiting("north/main") == 1 })
	f.settle("first", 10)
	<-done
	_, content, err := wal.Open(d.Crash(0))
	if err != nil {
		t.Fatal(err)
	}
	written := 0
	for _, data := range content.Records {
		var r statev1.LedgerRecord
		if err := proto.Unmarshal(data, &r); err != nil {
			t.Fatal(err)
		}
		if r.GetRequest().GetKey() == "second" {
			written++
		}
	}
	if written != 1 {
		t.Errorf("reservation written %d times, want 1", written)
	}
}
