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

// TestFaultsInPairs brings two faults about at once, under load on a budget
// that is too small, and checks what must hold when both are over.
func TestFaultsInPairs(t *testing.T) {
	tests := map[string]struct {
		begin func(b *bench)
		end   func(b *bench)
	}{
		"cut and the leader's death": {
			func(b *bench) {
				b.fleet.Isolate("box-c", true)
				b.ok(b.fleet.Kill("box-a"))
			},
			func(b *bench) {
				b.ok(b.fleet.Start("box-a"))
				b.fleet.Isolate("box-c", false)
			},
		},
		"two boxes freeze": {
			func(b *bench) {
				b.ok(b.fleet.Signal("box-a", syscall.SIGSTOP))
				b.ok(b.fleet.Signal("box-c", syscall.SIGSTOP))
			},
			func(b *bench) {
				b.ok(b.fleet.Signal("box-a", syscall.SIGCONT))
				b.ok(b.fleet.Signal("box-c", syscall.SIGCONT))
			},
		},
		"a box freezes during a cut": {
			func(b *bench) {
				b.fleet.Isolate("box-c", true)
				b.ok(b.fleet.Signal("box-a", syscall.SIGSTOP))
			},
			func(b *bench) {
				b.ok(b.fleet.Signal("box-a", syscall.SIGCONT))
				b.fleet.Isolate("box-c", false)
			},
		},
		"slow links and a death": {
			func(b *bench) {
				b.slow(150 * time.Millisecond)
				b.ok(b.fleet.Kill("box-c"))
			},
			func(b *bench) {
				b.ok(b.fleet.Start("box-c"))
				b.slow(0)
			},
		},
		"one-way cut and a restart": {
			func(b *bench) {
				b.fleet.Cut("box-a", "box-b", true)
				b.ok(b.fleet.Kill("box-c"))
				b.ok(b.fleet.Start("box-c"))
			},
			func(b *bench) { b.fleet.Cut("box-a", "box-b", false) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const budget = 2500
			b := newBench(t, three(), quickEngine, budget)
			for _, box := range b.fleet.Names() {
				b.mustSend(box, "demand", 20)
			}
			test.begin(b)
			answered := b.load()
			test.end(b)
			for _, box := range b.fleet.Names() {
				b.ok(b.fleet.Await(box, "/readyz"))
			}
			b.exhaust("box-b")
			b.eventually("the accounts agree with the engines", func() bool {
				row := b.query("show budgets")[0]
				spent, _ := strconv.Atoi(row["spent"])
				return row["reserved"] == "0" && spent == b.paidWork()
			})
			if work := b.paidWork(); work > budget {
				t.Errorf("%d tokens were served of %d", work, budget)
			}
			t.Logf("%d requests were answered during the faults", answered)
		})
	}
}

// load sends keyed requests to every box for a moment, and counts the answers.
// A box that can't answer is left alone.
func (b *bench) load() int {
	answered := make(chan int)
	for _, box := range b.fleet.Names() {
		go func() {
			n := 0
			for i := range 6 {
				r, err := b.sendWithin(3*time.Second, box, fmt.Sprint("load ", i), 15, "Prefer: wait=2", fmt.Sprintf("Idempotency-Key: %s-%d", box, i))
				if err == nil && r.whole {
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

// slow delays all links between boxes.
func (b *bench) slow(d time.Duration) {
	for _, from := range b.fleet.Names() {
		for _, to := range b.fleet.Names() {
			b.fleet.Network.Set(b.fleet.Boxes[from].IP, b.fleet.Boxes[to].IP, fleet.Link{Delay: d})
		}
	}
}
