// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"math/rand"
	"time"

	"havenwinch.dev/havenwinch/models/lease"
)

const (
	// minBlock and maxBlock bound the time for which a box without a path is not asked.
	// unsupportedBlock is the time for a box of a version that carries no connections.
	minBlock         = 500 * time.Millisecond
	maxBlock         = 2 * time.Second
	unsupportedBlock = 30 * time.Second
	// suspectAfter is how many times in a row a box may fail to reach a target, or to answer in
	// time, before it counts as without a path itself.
	suspectAfter = 2
	// askedNear and askedFar are how many boxes of the own data centre and of others are asked
	// for one connection. A fault often strikes a whole data centre.
	askedNear = 2
	askedFar  = 3
)

// peerTable records which boxes have a path to the targets. It is not safe for concurrent use.
type peerTable struct{ peers map[string]*peer }

type peer struct {
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
// many boxes spread over all others: first some of the own data centre, then some of others.
func (pt *peerTable) order(boxes []lease.Box, self, centre string, now time.Duration, rng *rand.Rand) []lease.Box {
	var near, far []lease.Box
	for _, b := range boxes {
		p := pt.peers[b.Name]
		switch {
		case b.Name == self || b.Address == "" || p != nil && p.blockedUntil > now:
		case b.DataCentre == centre:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	return append(sample(near, askedNear, rng), sample(far, askedFar, rng)...)
}

// sample returns n of the boxes, or all if there are fewer, in random order.
func sample(boxes []lease.Box, n int, rng *rand.Rand) []lease.Box {
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	return boxes[:min(n, len(boxes))]
}

// recordOpened records that a box has opened a connection.
func (pt *peerTable) recordOpened(name string) { delete(pt.peers, name) }

// recordFailure records that a box could not reach a target or has not answered in time. When it
// reaches none, it may be cut off without knowing yet.
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
