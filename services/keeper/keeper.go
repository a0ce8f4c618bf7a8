// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package keeper runs a ledger on a box with a disk. It answers entry boxes only once
// its answer is durable, adapts its allotments to demand, and settles requests whose box
// has died.
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

// Control is the part of the control service that a keeper calls.
type Control interface {
	Register(ctx context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error)
	Sync(ctx context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error)
}

// HomeKeepers calls the home keepers of idempotency keys to claim these.
type HomeKeepers interface {
	Claim(ctx context.Context, box string, r *betweenv1.ClaimRequest) (*betweenv1.ClaimResponse, error)
}

// Recoverer asks a target about a request whose box died.
type Recoverer interface {
	// Recover returns the state of the run. If abandon is set it ends the run
	// first.
	Recover(ctx context.Context, r *statev1.RequestRecord, abandon bool) (Recovery, error)
}

// Recovery is the state of a run as its target reports it.
type Recovery struct {
	Ended bool
	// Absent is set if the target certainly never ran the request.
	Absent bool
	// Used is the number of tokens used. It is final once Ended is set.
	Used uint64
}

// Options configure a Keeper.
type Options struct {
	Box          string
	DataCentre   string
	Address      string
	Disk         disk.Disk
	Clock        clock.Clock
	Control      Control
	HomeKeepers  HomeKeepers
	Recoverer    Recoverer
	Recorder     *timeline.Recorder
	Logger       *slog.Logger
	Incarnation  func() string
	Ledger       ledger.Options
	SyncInterval time.Duration
	// CompactAfter is the size of the log in bytes from which on it is replaced
	// by a snapshot. Zero means 32 MiB.
	CompactAfter int64
}

const defaultCompactAfter = 32 << 20

// ErrNotReady means that the keeper does not accept requests: its ledger is not
// registered with control yet, or the keeper is stopping.
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
	// stopping is set once the free tokens are returned to control.
	stopping bool
	// syncNow triggers the next report before SyncInterval has passed.
	syncNow chan struct{}
}

// New opens the ledger on the disk, or creates one if the disk is empty.
func New(opts Options) (*Keeper, error) {
	if opts.CompactAfter == 0 {
		opts.CompactAfter = defaultCompactAfter
	}
	log, content, err := wal.Open(opts.Disk)
	if err != nil {
		return nil, err
	}
	k := &Keeper{opts: opts, queues: map[string]*waitQueue{}, syncNow: make(chan struct{}, 1)}
	k.ledger = ledger.New(opts.Ledger, opts.Incarnation(), opts.Clock.Wall(), opts.Clock.Boot())
	if err := k.load(content); err != nil {
		return nil, err
	}
	if content.Snapshot == nil {
		if err := k.createLog(log); err != nil {
			return nil, err
		}
	}
	k.committer = wal.NewCommitter(log)
	return k, nil
}

// createLog stores the identity of a new ledger before any record is written.
func (k *Keeper) createLog(log *wal.Log) error {
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
		k.ledger.Replay(&record)
	}
	return nil
}

// Holder returns the name of the ledger, or "" while it is not active.
func (k *Keeper) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// Err returns the reason why the keeper can't serve requests, nil if it can.
func (k *Keeper) Err() error {
	if err := k.committer.Err(); err != nil {
		return err
	}
	if k.Holder() == "" {
		return errors.WithStack(ErrNotReady{Box: k.opts.Box, Reason: "not registered with control"})
	}
	return nil
}

func (k *Keeper) now() ledger.Times {
	return ledger.Times{Wall: k.opts.Clock.Wall(), Boot: k.opts.Clock.Boot()}
}

// queue appends records to the log and returns the position to wait for. The caller
// holds k.mu, so that the log has the same order as the changes of the ledger.
func (k *Keeper) queue(records []*statev1.LedgerRecord) uint64 {
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			// Unreachable: records contain only valid UTF-8, see Reserve.
			k.opts.Logger.Error("encoding a ledger record failed", "error", err)
			continue
		}
		k.committer.Queue(data)
	}
	return k.committer.Position()
}

