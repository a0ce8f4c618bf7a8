// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wal

import (
	"context"
	"sync"
)

// Committer lets many goroutines append to one log and shares syncs among
// them: records that arrive during a sync go into the next one together.
type Committer struct {
	// io is held while the log is written; it is taken before mu.
	io      sync.Mutex
	mu      sync.Mutex
	log     *Log
	pending [][]byte
	// queued counts records that were handed in, done those that last.
	queued  uint64
	done    uint64
	err     error
	changed chan struct{}
	wake    chan struct{}
	stopped chan struct{}
	quit    chan struct{}
	syncs   uint64
}

// NewCommitter starts the goroutine that writes; Close ends it.
func NewCommitter(l *Log) *Committer {
	c := &Committer{
		log:     l,
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		stopped: make(chan struct{}),
		quit:    make(chan struct{}),
	}
	go c.run()
	return c
}

// Queue hands a record in and returns its position. The order of calls is the
// order in the log; a caller that changes a table holds its lock meanwhile.
func (c *Committer) Queue(record []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, record)
	c.queued++
	c.signal()
	return c.queued
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Position returns the position of the newest record handed in. Who waits for
// it has everything that a table showed before.
func (c *Committer) Position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued
}

// Wait returns once everything up to a position lasts, or with the error that
// keeps it from lasting.
func (c *Committer) Wait(ctx context.Context, position uint64) error {
	for {
		c.mu.Lock()
		done, err, changed := c.done >= position, c.err, c.changed
		c.mu.Unlock()
		if done {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Err returns the error that stopped the log, or nil.
func (c *Committer) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Syncs returns the number of syncs so far.
func (c *Committer) Syncs() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs
}

// Compact replaces the log by a snapshot. The caller holds the lock under
// which it queues, so the snapshot covers every record queued before.
func (c *Committer) Compact(snapshot []byte) error {
	c.io.Lock()
	defer c.io.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	c.pending = nil
	if err := c.log.Compact(snapshot); err != nil {
		c.finish(err)
		return err
	}
	c.done = c.queued
	c.finish(nil)
	return nil
}

// Size returns the bytes of the log since the last snapshot.
func (c *Committer) Size() int64 {
	c.io.Lock()
	defer c.io.Unlock()
	return c.log.Size()
}

// finish wakes all waiters; the caller holds the lock.
func (c *Committer) finish(err error) {
	if err != nil {
		c.err = err
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Committer) run() {
	defer close(c.stopped)
	for {
		select {
		case <-c.wake:
			c.flush()
		case <-c.quit:
			return
		}
	}
}

// flush writes what is pending. Queue must not wait for the sync, so the batch
// is taken out first and only io is held.
func (c *Committer) flush() {
	c.io.Lock()
	defer c.io.Unlock()
	c.mu.Lock()
	batch, position := c.pending, c.queued
	c.pending = nil
	failed := c.err
	c.mu.Unlock()
	if len(batch) == 0 || failed != nil {
		return
	}
	err := c.log.Append(batch...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.done = max(c.done, position)
		c.syncs++
	}
	c.finish(err)
}

// Close writes what is pending and ends the goroutine.
func (c *Committer) Close() error {
	close(c.quit)
	<-c.stopped
	c.flush()
	return c.log.Close()
}
