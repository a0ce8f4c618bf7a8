// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/pack"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
)

// tableWith returns a table with 300 routes, one of which depends on the version.
func tableWith(version uint64) *statev1.RoutingTable {
	t := &statev1.RoutingTable{Version: version, Source: []byte("document"), Limits: &statev1.CallerLimits{}}
	for n := range 300 {
		t.Routes = append(t.Routes, &statev1.Route{Name: fmt.Sprint("r", n), Host: "h", PathPrefix: fmt.Sprintf("/%d/", n), Timeout: 5})
	}
	t.Routes[7].Timeout = uint32(version)
	return t
}

type feed struct {
	t       *testing.T
	gateway *control.Gateway
	source  *MachineSource
}

func newFeed(t *testing.T) *feed {
	machine := control.NewMachine()
	return &feed{
		t:       t,
		gateway: &control.Gateway{Log: controltest.Log{Machine: machine}, Machine: machine, Clock: clock.NewFake(), Logger: logging.Discard()},
		source:  &MachineSource{Machine: machine, Clock: clock.NewFake(), GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }},
	}
}

func (f *feed) put(version uint64) {
	f.t.Helper()
	packed, err := pack.Pack(tableWith(version))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.gateway.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Packed: packed}}}); err != nil {
		f.t.Fatal(err)
	}
}

// take updates a store from the source and returns the message.
func (f *feed) take(s *Store) *betweenv1.FollowResponse {
	f.t.Helper()
	resp := f.source.After(s.Position())
	if _, err := s.Apply(resp); err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// A follower is sent a delta, or the whole table compressed if its version is not kept
// any more.
func TestFollowersAreSentChanges(t *testing.T) {
	f := newFeed(t)
	f.put(2)
	s := NewStore(clock.NewFake())
	if resp := f.take(s); len(resp.GetPackedRouting()) == 0 {
		t.Fatalf("the first message is %v", resp)
	}
	whole := proto.Size(withoutSource(tableWith(2)))
	for version := uint64(3); version < 6; version++ {
		f.put(version)
		resp := f.take(s)
		if size := proto.Size(resp); resp.GetDelta().GetBase() != version-1 || size > whole/20 {
			t.Fatalf("version %d was sent in %d bytes, the whole table has %d", version, size, whole)
		}
		if r := s.Index().Route("h", "/7/x"); r.GetTimeout() != uint32(version) || len(s.Index().Table.GetRoutes()) != 300 {
			t.Fatalf("version %d: route %v of %d", version, r, len(s.Index().Table.GetRoutes()))
		}
	}
	late := NewStore(clock.NewFake())
	f.take(late)
	for version := uint64(6); version < 6+maxTables+1; version++ {
		f.put(version)
		f.take(s)
	}
	if resp := f.take(late); len(resp.GetPackedRouting()) == 0 || late.Index().Table.GetVersion() != 6+maxTables {
		t.Fatalf("a follower that is far behind was sent %v", resp)
	}
}

// A delta with another base than the follower's table has no effect.
func TestDeltaWithAnotherBaseIsRefused(t *testing.T) {
	s := NewStore(clock.NewFake())
	if _, err := s.Apply(&betweenv1.FollowResponse{Routing: withoutSource(tableWith(4))}); err != nil {
		t.Fatal(err)
	}
	_, err := s.Apply(&betweenv1.FollowResponse{Delta: &statev1.RoutingDelta{Base: 3, Changed: &statev1.RoutingTable{Version: 9}}})
	if version := s.Position().Version; err == nil || version != 4 {
		t.Fatalf("version %d, %v", version, err)
	}
	if _, err := NewStore(clock.NewFake()).Apply(&betweenv1.FollowResponse{Delta: &statev1.RoutingDelta{Base: 0, Changed: &statev1.RoutingTable{Version: 9}}}); err == nil {
		t.Fatal("a delta was accepted without a table")
	}
}

// A corrupt table is neither put in force nor acknowledged.
func TestDamagedTableIsRefused(t *testing.T) {
	f := newFeed(t)
	err := f.gateway.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutRouting{PutRouting: &statev1.PutRouting{Packed: []byte("no table")}}})
	if err == nil || f.source.After(Position{}).GetRouting() != nil {
		t.Fatalf("a corrupt table was accepted: %v", err)
	}
}
