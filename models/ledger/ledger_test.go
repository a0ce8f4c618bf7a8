// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
)

// at returns the times at d after a test's start.
func at(d time.Duration) ledger.Times {
	return ledger.Times{Wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(d), Boot: time.Hour + d}
}

func newLedger(tokens uint64) *ledger.Ledger {
	l := ledger.New(options, "one", at(0).Wall, at(0).Boot)
	l.SetAllotted(budgetName, tokens)
	return l
}

func request(key string, bound uint64) *statev1.RequestRecord {
	return &statev1.RequestRecord{Group: groupName, Key: key, Budget: budgetName, Bound: bound, Repeatable: true, BodyDigest: "d", Deadline: at(time.Hour).Wall.UnixMilli()}
}

// timedKey returns a UUID of version 7 with the given time.
func timedKey(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	milli := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(milli >> (8 * (5 - i)))
	}
	return id.String()
}

// TestReserveAgain reserves a key a second time after the described event.
func TestReserveAgain(t *testing.T) {
	start := func(l *ledger.Ledger, attempt uint32) {
		l.Start(groupName, "k", ledger.StartOptions{Attempt: attempt, Target: "e"}, at(0))
	}
	tests := map[string]struct {
		before func(l *ledger.Ledger)
		later  time.Duration
		other  bool
		want   betweenv1.ReserveStatus
		// attempt is the record's attempt after the second reservation.
		attempt uint32
	}{
		"in progress":                   {func(*ledger.Ledger) {}, 0, false, betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, 1},
		"another body":                  {func(*ledger.Ledger) {}, 0, true, betweenv1.ReserveStatus_RESERVE_STATUS_CONFLICT, 1},
		"its box died before a start":   {func(*ledger.Ledger) {}, 5 * time.Second, false, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, 2},
		"its box died after a start":    {func(l *ledger.Ledger) { start(l, 1) }, 5 * time.Second, false, betweenv1.ReserveStatus_RESERVE_STATUS_TAKEN_OVER, 2},
		"its box is alive":              {func(l *ledger.Ledger) { start(l, 1); l.Beat("box@1", at(4*time.Second).Boot) }, 5 * time.Second, false, betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING, 1},
		"billed":                        {func(l *ledger.Ledger) { start(l, 1); l.Settle(groupName, "k", ledger.Bill{Attempt: 1, Used: 3}, at(0)) }, 0, false, betweenv1.ReserveStatus_RESERVE_STATUS_DONE, 1},
		"released":                      {func(l *ledger.Ledger) { l.Settle(groupName, "k", ledger.Bill{Attempt: 1, NotRun: true}, at(0)) }, 0, false, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, 2},
		"released, another body":        {func(l *ledger.Ledger) { l.Settle(groupName, "k", ledger.Bill{Attempt: 1, NotRun: true}, at(0)) }, 0, true, betweenv1.ReserveStatus_RESERVE_STATUS_CONFLICT, 1},
		"never started by its deadline": {func(l *ledger.Ledger) { l.Expire(at(2 * time.Hour)) }, 0, false, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(100)
			l.Reserve(request("k", 40), "box@1", at(0))
			test.before(l)
			r := request("k", 40)
			if test.other {
				r.BodyDigest = "other"
			}
			out := l.Reserve(r, "box@2", at(test.later))
			if out.Status != test.want || out.Request.GetAttempt() != test.attempt {
				t.Errorf("got %v at attempt %d, want %v at %d", out.Status, out.Request.GetAttempt(), test.want, test.attempt)
			}
			if b := l.Budget(budgetName); b.Reserved+b.Row.GetSpent() > 40 {
				t.Errorf("%d tokens are reserved and %d spent for one request of 40", b.Reserved, b.Row.GetSpent())
			}
		})
	}
}

func TestStartGuards(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		second     ledger.StartOptions
		want       bool
	}{
		"an attempt that was taken over":              {true, ledger.StartOptions{Attempt: 9}, false},
		"another target, may be repeated":             {true, ledger.StartOptions{Attempt: 1, Lost: 30}, true},
		"another target, no room for a lost run":      {true, ledger.StartOptions{Attempt: 1, Lost: 40}, false},
		"another target, not repeatable":              {false, ledger.StartOptions{Attempt: 1, Lost: 10}, false},
		"not repeatable, first target did not get it": {false, ledger.StartOptions{Attempt: 1, FormerNotRun: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(75)
			r := request("k", 40)
			r.Repeatable = test.repeatable
			l.Reserve(r, "box@1", at(0))
			if _, ok := l.Start(groupName, "k", ledger.StartOptions{Attempt: 1, Target: "one"}, at(0)); !ok {
				t.Fatal("the first start was refused")
			}
			test.second.Target = "two"
			if _, ok := l.Start(groupName, "k", test.second, at(0)); ok != test.want {
				t.Errorf("got %v, want %v", ok, test.want)
			}
		})
	}
}

