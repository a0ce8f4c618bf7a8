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

// HeaderLeader is the metadata key of the leader's name in the error that a box
// returns when it is not the leader.
const HeaderLeader = "Havenwinch-Leader"

// attemptTimeout bounds a call to one box, so that a box that hangs does not
// keep a call from reaching the others.
const attemptTimeout = 2 * time.Second

// roundInterval is the delay after all boxes were tried, before they are tried again.
const roundInterval = 100 * time.Millisecond

// Client calls the leader of the control group. It is safe for concurrent use.
type Client struct {
	names   []string
	clients map[string]betweenv1connect.ControlServiceClient

	mu     sync.Mutex
	leader string
}

// NewClient returns a client for the control boxes of the given names, of which
// there must be at least one. The first is tried first.
func NewClient(names []string, clients map[string]betweenv1connect.ControlServiceClient) *Client {
	return &Client{names: names, clients: clients, leader: names[0]}
}

// Sync sends a holder's reports and returns its allotments.
func (c *Client) Sync(ctx context.Context, r *betweenv1.SyncRequest) (*betweenv1.SyncResponse, error) {
	return callLeader(ctx, c, r, betweenv1connect.ControlServiceClient.Sync)
}

// Register registers a keeper's ledger and returns its holder name.
func (c *Client) Register(ctx context.Context, r *betweenv1.RegisterRequest) (*betweenv1.RegisterResponse, error) {
	return callLeader(ctx, c, r, betweenv1connect.ControlServiceClient.Register)
}

// Command submits an operator's command.
func (c *Client) Command(ctx context.Context, r *betweenv1.CommandRequest) (*betweenv1.CommandResponse, error) {
	return callLeader(ctx, c, r, betweenv1connect.ControlServiceClient.Command)
}

func (c *Client) Query(ctx context.Context, r *betweenv1.QueryRequest) (*betweenv1.QueryResponse, error) {
	return callLeader(ctx, c, r, betweenv1connect.ControlServiceClient.Query)
}

// ReportCalls reports calls during which targets failed, and sets the report's
// number from the answer.
func (c *Client) ReportCalls(ctx context.Context, r *statev1.ReportCalls) error {
	resp, err := callLeader(ctx, c, &betweenv1.ReportCallsRequest{Report: r}, betweenv1connect.ControlServiceClient.ReportCalls)
	r.Number = resp.GetNumber()
	return err
}

// method is a method of the generated client of the control service.
type method[Q, A any] func(betweenv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// callLeader tries all boxes repeatedly until the leader answers or the context is
// done. All calls are idempotent: commands are numbered, and the counters of
// reports never decrease.
func callLeader[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	for {
		resp, err := tryAll(ctx, c, r, m)
		if err == nil || !shouldTryOther(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(roundInterval):
		}
	}
}

// tryAll tries each box once, starting with the last known leader.
func tryAll[Q, A any](ctx context.Context, c *Client, r *Q, m method[Q, A]) (*A, error) {
	var last error
	next := c.lastLeader()
	asked := map[string]bool{}
	for next != "" {
		asked[next] = true
		resp, err := attempt(ctx, c.clients[next], r, m)
		if err == nil {
			c.setLeader(next)
			return resp.Msg, nil
		}
		if !shouldTryOther(err) {
			return nil, err
		}
		last = err
		next = c.nextBox(err, asked)
	}
	return nil, last
}

func attempt[Q, A any](ctx context.Context, client betweenv1connect.ControlServiceClient, r *Q, m method[Q, A]) (*connect.Response[A], error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return m(client, ctx, connect.NewRequest(r))
}

// shouldTryOther reports whether a call that failed with err should be tried on
// another box, because this one is not the leader or can't be reached. An error
// that was not received from a box is a connection error, whatever its code.
func shouldTryOther(err error) bool {
	code := connect.CodeOf(err)
	return !connect.IsWireError(err) || code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

func (c *Client) lastLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) setLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// nextBox returns the box to try nextBox err: the leader that err names, or else the
// first box that was not tried. It returns "" when all were tried.
func (c *Client) nextBox(err error, asked map[string]bool) string {
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

// WireError converts an error of the control service to a connect error. For
// raft.ErrNotLeader the metadata names the leader, if it is known.
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
