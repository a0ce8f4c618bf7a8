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

// TestGracefulShutdownCompletesStreams shuts a box down gracefully while it has open streams. They
// complete, their bills are settled, and the process exits with code 0.
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 30 * time.Millisecond
	tb := newTestbed(t, threeBoxes(), slow, 10_000)
	var wg sync.WaitGroup
	var once sync.Once
	stopped := make(chan error, 1)
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := tb.send("box-c", fmt.Sprint("list ", i), 120, func() {
				once.Do(func() { go func() { stopped <- tb.fleet.Stop("box-c") }() })
			})
			if err != nil || !r.complete || countWords(t, r.text) != 120 {
				t.Errorf("a stream is incomplete: %d bytes, %v", len(r.text), err)
			}
		}()
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("the box exited with %v\n%s", err, tb.fleet.Boxes["box-c"].Log())
	}
	tb.waitFor("control has the bills and the returned tokens", func() bool {
		group := tb.query("show groups")[0]
		for _, row := range tb.query("show allotments") {
			if len(row["holder"]) > 5 && row["holder"][:5] == "box-c" && row["allotted"] != addDecimals(row["returned"], row["spent"]) {
				return false
			}
		}
		return group["requests"] == "4" && group["reserved"] == "0"
	})
}

func addDecimals(a, b string) string {
	var x, y int
	_, _ = fmt.Sscan(a, &x)
	_, _ = fmt.Sscan(b, &y)
	return fmt.Sprint(x + y)
}

// TestGracefulShutdownWhileKeeperIsDead shuts a box down gracefully while it still has to report
// a bill to a keeper that was killed. The box exits with code 0, and after its restart the
// keeper bills the tokens that the engine reports.
func TestGracefulShutdownWhileKeeperIsDead(t *testing.T) {
	specs := threeBoxes()
	specs[0].Flags = append(append([]string(nil), quickFlags...), "--stop-limit", "8s")
	slow := quickEngine
	slow.TokenTime = 10 * time.Millisecond
	tb := newTestbed(t, specs, slow, 10_000)
	r, err := tb.send("box-a", "list", 60, func() { tb.noError(tb.fleet.Kill("box-c")) }, "Idempotency-Key: dc-c:list")
	if err != nil || !r.complete {
		t.Fatalf("the stream is incomplete: %+v %v", r, err)
	}
	if err := tb.fleet.Stop("box-a"); err != nil {
		t.Errorf("the box exited with %v\n%s", err, tb.fleet.Boxes["box-a"].Log())
	}
	tb.noError(tb.fleet.Start("box-c"))
	tb.waitFor("the keeper bills the orphaned request", func() bool {
		row := tb.query("show groups")[0]
		return row["requests"] == "1" && row["billed"] == fmt.Sprint(tb.processedTokens()) && row["reserved"] == "0"
	})
}

// TestInterruptAbortsShutdown checks that SIGINT ends a graceful shutdown at once.
func TestInterruptAbortsShutdown(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = time.Second
	tb := newTestbed(t, threeBoxes(), slow, 10_000)
	r, err := tb.send("box-c", "list", 500, func() {
		tb.noError(tb.fleet.Signal("box-c", syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
		tb.noError(tb.fleet.Signal("box-c", syscall.SIGINT))
	})
	if err == nil && r.complete {
		t.Error("the stream ended as complete")
	}
	if tb.fleet.Exit("box-c") == nil {
		t.Error("the aborted shutdown exited with code 0")
	}
}

// TestRollingRestart restarts every box in turn under load. Callers select a ready box, as
// a load balancer does, and no request is truncated or refused.
func TestRollingRestart(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1_000_000)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load(); n++ {
				box := tb.readyBox()
				r, err := tb.send(box, fmt.Sprint("load ", i, n), 20, nil)
				if err != nil || r.status != 200 || !r.complete {
					t.Errorf("%s: %+v %v", box, r, err)
					return
				}
				answered.Add(1)
			}
		}()
	}
	for _, name := range tb.fleet.Names() {
		tb.noError(tb.fleet.Stop(name))
		tb.noError(tb.fleet.Start(name))
		tb.noError(tb.fleet.WaitFor(name, "/readyz"))
	}
	stop.Store(true)
	wg.Wait()
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}

// readyBox returns a box that reports to be ready, and blocks until there is one.
func (tb *testbed) readyBox() string {
	for {
		for _, name := range tb.fleet.Names() {
			if s, err := tb.status(name); err == nil && s.Ready {
				return name
			}
		}
	}
}

