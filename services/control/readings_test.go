// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// The total prefill load of long prompts follows the reports, and excludes boxes that
// leave or stop reporting.
func TestReadingsOfAllBoxes(t *testing.T) {
	f := newGateway(t)
	report := func(holder string, leaving bool, loads ...*betweenv1.ReadingLoad) map[string]uint64 {
		t.Helper()
		resp, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{Holder: holder, Box: holder, Leaving: leaving, Readings: loads})
		if err != nil {
			t.Fatal(err)
		}
		all := map[string]uint64{}
		for _, l := range resp.GetReadings() {
			all[l.GetService()] = l.GetLoad()
		}
		return all
	}
	load := func(service string, n uint64) *betweenv1.ReadingLoad {
		return &betweenv1.ReadingLoad{Service: service, Load: n}
	}
	steps := []struct {
		name string
		do   func() map[string]uint64
		want map[string]uint64
	}{
		{"first box", func() map[string]uint64 { return report("a", false, load("s", 10)) }, map[string]uint64{"s": 10}},
		{"second box", func() map[string]uint64 { return report("b", false, load("s", 5), load("u", 7)) }, map[string]uint64{"s": 15, "u": 7}},
		{"load of the first box drops", func() map[string]uint64 { return report("a", false, load("s", 2)) }, map[string]uint64{"s": 7, "u": 7}},
		{"first box leaves", func() map[string]uint64 { return report("a", true, load("s", 2)) }, map[string]uint64{"s": 5, "u": 7}},
		{"second box stops reporting", func() map[string]uint64 {
			f.clock.Advance(holderTimeout + sweepInterval + time.Second)
			report("c", false)
			return report("c", false, load("s", 1))
		}, map[string]uint64{"s": 1}},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, step.do()); diff != "" {
			t.Fatalf("%s: %s", step.name, diff)
		}
	}
}
