// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Guards against calls of targets that are dropped although they change what boxes reckon with.
func TestChangedRegistrationsAreCommitted(t *testing.T) {
	known := &statev1.RegisteredTarget{Id: "t", Born: 5, Service: "s", Address: "10.0.0.1:1", Version: "v1", Slots: 8, Sequence: 1, State: statev1.RegisteredTarget_STATE_READY}
	tests := map[string]struct {
		change    func(*statev1.RegisteredTarget)
		unchanged bool
	}{
		"sequence alone": {change: func(t *statev1.RegisteredTarget) { t.Sequence = 9 }, unchanged: true},
		"slots":          {change: func(t *statev1.RegisteredTarget) { t.Slots = 6 }},
		"address":        {change: func(t *statev1.RegisteredTarget) { t.Address = "10.0.0.2:1" }},
		"version":        {change: func(t *statev1.RegisteredTarget) { t.Version = "v2" }},
		"start":          {change: func(t *statev1.RegisteredTarget) { t.Born = 6 }},
		"state":          {change: func(t *statev1.RegisteredTarget) { t.State = statev1.RegisteredTarget_STATE_DRAINING }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			row := proto.Clone(known).(*statev1.RegisteredTarget)
			test.change(row)
			if got := isUnchanged(known, row); got != test.unchanged {
				t.Errorf("isUnchanged is %v, want %v", got, test.unchanged)
			}
		})
	}
}

// Guards against a running target that is never registered again after a late call of another start.
func TestCallsOfASupersededStartAreCommitted(t *testing.T) {
	for name, superseded := range map[string]bool{"it has left": false, "another start has called from its address": true} {
		t.Run(name, func(t *testing.T) {
			known := &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "10.0.0.1:1", Sequence: 1, State: statev1.RegisteredTarget_STATE_GONE, Superseded: superseded}
			row := &statev1.RegisteredTarget{Id: "t", Service: "s", Address: "10.0.0.1:1", Sequence: 2, State: statev1.RegisteredTarget_STATE_READY}
			if got := isUnchanged(known, row); got == superseded {
				t.Errorf("isUnchanged is %v", got)
			}
		})
	}
}
