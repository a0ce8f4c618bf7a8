// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seats grants the slots of targets that fail under rejections, and asks the boxes that grant
// them for seats. A seat is a stream between the box that has the call and the one that grants the
// seats: it is held as long as the stream is open, so that a box that ends gives all its seats back.
package seats

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/seats"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// grantInterval is the time between looks at seats that become free by time.
	grantInterval = 10 * time.Millisecond
	// CheckInterval is the time between checks of the other holder of a pool.
	CheckInterval = 250 * time.Millisecond
	checkTimeout  = 150 * time.Millisecond
)

// Targets lists the targets of a service in a data centre that may have calls.
type Targets interface {
	SeatedTargets(service, centre string) []seats.Target
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Box string
	// Directory returns the entry boxes of the fleet, nil while they are not known.
	Directory func() *lease.Directory
	// HasContact reports whether control has answered lately, so that the directory is up to date.
	HasContact func() bool
	// Connect returns a client of the box at an address.
	Connect func(address string) betweenv1connect.SeatServiceClient
	Targets Targets
	Clock   clock.Clock
	Logger  *slog.Logger
}

// poolKey names the targets of a service in a data centre.
type poolKey struct{ service, centre string }

// heldPool is a pool that this box holds.
type heldPool struct {
	*seats.Pool
	since time.Duration
	// isStandby is set while this box takes the place of the first holder.
	isStandby bool
	// grants are the calls that wait or have a seat.
	grants map[*grant]bool
}

// grant is a call that waits for a seat or has one. done is closed when it gets one, moved when
// another box holds the pool.
type grant struct {
	waiter      *seats.Waiter
	done, moved chan struct{}
}

// Server grants the seats of the pools that this box holds.
type Server struct {
	opts ServerOptions

	mu         sync.Mutex
	pools      map[poolKey]*heldPool
	isStopping bool
	// version is that of the directory by which the pools are held, changedAt when it changed.
	version   uint64
	changedAt time.Duration
}

// NewServer returns a server without pools.
func NewServer(opts ServerOptions) *Server {
	return &Server{opts: opts, pools: map[poolKey]*heldPool{}, changedAt: opts.Clock.Boot()}
}

// Run grants seats that become free by time, and gives up pools that other boxes hold, until ctx is done.
func (s *Server) Run(ctx context.Context) {
	go s.checkHolders(ctx)
	for ctx.Err() == nil {
		periodic.Sleep(ctx, grantInterval)
		s.mu.Lock()
		s.followDirectory()
		for key, p := range s.pools {
			if p.IsWaiting() {
				s.refresh(key, p)
				p.grantFree(s.opts.Clock.Boot())
			}
		}
		s.mu.Unlock()
	}
}

// Stop gives all pools up: the calls that have seats are to be attached elsewhere.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopping = true
	for key := range s.pools {
		s.giveUp(key)
	}
}

// Held returns how many seats of the pools of this box are taken.
func (s *Server) Held() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		n += p.Occupied(s.opts.Clock.Boot())
	}
	return n
}

// followDirectory gives up the pools that another box holds by the directory. The caller holds s.mu.
func (s *Server) followDirectory() {
	d := s.opts.Directory()
	if d == nil || d.Version == s.version {
		return
	}
	s.version, s.changedAt = d.Version, s.opts.Clock.Boot()
	for key, p := range s.pools {
		if rank := s.rank(key); rank < 0 || p.isStandby != (rank > 0) {
			s.giveUp(key)
		}
	}
}

// rank returns the position of this box among the holders of a pool, negative if it is none.
func (s *Server) rank(key poolKey) int {
	holders := s.opts.Directory().SeatHolders(key.service, key.centre)
	return slices.IndexFunc(holders, func(b lease.Box) bool { return b.Name == s.opts.Box })
}

