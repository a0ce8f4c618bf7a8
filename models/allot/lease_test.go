// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package allot

import "testing"

// playLeases reports the holders in turn for some rounds, with the same need each time, and returns what
// each has available and what is unallotted then.
func playLeases(prepaid, unallotted uint64, available, need []uint64, rounds int) ([]uint64, uint64) {
	for range rounds {
		for i := range available {
			free := uint64(0)
			for _, n := range available {
				free += n
			}
			d := Lease(LeaseState{Prepaid: prepaid, Unallotted: unallotted, Holders: len(available), Free: free, Rate: 1000},
				LeaseDemand{Role: LeaseHolder, Available: available[i], Rate: 1000 / uint64(len(available)), Need: need[i]})
			available[i] += d.Grant
			unallotted -= d.Grant
			if need[i] == 0 && available[i] > d.Keep {
				unallotted += available[i] - d.Keep
				available[i] = d.Keep
			}
		}
	}
	return available, unallotted
}

// Guards against requests that are refused although the budget holds them, as its last tokens are split
// among holders of which none has enough. The load is that of eight holders at the end of a budget.
func TestLastTokensOfABudgetAreNotSplit(t *testing.T) {
	cases := map[string]struct {
		prepaid, unallotted, each, need uint64
		served                          bool
	}{
		"fragments":                   {prepaid: 1 << 20, each: 1500, need: 9000, served: true},
		"some of it is not allotted":  {prepaid: 1 << 20, unallotted: 2000, each: 1000, need: 9000, served: true},
		"more than is left":           {prepaid: 1 << 20, each: 1000, need: 9000},
		"a small budget stays split":  {prepaid: 20000, each: 1500, need: 9000},
		"enough for all, need is met": {prepaid: 1 << 20, unallotted: 500000, each: 50000, need: 60000, served: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			available, need := make([]uint64, 8), make([]uint64, 8)
			total := c.unallotted
			for i := range available {
				available[i] = c.each
				total += c.each
			}
			need[3] = c.need
			available, unallotted := playLeases(c.prepaid, c.unallotted, available, need, 3)
			sum := unallotted
			for _, n := range available {
				sum += n
			}
			if sum != total {
				t.Fatalf("%d tokens of %d are left", sum, total)
			}
			if (available[3] >= c.need) != c.served {
				t.Fatalf("the holder with a request of %d tokens has %d", c.need, available[3])
			}
		})
	}
}
