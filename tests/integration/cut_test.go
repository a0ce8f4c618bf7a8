// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
)

// TestDataCentreCutOff cuts one data centre off while both sides go on taking
// requests until their tokens are used up. Neither serves more than there is,
// and afterwards the accounts agree with what the engines made.
func TestDataCentreCutOff(t *testing.T) {
	b := newBench(t, three(), quickEngine, 3000)
	for _, box := range b.fleet.Names() {
		b.mustSend(box, "demand", 20)
	}
	b.eventually("every data centre has tokens", func() bool { return len(b.query("show allotments")) == 3 })
	b.fleet.Isolate("box-c", true)
	var wg sync.WaitGroup
	for _, box := range b.fleet.Names() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.exhaust(box)
		}()
	}
	wg.Wait()
	if _, _, made := b.engines["dc-c"].Counts(); made == 0 {
		t.Error("the data centre that was cut off served nothing")
	}
	b.fleet.Isolate("box-c", false)
	b.eventually("the accounts agree with the engines", func() bool {
		spent, _ := strconv.Atoi(b.query("show budgets")[0]["spent"])
		return b.query("show budgets")[0]["reserved"] == "0" && spent == b.paidWork()
	})
	if work := b.paidWork(); work > 3000 {
		t.Errorf("%d tokens were served of 3000", work)
	}
}

// paidWork is what all engines have worked, prompts included.
func (b *bench) paidWork() int {
	sum := 0
	for _, e := range b.engines {
		sum += e.Work()
	}
	return sum
}

// TestSameKeyOnBothSidesOfACut sends one key, which may be repeated, on both
// sides. Both callers are served; after the cut there is one bill, and what
// the other side served is written off, not given back.
func TestSameKeyOnBothSidesOfACut(t *testing.T) {
	b := newBench(t, three(), quickEngine, 3000)
	for _, box := range b.fleet.Names() {
		b.mustSend(box, "demand", 20)
	}
	b.eventually("every data centre has tokens", func() bool { return len(b.query("show allotments")) == 3 })
	b.eventually("all bills are reported", func() bool { return b.query("show groups")[0]["requests"] == "3" })
	before, _ := strconv.Atoi(b.query("show groups")[0]["billed"])
	b.fleet.Isolate("box-c", true)
	key := "Idempotency-Key: dc-a:text-1"
	one := b.mustSend("box-a", "a text", 15, key)
	b.mustSend("box-c", "a text", 15, key)
	b.fleet.Isolate("box-c", false)
	b.eventually("one bill is left", func() bool {
		row := b.query("show groups")[0]
		return row["billed"] == strconv.Itoa(before+one.billed) && row["written_off"] == strconv.Itoa(one.billed)
	})
	replay := b.mustSend("box-c", "a text", 15, key)
	if replay.text != one.text {
		t.Errorf("the key now answers %q, not %q", replay.text, one.text)
	}
}

// TestNotRepeatableWhileItsHomeIsCutOff must not run, and must not say that it
// was not run, since another side may have run it.
func TestNotRepeatableWhileItsHomeIsCutOff(t *testing.T) {
	b := newBench(t, three(), quickEngine, 3000)
	b.mustSend("box-a", "demand", 20)
	b.fleet.Isolate("box-c", true)
	key, once := "Idempotency-Key: dc-a:payment", "Havenwinch-Repeatable: no"
	runs, _ := b.served()
	far, err := b.send("box-c", "pay", 10, nil, key, once)
	if err != nil || far.err.Kind != "outcome_unknown" || far.err.Run != "unknown" || far.err.RetryAfter == 0 {
		t.Errorf("the far side got %+v %v", far, err)
	}
	b.mustSend("box-a", "pay", 10, key, once)
	b.fleet.Isolate("box-c", false)
	b.eventually("the far side answers again", func() bool {
		r, err := b.send("box-c", "pay", 10, nil, key, once)
		return err == nil && r.whole
	})
	if after, _ := b.served(); after != runs+1 {
		t.Errorf("the engines ran %d times for one key", after-runs)
	}
}

// TestLeaderCutOff cuts the leader off alone. The others go on, and what it
// was sent meanwhile under a number takes effect once.
func TestLeaderCutOff(t *testing.T) {
	b := newBench(t, three(), quickEngine, 1000)
	old := b.leader()
	for round, oneWay := range []bool{false, true} {
		for _, other := range b.fleet.Names() {
			if other == old {
				continue
			}
			b.fleet.Cut(old, other, true)
			b.fleet.Cut(other, old, !oneWay)
		}
		b.eventually("another box leads", func() bool { return b.findLeader(old) != "" })
		b.command("grant 1 to north/main")
		b.fleet.Isolate(old, false)
		b.eventually("one box leads", func() bool {
			s, err := b.status(old)
			return err == nil && s.Control.Role == "follower"
		})
		if granted := b.query("show budgets")[0]["granted"]; granted != fmt.Sprint(1001+round) {
			t.Errorf("granted %s", granted)
		}
		old = b.leader()
	}
}