// giveUp removes a pool and tells the calls in it that it has moved. The caller holds s.mu.
func (s *Server) giveUp(key poolKey) {
	p := s.pools[key]
	delete(s.pools, key)
	for g := range p.grants {
		close(g.moved)
	}
	s.opts.Logger.Info("seats of targets given up", "service", key.service, "target_data_centre", key.centre, "calls", len(p.grants))
}

// pool returns a pool that this box holds, or takes over from the first holder if isStandby is set. The
// caller holds s.mu, which is released during a check of the first holder.
func (s *Server) pool(ctx context.Context, key poolKey, isStandby bool) (*heldPool, error) {
	if s.isStopping {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("this box is stopping: ask the next holder"))
	}
	s.followDirectory()
	rank := s.rank(key)
	if rank < 0 || isStandby != (rank > 0) {
		return nil, notHolder(key)
	}
	if p := s.pools[key]; p != nil {
		s.refresh(key, p)
		return p, nil
	}
	// The first holder has held the pool, though without calls, since the directory says so.
	p := &heldPool{Pool: &seats.Pool{}, since: s.changedAt, grants: map[*grant]bool{}}
	if isStandby {
		s.mu.Unlock()
		state := s.check(ctx, key)
		s.mu.Lock()
		if state != holderEnded && state != holderSilent {
			return nil, notHolder(key)
		}
		if other := s.pools[key]; other != nil {
			return other, nil
		}
		p.isStandby, p.since, p.IsHalved = true, s.opts.Clock.Boot(), state == holderSilent
	}
	s.pools[key] = p
	s.opts.Logger.Info("seats of targets granted by this box", "service", key.service, "target_data_centre", key.centre, "directory", s.version, "standby", isStandby, "halved", p.IsHalved,
		"held_ms", (s.opts.Clock.Boot() - p.since).Milliseconds())
	s.refresh(key, p)
	return p, nil
}

func notHolder(key poolKey) error {
	return connect.NewError(connect.CodeFailedPrecondition, errors.Errorf("this box does not grant the seats of service %s in %s: ask the box that the directory names", key.service, key.centre))
}

// refresh updates the targets of a pool. The caller holds s.mu.
func (s *Server) refresh(key poolKey, p *heldPool) {
	list := s.opts.Targets.SeatedTargets(key.service, key.centre)
	for i := range list {
		list[i].HeldSince = p.since
	}
	p.SetTargets(list)
}

// grantFree grants the free seats of the pool.
func (p *heldPool) grantFree(now time.Duration) {
	for _, w := range p.Grant(now) {
		for g := range p.grants {
			if g.waiter == w {
				close(g.done)
			}
		}
	}
}

// ServerStream is the stream of one call to another box.
type ServerStream interface {
	Receive() (*betweenv1.HoldRequest, error)
	Send(m *betweenv1.HoldResponse) error
}

// Serve grants a seat and keeps it until the stream ends.
func (s *Server) Serve(ctx context.Context, stream ServerStream) error {
	r, err := stream.Receive()
	if err != nil {
		return errors.WithStack(err)
	}
	h, refusal, err := s.hold(ctx, r)
	if err != nil {
		return err
	}
	if h == nil {
		return stream.Send(&betweenv1.HoldResponse{ExpectedWait: refusal.Wait.Milliseconds(), RetrySpread: refusal.RetrySpread.Milliseconds()})
	}
	if err := stream.Send(&betweenv1.HoldResponse{Target: h.Target()}); err != nil {
		h.Release(seats.Unused)
		return errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { h.Release(seats.Abandoned) })
	defer stop()
	ends := make(chan seats.Outcome, 1)
	go func() { ends <- receiveOutcome(stream) }()
	select {
	case outcome := <-ends:
		h.Release(outcome)
		return nil
	case <-h.grant.moved:
	}
	if err := stream.Send(&betweenv1.HoldResponse{Moved: true}); err != nil {
		return errors.WithStack(err)
	}
	// The other box ends the stream once it knows.
	<-ends
	return nil
}

