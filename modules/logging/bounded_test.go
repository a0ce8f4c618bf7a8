// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Lines below Warn may use half of the rate; warnings and errors have the rest at least.
func TestRateLimit(t *testing.T) {
	b := NewRateLimitedWriter(10)
	now := time.Unix(100, 0)
	infos, warnings := 0, 0
	for range 20 {
		if b.allow(slog.LevelInfo, now) {
			infos++
		}
	}
	for range 20 {
		if b.allow(slog.LevelWarn, now) {
			warnings++
		}
	}
	if infos != 5 || warnings != 5 || b.dropped.Load() != 30 {
		t.Fatalf("%d infos, %d warnings, %d dropped", infos, warnings, b.dropped.Load())
	}
	if !b.allow(slog.LevelInfo, now.Add(time.Second)) {
		t.Fatal("a line of the next second was dropped")
	}
}

// Write must not block while nothing reads the buffer; lines that do not fit are counted.
func TestWriteNeverBlocks(t *testing.T) {
	b := NewRateLimitedWriter(1 << 20)
	for range bufferedLines + 7 {
		_, _ = b.Write([]byte("x\n"))
	}
	if b.dropped.Load() != 7 {
		t.Fatalf("%d dropped", b.dropped.Load())
	}
}

func TestRunFlushesAtTheEnd(t *testing.T) {
	b := NewRateLimitedWriter(100)
	l := NewRateLimitedLogger(b, "info", "box-1", "dc-1")
	l.With("k", "v").Info("hello", "n", 1)
	l.Debug("not this one")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	b.Run(ctx, &out, l)
	line := out.String()
	for _, part := range []string{`"msg":"hello"`, `"box":"box-1"`, `"data_centre":"dc-1"`, `"k":"v"`, `"n":1`} {
		if !strings.Contains(line, part) {
			t.Fatalf("%s is missing in %s", part, line)
		}
	}
	if strings.Count(line, "\n") != 1 {
		t.Fatalf("lines: %q", line)
	}
}
