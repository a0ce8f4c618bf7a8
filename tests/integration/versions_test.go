// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration

import (
	"os"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/structs"
)

// earlierBin returns the directory with the daemon of an earlier version, which
// HAVENWINCH_EARLIER_BIN sets. Without it the current version takes both roles.
func earlierBin() string {
	if dir := os.Getenv("HAVENWINCH_EARLIER_BIN"); dir != "" {
		return dir
	}
	return bin
}

// useBinary sets the directory of the binary that boxes run from their next start on.
func (tb *testbed) useBinary(dir string, boxes ...string) {
	for _, name := range boxes {
		tb.fleet.Boxes[name].Spec.Bin = dir
	}
}

// sendUntilServed retries a request until the answer is complete. A box with a slow disk may
// refuse the request, but only as not run.
func (tb *testbed) sendUntilServed(box, prompt string, tokens int, headers ...string) reply {
	tb.t.Helper()
	var r reply
	tb.waitFor(box+" serves "+prompt, func() bool {
		var err error
		r, err = tb.send(box, prompt, tokens, nil, headers...)
		if err == nil && r.status != 200 && r.err.Run != structs.RunNo {
			tb.t.Errorf("%s refused %s with %+v", box, prompt, r.err)
		}
		return err == nil && r.status == 200 && r.complete
	})
	return r
}

// accounts returns the state that operators can query, without the column that changes even
// if there are no requests.
func (tb *testbed) accounts() map[string][]map[string]string {
	tb.t.Helper()
	got := map[string][]map[string]string{}
	for _, subject := range []string{"organisations", "groups", "budgets", "drains", "rollouts", "commands", "keys"} {
		rows := tb.query("show " + subject)
		for _, row := range rows {
			delete(row, "unallotted")
		}
		got[subject] = rows
	}
	return got
}

// TestAnotherVersionOnTheSameData guards against a version that misreads the ledgers or the
// log of an earlier one: organisations, budgets, bills, commands and the answers stored
// under idempotency keys must survive an upgrade and a downgrade.
func TestAnotherVersionOnTheSameData(t *testing.T) {
	specs := threeBoxes()
	for i := range specs {
		specs[i].Bin = earlierBin()
	}
	tb := newTestbed(t, specs, quickEngine, 3000)
	const key = "Idempotency-Key: dc-a:kept"
	kept := tb.sendUntilServed("box-a", "to be kept", 15, key)
	for _, box := range tb.fleet.Names() {
		tb.sendUntilServed(box, "demand", 20)
	}
	tb.command("rollout target-slots = 7")
	tb.command("drain target engine-dc-b")
	tb.waitFor("control has all bills", func() bool {
		row := tb.query("show groups")[0]
		return row["reserved"] == "0" && tb.query("show budgets")[0]["spent"] == strconv.Itoa(tb.processedTokens())
	})
	before := tb.accounts()
	runs, _ := tb.engineTotals()
	for _, dir := range []string{bin, earlierBin()} {
		for _, box := range tb.fleet.Names() {
			tb.noError(tb.fleet.Kill(box))
		}
		tb.useBinary(dir, tb.fleet.Names()...)
		tb.noError(tb.fleet.StartAll())
		tb.noError(tb.fleet.WaitReady())
		if diff := cmp.Diff(before, tb.accounts()); diff != "" {
			t.Errorf("the daemon in %s reads different accounts (- before, + after):\n%s", dir, diff)
		}
		if again := tb.sendUntilServed("box-a", "to be kept", 15, key); again.text != kept.text || again.billed != kept.billed {
			t.Errorf("the daemon in %s: replay of the key: got %+v, want %+v", dir, again, kept)
		}
	}
	if after, _ := tb.engineTotals(); after != runs {
		t.Errorf("the engines ran an answered request %d more times", after-runs)
	}
}

// TestVersionsTogether guards against incompatible versions in one fleet: boxes of both
// share the control group, the tokens of a budget and the home keeper of a key.
func TestVersionsTogether(t *testing.T) {
	for name, earlier := range map[string][]string{
		"one earlier box":   {"box-c"},
		"two earlier boxes": {"box-a", "box-b"},
	} {
		t.Run(name, func(t *testing.T) {
			specs := threeBoxes()
			for i := range specs {
				for _, box := range earlier {
					if specs[i].Name == box {
						specs[i].Bin = earlierBin()
					}
				}
			}
			tb := newTestbed(t, specs, quickEngine, 3000)
			for i, box := range tb.fleet.Names() {
				tb.sendUntilServed(box, "demand", 20)
				tb.command("rollout target-slots = " + strconv.Itoa(7+i))
				tb.waitConfigured(tb.fleet.Names()...)
			}
			const key = "Idempotency-Key: dc-a:of-both"
			runs, _ := tb.engineTotals()
			first := tb.sendUntilServed("box-a", "a text of both", 15, key)
			for _, box := range tb.fleet.Names() {
				if r := tb.sendUntilServed(box, "a text of both", 15, key); r.text != first.text {
					t.Errorf("%s answered the key with %q, box-a with %q", box, r.text, first.text)
				}
			}
			if after, _ := tb.engineTotals(); after != runs+1 {
				t.Errorf("the engines ran the request %d times, want once", after-runs)
			}
			leader := tb.leader()
			t.Logf("leader: %s", leader)
			tb.noError(tb.fleet.Kill(leader))
			tb.waitFor("another box is the leader", func() bool { return tb.findLeader(leader) != "" })
			tb.command("grant 1 to north/main")
			tb.noError(tb.fleet.Start(leader))
			tb.noError(tb.fleet.WaitReady())
			tb.waitConfigured(tb.fleet.Names()...)
			t.Logf("leader: %s", tb.leader())
			tb.waitFor("the accounts match the engines", func() bool {
				row := tb.query("show budgets")[0]
				return row["granted"] == "3001" && row["reserved"] == "0" && row["spent"] == strconv.Itoa(tb.processedTokens())
			})
		})
	}
}
