// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/spread"
)

// maxWhole is the longest answer that is read in full before it is passed on, in
// bytes; longer ones are passed on as they come.
const maxWhole = 256 << 10

// whole reads an answer in full before any of it is passed on, so that a
// broken one can be asked for again.
func (fl *flight) whole(t *spread.Target, x *exchange, status int) attempt {
	if fl.sink.begun() {
		return fl.failedWithin(t, x, status)
	}
	body, err := io.ReadAll(io.LimitReader(x.body, maxWhole))
	if err != nil {
		x.abandon()
		fl.note(t, fmt.Sprintf("cut %d", status))
		return attempt{verdict: failing, err: errors.Wrap(errNoAnswer, err.Error())}
	}
	got := &answer{status: status, fields: x.fields(), body: body, length: x.length(body)}
	if len(body) == maxWhole {
		return fl.long(t, x, got)
	}
	x.whole = true
	x.finish()
	fl.note(t, fmt.Sprint(status))
	if status >= http.StatusInternalServerError && routing.Repeatable(fl.route) {
		return attempt{verdict: failing, failure: got, err: errors.Errorf("the target answered %d", status)}
	}
	return attempt{verdict: verdictOf(status), done: true, err: fl.pass(got)}
}

// verdictOf tells what a target's own answer shows of it.
func verdictOf(status int) verdict {
	if status >= http.StatusInternalServerError {
		return failing
	}
	return sound
}

// failedWithin takes the failure of a target that was to go on with a stream of which the
// caller has a part. A failure is an answer of its own: passed on within the stream, its
// head and body would be bytes that are no answer. The stream goes on elsewhere, or it
// breaks off.
func (fl *flight) failedWithin(t *spread.Target, x *exchange, status int) attempt {
	fl.f.odd(fl.call, t, oddSecondHead, fl.events.count, nil, slog.Int("status", status))
	fl.drain(x)
	fl.note(t, fmt.Sprintf("%d after event %d", status, fl.events.last))
	return attempt{verdict: verdictOf(status), err: errors.Errorf("the target that was to go on with the stream answered %d", status)}
}

// long passes an answer on as it comes, after what was read of it.
func (fl *flight) long(t *spread.Target, x *exchange, got *answer) attempt {
	fl.note(t, fmt.Sprint(got.status))
	length := x.head.ContentLength()
	err := fl.sink.Begin(got.status, got.fields, max(-1, length))
	if err == nil {
		err = fl.sink.Write(got.body)
	}
	if err == nil {
		_, err = io.Copy(writer{fl.sink}, x.body)
	}
	if err != nil {
		x.abandon()
		return attempt{verdict: unjudged, done: true, err: errBegun{err}}
	}
	x.whole = true
	x.finish()
	return attempt{verdict: sound, done: true, err: fl.sink.End()}
}

// writer makes a sink an io.Writer.
type writer struct{ sink Sink }

func (w writer) Write(p []byte) (int, error) { return len(p), w.sink.Write(p) }

// pass passes a whole answer on.
func (fl *flight) pass(a *answer) error {
	if err := fl.sink.Begin(a.status, a.fields, a.length); err != nil {
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
