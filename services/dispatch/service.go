// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"net/http"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/httpcall"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/structs"
)

// ServiceRequest is a call to a plain service rather than a model. Its Request
// has a zero Bound and an empty Model.
type ServiceRequest struct {
	*Request
	Service string
	Call    engine.ServiceCall
}

// maxServiceTries is the number of servers that a repeatable call is sent to.
const maxServiceTries = 2

// ServeService sends a call to a server of a plain service. A call that is not
// repeatable reaches at most one server. If it also has an idempotency key, that
// holds across all attempts of the caller.
func (d *Dispatcher) ServeService(ctx context.Context, r *ServiceRequest) (*engine.ServiceAnswer, *Refusal) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	need := target.Criteria{Service: r.Service, Interactive: true, DataCentre: d.opts.DataCentre, Exclude: map[string]bool{}}
	if refusal := d.precheckService(need, r); refusal != nil {
		return nil, refusal
	}
	if r.Anonymous {
		return d.callService(ctx, r, need, nil)
	}
	a, refusal := d.reserve(ctx, r.Request, d.keeperCandidates(r.Request))
	if refusal != nil {
		return nil, refusal
	}
	if !a.owned {
		return nil, refuseRepeatedCall(a)
	}
	defer d.addReservations(a.keeper, -1)
	if a.takenOver && !r.Repeatable {
		return nil, &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown,
			Message: "the box that sent this call has died before it was answered: nothing was sent now; ask the service itself whether the call took effect"}
	}
	return d.callService(ctx, r, need, a)
}

func refuseRepeatedCall(a *Admission) *Refusal {
	if a.record.GetUncertain() {
		return serviceFailure(false, false)
	}
	if a.record.GetState() == statev1.RequestState_REQUEST_STATE_DONE {
		return &Refusal{Kind: structs.KindAnswerNotKept, Run: structs.RunYes, Message: "this call was sent before under the same key and its answer is not kept: nothing was sent now"}
	}
	return &Refusal{Kind: structs.KindInProgress, Run: structs.RunUnknown, RetryAfter: shortRetryAfter, Message: "an earlier attempt under this key is under way: ask again after the stated time"}
}

func (d *Dispatcher) precheckService(need target.Criteria, r *ServiceRequest) *Refusal {
	if refusal := d.checkQuarantine(r.Request); refusal != nil {
		return refusal
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates, pool := d.poolOf(need)
	if len(candidates) == 0 {
		return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: keeperRetryAfter, Message: "no server of service " + r.Service + " is listed now: ask again after the stated time"}
	}
	return d.checkQueue(pool, r.Request)
}

// callService tries servers one after another. It moves on to the next server only
// if the call is repeatable or was certainly not sent.
func (d *Dispatcher) callService(ctx context.Context, r *ServiceRequest, need target.Criteria, a *Admission) (*engine.ServiceAnswer, *Refusal) {
	at := &attempt{d: d, admission: a}
	// mayHaveRun is set once a server has failed after the call was sent to it.
	mayHaveRun := false
	refuse := func(refusal *Refusal) *Refusal {
		if mayHaveRun {
			refusal.Run = structs.RunUnknown
		}
		return at.settleService(ctx, refusal)
	}
	for try := 1; ; try++ {
		s, refusal := d.acquire(ctx, queue.Item{Organisation: r.Organisation, Interactive: true, Deadline: d.opts.Clock.Boot() + time.Until(r.Deadline)}, need, func(int) error { return nil })
		if refusal != nil {
			return nil, refuse(refusal)
		}
		if refusal := d.checkQuarantine(r.Request); refusal != nil {
			d.release(s, true)
			return nil, refuse(refusal)
		}
		if a != nil {
			if accepted, err := at.start(ctx, s.target.Name); err != nil || !accepted {
				d.release(s, true)
				return nil, refuse(&Refusal{Kind: structs.KindBudgetUnreachable, Run: structs.RunNo, RetryAfter: keeperRetryAfter, Message: "the start of this call could not be recorded, so it was not sent: ask again after the stated time"})
			}
		}
		d.opts.Recorder.Record("service called", r.ID, s.target.Name)
		call := r.Call
		call.Timeout = time.Until(r.Deadline)
		answer, err := d.opts.Engines.CallService(ctx, s.address, call)
		// The memory of this box says nothing about the server.
		d.release(s, err == nil || httpcall.IsErrNoMemory(err))
		if err == nil {
			at.settleService(ctx, nil)
			if answer.Code < http.StatusInternalServerError {
				d.opts.Quarantine.RecordSuccess(quarantineContent(r.Request))
			}
			return answer, nil
		}
		notSent := engine.IsErrNotSent(err)
		if !notSent && ctx.Err() == nil {
			d.reportIfEnded(r.Request, s, true)
		}
		again := try < maxServiceTries && (notSent || r.Repeatable) && ctx.Err() == nil && d.takeRetry(s.pool)
		if !again {
			return nil, refuse(serviceFailure(notSent && !mayHaveRun, r.Repeatable))
		}
		mayHaveRun = mayHaveRun || !notSent
		need.Exclude[s.target.Name] = true
	}
}

func serviceFailure(notSent, repeatable bool) *Refusal {
	if notSent {
		return &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunNo, RetryAfter: targetRetryAfter, Message: "no server took the call: ask again after the stated time"}
	}
	refusal := &Refusal{Kind: structs.KindTargetFailed, Run: structs.RunUnknown, Message: "the server closed the connection without an answer: ask the service itself whether the call took effect before sending it under a new key"}
	if repeatable {
		refusal.RetryAfter = targetRetryAfter
		refusal.Message = "the server closed the connection without an answer: ask again after the stated time"
	}
	return refusal
}

// settleService settles the record of a call with a key. A refusal with Run set to
// RunNo is recorded as a call that was not sent.
func (at *attempt) settleService(ctx context.Context, refusal *Refusal) *Refusal {
	if at.admission != nil {
		at.sendBill(ctx, ledger.Bill{NotRun: refusal != nil && refusal.Run == structs.RunNo, Uncertain: refusal != nil})
	}
	return refusal
}
