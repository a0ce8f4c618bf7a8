// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wal

import (
	"context"
	"sync"
)

// Committer appends to a log for many goroutines and batches their syncs (group
// commit): records that are queued during a sync share the next one.
type Committer struct {
	// io guards log and is held during writes and syncs; it is locked before mu.
	io sync.Mutex
	// mu guards the fields below except log.
	mu      sync.Mutex
	log     *Log
	pending [][]byte
	// queued is the position of the last queued record, done that of the last
	// record that is durable.
	queued uint64
	done   uint64
	err    error
	// changed is closed and replaced whenever done or err changes.
	changed chan struct{}
	wake    chan struct{}
	stopped chan struct{}
	quit    chan struct{}
	syncs   uint64
}

// NewCommitter returns a committer and starts its writer goroutine, which Close
// stops.
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

// Queue queues a record for writing and returns its position. Records are written
// in the order of the calls, so a caller that changes a table calls Queue under
// the table's lock.
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

// Position returns the position of the last queued record. Waiting for it makes
// every change durable that was visible in a table before the call.
func (c *Committer) Position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued
}

// Wait blocks until every record up to a position is durable. It returns an error
// when the log has failed or the context is cancelled.
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

// Err returns the error on which the log has failed, or nil.
func (c *Committer) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Syncs returns the number of batches written and synced so far.
func (c *Committer) Syncs() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncs
}

// Compact replaces the log by a snapshot. The caller holds the lock under which
// it calls Queue, so that the snapshot covers every record queued before; pending
// ones are dropped.
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
		c.notifyWaiters(err)
		return err
	}
	c.done = c.queued
	c.notifyWaiters(nil)
	return nil
}

// Size returns the size of the log since the last snapshot, in bytes.
func (c *Committer) Size() int64 {
	c.io.Lock()
	defer c.io.Unlock()
	return c.log.Size()
}

// notifyWaiters records an error, if any, and wakes all waiters. The caller holds
// mu.
func (c *Committer) notifyWaiters(err error) {
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

// flush writes and syncs the pending records. It releases mu before it writes, so
// that Queue does not wait for the sync.
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
	c.notifyWaiters(err)
}

// Close stops the writer goroutine, writes the pending records and closes the log.
// It returns only an error of closing the file; Err has those of writing.
func (c *Committer) Close() error {
	close(c.quit)
	<-c.stopped
	c.flush()
	return c.log.Close()
}
