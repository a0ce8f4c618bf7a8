// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// putBatchDelay is how long changes of targets are collected into one log entry, as
	// thousands of targets may start at the same moment.
	putBatchDelay = 12 * time.Millisecond
	// putTimeout bounds the submission of one entry, retries included.
	putTimeout = 900 * time.Millisecond
	// coldTolerance is how much longer than expected a target must remain cold for that to
	// be a change.
	coldTolerance = 300 * time.Millisecond
	// maxColdCalls bounds the cold targets that are tracked. Beyond it each of their calls
	// is a change.
	maxColdCalls = 4096
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
	Clock  clock.Clock

	mu sync.Mutex
	// open is the batch that accepts rows, nil if there is none.
	open *putBatch
	// cold has the last committed call of each cold target that this box has handled.
	cold map[string]coldCall
}

// coldCall is for how long a target said that it remains cold, and when.
type coldCall struct{ left, at time.Duration }

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
	if known := g.Lookup(t.GetId()); known != nil && isUnchanged(known, t) && !g.isColdChanged(known, t) {
		return nil
	}
	b := g.join(t)
	select {
	case <-b.done:
		if b.err == nil {
			g.recordCold(t)
		}
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
		return !known.GetSuperseded()
	}
	return known.GetState() == t.GetState() && known.GetAddress() == t.GetAddress() && known.GetService() == t.GetService() && known.GetVersion() == t.GetVersion() && known.GetSlots() == t.GetSlots()
}

// isColdChanged reports whether a target's call says something new about how long it is
// cold. The remaining time of a cold target decreases from call to call, which is no change.
func (g *Registry) isColdChanged(known, t *statev1.RegisteredTarget) bool {
	if known.GetState() != t.GetState() {
		return false
	}
	if known.GetCold() == 0 || t.GetCold() == 0 {
		return known.GetCold() != t.GetCold()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.cold[t.GetId()]
	expected := last.left - (g.Clock.Boot() - last.at)
	return !ok || coldTime(t) > expected+coldTolerance
}

// recordCold records a committed call of a cold target, and removes those of targets that
// are not cold any more.
func (g *Registry) recordCold(t *statev1.RegisteredTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.GetCold() == 0 {
		delete(g.cold, t.GetId())
		return
	}
	now := g.Clock.Boot()
	if len(g.cold) >= maxColdCalls {
		maps.DeleteFunc(g.cold, func(_ string, c coldCall) bool { return c.at+c.left < now })
	}
	if len(g.cold) >= maxColdCalls {
		return
	}
	if g.cold == nil {
		g.cold = map[string]coldCall{}
	}
	g.cold[t.GetId()] = coldCall{left: coldTime(t), at: now}
}

// coldTime returns for how long a row says that its target remains cold.
func coldTime(t *statev1.RegisteredTarget) time.Duration {
	return time.Duration(t.GetCold()) * time.Millisecond
}
