// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"fmt"
	"strings"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/structs"
)

const (
	// maxBudgetWait is how long a request waits for tokens that other requests have
	// reserved and may return unused.
	maxBudgetWait = 30 * time.Second
	// keeperTimeout bounds a call to a keeper, in addition to any wait for tokens.
	keeperTimeout = 1500 * time.Millisecond
	// keeperRetryAfter is the Retry-After for callers while the home keeper of their
	// key is unreachable.
	keeperRetryAfter = 2 * time.Second
	// shortRetryAfter is the Retry-After for callers where the reason passes soon, or
	// does not hold at another box.
	shortRetryAfter = time.Second
)

// Admission is a request that has reserved its tokens, or that an earlier attempt
// under the same key is answering or has answered.
type Admission struct {
	Request *Request
	// keeper is the box that holds the record.
	keeper string
	record *statev1.RequestRecord
	// owned is set if this box runs the attempt. Otherwise it only forwards the answer.
	owned bool
	// takenOver is set if the attempt was taken over from a box that died.
	takenOver bool
}

// Admit checks a request and reserves its tokens. It does not wait for a target, but
// for up to maxBudgetWait for tokens.
func (d *Dispatcher) Admit(ctx context.Context, r *Request) (*Admission, *Refusal) {
	if refusal := d.precheck(r); refusal != nil {
		return nil, refusal
	}
	candidates := d.keeperCandidates(r)
	if len(candidates) == 0 {
		return nil, &Refusal{Kind: structs.KindNotReady, Run: structs.RunNo, RetryAfter: keeperRetryAfter, Message: "no keeper is known yet: ask again shortly"}
	}
	if a, refusal := d.reserveAtFormerHome(ctx, r); a != nil || refusal != nil {
		return a, refusal
	}
	return d.reserve(ctx, r, candidates)
}

func (d *Dispatcher) keeperCandidates(r *Request) []*statev1.KeeperMember {
	keepers := d.opts.Config.Keepers()
	if r.Anonymous {
		return rankByDistance(keepers, d.opts.Name, d.opts.DataCentre, r.Key)
	}
	return rankKeepers(keepers, r.Group.GetName(), r.Key)
}

// reserveAtFormerHome continues a request whose record is at the keeper that was home
// to the key before the current home joined. It returns nil and nil if there is none,
// or if that keeper can't be reached and the request is repeatable.
func (d *Dispatcher) reserveAtFormerHome(ctx context.Context, r *Request) (*Admission, *Refusal) {
	if r.Anonymous {
		return nil, nil
	}
	since := d.opts.Clock.Wall().Add(-d.opts.KeyWindow).UnixMilli()
	former := formerHome(d.opts.Config.Keepers(), r.Group.GetName(), r.Key, since)
	if former == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	resp, err := d.opts.Keepers.Lookup(ctx, former.GetBox(), &betweenv1.LookupRequest{Group: r.Group.GetName(), Key: r.Key})
	if err != nil {
		if r.Repeatable {
			return nil, nil
		}
		return nil, d.outcomeUnknown(former.GetBox())
	}
	if !resp.GetFound() || resp.GetRequest().GetState() == statev1.RequestState_REQUEST_STATE_RELEASED {
		return nil, nil
	}
	return d.reserve(ctx, r, []*statev1.KeeperMember{former})
}

