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

// Bounded writes lines beside the work: a line is handed to a buffer and never
// waits. Lines above the rate, or that find the buffer full, are left out and
// counted, and a line says how many. Lines of successes may use half of the
// rate only, so that refusals and failures always have room.
type Bounded struct {
	lines chan []byte
	// rate is the most lines a second.
	rate   int
	mu     sync.Mutex
	second int64
	used   int
	left   atomic.Uint64
}

// boundedBuffer is how many lines wait to be written.
const boundedBuffer = 512

// NewBounded returns a writer of at most rate lines a second; Run writes them.
func NewBounded(rate int) *Bounded {
	return &Bounded{lines: make(chan []byte, boundedBuffer), rate: rate}
}

// Write implements io.Writer: one call is one line.
func (b *Bounded) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.left.Add(1)
	}
	return len(p), nil
}

// admit tells whether a line of a level may be written now.
func (b *Bounded) admit(level slog.Level, now time.Time) bool {
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
		b.left.Add(1)
		return false
	}
	b.used++
	return true
}

// Run writes lines until the context ends, and then those that wait.
func (b *Bounded) Run(ctx context.Context, w io.Writer, l *slog.Logger) {
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case <-report.C:
			if n := b.left.Swap(0); n > 0 {
				l.Warn("log lines left out", "count", n)
			}
		case <-ctx.Done():
			b.drain(w)
			return
		}
	}
}

func (b *Bounded) drain(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// boundedHandler asks for admission before a line is made.
type boundedHandler struct {
	slog.Handler
	bounded *Bounded
}

func (h boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.bounded.admit(r.Level, r.Time) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

func (h boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return boundedHandler{Handler: h.Handler.WithAttrs(attrs), bounded: h.bounded}
}

func (h boundedHandler) WithGroup(name string) slog.Handler {
	return boundedHandler{Handler: h.Handler.WithGroup(name), bounded: h.bounded}
}

// NewBoundedLogger returns a logger that writes through a Bounded.
func NewBoundedLogger(b *Bounded, level, box, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(b, &slog.HandlerOptions{Level: levelOf(level)})
	return slog.New(boundedHandler{Handler: handler, bounded: b}).With("box", box, "data_centre", dataCentre)
}
