// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/software"
)

func TestKeysOfStreams(t *testing.T) {
	keys := map[Key]string{}
	for _, parts := range [][3]string{{"o", "s", "a"}, {"p", "s", "a"}, {"o", "t", "a"}, {"o", "s", "b"}, {"os", "", "a"}, {"", "os", "a"}, {"o", "sa", ""}} {
		k := KeyOf(parts[0], parts[1], parts[2])
		if other, known := keys[k]; known {
			t.Errorf("%v has the key of %s", parts, other)
		}
		keys[k] = fmt.Sprint(parts)
	}
}

func TestTableOfStreams(t *testing.T) {
	const v1, v2 = software.Identity("v1"), software.Identity("v2")
	k := KeyOf("o", "s", "a")
	cases := map[string]struct {
		put   func(tb *Table)
		at    time.Duration
		want  software.Identity
		known bool
	}{
		"put":                            {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0) }, want: v1, known: true},
		"not put":                        {put: func(*Table) {}},
		"expired":                        {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0) }, at: time.Second},
		"put again":                      {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0); tb.Put(k, v1, time.Second, time.Second/2) }, at: time.Second, want: v1, known: true},
		"put again for less":             {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0); tb.Put(k, v1, time.Millisecond, 0) }, at: time.Second / 2, want: v1, known: true},
		"one attempt id for two streams": {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0); tb.Put(k, v2, time.Second, 0) }, known: true},
		"and again": {put: func(tb *Table) {
			tb.Put(k, v1, time.Second, 0)
			tb.Put(k, v2, time.Second, 0)
			tb.Put(k, v2, time.Second, 0)
		}, known: true},
		"after the first one has expired": {put: func(tb *Table) { tb.Put(k, v1, time.Second, 0); tb.Put(k, v2, time.Second, time.Second) }, at: time.Second, want: v2, known: true},
		"a lifetime without bound":        {put: func(tb *Table) { tb.Put(k, v1, time.Hour, 0) }, at: maxLifetime},
		"a negative lifetime":             {put: func(tb *Table) { tb.Put(k, v1, -time.Hour, 0) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := NewTable()
			c.put(tb)
			if id, known := tb.Get(k, c.at); id != c.want || known != c.known {
				t.Fatalf("got %q, %v", id, known)
			}
		})
	}
}

// Guards against a table that grows without bound, and against the eviction of records in use.
func TestTableEvictsTheOldestStreams(t *testing.T) {
	tb := NewTable()
	tb.limit = 100
	key := func(n int) Key { return KeyOf("o", "s", fmt.Sprint(n)) }
	for n := range 250 {
		tb.Put(key(n), "v1", time.Minute, 0)
	}
	if tb.Len() != 100 || len(tb.order) != 100 {
		t.Fatalf("%d records, %d in order, want 100", tb.Len(), len(tb.order))
	}
	if _, known := tb.Get(key(149), 0); known {
		t.Error("an old record was kept")
	}
	if _, known := tb.Get(key(150), 0); !known {
		t.Error("one of the newest records was evicted")
	}
	tb.Put(key(1000), "v1", time.Minute, time.Hour)
	if tb.Len() != 1 {
		t.Errorf("%d records after all but one have expired", tb.Len())
	}
}

func fleetOf(centres, perCentre int) []lease.Box {
	var boxes []lease.Box
	for c := range centres {
		for n := range perCentre {
			boxes = append(boxes, lease.Box{Name: fmt.Sprintf("dc-%d-box-%d", c, n), DataCentre: fmt.Sprintf("dc-%d", c), Address: "a"})
		}
	}
	return boxes
}

// maxCandidates is how many boxes may be asked for one stream.
const maxCandidates = 9

// Guards against streams that their callers can't take up since the box to which they return asks
// other boxes than those that have the record, also where the first holder of each kind was lost.
func TestAnyBoxAsksTheHoldersOfAStream(t *testing.T) {
	for name, size := range map[string][2]int{"one box": {1, 1}, "one data centre": {1, 7}, "two data centres": {2, 2}, "a box in each": {5, 1}, "6 boxes": {3, 2}, "86 boxes": {6, 14}, "360 boxes": {22, 16}} {
		t.Run(name, func(t *testing.T) {
			boxes := fleetOf(size[0], size[1])
			all := placementsOf(boxes)
			rng := rand.New(rand.NewSource(5))
			for n := range 300 {
				k := KeyOf("o", "s", fmt.Sprint(n))
				writer, reader := boxes[rng.Intn(len(boxes))], boxes[rng.Intn(len(boxes))]
				p := all[writer.Name]
				near := p.Near(k)
				// The record is replicated by the box that has it, or by the one that began the stream.
				far := slices.Concat(p.Far(k)...)
				for _, b := range near {
					far = append(far, slices.Concat(all[b.Name].Far(k)...)...)
				}
				candidates := all[reader.Name].Candidates(k)
				if len(candidates) > maxCandidates {
					t.Fatalf("%d boxes are asked", len(candidates))
				}
				if len(boxes) > 1 && len(near)+len(far) == 0 {
					t.Fatal("a stream has no holder")
				}
				asked := append(candidates, reader)
				for _, b := range far {
					if !slices.Contains(asked, b) {
						t.Fatalf("stream %d of %s: %s does not ask %s", n, writer.Name, reader.Name, b.Name)
					}
				}
				for _, b := range near {
					if reader.DataCentre == writer.DataCentre && !slices.Contains(asked, b) {
						t.Fatalf("stream %d of %s: %s in the same data centre does not ask %s", n, writer.Name, reader.Name, b.Name)
					}
				}
			}
		})
	}
}

