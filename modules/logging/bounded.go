// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// RateLimitedWriter is an asynchronous, rate-limited log writer: Write puts a line into a buffer
// and never blocks. Lines that exceed the rate, or do not fit into the buffer, are
// dropped, and their number is logged. Lines below the level Warn may use only half of
// the rate, so that refusals and failures can always be logged.
type RateLimitedWriter struct {
	lines chan []byte
	// rate is the maximum number of lines per second.
	rate int

	// mu guards the fields below: the current second, and the lines admitted in it.
	mu     sync.Mutex
	second int64
	used   int

	dropped atomic.Uint64
}

// bufferedLines is the capacity of the buffer, in lines.
const bufferedLines = 512

// NewRateLimitedWriter returns a writer of at most rate lines per second. Nothing is written until
// Run is called.
func NewRateLimitedWriter(rate int) *RateLimitedWriter {
	return &RateLimitedWriter{lines: make(chan []byte, bufferedLines), rate: rate}
}

// Write implements io.Writer. Each call must pass one line. It never fails: a line that
// does not fit into the buffer is dropped.
func (b *RateLimitedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// allow reports whether the rate permits a line of a level now, and counts it as written
// or dropped.
func (b *RateLimitedWriter) allow(level slog.Level, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	limit := b.rate
	if level < slog.LevelWarn {
		limit /= 2
	}
	if b.used >= limit {
		b.dropped.Add(1)
		return false
	}
	b.used++
	return true
}

// Run writes buffered lines to w until ctx is done, then writes those that remain and
// returns. Once a second it logs to l how many lines were dropped, if any.
func (b *RateLimitedWriter) Run(ctx context.Context, w io.Writer, l *slog.Logger) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case <-ticker.C:
			if n := b.dropped.Swap(0); n > 0 {
				l.Warn("log lines left out", "count", n)
			}
		case <-ctx.Done():
			b.flush(w)
			return
		}
	}
}

func (b *RateLimitedWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// rateLimitHandler drops records that exceed the rate before they are formatted.
type rateLimitHandler struct {
	slog.Handler
	writer *RateLimitedWriter
}

func (h rateLimitHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.writer.allow(r.Level, r.Time) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

func (h rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitHandler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer}
}

func (h rateLimitHandler) WithGroup(name string) slog.Handler {
	return rateLimitHandler{Handler: h.Handler.WithGroup(name), writer: h.writer}
}

// NewRateLimitedLogger returns a logger that writes JSON lines with the name of the box and
// its data centre to b. Records below the level are discarded.
func NewRateLimitedLogger(b *RateLimitedWriter, level, box, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(b, &slog.HandlerOptions{Level: levelOf(level)})
	return slog.New(rateLimitHandler{Handler: handler, writer: b}).With("box", box, "data_centre", dataCentre)
}
