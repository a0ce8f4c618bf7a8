// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestPlannedStopCutsNothing stops a box with streams open: they end whole,
// their bills are settled, and the process ends with code 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 30 * time.Millisecond
	b := newBench(t, three(), slow, 10_000)
	var wg sync.WaitGroup
	var once sync.Once
	stopped := make(chan error, 1)
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := b.send("box-c", fmt.Sprint("list ", i), 120, func() {
				once.Do(func() { go func() { stopped <- b.fleet.Stop("box-c") }() })
			})
			if err != nil || !r.whole || words(t, r.text) != 120 {
				t.Errorf("a stream was cut: %d words, %v", len(r.text), err)
			}
		}()
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("the box ended with %v\n%s", err, b.fleet.Boxes["box-c"].Log())
	}
	b.eventually("the bills and the free tokens are back", func() bool {
		group := b.query("show groups")[0]
		for _, row := range b.query("show allotments") {
			if len(row["holder"]) > 5 && row["holder"][:5] == "box-c" && row["allotted"] != sum(row["returned"], row["spent"]) {
				return false
			}
		}
		return group["requests"] == "4" && group["reserved"] == "0"
	})
}

func sum(a, b string) string {
	var x, y int
	_, _ = fmt.Sscan(a, &x)
	_, _ = fmt.Sscan(b, &y)
	return fmt.Sprint(x + y)
}

// TestPlannedStopWhileAKeeperIsDead stops a box that still owes a bill to a
// keeper that has died: it ends with code 0, and the keeper, when it is back,
// bills what the engine reports.
func TestPlannedStopWhileAKeeperIsDead(t *testing.T) {
	specs := three()
	specs[0].Flags = append(append([]string(nil), quick...), "--stop-limit", "8s")
	slow := quickEngine
	slow.TokenTime = 10 * time.Millisecond
	b := newBench(t, specs, slow, 10_000)
	r, err := b.send("box-a", "list", 60, func() { b.ok(b.fleet.Kill("box-c")) }, "Idempotency-Key: dc-c:list")
	if err != nil || !r.whole {
		t.Fatalf("the stream was cut: %+v %v", r, err)
	}
	if err := b.fleet.Stop("box-a"); err != nil {
		t.Errorf("the box ended with %v\n%s", err, b.fleet.Boxes["box-a"].Log())
	}
	b.ok(b.fleet.Start("box-c"))
	b.eventually("the keeper bills the orphan", func() bool {
		row := b.query("show groups")[0]
		return row["requests"] == "1" && row["billed"] == fmt.Sprint(b.paidWork()) && row["reserved"] == "0"
	})
}

// TestSecondSignalEndsAtOnce shows that an operator can cut a stop short.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = time.Second
	b := newBench(t, three(), slow, 10_000)
	r, err := b.send("box-c", "list", 500, func() {
		b.ok(b.fleet.Signal("box-c", syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
		b.ok(b.fleet.Signal("box-c", syscall.SIGTERM))
	})
	if err == nil && r.whole {
		t.Error("the stream ended as whole")
	}
	if b.fleet.Exit("box-c") == nil {
		t.Error("a stop that was cut short ended with code 0")
	}
}

// TestRollingRestart restarts every box in turn under load. Callers, which go
// to a ready box as behind a balancer, are never cut and never refused.
func TestRollingRestart(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1_000_000)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load(); n++ {
				box := b.readyBox()
				r, err := b.send(box, fmt.Sprint("load ", i, n), 20, nil)
				if err != nil || r.status != 200 || !r.whole {
					t.Errorf("%s: %+v %v", box, r, err)
					return
				}
				answered.Add(1)
			}
		}()
	}
	for _, name := range b.fleet.Names() {
		b.ok(b.fleet.Stop(name))
		b.ok(b.fleet.Start(name))
		b.ok(b.fleet.Await(name, "/readyz"))
	}
	stop.Store(true)
	wg.Wait()
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}

// readyBox returns a box whose readiness the balancer sees.
func (b *bench) readyBox() string {
	for {
		for _, name := range b.fleet.Names() {
			if s, err := b.status(name); err == nil && s.Ready {
				return name
			}
		}
	}
}

