// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dial opens connections without waiting for the system to send a lost
// opening packet again, which it does after a second: while one attempt has no answer,
// others are begun beside it, and the first that is made is used. A box that is not
// there yet, or a link that loses packets, costs a few packets and not that second.
package dial

import (
	"context"
	"net"
	"time"
)

// Func opens one connection, as net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// outcome is what came of one attempt.
type outcome struct {
	conn net.Conn
	err  error
}

// Again returns a Func that begins another attempt each time an interval has passed
// without an answer, until the context ends. An attempt that fails ends them all: the
// other side has answered.
func Again(dial Func, every time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		outcomes := make(chan outcome)
		attempt := func() {
			c, err := dial(ctx, network, address)
			select {
			case outcomes <- outcome{c, err}:
			case <-ctx.Done():
				if err == nil {
					_ = c.Close()
				}
			}
		}
		go attempt()
		again := time.NewTicker(every)
		defer again.Stop()
		for {
			select {
			case o := <-outcomes:
				return o.conn, o.err
			case <-again.C:
				go attempt()
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			}
		}
	}
}

// Within bounds the time of a Func.
func Within(dial Func, limit time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return dial(ctx, network, address)
	}
}
