// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package between

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/relay"
	"havenwinch.dev/havenwinch/services/resume"
	"havenwinch.dev/havenwinch/services/seats"
)

// NewEntryHandler returns the handler of an entry box on whose leases other boxes may draw, and
// which carries connections to targets, keeps the records of streams and grants seats for them.
func NewEntryHandler(leases *gateway.Leases, relays *relay.Server, streams *resume.Service, granted *seats.Server, opts []connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewDrawServiceHandler(&drawServer{leases}, opts...))
	mux.Handle(betweenv1connect.NewRelayServiceHandler(&relayServer{relays}, opts...))
	mux.Handle(betweenv1connect.NewStreamServiceHandler(&streamServer{streams}, opts...))
	mux.Handle(betweenv1connect.NewSeatServiceHandler(&seatServer{granted}, opts...))
	return mux
}

type drawServer struct{ leases *gateway.Leases }

func (d *drawServer) Draw(ctx context.Context, r *connect.Request[betweenv1.DrawRequest]) (*connect.Response[betweenv1.DrawResponse], error) {
	return connect.NewResponse(d.leases.Draw(ctx, r.Msg)), nil
}

func (d *drawServer) Settle(_ context.Context, r *connect.Request[betweenv1.SettleDrawsRequest]) (*connect.Response[betweenv1.SettleDrawsResponse], error) {
	d.leases.SettleDraws(r.Msg)
	return connect.NewResponse(&betweenv1.SettleDrawsResponse{}), nil
}

type relayServer struct{ relays *relay.Server }

func (r *relayServer) Connect(ctx context.Context, stream *connect.BidiStream[betweenv1.ConnectRequest, betweenv1.ConnectResponse]) error {
	return r.relays.Serve(ctx, stream)
}

type streamServer struct{ streams *resume.Service }

func (s *streamServer) Record(_ context.Context, r *connect.Request[betweenv1.RecordRequest]) (*connect.Response[betweenv1.RecordResponse], error) {
	err := s.streams.StoreRecord(r.Msg)
	if resume.IsErrLeaving(err) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&betweenv1.RecordResponse{}), nil
}

func (s *streamServer) Find(_ context.Context, r *connect.Request[betweenv1.FindRequest]) (*connect.Response[betweenv1.FindResponse], error) {
	resp, err := s.streams.LookUp(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(resp), nil
}

type seatServer struct{ seats *seats.Server }

func (s *seatServer) Hold(ctx context.Context, stream *connect.BidiStream[betweenv1.HoldRequest, betweenv1.HoldResponse]) error {
	return s.seats.Serve(ctx, stream)
}

func (s *seatServer) Holds(_ context.Context, r *connect.Request[betweenv1.HoldsRequest]) (*connect.Response[betweenv1.HoldsResponse], error) {
	holds, canHold := s.seats.Holds(r.Msg.GetService(), r.Msg.GetDataCentre())
	return connect.NewResponse(&betweenv1.HoldsResponse{Holds: holds, CanHold: canHold}), nil
}
