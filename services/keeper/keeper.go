// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package keeper runs a ledger on a box with a disk: it answers entry boxes
// once what it says lasts, keeps its allotments in step with demand, and sees
// to requests whose box has died.
package keeper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/wal"
	"havenwinch.dev/havenwinch/services/timeline"
)

// Control is what a keeper asks of the control boxes.
type Control interface {
	Register(ctx context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error)
	Sync(ctx context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error)
}

// Homes reaches other keepers to claim keys that are at home there.
type Homes interface {
	Claim(ctx context.Context, box string, r *betweenv1.ClaimRequest) (*betweenv1.ClaimResponse, error)
}

// Recoverer finds out at a target what became of a request whose box died.
type Recoverer interface {
	// Recover returns the tokens used once the run has ended. With abandon it
	// ends the run. Absent says that the target certainly never ran it.
	Recover(ctx context.Context, r *statev1.RequestRecord, abandon bool) (Recovery, error)
}

// Recovery is what a target says of a run.
type Recovery struct {
	Ended  bool
	Absent bool
	Used   uint64
}

// Options configure a Keeper.
type Options struct {
	Box          string
	DataCentre   string
	Address      string
	Disk         disk.Disk
	Clock        clock.Clock
	Control      Control
	Homes        Homes
	Recoverer    Recoverer
	Recorder     *timeline.Recorder
	Logger       *slog.Logger
	Incarnation  func() string
	Ledger       ledger.Options
	SyncInterval time.Duration
	// CompactAfter is the size of the log, in bytes, after which a snapshot is
	// taken.
	CompactAfter int64
}

const defaultCompactAfter = 32 << 20

// ErrNotReady says that the ledger is not in force yet.
type ErrNotReady struct {
	Box    string
	Reason string
}

func (e ErrNotReady) Error() string {
	return "keeper " + e.Box + " is not ready (" + e.Reason + "): ask another one or again in a second"
}

// Keeper serves one ledger.
type Keeper struct {
	opts      Options
	committer *wal.Committer

	mu     sync.Mutex
	ledger *ledger.Ledger
	holder string

	queues map[string]*waitQueue
	// stopping is set when free tokens go back to control.
	stopping bool
	kick     chan struct{}
}

// New opens the ledger on a disk, or begins one.
func New(opts Options) (*Keeper, error) {
	if opts.CompactAfter == 0 {
		opts.CompactAfter = defaultCompactAfter
	}
	log, content, err := wal.Open(opts.Disk)
	if err != nil {
		return nil, err
	}
	k := &Keeper{opts: opts, queues: map[string]*waitQueue{}, kick: make(chan struct{}, 1)}
	k.ledger = ledger.New(opts.Ledger, opts.Incarnation(), opts.Clock.Wall(), opts.Clock.Boot())
	if err := k.load(content); err != nil {
		return nil, err
	}
	if content.Snapshot == nil {
		if err := k.begin(log); err != nil {
			return nil, err
		}
	}
	k.committer = wal.NewCommitter(log)
	return k, nil
}

// begin stores the name of a new ledger before anything is put in it.
func (k *Keeper) begin(log *wal.Log) error {
	data, err := proto.Marshal(k.ledger.Snapshot())
	if err != nil {
		return errors.WithStack(err)
	}
	return log.Compact(data)
}

func (k *Keeper) load(content wal.Content) error {
	if content.Snapshot == nil {
		return nil
	}
	var snapshot statev1.LedgerSnapshot
	if err := proto.Unmarshal(content.Snapshot, &snapshot); err != nil {
		return errors.WithStack(err)
	}
	k.ledger.Load(&snapshot)
	for _, data := range content.Records {
		var record statev1.LedgerRecord
		if err := proto.Unmarshal(data, &record); err != nil {
			return errors.WithStack(err)
		}
		k.ledger.Take(&record)
	}
	return nil
}

// Holder returns the name of the ledger in force, empty before that.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// Err returns why the keeper can't work, nil when it can.
func (k *Keeper) Err() error {
	if err := k.committer.Err(); err != nil {
		return err
	}
	if k.Holder() == "" {
		return errors.WithStack(ErrNotReady{Box: k.opts.Box, Reason: "not registered with control"})
	}
	return nil
}

func (k *Keeper) times() ledger.Times {
	return ledger.Times{Wall: k.opts.Clock.Wall(), Boot: k.opts.Clock.Boot()}
}

// queue hands records to the log and returns the position to wait for; the
// caller holds the lock, so the log has the order of the table.
func (k *Keeper) queue(records []*statev1.LedgerRecord) uint64 {
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			// Not reached: records are made of valid UTF-8 only, see Reserve.
			k.opts.Logger.Error("a ledger record does not encode", "error", err)
			continue
		}
		k.committer.Queue(data)
	}
	return k.committer.Position()
}

