// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/services/keeper"
)

// RemoteKeepers calls the ledgers of boxes: the one on this box directly, the others
// over the network. It implements Keepers and
// keeper.HomeKeepers.
type RemoteKeepers struct {
	Self string
	// Local is nil on a box without a ledger.
	Local  *keeper.Keeper
	Config Configuration
	Client func(address string) betweenv1connect.KeeperServiceClient
}

// ErrNoKeeper means that the configuration lists no keeper on a box.
type ErrNoKeeper struct{ Box string }

func (e ErrNoKeeper) Error() string {
	return "box " + e.Box + " is not listed as a keeper in the configuration"
}

func (k *RemoteKeepers) client(box string) (betweenv1connect.KeeperServiceClient, error) {
	for _, row := range k.Config.Keepers() {
		if row.GetBox() == box {
			return k.Client(row.GetAddress()), nil
		}
	}
	return nil, errors.WithStack(ErrNoKeeper{Box: box})
}

func (k *RemoteKeepers) local(box string) bool { return box == k.Self && k.Local != nil }

// call sends a request to the ledger of another box. m is the method to call.
func call[Q, A any](ctx context.Context, k *RemoteKeepers, box string, r *Q, m func(betweenv1connect.KeeperServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	client, err := k.client(box)
	if err != nil {
		return nil, err
	}
	resp, err := m(client, ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}

// Reserve implements Keepers.
func (k *RemoteKeepers) Reserve(ctx context.Context, box string, r *betweenv1.ReserveRequest) (*betweenv1.ReserveResponse, error) {
	if k.local(box) {
		return k.Local.Reserve(ctx, r)
	}
	return call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Reserve)
}

// Start implements Keepers.
func (k *RemoteKeepers) Start(ctx context.Context, box string, r *betweenv1.StartRequest) (*betweenv1.StartResponse, error) {
	if k.local(box) {
		return k.Local.Start(ctx, r)
	}
	return call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Start)
}

// Settle implements Keepers.
func (k *RemoteKeepers) Settle(ctx context.Context, box string, r *betweenv1.SettleRequest) (*betweenv1.SettleResponse, error) {
	if k.local(box) {
		return k.Local.Settle(ctx, r)
	}
	return call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Settle)
}

// Lookup implements Keepers.
func (k *RemoteKeepers) Lookup(ctx context.Context, box string, r *betweenv1.LookupRequest) (*betweenv1.LookupResponse, error) {
	if k.local(box) {
		return k.Local.Lookup(ctx, r)
	}
	return call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Lookup)
}

// Claim implements keeper.HomeKeepers.
func (k *RemoteKeepers) Claim(ctx context.Context, box string, r *betweenv1.ClaimRequest) (*betweenv1.ClaimResponse, error) {
	return call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Claim)
}

// Beat implements Keepers.
func (k *RemoteKeepers) Beat(ctx context.Context, box string, r *betweenv1.BeatRequest) error {
	if k.local(box) {
		k.Local.Beat(r.GetBox())
		return nil
	}
	_, err := call(ctx, k, box, r, betweenv1connect.KeeperServiceClient.Beat)
	return err
}