// TestKeysThatCannotBeVouchedFor covers keys for which a missing record does not
// prove that they have not run: keys older than the window, and keys that a lost
// ledger may have run.
func TestKeysThatCannotBeVouchedFor(t *testing.T) {
	tests := map[string]struct {
		key        string
		repeatable bool
		blind      bool
		want       betweenv1.ReserveStatus
	}{
		"fresh":                           {timedKey(at(0).Wall), false, false, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED},
		"older than the window":           {timedKey(at(-2 * time.Hour).Wall), true, false, betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED},
		"older, with a data centre":       {"dc-a:" + timedKey(at(-2*time.Hour).Wall), true, false, betweenv1.ReserveStatus_RESERVE_STATUS_EXPIRED},
		"opaque":                          {"k", false, false, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED},
		"opaque after a loss":             {"k", false, true, betweenv1.ReserveStatus_RESERVE_STATUS_UNKNOWN},
		"opaque after a loss, repeatable": {"k", true, true, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED},
		"made before the loss":            {timedKey(at(-time.Minute).Wall), false, true, betweenv1.ReserveStatus_RESERVE_STATUS_UNKNOWN},
		"made well after the loss":        {timedKey(at(5 * time.Minute).Wall), false, true, betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED},
		"made about the time of the loss": {timedKey(at(10 * time.Second).Wall), false, true, betweenv1.ReserveStatus_RESERVE_STATUS_UNKNOWN},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(100)
			l.Blind = test.blind
			r := request(test.key, 10)
			r.Repeatable = test.repeatable
			if out := l.Reserve(r, "box@1", at(6*time.Minute)); out.Status != test.want {
				t.Errorf("got %v, want %v", out.Status, test.want)
			}
		})
	}
}

// TestClaims covers the home ledger's answers to another ledger that ran one of
// its keys.
func TestClaims(t *testing.T) {
	tests := map[string]struct {
		before func(home *ledger.Ledger)
		want   bool
	}{
		"never seen": {func(*ledger.Ledger) {}, true},
		"reserved":   {func(l *ledger.Ledger) { l.Reserve(request("k", 10), "box@1", at(0)) }, false},
		"started": {func(l *ledger.Ledger) {
			l.Reserve(request("k", 10), "box@1", at(0))
			l.Start(groupName, "k", ledger.StartOptions{Attempt: 1, Target: "e"}, at(0))
		}, false},
		"released": {func(l *ledger.Ledger) {
			l.Reserve(request("k", 10), "box@1", at(0))
			l.Settle(groupName, "k", ledger.Bill{Attempt: 1, NotRun: true}, at(0))
		}, true},
		"claimed by another": {func(l *ledger.Ledger) { l.Claim(request("k", 10), "third", at(0)) }, false},
		"claimed by itself":  {func(l *ledger.Ledger) { l.Claim(request("k", 10), "far", at(0)) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			home, far := newLedger(100), newLedger(100)
			test.before(home)
			reserved := home.Budget(budgetName).Reserved
			r := request("k", 20)
			r.ForeignHome = "home"
			far.Reserve(r, "box@2", at(0))
			far.Start(groupName, "k", ledger.StartOptions{Attempt: 1, Target: "e"}, at(0))
			granted, by, _ := home.Claim(r, "far", at(0))
			far.ApplyClaimAnswer(groupName, "k", granted, by, at(0))
			out := far.Settle(groupName, "k", ledger.Bill{Attempt: 1, Used: 15}, at(0))
			billed := out.Request.GetState() == statev1.RequestState_REQUEST_STATE_DONE
			if granted != test.want || billed != test.want || out.Request.GetBilled()+out.Request.GetWrittenOff() != 15 {
				t.Errorf("granted %v, want %v; then %v", granted, test.want, out.Request)
			}
			if home.Budget(budgetName).Reserved != reserved {
				t.Error("a claim changed what the home has reserved")
			}
			if far.Budget(budgetName).Row.GetSpent() != 15 {
				t.Error("tokens that were used returned to the budget")
			}
		})
	}
}

func TestClockJumpsDoNotReviveOrKill(t *testing.T) {
	l := newLedger(100)
	l.Reserve(request("k", 10), "box@1", at(0))
	jumped := ledger.Times{Wall: at(48 * time.Hour).Wall, Boot: at(time.Second).Boot}
	if out := l.Reserve(request("k", 10), "box@2", jumped); out.Status != betweenv1.ReserveStatus_RESERVE_STATUS_RUNNING {
		t.Errorf("got %v after the time of day jumped", out.Status)
	}
}

// BenchmarkReserveStartSettle measures reservation, start and settlement of one
// request in a ledger with many budgets and records.
func BenchmarkReserveStartSettle(b *testing.B) {
	for _, n := range []int{10, 1000, 120_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			l := newLedger(1 << 50)
			for i := range n {
				l.SetAllotted(fmt.Sprint("north/", i), 1000)
			}
			l.Reports(n+1, at(0).Boot)
			i, bytes := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				key := fmt.Sprint(i)
				records := l.Reserve(request(key, 100), "box@1", at(0)).Records
				started, _ := l.Start(groupName, key, ledger.StartOptions{Attempt: 1, Target: "engine"}, at(0))
				records = append(records, started.Records...)
				records = append(records, l.Settle(groupName, key, ledger.Bill{Attempt: 1, Used: 50}, at(0)).Records...)
				for _, r := range records {
					bytes += proto.Size(r)
				}
			}
			b.ReportMetric(float64(bytes)/float64(i), "log-bytes/request")
		})
	}
}

// BenchmarkIdleTick measures the work that a ledger does each second when nothing
// is due.
func BenchmarkIdleTick(b *testing.B) {
	for _, n := range []int{10, 1000, 120_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			l := newLedger(1 << 50)
			for i := range n {
				l.SetAllotted(fmt.Sprint("north/", i), 1000)
			}
			l.Reports(n+1, at(0).Boot)
			for b.Loop() {
				l.Expire(at(0))
				l.Orphans(at(0).Boot, 64)
				l.PendingClaims(64)
				l.Reports(2048, at(0).Boot)
			}
		})
	}
}