// TestLeavingTargets takes engines away by the platform's list, by a list that
// contradicts itself, and by an operator on the far side. None gets new work
// after it is known, and the work in progress goes on.
func TestLeavingTargets(t *testing.T) {
	tests := map[string]func(b *bench){
		"the list says leaving": func(b *bench) { b.platform.SetState("engine-dc-a", "leaving") },
		"the list says so and takes it back": func(b *bench) {
			b.platform.SetState("engine-dc-a", "leaving")
			b.eventually("the box knows", func() bool { return b.targetState("box-a", "engine-dc-a") == "leaving" })
			b.platform.SetState("engine-dc-a", "live")
			b.listRead()
		},
		"the list forgets it":   func(b *bench) { b.platform.Remove("engine-dc-a") },
		"an operator drains it": func(b *bench) { b.command("drain target engine-dc-a") },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			slow := quickEngine
			slow.TokenTime = 20 * time.Millisecond
			b := newBench(t, three(), slow, 100_000)
			done := make(chan reply, 1)
			begun := make(chan struct{})
			go func() {
				r, _ := b.send("box-a", "long", 100, func() { close(begun) })
				done <- r
			}()
			<-begun
			leave(b)
			b.eventually("the box knows", func() bool {
				s := b.targetState("box-a", "engine-dc-a")
				return s != "live"
			})
			_, before, _ := b.engines["dc-a"].Counts()
			for i := range 5 {
				b.mustSend("box-a", fmt.Sprint("new ", i), 5)
			}
			if _, after, _ := b.engines["dc-a"].Counts(); after != before {
				t.Errorf("a leaving target got %d new requests", after-before)
			}
			if r := <-done; !r.whole {
				t.Error("work in progress at a leaving target was cut")
			}
		})
	}
}

// listRead waits until every box has read the platform's list again; all read
// it at the same pace.
func (b *bench) listRead() {
	before := b.platform.Reads()
	b.eventually("the list is read again", func() bool { return b.platform.Reads() >= before+3*len(b.fleet.Names()) })
}

func (b *bench) targetState(box, name string) string {
	s, err := b.status(box)
	if err != nil || s.Entry == nil {
		return "live"
	}
	for _, target := range s.Entry.Targets {
		if target.Name == name {
			return target.State
		}
	}
	return "gone"
}

// TestConfigurationNeverReverts restarts boxes after 500 changes, one of them
// without a disk, and restarts a data centre that is cut off.
func TestConfigurationNeverReverts(t *testing.T) {
	b := newBench(t, withEntry(three()), quickEngine, 10_000)
	for i := range 500 {
		b.commandAs(uint64(1000+i), fmt.Sprintf("rollout target-slots = %d", 1+i%100))
	}
	b.inForce(b.fleet.Names()...)
	revision := b.query("show revision")[0]["revision"]
	for _, name := range []string{"entry-a", "box-b"} {
		b.ok(b.fleet.Kill(name))
		b.ok(b.fleet.Start(name))
		b.ok(b.fleet.Await(name, "/readyz"))
		b.inForce(name)
	}
	b.fleet.Isolate("box-c", true)
	b.command("rollout target-slots = 7")
	b.ok(b.fleet.Kill("box-c"))
	b.ok(b.fleet.Start("box-c"))
	b.ok(b.fleet.Await("box-c", "/readyz"))
	s, err := b.status("box-c")
	if err != nil || fmt.Sprint(s.Revision) != revision {
		t.Errorf("the box that was cut off restarted at revision %d, it held %s", s.Revision, revision)
	}
	if s.Confirmed >= 0 && s.Confirmed < 0.5 {
		t.Errorf("a box that is cut off calls its configuration confirmed %g s ago", s.Confirmed)
	}
	b.fleet.Isolate("box-c", false)
	b.inForce("box-c")
}

// TestCutOffBoxServesAfterRestart restarts a data centre's only box while it
// is cut off: it serves from the tokens that its ledger holds.
func TestCutOffBoxServesAfterRestart(t *testing.T) {
	b := newBench(t, three(), quickEngine, 3000)
	b.mustSend("box-c", "demand", 20)
	b.fleet.Isolate("box-c", true)
	b.ok(b.fleet.Kill("box-c"))
	b.ok(b.fleet.Start("box-c"))
	b.ok(b.fleet.Await("box-c", "/readyz"))
	b.eventually("its engine is listed", func() bool { return b.targetState("box-c", "engine-dc-c") == "live" })
	b.mustSend("box-c", "urgent", 20)
}

// TestTour compares the whole session of make run with its golden file.
func TestTour(t *testing.T) {
	t.Parallel()
	golden(t, "tour", normalise(runTour(t)))
}
