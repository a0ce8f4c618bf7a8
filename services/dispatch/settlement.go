// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/structs"
)

const (
	cancelTimeout = 2 * time.Second
	// settleTimeout is how long a request waits for its settlement, which goes on in
	// the background after it.
	settleTimeout = time.Second
	// targetRetryAfter is the Retry-After for callers after a target failed.
	targetRetryAfter = 2 * time.Second
)

// settleUnserved settles a request that was refused before its next start. Earlier runs
// that failed are billed.
func (at *attempt) settleUnserved(ctx context.Context, refusal *Refusal) (Result, *Refusal) {
	if at.lostTokens == 0 {
		at.sendBill(ctx, ledger.Bill{NotRun: true})
		return Result{}, refusal
	}
	record := at.sendBill(ctx, ledger.Bill{Used: at.lostTokens})
	refusal.Run, refusal.Billed = structs.RunYes, record.GetBilled()
	return Result{}, refusal
}

// recordLostRun cancels a failed run and records how many tokens it may have used: the
// number that the engine reports, otherwise the whole bound.
func (at *attempt) recordLostRun(ctx context.Context, out runOutcome, s *slot) {
	at.lostTokens = 0
	if !out.notRun {
		at.lostTokens, _ = at.cancelRun(ctx, out)
	}
	at.record("run lost", fmt.Sprintf("%s, at most %d tokens", s.target.Name, at.lostTokens))
}

// settle bills the request after its last run and returns its result.
func (at *attempt) settle(ctx context.Context, out runOutcome) (Result, *Refusal) {
	switch {
	case out.startRefused:
		return at.settleNotStarted(ctx)
	case out.err == nil:
		return at.settleComplete(ctx, out), nil
	case out.notRun && at.lostTokens == 0:
		at.sendBill(ctx, ledger.Bill{NotRun: true})
		return Result{}, &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunNo, RetryAfter: targetRetryAfter,
			Message: "no target took the request: ask again after the stated time"}
	default:
		return at.settleFailed(ctx, out)
	}
}

// settleNotStarted settles a request that was not sent since the keeper did not record
// its start. Earlier runs that failed are billed.
func (at *attempt) settleNotStarted(ctx context.Context) (Result, *Refusal) {
	if at.lostTokens > 0 {
		record := at.sendBill(ctx, ledger.Bill{Used: at.lostTokens})
		return Result{}, &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunYes, Billed: record.GetBilled(),
			Message: "the target failed while it ran the request, and the budget has no room for another run: take a new key to run it anew"}
	}
	record := at.sendBill(ctx, ledger.Bill{NotRun: true})
	if record != nil && record.GetAttempt() != at.admission.record.GetAttempt() {
		return Result{}, at.takenOverRefusal()
	}
	return Result{}, &Refusal{Kind: structs.KindBudgetUnreachable, Run: structs.RunNo, RetryAfter: targetRetryAfter,
		Message: "the keeper of this request could not record its start, so it was not sent: ask again after the stated time"}
}

func (at *attempt) settleComplete(ctx context.Context, out runOutcome) Result {
	at.d.opts.Quarantine.RecordSuccess(quarantineContent(at.admission.Request))
	record := at.sendBill(ctx, ledger.Bill{Used: out.usage.Total()})
	result := Result{Usage: out.usage, Billed: min(out.usage.Total(), at.admission.Request.Bound), Finish: out.finish, Target: out.target, Replayed: out.replayed}
	if record != nil {
		result.Billed, result.WrittenOff = record.GetBilled(), record.GetWrittenOff()
	}
	return result
}

// settleFailed settles a request whose answer is incomplete. The run is cancelled and
// billed as the engine reports, or in full if the engine can't be asked.
func (at *attempt) settleFailed(ctx context.Context, out runOutcome) (Result, *Refusal) {
	if ctx.Err() == context.Canceled {
		// This box is shutting down. The box that takes over the request settles it.
		return Result{}, at.takenOverRefusal()
	}
	used, run := at.cancelRun(ctx, out)
	if run == structs.RunNo && at.lostTokens == 0 {
		at.sendBill(ctx, ledger.Bill{NotRun: true})
		if ctx.Err() == context.DeadlineExceeded {
			return Result{}, deadlineRefusal()
		}
		return Result{}, &Refusal{Kind: structs.KindTargetFailed, Run: run, RetryAfter: targetRetryAfter, Message: "the target failed before it ran the request: ask again after the stated time"}
	}
	record := at.sendBill(ctx, ledger.Bill{Used: used, Uncertain: run == structs.RunUnknown})
	refusal := &Refusal{Kind: structs.KindTargetFailed, Run: run, Billed: min(used, at.admission.Request.Bound),
		Message: "the target failed while it ran the request: the answer is lost; take a new key to run it anew"}
	switch {
	case errors.Cause(out.err) == errCallerDisconnected:
		refusal.Kind, refusal.Message = structs.KindCancelled, "the caller left, the run was ended"
	case ctx.Err() == context.DeadlineExceeded:
		refusal.Kind, refusal.Message = structs.KindDeadlineCannotBeMet, "the deadline passed while the request ran, the run was ended: take a new key and a later deadline"
	case out.sentToCaller:
		refusal.Kind, refusal.Message = structs.KindAnswerTruncated, "the answer ends here and is not whole, since its target failed: take a new key to run it anew"
	}
	if record != nil {
		refusal.Billed = record.GetBilled()
	}
	return Result{}, refusal
}

// cancelRun cancels a run at its target. It returns the tokens used and whether the
// request was run. If the target can't be asked, the tokens used are taken to be the
// whole bound.
func (at *attempt) cancelRun(ctx context.Context, out runOutcome) (uint64, structs.Run) {
	run := structs.RunUnknown
	if out.lastEvent > 0 {
		run = structs.RunYes
	}
	address := at.d.TargetAddress(out.target)
	if address == "" {
		return at.admission.Request.Bound, run
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	state, err := at.d.opts.Engines.Cancel(ctx, address, at.streamID())
	switch {
	case err != nil:
		return at.admission.Request.Bound, run
	case state.Known:
		return state.PromptTokens + state.CompletionTokens, structs.RunYes
	case out.lastEvent > 0:
		// The target has lost a run whose events it had already sent.
		return at.admission.Request.Bound, run
	default:
		return 0, structs.RunNo
	}
}

func (at *attempt) takenOverRefusal() *Refusal {
	return &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: keeperRetryAfter,
		Message: "another box has taken this request over: ask again with the same key after the stated time"}
}

// sendBill settles the request at its keeper and returns the settled record. If the
// keeper can't be reached it returns nil and retries in the background.
func (at *attempt) sendBill(ctx context.Context, bill ledger.Bill) *statev1.RequestRecord {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	record := at.admission.record
	resp, err := at.d.settler.settle(ctx, at.admission.keeper, &betweenv1.SettleRequest{
		Group:     record.GetGroup(),
		Key:       record.GetKey(),
		Attempt:   record.GetAttempt(),
		Used:      bill.Used,
		NotRun:    bill.NotRun,
		Uncertain: bill.Uncertain,
	})
	if err != nil {
		at.record("settling", "the keeper can't be reached yet")
		return nil
	}
	at.record("settled", fmt.Sprintf("%d tokens billed at keeper %s", resp.GetRequest().GetBilled(), at.admission.keeper))
	return resp.GetRequest()
}
