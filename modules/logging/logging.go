// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package logging makes the JSON-lines logger of a box.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger whose lines carry box and data centre.
func New(w io.Writer, level, box, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levelOf(level)})
	return slog.New(handler).With("box", box, "data_centre", dataCentre)
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

func levelOf(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
