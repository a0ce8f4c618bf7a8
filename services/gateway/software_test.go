// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/modules/clock"
)

// Guards against a box that takes a service to have run one software only although streams of
// another one may go on: one whose targets have ended, or of which control has not told.
func TestSoleSoftwareOfAService(t *testing.T) {
	const window = 30 * time.Second
	target := func(id, service, version string) *statev1.RegisteredTarget {
		return &statev1.RegisteredTarget{Id: id, Service: service, Version: version, State: ready}
	}
	end := func(version string, at int64) *statev1.SoftwareEnd {
		return &statev1.SoftwareEnd{Service: "s", Version: version, At: at}
	}
	const now = 1_000_000
	one := []*statev1.RegisteredTarget{target("a", "s", "v1"), target("b", "s", "v1"), target("c", "other", "v2")}
	cases := map[string]struct {
		message *betweenv1.FollowResponse
		ok      bool
	}{
		"one version":                        {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true}, ok: true},
		"two versions":                       {message: &betweenv1.FollowResponse{Targets: append(one[:2:2], target("c", "s", "v2")), HasSoftwareEnds: true}},
		"one of them is not known":           {message: &betweenv1.FollowResponse{Targets: append(one[:2:2], target("c", "s", "")), HasSoftwareEnds: true}},
		"none":                               {message: &betweenv1.FollowResponse{Targets: one[2:], HasSoftwareEnds: true}},
		"another one has ended just now":     {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{end("v2", now-5000)}}},
		"another one ended long ago":         {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{end("v2", now-31000)}}, ok: true},
		"others of this one have ended":      {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{end("v1", now-5000)}}, ok: true},
		"control does not remember ends":     {message: &betweenv1.FollowResponse{Targets: one}},
		"ends were forgotten just now":       {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{{Service: software.AnyService, At: now - 5000}}}},
		"ends were forgotten long ago":       {message: &betweenv1.FollowResponse{Targets: one, HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{{Service: software.AnyService, At: now - 31000}}}, ok: true},
		"the last target has ended just now": {message: &betweenv1.FollowResponse{Targets: one[2:], HasSoftwareEnds: true, SoftwareEnds: []*statev1.SoftwareEnd{end("v1", now-5000)}}, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake()
			fake.Advance(time.Minute)
			s := NewStore(fake)
			c.message.TargetRevision, c.message.SoftwareEndsNow, c.message.Confirmed = 1, now, 200
			if _, err := s.Apply(c.message); err != nil {
				t.Fatal(err)
			}
			id, confirmedAt, ok := s.SoleSoftware("s", window)
			if ok != c.ok || ok && (id != "version v1" || confirmedAt != fake.Boot()-200*time.Millisecond) {
				t.Fatalf("got %q, confirmed at %s, %v", id, confirmedAt, ok)
			}
		})
	}
	if _, _, ok := NewStore(clock.NewFake()).SoleSoftware("s", window); ok {
		t.Error("a box that has heard nothing from control knows the software")
	}
}
