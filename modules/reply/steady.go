// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reply

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// steadyWriter writes to a connection as long as that makes progress.
type steadyWriter struct {
	net  net.Conn
	opts Options
}

// Write implements io.Writer.
func (w *steadyWriter) Write(p []byte) (int, error) {
	written := 0
	s := stall{unsent: -1}
	for written < len(p) {
		_ = w.net.SetWriteDeadline(time.Now().Add(w.opts.WriteTimeout / looks))
		n, err := w.net.Write(p[written:min(len(p), written+writeSize)])
		written += n
		switch {
		case err == nil:
			s = stall{unsent: -1}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case s.look(n, w.unsent()):
			if w.opts.OnStall != nil {
				w.opts.OnStall(len(p) - written + w.unsent())
			}
			return written, err
		}
	}
	return written, nil
}

func (w *steadyWriter) unsent() int {
	if w.opts.Unsent == nil {
		return 0
	}
	return w.opts.Unsent()
}

// stall counts the looks at a write that waits.
type stall struct {
	count int
	// unsent is the number of unsent bytes at the last look, -1 for none.
	unsent int
}

// look records that a write has taken n bytes since the last look, and how many are unsent now. It reports
// whether there was no progress for too long.
func (s *stall) look(n, unsent int) bool {
	if n > 0 || unsent < s.unsent {
		s.count = 0
	} else {
		s.count++
	}
	s.unsent = unsent
	return s.count >= looks
}
