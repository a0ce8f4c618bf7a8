// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
)

// slowPath is a control box whose messages wait on their way: the request for onWay of the clock's time
// before it arrives, and each message until pass lets it through.
type slowPath struct {
	betweenv1connect.UnimplementedGatewayServiceHandler
	source Source
	clock  *clock.Fake
	onWay  time.Duration
	// made has a value for each message that control has made.
	made, pass chan struct{}
}

func (p *slowPath) Follow(ctx context.Context, r *connect.Request[betweenv1.FollowRequest], stream *connect.ServerStream[betweenv1.FollowResponse]) error {
	p.clock.Advance(p.onWay)
	return Serve(ctx, p.source, r.Msg, func(resp *betweenv1.FollowResponse) error {
		p.made <- struct{}{}
		select {
		case <-p.pass:
			return stream.Send(resp)
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// Guards against news of control that have waited on their way, as in the buffers of a box that stood
// still, and are taken for present ones: a version that has joined since would not count.
func TestNewsThatWaitOnTheirWayAreOld(t *testing.T) {
	cases := map[string]struct {
		// onWay is how long the request to follow is on its way, waits how long each message is.
		onWay, waits time.Duration
	}{
		"at once":                      {},
		"the message waits":            {waits: 800 * time.Millisecond},
		"the request waits":            {onWay: 300 * time.Millisecond},
		"both wait":                    {onWay: 100 * time.Millisecond, waits: 300 * time.Millisecond},
		"the message waits for longer": {waits: 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := clock.NewFake()
			fake.Advance(time.Hour)
			machine := control.NewMachine()
			g := &control.Gateway{Log: controltest.Log{Machine: machine}, Machine: machine, Clock: fake, Logger: logging.Discard()}
			register := func(id, version string) {
				row := &statev1.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", Version: version, State: ready, Sequence: 1, Born: 1}
				if err := g.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: []*statev1.RegisteredTarget{row}}}}); err != nil {
					t.Fatal(err)
				}
			}
			register("a", "v1")
			path := &slowPath{clock: fake, onWay: c.onWay, made: make(chan struct{}), pass: make(chan struct{}),
				source: &MachineSource{Machine: machine, Clock: fake, GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }}}
			mux := http.NewServeMux()
			mux.Handle(betweenv1connect.NewGatewayServiceHandler(path))
			server := httptest.NewServer(mux)
			defer server.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store, applied := NewStore(fake), make(chan struct{})
			client := NewClient([]string{server.URL}, func(address string) betweenv1connect.GatewayServiceClient {
				return betweenv1connect.NewGatewayServiceClient(server.Client(), address)
			})
			follower := &Follower{Box: "edge", Store: store, Client: client, Logger: logging.Discard(), OnChange: func(Changes) {
				select {
				case applied <- struct{}{}:
				case <-ctx.Done():
				}
			}}
			go follower.Run(ctx)
			for range 3 {
				<-path.made
				madeAt := fake.Boot()
				var revision uint64
				machine.Read(func(st *state.State) { revision = st.Routing.TargetRevision })
				fake.Advance(c.waits)
				path.pass <- struct{}{}
				<-applied
				id, confirmedAt, ok := store.SoleSoftware("s", 30*time.Second)
				if !ok || id != "version v1" || store.Position().Targets != revision {
					t.Fatalf("got %q, %v at revision %d", id, ok, store.Position().Targets)
				}
				if confirmedAt > madeAt {
					t.Errorf("the copy counts as complete %s after its news were made", confirmedAt-madeAt)
				}
				if late := madeAt - confirmedAt; late > c.onWay+maxSlowness {
					t.Errorf("the copy counts as complete up to %s before its news were made, want %s at most", late, c.onWay+maxSlowness)
				}
			}
		})
	}
}

// maxSlowness bounds by how much more than the request was on its way news of the first seconds count as
// older than they are.
const maxSlowness = 50 * time.Millisecond

// Guards against news that are dated by a request of long ago, by which another box's clock may have gone
// ahead, and by one that was long on its way, by which they all count as old.
func TestFollowersAskAnewInTime(t *testing.T) {
	const askedAt = time.Hour
	cases := map[string]struct {
		// elapsed is what the control box tells in the first message, and read when it is read.
		elapsed, read time.Duration
		renewAt       time.Duration
	}{
		"prompt":                         {read: promptRequest, renewAt: renewInterval},
		"control waited to be in sync":   {elapsed: syncWait, read: syncWait + promptRequest/2, renewAt: renewInterval},
		"the request or answer was slow": {read: promptRequest + 1, renewAt: promptRequest + 1 + soonRenewal},
		"a box that does not tell":       {read: syncWait, renewAt: syncWait + soonRenewal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := dating{askedAt: askedAt}
			if d.isOver(&betweenv1.FollowResponse{Elapsed: c.elapsed.Milliseconds()}, askedAt+c.read) {
				t.Error("asks anew at once")
			}
			late := &betweenv1.FollowResponse{}
			if d.isOver(late, askedAt+c.renewAt-1) || !d.isOver(late, askedAt+c.renewAt) {
				t.Errorf("asks anew at %s, want %s", d.renewAt-askedAt, c.renewAt)
			}
		})
	}
	d, elapsed := dating{askedAt: askedAt}, renewInterval.Milliseconds()
	if got, most := d.madeAt(&betweenv1.FollowResponse{Elapsed: elapsed}), askedAt+renewInterval-renewInterval/driftPart; got > most {
		t.Errorf("a message is dated %s after the request, want %s at most for a clock that is fast", got-askedAt, most-askedAt)
	}
}
