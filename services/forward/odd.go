// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"

	"havenwinch.dev/havenwinch/models/spread"
)

// Forms of bytes from targets that are not the answer as agreed, in logs and
// counters.
const (
	// oddSecondHead is a whole answer where one to the same call had begun.
	oddSecondHead = "second_head"
	// oddEvent is an event whose id can't be read.
	oddEvent = "event_without_id"
	// oddUnnamed is an answer without the id of a call.
	oddUnnamed = "answer_without_id"
	// oddStray is an answer to another call.
	oddStray = "answer_to_another_call"
	// oddForeign is an answer that no target has signed.
	oddForeign = "not_signed"
	// oddHead is a head that can't be read.
	oddHead = "unreadable_head"
)

// oddShown bounds the bytes of an odd answer that are logged.
const oddShown = 32

// odd notes bytes of a target that are not the answer as agreed: seen are the first
// of them, events how many events of the call had come by then.
func (f *Forwarder) odd(call *Call, t *spread.Target, form string, events uint64, seen []byte, attrs ...slog.Attr) {
	f.opts.Counter.Odd(t.Service, form)
	attrs = append([]slog.Attr{
		slog.String("request", call.ID), slog.String("target", t.ID), slog.String("form", form), slog.Bool("system", call.System),
		slog.Uint64("events", events), slog.String("seen", string(seen[:min(len(seen), oddShown)])),
	}, attrs...)
	f.opts.Logger.LogAttrs(context.Background(), slog.LevelWarn, "odd answer of a target", attrs...)
}
