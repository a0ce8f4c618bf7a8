// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// drawTimeout bounds a draw from another box, in addition to the time that the
	// box may wait for tokens.
	drawTimeout = 80 * time.Millisecond
	// congestedDrawTimeout is used instead while this box's own link is congested, as packets
	// are then queued at the link.
	congestedDrawTimeout = 400 * time.Millisecond
	// maxLimitWait and limitWaitShare, a share of the time that the request has left, bound how
	// long a reservation waits for the limit on unreported use.
	maxLimitWait   = time.Second
	limitWaitShare = 0.25
	// limitWaitFactor bounds that wait as a multiple of the time for which a reservation waits for
	// tokens, 0.15 of the latency objective: nine tenths of the objective, since an answer that comes
	// long after it takes tokens and room from calls that can still be answered in time.
	limitWaitFactor = 6
	// reserveTimeoutFactor bounds a reservation over all boxes, as a multiple of the time
	// that it may wait.
	reserveTimeoutFactor = 1.5
	// drawMargin is added to a draw's lifetime so that its settlement can arrive.
	drawMargin = 4 * time.Second
	// maxAnswerAgeMillis is the age of control's last answer, in milliseconds, up to which a
	// holder counts as connected to control.
	maxAnswerAgeMillis = 1500
)

// Reservation is a number of tokens reserved on a lease of this or another box.
type Reservation struct {
	Organisation string
	Tokens       uint64
	// Holder is the name of the box that holds the lease.
	Holder string

	// peer and draw are the other box and the id of the draw, nil and empty for a
	// reservation on this box.
	peer *peer
	draw string
}

// SharedLeases reserves tokens on the leases of entry boxes: on this box's lease if it has
// tokens of the organisation, or else on those of other boxes that hold its leases,
// beginning with this data centre.
type SharedLeases struct {
	Leases *Leases
	// Dial returns a client of the box at an address.
	Dial func(address string) betweenv1connect.DrawServiceClient
	// IsCongested reports whether this box's own link is congested; nil for never.
	IsCongested func() bool

	draws, turn atomic.Uint64

	mu    sync.Mutex
	peers map[string]*peer
}

// drawTerms are the parameters of a reservation.
type drawTerms struct {
	organisation string
	tokens       uint64
	// lifetime is how long the tokens may stay reserved.
	lifetime time.Duration
	// wait is how long the reservation may wait for tokens, limitWait how long for the limit on
	// unreported use at a box that has enough tokens.
	wait, limitWait time.Duration
}

// Reserve reserves tokens of an organisation until the context's deadline, and waits
// for them at most for the given time. It asks the holders of this data centre first,
// without waiting; then the one of them that has enough tokens, if it has to report the
// reservation first, or the one with the most recent answer from control, if control can grant it
// more; then the holders in other data centres, and again the one of these that has enough
// tokens, if it has to report the reservation first. The wait for a report is bounded by the
// time that the context has left instead.
func (s *SharedLeases) Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Reservation, Outcome, Status) {
	q := drawTerms{organisation: organisation, tokens: tokens, lifetime: maxDrawLifetime, wait: wait, limitWait: wait}
	if deadline, limited := ctx.Deadline(); limited {
		left := time.Until(deadline)
		q.lifetime = left + drawMargin
		q.limitWait = max(0, min(maxLimitWait, time.Duration(limitWaitShare*float64(left)), limitWaitFactor*wait))
	}
	o := s.reserve(ctx, q)
	return o.reservation, o.outcome, o.status
}

func (s *SharedLeases) reserve(ctx context.Context, q drawTerms) offer {
	asking, cancel := context.WithTimeout(ctx, max(s.searchTimeout(), time.Duration(reserveTimeoutFactor*float64(q.wait))))
	defer cancel()
	directory := s.Leases.Directory()
	near, richest := s.tryWithoutWaiting(asking, s.localBoxes(directory, q.organisation), q)
	if near.isFinal() {
		return near
	}
	if !near.answered && near.status.Unreached {
		// What this box knows of the budget itself may be old, so it must not decide.
		return near
	}
	if richest.isLimited(q.tokens) && (richest.isConnected() || !near.canGetMore(q.tokens)) {
		o := s.try(ctx, richest.box, q, q.limitWait)
		if o.isFinal() || asking.Err() != nil {
			return o.orElse(near)
		}
		near = o.orElse(near)
	} else {
		if !near.answered {
			near.box = s.self()
		}
		if !near.answered || near.canGetMore(q.tokens) {
			if o := s.try(asking, near.box, q, q.wait); o.isFinal() || !near.answered {
				return o
			}
		}
	}
	far, richest := s.tryWithoutWaiting(asking, s.rotate(directory.HoldersElsewhere(q.organisation, s.Leases.DataCentre)), q)
	if far.isFinal() {
		return far
	}
	if richest.hasEnough(q.tokens) {
		if o := s.try(ctx, richest.box, q, q.limitWait); o.isFinal() {
			return o
		}
	}
	near.status.Unreached = near.status.Unreached || far.status.Unreached
	return near
}

