// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A deployment gives the same figures each time: what differs comes from the policy.
func TestPlaysRepeat(t *testing.T) {
	d := draw(3)
	first, again := measure(&d, newPlay(&d, policies[0]).run()), measure(&d, newPlay(&d, policies[0]).run())
	if diff := cmp.Diff(first, again, cmp.AllowUnexported(figures{})); diff != "" {
		t.Fatal(diff)
	}
}

// Streams wait for each step: one that reads a chunk of a prompt makes their pauses longer
// by the time of the chunk.
func TestStreamsWaitForChunks(t *testing.T) {
	d := deployment{step: 2 * time.Millisecond, chunk: 1000, perToken: 10 * time.Microsecond, slots: 4, stride: 1, cache: 1 << 20}
	e := newEngine(&d)
	e.add(&call{arrival: arrival{own: 100, out: 50, part: 1}}, 0, nil)
	e.end(e.stepEnds)
	stream := e.running[0]
	e.add(&call{arrival: arrival{own: 3000, out: 50, part: 2}}, e.stepEnds, nil)
	for range 5 {
		e.end(e.stepEnds)
	}
	if want := d.step + 1000*d.perToken; stream.longest != want {
		t.Fatalf("the longest pause was %s, want %s", stream.longest, want)
	}
}

// A part that is kept is not read again, until others take its place.
func TestPartsAreKept(t *testing.T) {
	d := deployment{step: time.Millisecond, chunk: 1 << 20, perToken: time.Microsecond, slots: 4, stride: 1, cache: 250}
	e := newEngine(&d)
	for _, step := range []struct {
		part uint64
		left int
	}{{1, 110}, {1, 10}, {2, 110}, {3, 110}, {1, 110}} {
		c := &call{arrival: arrival{part: step.part, shared: 100, own: 10, out: 1}}
		e.add(c, e.stepEnds, nil)
		if c.left != step.left {
			t.Fatalf("part %d: %d tokens are read, want %d", step.part, c.left, step.left)
		}
		for !c.ended {
			e.end(e.stepEnds)
		}
	}
}
