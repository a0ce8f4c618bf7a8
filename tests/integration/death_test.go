// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// boxTimeout is a little longer than the silence after which quick fleets take
// a box for dead.
const boxTimeout = 1700 * time.Millisecond

// TestEntryKilledWithOpenStream kills the box that carries a stream. The retry
// at another box gets the whole answer of the same run, and one bill: at once,
// when it follows the run, and after the box timeout, when it takes it over.
func TestEntryKilledWithOpenStream(t *testing.T) {
	tests := map[string]struct {
		wait    time.Duration
		headers []string
	}{
		"repeatable":                 {0, []string{"Idempotency-Key: list-1"}},
		"not repeatable":             {0, []string{"Idempotency-Key: list-1", "Havenwinch-Repeatable: no"}},
		"repeatable, taken over":     {boxTimeout, []string{"Idempotency-Key: list-1"}},
		"not repeatable, taken over": {boxTimeout, []string{"Idempotency-Key: list-1", "Havenwinch-Repeatable: no"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			slow := quickEngine
			slow.TokenTime = 60 * time.Millisecond
			b := newBench(t, withEntry(three()), slow, 10_000)
			r, err := b.send("entry-a", "make a list", 60, func() { b.ok(b.fleet.Kill("entry-a")) }, test.headers...)
			if err == nil && r.whole {
				t.Fatal("the stream of a killed box ended as whole")
			}
			time.Sleep(test.wait)
			again := b.mustSend("box-b", "make a list", 60, test.headers...)
			if n := words(t, again.text); n != 60 {
				t.Errorf("the retry got %d of 60 words", n)
			}
			b.eventually("one bill stands", func() bool {
				row := b.query("show groups")[0]
				return row["requests"] == "1" && row["billed"] == fmt.Sprint(again.billed) && row["reserved"] == "0"
			})
			if runs, _ := b.served(); runs != 1 {
				t.Errorf("the engines ran the request %d times", runs)
			}
		})
	}
}

// TestOrphanIsBilledWithoutRetry kills the box and sends no retry: the keeper
// bills what the engine reports.
func TestOrphanIsBilledWithoutRetry(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 10 * time.Millisecond
	b := newBench(t, withEntry(three()), slow, 10_000)
	_, _ = b.send("entry-a", "make a list", 50, func() { b.ok(b.fleet.Kill("entry-a")) }, "Idempotency-Key: list-1")
	b.eventually("the orphan is billed", func() bool {
		row := b.query("show groups")[0]
		return row["requests"] == "1" && row["reserved"] == "0" && row["billed"] != "0"
	})
	_, tokens := b.served()
	if billed := b.query("show groups")[0]["billed"]; billed != fmt.Sprint(tokens+uint64(len("user\nmake a list\n")/4+4)) {
		t.Errorf("billed %s, the engine made %d", billed, tokens)
	}
}

// TestLeaderKilledDuringCommands kills the leader while commands are under
// way; each is sent again under its number until it is answered, and takes
// effect once.
func TestLeaderKilledDuringCommands(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	for i := range 30 {
		if i == 10 {
			b.ok(b.fleet.Kill(b.leader()))
		}
		if r := b.command("grant 1 to north/main"); r.Refusal != "" {
			t.Fatal(r)
		}
	}
	if granted := b.query("show budgets")[0]["granted"]; granted != "1030" {
		t.Errorf("granted %s, want 1030", granted)
	}
}

// TestFrozenLeader freezes the leader for longer than every lease. Another
// takes over, and the thawed one neither answers nor acts as a leader.
func TestFrozenLeader(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	old := b.leader()
	b.command("grant 1 to north/main")
	b.ok(b.fleet.Signal(old, syscall.SIGSTOP))
	b.eventually("another box leads", func() bool { return b.findLeader(old) != "" })
	number := b.number + 1
	b.command("grant 10 to north/main")
	b.ok(b.fleet.Signal(old, syscall.SIGCONT))
	if r := b.commandAs(number, "grant 10 to north/main"); r.Refusal != "" {
		t.Errorf("the command sent again got %v", r)
	}
	b.eventually("the thawed box follows", func() bool {
		s, err := b.status(old)
		return err == nil && s.Control.Role == "follower"
	})
	if granted := b.query("show budgets")[0]["granted"]; granted != "1011" {
		t.Errorf("granted %s, want 1011", granted)
	}
}

