// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seats

import (
	"context"
	"io"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/seats"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/forward"
)

const (
	// askTimeout is how long a holder may take to answer, beside the time for which the call waits.
	askTimeout = 200 * time.Millisecond
	// minAvoid and maxAvoid bound the time for which a holder that has not answered is not asked; it
	// doubles with each failure in a row.
	minAvoid = 250 * time.Millisecond
	maxAvoid = 2 * time.Second
	// attachInterval is the time between attempts to attach a running call to a new holder.
	attachInterval = 100 * time.Millisecond
)

// ErrNoHolder is returned when no box that grants the seats could be asked.
type ErrNoHolder struct{ Service string }

// Error implements error.
func (e ErrNoHolder) Error() string {
	return "no box that grants the seats of service " + e.Service + " could be asked: try again later"
}

// IsErrNoHolder reports whether err is an ErrNoHolder.
func IsErrNoHolder(err error) bool { return errors.As(err, &ErrNoHolder{}) }

// ClientOptions configure a Client.
type ClientOptions struct {
	Box, DataCentre string
	// Directory returns the entry boxes of the fleet, nil while they are not known.
	Directory func() *lease.Directory
	// Connect returns a client of the box at an address.
	Connect func(address string) betweenv1connect.SeatServiceClient
	// Own grants the seats that this box grants itself.
	Own    *Server
	Clock  clock.Clock
	Logger *slog.Logger
}

// Client asks for seats.
type Client struct {
	opts ClientOptions

	mu      sync.Mutex
	clients map[string]betweenv1connect.SeatServiceClient
	// avoided has, by name, the boxes that have not answered.
	avoided map[string]avoidance
}

// avoidance is until when a box is not asked, after how many failures in a row.
type avoidance struct {
	until    time.Duration
	failures int
}

// NewClient returns a client without seats.
func NewClient(opts ClientOptions) *Client {
	return &Client{opts: opts, clients: map[string]betweenv1connect.SeatServiceClient{}, avoided: map[string]avoidance{}}
}

// AcquireSeat gets a seat at a target of a service. A nil seat without an error means that there is none in
// time. The error is an ErrNoHolder if no holder could be asked.
func (c *Client) AcquireSeat(ctx context.Context, r forward.SeatRequest) (forward.GrantedSeat, seats.Refusal, error) {
	best := ""
	least := seats.Refusal{}
	for _, centre := range c.order(r.Centres) {
		seat, refusal, err := c.ask(ctx, r, centre, 0)
		switch {
		case seat != nil:
			return seat, seats.Refusal{}, nil
		case err == nil && (best == "" || refusal.Wait < least.Wait):
			best, least = centre, refusal
		}
	}
	if best == "" {
		return nil, seats.Refusal{}, errors.WithStack(ErrNoHolder{r.Service})
	}
	if r.MaxWait <= 0 || ctx.Err() != nil {
		return nil, least, nil
	}
	seat, refusal, err := c.ask(ctx, r, best, r.MaxWait)
	switch {
	case err != nil:
		return nil, least, nil
	case seat == nil:
		return nil, refusal, nil
	default:
		return seat, seats.Refusal{}, nil
	}
}

// order returns the data centres to ask: the own one first, the others at random.
func (c *Client) order(centres []string) []string {
	list := make([]string, 0, len(centres))
	for _, centre := range centres {
		if centre == c.opts.DataCentre {
			list = append(list, centre)
		}
	}
	own := len(list)
	for _, centre := range centres {
		if centre != c.opts.DataCentre {
			list = append(list, centre)
		}
	}
	others := list[own:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return list
}

// ask asks the holder of the seats in a data centre, or the next one if that can't be reached.
func (c *Client) ask(ctx context.Context, r forward.SeatRequest, centre string, wait time.Duration) (seat *Seat, refusal seats.Refusal, err error) {
	err = errors.WithStack(ErrNoHolder{r.Service})
	for rank, b := range c.opts.Directory().SeatHolders(r.Service, centre) {
		if c.isAvoided(b) {
			continue
		}
		m := &betweenv1.HoldRequest{Service: r.Service, DataCentre: centre, Exclude: r.Exclude, MaxWait: wait.Milliseconds(), Standby: rank > 0}
		seat, refusal, err = c.askHolder(ctx, b, m, wait+askTimeout)
		if err == nil || ctx.Err() != nil {
			return seat, refusal, err
		}
	}
	return nil, seats.Refusal{}, err
}

// askHolder asks one box for a seat.
func (c *Client) askHolder(ctx context.Context, b lease.Box, m *betweenv1.HoldRequest, timeout time.Duration) (*Seat, seats.Refusal, error) {
	seat := &Seat{client: c, service: m.GetService(), centre: m.GetDataCentre(), released: make(chan seats.Outcome, 1)}
	if b.Name == c.opts.Box {
		h, refusal, err := c.opts.Own.hold(ctx, m)
		if h == nil {
			return nil, refusal, err
		}
		seat.target = h.Target()
		go seat.keepOwn(h)
		return seat, seats.Refusal{}, nil
	}
	stream, resp, err := c.open(ctx, b, m, timeout)
	if err != nil {
		return nil, seats.Refusal{}, err
	}
	if resp.GetTarget() == "" {
		stream.close()
		return nil, seats.Refusal{Wait: time.Duration(resp.GetExpectedWait()) * time.Millisecond, RetrySpread: time.Duration(resp.GetRetrySpread()) * time.Millisecond}, nil
	}
	seat.target = resp.GetTarget()
	go seat.keep(stream)
	return seat, seats.Refusal{}, nil
}

// isAvoided reports whether a box is not asked at present.
func (c *Client) isAvoided(b lease.Box) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return b.Address == "" || c.avoided[b.Name].until > c.opts.Clock.Boot()
}

