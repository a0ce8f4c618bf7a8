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

// reportBox sends a report of a box that has an address and returns the answer.
func (f *gatewayFixture) reportBox(t *testing.T, box string, need uint64) *betweenv1.LeaseResponse {
	t.Helper()
	r := &betweenv1.LeaseRequest{Holder: box + "@1", Box: box, Address: box + ":1", DataCentre: "dc", Sample: 1}
	r.Reports = []*betweenv1.LeaseReport{{Organisation: "o", Need: need}}
	resp, err := f.Lease(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// reportBoxes sends a report of each of the boxes box-0, box-1 and so on, and returns how
// many are granted tokens that they did not request.
func (f *gatewayFixture) reportBoxes(t *testing.T, boxes int) (granted int) {
	t.Helper()
	for n := range boxes {
		if f.reportBox(t, fmt.Sprint("box-", n), 0).GetGrants()[0].GetAllotted() > 0 {
			granted++
		}
	}
	return granted
}

func TestFewBoxesHoldLeases(t *testing.T) {
	f := newGateway(t)
	if got := f.reportBoxes(t, 9); got != 0 {
		t.Fatalf("%d boxes were granted tokens before the directory was complete", got)
	}
	if got := f.reportBox(t, "box-0", 50).GetGrants()[0].GetAllotted(); got < 50 {
		t.Fatalf("granted %d tokens to a box whose requests need 50", got)
	}
	f.clock.Advance(directoryWarmup)
	if got := f.reportBoxes(t, 9); got != 2+1 && got != 2 {
		t.Fatalf("%d of 9 boxes hold leases, want 2 or 3", got)
	}
	if got := f.reportBox(t, "box-1", 0).GetDirectory().GetBoxes(); len(got) != 9 {
		t.Fatalf("the directory lists %d boxes", len(got))
	}
}

// A box that causes much of an organisation's demand gets its own lease, and returns
// it when its demand has dropped.
func TestHeavyGuestGetsALease(t *testing.T) {
	f := newGateway(t)
	f.reportBoxes(t, 9)
	f.clock.Advance(directoryWarmup)
	f.reportBoxes(t, 9)
	guest, holder := "", ""
	f.mu.Lock()
	d := f.entryBoxes.current(f.clock.Boot())
	for _, b := range d.Boxes {
		if d.IsHolder(b.Name, "dc", "o") {
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
		t.Fatalf("a box with a small share of the demand was granted %d tokens", got)
	}
	got := ask(guest, 6000, 0)
	if got.GetAllotted() == 0 {
		t.Fatal("a box with a quarter of the demand was granted nothing")
	}
	if got := ask(guest, 100, 0); got.GetKeep() != 0 {
		t.Fatalf("a box whose demand has dropped keeps %d tokens", got.GetKeep())
	}
}

// The directory survives a partition from all entry boxes, and a leader that has
// received no reports for a while does not publish it before directoryWarmup has passed.
func TestDirectorySurvivesPartition(t *testing.T) {
	cases := map[string]struct {
		away time.Duration
		// boxes is the number of boxes in the first directory after that.
		boxes int
	}{
		"partition":     {away: 9 * time.Second, boxes: 9},
		"boxes removed": {away: directoryTTL + time.Second, boxes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newGateway(t)
			f.reportBoxes(t, 9)
			f.clock.Advance(c.away)
			if f.reportBox(t, "box-0", 0).GetDirectory() != nil {
				t.Fatal("a directory was published with the first report after a long pause")
			}
			f.clock.Advance(directoryWarmup)
			if got := len(f.reportBox(t, "box-0", 0).GetDirectory().GetBoxes()); got != c.boxes {
				t.Fatalf("the directory lists %d boxes, want %d", got, c.boxes)
			}
		})
	}
}