// apply applies a change to the ledger and returns once it is durable. Requests that wait
// for tokens are served after it, so that the log never contains their reservations
// without the change that freed the tokens.
func (k *Keeper) apply(ctx context.Context, change func(now ledger.Times) ledger.Outcome) error {
	if err := k.Err(); err != nil {
		return err
	}
	k.mu.Lock()
	out := change(k.now())
	position := k.queue(out.Records)
	k.serve(out.Request.GetBudget())
	k.mu.Unlock()
	return k.committer.Wait(ctx, position)
}

// Start records the target of a run before the request is sent to it.
func (k *Keeper) Start(ctx context.Context, r *betweenv1.StartRequest) (*betweenv1.StartResponse, error) {
	resp := &betweenv1.StartResponse{}
	err := k.apply(ctx, func(now ledger.Times) ledger.Outcome {
		opts := ledger.StartOptions{Attempt: r.GetAttempt(), Target: r.GetTarget(), FormerNotRun: r.GetFormerNotRun(), Lost: r.GetLost()}
		out, ok := k.ledger.Start(r.GetGroup(), r.GetKey(), opts, now)
		resp.Accepted, resp.Runs = ok, out.Request.GetRuns()
		return out
	})
	return resp, err
}

// Settle bills or releases an attempt.
func (k *Keeper) Settle(ctx context.Context, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error) {
	resp := &betweenv1.SettleResponse{}
	err := k.apply(ctx, func(now ledger.Times) ledger.Outcome {
		out := k.settle(r, now)
		resp.Request = out.Request
		return out
	})
	return resp, err
}

func (k *Keeper) settle(r *betweenv1.SettleRequest, now ledger.Times) ledger.Outcome {
	if r.GetAttempt() == 0 {
		return k.ledger.ReleaseUnanswered(r.GetGroup(), r.GetKey(), r.GetBox(), now)
	}
	bill := ledger.Bill{Attempt: r.GetAttempt(), Used: r.GetUsed(), NotRun: r.GetNotRun(), Uncertain: r.GetUncertain()}
	return k.ledger.Settle(r.GetGroup(), r.GetKey(), bill, now)
}

// Lookup returns the record of a key, once it is durable.
func (k *Keeper) Lookup(ctx context.Context, r *betweenv1.LookupRequest) (*betweenv1.LookupResponse, error) {
	resp := &betweenv1.LookupResponse{}
	err := k.apply(ctx, func(ledger.Times) ledger.Outcome {
		resp.Request = k.ledger.Requests[ledger.RequestKey(r.GetGroup(), r.GetKey())]
		resp.Found = resp.Request != nil
		return ledger.Outcome{}
	})
	return resp, err
}

// Claim decides for another keeper, which ran a request whose home is here, which of the
// two bills it.
func (k *Keeper) Claim(ctx context.Context, r *betweenv1.ClaimRequest) (*betweenv1.ClaimResponse, error) {
	resp := &betweenv1.ClaimResponse{}
	err := k.apply(ctx, func(now ledger.Times) ledger.Outcome {
		granted, by, out := k.ledger.Claim(r.GetRequest(), r.GetHolder(), now)
		if by == k.ledger.Incarnation {
			by = k.holder
		}
		resp.Granted, resp.ClaimedBy = granted, by
		return out
	})
	return resp, err
}

// Recall returns free tokens to control. If requests wait for tokens here as well, the
// ledger whose name sorts first gets them, so that two ledgers that are both short don't
// keep taking tokens from each other.
func (k *Keeper) Recall(ctx context.Context, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error) {
	resp := &betweenv1.RecallResponse{}
	err := k.apply(ctx, func(now ledger.Times) ledger.Outcome {
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

// Beat records a heartbeat of a box.
func (k *Keeper) Beat(box string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Beat(box, k.opts.Clock.Boot())
}

// Stats are the sizes of a ledger.
type Stats struct {
	Budgets int
	Records int
	// Open is the number of requests that are not settled yet.
	Open int
}

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

// Syncs returns the number of disk syncs so far.
func (k *Keeper) Syncs() uint64 { return k.committer.Syncs() }

// holderName returns the name of the ledger on this disk, whether or not it is active.
func (k *Keeper) holderName() string { return state.Holder(k.opts.Box, k.ledger.Incarnation) }

// Close stops writing to the log. Whatever was answered is durable.
func (k *Keeper) Close() error { return k.committer.Close() }