// TestFrozenLeaderSendsNoStaleOrder orders loads before, during and after a
// freeze of the leader: no engine, whether it checks tokens or not, carries an
// older order out after a newer one.
func TestFrozenLeaderSendsNoStaleOrder(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	inForce := func(value string) func() bool {
		return func() bool { return b.engines["dc-a"].InForce("load").Value == value }
	}
	b.command("order engine-dc-a load m1:1")
	b.eventually("the first order is carried out", inForce("m1:1"))
	old := b.leader()
	b.command("order engine-dc-a load m1:2")
	b.ok(b.fleet.Signal(old, syscall.SIGSTOP))
	b.eventually("another box leads", func() bool { return b.findLeader(old) != "" })
	b.command("order engine-dc-a load m1:3")
	b.eventually("the third order is carried out", inForce("m1:3"))
	b.ok(b.fleet.Signal(old, syscall.SIGCONT))
	b.command("order engine-dc-a load m1:4")
	b.eventually("the fourth order is carried out", inForce("m1:4"))
	last := uint64(0)
	for _, o := range b.engines["dc-a"].Orders() {
		if o.Token < last {
			t.Errorf("order %d was carried out after %d", o.Token, last)
		}
		last = o.Token
	}
}

// TestControlDiskLostThenAnotherBox strips one box of its disk, waits for its
// repair, and then loses a second box: nothing that was accepted is gone.
func TestControlDiskLostThenAnotherBox(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	b.command("grant 1 to north/main")
	b.ok(b.fleet.Kill("box-c"))
	b.ok(os.RemoveAll(b.fleet.Boxes["box-c"].Folder))
	b.command("grant 2 to north/main")
	b.ok(b.fleet.Start("box-c"))
	b.eventually("the empty box is admitted", func() bool {
		s, err := b.status("box-c")
		return err == nil && s.Control.Member && s.Control.Commit > 0
	})
	b.ok(b.fleet.Kill("box-a"))
	b.command("grant 4 to north/main")
	if granted := b.query("show budgets")[0]["granted"]; granted != "1007" {
		t.Errorf("granted %s, want 1007", granted)
	}
}

// TestKeeperDiskLost strips a keeper of its ledger. What it held counts as
// spent, the budget is never exceeded, and a key that may have run there and
// must not run twice is not run.
func TestKeeperDiskLost(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	key := "Idempotency-Key: dc-c:once"
	b.mustSend("box-c", "first", 10, key, "Havenwinch-Repeatable: no")
	b.eventually("the bill is reported", func() bool { return b.query("show groups")[0]["requests"] == "1" })
	b.ok(b.fleet.Kill("box-c"))
	b.ok(os.RemoveAll(b.fleet.Boxes["box-c"].Folder))
	b.ok(b.fleet.Start("box-c"))
	b.ok(b.fleet.Await("box-c", "/readyz"))
	b.eventually("the lost ledger is named", func() bool { return b.query("show keepers where box = box-c")[0]["lost"] != "" })
	r, err := b.send("box-c", "first", 10, nil, key, "Havenwinch-Repeatable: no")
	if err != nil || r.err.Kind != "outcome_unknown" || r.err.Run != "unknown" {
		t.Errorf("the key that may have run got %+v %v", r, err)
	}
	if runs, _ := b.served(); runs != 1 {
		t.Errorf("the engines ran %d times", runs)
	}
	b.exhaust("box-a", "box-c")
	if _, tokens := b.served(); tokens > 1000 {
		t.Errorf("%d tokens were made of 1000 granted", tokens)
	}
}

// tooMany is more requests than any budget of these tests can carry.
const tooMany = 300

// exhaust sends requests until each of the boxes refuses for lack of budget.
func (b *bench) exhaust(boxes ...string) {
	b.t.Helper()
	for _, box := range boxes {
		for i := 0; ; i++ {
			r, err := b.send(box, fmt.Sprint("use ", i), 40, nil, "Prefer: wait=5")
			if err != nil {
				b.t.Fatal(err)
			}
			if r.err.Kind == "budget_exhausted" || r.err.Kind == "budget_unreachable" {
				break
			}
			if i > tooMany {
				b.t.Fatalf("box %s does not come to the end of the budget", box)
			}
			if r.status != 200 {
				b.t.Fatalf("box %s: %+v", box, r)
			}
		}
	}
}
