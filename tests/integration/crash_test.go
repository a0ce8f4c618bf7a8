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

// boxTimeout is slightly longer than the --box-timeout of quickFlags, after which a silent box
// is considered dead.
const boxTimeout = 1700 * time.Millisecond

// TestEntryKilledWithOpenStream kills an entry box during a stream. A retry at another box
// gets the complete answer of the same run and one bill, both when it is sent at once and
// joins the run and when it is sent after the box timeout and takes the run over.
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
			tb := newTestbed(t, withEntry(threeBoxes()), slow, 10_000)
			r, err := tb.send("entry-a", "make a list", 60, func() { tb.noError(tb.fleet.Kill("entry-a")) }, test.headers...)
			if err == nil && r.complete {
				t.Fatal("the stream of the killed box ended as complete")
			}
			time.Sleep(test.wait)
			again := tb.mustSend("box-b", "make a list", 60, test.headers...)
			if n := countWords(t, again.text); n != 60 {
				t.Errorf("the retry got %d words, want 60", n)
			}
			tb.waitFor("the request is billed once", func() bool {
				row := tb.query("show groups")[0]
				return row["requests"] == "1" && row["billed"] == fmt.Sprint(again.billed) && row["reserved"] == "0"
			})
			if runs, _ := tb.engineTotals(); runs != 1 {
				t.Errorf("the engines ran the request %d times, want once", runs)
			}
		})
	}
}

// TestOrphanedRequestIsBilledWithoutRetry kills an entry box during a stream without a retry. The
// keeper bills the tokens that the engine reports.
func TestOrphanedRequestIsBilledWithoutRetry(t *testing.T) {
	slow := quickEngine
	slow.TokenTime = 10 * time.Millisecond
	tb := newTestbed(t, withEntry(threeBoxes()), slow, 10_000)
	_, _ = tb.send("entry-a", "make a list", 50, func() { tb.noError(tb.fleet.Kill("entry-a")) }, "Idempotency-Key: list-1")
	tb.waitFor("the orphaned request is billed", func() bool {
		row := tb.query("show groups")[0]
		return row["requests"] == "1" && row["reserved"] == "0" && row["billed"] != "0"
	})
	_, tokens := tb.engineTotals()
	if billed := tb.query("show groups")[0]["billed"]; billed != fmt.Sprint(tokens+uint64(len("user\nmake a list\n")/4+4)) {
		t.Errorf("billed %s tokens including the prompt, the engine generated %d", billed, tokens)
	}
}

// TestLeaderKilledDuringCommands kills the leader during a series of commands. Each command
// is retried with the same number until it is answered, and takes effect once.
func TestLeaderKilledDuringCommands(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	for i := range 30 {
		if i == 10 {
			tb.noError(tb.fleet.Kill(tb.leader()))
		}
		if r := tb.command("grant 1 to north/main"); r.Refusal != "" {
			t.Fatal(r)
		}
	}
	if granted := tb.query("show budgets")[0]["granted"]; granted != "1030" {
		t.Errorf("granted %s, want 1030", granted)
	}
}

// TestPausedLeader pauses the leader until every lease has expired and another box is the
// leader. After it resumes, the old leader neither answers nor acts as one.
func TestPausedLeader(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	old := tb.leader()
	tb.command("grant 1 to north/main")
	tb.noError(tb.fleet.Signal(old, syscall.SIGSTOP))
	tb.waitFor("another box leads", func() bool { return tb.findLeader(old) != "" })
	number := tb.number + 1
	tb.command("grant 10 to north/main")
	tb.noError(tb.fleet.Signal(old, syscall.SIGCONT))
	if r := tb.commandAs(number, "grant 10 to north/main"); r.Refusal != "" {
		t.Errorf("the retried command was refused: %v", r)
	}
	tb.waitFor("the resumed box is a follower", func() bool {
		s, err := tb.status(old)
		return err == nil && s.Control.Role == "follower"
	})
	if granted := tb.query("show budgets")[0]["granted"]; granted != "1011" {
		t.Errorf("granted %s, want 1011", granted)
	}
}

