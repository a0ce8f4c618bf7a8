// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package keeper

import (
	"context"
	"strings"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
)

const (
	// maxOrphans is the maximum number of orphans handled per tick.
	maxOrphans = 64
	// recoverTimeout bounds one query to a target.
	recoverTimeout = 2 * time.Second
	// unreachableGrace is how long after its deadline a request whose target can't be
	// asked is billed in full.
	unreachableGrace = time.Minute
)

// AnonymousPrefix is the prefix of keys that are generated for requests without an
// idempotency key. No caller can return for the answer to such a request.
const AnonymousPrefix = "anonymous:"

// settleOrphans settles the requests of boxes that have died, unless a retry takes them
// over first. Requests that were never sent are released. The others are billed as their
// target reports.
func (k *Keeper) settleOrphans(ctx context.Context) {
	k.mu.Lock()
	orphans := k.ledger.Orphans(k.opts.Clock.Boot(), maxOrphans)
	k.mu.Unlock()
	for _, r := range orphans {
		if r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED {
			k.settleOrphan(ctx, r, ledger.Bill{NotRun: true}, "its box died before it was sent")
			continue
		}
		k.recover(ctx, r)
	}
}

func (k *Keeper) recover(ctx context.Context, r *statev1.RequestRecord) {
	late := k.opts.Clock.Wall().UnixMilli() - r.GetDeadline()
	abandon := late > 0 || strings.HasPrefix(r.GetKey(), AnonymousPrefix)
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	found, err := k.opts.Recoverer.Recover(ctx, r, abandon)
	switch {
	case err != nil && late > unreachableGrace.Milliseconds():
		k.settleOrphan(context.WithoutCancel(ctx), r, ledger.Bill{Used: r.GetBound(), Uncertain: true}, "its target can't be asked, billed in full")
	case err != nil:
		k.opts.Logger.Debug("querying the target of an orphaned request failed", "target", r.GetTarget(), "error", err)
	case found.Absent:
		k.settleOrphan(ctx, r, ledger.Bill{NotRun: true}, "its target never got it")
	case found.Ended:
		k.settleOrphan(ctx, r, ledger.Bill{Used: found.Used}, "billed by what its target reports")
	}
}

// settleOrphan settles the attempt that was examined, so that a retry that has taken over
// in the meantime is not affected.
func (k *Keeper) settleOrphan(ctx context.Context, r *statev1.RequestRecord, bill ledger.Bill, reason string) {
	bill.Attempt = r.GetAttempt()
	var out ledger.Outcome
	err := k.apply(ctx, func(now ledger.Times) ledger.Outcome {
		out = k.ledger.Settle(r.GetGroup(), r.GetKey(), bill, now)
		return out
	})
	if err == nil && out.Status == betweenv1.ReserveStatus_RESERVE_STATUS_DONE {
		k.opts.Recorder.Record("orphan settled", r.GetKey(), reason)
	}
}
