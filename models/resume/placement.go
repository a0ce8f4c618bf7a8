// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/hashing"
)

const (
	// nearHolders is how many boxes of the own data centre may hold the record of one stream: the
	// first of them that can be reached does.
	nearHolders = 2
	// farHolders is how many boxes of all other data centres may hold it: two of them do.
	farHolders = 3
)

// Placement tells one box where the records of streams are held. Boxes with the same directory
// agree on it. It is immutable.
type Placement struct {
	self, centre string
	boxes        []rankedBox
	// nearCandidates is how many boxes of the own data centre may hold the record of a stream that
	// began there, the box that began it included.
	nearCandidates int
}

type rankedBox struct {
	lease.Box
	// hash is that of the name, score the one for a stream.
	hash, score uint64
}

// NewPlacement returns the placement for a box in a data centre, over all entry boxes.
func NewPlacement(boxes []lease.Box, self, centre string) *Placement {
	p := &Placement{self: self, centre: centre, nearCandidates: nearHolders + farHolders + 1}
	for _, b := range boxes {
		if b.DataCentre != centre {
			p.nearCandidates = nearHolders + 1
		}
		if b.Address != "" {
			p.boxes = append(p.boxes, rankedBox{Box: b, hash: xxhash.Sum64String(b.Name)})
		}
	}
	return p
}

// ranked returns all boxes, the highest score for a stream first.
func (p *Placement) ranked(k Key) []rankedBox {
	list := slices.Clone(p.boxes)
	for i := range list {
		list[i].score = hashing.Mix(list[i].hash ^ k.hash())
	}
	slices.SortFunc(list, func(a, b rankedBox) int { return cmp.Compare(b.score, a.score) })
	return list
}

// Holders returns where this box is to record a stream: at one box of each list, the first that can
// be reached. The first list is of its own data centre, the others of other ones. Where there is only
// one data centre, they have further boxes of it.
func (p *Placement) Holders(k Key) [][]lease.Box {
	var own, far []lease.Box
	for _, b := range p.ranked(k) {
		switch {
		case b.Name == p.self:
		case b.DataCentre == p.centre:
			own = append(own, b.Box)
		case len(far) < farHolders:
			far = append(far, b.Box)
		}
	}
	near := own[:min(nearHolders, len(own))]
	if len(far) == 0 {
		far = own[len(near):min(nearHolders+farHolders, len(own))]
	}
	lists := [][]lease.Box{near}
	for i := range min(2, len(far)) {
		list := []lease.Box{far[i]}
		if len(far) == farHolders {
			list = append(list, far[farHolders-1])
		}
		lists = append(lists, list)
	}
	return lists
}

// Candidates returns the boxes that may hold the record of a stream which any other box has begun,
// beginning with the own data centre.
func (p *Placement) Candidates(k Key) []lease.Box {
	var near, far []lease.Box
	// earlier counts the boxes with a higher score by data centre. A box is a holder of streams that
	// began in another data centre if fewer than farHolders outside of that one come before it.
	earlier := map[string]int{}
	total := 0
	for _, b := range p.ranked(k) {
		switch {
		case b.Name == p.self:
		case b.DataCentre == p.centre && len(near) < p.nearCandidates:
			near = append(near, b.Box)
		case total-mostExcept(earlier, b.DataCentre) < farHolders:
			far = append(far, b.Box)
		}
		earlier[b.DataCentre]++
		total++
	}
	return append(near, far...)
}

// mostExcept returns the largest count of all data centres but one.
func mostExcept(counts map[string]int, except string) int {
	most := 0
	for centre, n := range counts {
		if centre != except {
			most = max(most, n)
		}
	}
	return most
}
