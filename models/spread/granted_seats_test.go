// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"slices"
	"time"

	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/seats"
)

const (
	// simGrantInterval is the time between looks at seats that become free by time.
	simGrantInterval = 10 * time.Millisecond
	// simAttachInterval is the time after which a running call is attached to a pool that has lost it.
	simAttachInterval = 100 * time.Millisecond
)

// simPool is the pool of the targets in one data centre at the box that grants their seats.
type simPool struct {
	seats.Pool
	box   *simBox
	start int
	// isStandby is set while the box takes the place of the first holder, which it does since then.
	isStandby bool
	since     time.Duration
	// isWatched is set while the pool is looked at for seats that become free by time.
	isWatched bool
	// waits has what to do for each waiting call once it has its seat.
	waits map[*seats.Waiter]func()
}

// simSeat is a granted seat.
type simSeat struct {
	box     *simBox
	start   int
	centre  string
	target  string
	since   time.Duration
	ended   bool
	granter *simPool
}

// directoryFor returns the directory that a box knows. Boxes stay in it for longer than the simulation
// after control has last heard of them.
func (s *seatSim) directoryFor(b *simBox) *lease.Directory {
	switch {
	case s.omit == undividedSeats || s.omit == alone && !b.known:
		return lease.NewDirectory([]lease.Box{{Name: b.name, Address: b.name, DataCentre: b.centre}})
	case !b.known:
		return nil
	}
	if s.fleet == nil {
		var boxes []lease.Box
		for _, other := range s.boxes {
			boxes = append(boxes, lease.Box{Name: other.name, Address: other.name, DataCentre: other.centre})
		}
		s.fleet = lease.NewDirectory(boxes)
	}
	return s.fleet
}

func (s *seatSim) boxNamed(name string) *simBox {
	if s.byName == nil {
		s.byName = map[string]*simBox{}
		for _, b := range s.boxes {
			s.byName[b.name] = b
		}
	}
	return s.byName[name]
}

// poolOf returns the pool of a data centre at the box that grants its seats by the directory of b;
// nil if neither holder can be asked.
func (s *seatSim) poolOf(b *simBox, centre string) *simPool {
	for rank, holder := range b.directory.SeatHolders("s", centre) {
		h := s.boxNamed(holder.Name)
		own := h.directory.SeatHolders("s", centre)
		if rank < len(own) && own[rank].Name == h.name {
			return s.poolAt(h, centre, rank > 0)
		}
	}
	return nil
}

// poolAt returns the pool of a data centre at one of its holders.
func (s *seatSim) poolAt(h *simBox, centre string, isStandby bool) *simPool {
	p := h.pools[centre]
	if p == nil || p.isStandby != isStandby {
		p = &simPool{box: h, start: h.start, isStandby: isStandby, since: h.startedAt, waits: map[*seats.Waiter]func(){}}
		switch {
		case isStandby:
			p.since = s.now
		case h.start == 1:
			p.since = -seats.SettleTime
		}
		h.pools[centre] = p
	}
	var list []seats.Target
	for _, t := range h.table.SeatedTargets("s", centre) {
		list = append(list, seats.Target{Start: t.StartIdentity(), Slots: t.Slots, HeldSince: p.since})
	}
	p.SetTargets(list)
	return p
}

// placeSeated sends a call once a seat at one of the targets is granted.
func (s *seatSim) placeSeated(b *simBox, c *simCall, targets []*Target) {
	centres := []string{}
	for _, t := range targets {
		if !slices.Contains(centres, t.DataCentre) {
			centres = append(centres, t.DataCentre)
		}
	}
	s.rng.Shuffle(len(centres), func(i, j int) { centres[i], centres[j] = centres[j], centres[i] })
	if i := slices.Index(centres, b.centre); i > 0 {
		centres[0], centres[i] = centres[i], centres[0]
	}
	s.askForSeat(b, c, &seatSearch{targets: targets, centres: centres})
}

// seatSearch is the search of one call for a seat.
type seatSearch struct {
	targets []*Target
	centres []string
	asked   int
	best    string
	least   time.Duration
}