// TestLeavingTargets removes an engine by the platform's list, by a list that reverts the
// removal, and by an operator at another box. Once the box knows, the engine receives no new
// requests, and its requests in progress complete.
func TestLeavingTargets(t *testing.T) {
	tests := map[string]func(tb *testbed){
		"listed as leaving": func(tb *testbed) { tb.platform.SetState("engine-dc-a", "leaving") },
		"listed as leaving, then as live": func(tb *testbed) {
			tb.platform.SetState("engine-dc-a", "leaving")
			tb.waitFor("the box knows", func() bool { return tb.targetState("box-a", "engine-dc-a") == "leaving" })
			tb.platform.SetState("engine-dc-a", "live")
			tb.waitListRead()
		},
		"removed from the list":  func(tb *testbed) { tb.platform.Remove("engine-dc-a") },
		"drained by an operator": func(tb *testbed) { tb.command("drain target engine-dc-a") },
		"data centre evacuated":  func(tb *testbed) { tb.command("drain data-centre dc-a") },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			slow := quickEngine
			slow.TokenTime = 20 * time.Millisecond
			tb := newTestbed(t, threeBoxes(), slow, 100_000)
			done := make(chan reply, 1)
			begun := make(chan struct{})
			go func() {
				r, _ := tb.send("box-a", "long", 100, func() { close(begun) })
				done <- r
			}()
			<-begun
			leave(tb)
			tb.waitFor("the box knows", func() bool {
				s := tb.targetState("box-a", "engine-dc-a")
				return s != "live"
			})
			_, before, _ := tb.engines["dc-a"].Counts()
			for i := range 5 {
				tb.mustSend("box-a", fmt.Sprint("new ", i), 5)
			}
			if _, after, _ := tb.engines["dc-a"].Counts(); after != before {
				t.Errorf("the leaving target received %d new requests", after-before)
			}
			if r := <-done; !r.complete {
				t.Error("the request in progress at the leaving target was truncated")
			}
		})
	}
}

// waitListRead waits until every box has read the platform's list again. All boxes read it at
// the same interval, so three reads per box suffice.
func (tb *testbed) waitListRead() {
	before := tb.platform.Reads()
	tb.waitFor("the list is read again", func() bool { return tb.platform.Reads() >= before+3*len(tb.fleet.Names()) })
}

func (tb *testbed) targetState(box, name string) string {
	s, err := tb.status(box)
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

// TestConfigurationNeverReverts makes 500 configuration changes, restarts boxes with and
// without a disk, and restarts a box in a partitioned data centre. None of them may start
// with an older configuration.
func TestConfigurationNeverReverts(t *testing.T) {
	tb := newTestbed(t, withEntry(threeBoxes()), quickEngine, 10_000)
	for i := range 500 {
		tb.commandAs(uint64(1000+i), fmt.Sprintf("rollout target-slots = %d", 1+i%100))
	}
	tb.waitConfigured(tb.fleet.Names()...)
	revision := tb.query("show revision")[0]["revision"]
	for _, name := range []string{"entry-a", "box-b"} {
		tb.noError(tb.fleet.Kill(name))
		tb.noError(tb.fleet.Start(name))
		tb.noError(tb.fleet.WaitFor(name, "/readyz"))
		tb.waitConfigured(name)
	}
	tb.fleet.Isolate("box-c", true)
	tb.command("rollout target-slots = 7")
	tb.noError(tb.fleet.Kill("box-c"))
	tb.noError(tb.fleet.Start("box-c"))
	tb.noError(tb.fleet.WaitFor("box-c", "/readyz"))
	s, err := tb.status("box-c")
	if err != nil || fmt.Sprint(s.Revision) != revision {
		t.Errorf("the partitioned box restarted at revision %d, want %s", s.Revision, revision)
	}
	if s.Confirmed >= 0 && s.Confirmed < 0.5 {
		t.Errorf("the partitioned box reports its configuration as confirmed %g s ago", s.Confirmed)
	}
	tb.fleet.Isolate("box-c", false)
	tb.waitConfigured("box-c")
}

// TestPartitionedBoxServesAfterRestart restarts the only box of a data centre during a partition.
// It serves requests with the tokens in its ledger.
func TestPartitionedBoxServesAfterRestart(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 3000)
	tb.mustSend("box-c", "demand", 20)
	tb.fleet.Isolate("box-c", true)
	tb.noError(tb.fleet.Kill("box-c"))
	tb.noError(tb.fleet.Start("box-c"))
	tb.noError(tb.fleet.WaitFor("box-c", "/readyz"))
	tb.waitFor("its engine is listed", func() bool { return tb.targetState("box-c", "engine-dc-c") == "live" })
	tb.mustSend("box-c", "urgent", 20)
}

// TestTour compares the output of make run with its golden file.
func TestTour(t *testing.T) {
	t.Parallel()
	checkGolden(t, "tour", normalise(runTour(t)))
}
