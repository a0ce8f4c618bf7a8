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
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// drawTimeout bounds a draw at another box, beside what that box may wait.
	drawTimeout = 80 * time.Millisecond
	// drawPatience is how much longer than one may wait all boxes together may
	// take.
	drawPatience = 1.5
	// drawMargin is added to a draw's lifetime for its settlement to arrive.
	drawMargin = 4 * time.Second
	// freshAge is the age of control's answer up to which a holder is in touch,
	// in milliseconds.
	freshAge = 1500
)

// Reservation is a number of tokens that are set aside, here or at another box.
type Reservation struct {
	Organisation string
	Tokens       uint64
	// Holder is the name of the box whose lease it is.
	Holder string

	peer *peer
	draw string
}

// Shared reserves on the leases of a few entry boxes: of this one where it
// holds the organisation's, else of those that do, near ones first.
type Shared struct {
	Leases *Leases
	// Dial returns a client of the box at an address.
	Dial func(address string) betweenv1connect.DrawServiceClient

	draws, turn atomic.Uint64

	mu    sync.Mutex
	peers map[string]*peer
}

// drawTerms are what is wanted of a lease.
type drawTerms struct {
	organisation string
	tokens       uint64
	// lifetime is how long the tokens may be in use.
	lifetime time.Duration
}

// Reserve sets tokens of an organisation aside for as long as the context
// lasts, and waits for more at most as long as told. The holders of this data
// centre are asked first, for what they have; then the one of them that heard of
// control last, if control can give it more; then those of other data centres.
func (s *Shared) Reserve(ctx context.Context, organisation string, tokens uint64, wait time.Duration) (Reservation, Outcome, Status) {
	q := drawTerms{organisation: organisation, tokens: tokens, lifetime: longestDraw}
	if deadline, limited := ctx.Deadline(); limited {
		q.lifetime = time.Until(deadline) + drawMargin
	}
	ctx, cancel := context.WithTimeout(ctx, max(drawTimeout, time.Duration(drawPatience*float64(wait))))
	defer cancel()
	o := s.reserve(ctx, q, wait)
	return o.reservation, o.outcome, o.status
}

func (s *Shared) reserve(ctx context.Context, q drawTerms, wait time.Duration) offer {
	directory := s.Leases.Directory()
	near := s.atOnce(ctx, s.near(directory, q.organisation), q)
	if near.final() {
		return near
	}
	if !near.asked {
		near.box = s.self()
	}
	if !near.asked || near.canGetMore(q.tokens) {
		if o := s.try(ctx, near.box, q, wait); o.final() || !near.asked {
			return o
		}
	}
	if far := s.atOnce(ctx, s.rotate(directory.Elsewhere(q.organisation, s.Leases.DataCentre)), q); far.final() {
		return far
	}
	return near
}

// near returns the boxes of this data centre that may have tokens: this one
// where it has some, and the organisation's holders.
func (s *Shared) near(d *lease.Directory, organisation string) []lease.Box {
	boxes := s.rotate(d.Holders(organisation, s.Leases.DataCentre))
	if len(boxes) > 0 && boxes[0].Name != s.Leases.Box && s.Leases.Holding(organisation) {
		return append([]lease.Box{s.self()}, boxes...)
	}
	return boxes
}

// atOnce asks boxes for what they have, one after the other, until one decides.
// Otherwise it returns the answer of the one that heard of control last.
func (s *Shared) atOnce(ctx context.Context, boxes []lease.Box, q drawTerms) offer {
	best := offer{outcome: Short}
	for _, b := range boxes {
		o := s.try(ctx, b, q, 0)
		if o.final() {
			return o
		}
		best = best.better(o)
	}
	return best
}

// offer is a box's answer.
type offer struct {
	box         lease.Box
	asked       bool
	reservation Reservation
	outcome     Outcome
	status      Status
}

// final tells whether nobody else need be asked.
func (o offer) final() bool { return o.asked && o.outcome != Short }

// canGetMore tells whether the box can have more tokens of control soon.
func (o offer) canGetMore(tokens uint64) bool {
	return o.status.Age >= 0 && o.status.Age <= freshAge && o.status.Unallotted+o.status.Free >= tokens
}