// TestPausedLeaderSendsNoStaleOrder sends load orders before, during and after a pause of
// the leader. No engine may execute an older order after a newer one, whether it checks
// fencing tokens or not.
func TestPausedLeaderSendsNoStaleOrder(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	inForce := func(value string) func() bool {
		return func() bool { return tb.engines["dc-a"].LastOrder("load").Value == value }
	}
	tb.command("order engine-dc-a load m1:1")
	tb.waitFor("the first order is executed", inForce("m1:1"))
	old := tb.leader()
	tb.command("order engine-dc-a load m1:2")
	tb.noError(tb.fleet.Signal(old, syscall.SIGSTOP))
	tb.waitFor("another box leads", func() bool { return tb.findLeader(old) != "" })
	tb.command("order engine-dc-a load m1:3")
	tb.waitFor("the third order is executed", inForce("m1:3"))
	tb.noError(tb.fleet.Signal(old, syscall.SIGCONT))
	tb.command("order engine-dc-a load m1:4")
	tb.waitFor("the fourth order is executed", inForce("m1:4"))
	last := uint64(0)
	for _, o := range tb.engines["dc-a"].Orders() {
		if o.Token < last {
			t.Errorf("the order with token %d was executed after token %d", o.Token, last)
		}
		last = o.Token
	}
}

// TestControlDiskLostThenAnotherBox deletes the data of one box, waits until it has
// recovered, and then kills a second box. No accepted command may be lost.
func TestControlDiskLostThenAnotherBox(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	tb.command("grant 1 to north/main")
	tb.noError(tb.fleet.Kill("box-c"))
	tb.noError(os.RemoveAll(tb.fleet.Boxes["box-c"].Dir))
	tb.command("grant 2 to north/main")
	tb.noError(tb.fleet.Start("box-c"))
	tb.waitFor("the box without data is a member again", func() bool {
		s, err := tb.status("box-c")
		return err == nil && s.Control.Member && s.Control.Commit > 0
	})
	tb.noError(tb.fleet.Kill("box-a"))
	tb.command("grant 4 to north/main")
	if granted := tb.query("show budgets")[0]["granted"]; granted != "1007" {
		t.Errorf("granted %s, want 1007", granted)
	}
}

// TestKeeperDiskLost deletes the ledger of a keeper. The tokens that it held count as spent,
// the budget is never exceeded, and a request that is not repeatable and may have run there
// does not run again.
func TestKeeperDiskLost(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	key := "Idempotency-Key: dc-c:once"
	tb.mustSend("box-c", "first", 10, key, "Havenwinch-Repeatable: no")
	tb.waitFor("control has the bill", func() bool { return tb.query("show groups")[0]["requests"] == "1" })
	tb.noError(tb.fleet.Kill("box-c"))
	tb.noError(os.RemoveAll(tb.fleet.Boxes["box-c"].Dir))
	tb.noError(tb.fleet.Start("box-c"))
	tb.noError(tb.fleet.WaitFor("box-c", "/readyz"))
	tb.waitFor("the ledger is listed as lost", func() bool { return tb.query("show keepers where box = box-c")[0]["lost"] != "" })
	r, err := tb.send("box-c", "first", 10, nil, key, "Havenwinch-Repeatable: no")
	if err != nil || r.err.Kind != "outcome_unknown" || r.err.Run != "unknown" {
		t.Errorf("the request that may have run was answered %+v %v", r, err)
	}
	if runs, _ := tb.engineTotals(); runs != 1 {
		t.Errorf("the engines ran the request %d times, want once", runs)
	}
	tb.exhaustBudget("box-a", "box-c")
	if _, tokens := tb.engineTotals(); tokens > 1000 {
		t.Errorf("%d tokens were generated, 1000 granted", tokens)
	}
}

// maxRequests is more requests than any budget of these tests covers.
const maxRequests = 300

// exhaustBudget sends requests to each box until it refuses them for lack of budget.
func (tb *testbed) exhaustBudget(boxes ...string) {
	tb.t.Helper()
	for _, box := range boxes {
		for i := 0; ; i++ {
			r, err := tb.send(box, fmt.Sprint("use ", i), 40, nil, "Prefer: wait=5")
			if err != nil {
				tb.t.Fatal(err)
			}
			if r.err.Kind == "budget_exhausted" || r.err.Kind == "budget_unreachable" {
				break
			}
			if i > maxRequests {
				tb.t.Fatalf("box %s has not exhausted the budget", box)
			}
			if r.status != 200 {
				tb.t.Fatalf("box %s: %+v", box, r)
			}
		}
	}
}
