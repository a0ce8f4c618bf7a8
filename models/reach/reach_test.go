// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reach

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// step is an event at a service with the given number of targets.
type step struct {
	at time.Duration
	// reached or failed names a target that was dialled.
	reached, failed string
	// checked is set for a check, which reached a number of targets if it was due.
	checked bool
	found   int
}

const (
	ms   = time.Millisecond
	name = "service"
)

// Guards against taking targets that are down for lost links, and lost links for targets that
// are down.
func TestLostServices(t *testing.T) {
	tests := map[string]struct {
		targets int
		steps   []step
		lost    bool
	}{
		"no dial":                       {targets: 3},
		"one target is down":            {targets: 3, steps: []step{{failed: "a"}, {checked: true, found: 2}}},
		"all fail, not checked":         {targets: 3, steps: []step{{failed: "a"}, {failed: "b"}, {failed: "c"}}},
		"all fail":                      {targets: 3, steps: []step{{failed: "a"}, {failed: "b"}, {failed: "c"}, {checked: true}}, lost: true},
		"three of many fail":            {targets: 90, steps: []step{{failed: "a"}, {failed: "b"}, {failed: "c"}, {checked: true}}, lost: true},
		"two of many fail":              {targets: 90, steps: []step{{failed: "a"}, {failed: "b"}, {checked: true}}},
		"one fails three times":         {targets: 90, steps: []step{{failed: "a"}, {failed: "a"}, {failed: "a"}, {checked: true}}},
		"the only one fails":            {targets: 1, steps: []step{{failed: "a"}, {checked: true}}, lost: true},
		"one is reached in between":     {targets: 3, steps: []step{{failed: "a"}, {failed: "b"}, {reached: "c"}, {failed: "a"}, {checked: true}}},
		"failures are old":              {targets: 3, steps: []step{{failed: "a"}, {failed: "b"}, {at: 4 * time.Second, failed: "c"}, {at: 4 * time.Second, checked: true}}},
		"many end at once":              {targets: 9, steps: []step{{failed: "a"}, {failed: "b"}, {failed: "c"}, {failed: "d"}, {checked: true, found: 1}}},
		"reached again":                 {targets: 1, steps: []step{{failed: "a"}, {checked: true}, {at: 300 * ms, reached: "a"}}},
		"lost, reached, and lost again": {targets: 1, steps: []step{{failed: "a"}, {checked: true}, {at: 300 * ms, reached: "a"}, {at: 400 * ms, failed: "a"}, {at: 400 * ms, checked: true}}, lost: true},
	}
	for label, test := range tests {
		t.Run(label, func(t *testing.T) {
			tr := NewTracker()
			for _, s := range test.steps {
				switch {
				case s.reached != "":
					tr.RecordReached(name, s.reached, s.at)
				case s.failed != "":
					tr.RecordUnreached(name, s.failed, s.at)
				case s.checked && tr.BeginCheck(name, s.at):
					tr.EndCheck(name, s.found, test.targets, s.at)
				}
			}
			if diff := cmp.Diff(test.lost, tr.IsLost(name)); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Guards against a flood of dials to targets that are out of reach: a lost service is checked
// once in checkInterval, one check at a time, and none while dials succeed.
func TestChecksAreRare(t *testing.T) {
	tr := NewTracker()
	if tr.BeginCheck(name, 0) {
		t.Fatal("a service that was never dialled is checked")
	}
	checks := 0
	for at := time.Duration(0); at < 3*time.Second; at += 10 * ms {
		tr.RecordUnreached(name, "a", at)
		if !tr.BeginCheck(name, at) {
			continue
		}
		checks++
		if tr.BeginCheck(name, at) {
			t.Fatal("a second check begins during the first one")
		}
		tr.EndCheck(name, 0, 1, at)
	}
	if diff := cmp.Diff(10, checks); diff != "" {
		t.Fatal(diff)
	}
	tr.RecordReached(name, "a", 3*time.Second)
	if tr.BeginCheck(name, 4*time.Second) {
		t.Fatal("a service that was reached is checked")
	}
}

func TestRegainedServiceTellsForHowLongItWasLost(t *testing.T) {
	tr := NewTracker()
	tr.RecordUnreached(name, "a", ms)
	tr.BeginCheck(name, ms)
	if !tr.EndCheck(name, 0, 1, 2*ms) {
		t.Fatal("the service is not lost")
	}
	if diff := cmp.Diff([]string{name}, tr.Lost()); diff != "" {
		t.Fatal(diff)
	}
	regained, lostFor := tr.RecordReached(name, "a", 12*ms)
	if !regained || lostFor != 10*ms {
		t.Fatalf("regained %v after %s, want true after 10ms", regained, lostFor)
	}
	if regained, _ := tr.RecordReached(name, "a", 13*ms); regained {
		t.Fatal("the service is regained twice")
	}
}

func TestHasReachedOther(t *testing.T) {
	tests := map[string]struct {
		reached string
		now     time.Duration
		want    bool
	}{
		"none":        {now: ms},
		"another one": {reached: "b", now: ms, want: true},
		"the same":    {reached: "a", now: ms},
		"long ago":    {reached: "b", now: 2 * time.Second},
	}
	for label, test := range tests {
		t.Run(label, func(t *testing.T) {
			tr := NewTracker()
			if test.reached != "" {
				tr.RecordReached(name, test.reached, 0)
			}
			if diff := cmp.Diff(test.want, tr.HasReachedOther(name, "a", test.now)); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}
