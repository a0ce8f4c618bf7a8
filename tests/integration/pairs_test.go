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
		begin func(tb *testbed)
		end   func(tb *testbed)
	}{
		"partition and a killed box": {
			func(tb *testbed) {
				tb.fleet.Isolate("box-c", true)
				tb.noError(tb.fleet.Kill("box-a"))
			},
			func(tb *testbed) {
				tb.noError(tb.fleet.Start("box-a"))
				tb.fleet.Isolate("box-c", false)
			},
		},
		"two paused boxes": {
			func(tb *testbed) {
				tb.noError(tb.fleet.Signal("box-a", syscall.SIGSTOP))
				tb.noError(tb.fleet.Signal("box-c", syscall.SIGSTOP))
			},
			func(tb *testbed) {
				tb.noError(tb.fleet.Signal("box-a", syscall.SIGCONT))
				tb.noError(tb.fleet.Signal("box-c", syscall.SIGCONT))
			},
		},
		"partition and a paused box": {
			func(tb *testbed) {
				tb.fleet.Isolate("box-c", true)
				tb.noError(tb.fleet.Signal("box-a", syscall.SIGSTOP))
			},
			func(tb *testbed) {
				tb.noError(tb.fleet.Signal("box-a", syscall.SIGCONT))
				tb.fleet.Isolate("box-c", false)
			},
		},
		"slow links and a killed box": {
			func(tb *testbed) {
				tb.delayLinks(150 * time.Millisecond)
				tb.noError(tb.fleet.Kill("box-c"))
			},
			func(tb *testbed) {
				tb.noError(tb.fleet.Start("box-c"))
				tb.delayLinks(0)
			},
		},
		"one-way partition and a restart": {
			func(tb *testbed) {
				tb.fleet.Cut("box-a", "box-b", true)
				tb.noError(tb.fleet.Kill("box-c"))
				tb.noError(tb.fleet.Start("box-c"))
			},
			func(tb *testbed) { tb.fleet.Cut("box-a", "box-b", false) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const budget = 2500
			tb := newTestbed(t, threeBoxes(), quickEngine, budget)
			for _, box := range tb.fleet.Names() {
				tb.mustSend(box, "demand", 20)
			}
			test.begin(tb)
			answered := tb.sendLoad()
			test.end(tb)
			for _, box := range tb.fleet.Names() {
				tb.noError(tb.fleet.WaitFor(box, "/readyz"))
			}
			tb.exhaustBudget("box-b")
			tb.waitFor("the accounts match the engines", func() bool {
				row := tb.query("show budgets")[0]
				spent, _ := strconv.Atoi(row["spent"])
				return row["reserved"] == "0" && spent == tb.processedTokens()
			})
			if work := tb.processedTokens(); work > budget {
				t.Errorf("%d tokens were processed, budget %d", work, budget)
			}
			t.Logf("%d requests were answered during the faults", answered)
		})
	}
}

// sendLoad sends six requests with idempotency keys to every box and returns the number of
// complete answers. Errors are ignored.
func (tb *testbed) sendLoad() int {
	answered := make(chan int)
	for _, box := range tb.fleet.Names() {
		go func() {
			n := 0
			for i := range 6 {
				r, err := tb.sendWithin(3*time.Second, box, fmt.Sprint("load ", i), 15, "Prefer: wait=2", fmt.Sprintf("Idempotency-Key: %s-%d", box, i))
				if err == nil && r.complete {
					n++
				}
			}
			answered <- n
		}()
	}
	sum := 0
	for range tb.fleet.Names() {
		sum += <-answered
	}
	return sum
}

// delayLinks sets the delay of all links between boxes.
func (tb *testbed) delayLinks(d time.Duration) {
	for _, from := range tb.fleet.Names() {
		for _, to := range tb.fleet.Names() {
			tb.fleet.Network.Set(tb.fleet.Boxes[from].IP, tb.fleet.Boxes[to].IP, fleet.Link{Delay: d})
		}
	}
}