// step runs a change of the ledger and returns once it lasts. Requests that
// wait for tokens are served after it, so that the log never holds their
// reservations without the change that made room for them.
func (k *Keeper) step(ctx context.Context, change func(now ledger.Times) ledger.Outcome) error {
	if err := k.Err(); err != nil {
		return err
	}
	k.mu.Lock()
	out := change(k.times())
	position := k.queue(out.Records)
	k.serve(out.Request.GetBudget())
	k.mu.Unlock()
	return k.committer.Wait(ctx, position)
}

// Start notes where an attempt goes before it is sent.
func (k *Keeper) Start(ctx context.Context, r *betweenv1.StartRequest) (*betweenv1.StartResponse, error) {
	resp := &betweenv1.StartResponse{}
	err := k.step(ctx, func(now ledger.Times) ledger.Outcome {
		opts := ledger.StartOptions{Attempt: r.GetAttempt(), Target: r.GetTarget(), FormerNotRun: r.GetFormerNotRun(), Lost: r.GetLost()}
		out, ok := k.ledger.Start(r.GetGroup(), r.GetKey(), opts, now)
		resp.Accepted, resp.Runs = ok, out.Request.GetRuns()
		return out
	})
	return resp, err
}

// Settle ends an attempt.
func (k *Keeper) Settle(ctx context.Context, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error) {
	resp := &betweenv1.SettleResponse{}
	err := k.step(ctx, func(now ledger.Times) ledger.Outcome {
		out := k.settle(r, now)
		resp.Request = out.Request
		return out
	})
	return resp, err
}

func (k *Keeper) settle(r *betweenv1.SettleRequest, now ledger.Times) ledger.Outcome {
	if r.GetAttempt() == 0 {
		return k.ledger.ReleaseUnseen(r.GetGroup(), r.GetKey(), r.GetBox(), now)
	}
	bill := ledger.Bill{Attempt: r.GetAttempt(), Used: r.GetUsed(), NotRun: r.GetNotRun(), Uncertain: r.GetUncertain()}
	return k.ledger.Settle(r.GetGroup(), r.GetKey(), bill, now)
}

// Lookup returns the record of a key.
func (k *Keeper) Lookup(ctx context.Context, r *betweenv1.LookupRequest) (*betweenv1.LookupResponse, error) {
	resp := &betweenv1.LookupResponse{}
	err := k.step(ctx, func(ledger.Times) ledger.Outcome {
		resp.Request = k.ledger.Requests[ledger.RequestKey(r.GetGroup(), r.GetKey())]
		resp.Found = resp.Request != nil
		return ledger.Outcome{}
	})
	return resp, err
}

// Claim answers another keeper that ran a key at home here.
func (k *Keeper) Claim(ctx context.Context, r *betweenv1.ClaimRequest) (*betweenv1.ClaimResponse, error) {
	resp := &betweenv1.ClaimResponse{}
	err := k.step(ctx, func(now ledger.Times) ledger.Outcome {
		granted, by, out := k.ledger.Claim(r.GetRequest(), r.GetHolder(), now)
		if by == k.ledger.Incarnation {
			by = k.holder
		}
		resp.Granted, resp.ClaimedBy = granted, by
		return out
	})
	return resp, err
}

// Recall gives free tokens back. When requests wait for them here as well, the
// ledger whose name comes first gets them, so that two ledgers that are both
// short don't take from each other in turn.
func (k *Keeper) Recall(ctx context.Context, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error) {
	resp := &betweenv1.RecallResponse{}
	err := k.step(ctx, func(now ledger.Times) ledger.Outcome {
		out := ledger.Outcome{}
		if k.queues[r.GetBudget()] == nil || r.GetAsker() < k.holder {
			out.Records = k.ledger.Return(r.GetBudget(), r.GetTokens())
		}
		resp.Report = k.ledger.Report(r.GetBudget(), now.Boot)
		resp.Holder = k.holder
		return out
	})
	return resp, err
}

// Beat notes that a box is at work.
func (k *Keeper) Beat(box string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Beat(box, k.opts.Clock.Boot())
}

// Stats is a reading for operators.
type Stats struct {
	Budgets int
	Records int
	Open    int
}

// Stats returns a reading.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Stats{Budgets: len(k.ledger.Budgets), Records: len(k.ledger.Requests), Open: k.ledger.Open()}
}

// Waiting returns how many requests wait for tokens of a budget.
func (k *Keeper) Waiting(budget string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q := k.queues[budget]; q != nil {
		return q.Len()
	}
	return 0
}

// Syncs returns how many syncs of the disk took place.
func (k *Keeper) Syncs() uint64 { return k.committer.Syncs() }

// holderOf names the ledger on this disk.
func (k *Keeper) holderOf() string { return state.Holder(k.opts.Box, k.ledger.Incarnation) }

// Close stops writing; what was answered lasts.
func (k *Keeper) Close() error { return k.committer.Close() }
