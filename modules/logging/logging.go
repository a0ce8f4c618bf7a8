// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package logging creates the loggers of a box, which write JSON lines.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes JSON lines with the name of the box and its data
// centre to w. An invalid level means info.
func New(w io.Writer, level, box, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levelOf(level)})
	return slog.New(handler).With("box", box, "data_centre", dataCentre)
}

// Discard returns a logger that discards everything, for tests.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

func levelOf(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