// Guards against a fleet that forgets most streams of the boxes that are killed at once: of those to
// which callers return, few may be left. The share is that of the streams of dead boxes whose record
// is at a living one, over all choices of dead boxes.
func TestStreamsOutliveTheKillOfManyBoxes(t *testing.T) {
	cases := map[string]struct {
		centres, perCentre, dead int
		least                    float64
	}{
		"4 of 6 boxes":     {centres: 3, perCentre: 2, dead: 4, least: 0.85},
		"5 of 6 boxes":     {centres: 3, perCentre: 2, dead: 5, least: 0.5},
		"6 of 8 boxes":     {centres: 4, perCentre: 2, dead: 6, least: 0.6},
		"258 of 352 boxes": {centres: 22, perCentre: 16, dead: 258, least: 0.55},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			boxes := fleetOf(c.centres, c.perCentre)
			all := placementsOf(boxes)
			rng := rand.New(rand.NewSource(9))
			const rounds = 3000
			found := 0
			for n := range rounds {
				rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
				alive := boxes[c.dead:]
				writer := boxes[0]
				if slices.ContainsFunc(all.copiesOf(writer, KeyOf("o", "s", fmt.Sprint(n))), func(b lease.Box) bool { return slices.Contains(alive, b) }) {
					found++
				}
			}
			if share := float64(found) / rounds; share < c.least {
				t.Errorf("%.2f of the streams are found, want %.2f", share, c.least)
			} else {
				t.Logf("%.2f of the streams are found", share)
			}
		})
	}
}

// placements holds those of all boxes of a fleet, by name.
type placements map[string]*Placement

func placementsOf(boxes []lease.Box) placements {
	all := placements{}
	for _, b := range boxes {
		all[b.Name] = NewPlacement(boxes, b.Name, b.DataCentre)
	}
	return all
}

// copiesOf returns the boxes that get the record of a stream while all can be reached.
func (all placements) copiesOf(writer lease.Box, k Key) []lease.Box {
	p := all[writer.Name]
	var copies []lease.Box
	if near := p.Near(k); len(near) > 0 {
		copies = append(copies, near[0])
		p = all[near[0].Name]
	}
	for _, list := range p.Far(k) {
		copies = append(copies, list[0])
	}
	return copies
}

// Guards against boxes that hold many more records than others, and against a fleet in which each box
// has connections to all others.
func TestRecordsOfStreamsSpreadOverBoxes(t *testing.T) {
	boxes := fleetOf(22, 16)
	all := placementsOf(boxes)
	const perBox, copies, maxShare = 40, 3, 5
	maxPeers := len(boxes) / 2
	held, peers := map[string]int{}, map[string]map[string]bool{}
	connect := func(a, b string) {
		if peers[a] == nil {
			peers[a] = map[string]bool{}
		}
		peers[a][b] = true
	}
	for _, b := range boxes {
		for n := range perBox {
			list := all.copiesOf(b, KeyOf("o", "s", fmt.Sprint(b.Name, n)))
			from := b.Name
			for i, c := range list {
				held[c.Name]++
				connect(from, c.Name)
				connect(c.Name, from)
				if i == 0 {
					from = c.Name
				}
			}
		}
	}
	for _, b := range boxes {
		if n := held[b.Name]; n > maxShare*copies*perBox {
			t.Errorf("%s holds %d records, %d on average", b.Name, n, copies*perBox)
		}
		if n := len(peers[b.Name]); n > maxPeers {
			t.Errorf("%s has connections with %d boxes", b.Name, n)
		}
	}
	most, mostPeers, sum := 0, 0, 0
	for _, b := range boxes {
		most, mostPeers = max(most, held[b.Name]), max(mostPeers, len(peers[b.Name]))
		sum += len(peers[b.Name])
	}
	t.Logf("a box holds %d records at most, %d on average, and has connections with %d boxes at most, %d on average", most, copies*perBox, mostPeers, sum/len(boxes))
}

// BenchmarkHolders measures where a stream is recorded and replicated, at 352 boxes.
func BenchmarkHolders(b *testing.B) {
	boxes := fleetOf(22, 16)
	p := NewPlacement(boxes, boxes[0].Name, boxes[0].DataCentre)
	k := KeyOf("o", "s", "a")
	for b.Loop() {
		p.Near(k)
		p.Far(k)
	}
}
