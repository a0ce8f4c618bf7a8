// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBoxesPerCentre is the maximum number of entry boxes that hold leases in a
	// data centre. The other boxes draw on the leases of these.
	maxBoxesPerCentre = 4
	// holdersPerCentre is the number of those boxes that hold the lease of any
	// one organisation.
	holdersPerCentre = 2
)

// Box is an entry box whose leases other boxes can draw on.
type Box struct {
	Name, Address, DataCentre string
}

// Directory maps an organisation to the entry boxes that hold its leases, by
// rendezvous hashing (Thaler and Ravishankar 1998), so that all boxes with the
// same directory compute the same holders. It is immutable. A nil Directory
// has no boxes.
type Directory struct {
	Version uint64
	Boxes   []Box

	byCentre map[string][]Box
	centres  []string
}

// NewDirectory returns a directory of the given boxes in any order. Its version
// is a hash of the boxes and never zero.
func NewDirectory(boxes []Box) *Directory {
	d := &Directory{Boxes: slices.Clone(boxes), byCentre: map[string][]Box{}}
	slices.SortFunc(d.Boxes, func(a, b Box) int { return strings.Compare(a.Name, b.Name) })
	digest := xxhash.New()
	for _, b := range d.Boxes {
		_, _ = digest.WriteString(b.Name + " " + b.Address + " " + b.DataCentre + "\n")
		d.byCentre[b.DataCentre] = append(d.byCentre[b.DataCentre], b)
	}
	d.Version = max(1, digest.Sum64())
	for centre, list := range d.byCentre {
		d.byCentre[centre] = highestScoring(list, centre, maxBoxesPerCentre)
		d.centres = append(d.centres, centre)
	}
	slices.Sort(d.centres)
	return d
}

// Names returns the names of all boxes in ascending order.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	names := make([]string, 0, len(d.Boxes))
	for _, b := range d.Boxes {
		names = append(names, b.Name)
	}
	return names
}

// highestScoring returns the n boxes with the highest rendezvous score for key, or all
// boxes when there are fewer.
func highestScoring(boxes []Box, key string, n int) []Box {
	scores := make(map[string]uint64, len(boxes))
	for _, b := range boxes {
		scores[b.Name] = xxhash.Sum64String(key + "\n" + b.Name)
	}
	list := slices.Clone(boxes)
	slices.SortFunc(list, func(a, b Box) int { return cmp.Compare(scores[b.Name], scores[a.Name]) })
	return list[:min(n, len(list))]
}

// Holders returns the boxes that hold an organisation's leases in a data
// centre, the preferred one first.
func (d *Directory) Holders(organisation, centre string) []Box {
	if d == nil {
		return nil
	}
	return highestScoring(d.byCentre[centre], organisation, holdersPerCentre)
}

// HoldersElsewhere returns the boxes that hold an organisation's leases in all data
// centres other than the given one.
func (d *Directory) HoldersElsewhere(organisation, centre string) []Box {
	if d == nil {
		return nil
	}
	var list []Box
	for _, other := range d.centres {
		if other != centre {
			list = append(list, d.Holders(organisation, other)...)
		}
	}
	return list
}

// seatHolders is the number of boxes that may grant the seats of one group of targets.
const seatHolders = 2

// SeatHolders returns the box that grants the seats at the targets of a service in a data centre, and the
// one that takes its place while it can't be reached. They are of that data centre as far as it has
// boxes, so that they stay with its targets in a partition.
func (d *Directory) SeatHolders(service, centre string) []Box {
	if d == nil {
		return nil
	}
	key := service + "\n" + centre
	list := highestScoring(d.byCentre[centre], key, seatHolders)
	if len(list) == seatHolders {
		return list
	}
	for _, b := range highestScoring(d.Boxes, key, seatHolders+1) {
		if len(list) < seatHolders && !slices.Contains(list, b) {
			list = append(list, b)
		}
	}
	return list
}

// HolderCount returns the number of boxes that hold an organisation's leases. It is
// at least 1, also for an empty or nil directory.
func (d *Directory) HolderCount(organisation string) int {
	if d == nil {
		return 1
	}
	count := 0
	for _, centre := range d.centres {
		count += min(holdersPerCentre, len(d.byCentre[centre]))
	}
	return max(1, count)
}

// IsHolder reports whether a box holds an organisation's leases in a data centre.
func (d *Directory) IsHolder(box, centre, organisation string) bool {
	return slices.ContainsFunc(d.Holders(organisation, centre), func(b Box) bool { return b.Name == box })
}
