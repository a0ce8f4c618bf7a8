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
)

// NewDrawHandler returns the handler of an entry box on whose leases other boxes may draw.
func NewDrawHandler(leases *gateway.Leases, opts []connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewDrawServiceHandler(&drawServer{leases}, opts...))
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
