// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package keeper

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// maxReports bounds the rows of one report.
	maxReports = 2048
	// syncTimeout bounds one exchange with control.
	syncTimeout = 3 * time.Second
	// urgentPause is the time between reports while requests wait for tokens.
	urgentPause = 20 * time.Millisecond

	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Kick makes the next report due at once.
func (k *Keeper) Kick() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// tickInterval is the time between looks at what is due.
const tickInterval = time.Second

// Run registers the ledger, reports, and does what is due until the context
// ends.
func (k *Keeper) Run(ctx context.Context) error {
	go periodic.Run(ctx, tickInterval, k.Tick)
	if err := k.register(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		pause := k.opts.SyncInterval
		if k.Sync(ctx) {
			pause = urgentPause
		}
		k.pause(ctx, pause)
	}
	return nil
}

// pause waits for a kick or the next turn; kicks are gathered for a moment so
// that many waiting requests share one report.
func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.kick:
	case <-timer.C:
	}
}

// register repeats until control has answered; a ledger that was declared lost
// is never served. A ledger that has allotments serves meanwhile, see
// serveUnregistered.
func (k *Keeper) register(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = retryFirst, retryMost
	for {
		err := k.registerOnce(ctx)
		if err == nil || connect.CodeOf(err) == connect.CodeInvalidArgument {
			return err
		}
		k.serveUnregistered()
		k.opts.Logger.Info("control has not registered this keeper yet", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (k *Keeper) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	resp, err := k.opts.Control.Register(ctx, &betweenv1.RegisterRequest{Register: &statev1.RegisterKeeper{
		Box:         k.opts.Box,
		DataCentre:  k.opts.DataCentre,
		Address:     k.opts.Address,
		Incarnation: k.ledger.Incarnation,
	}})
	if err != nil {
		return err
	}
	return k.enforce(resp)
}

// serveUnregistered lets a ledger work that was in force before, so that a
// restart while control is cut off does not silence the data centre. What it
// was allotted is its own until control has recorded another ledger for the
// box, and that one starts without it.
func (k *Keeper) serveUnregistered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != "" || !k.ledger.Registered {
		return
	}
	k.holder = k.holderOf()
	k.opts.Recorder.Record("keeper serves while control is cut off", "", k.holder)
}

// enforce notes for good that control has brought the ledger into force.
func (k *Keeper) enforce(resp *betweenv1.RegisterResponse) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ledger.Registered {
		k.ledger.Registered = true
		k.ledger.Blind = resp.GetLostBefore()
		if err := k.snapshot(); err != nil {
			return err
		}
	}
	k.holder = resp.GetHolder()
	k.opts.Recorder.Record("keeper in force", "", k.holder)
	return nil
}

// snapshot replaces the log by the ledger as it is; the caller holds the lock.
func (k *Keeper) snapshot() error {
	data, err := proto.Marshal(k.ledger.Snapshot())
	if err != nil {
		return errors.WithStack(err)
	}
	return k.committer.Compact(data)
}

// Sync reports what has changed and takes the allotments in. It returns true
// when requests wait for tokens that may still come.
func (k *Keeper) Sync(ctx context.Context) bool {
	// A report without rows is a sign of life, and fetches tokens that control
	// has granted unasked.
	reports, usages := k.reports()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	resp, err := k.exchange(ctx, reports, usages)
	if err != nil {
		k.opts.Logger.Debug("a report got no answer", "error", err)
		k.mu.Lock()
		k.ledger.MarkDirty(reports, usages)
		k.unreached(reports)
		k.mu.Unlock()
		return false
	}
	k.takeRows(resp)
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queues) > 0
}

func (k *Keeper) reports() ([]*statev1.BudgetReport, []*statev1.GroupUsage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for budget := range k.queues {
		k.ledger.Touch(budget)
	}
	return k.ledger.Reports(maxReports, k.opts.Clock.Boot())
}

// exchange reports only what lasts.
func (k *Keeper) exchange(ctx context.Context, reports []*statev1.BudgetReport, usages []*statev1.GroupUsage) (*betweenv1.SyncResponse, error) {
	if err := k.committer.Wait(ctx, k.committer.Position()); err != nil {
		return nil, err
	}
	return k.opts.Control.Sync(ctx, &betweenv1.SyncRequest{Sync: &statev1.Sync{Holder: k.Holder(), Reports: reports, Usages: usages, Leaving: k.isStopping()}})
}

func (k *Keeper) isStopping() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopping
}

func (k *Keeper) unreached(reports []*statev1.BudgetReport) {
	for _, r := range reports {
		k.dropUnreachable(r.GetBudget())
	}
}

func (k *Keeper) takeRows(resp *betweenv1.SyncResponse) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, row := range resp.GetRows() {
		k.queue(k.ledger.Allot(row.GetBudget(), row.GetAllotted()))
		if q := k.queues[row.GetBudget()]; q != nil {
			q.asked, q.reached = true, true
			q.remaining = row.GetGranted() - min(row.GetGranted(), row.GetGone())
		}
		k.serve(row.GetBudget())
	}
}

// Tick does what time makes due: old records leave, the log is compacted,
// orphans are seen to and keys claimed at their homes.
func (k *Keeper) Tick(ctx context.Context) {
	if k.Err() != nil {
		return
	}
	k.mu.Lock()
	k.queue(k.ledger.Expire(k.times()))
	k.mu.Unlock()
	k.compact()
	k.seeToOrphans(ctx)
	k.claimPending(ctx)
}

func (k *Keeper) compact() {
	if k.committer.Size() < k.opts.CompactAfter {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.snapshot(); err != nil {
		k.opts.Logger.Error("the ledger can't be compacted", "error", err)
	}
}

// Stop hands free tokens back to control. Reservations of other boxes stay,
// and are settled when the box is back.
func (k *Keeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.serveAll()
	for name, b := range k.ledger.Budgets {
		k.queue(k.ledger.Return(name, b.Free()))
	}
	k.mu.Unlock()
	k.Sync(ctx)
}

// claimPending asks the homes of keys that ran here while they were cut off.
func (k *Keeper) claimPending(ctx context.Context) {
	k.mu.Lock()
	pending := k.ledger.Pending(maxClaims)
	k.mu.Unlock()
	for _, r := range pending {
		k.claimOne(ctx, r)
	}
}

func (k *Keeper) claimOne(ctx context.Context, r *statev1.RequestRecord) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := k.opts.Homes.Claim(ctx, r.GetForeignHome(), &betweenv1.ClaimRequest{
		Holder:  k.Holder(),
		Request: &statev1.RequestRecord{Group: r.GetGroup(), Key: r.GetKey()},
	})
	if err != nil {
		return
	}
	_ = k.step(ctx, func(now ledger.Times) ledger.Outcome {
		return k.ledger.Claimed(r.GetGroup(), r.GetKey(), resp.GetGranted(), resp.GetClaimedBy(), now)
	})
	k.opts.Recorder.Record("claimed at home", r.GetKey(), claimDetail(r, resp))
}

// maxClaims bounds the claims of one tick.
const maxClaims = 64

func claimDetail(r *statev1.RequestRecord, resp *betweenv1.ClaimResponse) string {
	if resp.GetGranted() {
		return "keeper " + r.GetForeignHome() + " leaves the bill here"
	}
	return "billed by " + resp.GetClaimedBy() + ", written off here"
}
