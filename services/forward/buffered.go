// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/spread"
)

const (
	// maxBufferedAnswer is the longest answer, in bytes, that is buffered before it is relayed;
	// longer ones are relayed as they arrive, as are those that the box has no memory for.
	maxBufferedAnswer = 256 << 10
	// firstBuffer is the size of the first buffer in bytes, which is not counted as held.
	firstBuffer = 512
)

// readBuffered reads a body as far as it may be buffered. whole is set if that is all of it.
func (fl *inflightCall) readBuffered(r io.Reader) (body []byte, whole bool, err error) {
	body = make([]byte, 0, firstBuffer)
	for {
		if size := cap(body); len(body) == size {
			if size >= maxBufferedAnswer || !fl.held.Grow(size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, 2*size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// bufferAnswer reads a complete answer before any of it is relayed, so that a broken one can be
// requested again.
func (fl *inflightCall) bufferAnswer(ctx context.Context, t *spread.Target, x *exchange, wd *watchdog, status int) attempt {
	if fl.sink.started() {
		return fl.handleLateFailure(t, x, status)
	}
	if !wd.answer() {
		return fl.unanswered(ctx, t, x, wd, errNoAnswer)
	}
	fl.limitLines(x, wd)
	before := fl.held.Size()
	body, whole, err := fl.readBuffered(x.body)
	if err != nil {
		x.logEnd(err, 0)
		fl.held.ShrinkTo(before)
		x.abandon()
		x.logBrokenBody(err, 0, len(body))
		fl.recordSend(t, fmt.Sprintf("cut %d", status))
		return attempt{verdict: failing, err: errors.Wrap(errNoAnswer, err.Error())}
	}
	x.onSlowLine = nil
	got := &answer{status: status, fields: x.fields(), body: body, declaredLength: x.declaredLength(body)}
	if !whole {
		return fl.forwardLong(t, x, got)
	}
	x.logEnd(io.EOF, 0)
	x.bodyComplete = true
	x.finish()
	fl.recordSend(t, fmt.Sprint(status))
	fl.sampleAnswer(t, status)
	if status >= http.StatusInternalServerError && routing.IsRepeatable(fl.route) {
		return attempt{verdict: failing, finished: true, failure: got, err: errors.Errorf("the target answered %d", status)}
	}
	return attempt{verdict: verdictOf(status), done: true, finished: true, err: fl.sendAnswer(got)}
}

// limitLines limits the time for the size lines of chunks if the call may go to another target. The data
// of chunks may arrive slowly.
func (fl *inflightCall) limitLines(x *exchange, wd *watchdog) {
	if wd.mayCancel == nil {
		return
	}
	f, c := fl.f, x.conn
	x.lineWait = fl.partWait()
	x.onSlowLine = func() bool {
		if !f.opts.IsCongested() && wd.mayCancel() {
			return true
		}
		_ = c.net.SetReadDeadline(time.Now().Add(f.stallWait))
		return false
	}
}

// verdictOf returns what the status of a target's answer says about its health.
func verdictOf(status int) verdict {
	if status >= http.StatusInternalServerError {
		return failing
	}
	return healthy
}

// handleLateFailure handles an error answer of a target that was to resume a stream of which
// the caller already has a part. Relayed within that stream, its header and body would corrupt
// it. The stream is resumed elsewhere, or it is cut off.
func (fl *inflightCall) handleLateFailure(t *spread.Target, x *exchange, status int) attempt {
	fl.f.logAnomaly(fl.call, t, anomalySecondHead, fl.events.count, nil, slog.Int("status", status))
	fl.drain(x)
	fl.recordSend(t, fmt.Sprintf("%d after event %d", status, fl.events.last))
	return attempt{verdict: verdictOf(status), err: errors.Errorf("the target that was to resume the stream answered %d", status)}
}

// forwardLong relays an answer as it arrives, after the part that was buffered.
func (fl *inflightCall) forwardLong(t *spread.Target, x *exchange, got *answer) attempt {
	fl.recordSend(t, fmt.Sprint(got.status))
	length := x.head.ContentLength()
	err := fl.sink.Begin(got.status, got.fields, max(-1, length))
	if err == nil {
		err = fl.sink.Write(got.body)
	}
	if err == nil {
		_, err = io.Copy(writer{fl.sink}, x.body)
	}
	if err != nil {
		x.logEnd(err, 0)
		x.abandon()
		return attempt{verdict: inconclusive, done: true, err: errBegun{err}}
	}
	x.logEnd(io.EOF, 0)
	x.bodyComplete = true
	x.finish()
	return attempt{verdict: healthy, done: true, err: fl.sink.End()}
}

// writer adapts a Sink to io.Writer.
type writer struct{ sink Sink }

func (w writer) Write(p []byte) (int, error) { return len(p), w.sink.Write(p) }

// sendAnswer relays a complete answer.
func (fl *inflightCall) sendAnswer(a *answer) error {
	if err := fl.sink.Begin(a.status, a.fields, a.declaredLength); err != nil {
		return errBegun{err}
	}
	if err := fl.sink.Write(a.body); err != nil {
		return errBegun{err}
	}
	if err := fl.sink.End(); err != nil {
		return errBegun{err}
	}
	return nil
}
