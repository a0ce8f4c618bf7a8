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
	// callTimeout is how long one control box has for an answer.
	callTimeout = 900 * time.Millisecond
	// roundPause is the time between two rounds over all boxes.
	roundPause = 80 * time.Millisecond
)

// Client asks the control boxes, the leader first where it is known. Names of
// the control group's members are addresses.
type Client struct {
	// Dial returns a client of the box at an address.
	Dial func(address string) betweenv1connect.GatewayServiceClient

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	clients map[string]betweenv1connect.GatewayServiceClient
}

// NewClient returns a client that starts from seeds.
func NewClient(seeds []string, dial func(address string) betweenv1connect.GatewayServiceClient) *Client {
	return &Client{Dial: dial, seeds: unique(seeds), clients: map[string]betweenv1connect.GatewayServiceClient{}}
}

// SetSeeds replaces the addresses to start from.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = unique(seeds)
}

// Addresses returns the boxes to ask, in order.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return unique(append(append([]string(nil), c.seeds...), c.members...))
}

// SetMembers takes in who is in the control group, beside the seeds.
func (c *Client) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

func (c *Client) at(address string) betweenv1connect.GatewayServiceClient {
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

// Submit puts a change through the log. Changes may be sent again: tables carry
// versions and targets sequences.
func (c *Client) Submit(ctx context.Context, e *statev1.Entry) error {
	_, err := ask(ctx, c, &betweenv1.SubmitRequest{Entry: e}, betweenv1connect.GatewayServiceClient.Submit)
	return err
}

// PutRouting puts a routing table through the log, packed: it goes to every
// member of the control group.
func (c *Client) PutRouting(ctx context.Context, t *statev1.RoutingTable) error {
	packed, err := pack.Pack(t)
	if err != nil {
		return err
	}
	return c.Submit(ctx, &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Packed: packed}}})
}

// ReportCalls tells control of calls under which targets ended, and numbers the report.
func (c *Client) ReportCalls(ctx context.Context, r *statev1.ReportCalls) error {
	e := &statev1.Entry{Kind: &statev1.Entry_ReportCalls{ReportCalls: r}}
	resp, err := ask(ctx, c, &betweenv1.SubmitRequest{Entry: e}, betweenv1connect.GatewayServiceClient.Submit)
	r.Number = resp.GetReportNumber()
	return err
}

// Lease reports and asks for tokens.
func (c *Client) Lease(ctx context.Context, r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
	return ask(ctx, c, r, betweenv1connect.GatewayServiceClient.Lease)
}

// ReadRouting returns the newest routing table for certain.
func (c *Client) ReadRouting(ctx context.Context) (*betweenv1.ReadRoutingResponse, error) {
	return ask(ctx, c, &betweenv1.ReadRoutingRequest{}, betweenv1connect.GatewayServiceClient.ReadRouting)
}

// ReadClock returns the boot clock of the box at an address.
func (c *Client) ReadClock(ctx context.Context, address string) (*betweenv1.ReadClockResponse, error) {
	return askOne(ctx, c.at(address), &betweenv1.ReadClockRequest{}, betweenv1connect.GatewayServiceClient.ReadClock)
}

type method[Q, A any] func(betweenv1connect.GatewayServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// ask goes round after round over the boxes until one answers, refuses for
// good, or the context ends.
func ask[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	for {
		resp, err := askRound(ctx, c, r, m)
		if err == nil {
			return resp, nil
		}
		periodic.Sleep(ctx, roundPause)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

func askRound[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
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
		resp, err := askOne(ctx, c.at(address), r, m)
		if err == nil {
			c.setLeader(address)
			return resp, nil
		}
		last = err
		if leader := leaderOf(err); leader != "" && !asked[leader] {
			order = append([]string{leader}, order...)
		}
	}
	return nil, last
}

func askOne[Q, A any](ctx context.Context, client betweenv1connect.GatewayServiceClient, r *Q, m method[Q, A]) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m(client, ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}

// leaderOf returns the leader that an error names, if any.
func leaderOf(err error) string {
	var failure *connect.Error
	if errors.As(err, &failure) {
		return failure.Meta().Get(control.HeaderLeader)
	}
	return ""
}