// reserve asks the keepers in order. Only a repeatable or anonymous request goes on to
// the next keeper: its first attempt may have been recorded at a home that is now
// unreachable. The two keepers reconcile once they can reach each other, so that the
// request is billed once.
func (d *Dispatcher) reserve(ctx context.Context, r *Request, keepers []*statev1.KeeperMember) (*Admission, *Refusal) {
	home := keepers[0].GetBox()
	var refusal *Refusal
	for _, k := range keepers {
		foreign := ""
		if k.GetBox() != home && !r.Anonymous {
			foreign = home
		}
		resp, err := d.reserveAt(ctx, r, k.GetBox(), foreign)
		if err == nil && resp.GetUnreachable() && (r.Repeatable || r.Anonymous) {
			// Another keeper may hold tokens that this one can't obtain.
			refusal = d.refusal(r, k.GetBox(), resp)
			continue
		}
		if err == nil {
			return d.admitted(ctx, r, k.GetBox(), resp)
		}
		d.opts.Recorder.Record("keeper can't be reached", r.ID, k.GetBox())
		d.opts.Logger.Warn("a keeper can't be reached", "keeper", k.GetBox(), "request", r.ID, "error", err)
		d.settler.settleInBackground(k.GetBox(), &betweenv1.SettleRequest{Group: r.Group.GetName(), Key: r.Key, NotRun: true, Box: d.opts.Box})
		if !r.Repeatable && !r.Anonymous {
			return nil, d.outcomeUnknown(home)
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, &Refusal{Kind: structs.KindBudgetUnreachable, Run: structs.RunNo, RetryAfter: keeperRetryAfter,
		Message: "no keeper of budgets can be reached: ask again after the stated time"}
}

// reserveAt asks a keeper without a wait first, so that an unreachable one is detected
// soon. Only if tokens are short does it ask again, with a wait for them.
func (d *Dispatcher) reserveAt(ctx context.Context, r *Request, keeper, foreign string) (*betweenv1.ReserveResponse, error) {
	resp, err := d.reserveWithWait(ctx, r, keeper, foreign, 0)
	if err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED {
		return resp, err
	}
	return d.reserveWithWait(ctx, r, keeper, foreign, max(time.Millisecond, min(maxBudgetWait, r.Deadline.Sub(d.opts.Clock.Wall()))))
}

func (d *Dispatcher) reserveWithWait(ctx context.Context, r *Request, keeper, foreign string, wait time.Duration) (*betweenv1.ReserveResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+keeperTimeout)
	defer cancel()
	return d.opts.Keepers.Reserve(ctx, keeper, &betweenv1.ReserveRequest{
		Box:  d.opts.Box,
		Wait: wait.Milliseconds(),
		Request: &statev1.RequestRecord{
			Group:       r.Group.GetName(),
			Key:         r.Key,
			Budget:      r.Group.GetBudget(),
			Bound:       r.Bound,
			Repeatable:  r.Repeatable,
			BodyDigest:  r.Digest,
			Model:       r.Model,
			Deadline:    r.Deadline.UnixMilli(),
			Priority:    r.Priority,
			ForeignHome: foreign,
		},
	})
}

// admitted converts a keeper's response into an admission or a refusal.
func (d *Dispatcher) admitted(ctx context.Context, r *Request, keeper string, resp *betweenv1.ReserveResponse) (*Admission, *Refusal) {
	a := &Admission{Request: r, keeper: keeper, record: resp.GetRequest()}
	switch resp.GetStatus() {
	case betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED:
		a.owned = true
	case betweenv1.ReserveStatus_RESERVE_STATUS_TAKEN_OVER:
		a.owned, a.takenOver = true, true
	case betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, betweenv1.ReserveStatus_RESERVE_STATUS_DONE:
		return d.followClaim(ctx, a)
	default:
		return nil, d.refusal(r, keeper, resp)
	}
	d.addReservations(keeper, 1)
	d.opts.Recorder.Record("reserved", r.ID, fmt.Sprintf("%d tokens at keeper %s, attempt %d", a.record.GetBound(), keeper, a.record.GetAttempt()))
	return a, nil
}

// followClaim looks up the record at the keeper that has claimed the key, if another
// one has, since that keeper bills the request.
func (d *Dispatcher) followClaim(ctx context.Context, a *Admission) (*Admission, *Refusal) {
	claimed := a.record.GetClaimedBy()
	if claimed == "" {
		return a, nil
	}
	box, _, _ := strings.Cut(claimed, "@")
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	resp, err := d.opts.Keepers.Lookup(ctx, box, &betweenv1.LookupRequest{Group: a.record.GetGroup(), Key: a.record.GetKey()})
	if err != nil || !resp.GetFound() {
		return nil, d.outcomeUnknown(box)
	}
	a.keeper, a.record = box, resp.GetRequest()
	if a.record.GetBodyDigest() != a.Request.Digest {
		return nil, keyConflict()
	}
	return a, nil
}

func (d *Dispatcher) refusal(r *Request, keeper string, resp *betweenv1.ReserveResponse) *Refusal {
	retry := time.Duration(resp.GetRetryAfter()) * time.Millisecond
	switch resp.GetStatus() {
	case betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED:
		if resp.GetUnreachable() {
			return &Refusal{Kind: structs.KindBudgetUnreachable, Run: structs.RunNo, RetryAfter: retry,
				Message: fmt.Sprintf("budget %s has %d tokens free in reach and the request needs up to %d; the rest can't be reached now: ask again after the stated time", r.Group.GetBudget(), resp.GetFree(), r.Bound)}
		}
		return &Refusal{Kind: structs.KindBudgetExhausted, Run: structs.RunNo, RetryAfter: retry,
			Message: fmt.Sprintf("the request needs up to %d tokens, more than is left of budget %s: lower max_tokens, or ask an operator to grant more", r.Bound, r.Group.GetBudget())}
	case betweenv1.ReserveStatus_RESERVE_STATUS_CONFLICT:
		return keyConflict()
	case betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED:
		return &Refusal{Kind: structs.KindKeyExpired, Run: structs.RunUnknown,
			Message: "this idempotency key is older than records are kept: nothing was run now; look whether the first attempt was answered, and take a new key if not"}
	default:
		return d.outcomeUnknown(keeper)
	}
}

func keyConflict() *Refusal {
	return &Refusal{Kind: structs.KindKeyConflict, Run: structs.RunNo,
		Message: "this idempotency key was used for another body: take a new key for a new request"}
}

func (d *Dispatcher) outcomeUnknown(box string) *Refusal {
	return &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: keeperRetryAfter,
		Message: fmt.Sprintf("keeper %s, which knows whether an earlier attempt under this key was run, can't tell now: nothing was run now; ask again with the same key after the stated time", box)}
}

// Find returns the record of a key, for a caller that queries the state of its request.
// The home keeper is asked first, then the others, since a request that ran while its
// home was unreachable is recorded at another keeper.
func (d *Dispatcher) Find(ctx context.Context, group *statev1.Group, key string) (*statev1.RequestRecord, *Refusal) {
	certain := true
	for _, k := range rankKeepers(d.opts.Config.Keepers(), group.GetName(), key) {
		record, err := d.findAt(ctx, k.GetBox(), group.GetName(), key)
		if record != nil {
			return record, nil
		}
		certain = certain && err == nil
	}
	if !certain {
		return nil, &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: keeperRetryAfter,
			Message: "a keeper that may know this key can't be reached: ask again after the stated time"}
	}
	return nil, &Refusal{Kind: structs.KindNotFound, Run: structs.RunNo,
		Message: "no request under this key is recorded for the group, or its record has left the window"}
}

func (d *Dispatcher) findAt(ctx context.Context, box, group, key string) (*statev1.RequestRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	resp, err := d.opts.Keepers.Lookup(ctx, box, &betweenv1.LookupRequest{Group: group, Key: key})
	if err != nil || !resp.GetFound() || resp.GetRequest().GetClaimedBy() != "" {
		return nil, err
	}
	return resp.GetRequest(), nil
}
