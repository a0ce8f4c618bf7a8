// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package raft

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk/disktest"
	"havenwinch.dev/havenwinch/modules/logging"
)

// identifyTransport gives the same answer for every box that is asked.
type identifyTransport struct {
	Transport
	resp *betweenv1.IdentifyResponse
}

func (s identifyTransport) Identify(context.Context, string, *betweenv1.IdentifyRequest) (*betweenv1.IdentifyResponse, error) {
	return s.resp, nil
}

// Guards against an empty disk that applies entries on top of members that reflect them already.
func TestEmptyDiskStoresHowMuchOfTheLogItsMembersReflect(t *testing.T) {
	members := membersToProto(currentMembers())
	tests := map[string]struct {
		resp *betweenv1.IdentifyResponse
		want uint64
	}{
		"box that has restarted":              {resp: &betweenv1.IdentifyResponse{Members: members, MembersIndex: 5}, want: 5},
		"box that has committed more":         {resp: &betweenv1.IdentifyResponse{Members: members, MembersIndex: 5, Commit: 7}, want: 7},
		"version that doesn't send the index": {resp: &betweenv1.IdentifyResponse{Members: members, Commit: 4}, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := disktest.New()
			opts := NodeOptions{
				Options: Options{Self: "d", Members: []string{"a", "d"}, ElectionTimeout: time.Second, HeartbeatInterval: time.Second, Rand: rand.New(rand.NewSource(1))},
				Disk:    d, Transport: identifyTransport{resp: test.resp}, Machine: &listMachine{}, Clock: clock.System{}, Logger: logging.Discard(),
				NewIncarnation: func() string { return "d-2" },
			}
			n, err := NewNode(opts)
			if err != nil {
				t.Fatal(err)
			}
			if err := n.join(context.Background()); err != nil {
				t.Fatal(err)
			}
			_, stored, err := openStore(d, opts.NewIncarnation)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(currentMembers(), stored.Members); diff != "" || stored.MembersIndex != test.want {
				t.Errorf("stored the members at index %d, want %d (-want +got):\n%s", stored.MembersIndex, test.want, diff)
			}
			if got := n.HandleIdentify().GetMembersIndex(); got != test.want {
				t.Errorf("identifies with the members at index %d, want %d", got, test.want)
			}
		})
	}
}
