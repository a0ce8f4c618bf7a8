// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"math/rand"
	"slices"
	"time"

	"havenwinch.dev/havenwinch/models/lease"
)

const (
	// minBlock and maxBlock bound the time for which a box without a path is not asked.
	// unsupportedBlock is the time for a box of a version that carries no connections.
	minBlock         = 500 * time.Millisecond
	maxBlock         = 2 * time.Second
	unsupportedBlock = 30 * time.Second
	// suspectAfter is how many times in a row a box may fail to reach a target before it counts as
	// without a path itself.
	suspectAfter = 2
	// askedNear and askedFar are how many boxes of the own data centre and of others are asked
	// for one connection. A fault often strikes a whole data centre.
	askedNear = 2
	askedFar  = 3
	// askedProven is how many boxes that have had a path within provenTime are asked after them.
	askedProven = 2
	provenTime  = 10 * time.Second
	// askedSlow is how many boxes that were slower than others within slowTime are asked last.
	askedSlow = 2
	slowTime  = time.Second
)

// peerTable records which boxes have a path to the targets. It is not safe for concurrent use.
type peerTable struct{ peers map[string]*peer }

type peer struct {
	// provenUntil is until when the box counts as having a path.
	provenUntil time.Duration
	// slowUntil is until when the box is asked after the others.
	slowUntil    time.Duration
	blockedUntil time.Duration
	blocks       int
	failures     int
}

func newPeerTable() *peerTable { return &peerTable{peers: map[string]*peer{}} }

func (pt *peerTable) peer(name string) *peer {
	p := pt.peers[name]
	if p == nil {
		p = &peer{}
		pt.peers[name] = p
	}
	return p
}

// order returns the boxes to ask for one connection, at random, so that the connections of
// many boxes spread over all others: some of the own data centre, then some of others, then
// some that have had a path before, and some slow ones.
func (pt *peerTable) order(boxes []lease.Box, self, centre string, now time.Duration, rng *rand.Rand) []lease.Box {
	var near, far, proven, slow []lease.Box
	for _, b := range boxes {
		p := pt.peers[b.Name]
		if b.Name == self || b.Address == "" || p != nil && p.blockedUntil > now {
			continue
		}
		switch {
		case p != nil && p.slowUntil > now:
			slow = append(slow, b)
		case b.DataCentre == centre:
			near = append(near, b)
		default:
			far = append(far, b)
		}
		if p != nil && p.provenUntil > now {
			proven = append(proven, b)
		}
	}
	list := append(sample(near, askedNear, rng), sample(far, askedFar, rng)...)
	for _, b := range append(sample(proven, askedProven, rng), sample(slow, askedSlow, rng)...) {
		if !slices.Contains(list, b) {
			list = append(list, b)
		}
	}
	return list
}

// sample returns n of the boxes, or all if there are fewer, in random order.
func sample(boxes []lease.Box, n int, rng *rand.Rand) []lease.Box {
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	return boxes[:min(n, len(boxes))]
}

// recordOpened records that a box has opened a connection.
func (pt *peerTable) recordOpened(name string, now time.Duration) {
	*pt.peer(name) = peer{provenUntil: now + provenTime}
}

// recordSlow records that a box had not answered when another one had.
func (pt *peerTable) recordSlow(name string, now time.Duration) {
	pt.peer(name).slowUntil = now + slowTime
}

// recordFailure records that a box could not reach a target. When it reaches none, it may be cut
// off without knowing yet.
func (pt *peerTable) recordFailure(name string, now time.Duration) {
	p := pt.peer(name)
	p.failures++
	if p.failures >= suspectAfter {
		p.failures = 0
		p.block(now)
	}
}

// recordNoPath records that a box can't be used, and returns for how long it is not asked. It
// returns zero if that was known.
func (pt *peerTable) recordNoPath(name string, unsupported bool, now time.Duration) time.Duration {
	p := pt.peer(name)
	if p.blockedUntil > now {
		return 0
	}
	if unsupported {
		p.blockedUntil = now + unsupportedBlock
		return unsupportedBlock
	}
	return p.block(now)
}

func (p *peer) block(now time.Duration) time.Duration {
	block := min(maxBlock, minBlock<<min(p.blocks, 6))
	p.blocks++
	p.blockedUntil = now + block
	return block
}
