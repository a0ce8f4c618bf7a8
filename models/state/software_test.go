// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Guards against software that is forgotten when its last target ends, whatever tells of the end,
// while streams that it has begun may still go on.
func TestEndsOfSoftware(t *testing.T) {
	version := func(row *statev1.RegisteredTarget, version string) *statev1.RegisteredTarget {
		row.Version = version
		return row
	}
	cases := map[string]struct {
		calls []*statev1.RegisteredTarget
		// want has the time of the last end by version.
		want map[string]int64
	}{
		"registers":                    {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1")}, want: map[string]int64{}},
		"drains":                       {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1"), version(start("a", "x", 10, draining, 2), "v1")}, want: map[string]int64{}},
		"deregisters":                  {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1"), start("a", "", 10, gone, 0)}, want: map[string]int64{"v1": 2}},
		"is replaced at its address":   {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1"), version(start("b", "x", 20, ready, 1), "v2")}, want: map[string]int64{"v1": 2}},
		"starts again at another":      {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1"), version(start("a", "x", 20, ready, 1), "v2")}, want: map[string]int64{"v1": 2}},
		"a late call of the old start": {calls: []*statev1.RegisteredTarget{version(start("a", "x", 20, ready, 1), "v2"), version(start("a", "x", 10, ready, 9), "v1")}, want: map[string]int64{}},
		"changes under one start":      {calls: []*statev1.RegisteredTarget{version(start("a", "x", 10, ready, 1), "v1"), version(start("a", "x", 10, ready, 2), "v2")}, want: map[string]int64{"v1": 2}},
		"does not know its version":    {calls: []*statev1.RegisteredTarget{start("a", "x", 10, ready, 1), start("a", "", 10, gone, 0)}, want: map[string]int64{"": 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouting()
			for i, call := range c.calls {
				r.putTarget(call, int64(i+1))
			}
			var s statev1.Snapshot
			r.snapshot(&s)
			got := map[string]int64{}
			for _, e := range routingFromSnapshot(&s).SoftwareEnds.Rows() {
				got[e.GetVersion()] = e.GetAt()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}
