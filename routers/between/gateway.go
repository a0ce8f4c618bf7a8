// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package between

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// GatewayOptions name what a control box serves to boxes that pass calls
// through.
type GatewayOptions struct {
	Nodes   Nodes
	Gateway *control.Gateway
	// Source is where followers are served from.
	Source   gateway.Source
	Stopping context.Context
	Handler  []connect.HandlerOption
}

// NewGateway returns the handler of a control box.
func NewGateway(opts GatewayOptions) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewConsensusServiceHandler(&consensus{opts.Nodes}, opts.Handler...))
	mux.Handle(betweenv1connect.NewGatewayServiceHandler(&gatewayCalls{opts}, opts.Handler...))
	return mux
}

type gatewayCalls struct{ opts GatewayOptions }

func (g *gatewayCalls) Follow(ctx context.Context, r *connect.Request[betweenv1.FollowRequest], stream *connect.ServerStream[betweenv1.FollowResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(g.opts.Stopping, cancel)
	defer stop()
	return gateway.Serve(ctx, g.opts.Source, r.Msg, stream.Send)
}

func (g *gatewayCalls) Lease(ctx context.Context, r *connect.Request[betweenv1.LeaseRequest]) (*connect.Response[betweenv1.LeaseResponse], error) {
	answer, err := g.opts.Gateway.Lease(ctx, r.Msg)
	return reply(answer, err, wireUnknown)
}

func (g *gatewayCalls) Submit(ctx context.Context, r *connect.Request[betweenv1.SubmitRequest]) (*connect.Response[betweenv1.SubmitResponse], error) {
	e := r.Msg.GetEntry()
	err := g.opts.Gateway.Submit(ctx, e)
	return reply(&betweenv1.SubmitResponse{ReportNumber: e.GetReportCalls().GetNumber()}, err, wireUnknown)
}

func (g *gatewayCalls) ReadRouting(ctx context.Context, _ *connect.Request[betweenv1.ReadRoutingRequest]) (*connect.Response[betweenv1.ReadRoutingResponse], error) {
	answer, err := g.opts.Gateway.ReadRouting()
	return reply(answer, err, wireUnknown)
}

func (g *gatewayCalls) ReadClock(context.Context, *connect.Request[betweenv1.ReadClockRequest]) (*connect.Response[betweenv1.ReadClockResponse], error) {
	return connect.NewResponse(g.opts.Gateway.ReadClock()), nil
}

// wireUnknown gives an outcome that is not known the code for asking again:
// all calls of this service may be repeated.
func wireUnknown(err error) error {
	if raft.IsErrOutcomeUnknown(err) {
		return unavailable(err)
	}
	return control.WireError(err)
}
