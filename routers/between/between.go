// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package between implements the RPC services that boxes offer to each other.
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

// Options are the parts of a box that the services use. Node and Control are nil on a
// box without the role control, Keeper on one without the role keeper.
type Options struct {
	Node    *raft.Node
	Control *control.Service
	Keeper  *keeper.Keeper
	Source  configuration.Source
	// Stopping is canceled at shutdown, which ends the configuration streams.
	Stopping       context.Context
	HandlerOptions []connect.HandlerOption
}

// NewHandler returns the handler of all services that the box's roles provide.
func NewHandler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewConfigurationServiceHandler(&configurationServer{opts}, opts.HandlerOptions...))
	if opts.Node != nil {
		mux.Handle(betweenv1connect.NewConsensusServiceHandler(&consensusServer{staticNode{opts.Node}}, opts.HandlerOptions...))
		mux.Handle(betweenv1connect.NewControlServiceHandler(&controlServer{opts.Control}, opts.HandlerOptions...))
	}
	if opts.Keeper != nil {
		mux.Handle(betweenv1connect.NewKeeperServiceHandler(&keeperServer{opts.Keeper}, opts.HandlerOptions...))
	}
	return mux
}

// respond wraps an answer in a response. An error is converted by toConnect, which
// chooses the code that tells the client whether it may try again.
func respond[A any](answer *A, err error, toConnect func(error) error) (*connect.Response[A], error) {
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(answer), nil
}

func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// NodeProvider returns the box's current Raft node, or an error while it has none.
type NodeProvider interface {
	Node() (*raft.Node, error)
}

// staticNode provides a node that never changes.
type staticNode struct{ node *raft.Node }

func (f staticNode) Node() (*raft.Node, error) { return f.node, nil }

type consensusServer struct{ nodes NodeProvider }

// handleWithNode passes a request to the current node.
func handleWithNode[Q, A any](c *consensusServer, r *Q, answer func(*raft.Node, *Q) (*A, error)) (*connect.Response[A], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	a, err := answer(node, r)
	return respond(a, err, unavailable)
}

func (c *consensusServer) Vote(_ context.Context, r *connect.Request[betweenv1.VoteRequest]) (*connect.Response[betweenv1.VoteResponse], error) {
	return handleWithNode(c, r.Msg, (*raft.Node).HandleVote)
}

func (c *consensusServer) Append(_ context.Context, r *connect.Request[betweenv1.AppendRequest]) (*connect.Response[betweenv1.AppendResponse], error) {
	return handleWithNode(c, r.Msg, (*raft.Node).HandleAppend)
}

func (c *consensusServer) Install(_ context.Context, r *connect.Request[betweenv1.InstallRequest]) (*connect.Response[betweenv1.InstallResponse], error) {
	return handleWithNode(c, r.Msg, (*raft.Node).HandleInstall)
}

func (c *consensusServer) Identify(context.Context, *connect.Request[betweenv1.IdentifyRequest]) (*connect.Response[betweenv1.IdentifyResponse], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(node.HandleIdentify()), nil
}

func (c *consensusServer) Join(_ context.Context, r *connect.Request[betweenv1.JoinRequest]) (*connect.Response[betweenv1.JoinResponse], error) {
	node, err := c.nodes.Node()
	if err != nil {
		return nil, unavailable(err)
	}
	answer, err := node.HandleJoin(r.Msg)
	return respond(answer, err, control.WireError)
}

type controlServer struct{ service *control.Service }

func (c *controlServer) Sync(ctx context.Context, r *connect.Request[betweenv1.SyncRequest]) (*connect.Response[betweenv1.SyncResponse], error) {
	answer, err := c.service.Sync(ctx, r.Msg.GetSync())
	return respond(answer, err, control.WireError)
}

func (c *controlServer) Register(ctx context.Context, r *connect.Request[betweenv1.RegisterRequest]) (*connect.Response[betweenv1.RegisterResponse], error) {
	answer, err := c.service.Register(ctx, r.Msg.GetRegister())
	return respond(answer, err, control.WireError)
}

func (c *controlServer) Command(ctx context.Context, r *connect.Request[betweenv1.CommandRequest]) (*connect.Response[betweenv1.CommandResponse], error) {
	result, err := c.service.Command(ctx, r.Msg)
	return respond(&betweenv1.CommandResponse{Result: result}, err, control.WireError)
}

func (c *controlServer) Query(_ context.Context, r *connect.Request[betweenv1.QueryRequest]) (*connect.Response[betweenv1.QueryResponse], error) {
	answer, err := c.service.Query(r.Msg.GetText())
	return respond(answer, err, control.WireError)
}

func (c *controlServer) ReportCalls(ctx context.Context, r *connect.Request[betweenv1.ReportCallsRequest]) (*connect.Response[betweenv1.ReportCallsResponse], error) {
	if r.Msg.GetReport() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("field report is missing: send what is to be reported"))
	}
	report := r.Msg.GetReport()
	err := c.service.Quarantine().Report(ctx, report)
	return respond(&betweenv1.ReportCallsResponse{Number: report.GetNumber()}, err, control.WireError)
}

type configurationServer struct{ opts Options }

func (f *configurationServer) Watch(ctx context.Context, r *connect.Request[betweenv1.WatchRequest], stream *connect.ServerStream[betweenv1.WatchResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(f.opts.Stopping, cancel)
	defer stop()
	return configuration.Serve(ctx, f.opts.Source, configuration.PositionOf(r.Msg), stream.Send)
}

type keeperServer struct{ keeper *keeper.Keeper }

func (l *keeperServer) Reserve(ctx context.Context, r *connect.Request[betweenv1.ReserveRequest]) (*connect.Response[betweenv1.ReserveResponse], error) {
	if r.Msg.GetRequest() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("field request is missing: send the record to reserve for"))
	}
	answer, err := l.keeper.Reserve(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Start(ctx context.Context, r *connect.Request[betweenv1.StartRequest]) (*connect.Response[betweenv1.StartResponse], error) {
	answer, err := l.keeper.Start(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Settle(ctx context.Context, r *connect.Request[betweenv1.SettleRequest]) (*connect.Response[betweenv1.SettleResponse], error) {
	answer, err := l.keeper.Settle(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Lookup(ctx context.Context, r *connect.Request[betweenv1.LookupRequest]) (*connect.Response[betweenv1.LookupResponse], error) {
	answer, err := l.keeper.Lookup(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Claim(ctx context.Context, r *connect.Request[betweenv1.ClaimRequest]) (*connect.Response[betweenv1.ClaimResponse], error) {
	answer, err := l.keeper.Claim(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Recall(ctx context.Context, r *connect.Request[betweenv1.RecallRequest]) (*connect.Response[betweenv1.RecallResponse], error) {
	answer, err := l.keeper.Recall(ctx, r.Msg)
	return respond(answer, err, unavailable)
}

func (l *keeperServer) Beat(_ context.Context, r *connect.Request[betweenv1.BeatRequest]) (*connect.Response[betweenv1.BeatResponse], error) {
	l.keeper.Beat(r.Msg.GetBox())
	return connect.NewResponse(&betweenv1.BeatResponse{}), nil
}