// askForSeat asks the next data centre, and at the end waits at the one with the shortest wait.
func (s *seatSim) askForSeat(b *simBox, c *simCall, search *seatSearch) {
	start := b.start
	if search.asked == len(search.centres) {
		s.awaitSeat(b, c, search)
		return
	}
	centre := search.centres[search.asked]
	search.asked++
	s.after(2*s.latency(), func() {
		if b.start != start {
			return
		}
		p := s.poolOf(b, centre)
		if p == nil {
			s.askForSeat(b, c, search)
			return
		}
		w, refusal := p.Join(search.excluded(b), 0, s.now)
		if w != nil {
			s.sendSeated(b, c, p, centre, w.Target)
			return
		}
		if search.best == "" || refusal.Wait < search.least {
			search.best, search.least = centre, refusal.Wait
		}
		s.askForSeat(b, c, search)
	})
}

// excluded returns the targets of the table that the call can't go to.
func (search *seatSearch) excluded(b *simBox) []string {
	var list []string
	for _, t := range b.table.services["s"] {
		if !slices.Contains(search.targets, t) {
			list = append(list, t.StartIdentity())
		}
	}
	return list
}

// awaitSeat waits for a seat in the data centre with the shortest wait.
func (s *seatSim) awaitSeat(b *simBox, c *simCall, search *seatSearch) {
	p := (*simPool)(nil)
	if search.best != "" {
		p = s.poolOf(b, search.best)
	}
	if p == nil {
		if t := b.table.ChooseAtRisk(search.targets, s.now); t != nil {
			s.send(b, c, t)
			return
		}
		s.refuse(c)
		return
	}
	w, _ := p.Join(search.excluded(b), c.maxWait, s.now)
	if w == nil {
		s.refuse(c)
		return
	}
	began, done := s.now, false
	granted := func() {
		done = true
		c.maxWait -= s.now - began
		s.waited += s.now - began
		s.sendSeated(b, c, p, search.best, w.Target)
	}
	if w.Target != "" {
		granted()
		return
	}
	p.waits[w] = granted
	s.grantLater(p)
	s.after(c.maxWait, func() {
		if !done {
			p.Refuse(w, s.now)
			delete(p.waits, w)
			s.refuse(c)
			if c.counts {
				s.refusedLate++
			}
		}
	})
}

// grantLater grants seats that become free by time while calls wait.
func (s *seatSim) grantLater(p *simPool) {
	if p.isWatched {
		return
	}
	p.isWatched = true
	s.after(simGrantInterval, func() {
		p.isWatched = false
		s.grant(p)
		if p.IsWaiting() {
			s.grantLater(p)
		}
	})
}

func (s *seatSim) grant(p *simPool) {
	for _, w := range p.Grant(s.now) {
		granted := p.waits[w]
		delete(p.waits, w)
		s.after(s.latency(), granted)
	}
}

// sendSeated sends a call with a seat. It is released if the box has ended or doesn't know the target.
func (s *seatSim) sendSeated(b *simBox, c *simCall, p *simPool, centre, target string) {
	seat := &simSeat{box: b, start: b.start, centre: centre, target: target, since: s.now, granter: p}
	t := b.table.byID[target]
	if t == nil {
		s.releaseSeat(seat, seats.Unused)
		s.refuse(c)
		return
	}
	c.seat = seat
	s.keepSeat(seat)
	s.send(b, c, t)
}

// keepSeat attaches a running call anew when the box that granted its seat has restarted, and gives the
// seat back when the box of the call has.
func (s *seatSim) keepSeat(seat *simSeat) {
	s.after(simAttachInterval, func() {
		switch {
		case seat.ended:
			return
		case seat.box.start != seat.start:
			s.releaseSeat(seat, seats.Abandoned)
			return
		default:
			s.attach(seat)
		}
		s.keepSeat(seat)
	})
}

// attach attaches a running call to the pool that is in force now.
func (s *seatSim) attach(seat *simSeat) {
	if p := seat.granter; p != nil && p.box.start == p.start && !p.isStandby {
		return
	}
	p := s.poolOf(seat.box, seat.centre)
	if p == seat.granter || p == nil {
		return
	}
	seat.granter = p
	p.Attach(seat.target)
}

func (s *seatSim) releaseSeat(seat *simSeat, outcome seats.Outcome) {
	if seat == nil || seat.ended {
		return
	}
	seat.ended = true
	if p := seat.granter; p != nil {
		p.Release(seat.target, outcome, s.now-seat.since, s.now)
		s.grant(p)
	}
}

func seatOutcomeOf(ok, full, gone bool) seats.Outcome {
	switch {
	case ok:
		return seats.Done
	case full:
		return seats.Rejected
	case gone:
		return seats.Unused
	default:
		return seats.Abandoned
	}
}
