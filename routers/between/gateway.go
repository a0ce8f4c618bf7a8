// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package between

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// GatewayOptions are the parts of a control box that serve entry boxes which forward
// calls unchanged.
type GatewayOptions struct {
	Nodes   NodeProvider
	Gateway *control.Gateway
	// Source provides the routing table and the targets for Follow.
	Source gateway.Source
	// Stopping is canceled at shutdown, which ends the streams of Follow.
	Stopping       context.Context
	HandlerOptions []connect.HandlerOption
}

// NewGatewayHandler returns the handler of a control box.
func NewGatewayHandler(opts GatewayOptions) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewConsensusServiceHandler(&consensusServer{opts.Nodes}, opts.HandlerOptions...))
	mux.Handle(betweenv1connect.NewGatewayServiceHandler(&gatewayServer{opts}, opts.HandlerOptions...))
	return mux
}

type gatewayServer struct{ opts GatewayOptions }

func (g *gatewayServer) Follow(ctx context.Context, r *connect.Request[betweenv1.FollowRequest], stream *connect.ServerStream[betweenv1.FollowResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(g.opts.Stopping, cancel)
	defer stop()
	return gateway.Serve(ctx, g.opts.Source, r.Msg, stream.Send)
}

func (g *gatewayServer) Lease(ctx context.Context, r *connect.Request[betweenv1.LeaseRequest]) (*connect.Response[betweenv1.LeaseResponse], error) {
	answer, err := g.opts.Gateway.Lease(ctx, r.Msg)
	return respond(answer, err, gatewayError)
}

func (g *gatewayServer) Submit(ctx context.Context, r *connect.Request[betweenv1.SubmitRequest]) (*connect.Response[betweenv1.SubmitResponse], error) {
	e := r.Msg.GetEntry()
	err := g.opts.Gateway.Submit(ctx, e)
	return respond(&betweenv1.SubmitResponse{ReportNumber: e.GetReportCalls().GetNumber()}, err, gatewayError)
}

func (g *gatewayServer) ReadRouting(ctx context.Context, _ *connect.Request[betweenv1.ReadRoutingRequest]) (*connect.Response[betweenv1.ReadRoutingResponse], error) {
	answer, err := g.opts.Gateway.ReadRouting()
	return respond(answer, err, gatewayError)
}

func (g *gatewayServer) ReadClock(context.Context, *connect.Request[betweenv1.ReadClockRequest]) (*connect.Response[betweenv1.ReadClockResponse], error) {
	return connect.NewResponse(g.opts.Gateway.ReadClock()), nil
}

// gatewayError converts an error. An unknown outcome gets the code Unavailable, so that
// clients try again: all calls of this service are idempotent. An order that the state
// refuses gets gateway.CodeRefused, as every other box would refuse it too.
func gatewayError(err error) error {
	switch {
	case raft.IsErrOutcomeUnknown(err):
		return unavailable(err)
	case state.IsErrSuperseded(err), state.IsErrTooManyEvacuations(err):
		return connect.NewError(gateway.CodeRefused, err)
	default:
		return control.WireError(err)
	}
}
