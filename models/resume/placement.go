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
	// slots is the number of parts into which all streams are divided. The boxes that own a part in
	// their data centres replicate its records to each other, so that a box has connections to the
	// other boxes of its data centre and to a few elsewhere, not to all.
	slots = 128
	// ownersTried is how many boxes of a data centre may own the records of a slot: the first of them
	// that can be reached does.
	ownersTried = 2
	// farCentres is the number of other data centres to which records are replicated.
	farCentres = 2
)

// Placement tells one box where the records of streams are held. Boxes with the same directory
// agree on it. It is immutable.
type Placement struct {
	self, centre string
	centres      []rankedCentre
}

type rankedCentre struct {
	name        string
	boxes       []rankedBox
	hash, score uint64
}

type rankedBox struct {
	lease.Box
	// hash is that of the name, score the one for a slot.
	hash, score uint64
}

// NewPlacement returns the placement for a box in a data centre, over all entry boxes.
func NewPlacement(boxes []lease.Box, self, centre string) *Placement {
	p := &Placement{self: self, centre: centre}
	index := map[string]int{}
	for _, b := range boxes {
		if b.Address == "" {
			continue
		}
		i, known := index[b.DataCentre]
		if !known {
			i = len(p.centres)
			index[b.DataCentre] = i
			p.centres = append(p.centres, rankedCentre{name: b.DataCentre, hash: xxhash.Sum64String(b.DataCentre)})
		}
		p.centres[i].boxes = append(p.centres[i].boxes, rankedBox{Box: b, hash: xxhash.Sum64String(b.Name)})
	}
	return p
}

// slotHash returns the hash of the slot of a stream.
func slotHash(k Key) uint64 { return hashing.Mix(k.hash()%slots + 1) }

// rankedCentres returns all data centres, the highest score for a slot first.
func (p *Placement) rankedCentres(slot uint64) []rankedCentre {
	list := slices.Clone(p.centres)
	for i := range list {
		list[i].score = hashing.Mix(list[i].hash ^ slot)
	}
	slices.SortFunc(list, func(a, b rankedCentre) int { return cmp.Compare(b.score, a.score) })
	return list
}

// owners returns at most n boxes of a data centre other than this one, the highest score for a slot
// first.
func (p *Placement) owners(c rankedCentre, slot uint64, n int) []lease.Box {
	ranked := slices.Clone(c.boxes)
	for i := range ranked {
		ranked[i].score = hashing.Mix(ranked[i].hash ^ slot)
	}
	slices.SortFunc(ranked, func(a, b rankedBox) int { return cmp.Compare(b.score, a.score) })
	var list []lease.Box
	for _, b := range ranked {
		if b.Name != p.self && len(list) < n {
			list = append(list, b.Box)
		}
	}
	return list
}

// own returns the data centre of this box.
func (p *Placement) own() rankedCentre {
	i := slices.IndexFunc(p.centres, func(c rankedCentre) bool { return c.name == p.centre })
	if i < 0 {
		return rankedCentre{}
	}
	return p.centres[i]
}

// Near returns where in its own data centre this box is to record a stream: at the first of the boxes
// that can be reached. That box replicates the record.
func (p *Placement) Near(k Key) []lease.Box { return p.owners(p.own(), slotHash(k), ownersTried) }

// Far returns where the record of a stream that began in the data centre of this box is replicated to:
// from each list to the first box that can be reached. The lists are of other data centres, or of
// further boxes of the own one if there is no other.
func (p *Placement) Far(k Key) [][]lease.Box {
	slot := slotHash(k)
	var lists [][]lease.Box
	for _, c := range p.rankedCentres(slot) {
		if c.name != p.centre && len(lists) < farCentres {
			lists = append(lists, p.owners(c, slot, ownersTried))
		}
	}
	if len(lists) > 0 {
		return lists
	}
	for _, b := range p.owners(p.own(), slot, ownersTried) {
		lists = append(lists, []lease.Box{b})
	}
	return lists
}

// Candidates returns the boxes that may hold the record of a stream which any other box has begun,
// beginning with the own data centre. For a stream of that one they include one more box than own its
// slot, as the box that began it does not count.
func (p *Placement) Candidates(k Key) []lease.Box {
	slot := slotHash(k)
	list := p.owners(p.own(), slot, ownersTried+1)
	// The far data centres of any data centre are the first ones other than itself.
	ranked := p.rankedCentres(slot)
	for _, c := range ranked[:min(farCentres+1, len(ranked))] {
		if c.name != p.centre {
			list = append(list, p.owners(c, slot, ownersTried)...)
		}
	}
	return list
}
