// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
)

// stream passes events on as they come.
func (fl *flight) stream(ctx context.Context, c spread.Choice, x *exchange, s *silence, sent time.Duration) attempt {
	t := c.Target
	mv := fl.mover(c)
	defer mv.release()
	s.restart(stallLimit)
	fl.events.begin()
	fl.events.odd = func(event []byte) { fl.f.odd(fl.call, t, oddEvent, fl.events.count, event) }
	buffer := make([]byte, readBuffer)
	for {
		n, err := x.body.Read(buffer)
		if n > 0 {
			s.restart(stallLimit)
			fl.answered(t, sent)
			if sinkErr := fl.hand(x, fl.events.take(buffer[:n])); sinkErr != nil {
				x.abandon()
				fl.unseen = true
				fl.note(t, "caller left")
				return attempt{verdict: unjudged, done: true, err: errBegun{sinkErr}}
			}
			mv.start(ctx)
		}
		if err != nil || fl.events.fault {
			return fl.streamEnded(ctx, t, x, s, mv, err)
		}
	}
}

// streamEnded tells what the end of a target's bytes is: that of the stream, that of a run
// that was stopped to move, or a break.
func (fl *flight) streamEnded(ctx context.Context, t *spread.Target, x *exchange, s *silence, mv *mover, err error) attempt {
	fault := fl.events.fault
	whole := err == io.EOF && len(fl.events.rest) == 0 && !fault
	if whole && x.framed {
		return fl.streamed(t, x)
	}
	// A stream without a length ends in the same way when it is whole and when its run
	// was stopped to move.
	if !fault {
		if r := mv.resume(ctx); r != nil {
			x.abandon()
			fl.note(t, fmt.Sprintf("moved after event %d", fl.events.last))
			return attempt{verdict: sound, resumption: r, err: err}
		}
	}
	if whole {
		return fl.streamed(t, x)
	}
	x.abandon()
	fl.loseRest(ctx, x.conn, s)
	fl.note(t, fmt.Sprintf("broke off after event %d", fl.events.last))
	return attempt{verdict: fl.blame(ctx, s), err: errors.Errorf("the stream broke off (no event of it came: %v): %v", fault, err)}
}

// hand hands whole events on; the head goes before the first of them and is
// that of the first target.
func (fl *flight) hand(x *exchange, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	fl.sink.handed()
	if !fl.sink.begun() {
		if err := fl.sink.Begin(x.head.StatusCode(), x.fields(), -1); err != nil {
			return err
		}
	}
	return fl.sink.Write(p)
}

func (fl *flight) streamed(t *spread.Target, x *exchange) attempt {
	x.whole = true
	if !fl.sink.begun() {
		if err := fl.sink.Begin(x.head.StatusCode(), x.fields(), -1); err != nil {
			x.abandon()
			return attempt{verdict: unjudged, done: true, err: errBegun{err}}
		}
	}
	x.finish()
	fl.note(t, fmt.Sprintf("%d to event %d", x.head.StatusCode(), fl.events.last))
	fl.streamedAt(t)
	if err := fl.sink.End(); err != nil {
		return attempt{verdict: sound, done: true, err: errBegun{err}}
	}
	return attempt{verdict: sound, done: true}
}
