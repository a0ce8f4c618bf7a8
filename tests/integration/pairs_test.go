// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"strconv"
	"syscall"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/tests/fleet"
)

// TestFaultsInPairs combines two faults under load on a budget that is too small, and
// checks the accounts when both are over.
func TestFaultsInPairs(t *testing.T) {
	tests := map[string]struct {
		begin func(b *testbed)
		end   func(b *testbed)
	}{
		"partition and a killed box": {
			func(b *testbed) {
				b.fleet.Isolate("box-c", true)
				b.noError(b.fleet.Kill("box-a"))
			},
			func(b *testbed) {
				b.noError(b.fleet.Start("box-a"))
				b.fleet.Isolate("box-c", false)
			},
		},
		"two paused boxes": {
			func(b *testbed) {
				b.noError(b.fleet.Signal("box-a", syscall.SIGSTOP))
				b.noError(b.fleet.Signal("box-c", syscall.SIGSTOP))
			},
			func(b *testbed) {
				b.noError(b.fleet.Signal("box-a", syscall.SIGCONT))
				b.noError(b.fleet.Signal("box-c", syscall.SIGCONT))
			},
		},
		"partition and a paused box": {
			func(b *testbed) {
				b.fleet.Isolate("box-c", true)
				b.noError(b.fleet.Signal("box-a", syscall.SIGSTOP))
			},
			func(b *testbed) {
				b.noError(b.fleet.Signal("box-a", syscall.SIGCONT))
				b.fleet.Isolate("box-c", false)
			},
		},
		"slow links and a killed box": {
			func(b *testbed) {
				b.delayLinks(150 * time.Millisecond)
				b.noError(b.fleet.Kill("box-c"))
			},
			func(b *testbed) {
				b.noError(b.fleet.Start("box-c"))
				b.delayLinks(0)
			},
		},
		"one-way partition and a restart": {
			func(b *testbed) {
				b.fleet.Cut("box-a", "box-b", true)
				b.noError(b.fleet.Kill("box-c"))
				b.noError(b.fleet.Start("box-c"))
			},
			func(b *testbed) { b.fleet.Cut("box-a", "box-b", false) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const budget = 2500
			b := newTestbed(t, threeBoxes(), quickEngine, budget)
			for _, box := range b.fleet.Names() {
				b.mustSend(box, "demand", 20)
			}
			test.begin(b)
			answered := b.sendLoad()
			test.end(b)
			for _, box := range b.fleet.Names() {
				b.noError(b.fleet.Await(box, "/readyz"))
			}
			b.exhaustBudget("box-b")
			b.waitFor("the accounts match the engines", func() bool {
				row := b.query("show budgets")[0]
				spent, _ := strconv.Atoi(row["spent"])
				return row["reserved"] == "0" && spent == b.processedTokens()
			})
			if work := b.processedTokens(); work > budget {
				t.Errorf("%d tokens were processed, budget %d", work, budget)
			}
			t.Logf("%d requests were answered during the faults", answered)
		})
	}
}

// sendLoad sends six requests with idempotency keys to every box and returns the number of
// complete answers. Errors are ignored.
func (b *testbed) sendLoad() int {
	answered := make(chan int)
	for _, box := range b.fleet.Names() {
		go func() {
			n := 0
			for i := range 6 {
				r, err := b.sendWithin(3*time.Second, box, fmt.Sprint("load ", i), 15, "Prefer: wait=2", fmt.Sprintf("Idempotency-Key: %s-%d", box, i))
				if err == nil && r.complete {
					n++
				}
			}
			answered <- n
		}()
	}
	sum := 0
	for range b.fleet.Names() {
		sum += <-answered
	}
	return sum
}

// delayLinks sets the delay of all links between boxes.
func (b *testbed) delayLinks(d time.Duration) {
	for _, from := range b.fleet.Names() {
		for _, to := range b.fleet.Names() {
			b.fleet.Network.Set(b.fleet.Boxes[from].IP, b.fleet.Boxes[to].IP, fleet.Link{Delay: d})
		}
	}
}
