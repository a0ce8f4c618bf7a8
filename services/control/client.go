// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/raft"
)

// HeaderLeader names the leader in the error of a box that does not lead.
const HeaderLeader = "Havenwinch-Leader"

// attemptTimeout is how long one box is waited for; a frozen one must not
// keep a call from reaching the others.
const attemptTimeout = 2 * time.Second

// roundPause is the time between two rounds over all boxes.
const roundPause = 100 * time.Millisecond

// Client finds the leading control box and asks it.
type Client struct {
	names   []string
	clients map[string]betweenv1connect.ControlServiceClient

	mu     sync.Mutex
	leader string
}

// NewClient returns a client over the control boxes by name.
func NewClient(names []string, clients map[string]betweenv1connect.ControlServiceClient) *Client {
	return &Client{names: names, clients: clients, leader: names[0]}
}

// Sync sends a holder's reports.
func (c *Client) Sync(ctx context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error) {
	return call(ctx, c, r, betweenv1connect.ControlServiceClient.Sync)
}

// Register brings a ledger into force.
func (c *Client) Register(ctx context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error) {
	return call(ctx, c, r, betweenv1connect.ControlServiceClient.Register)
}

// Command sends an operator's command.
func (c *Client) Command(ctx context.Context, r *betweenv1.CommandRequest) (*betweenv1.CommandResponse, error) {
	return call(ctx, c, r, betweenv1connect.ControlServiceClient.Command)
}

// Query sends a query.
func (c *Client) Query(ctx context.Context, r *betweenv1.QueryRequest) (*betweenv1.QueryResponse, error) {
	return call(ctx, c, r, betweenv1connect.ControlServiceClient.Query)
}

// ReportCalls tells control of calls under which targets ended, and numbers the report.
func (c *Client) ReportCalls(ctx context.Context, r *statev1.ReportCalls) error {
	resp, err := call(ctx, c, &betweenv1.ReportCallsRequest{Report: r}, betweenv1connect.ControlServiceClient.ReportCalls)
	r.Number = resp.GetNumber()
	return err
}

// method is a call of the control service.
type method[Q, A any] func(betweenv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call asks round after round until a leader answers or the context ends.
// Every call may be repeated: commands carry numbers, reports only rise.
func call[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	for {
		resp, err := round(ctx, c, r, m)
		if err == nil || !askAnother(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(roundPause):
		}
	}
}

// round asks the box that led last and then the others, each once.
func round[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	var last error
	next := c.lastLeader()
	asked := map[string]bool{}
	for next != "" {
		asked[next] = true
		resp, err := attempt(ctx, c.clients[next], r, m)
		if err == nil {
			c.remember(next)
			return resp.Msg, nil
		}
		if !askAnother(err) {
			return nil, err
		}
		last = err
		next = c.after(err, asked)
	}
	return nil, last
}

func attempt[Q, A any](ctx context.Context, client betweenv1connect.ControlServiceClient, r *Q, m method[Q, A]) (*connect.Response[A], error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return m(client, ctx, connect.NewRequest(r))
}

// askAnother tells whether another box may answer better: this one does not
// lead or can't be reached. An error that no box has sent is one of the
// connection, whatever code it is given.
func askAnother(err error) bool {
	code := connect.CodeOf(err)
	return !connect.IsWireError(err) || code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

func (c *Client) lastLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) remember(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// after returns the box to ask next, the named leader first.
func (c *Client) after(err error, asked map[string]bool) string {
	var failure *connect.Error
	if errors.As(err, &failure) {
		leader := failure.Meta().Get(HeaderLeader)
		if c.clients[leader] != nil && !asked[leader] {
			return leader
		}
	}
	for _, name := range c.names {
		if !asked[name] {
			return name
		}
	}
	return ""
}

// WireError gives an error of the control service its form between boxes.
func WireError(err error) error {
	switch {
	case err == nil:
		return nil
	case raft.IsErrNotLeader(err):
		wire := connect.NewError(connect.CodeUnavailable, err)
		wire.Meta().Set(HeaderLeader, errors.Cause(err).(raft.ErrNotLeader).Leader)
		return wire
	case raft.IsErrOutcomeUnknown(err):
		return connect.NewError(connect.CodeAborted, err)
	default:
		if _, stopped := errors.Cause(err).(raft.ErrStopped); stopped {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
}
