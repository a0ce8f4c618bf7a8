// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/services/peers"
)

// view gives one entry box addresses of its own for all servers, so that the links between this
// box and the servers can fail while those of other boxes work. It stands between the box and
// control: it passes all calls on, and replaces the addresses in the list of targets.
type view struct {
	betweenv1connect.UnimplementedGatewayServiceHandler
	box      *box
	ip       string
	peers    *peers.Peers
	controls []string

	mu sync.Mutex
	// links has the box's link to each server address.
	links map[string]*link
	cut   linkFault
}

// newViewedFleet configures a fleet each of whose entry boxes has a view.
func newViewedFleet(t *testing.T, controls, entries int) (*fleet, map[string]*view) {
	t.Helper()
	f := newFleet(t, controls, entries)
	secret, err := os.ReadFile(filepath.Join(f.dir, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	views := map[string]*view{}
	for i, b := range f.withRole("entry") {
		ip := b.ip[:strings.LastIndex(b.ip, ".")+1] + strconv.Itoa(firstViewIP+i)
		v := &view{box: b, ip: ip, controls: f.addresses("control", f.ports.between), links: map[string]*link{}}
		v.peers = peers.New(peers.Options{Box: b.name, Secret: secret, Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
		v.serve(t, net.JoinHostPort(ip, strconv.Itoa(f.ports.between)))
		b.env = append(b.env, "HAVENWINCH_SEEDS="+ip)
		views[b.name] = v
	}
	return f, views
}

// firstViewIP is the last number of the IP address of the first view.
const firstViewIP = 150

func (v *view) serve(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewGatewayServiceHandler(v, v.peers.HandlerOptions()...))
	server := v.peers.Server(mux)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, k := range v.links {
			k.close()
		}
	})
}

// forward sends a call to the control boxes in turn until one answers. The error names no
// leader, so that the box stays with its view.
func forward[Q, A any](ctx context.Context, v *view, r *connect.Request[Q], method func(betweenv1connect.GatewayServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*connect.Response[A], error) {
	var last error
	for _, address := range v.controls {
		resp, err := method(v.peers.Gateway(address), ctx, connect.NewRequest(r.Msg))
		if err == nil {
			return connect.NewResponse(resp.Msg), nil
		}
		last = connect.NewError(connect.CodeOf(err), err)
	}
	return nil, last
}

func (v *view) Lease(ctx context.Context, r *connect.Request[betweenv1.LeaseRequest]) (*connect.Response[betweenv1.LeaseResponse], error) {
	return forward(ctx, v, r, betweenv1connect.GatewayServiceClient.Lease)
}

func (v *view) Submit(ctx context.Context, r *connect.Request[betweenv1.SubmitRequest]) (*connect.Response[betweenv1.SubmitResponse], error) {
	return forward(ctx, v, r, betweenv1connect.GatewayServiceClient.Submit)
}

func (v *view) ReadRouting(ctx context.Context, r *connect.Request[betweenv1.ReadRoutingRequest]) (*connect.Response[betweenv1.ReadRoutingResponse], error) {
	return forward(ctx, v, r, betweenv1connect.GatewayServiceClient.ReadRouting)
}

func (v *view) ReadClock(ctx context.Context, r *connect.Request[betweenv1.ReadClockRequest]) (*connect.Response[betweenv1.ReadClockResponse], error) {
	return forward(ctx, v, r, betweenv1connect.GatewayServiceClient.ReadClock)
}

func (v *view) Follow(ctx context.Context, r *connect.Request[betweenv1.FollowRequest], stream *connect.ServerStream[betweenv1.FollowResponse]) error {
	var last error
	for _, address := range v.controls {
		source, err := v.peers.Gateway(address).Follow(ctx, connect.NewRequest(r.Msg))
		if err != nil {
			last = err
			continue
		}
		for source.Receive() {
			if err := stream.Send(v.replaceAddresses(source.Msg())); err != nil {
				return err
			}
		}
		last = source.Err()
		_ = source.Close()
	}
	return connect.NewError(connect.CodeUnavailable, last)
}

// replaceAddresses returns a message with the addresses of this view.
func (v *view) replaceAddresses(r *betweenv1.FollowResponse) *betweenv1.FollowResponse {
	own := proto.Clone(r).(*betweenv1.FollowResponse)
	own.Members = nil
	for _, row := range own.GetTargets() {
		row.Address = v.addressOf(row.GetAddress())
	}
	return own
}

// addressOf returns the address of the box's link to a server.
func (v *view) addressOf(server string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.links[server]
	if k == nil {
		var err error
		if k, err = newLinkAt(net.JoinHostPort(v.ip, "0"), server); err != nil {
			panic(err)
		}
		v.links[server] = k
		k.apply(v.cut)
	}
	return k.address
}

// set applies a fault to the links between the box and all servers.
func (v *view) set(fault linkFault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = fault
	for _, k := range v.links {
		k.apply(fault)
	}
}
