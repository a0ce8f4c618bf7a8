// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func boxesOf(centres, each int) []Box {
	var boxes []Box
	for c := range centres {
		for n := range each {
			name := fmt.Sprintf("box-%d-%d", c, n)
			boxes = append(boxes, Box{Name: name, Address: name + ":1", DataCentre: fmt.Sprint("dc-", c)})
		}
	}
	return boxes
}

// Directories of the same boxes must yield the same holders, in whatever order
// the boxes were discovered.
func TestHoldersAreTheSameEverywhere(t *testing.T) {
	boxes := boxesOf(3, 9)
	one := NewDirectory(boxes)
	rand.New(rand.NewSource(1)).Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	two := NewDirectory(boxes)
	if one.Version != two.Version {
		t.Fatalf("versions %d and %d of the same boxes", one.Version, two.Version)
	}
	for n := range 50 {
		organisation := fmt.Sprint("org-", n)
		if diff := cmp.Diff(one.Holders(organisation, "dc-1"), two.Holders(organisation, "dc-1")); diff != "" {
			t.Fatal(diff)
		}
		if got := len(one.HoldersElsewhere(organisation, "dc-1")); got != 2*holdersPerCentre {
			t.Fatalf("%d holders elsewhere", got)
		}
	}
}

func TestHoldersByFleet(t *testing.T) {
	cases := map[string]struct {
		centres, each int
		count         int
		holding       int
	}{
		"one box each":  {centres: 3, each: 1, count: 3, holding: 3},
		"two boxes":     {centres: 3, each: 2, count: 6, holding: 6},
		"a large fleet": {centres: 3, each: 29, count: 6, holding: 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory(boxesOf(c.centres, c.each))
			holding := map[string]bool{}
			for n := range 200 {
				organisation := fmt.Sprint("org-", n)
				for _, b := range d.Boxes {
					if d.IsHolder(b.Name, b.DataCentre, organisation) {
						holding[b.Name] = true
					}
				}
			}
			if d.HolderCount("o") != c.count || len(holding) != c.holding {
				t.Fatalf("%d holders of one organisation and %d of any, want %d and %d", d.HolderCount("o"), len(holding), c.count, c.holding)
			}
		})
	}
}

// The removal of a box must move only leases that it held.
func TestHoldersStayWhenOthersGo(t *testing.T) {
	boxes := boxesOf(1, 20)
	before, after := NewDirectory(boxes), NewDirectory(boxes[1:])
	for n := range 100 {
		organisation := fmt.Sprint("org-", n)
		if before.IsHolder(boxes[0].Name, "dc-0", organisation) {
			continue
		}
		moved := cmp.Diff(before.Holders(organisation, "dc-0"), after.Holders(organisation, "dc-0"))
		if moved != "" && !holdsAny(before, boxes[0].Name) {
			t.Fatalf("%s moved: %s", organisation, moved)
		}
	}
}

func holdsAny(d *Directory, box string) bool {
	for n := range 100 {
		if d.IsHolder(box, "dc-0", fmt.Sprint("org-", n)) {
			return true
		}
	}
	return false
}

func TestNoDirectory(t *testing.T) {
	var d *Directory
	if d.Holders("o", "dc") != nil || d.HoldersElsewhere("o", "dc") != nil || d.HolderCount("o") != 1 || d.IsHolder("b", "dc", "o") {
		t.Fatal("a nil directory has holders")
	}
}
