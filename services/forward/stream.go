// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
)

// forwardStream relays events as they arrive.
func (fl *inflightCall) forwardStream(ctx context.Context, c spread.Choice, x *exchange, wd *watchdog, sent time.Duration) attempt {
	t := c.Target
	if !wd.answer() {
		return fl.unanswered(ctx, t, x, wd, errNoAnswer)
	}
	mv := fl.mover(c)
	defer mv.release()
	fl.events.startTarget()
	fl.events.logAnomaly = func(event []byte) {
		fl.f.logAnomaly(fl.call, t, anomalyEvent, fl.events.count, event, slog.Int("bytes", len(event)), slog.Int("comment_bytes", fl.events.commentBytes))
	}
	buffer := make([]byte, readBuffer)
	p := fl.limitStall(x, wd)
	for {
		n, err := x.body.Read(buffer)
		if n > 0 {
			fl.recordPrefill(t, sent)
			if sinkErr := fl.forwardEvents(ctx, x, fl.events.split(buffer[:n])); sinkErr != nil {
				x.abandon()
				fl.missedTail = true
				fl.recordSend(t, "caller left")
				return attempt{verdict: inconclusive, done: true, err: errBegun{sinkErr}}
			}
			p.record()
			mv.start(ctx)
		}
		if err != nil || fl.events.fault {
			x.conn.awaitForever()
			if err != nil {
				x.logEnd(err, fl.events.count)
			}
			return fl.streamEnded(ctx, t, x, wd, mv, err)
		}
	}
}

// streamEnded decides what the end of a target's bytes means: the end of the stream, a run that
// was stopped to be moved, or a broken stream.
func (fl *inflightCall) streamEnded(ctx context.Context, t *spread.Target, x *exchange, wd *watchdog, mv *mover, err error) attempt {
	fault := fl.events.fault
	complete := err == io.EOF && len(fl.events.pending) == 0 && !fault
	if complete && x.framed {
		return fl.finishStream(t, x)
	}
	closedByTarget := x.conn.closed && ctx.Err() == nil
	// A stream without a length ends in the same way whether it is complete or its run was
	// stopped to be moved.
	if !fault && wd.next == nil {
		r, certain := mv.resume(ctx, closedByTarget)
		if r != nil {
			x.abandon()
			if !closedByTarget {
				fl.noteLostOutput(ctx, wd)
			}
			fl.recordSend(t, fmt.Sprintf("moved after event %d", fl.events.last))
			return attempt{verdict: r.verdict, resumption: r, err: err}
		}
		if complete && certain {
			return fl.finishStream(t, x)
		}
	}
	x.abandon()
	if wd.next == nil {
		x.logBrokenBody(err, fl.events.count, len(fl.events.pending))
	}
	fl.noteLostTail(ctx, closedByTarget, wd)
	fl.recordSend(t, fmt.Sprintf("%s after event %d", endedBy(ctx, wd, "broke off"), fl.events.last))
	return attempt{verdict: fl.verdictOnTimeout(ctx, wd), next: wd.next, err: errors.Errorf("the stream broke off (invalid event: %v): %v", fault, err)}
}

// forwardEvents relays complete events, preceded by the header of the first target.
func (fl *inflightCall) forwardEvents(ctx context.Context, x *exchange, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	fl.recordPartsServed()
	fl.bindSoftware(ctx, x.conn)
	fl.unbindSoftware(ctx, x.conn)
	if fl.events.count > fl.eventsSent {
		fl.eventsSent = fl.events.count
		fl.sink.recordEvents(fl.events.count)
	}
	if !fl.sink.started() {
		if err := fl.sink.Begin(x.head.StatusCode(), x.fields(), -1); err != nil {
			return err
		}
	}
	return fl.sink.Write(p)
}

func (fl *inflightCall) finishStream(t *spread.Target, x *exchange) attempt {
	x.bodyComplete = true
	if !fl.sink.started() {
		if err := fl.sink.Begin(x.head.StatusCode(), x.fields(), -1); err != nil {
			x.abandon()
			return attempt{verdict: inconclusive, done: true, err: errBegun{err}}
		}
	}
	x.finish()
	fl.recordSend(t, fmt.Sprintf("%d to event %d", x.head.StatusCode(), fl.events.last))
	fl.recordPause(t)
	if err := fl.sink.End(); err != nil {
		return attempt{verdict: healthy, done: true, err: errBegun{err}}
	}
	return attempt{verdict: healthy, done: true}
}
