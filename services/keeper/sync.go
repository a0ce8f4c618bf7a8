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
	// maxReports is the maximum number of rows in one report.
	maxReports = 2048
	// syncTimeout bounds one call to control.
	syncTimeout = 3 * time.Second
	// urgentInterval is the time between reports while requests wait for tokens.
	urgentInterval = 20 * time.Millisecond

	registerMinBackoff = 50 * time.Millisecond
	registerMaxBackoff = 2 * time.Second
)

// TriggerSync triggers the next report immediately.
func (k *Keeper) TriggerSync() {
	select {
	case k.syncNow <- struct{}{}:
	default:
	}
}

// tickInterval is the time between calls of Tick.
const tickInterval = time.Second

// Run registers the ledger, then reports to control and calls Tick periodically until the
// context ends. It returns an error if control refuses the ledger for good.
func (k *Keeper) Run(ctx context.Context) error {
	go periodic.Run(ctx, tickInterval, k.Tick)
	if err := k.register(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		pause := k.opts.SyncInterval
		if k.Sync(ctx) {
			pause = urgentInterval
		}
		k.waitForSync(ctx, pause)
	}
	return nil
}

// waitForSync waits until TriggerSync was called, d has passed or the context ends. Calls of
// TriggerSync before the wait are combined, so that many waiting requests share one report.
func (k *Keeper) waitForSync(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.syncNow:
	case <-timer.C:
	}
}

// register retries until control has answered. A ledger that was declared lost is never
// served. A ledger that was registered before serves in the meantime, see
// serveUnregistered.
func (k *Keeper) register(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = registerMinBackoff, registerMaxBackoff
	for {
		err := k.registerOnce(ctx)
		if err == nil || connect.CodeOf(err) == connect.CodeInvalidArgument {
			return err
		}
		k.serveUnregistered()
		k.opts.Logger.Info("registering with control failed, will retry", "error", err)
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
	return k.activate(resp)
}

// serveUnregistered activates a ledger that was registered before, so that a restart while
// control is unreachable does not take the data centre out of service. This is safe: the
// ledger keeps its allotments until control has recorded another ledger for the box, and
// that one starts without them.
func (k *Keeper) serveUnregistered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != "" || !k.ledger.Registered {
		return
	}
	k.holder = k.holderName()
	k.opts.Recorder.Record("keeper serves while control is cut off", "", k.holder)
}

// activate stores durably that control has registered the ledger, and activates it.
func (k *Keeper) activate(resp *betweenv1.RegisterResponse) error {
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

// snapshot replaces the log by a snapshot of the ledger. The caller holds k.mu.
func (k *Keeper) snapshot() error {
	data, err := proto.Marshal(k.ledger.Snapshot())
	if err != nil {
		return errors.WithStack(err)
	}
	return k.committer.Compact(data)
}

// Sync reports changes to control and applies the allotments in its response. It returns
// true if requests still wait for tokens that control may allot.
func (k *Keeper) Sync(ctx context.Context) bool {
	// A report without rows still serves as a heartbeat, and fetches tokens that
	// control has allotted without a request.
	reports, usages := k.reports()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	resp, err := k.sendReport(ctx, reports, usages)
	if err != nil {
		k.opts.Logger.Debug("reporting to control failed", "error", err)
		k.mu.Lock()
		k.ledger.MarkDirty(reports, usages)
		k.refuseAllUncovered(reports)
		k.mu.Unlock()
		return false
	}
	k.applyAllotments(resp)
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queues) > 0
}

func (k *Keeper) reports() ([]*statev1.BudgetReport, []*statev1.GroupUsage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for budget := range k.queues {
		k.ledger.MarkBudgetDirty(budget)
	}
	return k.ledger.Reports(maxReports, k.opts.Clock.Boot())
}

// sendReport sends a report once everything that it reports is durable.
func (k *Keeper) sendReport(ctx context.Context, reports []*statev1.BudgetReport, usages []*statev1.GroupUsage) (*betweenv1.SyncResponse, error) {
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

func (k *Keeper) refuseAllUncovered(reports []*statev1.BudgetReport) {
	for _, r := range reports {
		k.refuseUncovered(r.GetBudget())
	}
}

func (k *Keeper) applyAllotments(resp *betweenv1.SyncResponse) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, row := range resp.GetRows() {
		k.queue(k.ledger.SetAllotted(row.GetBudget(), row.GetAllotted()))
		if q := k.queues[row.GetBudget()]; q != nil {
			q.asked, q.reached = true, true
			q.remaining = row.GetGranted() - min(row.GetGranted(), row.GetGone())
		}
		k.serve(row.GetBudget())
	}
}

// Tick does the periodic work: it removes expired records, compacts the log, settles
// orphans and claims keys at their homes.
func (k *Keeper) Tick(ctx context.Context) {
	if k.Err() != nil {
		return
	}
	k.mu.Lock()
	k.queue(k.ledger.Expire(k.now()))
	k.mu.Unlock()
	k.compact()
	k.settleOrphans(ctx)
	k.claimPending(ctx)
}

func (k *Keeper) compact() {
	if k.committer.Size() < k.opts.CompactAfter {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.snapshot(); err != nil {
		k.opts.Logger.Error("compacting the ledger failed", "error", err)
	}
}

// Stop returns the free tokens to control. Reservations of other boxes stay, and are
// settled once this box is running again.
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

// claimPending sends claims for keys that ran here while their home keeper was
// unreachable.
func (k *Keeper) claimPending(ctx context.Context) {
	k.mu.Lock()
	pending := k.ledger.PendingClaims(maxClaims)
	k.mu.Unlock()
	for _, r := range pending {
		k.claimOne(ctx, r)
	}
}

func (k *Keeper) claimOne(ctx context.Context, r *statev1.RequestRecord) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := k.opts.HomeKeepers.Claim(ctx, r.GetForeignHome(), &betweenv1.ClaimRequest{
		Holder:  k.Holder(),
		Request: &statev1.RequestRecord{Group: r.GetGroup(), Key: r.GetKey()},
	})
	if err != nil {
		return
	}
	_ = k.apply(ctx, func(now ledger.Times) ledger.Outcome {
		return k.ledger.ApplyClaimAnswer(r.GetGroup(), r.GetKey(), resp.GetGranted(), resp.GetClaimedBy(), now)
	})
	k.opts.Recorder.Record("claimed at home", r.GetKey(), claimDetail(r, resp))
}

// maxClaims is the maximum number of claims per tick.
const maxClaims = 64

func claimDetail(r *statev1.RequestRecord, resp *betweenv1.ClaimResponse) string {
	if resp.GetGranted() {
		return "keeper " + r.GetForeignHome() + " leaves the bill here"
	}
	return "billed by " + resp.GetClaimedBy() + ", written off here"
}
