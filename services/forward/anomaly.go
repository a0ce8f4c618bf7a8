// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"

	"havenwinch.dev/havenwinch/models/spread"
)

// Protocol violations by targets, as named in logs and metrics.
const (
	// anomalySecondHead is a complete answer while another one to the same call is in progress.
	anomalySecondHead = "second_head"
	// anomalyEvent is an invalid or out-of-order event.
	anomalyEvent = "event_without_id"
	// anomalyNoID is an answer without the id of a call.
	anomalyNoID  = "answer_without_id"
	anomalyStray = "answer_to_another_call"
	// anomalyNotSigned is an answer without the signature of a target, or an encoded one.
	anomalyNotSigned = "not_signed"
	// anomalyHead is a header that can't be parsed.
	anomalyHead = "unreadable_head"
	// anomalyChunk is a chunk whose framing is invalid or does not end in time.
	anomalyChunk = "invalid_chunk"
	// anomalyNoEvent is a stream from which bytes come, but no complete event.
	anomalyNoEvent = "bytes_without_event"
)

// maxLoggedBytes limits the bytes of an invalid answer that are logged.
const maxLoggedBytes = 32

// logAnomaly logs and counts a protocol violation of a target. seen are the first invalid
// bytes, events the number of events of the call before them.
func (f *Forwarder) logAnomaly(call *Call, t *spread.Target, form string, events uint64, seen []byte, attrs ...slog.Attr) {
	f.opts.Counter.Odd(t.Service, form)
	attrs = append([]slog.Attr{
		slog.String("request", call.ID), slog.String("target", t.ID), slog.String("form", form), slog.Bool("system", call.Internal),
		slog.Uint64("events", events), slog.String("seen", string(seen[:min(len(seen), maxLoggedBytes)])),
	}, attrs...)
	f.opts.Logger.LogAttrs(context.Background(), slog.LevelWarn, "odd answer of a target", attrs...)
}
