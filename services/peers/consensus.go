// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peers

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
)

// Consensus sends the messages of the consensus protocol between control boxes. It
// implements raft.Transport.
type Consensus struct {
	peers   *Peers
	mu      sync.Mutex
	clients map[string]betweenv1connect.ConsensusServiceClient
}

// Consensus returns a transport for boxes, whose addresses are given by name. The name of
// a box that is not in addresses is taken as its address.
func (p *Peers) Consensus(addresses map[string]string) *Consensus {
	c := &Consensus{peers: p, clients: map[string]betweenv1connect.ConsensusServiceClient{}}
	for name, address := range addresses {
		c.clients[name] = betweenv1connect.NewConsensusServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
	}
	return c
}

func (c *Consensus) client(name string) betweenv1connect.ConsensusServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[name]
	if client == nil {
		client = betweenv1connect.NewConsensusServiceClient(c.peers.client, c.peers.BaseURL(name), c.peers.ClientOptions()...)
		c.clients[name] = client
	}
	return client
}

// Gateway returns the client of the gateway service at an address.
func (p *Peers) Gateway(address string) betweenv1connect.GatewayServiceClient {
	return betweenv1connect.NewGatewayServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
}

// Draws returns the client of the draw service of the entry box at an address.
func (p *Peers) Draws(address string) betweenv1connect.DrawServiceClient {
	return betweenv1connect.NewDrawServiceClient(p.client, p.BaseURL(address), p.ClientOptions()...)
}

// Relays returns the client of the relay service of the entry box at an address.
func (p *Peers) Relays(address string) betweenv1connect.RelayServiceClient {
	return betweenv1connect.NewRelayServiceClient(p.carrying, p.BaseURL(address), p.ClientOptions()...)
}

// Streams returns the client of the stream service of the entry box at an address.
func (p *Peers) Streams(address string) betweenv1connect.StreamServiceClient {
	return betweenv1connect.NewStreamServiceClient(p.recording, p.BaseURL(address), p.ClientOptions()...)
}

// Seats returns the client of the seat service of the entry box at an address.
func (p *Peers) Seats(address string) betweenv1connect.SeatServiceClient {
	return betweenv1connect.NewSeatServiceClient(p.recording, p.BaseURL(address), p.ClientOptions()...)
}

// Control returns clients of the control service, keyed by the name of the box.
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

// Recall asks a keeper to return free tokens.
func (p *Peers) Recall(ctx context.Context, address string, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error) {
	return unary(ctx, r, p.Keeper(address).Recall)
}

// Vote implements raft.Transport.
func (c *Consensus) Vote(ctx context.Context, to string, r *betweenv1.VoteRequest) (*betweenv1.VoteResponse, error) {
	return unary(ctx, r, c.client(to).Vote)
}

// Append implements raft.Transport.
func (c *Consensus) Append(ctx context.Context, to string, r *betweenv1.AppendRequest) (*betweenv1.AppendResponse, error) {
	return unary(ctx, r, c.client(to).Append)
}

// Install implements raft.Transport.
func (c *Consensus) Install(ctx context.Context, to string, r *betweenv1.InstallRequest) (*betweenv1.InstallResponse, error) {
	return unary(ctx, r, c.client(to).Install)
}

// Identify implements raft.Transport.
func (c *Consensus) Identify(ctx context.Context, to string, r *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	return unary(ctx, r, c.client(to).Identify)
}

// Join implements raft.Transport.
func (c *Consensus) Join(ctx context.Context, to string, r *betweenv1.JoinRequest) (*betweenv1.JoinResponse, error) {
	return unary(ctx, r, c.client(to).Join)
}

func unary[Q, A any](ctx context.Context, r *Q, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	resp, err := call(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return resp.Msg, nil
}
