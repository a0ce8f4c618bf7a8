// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"container/list"
	"fmt"

	"github.com/google/uuid"

	"havenwinch.dev/havenwinch/models/target"
)

// maxEvents is how many cache events an engine retains for readers.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt blocks. It publishes its changes as events.
type prefixCache struct {
	limit    int
	blocks   map[target.Block]*list.Element
	lru      *list.List
	epoch    string
	sequence uint64
	events   []Event
}

// Event is one published change of the cache.
type Event struct {
	Sequence uint64 `json:"seq"`
	Op       string `json:"op"`
	Block    string `json:"block"`
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, blocks: map[target.Block]*list.Element{}, lru: list.New(), epoch: uuid.NewString()}
}

// lookup returns how many leading blocks are cached, and then caches all blocks.
func (c *prefixCache) lookup(blocks []target.Block) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, b := range blocks {
		c.insert(b)
	}
	return hits
}

// insert adds a block or marks it as recently used. A limit of 0 disables the cache.
func (c *prefixCache) insert(b target.Block) {
	if e := c.blocks[b]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	if c.limit == 0 {
		return
	}
	c.blocks[b] = c.lru.PushFront(b)
	c.publish("insert", b)
	if c.lru.Len() > c.limit {
		last := c.lru.Back()
		c.lru.Remove(last)
		evicted := last.Value.(target.Block)
		delete(c.blocks, evicted)
		c.publish("evict", evicted)
	}
}

func (c *prefixCache) publish(op string, b target.Block) {
	c.sequence++
	c.events = append(c.events, Event{Sequence: c.sequence, Op: op, Block: fmt.Sprintf("%016x", uint64(b))})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// Events returns the current epoch and the cache events after a sequence number. If
// epoch isn't the current one, it returns all retained events.
func (e *Engine) Events(epoch string, after uint64) (string, []Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.cache.epoch {
		after = 0
	}
	var events []Event
	for _, event := range e.cache.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return e.cache.epoch, events
}
