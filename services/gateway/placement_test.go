// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
)

// asking is a placement that asks the leases back, as one does under its own lock.
type asking struct {
	l     *Leases
	asked chan struct{}
}

func (a *asking) ask() {
	a.l.Holders()
	a.asked <- struct{}{}
}

func (a *asking) Readings() []*betweenv1.ReadingLoad   { a.ask(); return nil }
func (a *asking) SetReadings([]*betweenv1.ReadingLoad) { a.ask() }
func (a *asking) HasLimits() bool                      { a.ask(); return true }
func (a *asking) TellLimits(*betweenv1.LeaseRequest)   { a.ask() }
func (a *asking) TakeLimits(*betweenv1.LeaseRequest, *betweenv1.LeaseResponse, *lease.Directory) {
	a.ask()
}

// An entry box answered nobody any more, its balancer's question included: a report
// asked the placement of calls under the lock of the leases, while the placement asked
// the leases under its own. Two runs of twenty under random faults showed it, with a
// box that was not ready a minute after all faults had ended and logged nothing.
func TestPlacementIsNotAskedUnderTheLock(t *testing.T) {
	l := newLeases(&box{answer: grants(1000)})
	const questions = 5
	a := &asking{l: l, asked: make(chan struct{}, 10*questions)}
	l.Placement = a
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.report(ctx)
	for n := range questions {
		select {
		case <-a.asked:
		case <-time.After(time.Minute):
			t.Fatalf("only %d of %d questions of a report came back", n, questions)
		}
	}
}
