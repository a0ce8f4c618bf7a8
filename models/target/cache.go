// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the prompt text that one cache block covers.
	BlockBytes = 256
	// blockTokens is the estimate of tokens in a block.
	blockTokens = BlockBytes / 4
	// maxBlocks bounds the blocks known of one target.
	maxBlocks = 8192
	// freshness is how old evidence of a target's cache may be.
	freshness = 30 * time.Second
)

// Block names a prompt's text up to and with one block, inside one scope. The
// scope is part of the digest, so evidence of one organisation never matches
// another's prompt.
type Block uint64

// Blocks returns the chain of a prompt's whole blocks.
func Blocks(scope, model, prompt string) []Block {
	n := len(prompt) / BlockBytes
	if n == 0 {
		return nil
	}
	blocks := make([]Block, 0, n)
	var link [8]byte
	h := xxhash.New()
	_, _ = h.WriteString(scope + "\x00" + model)
	last := h.Sum64()
	for i := range n {
		h.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = h.Write(link[:])
		_, _ = h.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = h.Sum64()
		blocks = append(blocks, Block(last))
	}
	return blocks
}

// CacheEvent is one event of a target's prefix cache.
type CacheEvent struct {
	// Sequence rises by one with each event of one Epoch.
	Sequence uint64
	Evicted  bool
	Block    Block
}

// Cache is what is known of a target's prefix cache. Evidence that is old or
// has a gap leads to recomputing, never to reuse that is not there: the target
// decides on reuse, the router only guesses where it is likely.
type Cache struct {
	epoch    string
	sequence uint64
	known    map[Block]bool
	fresh    time.Duration
	// Stale and Gaps count events that came too late and gaps in the sequence.
	Stale uint64
	Gaps  uint64
}

// Next returns the epoch and sequence after which events are wanted.
func (c *Cache) Next() (string, uint64) { return c.epoch, c.sequence }

// Take takes events in. Another epoch forgets all, since the cache is another
// one. A gap is counted and what is known is kept: a lost eviction leads to a
// worse guess and a recomputation, and forgetting all at every gap cost more
// (docs/MEASUREMENTS.md).
func (c *Cache) Take(epoch string, events []CacheEvent, now time.Duration) {
	if epoch != c.epoch {
		c.forget(epoch, 0)
	}
	c.fresh = now
	for _, e := range events {
		if e.Sequence <= c.sequence {
			c.Stale++
			continue
		}
		if e.Sequence != c.sequence+1 {
			c.Gaps++
		}
		c.sequence = e.Sequence
		c.note(e)
	}
}

func (c *Cache) forget(epoch string, sequence uint64) {
	c.epoch, c.sequence, c.known = epoch, sequence, nil
}

func (c *Cache) note(e CacheEvent) {
	if e.Evicted {
		delete(c.known, e.Block)
		return
	}
	if c.known == nil || len(c.known) >= maxBlocks {
		c.known = map[Block]bool{}
	}
	c.known[e.Block] = true
}

// Reusable returns the estimate of prompt tokens that the target holds.
func (c *Cache) Reusable(blocks []Block, now time.Duration) int {
	if now-c.fresh > freshness {
		return 0
	}
	n := 0
	for n < len(blocks) && c.known[blocks[n]] {
		n++
	}
	return n * blockTokens
}
