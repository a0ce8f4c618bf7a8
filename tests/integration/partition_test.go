// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
)

// TestPartitionedDataCentre partitions one data centre from the others while both sides serve
// requests until their tokens are exhausted. Together they never exceed the budget, and
// after the partition the accounts match the tokens processed by the engines.
func TestPartitionedDataCentre(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 3000)
	for _, box := range tb.fleet.Names() {
		tb.mustSend(box, "demand", 20)
	}
	tb.waitFor("every data centre has tokens", func() bool { return len(tb.query("show allotments")) == 3 })
	tb.fleet.Isolate("box-c", true)
	var wg sync.WaitGroup
	for _, box := range tb.fleet.Names() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.exhaustBudget(box)
		}()
	}
	wg.Wait()
	if _, _, made := tb.engines["dc-c"].Counts(); made == 0 {
		t.Error("the partitioned data centre served nothing")
	}
	tb.fleet.Isolate("box-c", false)
	tb.waitFor("the accounts match the engines", func() bool {
		spent, _ := strconv.Atoi(tb.query("show budgets")[0]["spent"])
		return tb.query("show budgets")[0]["reserved"] == "0" && spent == tb.processedTokens()
	})
	if work := tb.processedTokens(); work > 3000 {
		t.Errorf("%d tokens were processed, budget 3000", work)
	}
}

// processedTokens returns the tokens that all engines have processed, including prompts.
func (tb *testbed) processedTokens() int {
	sum := 0
	for _, e := range tb.engines {
		sum += e.TotalTokens()
	}
	return sum
}

// TestSameKeyOnBothSidesOfPartition sends a repeatable request with the same idempotency key on
// both sides of a partition. Both callers are served; after the partition only one of the
// requests is billed, and the tokens of the other are written off, not refunded.
func TestSameKeyOnBothSidesOfPartition(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 3000)
	for _, box := range tb.fleet.Names() {
		tb.mustSend(box, "demand", 20)
	}
	tb.waitFor("every data centre has tokens", func() bool { return len(tb.query("show allotments")) == 3 })
	tb.waitFor("control has all bills", func() bool { return tb.query("show groups")[0]["requests"] == "3" })
	before, _ := strconv.Atoi(tb.query("show groups")[0]["billed"])
	tb.fleet.Isolate("box-c", true)
	key := "Idempotency-Key: dc-a:text-1"
	one := tb.mustSend("box-a", "a text", 15, key)
	tb.mustSend("box-c", "a text", 15, key)
	tb.fleet.Isolate("box-c", false)
	tb.waitFor("one request is billed and the other written off", func() bool {
		row := tb.query("show groups")[0]
		return row["billed"] == strconv.Itoa(before+one.billed) && row["written_off"] == strconv.Itoa(one.billed)
	})
	replay := tb.mustSend("box-c", "a text", 15, key)
	if replay.text != one.text {
		t.Errorf("replay of the key: got %q, want %q", replay.text, one.text)
	}
}

// TestNotRepeatableWhileHomeIsPartitioned sends a request that is not repeatable while the
// home keeper of its key is partitioned. The request must not run, and the answer must not
// claim that it has not run, since the other side may have run it.
func TestNotRepeatableWhileHomeIsPartitioned(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 3000)
	tb.mustSend("box-a", "demand", 20)
	tb.fleet.Isolate("box-c", true)
	key, once := "Idempotency-Key: dc-a:payment", "Havenwinch-Repeatable: no"
	runs, _ := tb.engineTotals()
	remote, err := tb.send("box-c", "pay", 10, nil, key, once)
	if err != nil || remote.err.Kind != "outcome_unknown" || remote.err.Run != "unknown" || remote.err.RetryAfter == 0 {
		t.Errorf("the side without the home keeper answered %+v %v", remote, err)
	}
	tb.mustSend("box-a", "pay", 10, key, once)
	tb.fleet.Isolate("box-c", false)
	tb.waitFor("the side without the home keeper serves the request", func() bool {
		r, err := tb.send("box-c", "pay", 10, nil, key, once)
		return err == nil && r.complete
	})
	if after, _ := tb.engineTotals(); after != runs+1 {
		t.Errorf("the engines ran the request %d times, want once", after-runs)
	}
}

// TestPartitionedLeader partitions the leader from the other boxes, in both directions and in
// one. The others elect a new leader, and a command sent meanwhile takes effect once.
func TestPartitionedLeader(t *testing.T) {
	tb := newTestbed(t, threeBoxes(), quickEngine, 1000)
	old := tb.leader()
	for round, oneWay := range []bool{false, true} {
		for _, other := range tb.fleet.Names() {
			if other == old {
				continue
			}
			tb.fleet.Cut(old, other, true)
			tb.fleet.Cut(other, old, !oneWay)
		}
		tb.waitFor("another box is the leader", func() bool { return tb.findLeader(old) != "" })
		tb.command("grant 1 to north/main")
		tb.fleet.Isolate(old, false)
		tb.waitFor("the old leader is a follower", func() bool {
			s, err := tb.status(old)
			return err == nil && s.Control.Role == "follower"
		})
		if granted := tb.query("show budgets")[0]["granted"]; granted != fmt.Sprint(1001+round) {
			t.Errorf("granted %s tokens, want one more per round", granted)
		}
		old = tb.leader()
	}
}