// drawTimeout bounds a draw, in addition to the time that the other box may wait.
func (s *SharedLeases) drawTimeout() time.Duration {
	if s.isCongested() {
		return congestedDrawTimeout
	}
	return drawTimeout
}

// searchTimeout bounds the draws for one reservation. On a congested link it leaves time for a second
// holder after one that does not answer, as that one is not suspended.
func (s *SharedLeases) searchTimeout() time.Duration {
	if s.isCongested() {
		return 2 * congestedDrawTimeout
	}
	return drawTimeout
}

func (s *SharedLeases) isCongested() bool { return s.IsCongested != nil && s.IsCongested() }

// localBoxes returns the boxes of this data centre that may have tokens: this one first, if
// it has some, and the organisation's holders.
func (s *SharedLeases) localBoxes(d *lease.Directory, organisation string) []lease.Box {
	boxes := s.rotate(d.Holders(organisation, s.Leases.DataCentre))
	if len(boxes) > 0 && boxes[0].Name != s.Leases.Box && s.Leases.HasFree(organisation) {
		return append([]lease.Box{s.self()}, boxes...)
	}
	return boxes
}

// tryWithoutWaiting tries boxes in turn, without waiting for tokens, until one gives a final
// answer. Otherwise it returns the offer of the box with the most recent answer from
// control, and that of the box with the most free tokens.
func (s *SharedLeases) tryWithoutWaiting(ctx context.Context, boxes []lease.Box, q drawTerms) (recent, richest offer) {
	recent = offer{outcome: Short}
	unreached := false
	for _, b := range boxes {
		o := s.try(ctx, b, q, 0)
		if o.isFinal() {
			return o, o
		}
		unreached = unreached || o.status.Unreached
		recent = recent.moreRecent(o)
		if o.status.Free > richest.status.Free {
			richest = o
		}
	}
	recent.status.Unreached = unreached
	return recent, richest
}

// offer is a box's answer to a draw.
type offer struct {
	box lease.Box
	// answered is set if the box has answered.
	answered    bool
	reservation Reservation
	outcome     Outcome
	status      Status
}

// isFinal reports whether no other box has to be tried.
func (o offer) isFinal() bool { return o.answered && o.outcome != Short }

// isConnected reports whether control has answered the box recently.
func (o offer) isConnected() bool {
	return o.answered && o.status.Age >= 0 && o.status.Age <= maxAnswerAgeMillis
}

// canGetMore reports whether the box can soon have enough tokens, with more from
// control.
func (o offer) canGetMore(tokens uint64) bool {
	return o.isConnected() && o.status.Unallotted+o.status.Free >= tokens
}

// hasEnough reports whether the box has enough tokens, which it may use once it has reported
// them to control.
func (o offer) hasEnough(tokens uint64) bool { return o.isConnected() && o.status.Free >= tokens }

// isLimited reports whether the box has enough tokens, which the limit on unreported use did not
// admit.
func (o offer) isLimited(tokens uint64) bool {
	return o.answered && o.outcome == Short && o.status.Free >= tokens
}

// orElse returns o if its box has answered, else other.
func (o offer) orElse(other offer) offer {
	if !o.answered {
		return other
	}
	o.status.Unreached = o.status.Unreached || other.status.Unreached
	return o
}

// moreRecent returns the offer of the box with the more recent answer from control.
func (o offer) moreRecent(other offer) offer {
	switch {
	case !other.answered:
		return o
	case !o.answered || o.status.Age < 0 || (other.status.Age >= 0 && other.status.Age < o.status.Age):
		return other
	default:
		return o
	}
}

func (s *SharedLeases) self() lease.Box {
	return lease.Box{Name: s.Leases.Box, DataCentre: s.Leases.DataCentre}
}

// rotate returns the boxes rotated so that this one is first or, if it is not among
// them, a different one on each call, to spread the draws over them.
func (s *SharedLeases) rotate(boxes []lease.Box) []lease.Box {
	if len(boxes) == 0 {
		return nil
	}
	first := int(s.turn.Add(1) % uint64(len(boxes)))
	for i, b := range boxes {
		if b.Name == s.Leases.Box {
			first = i
		}
	}
	return append(append([]lease.Box(nil), boxes[first:]...), boxes[:first]...)
}

