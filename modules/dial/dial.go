// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dial opens connections with parallel attempts, instead of waiting for the
// system to retransmit a lost SYN, which it does only after a second: while an attempt
// has no answer, further ones are started, and the first connection is used. A peer that
// is not up yet, or a link that loses packets, then costs a few packets rather than that
// second.
package dial

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Func opens a connection like net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// shortages are the errors of a dial that lacked descriptors, memory or ports of its own machine.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsShortage reports whether a dial failed for want of a resource of this process or its machine. It then
// says nothing about the peer or the path to it.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(e error) bool { return errors.Is(err, e) })
}

// result is the result of one attempt.
type result struct {
	conn net.Conn
	err  error
}

// Hedged returns a Func that starts another attempt after each interval without an
// answer, until the context is done. If an attempt fails, its error is returned at once,
// since the peer has answered, unless it is for a shortage while another one is pending.
// Surplus connections are closed.
func Hedged(dial Func, interval time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		results := make(chan result)
		attempt := func() {
			c, err := dial(ctx, network, address)
			select {
			case results <- result{c, err}:
			case <-ctx.Done():
				if err == nil {
					_ = c.Close()
				}
			}
		}
		pending := 1
		go attempt()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case r := <-results:
				pending--
				if pending > 0 && IsShortage(r.err) {
					continue
				}
				return r.conn, r.err
			case <-ticker.C:
				pending++
				go attempt()
			case <-ctx.Done():
				return nil, context.Cause(ctx)
			}
		}
	}
}

// WithTimeout returns a Func that fails if dial takes longer than the timeout.
func WithTimeout(dial Func, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}
