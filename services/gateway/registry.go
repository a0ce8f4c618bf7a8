// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"sync"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// putBatchDelay is how long changes of targets are collected into one log entry, as
	// thousands of targets may start at the same moment.
	putBatchDelay = 12 * time.Millisecond
	// putTimeout bounds the submission of one entry, retries included.
	putTimeout = 900 * time.Millisecond
	// maxBatchRows is the maximum number of rows in one entry.
	maxBatchRows = 512
)

// Registry handles the calls of targets that register themselves. A call that changes
// nothing is answered from the box's own copy. Any other is answered only after the
// change is committed, so that it survives a failure of the box that answers.
type Registry struct {
	// Lookup returns the box's copy of a target's row, nil if it has none.
	Lookup func(id string) *statev1.RegisteredTarget
	Client *Client

	mu sync.Mutex
	// open is the batch that accepts rows, nil if there is none.
	open *putBatch
}

// putBatch has rows that are committed in one entry. err is set before done is
// closed.
type putBatch struct {
	rows []*statev1.RegisteredTarget
	done chan struct{}
	err  error
}

// Put commits a target's row, unless the box's copy shows that it changes nothing. It
// returns after the commit.
func (g *Registry) Put(ctx context.Context, t *statev1.RegisteredTarget) error {
	if known := g.Lookup(t.GetId()); known != nil && isUnchanged(known, t) {
		return nil
	}
	b := g.join(t)
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deregister deregisters the start of a target with the given time of birth, for targets
// that failed to do so themselves.
func (g *Registry) Deregister(ctx context.Context, id string, born int64) error {
	return g.Put(ctx, &statev1.RegisteredTarget{Id: id, Born: born, State: statev1.RegisteredTarget_STATE_GONE})
}

// join adds a row to the open batch, and opens one if there is none.
func (g *Registry) join(t *statev1.RegisteredTarget) *putBatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.open
	if b == nil {
		b = &putBatch{done: make(chan struct{})}
		g.open = b
		go g.submit(b)
	}
	b.rows = append(b.rows, t)
	if len(b.rows) >= maxBatchRows {
		g.open = nil
	}
	return b
}

// submit commits a batch after collecting rows for putBatchDelay.
func (g *Registry) submit(b *putBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	periodic.Sleep(ctx, putBatchDelay)
	g.mu.Lock()
	if g.open == b {
		g.open = nil
	}
	g.mu.Unlock()
	b.err = g.Client.Submit(ctx, &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: b.rows}}})
	close(b.done)
}

// isUnchanged reports whether row t changes nothing compared to the known row.
func isUnchanged(known, t *statev1.RegisteredTarget) bool {
	if known.GetBorn() != t.GetBorn() {
		return false
	}
	if known.GetState() > t.GetState() {
		return true
	}
	return known.GetState() == t.GetState() && known.GetAddress() == t.GetAddress() && known.GetService() == t.GetService()
}