// try reserves tokens on the lease of one box.
func (s *SharedLeases) try(ctx context.Context, b lease.Box, q drawTerms, wait time.Duration) offer {
	if b.Name == s.Leases.Box {
		outcome, status := s.Leases.Reserve(ctx, q.organisation, q.tokens, wait)
		return offer{box: b, answered: true, outcome: outcome, status: status,
			reservation: Reservation{Organisation: q.organisation, Tokens: q.tokens, Holder: b.Name}}
	}
	p := s.peer(b)
	now := s.Leases.Clock.Boot()
	congested := s.isCongested()
	if !p.isAvailable(now) {
		return offer{outcome: Short, status: Status{Unreached: congested}}
	}
	id := s.Leases.Holder + "-" + strconv.FormatUint(s.draws.Add(1), 10)
	asking, cancel := context.WithTimeout(ctx, s.drawTimeout()+wait)
	defer cancel()
	resp, err := p.client.Draw(asking, connect.NewRequest(&betweenv1.DrawRequest{
		Id: id, Organisation: q.organisation, Tokens: q.tokens, Wait: wait.Milliseconds(), Lifetime: q.lifetime.Milliseconds(),
	}))
	if err != nil {
		congested = congested || s.isCongested()
		s.handleLostDraw(ctx, p, id, err, congested)
		return offer{outcome: Short, status: Status{Unreached: congested}}
	}
	p.recordSuccess(s.Leases.Logger)
	return s.offerOf(p, b, id, q, resp.Msg)
}

// offerOf converts another box's answer to an offer.
func (s *SharedLeases) offerOf(p *peer, b lease.Box, id string, q drawTerms, r *betweenv1.DrawResponse) offer {
	o := offer{box: b, answered: true, outcome: Short, status: Status{Free: r.GetFree(), Left: r.GetLeft(), Unallotted: r.GetUnallotted(), Age: r.GetAge()}}
	switch r.GetOutcome() {
	case betweenv1.DrawOutcome_DRAW_OUTCOME_RESERVED:
		o.outcome = Reserved
		s.Leases.AddDrawn(q.organisation, q.tokens)
		o.reservation = Reservation{Organisation: q.organisation, Tokens: q.tokens, Holder: b.Name, peer: p, draw: id}
	case betweenv1.DrawOutcome_DRAW_OUTCOME_EXHAUSTED:
		o.outcome = Exhausted
	}
	o.status.Limited = o.isLimited(q.tokens)
	return o
}

// handleLostDraw handles a draw without an answer. The other box may have reserved the tokens, so
// the draw is settled with nothing spent. While this box's own link is congested, it says nothing
// about the other box.
func (s *SharedLeases) handleLostDraw(ctx context.Context, p *peer, id string, err error, congested bool) {
	p.settle(settlement{id: id, expires: s.Leases.Clock.Boot() + settledDrawTTL})
	if ctx.Err() == nil && !congested && !dial.IsShortage(err) {
		p.recordFailure(s.Leases.Clock.Boot(), err, s.Leases.Logger)
	}
}

// peer returns the peer of another box, a new one if the box has a new address.
func (s *SharedLeases) peer(b lease.Box) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]*peer{}
	}
	p := s.peers[b.Name]
	if p == nil || p.box.Address != b.Address {
		p = &peer{box: b, client: s.Dial(b.Address), now: s.Leases.Clock.Boot}
		s.peers[b.Name] = p
	}
	return p
}

// Settle ends a reservation of which the given tokens were spent.
func (s *SharedLeases) Settle(r Reservation, spent uint64) {
	if r.peer == nil {
		s.Leases.Settle(r.Organisation, r.Tokens, spent)
		return
	}
	r.peer.settle(settlement{id: r.draw, spent: spent, expires: s.Leases.Clock.Boot() + drawMargin})
}

// Flush waits until all settlements are delivered or the context is done.
func (s *SharedLeases) Flush(ctx context.Context) {
	s.mu.Lock()
	peers := slices.Collect(maps.Values(s.peers))
	s.mu.Unlock()
	for _, p := range peers {
		for p.isDelivering() && ctx.Err() == nil {
			periodic.Sleep(ctx, settleDelay/2)
		}
	}
}

// Boxes returns the number of entry boxes, zero before control has answered.
func (s *SharedLeases) Boxes() int { return s.Leases.EntryBoxCount() }
