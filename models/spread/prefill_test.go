// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"testing"
	"time"
)

const testPause = 500 * time.Millisecond

// newTableWithLatePauses returns a table of 12 targets that prefill 40 tokens in a
// millisecond, and whose streams all have too long a pause.
func newTableWithLatePauses() *Table {
	tb := newTestTable(12)
	for range 20 {
		tb.RecordPrefill(tb.byID["t0"], 4000, 100*time.Millisecond)
	}
	recordStreams(tb, 1)
	return tb
}

// recordStreams records 600 streams, of which one in every has too long a pause.
func recordStreams(tb *Table, every int) {
	for i := range 600 {
		pause := testPause / 2
		if i%every == 0 {
			pause = 2 * testPause
		}
		tb.RecordStreamPause(tb.byID["t0"], pause, testPause)
	}
}

// newTableWithoutLatePauses returns a table like that of newTableWithLatePauses, but none
// of whose streams has too long a pause.
func newTableWithoutLatePauses() *Table {
	tb := newTableWithLatePauses()
	recordStreams(tb, 1<<20)
	return tb
}

func longPrompt(affinity uint64) Criteria {
	return Criteria{Service: "s", Affinity: affinity, UnsharedTokens: 20000, MaxPause: testPause, Boxes: 7}
}

func TestLongPromptsGoToDedicatedTargets(t *testing.T) {
	tb := newTableWithLatePauses()
	dedicated := map[string]bool{}
	for key := uint64(1); key < 30; key++ {
		c := tb.Choose(longPrompt(key), 0)
		if !c.IsDedicated || c.AffinityTarget == nil || c.AffinityTarget == c.Target {
			t.Fatalf("long prompt was placed as %+v", c)
		}
		dedicated[c.Target.ID] = true
	}
	if len(dedicated) == 0 || len(dedicated) > 12/dedicatedDivisor {
		t.Fatalf("long prompts went to %v, want at most a third of the targets", dedicated)
	}
	for key := uint64(1); key < 100; key++ {
		short := Criteria{Service: "s", Affinity: key, UnsharedTokens: 600, MaxPause: testPause, Boxes: 7}
		if c := tb.Choose(short, 0); c.IsDedicated || dedicated[c.Target.ID] {
			t.Fatalf("short prompt went to %s, which is dedicated to long ones", c.Target.ID)
		}
	}
}

func TestDedicatedTargetsAreReleasedWithoutLongPrompts(t *testing.T) {
	tb := newTableWithLatePauses()
	tb.Choose(longPrompt(1), 0)
	used := map[string]bool{}
	for key := uint64(1); key < 300; key++ {
		used[tb.Choose(Criteria{Service: "s", Affinity: key, UnsharedTokens: 600, MaxPause: testPause}, 100*loadDecay).Target.ID] = true
	}
	if len(used) != 12 {
		t.Fatalf("only %d of 12 targets are used long after the last long prompt", len(used))
	}
}

func TestNoDedicatedTargets(t *testing.T) {
	tests := map[string]struct {
		table    *Table
		criteria Criteria
	}{
		"prefill speed unknown":      {table: newTestTable(12), criteria: longPrompt(1)},
		"no stream with late pauses": {table: newTableWithoutLatePauses(), criteria: longPrompt(1)},
		"short prompt":               {table: newTableWithLatePauses(), criteria: Criteria{Service: "s", UnsharedTokens: 4000, MaxPause: testPause}},
		"no bound on pauses":         {table: newTableWithLatePauses(), criteria: Criteria{Service: "s", UnsharedTokens: 40000}},
		"too few targets":            {table: newTestTable(dedicatedDivisor - 1), criteria: longPrompt(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if c := test.table.Choose(test.criteria, 0); c.Target == nil || c.IsDedicated {
				t.Fatalf("prompt was placed as %+v", c)
			}
		})
	}
}

func TestPrefillSpeedExcludesQueueing(t *testing.T) {
	tb := newTableWithLatePauses()
	// Every other prompt takes ten times as long, as if it had been queued.
	for i := range 200 {
		first := 100 * time.Millisecond
		if i%2 == 0 {
			first *= 10
		}
		tb.RecordPrefill(tb.byID["t0"], 4000, first)
	}
	if got := tb.prefillOf("s").prefillTime(4000); got < 60*time.Millisecond || got > 200*time.Millisecond {
		t.Fatalf("expected prefill time of 4,000 tokens is %s", got)
	}
	before := tb.prefillOf("s").prefillTime(4000)
	tb.RecordPrefill(tb.byID["t0"], minSampleTokens-1, time.Hour)
	tb.RecordPrefill(tb.byID["t0"], 4000, -time.Second)
	if tb.prefillOf("s").prefillTime(4000) != before {
		t.Fatal("prefill speed changed with an unusable sample")
	}
}

// All boxes dedicate as many targets to long prompts as the total load from control
// calls for, and don't release one for a small decrease.
func TestBoxesAgreeOnDedicatedTargets(t *testing.T) {
	seconds := func(targets float64) time.Duration {
		return time.Duration(targets * dedicatedUtilisation * float64(time.Second))
	}
	steps := []struct {
		name string
		load time.Duration
		want int
	}{
		{"load of one", seconds(0.9), 1},
		{"load of three", seconds(2.5), 3},
		{"small decrease", seconds(1.7), 3},
		{"large decrease", seconds(1.5), 2},
		{"more than a third of all", seconds(9), 4},
		{"no load", 0, 0},
	}
	busy, idle := newTableWithLatePauses(), newTableWithLatePauses()
	busy.Choose(longPrompt(1), 0)
	for _, step := range steps {
		for name, tb := range map[string]*Table{"busy": busy, "idle": idle} {
			tb.SetFleetPrefillLoad("s", step.load, time.Second)
			if got := tb.prefillOf("s").dedicatedTargets(12, 7, time.Second); got != step.want {
				t.Errorf("%s, %s box: %d dedicated targets, want %d", step.name, name, got, step.want)
			}
		}
	}
	if loads := busy.PrefillLoads(time.Second); loads["s"] == 0 {
		t.Error("box with a long prompt reports no load")
	}
	if loads := idle.PrefillLoads(time.Second); len(loads) != 0 {
		t.Errorf("idle box reports a load: %v", loads)
	}
}

// Targets are dedicated to long prompts only while enough streams have too long a pause.
func TestDedicatedTargetsDependOnStreams(t *testing.T) {
	steps := []struct {
		name        string
		every       int
		isDedicated bool
	}{
		{"many late pauses", 5, true},
		{"few late pauses with dedicated targets", 50, true},
		{"none with late pauses", 1 << 20, false},
		{"few late pauses again", 50, false},
		{"many late pauses again", 10, true},
	}
	tb := newTableWithLatePauses()
	for _, step := range steps {
		recordStreams(tb, step.every)
		tb.Choose(longPrompt(1), 0)
		if c := tb.Choose(longPrompt(1), 0); c.IsDedicated != step.isDedicated {
			t.Fatalf("%s: long prompt on a dedicated target: %v", step.name, c.IsDedicated)
		}
	}
	tb.RecordStreamPause(tb.byID["t0"], time.Hour, 0)
	if loads := tb.PrefillLoads(0); len(loads) != 1 {
		t.Fatalf("stream without a bound on pauses changed the reported loads: %v", loads)
	}
}
