// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package between answers the calls of other boxes.
package between

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/services/configuration"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/keeper"
)

// Options name what a box serves; what its roles lack is nil.
type Options struct {
	Node    *raft.Node
	Control *control.Service
	Keeper  *keeper.Keeper
	Source  configuration.Source
	// Stopping ends the configuration feeds.
	Stopping context.Context
	Handler  []connect.HandlerOption
}

// New returns the handler of all services that a box has.
func New(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewConfigurationServiceHandler(&feed{opts}, opts.Handler...))
	if opts.Node != nil {
		mux.Handle(betweenv1connect.NewConsensusServiceHandler(&consensus{fixedNode{opts.Node}}, opts.Handler...))
		mux.Handle(betweenv1connect.NewControlServiceHandler(&controller{opts.Control}, opts.Handler...))
	}
	if opts.Keeper != nil {
		mux.Handle(betweenv1connect.NewKeeperServiceHandler(&ledger{opts.Keeper}, opts.Handler...))
	}
	return mux
}

// reply wraps an answer, or an error in the form that fits callers of f.
func reply[A any](answer *A, err error, wire func(error) error) (*connect.Response[A], error) {
	if err != nil {
		return nil, wire(err)
	}
	return connect.NewResponse(answer), nil
}

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// Nodes finds the node that takes part at present.
type Nodes interface {
	Node() (*raft.Node, error)
}

// fixedNode is a box's only node.
type fixedNode struct{ node *raft.Node }

func (f fixedNode) Node() (*raft.Node, error) { return f.node, nil }

type consensus struct{ nodes Nodes }

// handled lets the present node answer.
func handled[Q, A any](c *consensus, r *Q, answer func(*raft.Node, *Q) (*A, error)) (*connect.Response[A], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	a, err := answer(node, r)
	return reply(a, err, unavailable)
}

func (c *consensus) Vote(_ context.Context, r *connect.Request[betweenv1.VoteRequest]) (*connect.Response[betweenv1.VoteResponse], error) {
	return handled(c, r.Msg, (*raft.Node).HandleVote)
}

func (c *consensus) Append(_ context.Context, r *connect.Request[betweenv1.AppendRequest]) (*connect.Response[betweenv1.AppendResponse], error) {
	return handled(c, r.Msg, (*raft.Node).HandleAppend)
}

func (c *consensus) Install(_ context.Context, r *connect.Request[betweenv1.InstallRequest]) (*connect.Response[betweenv1.InstallResponse], error) {
	return handled(c, r.Msg, (*raft.Node).HandleInstall)
}

func (c *consensus) Identify(context.Context, *connect.Request[betweenv1.IdentifyRequest]) (*connect.Response[betweenv1.IdentifyResponse], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(node.HandleIdentify()), nil
}

func (c *consensus) Join(_ context.Context, r *connect.Request[betweenv1.JoinRequest]) (*connect.Response[betweenv1.JoinResponse], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	answer, err := node.HandleJoin(r.Msg)
	return reply(answer, err, control.WireError)
}

type controller struct{ service *control.Service }

func (c *controller) Sync(ctx context.Context, r *connect.Request[betweenv1.SyncRequest]) (*connect.Response[betweenv1.SyncResponse], error) {
	answer, err := c.service.Sync(ctx, r.Msg.GetSync())
	return reply(answer, err, control.WireError)
}

func (c *controller) Register(ctx context.Context, r *connect.Request[betweenv1.RegisterRequest]) (*connect.Response[betweenv1.RegisterResponse], error) {
	answer, err := c.service.Register(ctx, r.Msg.GetRegister())
	return reply(answer, err, control.WireError)
}

func (c *controller) Command(ctx context.Context, r *connect.Request[betweenv1.CommandRequest]) (*connect.Response[betweenv1.CommandResponse], error) {
	result, err := c.service.Command(ctx, r.Msg)
	return reply(&betweenv1.CommandResponse{Result: result}, err, control.WireError)
}

func (c *controller) Query(_ context.Context, r *connect.Request[betweenv1.QueryRequest]) (*connect.Response[betweenv1.QueryResponse], error) {
	answer, err := c.service.Query(r.Msg.GetText())
	return reply(answer, err, control.WireError)
}

func (c *controller) ReportCalls(ctx context.Context, r *connect.Request[betweenv1.ReportCallsRequest]) (*connect.Response[betweenv1.ReportCallsResponse], error) {
	if r.Msg.GetReport() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("field report is missing: send what is to be reported"))
	}
	report := r.Msg.GetReport()
	err := c.service.Quarantine().Report(ctx, report)
	return reply(&betweenv1.ReportCallsResponse{Number: report.GetNumber()}, err, control.WireError)
}

type feed struct{ opts Options }

func (f *feed) Watch(ctx context.Context, r *connect.Request[betweenv1.WatchRequest], stream *connect.ServerStream[betweenv1.WatchResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(f.opts.Stopping, cancel)
	defer stop()
	return configuration.Serve(ctx, f.opts.Source, configuration.PositionOf(r.Msg), stream.Send)
}

type ledger struct{ keeper *keeper.Keeper }

func (l *ledger) Reserve(ctx context.Context, r *connect.Request[betweenv1.ReserveRequest]) (*connect.Response[betweenv1.ReserveResponse], error) {
	if r.Msg.GetRequest() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("field request is missing: send the record to reserve for"))
	}
	answer, err := l.keeper.Reserve(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Start(ctx context.Context, r *connect.Request[betweenv1.StartRequest]) (*connect.Response[betweenv1.StartResponse], error) {
	answer, err := l.keeper.Start(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Settle(ctx context.Context, r *connect.Request[betweenv1.SettleRequest]) (*connect.Response[betweenv1.SettleResponse], error) {
	answer, err := l.keeper.Settle(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Lookup(ctx context.Context, r *connect.Request[betweenv1.LookupRequest]) (*connect.Response[betweenv1.LookupResponse], error) {
	answer, err := l.keeper.Lookup(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Claim(ctx context.Context, r *connect.Request[betweenv1.ClaimRequest]) (*connect.Response[betweenv1.ClaimResponse], error) {
	answer, err := l.keeper.Claim(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Recall(ctx context.Context, r *connect.Request[betweenv1.RecallRequest]) (*connect.Response[betweenv1.RecallResponse], error) {
	answer, err := l.keeper.Recall(ctx, r.Msg)
	return reply(answer, err, unavailable)
}

func (l *ledger) Beat(_ context.Context, r *connect.Request[betweenv1.BeatRequest]) (*connect.Response[betweenv1.BeatResponse], error) {
	l.keeper.Beat(r.Msg.GetBox())
	return connect.NewResponse(&betweenv1.BeatResponse{}), nil
}
