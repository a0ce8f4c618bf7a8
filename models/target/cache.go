// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the number of bytes of prompt text in one cache block.
	BlockBytes = 256
	// blockTokens is the estimated number of tokens in a block, at four bytes each.
	blockTokens = BlockBytes / 4
	// maxBlocks bounds the blocks recorded for one target.
	maxBlocks = 8192
	// maxCacheAge is how long the record of a target's cache is used after its last
	// update.
	maxCacheAge = 30 * time.Second
)

// Block is the digest of a prompt from its start to the end of one cache block.
// The digest includes the scope, so that cache events from one organisation never
// match a prompt of another.
type Block uint64

// Blocks returns the digests of a prompt's complete blocks in order, nil if the
// prompt is shorter than one block. Each digest includes the one before it.
func Blocks(scope, model, prompt string) []Block {
	n := len(prompt) / BlockBytes
	if n == 0 {
		return nil
	}
	blocks := make([]Block, 0, n)
	var previous [8]byte
	h := xxhash.New()
	_, _ = h.WriteString(scope + "\x00" + model)
	last := h.Sum64()
	for i := range n {
		h.Reset()
		binary.LittleEndian.PutUint64(previous[:], last)
		_, _ = h.Write(previous[:])
		_, _ = h.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = h.Sum64()
		blocks = append(blocks, Block(last))
	}
	return blocks
}

// CacheEvent reports that a target's prefix cache has stored or evicted a block.
type CacheEvent struct {
	// Sequence increases by one with each event within an epoch.
	Sequence uint64
	Evicted  bool
	Block    Block
}

// Cache records what is known of a target's prefix cache. An outdated or
// incomplete record can only cause a recomputation, never a wrong reuse: the target
// decides on reuse, and the router only estimates where it is likely.
type Cache struct {
	epoch     string
	sequence  uint64
	blocks    map[Block]bool
	updatedAt time.Duration
	// StaleEvents counts events that arrived out of order and were ignored, Gaps the gaps
	// in the sequence.
	StaleEvents  uint64
	SequenceGaps uint64
}

// LastApplied returns the epoch and sequence number of the last applied event. Events
// after it are to be requested from the target.
func (c *Cache) LastApplied() (string, uint64) { return c.epoch, c.sequence }

// Apply applies events that were received at now. A new epoch clears the record,
// since it belongs to a new cache. A gap in the sequence is counted and the record
// is kept: a missed eviction costs a wrong estimate and a recomputation, whereas
// clearing the record at every gap cost more (docs/MEASUREMENTS.md).
func (c *Cache) Apply(epoch string, events []CacheEvent, now time.Duration) {
	if epoch != c.epoch {
		c.reset(epoch, 0)
	}
	c.updatedAt = now
	for _, e := range events {
		if e.Sequence <= c.sequence {
			c.StaleEvents++
			continue
		}
		if e.Sequence != c.sequence+1 {
			c.SequenceGaps++
		}
		c.sequence = e.Sequence
		c.applyEvent(e)
	}
}

func (c *Cache) reset(epoch string, sequence uint64) {
	c.epoch, c.sequence, c.blocks = epoch, sequence, nil
}

func (c *Cache) applyEvent(e CacheEvent) {
	if e.Evicted {
		delete(c.blocks, e.Block)
		return
	}
	if c.blocks == nil || len(c.blocks) >= maxBlocks {
		c.blocks = map[Block]bool{}
	}
	c.blocks[e.Block] = true
}

// Reusable returns the estimated number of prompt tokens that the target has cached.
func (c *Cache) Reusable(blocks []Block, now time.Duration) int {
	if now-c.updatedAt > maxCacheAge {
		return 0
	}
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] {
		n++
	}
	return n * blockTokens
}
