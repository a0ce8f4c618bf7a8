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

// hear reports as a box with an address and returns the answer.
func (f *gatewayFixture) hear(t *testing.T, box string, need uint64) *betweenv1.LeaseResponse {
	t.Helper()
	r := &betweenv1.LeaseRequest{Holder: box + "@1", Box: box, Address: box + ":1", DataCentre: "dc", Sample: 1}
	r.Reports = []*betweenv1.LeaseReport{{Organisation: "o", Need: need}}
	resp, err := f.Lease(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// hearAll reports as boxes a, b, ... and returns how many are granted tokens
// unasked.
func (f *gatewayFixture) hearAll(t *testing.T, boxes int) (granted int) {
	t.Helper()
	for n := range boxes {
		if f.hear(t, fmt.Sprint("box-", n), 0).GetGrants()[0].GetAllotted() > 0 {
			granted++
		}
	}
	return granted
}

func TestFewBoxesHoldLeases(t *testing.T) {
	f := newGateway(t)
	if got := f.hearAll(t, 9); got != 0 {
		t.Fatalf("%d boxes were granted tokens before the fleet is known", got)
	}
	if got := f.hear(t, "box-0", 50).GetGrants()[0].GetAllotted(); got < 50 {
		t.Fatalf("granted %d to a box whose requests lack 50", got)
	}
	f.clock.Advance(gatherFor)
	if got := f.hearAll(t, 9); got != 2+1 && got != 2 {
		t.Fatalf("%d of 9 boxes hold leases", got)
	}
	if got := f.hear(t, "box-1", 0).GetDirectory().GetBoxes(); len(got) != 9 {
		t.Fatalf("the directory lists %d boxes", len(got))
	}
}

// A box from which much of an organisation's demand comes gets a lease of its
// own, and gives it back when that is over.
func TestHeavyGuestGetsALease(t *testing.T) {
	f := newGateway(t)
	f.hearAll(t, 9)
	f.clock.Advance(gatherFor)
	f.hearAll(t, 9)
	guest, holder := "", ""
	f.mu.Lock()
	d := f.boxes.current(f.clock.Boot())
	for _, b := range d.Boxes {
		if d.Holds(b.Name, "dc", "o") {
			holder = b.Name
		} else {
			guest = b.Name
		}
	}
	f.mu.Unlock()
	sample := uint64(1)
	ask := func(box string, rate, returned uint64) *betweenv1.LeaseGrant {
		t.Helper()
		sample++
		resp, err := f.Lease(context.Background(), &betweenv1.LeaseRequest{
			Holder: box + "@1", Box: box, Address: box + ":1", DataCentre: "dc", Sample: sample,
			Reports: []*betweenv1.LeaseReport{{Organisation: "o", Rate: rate, Returned: returned}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return resp.GetGrants()[0]
	}
	ask(holder, 24000, 0)
	if got := ask(guest, 1500, 0).GetAllotted(); got != 0 {
		t.Fatalf("a box with a small part of the demand was granted %d", got)
	}
	got := ask(guest, 6000, 0)
	if got.GetAllotted() == 0 {
		t.Fatal("a box with a quarter of the demand was granted nothing")
	}
	if got := ask(guest, 100, 0); got.GetKeep() != 0 {
		t.Fatalf("a box that draws little any more keeps %d", got.GetKeep())
	}
}

// The directory outlives a cut of all boxes, and is not given out by a box that
// has just begun to lead.
func TestDirectoryOutlivesACut(t *testing.T) {
	cases := map[string]struct {
		away time.Duration
		// boxes are listed in the first directory after it.
		boxes int
	}{
		"a cut":               {away: 9 * time.Second, boxes: 9},
		"boxes that are gone": {away: listedFor + time.Second, boxes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newGateway(t)
			f.hearAll(t, 9)
			f.clock.Advance(c.away)
			if f.hear(t, "box-0", 0).GetDirectory() != nil {
				t.Fatal("a directory was given out at once after nobody had reported for long")
			}
			f.clock.Advance(gatherFor)
			if got := len(f.hear(t, "box-0", 0).GetDirectory().GetBoxes()); got != c.boxes {
				t.Fatalf("the directory lists %d boxes, want %d", got, c.boxes)
			}
		})
	}
}