// holdStream is a stream of SeatService.Hold.
type holdStream struct {
	*connect.BidiStreamForClient[betweenv1.HoldRequest, betweenv1.HoldResponse]
	cancel context.CancelFunc
}

func (s *holdStream) close() {
	_ = s.CloseRequest()
	s.cancel()
	_ = s.CloseResponse()
}

// open sends a request to a box and returns the first answer.
func (c *Client) open(ctx context.Context, b lease.Box, m *betweenv1.HoldRequest, timeout time.Duration) (*holdStream, *betweenv1.HoldResponse, error) {
	openCtx, done := context.WithTimeout(ctx, timeout)
	defer done()
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(openCtx, cancel)
	s := &holdStream{c.client(b.Address).Hold(streamCtx), cancel}
	var resp *betweenv1.HoldResponse
	err := s.Send(m)
	if err == nil || errors.Is(err, io.EOF) {
		// The error of a stream that has ended comes with the answer.
		resp, err = s.Receive()
	}
	if stop() && err == nil {
		c.recordAnswer(b)
		return s, resp, nil
	}
	s.close()
	if err == nil {
		err = openCtx.Err()
	}
	if ctx.Err() == nil && connect.CodeOf(err) != connect.CodeNotFound && !dial.IsShortage(err) {
		c.avoid(b, err)
	}
	return nil, nil, errors.WithStack(err)
}

// avoid records that a box has granted no seats though it is the holder by this box's directory.
func (c *Client) avoid(b lease.Box, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, now := c.avoided[b.Name], c.opts.Clock.Boot()
	length := min(maxAvoid, minAvoid<<min(a.failures, 3))
	if a.until <= now {
		c.opts.Logger.Info("holder of seats not asked", "peer", b.Name, "ms", length.Milliseconds(), "reason", err.Error())
		a.failures++
	}
	c.avoided[b.Name] = avoidance{until: now + length, failures: a.failures}
}

// recordAnswer records that a box has answered.
func (c *Client) recordAnswer(b lease.Box) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.avoided, b.Name)
}

func (c *Client) client(address string) betweenv1connect.SeatServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = c.opts.Connect(address)
		c.clients[address] = client
	}
	return client
}

// Seat is a seat at a target for one call.
type Seat struct {
	// target is the start of the target.
	target string

	client          *Client
	service, centre string
	released        chan seats.Outcome
}

// Start implements forward.GrantedSeat.
func (s *Seat) Start() string { return s.target }

// Release implements forward.GrantedSeat.
func (s *Seat) Release(outcome seats.Outcome) {
	select {
	case s.released <- outcome:
	default:
	}
}

// keepOwn keeps a seat that this box has granted itself.
func (s *Seat) keepOwn(h *held) {
	select {
	case outcome := <-s.released:
		h.Release(outcome)
	case <-h.grant.moved:
		s.reattach()
	}
}

// keep keeps a seat that another box has granted.
func (s *Seat) keep(stream *holdStream) {
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		_, _ = stream.Receive()
	}()
	select {
	case outcome := <-s.released:
		_ = stream.Send(&betweenv1.HoldRequest{Outcome: toOutcome(outcome)})
		_ = stream.CloseRequest()
		<-lost
		stream.close()
	case <-lost:
		stream.close()
		s.reattach()
	}
}

// reattach tells the next holder of the running call, as soon as there is one. It asks boxes that are
// avoided, too: a holder grants seats of calls that it has not heard of in time.
func (s *Seat) reattach() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		for rank, b := range s.client.opts.Directory().SeatHolders(s.service, s.centre) {
			m := &betweenv1.HoldRequest{Service: s.service, DataCentre: s.centre, Attach: s.target, Standby: rank > 0}
			if b.Address != "" && s.attachTo(ctx, b, m) {
				return
			}
		}
		select {
		case <-s.released:
			return
		default:
			periodic.Sleep(ctx, attachInterval)
		}
	}
}

// attachTo attaches the running call to a holder, and keeps the seat there.
func (s *Seat) attachTo(ctx context.Context, b lease.Box, m *betweenv1.HoldRequest) bool {
	if b.Name == s.client.opts.Box {
		h, _, err := s.client.opts.Own.hold(ctx, m)
		if err != nil {
			return connect.CodeOf(err) == connect.CodeNotFound
		}
		go s.keepOwn(h)
		return true
	}
	stream, _, err := s.client.open(ctx, b, m, askTimeout)
	if err != nil {
		return connect.CodeOf(err) == connect.CodeNotFound
	}
	go s.keep(stream)
	return true
}
