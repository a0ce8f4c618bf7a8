// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peers

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
)

// Consensus carries the replicated log between control boxes. It implements
// raft.Transport.
type Consensus struct {
	clients map[string]betweenv1connect.ConsensusServiceClient
}

// Consensus returns a transport over boxes by name.
func (p *Peers) Consensus(addresses map[string]string) *Consensus {
	c := &Consensus{clients: map[string]betweenv1connect.ConsensusServiceClient{}}
	for name, address := range addresses {
		c.clients[name] = betweenv1connect.NewConsensusServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
	}
	return c
}

// Control returns clients of the control service by name.
func (p *Peers) Control(addresses map[string]string) map[string]betweenv1connect.ControlServiceClient {
	clients := map[string]betweenv1connect.ControlServiceClient{}
	for name, address := range addresses {
		clients[name] = betweenv1connect.NewControlServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
	}
	return clients
}

// Configuration returns the client of the configuration feed at an address.
func (p *Peers) Configuration(address string) betweenv1connect.ConfigurationServiceClient {
	return betweenv1connect.NewConfigurationServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
}

// Recall asks a keeper for free tokens.
func (p *Peers) Recall(ctx context.Context, address string, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error) {
	return unary(ctx, r, p.Keeper(address).Recall)
}

// Vote implements raft.Transport.
func (c *Consensus) Vote(ctx context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error) {
	return unary(ctx, r, c.clients[to].Vote)
}

// Append implements raft.Transport.
func (c *Consensus) Append(ctx context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error) {
	return unary(ctx, r, c.clients[to].Append)
}

// Install implements raft.Transport.
func (c *Consensus) Install(ctx context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error) {
	return unary(ctx, r, c.clients[to].Install)
}

// Identify implements raft.Transport.
func (c *Consensus) Identify(ctx context.Context, to string, r *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	return unary(ctx, r, c.clients[to].Identify)
}

func unary[Q, A any](ctx context.Context, r *Q, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	resp, err := call(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}
