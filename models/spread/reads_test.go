// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"testing"
	"time"
)

const testPause = 500 * time.Millisecond

// learned returns a table of 12 targets that read 40 tokens in a millisecond.
func learned() *Table {
	tb := table(12)
	for range 20 {
		tb.Read(tb.byID["t0"], 4000, 100*time.Millisecond)
	}
	suffer(tb, 1)
	return tb
}

// suffer ends streams of which one in so many had too long a pause.
func suffer(tb *Table, parts int) {
	for i := range 600 {
		pause := testPause / 2
		if i%parts == 0 {
			pause = 2 * testPause
		}
		tb.Streamed(tb.byID["t0"], pause, testPause)
	}
}

// spared is a learned table whose streams don't suffer.
func spared() *Table {
	tb := learned()
	suffer(tb, 1<<20)
	return tb
}

func longNeed(affinity uint64) Need {
	return Need{Service: "s", Affinity: affinity, Tokens: 20000, Pause: testPause, Boxes: 7}
}

func TestLongPromptsAreReadApart(t *testing.T) {
	tb := learned()
	readers := map[string]bool{}
	for key := uint64(1); key < 30; key++ {
		c := tb.Choose(longNeed(key), 0)
		if !c.Apart || c.Home == nil || c.Home == c.Target {
			t.Fatalf("a long prompt was placed as %+v", c)
		}
		readers[c.Target.ID] = true
	}
	if len(readers) == 0 || len(readers) > 12/apartParts {
		t.Fatalf("long prompts use the targets %v", readers)
	}
	for key := uint64(1); key < 100; key++ {
		short := Need{Service: "s", Affinity: key, Tokens: 600, Pause: testPause, Boxes: 7}
		if c := tb.Choose(short, 0); c.Apart || readers[c.Target.ID] {
			t.Fatalf("a short prompt went to %s, where long ones are read", c.Target.ID)
		}
	}
}

func TestReadersReturnWhenNoLongPromptComes(t *testing.T) {
	tb := learned()
	tb.Choose(longNeed(1), 0)
	used := map[string]bool{}
	for key := uint64(1); key < 300; key++ {
		used[tb.Choose(Need{Service: "s", Affinity: key, Tokens: 600, Pause: testPause}, 100*readWindow).Target.ID] = true
	}
	if len(used) != 12 {
		t.Fatalf("%d of 12 targets are used long after the last long prompt", len(used))
	}
}

func TestWhenNothingIsReadApart(t *testing.T) {
	tests := map[string]struct {
		table *Table
		need  Need
	}{
		"no speed is known":       {table: table(12), need: longNeed(1)},
		"no stream suffers":       {table: spared(), need: longNeed(1)},
		"the prompt is short":     {table: learned(), need: Need{Service: "s", Tokens: 4000, Pause: testPause}},
		"no pause is bounded":     {table: learned(), need: Need{Service: "s", Tokens: 40000}},
		"too few targets to part": {table: table(apartParts - 1), need: longNeed(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if c := test.table.Choose(test.need, 0); c.Target == nil || c.Apart {
				t.Fatalf("%+v", c)
			}
		})
	}
}

func TestReadingSpeedIsThatWithoutAQueue(t *testing.T) {
	tb := learned()
	// Every other prompt waits ten times as long as it is read.
	for i := range 200 {
		first := 100 * time.Millisecond
		if i%2 == 0 {
			first *= 10
		}
		tb.Read(tb.byID["t0"], 4000, first)
	}
	if got := tb.readsOf("s").time(4000); got < 60*time.Millisecond || got > 200*time.Millisecond {
		t.Fatalf("4,000 tokens are expected to take %s", got)
	}
	before := tb.readsOf("s").time(4000)
	tb.Read(tb.byID["t0"], learnTokens-1, time.Hour)
	tb.Read(tb.byID["t0"], 4000, -time.Second)
	if tb.readsOf("s").time(4000) != before {
		t.Fatal("a prompt that shows no speed has changed it")
	}
}

// All boxes keep as many targets for long prompts as control's sum asks for, and
// don't give one back for a small change.
func TestBoxesAgreeOnReaders(t *testing.T) {
	seconds := func(targets float64) time.Duration { return time.Duration(targets * readUse * float64(time.Second)) }
	steps := []struct {
		name    string
		load    time.Duration
		readers int
	}{
		{"one is enough", seconds(0.9), 1},
		{"three are needed", seconds(2.5), 3},
		{"a little less", seconds(1.7), 3},
		{"clearly less", seconds(1.5), 2},
		{"more than a third of all", seconds(9), 4},
		{"none", 0, 0},
	}
	busy, idle := learned(), learned()
	busy.Choose(longNeed(1), 0)
	for _, step := range steps {
		for name, tb := range map[string]*Table{"busy": busy, "idle": idle} {
			tb.SetFleetReading("s", step.load, time.Second)
			if got := tb.readsOf("s").apart(12, 7, time.Second); got != step.readers {
				t.Errorf("%s, %s box: %d readers, want %d", step.name, name, got, step.readers)
			}
		}
	}
	if loads := busy.ReadingLoads(time.Second); loads["s"] == 0 {
		t.Error("a box with a long prompt reports no load")
	}
	if loads := idle.ReadingLoads(time.Second); len(loads) != 0 {
		t.Errorf("an idle box reports %v", loads)
	}
}

// Long prompts are read apart only where streams suffer from them.
func TestReadersFollowTheStreams(t *testing.T) {
	steps := []struct {
		name  string
		parts int
		apart bool
	}{
		{"many suffer", 5, true},
		{"few do, since they are apart", 50, true},
		{"none does", 1 << 20, false},
		{"a few do again", 50, false},
		{"many do again", 10, true},
	}
	tb := learned()
	for _, step := range steps {
		suffer(tb, step.parts)
		tb.Choose(longNeed(1), 0)
		if c := tb.Choose(longNeed(1), 0); c.Apart != step.apart {
			t.Fatalf("%s: apart %v", step.name, c.Apart)
		}
	}
	tb.Streamed(tb.byID["t0"], time.Hour, 0)
	if loads := tb.ReadingLoads(0); len(loads) != 1 {
		t.Fatalf("a stream without a bound has changed what suffers: %v", loads)
	}
}
