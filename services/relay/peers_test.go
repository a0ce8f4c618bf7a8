// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/models/lease"
)

// fleetOf returns boxes of several data centres, named dc-0-box-0 and so on.
func fleetOf(centres, perCentre int) []lease.Box {
	var boxes []lease.Box
	for c := range centres {
		for n := range perCentre {
			centre := fmt.Sprintf("dc-%d", c)
			boxes = append(boxes, lease.Box{Name: fmt.Sprintf("%s-box-%d", centre, n), DataCentre: centre, Address: "a"})
		}
	}
	return boxes
}

func centresOf(boxes []lease.Box) []string {
	var list []string
	for _, b := range boxes {
		list = append(list, b.DataCentre)
	}
	return list
}

func TestOrderOfBoxesToAsk(t *testing.T) {
	const self, now = "dc-0-box-0", time.Second
	block := func(names ...string) func(pt *peerTable) {
		return func(pt *peerTable) {
			for _, name := range names {
				pt.recordNoPath(name, false, now)
			}
		}
	}
	tests := map[string]struct {
		boxes  []lease.Box
		before func(pt *peerTable)
		want   []string
	}{
		"no other box":               {boxes: fleetOf(1, 1)},
		"own data centre first":      {boxes: fleetOf(2, 5), want: []string{"dc-0", "dc-0", "dc-1", "dc-1", "dc-1"}},
		"few boxes":                  {boxes: fleetOf(2, 2), want: []string{"dc-0", "dc-1", "dc-1"}},
		"blocked boxes are left out": {boxes: fleetOf(2, 2), before: block("dc-0-box-1", "dc-1-box-0"), want: []string{"dc-1"}},
		"a failure alone does not block": {boxes: fleetOf(1, 2), want: []string{"dc-0"}, before: func(pt *peerTable) {
			pt.recordFailure("dc-0-box-1", now)
		}},
		"two failures block": {boxes: fleetOf(1, 2), before: func(pt *peerTable) {
			pt.recordFailure("dc-0-box-1", now)
			pt.recordFailure("dc-0-box-1", now)
		}},
		"an opened connection clears failures": {boxes: fleetOf(1, 2), want: []string{"dc-0"}, before: func(pt *peerTable) {
			pt.recordFailure("dc-0-box-1", now)
			pt.recordOpened("dc-0-box-1", now)
			pt.recordFailure("dc-0-box-1", now)
		}},
		"slow boxes come last": {boxes: fleetOf(2, 2), want: []string{"dc-1", "dc-1", "dc-0"}, before: func(pt *peerTable) {
			pt.recordSlow("dc-0-box-1", now)
		}},
		"all slow": {boxes: fleetOf(1, 3), want: []string{"dc-0", "dc-0"}, before: func(pt *peerTable) {
			pt.recordSlow("dc-0-box-1", now)
			pt.recordSlow("dc-0-box-2", now)
		}},
		"without an address": {boxes: []lease.Box{{Name: "dc-0-box-1", DataCentre: "dc-0"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pt := newPeerTable()
			if test.before != nil {
				test.before(pt)
			}
			got := pt.order(test.boxes, self, "dc-0", now, rand.New(rand.NewSource(1)))
			if slices.ContainsFunc(got, func(b lease.Box) bool { return b.Name == self }) {
				t.Error("the box itself is to be asked")
			}
			if diff := cmp.Diff(test.want, centresOf(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against refusals where most of a data centre is cut off, and nothing but a few boxes of
// it can be reached: a box that has had a path stays among those that are asked.
func TestProvenBoxIsAskedAgain(t *testing.T) {
	pt := newPeerTable()
	pt.recordOpened("dc-0-box-7", 0)
	rng := rand.New(rand.NewSource(1))
	for range 100 {
		got := pt.order(fleetOf(1, 30), "dc-0-box-0", "dc-0", time.Second, rng)
		if !slices.ContainsFunc(got, func(b lease.Box) bool { return b.Name == "dc-0-box-7" }) {
			t.Fatalf("the box that has had a path is not asked: %v", got)
		}
	}
}

// Guards against a few boxes that carry all connections of a data centre that is cut off: 100
// boxes open 20 connections each through the 200 boxes of two others.
func TestConnectionsSpreadOverAllBoxes(t *testing.T) {
	boxes := fleetOf(3, 100)
	carried := map[string]int{}
	for n := range 100 {
		rng := rand.New(rand.NewSource(int64(n)))
		pt := newPeerTable()
		for range 20 {
			for _, b := range pt.order(boxes, fmt.Sprintf("dc-0-box-%d", n), "dc-0", time.Second, rng) {
				if b.DataCentre == "dc-0" {
					pt.recordNoPath(b.Name, false, time.Second)
					continue
				}
				pt.recordOpened(b.Name, time.Second)
				carried[b.Name]++
				break
			}
		}
	}
	sum, most := 0, 0
	for _, n := range carried {
		sum += n
		most = max(most, n)
	}
	if mean := float64(sum) / 200; sum != 2000 || float64(most) > 2.5*mean {
		t.Fatalf("%d connections, the busiest box carries %d, the mean is %.1f", sum, most, mean)
	}
}

func TestBlocksGrow(t *testing.T) {
	pt := newPeerTable()
	var got []time.Duration
	now := time.Duration(0)
	for range 5 {
		block := pt.recordNoPath("box", false, now)
		if again := pt.recordNoPath("box", false, now); again != 0 {
			t.Fatalf("a blocked box is blocked for another %s", again)
		}
		got = append(got, block)
		now += block
	}
	if diff := cmp.Diff([]time.Duration{minBlock, 2 * minBlock, maxBlock, maxBlock, maxBlock}, got); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(unsupportedBlock, pt.recordNoPath("old", true, now)); diff != "" {
		t.Fatal(diff)
	}
}
