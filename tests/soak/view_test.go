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
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/peers"
)

// view gives one entry box addresses of its own for all servers and other entry boxes, so that the links
// between this box and them can fail while those of other boxes work. It stands between the box and
// control: it passes all calls on, and replaces the addresses in the list of targets and the directory.
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
	// boxLinks has the box's link to the address of each other entry box.
	boxLinks map[string]*link
	boxesCut linkFault
	// lag is how long the news of control are on their way, and held is closed once calls to control and
	// its answers go on, nil if they do.
	lag  time.Duration
	held chan struct{}
}

// newViewedFleet configures a fleet each of whose entry boxes has a view.
func newViewedFleet(t *testing.T, controls, entries int) (*fleet, map[string]*view) {
	t.Helper()
	return newPartlyViewedFleet(t, controls, entries, entries)
}

// newPartlyViewedFleet configures a fleet whose first entry boxes have a view.
func newPartlyViewedFleet(t *testing.T, controls, entries, viewed int) (*fleet, map[string]*view) {
	t.Helper()
	f := newFleet(t, controls, entries)
	secret, err := os.ReadFile(filepath.Join(f.dir, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	views := map[string]*view{}
	for i, b := range f.withRole("entry")[:viewed] {
		ip := b.ip[:strings.LastIndex(b.ip, ".")+1] + strconv.Itoa(firstViewIP+i)
		v := &view{box: b, ip: ip, controls: f.addresses("control", f.ports.between), links: map[string]*link{}, boxLinks: map[string]*link{}}
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
		for _, k := range v.boxLinks {
			k.close()
		}
	})
}

// pass waits until a message between the box and control that was sent at a time arrives.
func (v *view) pass(ctx context.Context, sentAt time.Time, lag time.Duration) error {
	v.mu.Lock()
	held := v.held
	v.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
	periodic.Sleep(ctx, time.Until(sentAt.Add(lag)))
	return ctx.Err()
}

// setLag sets how long the news of control are on their way.
func (v *view) setLag(lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = lag
}

// hold keeps all that the box and control send to each other on its way, until it is called again.
func (v *view) hold(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held != nil {
		close(v.held)
		v.held = nil
	}
	if on {
		v.held = make(chan struct{})
	}
}

// forward sends a call to the control boxes in turn until one answers. The error names no
// leader, so that the box stays with its view.
func forward[Q, A any](ctx context.Context, v *view, r *connect.Request[Q], method func(betweenv1connect.GatewayServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*connect.Response[A], error) {
	var last error
	if err := v.pass(ctx, time.Time{}, 0); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
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
	resp, err := forward(ctx, v, r, betweenv1connect.GatewayServiceClient.Lease)
	if err == nil {
		for _, b := range resp.Msg.GetDirectory().GetBoxes() {
			if b.GetName() != v.box.name {
				b.Address = v.boxAddressOf(b.GetAddress())
			}
		}
	}
	return resp, err
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
	began := time.Now()
	if err := v.pass(ctx, began, 0); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	for _, address := range v.controls {
		passed := time.Since(began)
		source, err := v.peers.Gateway(address).Follow(ctx, connect.NewRequest(r.Msg))
		if err != nil {
			last = err
			continue
		}
		if last = v.passNews(ctx, source, stream, passed); last != nil {
			return last
		}
		last = source.Err()
		_ = source.Close()
	}
	return connect.NewError(connect.CodeUnavailable, last)
}

// news is a message of control on its way to a box.
type news struct {
	message *betweenv1.FollowResponse
	sentAt  time.Time
	lag     time.Duration
}

// passNews passes the news of a control box on until they end. passed is how long after the box's
// request the control box was asked. The error is one of the way to the box.
func (v *view) passNews(ctx context.Context, source *connect.ServerStreamForClient[betweenv1.FollowResponse], stream *connect.ServerStream[betweenv1.FollowResponse], passed time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	onWay := make(chan news, newsOnWay)
	go func() {
		defer close(onWay)
		for source.Receive() {
			own := v.replaceAddresses(source.Msg())
			own.Elapsed += passed.Milliseconds()
			v.mu.Lock()
			lag := v.lag
			v.mu.Unlock()
			select {
			case onWay <- news{message: own, sentAt: time.Now(), lag: lag}:
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := range onWay {
		if err := v.pass(ctx, n.sentAt, n.lag); err != nil {
			return err
		}
		if err := stream.Send(n.message); err != nil {
			return err
		}
	}
	return nil
}

// newsOnWay is how many messages of control may be on their way to a box.
const newsOnWay = 100

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
	return v.linkTo(v.links, server, v.cut).address
}

// boxAddressOf returns the address of the box's link to another entry box.
func (v *view) boxAddressOf(box string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.linkTo(v.boxLinks, box, v.boxesCut).address
}

// linkTo returns the link to an address, with the fault of the others. The caller holds v.mu.
func (v *view) linkTo(links map[string]*link, address string, fault linkFault) *link {
	k := links[address]
	if k == nil {
		var err error
		if k, err = newLinkAt(net.JoinHostPort(v.ip, "0"), address); err != nil {
			panic(err)
		}
		links[address] = k
		k.apply(fault)
	}
	return k
}

// setBoxes applies a fault to the links from the box to all other entry boxes.
func (v *view) setBoxes(fault linkFault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.boxesCut = fault
	for _, k := range v.boxLinks {
		k.apply(fault)
	}
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
