// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// speedBox is what a box has of the list of speeds.
type speedBox struct {
	f        *gatewayFixture
	name     string
	sample   uint64
	list     string
	revision uint64
}

// report sends samples as a new report, and returns the speeds in the answer.
func (b *speedBox) report(t *testing.T, samples ...*betweenv1.SpeedSample) []string {
	t.Helper()
	b.sample++
	return b.repeat(t, samples...)
}

// repeat sends samples with the number of the last report.
func (b *speedBox) repeat(t *testing.T, samples ...*betweenv1.SpeedSample) []string {
	t.Helper()
	resp, err := b.f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: b.name + "@1", Box: b.name, Sample: b.sample, SpeedSamples: samples, SpeedsList: b.list, SpeedsRevision: b.revision})
	if err != nil {
		t.Fatal(err)
	}
	b.list, b.revision = resp.GetSpeedsList(), resp.GetSpeedsRevision()
	got := []string{}
	for _, m := range resp.GetSpeeds() {
		got = append(got, fmt.Sprintf("%s@%d %d", m.GetTarget(), m.GetBorn(), m.GetPromptTokenTime()))
	}
	return got
}

func prompt(target string, born int64) *betweenv1.SpeedSample {
	return &betweenv1.SpeedSample{Target: target, Born: born, PromptTokens: 1000, PromptTime: 40000}
}

// Speeds that some boxes have measured reach all boxes once, and those of targets that are not
// registered none.
func TestSpeedsReachEveryBox(t *testing.T) {
	f := newGateway(t)
	f.registerTargets(t, 2)
	a, b := &speedBox{f: f, name: "a"}, &speedBox{f: f, name: "b"}
	var got []string
	for range 8 {
		got = a.report(t, prompt("t0", 5), prompt("t1", 4), prompt("gone", 5))
	}
	if fmt.Sprint(got) != "[t0@5 40000]" {
		t.Fatalf("the box that has reported was sent %v", got)
	}
	if got = b.report(t); fmt.Sprint(got) != "[t0@5 40000]" {
		t.Fatalf("the other box was sent %v", got)
	}
	if got = b.report(t); len(got) != 0 {
		t.Fatalf("the other box was sent %v again", got)
	}
	b.list, b.revision = "another leader's", 99
	if got = b.report(t); len(got) != 1 {
		t.Fatalf("a box that has another leader's list was sent %v", got)
	}
	f.clock.Advance(time.Hour)
	if got = b.report(t); fmt.Sprint(got) != "[t0@5 0]" {
		t.Fatalf("%v was sent after an hour without samples, want that the speed is unknown", got)
	}
}

// A report that is repeated as its answer was lost counts once.
func TestRepeatedSpeedsCountOnce(t *testing.T) {
	f := newGateway(t)
	f.registerTargets(t, 1)
	a := &speedBox{f: f, name: "a"}
	a.report(t, prompt("t0", 5))
	for range 20 {
		if got := a.repeat(t, prompt("t0", 5)); len(got) != 0 {
			t.Fatalf("%v was sent after one sample", got)
		}
	}
}

// A message with more samples than a box may send counts for the first ones only.
func TestTooManySpeeds(t *testing.T) {
	f := newGateway(t)
	f.registerTargets(t, 100)
	var samples []*betweenv1.SpeedSample
	for i := range 100 {
		samples = append(samples, prompt(fmt.Sprint("t", i), 5))
	}
	(&speedBox{f: f, name: "a"}).report(t, samples...)
	if n := f.speeds.aggregate.Len(); n != 64 {
		t.Fatalf("speeds of %d targets were counted", n)
	}
}
