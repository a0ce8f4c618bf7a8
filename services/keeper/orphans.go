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
	// maxOrphans bounds the orphans of one tick.
	maxOrphans = 64
	// recoverTimeout bounds one question to a target.
	recoverTimeout = 2 * time.Second
	// lostGrace is how long after its deadline a run that no target tells
	// about is billed in full.
	lostGrace = time.Minute
)

// AnonymousPrefix starts the keys of requests whose caller gave none; nobody
// can come back for their answers.
const AnonymousPrefix = "anonymous:"

// seeToOrphans ends the requests of boxes that have died, unless a retry takes
// them over before: what was never sent is released, what was sent is billed
// by what its target reports.
func (k *Keeper) seeToOrphans(ctx context.Context) {
	k.mu.Lock()
	orphans := k.ledger.Orphans(k.opts.Clock.Boot(), maxOrphans)
	k.mu.Unlock()
	for _, r := range orphans {
		if r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED {
			k.finish(ctx, r, ledger.Bill{NotRun: true}, "its box died before it was sent")
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
	case err != nil && late > lostGrace.Milliseconds():
		k.finish(context.WithoutCancel(ctx), r, ledger.Bill{Used: r.GetBound(), Uncertain: true}, "its target can't be asked, billed in full")
	case err != nil:
		k.opts.Logger.Debug("a target can't be asked about an orphan", "target", r.GetTarget(), "error", err)
	case found.Absent:
		k.finish(ctx, r, ledger.Bill{NotRun: true}, "its target never got it")
	case found.Ended:
		k.finish(ctx, r, ledger.Bill{Used: found.Used}, "billed by what its target reports")
	}
}

// finish settles an orphan under the attempt that was looked at, so that a
// retry that has taken over meanwhile is left alone.
func (k *Keeper) finish(ctx context.Context, r *statev1.RequestRecord, bill ledger.Bill, reason string) {
	bill.Attempt = r.GetAttempt()
	var out ledger.Outcome
	err := k.step(ctx, func(now ledger.Times) ledger.Outcome {
		out = k.ledger.Settle(r.GetGroup(), r.GetKey(), bill, now)
		return out
	})
	if err == nil && out.Status == betweenv1.ReserveStatus_RESERVE_STATUS_DONE {
		k.opts.Recorder.Record("orphan settled", r.GetKey(), reason)
	}
}
