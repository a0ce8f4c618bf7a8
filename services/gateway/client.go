// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/pack"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/control"
)

const (
	// callTimeout bounds a call to one control box.
	callTimeout = 900 * time.Millisecond
	// roundInterval is the delay after all boxes were tried, before they are tried again.
	roundInterval = 80 * time.Millisecond
)

// Client calls the control boxes, the last known leader first. The names of the
// control group's members are their addresses. It is safe for concurrent use.
type Client struct {
	// Dial returns a client of the box at an address.
	Dial func(address string) betweenv1connect.GatewayServiceClient

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	clients map[string]betweenv1connect.GatewayServiceClient
}

// NewClient returns a client that knows only the seeds at first.
func NewClient(seeds []string, dial func(address string) betweenv1connect.GatewayServiceClient) *Client {
	return &Client{Dial: dial, seeds: unique(seeds), clients: map[string]betweenv1connect.GatewayServiceClient{}}
}

func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = unique(seeds)
}

// Addresses returns the addresses of the seeds and then of the known members,
// without duplicates.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return unique(append(append([]string(nil), c.seeds...), c.members...))
}

// SetMembers replaces the known members of the control group. An empty list has no
// effect.
func (c *Client) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// clientFor returns the client of the box at an address. It creates one on first use.
func (c *Client) clientFor(address string) betweenv1connect.GatewayServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = c.Dial(address)
		c.clients[address] = client
	}
	return client
}

func (c *Client) lastLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// Submit commits a change. A change may be submitted more than once, as tables have
// versions and targets sequence numbers.
func (c *Client) Submit(ctx context.Context, e *statev1.Entry) error {
	_, err := callAny(ctx, c, &betweenv1.SubmitRequest{Entry: e}, betweenv1connect.GatewayServiceClient.Submit)
	return err
}

// PutRouting commits a routing table. It is compressed, as it is sent to every member
// of the control group.
func (c *Client) PutRouting(ctx context.Context, t *statev1.RoutingTable) error {
	packed, err := pack.Pack(t)
	if err != nil {
		return err
	}
	return c.Submit(ctx, &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Packed: packed}}})
}

// ReportCalls reports calls during which targets failed, and sets the report's
// number from the answer.
func (c *Client) ReportCalls(ctx context.Context, r *statev1.ReportCalls) error {
	e := &statev1.Entry{Kind: &statev1.Entry_ReportCalls{ReportCalls: r}}
	resp, err := callAny(ctx, c, &betweenv1.SubmitRequest{Entry: e}, betweenv1connect.GatewayServiceClient.Submit)
	r.Number = resp.GetReportNumber()
	return err
}

// PutEvacuation begins or ends the evacuation of a data centre. The error is an ErrRefused
// if a later order has overtaken this one.
func (c *Client) PutEvacuation(ctx context.Context, m *statev1.PutEvacuation) error {
	return c.Submit(ctx, &statev1.Entry{Kind: &statev1.Entry_PutEvacuation{PutEvacuation: m}})
}

// Lease sends a box's report and returns what it is granted. age returns for how long the
// box's process has run, and is read again for each box that is tried: control takes it for
// the age at the time of the call, and keeps back more for the former process if it is less.
func (c *Client) Lease(ctx context.Context, r *betweenv1.LeaseRequest, age func() time.Duration) (*betweenv1.LeaseResponse, error) {
	send := func(client betweenv1connect.GatewayServiceClient, ctx context.Context, req *connect.Request[betweenv1.LeaseRequest]) (*connect.Response[betweenv1.LeaseResponse], error) {
		req.Msg.Age = age().Milliseconds()
		return client.Lease(ctx, req)
	}
	return callAny(ctx, c, r, send)
}

// ReadRouting returns the newest committed routing table. The read is linearizable.
func (c *Client) ReadRouting(ctx context.Context) (*betweenv1.ReadRoutingResponse, error) {
	return callAny(ctx, c, &betweenv1.ReadRoutingRequest{}, betweenv1connect.GatewayServiceClient.ReadRouting)
}

// ReadClock returns the clocks of the box at an address.
func (c *Client) ReadClock(ctx context.Context, address string) (*betweenv1.ReadClockResponse, error) {
	return callOne(ctx, c.clientFor(address), &betweenv1.ReadClockRequest{}, betweenv1connect.GatewayServiceClient.ReadClock)
}

// method is a method of the generated client of the gateway service.
type method[Q, A any] func(betweenv1connect.GatewayServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// CodeRefused is the code of an error for a change that the replicated state refuses.
const CodeRefused = connect.CodeFailedPrecondition

// ErrRefused is the error for a change that the replicated state refuses; its text names
// the reason and the remedy.
type ErrRefused struct{ Reason string }

func (e ErrRefused) Error() string { return e.Reason }

// IsErrRefused reports whether the cause of an error is an ErrRefused.
func IsErrRefused(err error) bool {
	_, ok := errors.Cause(err).(ErrRefused)
	return ok
}

// refusalOf returns the ErrRefused in a box's error, nil if there is none.
func refusalOf(err error) error {
	var failure *connect.Error
	if errors.As(err, &failure) && failure.Code() == CodeRefused {
		return errors.WithStack(ErrRefused{Reason: failure.Message()})
	}
	return nil
}

// callAny tries all boxes repeatedly until one answers without an error, the replicated
// state refuses the change or the context is done.
func callAny[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	for {
		resp, err := tryAll(ctx, c, r, m)
		if err == nil || IsErrRefused(err) {
			return resp, err
		}
		periodic.Sleep(ctx, roundInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// tryAll tries each box once: the last known leader first, and a leader that an
// error names next.
func tryAll[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	order := unique(append([]string{c.lastLeader()}, c.Addresses()...))
	var last error = errors.New("no control box is known: name some in seeds")
	asked := map[string]bool{}
	for len(order) > 0 && ctx.Err() == nil {
		address := order[0]
		order = order[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		resp, err := callOne(ctx, c.clientFor(address), r, m)
		if err == nil {
			c.setLeader(address)
			return resp, nil
		}
		last = err
		if refused := refusalOf(err); refused != nil {
			return nil, refused
		}
		if leader := leaderOf(err); leader != "" && !asked[leader] {
			order = append([]string{leader}, order...)
		}
	}
	return nil, last
}

func callOne[Q, A any](ctx context.Context, client betweenv1connect.GatewayServiceClient, r *Q, m method[Q, A]) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m(client, ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}

// leaderOf returns the address of the leader that an error names, or "".
func leaderOf(err error) string {
	var failure *connect.Error
	if errors.As(err, &failure) {
		return failure.Meta().Get(control.HeaderLeader)
	}
	return ""
}
