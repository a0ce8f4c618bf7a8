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
	// budgetWait is how long a request waits for tokens that others have
	// reserved and may give back.
	budgetWait = 30 * time.Second
	// keeperTimeout is how long a keeper has for an answer, besides any wait.
	keeperTimeout = 1500 * time.Millisecond
	// retryKeeper is when to ask again while a key's home can't be reached.
	retryKeeper = 2 * time.Second
	retryStop   = time.Second
)

// Admission is a request that has its tokens, or whose answer is already on
// its way from an earlier attempt.
type Admission struct {
	Request *Request
	// keeper is the box that holds the record.
	keeper string
	record *statev1.RequestRecord
	// mine says that this box runs the attempt; otherwise it only follows it.
	mine bool
	// taken says that the attempt was taken over from a box that has died.
	taken bool
}

// Admit decides at once whether a request may run.
func (d *Dispatcher) Admit(ctx context.Context, r *Request) (*Admission, *Refusal) {
	if refusal := d.precheck(r); refusal != nil {
		return nil, refusal
	}
	candidates := d.candidates(r)
	if len(candidates) == 0 {
		return nil, &Refusal{Kind: structs.KindNotReady, Run: structs.RunNo, RetryAfter: retryKeeper, Message: "no keeper is known yet: ask again shortly"}
	}
	if a, refusal := d.atFormerHome(ctx, r); a != nil || refusal != nil {
		return a, refusal
	}
	return d.reserve(ctx, r, candidates)
}

func (d *Dispatcher) candidates(r *Request) []*statev1.KeeperMember {
	keepers := d.opts.Config.Keepers()
	if r.Anonymous {
		return nearest(keepers, d.opts.Name, d.opts.DataCentre, r.Key)
	}
	return homes(keepers, r.Group.GetName(), r.Key)
}

// atFormerHome looks for a record at the keeper that was home to the key
// before the set of keepers grew.
func (d *Dispatcher) atFormerHome(ctx context.Context, r *Request) (*Admission, *Refusal) {
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
		return nil, d.unknown(former.GetBox())
	}
	if !resp.GetFound() || resp.GetRequest().GetState() == statev1.RequestState_REQUEST_STATE_RELEASED {
		return nil, nil
	}
	return d.reserve(ctx, r, []*statev1.KeeperMember{former})
}