// receiveOutcome waits for the end of a call. One whose stream breaks counts as given up.
func receiveOutcome(stream ServerStream) seats.Outcome {
	end, err := stream.Receive()
	if err != nil {
		return seats.Abandoned
	}
	return outcomeOf(end.GetOutcome())
}

// hold grants a seat. It returns nil if the call is refused.
func (s *Server) hold(ctx context.Context, r *betweenv1.HoldRequest) (*held, seats.Refusal, error) {
	key := poolKey{r.GetService(), r.GetDataCentre()}
	s.mu.Lock()
	p, err := s.pool(ctx, key, r.GetStandby())
	if err != nil {
		s.mu.Unlock()
		return nil, seats.Refusal{}, err
	}
	now := s.opts.Clock.Boot()
	g := &grant{done: make(chan struct{}), moved: make(chan struct{})}
	h := &held{server: s, pool: p, grant: g, since: now}
	if start := r.GetAttach(); start != "" {
		defer s.mu.Unlock()
		if !p.Attach(start) {
			return nil, seats.Refusal{}, connect.NewError(connect.CodeNotFound, errors.Errorf("target %s is not registered", start))
		}
		g.waiter = &seats.Waiter{Target: start}
		p.grants[g] = true
		return h, seats.Refusal{}, nil
	}
	w, refusal := p.Join(r.GetExclude(), time.Duration(r.GetMaxWait())*time.Millisecond, now)
	if w == nil {
		s.mu.Unlock()
		return nil, refusal, nil
	}
	g.waiter = w
	p.grants[g] = true
	isGranted := w.Target != ""
	s.mu.Unlock()
	if isGranted || h.await(ctx, time.Duration(r.GetMaxWait())*time.Millisecond) {
		return h, seats.Refusal{}, nil
	}
	return nil, h.leave(), nil
}

// held is a seat, or a place among those that wait for one.
type held struct {
	server *Server
	pool   *heldPool
	grant  *grant
	since  time.Duration
	once   sync.Once
}

// Target returns the start of the target with the seat.
func (h *held) Target() string { return h.grant.waiter.Target }

// await waits for the seat.
func (h *held) await(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-h.grant.done:
		h.since = h.server.opts.Clock.Boot()
		return true
	case <-h.grant.moved:
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// leave ends the wait without a seat. One that was granted meanwhile is released.
func (h *held) leave() seats.Refusal {
	s := h.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Boot()
	delete(h.pool.grants, h.grant)
	if start := h.Target(); start != "" {
		h.pool.Release(start, seats.Unused, 0, now)
		h.pool.grantFree(now)
	}
	return h.pool.Refuse(h.grant.waiter, now)
}

// Release ends the call of the seat.
func (h *held) Release(outcome seats.Outcome) {
	h.once.Do(func() {
		s := h.server
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.opts.Clock.Boot()
		delete(h.pool.grants, h.grant)
		h.pool.Release(h.Target(), outcome, now-h.since, now)
		h.pool.grantFree(now)
	})
}

// outcomeOf converts an outcome from its message.
func outcomeOf(o betweenv1.SeatOutcome) seats.Outcome {
	switch o {
	case betweenv1.SeatOutcome_SEAT_OUTCOME_DONE:
		return seats.Done
	case betweenv1.SeatOutcome_SEAT_OUTCOME_REJECTED:
		return seats.Rejected
	case betweenv1.SeatOutcome_SEAT_OUTCOME_UNUSED:
		return seats.Unused
	default:
		return seats.Abandoned
	}
}

// toOutcome converts an outcome to its message.
func toOutcome(o seats.Outcome) betweenv1.SeatOutcome {
	switch o {
	case seats.Done:
		return betweenv1.SeatOutcome_SEAT_OUTCOME_DONE
	case seats.Rejected:
		return betweenv1.SeatOutcome_SEAT_OUTCOME_REJECTED
	case seats.Unused:
		return betweenv1.SeatOutcome_SEAT_OUTCOME_UNUSED
	default:
		return betweenv1.SeatOutcome_SEAT_OUTCOME_UNSPECIFIED
	}
}
