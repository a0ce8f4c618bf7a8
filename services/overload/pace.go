// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"havenwinch.dev/havenwinch/models/boxload"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// LongBody is the length from which on a body is paced, in bytes. Shorter ones are read and sent
	// at once.
	LongBody = 4 << 10
	// BodyPart is how many bytes of a long body are read or sent at a time.
	BodyPart = 2 << 10
	// MaxPace limits the time that one body waits for the link in one direction. Other traffic may
	// need all of the link for longer than a call can wait.
	MaxPace = 500 * time.Millisecond
	// maxPaceSleep bounds the time between two looks at the link.
	maxPaceSleep = 20 * time.Millisecond
	// movedAfter is how long after a box has reported not ready the load balancer assigns its callers
	// to other boxes at the latest. From then on the box closes connections.
	movedAfter = 2200 * time.Millisecond
	// minRetryAfter and retryAfterJitter make the Retry-After time of a call that another box may
	// take.
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// direction paces the long bodies of one direction of the link.
type direction struct {
	// turn holds one element; whoever has it is the next to be admitted. The others wait in the
	// order of their arrival.
	turn  chan struct{}
	pacer boxload.Pacer
}

// pacers are the two directions of the link, made on first use.
type pacers struct {
	once    sync.Once
	in, out direction
}

func (w *Watcher) directions() *pacers {
	p := &w.pacers
	p.once.Do(func() {
		capacity := w.Link * bytesPerMegabit
		for _, d := range []*direction{&p.in, &p.out} {
			d.turn, d.pacer = make(chan struct{}, 1), boxload.Pacer{Capacity: capacity}
		}
	})
	return p
}

// AwaitRead waits until the link has room to read a part of a long body, or the context is done.
func (w *Watcher) AwaitRead(ctx context.Context) {
	if w.Link <= 0 {
		return
	}
	w.await(ctx, &w.directions().in, func() int64 { received, _ := w.Meter.Totals(); return received })
}

// AwaitWrite waits until the link has room to send a part of a long body, or the context is done.
func (w *Watcher) AwaitWrite(ctx context.Context) {
	if w.Link <= 0 {
		return
	}
	w.await(ctx, &w.directions().out, func() int64 { _, sent := w.Meter.Totals(); return sent })
}

func (w *Watcher) await(ctx context.Context, d *direction, total func() int64) {
	select {
	case d.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-d.turn }()
	for ctx.Err() == nil {
		wait := d.pacer.Wait(total(), w.Clock.Boot())
		if wait == 0 {
			return
		}
		periodic.Sleep(ctx, min(wait, maxPaceSleep))
	}
}

// RetryAfter returns when a caller that is refused because of this box's link may come back: once the
// load balancer has assigned the callers of a busy box to others.
func (w *Watcher) RetryAfter() time.Duration {
	wait := minRetryAfter
	if since := time.Duration(w.busySince.Load()); since != 0 {
		wait = max(wait, movedAfter-(w.Clock.Boot()-since))
	}
	return wait + time.Duration(rand.Int63n(int64(retryAfterJitter)))
}