// better returns the answer of the box that heard of control last.
func (o offer) better(other offer) offer {
	switch {
	case !other.asked:
		return o
	case !o.asked || o.status.Age < 0 || (other.status.Age >= 0 && other.status.Age < o.status.Age):
		return other
	default:
		return o
	}
}

func (s *Shared) self() lease.Box {
	return lease.Box{Name: s.Leases.Box, DataCentre: s.Leases.DataCentre}
}

// rotate puts this box first, and else spreads the draws over the boxes that
// are asked.
func (s *Shared) rotate(boxes []lease.Box) []lease.Box {
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

// try asks one box.
func (s *Shared) try(ctx context.Context, b lease.Box, q drawTerms, wait time.Duration) offer {
	if b.Name == s.Leases.Box {
		outcome, status := s.Leases.Reserve(ctx, q.organisation, q.tokens, wait)
		return offer{box: b, asked: true, outcome: outcome, status: status,
			reservation: Reservation{Organisation: q.organisation, Tokens: q.tokens, Holder: b.Name}}
	}
	p := s.peer(b)
	now := s.Leases.Clock.Boot()
	if !p.available(now) {
		return offer{outcome: Short}
	}
	id := s.Leases.Holder + "-" + strconv.FormatUint(s.draws.Add(1), 10)
	asking, cancel := context.WithTimeout(ctx, drawTimeout+wait)
	defer cancel()
	resp, err := p.client.Draw(asking, connect.NewRequest(&betweenv1.DrawRequest{
		Id: id, Organisation: q.organisation, Tokens: q.tokens, Wait: wait.Milliseconds(), Lifetime: q.lifetime.Milliseconds(),
	}))
	if err != nil {
		s.lost(ctx, p, id, err)
		return offer{outcome: Short}
	}
	p.reached(s.Leases.Logger)
	return s.offered(p, b, id, q, resp.Msg)
}

func (s *Shared) offered(p *peer, b lease.Box, id string, q drawTerms, r *betweenv1.DrawResponse) offer {
	o := offer{box: b, asked: true, outcome: Short, status: Status{Free: r.GetFree(), Left: r.GetLeft(), Unallotted: r.GetUnallotted(), Age: r.GetAge()}}
	switch r.GetOutcome() {
	case betweenv1.DrawOutcome_DRAW_OUTCOME_RESERVED:
		o.outcome = Reserved
		s.Leases.Drawn(q.organisation, q.tokens)
		o.reservation = Reservation{Organisation: q.organisation, Tokens: q.tokens, Holder: b.Name, peer: p, draw: id}
	case betweenv1.DrawOutcome_DRAW_OUTCOME_EXHAUSTED:
		o.outcome = Exhausted
	}
	return o
}

// lost notes a draw without an answer: it may have been made, so it is settled
// with nothing spent.
func (s *Shared) lost(ctx context.Context, p *peer, id string, err error) {
	p.settle(settlement{id: id, until: s.Leases.Clock.Boot() + lateDraw})
	if ctx.Err() == nil {
		p.unreached(s.Leases.Clock.Boot(), err, s.Leases.Logger)
	}
}

// peer returns the row of another box; one that has moved gets a new one.
func (s *Shared) peer(b lease.Box) *peer {
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

// Settle ends a reservation with what was spent of it.
func (s *Shared) Settle(r Reservation, spent uint64) {
	if r.peer == nil {
		s.Leases.Settle(r.Organisation, r.Tokens, spent)
		return
	}
	r.peer.settle(settlement{id: r.draw, spent: spent, until: s.Leases.Clock.Boot() + drawMargin})
}

// Flush waits until all settlements are delivered, or the context ends.
func (s *Shared) Flush(ctx context.Context) {
	s.mu.Lock()
	peers := slices.Collect(maps.Values(s.peers))
	s.mu.Unlock()
	for _, p := range peers {
		for p.busy() && ctx.Err() == nil {
			periodic.Sleep(ctx, settleDelay/2)
		}
	}
}

// Boxes returns how many entry boxes there are at present.
func (s *Shared) Boxes() int { return s.Leases.Holders() }
