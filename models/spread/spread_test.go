// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func table(n int) *Table {
	tb := NewTable("dc-a")
	for i := range n {
		tb.Put(&statev1.RegisteredTarget{Id: fmt.Sprintf("t%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: []string{"dc-a", "dc-b"}[i%2], State: statev1.RegisteredTarget_STATE_READY})
	}
	return tb
}

func TestSameAffinityGoesToTheSameTargetOnAllBoxes(t *testing.T) {
	a, b := table(9), NewTable("dc-b")
	for i := 8; i >= 0; i-- {
		b.Put(&statev1.RegisteredTarget{Id: fmt.Sprintf("t%d", i), Service: "s", Address: "10.0.0.1:80", DataCentre: "dc-b", State: statev1.RegisteredTarget_STATE_READY})
	}
	used := map[string]int{}
	for key := uint64(1); key < 200; key++ {
		x, y := a.Choose(Need{Service: "s", Affinity: key}, 0).Target, b.Choose(Need{Service: "s", Affinity: key}, 0).Target
		if x.ID != y.ID {
			t.Fatalf("key %d goes to %s and %s", key, x.ID, y.ID)
		}
		used[x.ID]++
	}
	if len(used) != 9 {
		t.Fatalf("keys use %d of 9 targets", len(used))
	}
}

func TestAffinityGivesWayToLoad(t *testing.T) {
	tb := table(4)
	need := Need{Service: "s", Affinity: 7}
	first := tb.Choose(need, 0).Target
	first.Running = 50
	if second := tb.Choose(need, 0).Target; second == first {
		t.Fatal("a target far above the mean got one more call")
	}
}

// Prompts that wait at a target send further ones to the next target of their
// part, the same on all boxes; when prompts wait everywhere the first has it.
func TestAffinityGivesWayToWaitingPrompts(t *testing.T) {
	tb := table(4)
	need := Need{Service: "s", Affinity: 7, Boxes: 6}
	first := tb.Choose(need, 0).Target
	first.Waiting = waitingTokens / 6
	second := tb.Choose(need, 0).Target
	if second == first || tb.Choose(need, 0).Target != second {
		t.Fatalf("first %s, then %s", first.ID, second.ID)
	}
	first.Waiting--
	if got := tb.Choose(need, 0).Target; got != first {
		t.Fatalf("%s was chosen below the bound", got.ID)
	}
	for _, other := range tb.byID {
		other.Waiting = waitingTokens
	}
	if got := tb.Choose(need, 0).Target; got != first {
		t.Fatalf("%s was chosen while prompts wait everywhere", got.ID)
	}
}

func TestLeastLoadedPrefersItsDataCentre(t *testing.T) {
	tb := table(4)
	for i, want := range []string{"dc-a", "dc-a", "dc-b", "dc-b"} {
		got := tb.Choose(Need{Service: "s"}, 0).Target
		if got.DataCentre != want {
			t.Fatalf("call %d went to %s, want %s", i, got.DataCentre, want)
		}
		got.Running++
	}
}

func TestTargetsThatAreOut(t *testing.T) {
	tb := table(2)
	bad := tb.Choose(Need{Service: "s"}, 0).Target
	tb.Unreached(bad, 0)
	if tb.Choose(Need{Service: "s"}, time.Millisecond).Target == bad {
		t.Fatal("an unreachable target was chosen while another one is sound")
	}
	if got := tb.Choose(Need{Service: "s", Exclude: map[string]bool{"t0": bad.ID != "t0", "t1": bad.ID != "t1"}}, time.Millisecond).Target; got != bad {
		t.Fatal("the only target left was not chosen")
	}
	if due := tb.Banned(time.Hour); len(due) != 1 || due[0] != bad {
		t.Fatalf("due for a trial: %v", due)
	}
	tb.Reached(bad)
	if len(tb.Banned(time.Hour)) != 0 {
		t.Fatal("a target that was reached is still out")
	}
}

func TestBansGrowAndAreBounded(t *testing.T) {
	tb := table(1)
	target := tb.Choose(Need{Service: "s"}, 0).Target
	last := time.Duration(0)
	now := time.Duration(0)
	for range 12 {
		ban := tb.Unreached(target, now)
		if again := tb.Unreached(target, now); again != 0 {
			t.Fatalf("a call that failed at the same time lengthened the ban by %s", again)
		}
		now += ban
		if ban < last || ban > longestBan {
			t.Fatalf("ban %s after %s", ban, last)
		}
		last = ban
	}
	if last != longestBan {
		t.Fatalf("the longest ban is %s", last)
	}
}

func TestSickTargets(t *testing.T) {
	cases := map[string]struct {
		// failing lists targets that fail every second call.
		failing []int
		all     int
		out     int
	}{
		"one of four":  {failing: []int{0}, all: 4, out: 1},
		"all the same": {failing: []int{0, 1, 2, 3}, all: 4},
		"the only one": {failing: []int{0}, all: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := table(c.all)
			fails := map[string]bool{}
			for _, i := range c.failing {
				fails[fmt.Sprintf("t%d", i)] = true
			}
			out := map[string]bool{}
			for round := range 40 {
				for id, target := range tb.byID {
					if tb.Ended(target, fails[id] && round%2 == 0, time.Second) {
						out[id] = true
					}
				}
			}
			if len(out) != c.out {
				t.Fatalf("out as sick: %v, want %d", out, c.out)
			}
		})
	}
}

func TestDrainingAndGoneTargetsGetNothing(t *testing.T) {
	tb := table(2)
	tb.Put(&statev1.RegisteredTarget{Id: "t0", Service: "s", State: statev1.RegisteredTarget_STATE_DRAINING})
	tb.Put(&statev1.RegisteredTarget{Id: "t1", Service: "s", State: statev1.RegisteredTarget_STATE_GONE})
	if got := tb.Choose(Need{Service: "s"}, 0).Target; got != nil {
		t.Fatalf("%s was chosen", got.ID)
	}
	if tb.Len() != 1 {
		t.Fatalf("%d targets are known, want 1", tb.Len())
	}
	tb.Keep(map[string]bool{})
	if tb.Len() != 0 {
		t.Fatal("a target that is not in the table any more stayed")
	}
}

// Targets that can't be reached say nothing of others of their data centre: with
// many targets two of them are out at any time.
func TestOtherTargetsOfADataCentreStay(t *testing.T) {
	for _, centre := range []string{"dc-a", "dc-b"} {
		tb := table(8)
		failed := 0
		for _, target := range tb.byID {
			if target.DataCentre == centre && failed < 3 {
				tb.Unreached(target, 0)
				failed++
			}
		}
		if due := tb.Banned(firstBan); len(due) != failed {
			t.Fatalf("%d targets of %s are out, want %d", len(due), centre, failed)
		}
	}
}

// Each box sees its own calls only. What may stand above the mean, and wait, at one target is
// counted for the whole fleet: 70 boxes that each added it for themselves sent 200 calls and
// more to a target of 64 places.
func TestBoundsAreTheFleets(t *testing.T) {
	for name, boxes := range map[string]int{"one box": 1, "many": 30} {
		t.Run(name, func(t *testing.T) {
			tb := table(4)
			need := Need{Service: "s", Affinity: 7, Boxes: boxes}
			first := tb.Choose(need, 0).Target
			calls := 0
			for tb.Choose(need, 0).Target == first {
				first.Running++
				calls++
			}
			// A target without others' load takes the slack of the fleet, and one call.
			if most := int(loadSlack/float64(boxes)) + 4; calls*boxes > most*boxes || boxes > 1 && calls > 1 {
				t.Fatalf("%d calls of each of %d boxes", calls, boxes)
			}
		})
	}
}

// How many prompt tokens may wait follows from how fast targets read.
func TestWaitingPromptsFollowTheReadingSpeed(t *testing.T) {
	for name, perToken := range map[string]time.Duration{"fast": 10 * time.Microsecond, "slow": 50 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			tb := table(4)
			need := Need{Service: "s", Affinity: 7, Boxes: 1}
			first := tb.Choose(need, 0).Target
			for range 200 {
				tb.Read(first, 10000, 10000*perToken)
			}
			first.Waiting = int(waitingTime/perToken) * 8 / 10
			if got := tb.Choose(need, 0).Target; got != first {
				t.Fatalf("%s was chosen below the bound", got.ID)
			}
			first.Waiting = int(waitingTime/perToken) * 12 / 10
			if got := tb.Choose(need, 0).Target; got == first {
				t.Fatal("the first was chosen above the bound")
			}
		})
	}
}