// reserve asks the keepers in order. Only a request that may be repeated goes
// on to the next one: its first attempt may have been recorded at a home that
// can't be reached, and then it is billed once, when the two meet again.
func (d *Dispatcher) reserve(ctx context.Context, r *Request, keepers []*statev1.KeeperMember) (*Admission, *Refusal) {
	home := keepers[0].GetBox()
	var refusal *Refusal
	for _, k := range keepers {
		foreign := ""
		if k.GetBox() != home && !r.Anonymous {
			foreign = home
		}
		resp, err := d.ask(ctx, r, k.GetBox(), foreign)
		if err == nil && resp.GetUnreachable() && (r.Repeatable || r.Anonymous) {
			// Another keeper may have tokens that this one can't get at.
			refusal = d.refusal(r, k.GetBox(), resp)
			continue
		}
		if err == nil {
			return d.admitted(ctx, r, k.GetBox(), resp)
		}
		d.opts.Recorder.Record("keeper can't be reached", r.ID, k.GetBox())
		d.opts.Logger.Warn("a keeper can't be reached", "keeper", k.GetBox(), "request", r.ID, "error", err)
		d.settler.add(k.GetBox(), &betweenv1.SettleRequest{Group: r.Group.GetName(), Key: r.Key, NotRun: true, Box: d.opts.Box})
		if !r.Repeatable && !r.Anonymous {
			return nil, d.unknown(home)
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, &Refusal{Kind: structs.KindBudgetUnreachable, Run: structs.RunNo, RetryAfter: retryKeeper,
		Message: "no keeper of budgets can be reached: ask again after the stated time"}
}

// ask asks a keeper without waiting first, so that one that can't be reached
// shows soon; only where tokens are short is it asked to wait for them.
func (d *Dispatcher) ask(ctx context.Context, r *Request, keeper, foreign string) (*betweenv1.ReserveResponse, error) {
	resp, err := d.askFor(ctx, r, keeper, foreign, 0)
	if err != nil || resp.GetStatus() != betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED {
		return resp, err
	}
	return d.askFor(ctx, r, keeper, foreign, max(time.Millisecond, min(budgetWait, r.Deadline.Sub(d.opts.Clock.Wall()))))
}

func (d *Dispatcher) askFor(ctx context.Context, r *Request, keeper, foreign string, wait time.Duration) (*betweenv1.ReserveResponse, error) {
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

// admitted turns a keeper's answer into an admission or a refusal.
func (d *Dispatcher) admitted(ctx context.Context, r *Request, keeper string, resp *betweenv1.ReserveResponse) (*Admission, *Refusal) {
	a := &Admission{Request: r, keeper: keeper, record: resp.GetRequest()}
	switch resp.GetStatus() {
	case betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED:
		a.mine = true
	case betweenv1.ReserveStatus_RESERVE_STATUS_TAKEN_OVER:
		a.mine, a.taken = true, true
	case betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, betweenv1.ReserveStatus_RESERVE_STATUS_DONE:
		return d.elsewhere(ctx, a)
	default:
		return nil, d.refusal(r, keeper, resp)
	}
	d.holds(keeper, 1)
	d.opts.Recorder.Record("reserved", r.ID, fmt.Sprintf("%d tokens at keeper %s, attempt %d", a.record.GetBound(), keeper, a.record.GetAttempt()))
	return a, nil
}

// elsewhere finds the record that another ledger bills.
func (d *Dispatcher) elsewhere(ctx context.Context, a *Admission) (*Admission, *Refusal) {
	claimed := a.record.GetClaimedBy()
	if claimed == "" {
		return a, nil
	}
	box, _, _ := strings.Cut(claimed, "@")
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	resp, err := d.opts.Keepers.Lookup(ctx, box, &betweenv1.LookupRequest{Group: a.record.GetGroup(), Key: a.record.GetKey()})
	if err != nil || !resp.GetFound() {
		return nil, d.unknown(box)
	}
	a.keeper, a.record = box, resp.GetRequest()
	if a.record.GetBodyDigest() != a.Request.Digest {
		return nil, conflict()
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
		return conflict()
	case betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED:
		return &Refusal{Kind: structs.KindKeyExpired, Run: structs.RunUnknown,
			Message: "this idempotency key is older than records are kept: nothing was run now; look whether the first attempt was answered, and take a new key if not"}
	default:
		return d.unknown(keeper)
	}
}

func conflict() *Refusal {
	return &Refusal{Kind: structs.KindKeyConflict, Run: structs.RunNo,
		Message: "this idempotency key was used for another body: take a new key for a new request"}
}

func (d *Dispatcher) unknown(box string) *Refusal {
	return &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: retryKeeper,
		Message: fmt.Sprintf("keeper %s, which knows whether an earlier attempt under this key was run, can't tell now: nothing was run now; ask again with the same key after the stated time", box)}
}

// Find returns the record of a key for the state query of a caller. The home
// is asked first; a request that ran while its home was cut off has its record
// at another keeper.
func (d *Dispatcher) Find(ctx context.Context, group *statev1.Group, key string) (*statev1.RequestRecord, *Refusal) {
	certain := true
	for _, k := range homes(d.opts.Config.Keepers(), group.GetName(), key) {
		record, err := d.findAt(ctx, k.GetBox(), group.GetName(), key)
		if record != nil {
			return record, nil
		}
		certain = certain && err == nil
	}
	if !certain {
		return nil, &Refusal{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: retryKeeper,
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
