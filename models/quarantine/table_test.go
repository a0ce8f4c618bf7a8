// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/tests/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

func testContent(n int) Digest { return Digest{byte(n), byte(n >> 8), 1} }

func targetEnd(c Digest, target string, weight uint32) *statev1.EndedUnder {
	return &statev1.EndedUnder{Content: c[:], Target: target, Weight: weight}
}

func endReport(at time.Duration, ends ...*statev1.EndedUnder) *statev1.ReportCalls {
	return &statev1.ReportCalls{At: at.Milliseconds(), Ended: ends}
}

func successReport(at time.Duration, c Digest) *statev1.ReportCalls {
	return &statev1.ReportCalls{At: at.Milliseconds(), Served: [][]byte{c[:]}}
}

func TestTransitions(t *testing.T) {
	a, b := testContent(1), testContent(2)
	three := endReport(0, targetEnd(a, "t1", EarlyEnd), targetEnd(a, "t2", EarlyEnd), targetEnd(a, "t3", EarlyEnd))
	elapsed := func(d time.Duration) *statev1.ReportCalls { return endReport(d) }
	cases := map[string]struct {
		reports []*statev1.ReportCalls
		held    bool
		rounds  uint32
	}{
		"three early ends":               {reports: []*statev1.ReportCalls{three}, held: true, rounds: 1},
		"two early ends":                 {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd), targetEnd(a, "t2", EarlyEnd))}},
		"one end from several boxes":     {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd)), endReport(1, targetEnd(a, "t1", EarlyEnd)), endReport(2, targetEnd(a, "t1", EarlyEnd))}},
		"two starts of a target":         {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1@5", EarlyEnd), targetEnd(a, "t1@9", EarlyEnd), targetEnd(a, "t2@3", EarlyEnd))}, held: true, rounds: 1},
		"five late ends":                 {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "1", LateEnd), targetEnd(a, "2", LateEnd), targetEnd(a, "3", LateEnd), targetEnd(a, "4", LateEnd), targetEnd(a, "5", LateEnd))}},
		"six late ends":                  {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "1", LateEnd), targetEnd(a, "2", LateEnd), targetEnd(a, "3", LateEnd), targetEnd(a, "4", LateEnd), targetEnd(a, "5", LateEnd), targetEnd(a, "6", LateEnd))}, held: true, rounds: 1},
		"excessive weight":               {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", 99))}},
		"ends of another call":           {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd), targetEnd(a, "t2", EarlyEnd), targetEnd(b, "t3", EarlyEnd))}},
		"success between ends":           {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd), targetEnd(a, "t2", EarlyEnd)), successReport(1, a), endReport(2, targetEnd(a, "t3", EarlyEnd))}},
		"success while held back":        {reports: []*statev1.ReportCalls{three, successReport(time.Second, a)}},
		"success of another call":        {reports: []*statev1.ReportCalls{three, successReport(time.Second, b)}, held: true, rounds: 1},
		"ends too far apart":             {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd), targetEnd(a, "t2", EarlyEnd)), endReport(suspicionPeriod+time.Second, targetEnd(a, "t3", EarlyEnd))}},
		"ends just within the period":    {reports: []*statev1.ReportCalls{endReport(0, targetEnd(a, "t1", EarlyEnd)), endReport(suspicionPeriod-time.Second, targetEnd(a, "t2", EarlyEnd)), endReport(2*suspicionPeriod-2*time.Second, targetEnd(a, "t3", EarlyEnd))}, held: true, rounds: 1},
		"shortly before the release":     {reports: []*statev1.ReportCalls{three, elapsed(10*time.Minute - time.Second)}, held: true, rounds: 1},
		"release":                        {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute)}, rounds: 1},
		"one end after the release":      {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute), endReport(11*time.Minute, targetEnd(a, "t4", EarlyEnd))}, held: true, rounds: 2},
		"second hold is longer":          {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute), endReport(11*time.Minute, targetEnd(a, "t4", EarlyEnd)), elapsed(70 * time.Minute)}, held: true, rounds: 2},
		"second release":                 {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute), endReport(11*time.Minute, targetEnd(a, "t4", EarlyEnd)), elapsed(71 * time.Minute)}, rounds: 2},
		"forgotten without further ends": {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute), elapsed(20 * time.Minute)}},
		"clock set back":                 {reports: []*statev1.ReportCalls{three, elapsed(10 * time.Minute), elapsed(9 * time.Minute)}, rounds: 1},
		"further end while held back":    {reports: []*statev1.ReportCalls{three, endReport(time.Minute, targetEnd(a, "t4", EarlyEnd)), elapsed(10 * time.Minute)}, rounds: 1},
		"invalid content":                {reports: []*statev1.ReportCalls{{Ended: []*statev1.EndedUnder{{Content: []byte("x"), Target: "t"}}, Served: [][]byte{nil}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := NewTable()
			for _, r := range c.reports {
				tb.Apply(r)
			}
			if row := tb.Row(a); row.GetHeld() != c.held || row.GetRounds() != c.rounds {
				t.Fatalf("held back: %v after %d rounds, want %v after %d", row.GetHeld(), row.GetRounds(), c.held, c.rounds)
			}
		})
	}
}

func TestApplyReturnsTransitions(t *testing.T) {
	tb, a := NewTable(), testContent(1)
	steps := []struct {
		report *statev1.ReportCalls
		want   string
	}{
		{endReport(0, targetEnd(a, "1", EarlyEnd), targetEnd(a, "2", EarlyEnd)), ""},
		{endReport(1, targetEnd(a, "3", EarlyEnd)), "held "},
		{endReport(2, targetEnd(a, "4", EarlyEnd)), ""},
		{endReport(11 * time.Minute), "released " + ReasonExpired},
		{endReport(12*time.Minute, targetEnd(a, "5", EarlyEnd)), "held "},
		{successReport(13*time.Minute, a), "released " + ReasonServed},
		{successReport(14*time.Minute, a), ""},
	}
	for i, step := range steps {
		got := ""
		for _, v := range tb.Apply(step.report) {
			got += map[bool]string{true: "held ", false: "released "}[v.IsHeld] + v.Reason
		}
		if got != step.want {
			t.Fatalf("step %d: %q, want %q", i, got, step.want)
		}
	}
}

// Calls are listed if they are held back or two targets ended during them. Others are
// not, since a crash affects all calls of a target once.
func TestListed(t *testing.T) {
	tb, a := NewTable(), testContent(1)
	var before uint64
	steps := []struct {
		report  *statev1.ReportCalls
		listed  int
		changed bool
	}{
		{endReport(0, targetEnd(a, "1", EarlyEnd)), 0, false},
		{endReport(1, targetEnd(a, "2", EarlyEnd)), 1, true},
		{endReport(2, targetEnd(a, "2", EarlyEnd)), 1, false},
		{endReport(3, targetEnd(a, "3", EarlyEnd)), 1, true},
		{endReport(4, targetEnd(a, "4", EarlyEnd)), 1, false},
		{successReport(5, a), 0, true},
	}
	for i, step := range steps {
		tb.Apply(step.report)
		if got := len(tb.Listed()); got != step.listed || (tb.Revision() != before) != step.changed {
			t.Fatalf("step %d: %d calls are listed, revision is %d after %d", i, got, tb.Revision(), before)
		}
		before = tb.Revision()
	}
}

// Ends before a success stay known, so that a report that is sent again does not count
// them anew, but the call is no longer listed or held back because of them.
func TestEndsBeforeASuccess(t *testing.T) {
	tb, a := NewTable(), testContent(1)
	steps := []struct {
		report *statev1.ReportCalls
		listed int
		weight uint32
	}{
		{endReport(0, targetEnd(a, "1", EarlyEnd), targetEnd(a, "2", EarlyEnd)), 1, 2 * EarlyEnd},
		{successReport(1, a), 0, 0},
		{endReport(2, targetEnd(a, "1", EarlyEnd), targetEnd(a, "2", EarlyEnd)), 0, 0},
		{endReport(3, targetEnd(a, "3", EarlyEnd)), 0, EarlyEnd},
		{endReport(4, targetEnd(a, "4", EarlyEnd)), 1, 2 * EarlyEnd},
		{successReport(5, a), 0, 0},
		{endReport(6, targetEnd(a, "5", LateEnd), targetEnd(a, "6", LateEnd), targetEnd(a, "7", LateEnd), targetEnd(a, "8", LateEnd), targetEnd(a, "9", LateEnd)), 1, 5 * LateEnd},
		{successReport(7, a), 0, 0},
		{endReport(8, targetEnd(a, "10", EarlyEnd)), 0, EarlyEnd},
	}
	for i, step := range steps {
		tb.Apply(step.report)
		if got := len(tb.Listed()); got != step.listed || tb.Row(a).GetWeight() != step.weight {
			t.Fatalf("step %d: %d calls are listed and the weight is %d, want %d and %d", i, got, tb.Row(a).GetWeight(), step.listed, step.weight)
		}
	}
	if n := len(tb.Row(a).GetTargets()); n != maxTargetsPerCall {
		t.Fatalf("row has %d starts of targets, want the maximum", n)
	}
}

// A crash of many targets affects more calls than the table holds. Rows with a higher
// weight must not be evicted by them.
func TestTableIsBounded(t *testing.T) {
	tb := NewTable()
	for n := range 3 {
		tb.Apply(endReport(0, targetEnd(testContent(1), fmt.Sprint(n), EarlyEnd)))
	}
	tb.Apply(endReport(0, targetEnd(testContent(2), "1", EarlyEnd), targetEnd(testContent(2), "2", EarlyEnd)))
	for n := range 2 * maxRows {
		tb.Apply(endReport(time.Second, targetEnd(testContent(10+n), "x", EarlyEnd)))
	}
	if tb.Len() != maxRows || !tb.Row(testContent(1)).GetHeld() || tb.Row(testContent(2)).GetWeight() != 2*EarlyEnd {
		t.Fatalf("table has %d rows; held-back call: %v, suspected call: %v", tb.Len(), tb.Row(testContent(1)), tb.Row(testContent(2)))
	}
	tb.Apply(endReport(time.Hour))
	tb.Apply(endReport(2 * time.Hour))
	if tb.Len() != 0 {
		t.Fatalf("%d rows are left after all have expired", tb.Len())
	}
}

// TestRandomReports applies random reports to two tables, one of which is restored from
// a snapshot now and then. The tables must stay equal, and no row may stay forever.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, copied := NewTable(), NewTable()
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.SampledFrom([]int{-3, 0, 1, 60, 600, 4000}).Draw(t, "s")) * time.Second
			r := endReport(at)
			for range rapid.IntRange(0, 3).Draw(t, "ends") {
				c := testContent(rapid.IntRange(0, 4).Draw(t, "content"))
				r.Ended = append(r.Ended, targetEnd(c, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "target")), uint32(rapid.IntRange(0, 3).Draw(t, "weight"))))
			}
			if rapid.IntRange(0, 5).Draw(t, "served") == 0 {
				c := testContent(rapid.IntRange(0, 4).Draw(t, "served content"))
				r.Served = [][]byte{c[:]}
			}
			tb.Apply(r)
			copied.Apply(r)
			if rapid.Bool().Draw(t, "restore") {
				s := &statev1.Snapshot{}
				copied.Snapshot(s)
				copied = Load(s)
			}
		}
		var one, two statev1.Snapshot
		tb.Snapshot(&one)
		copied.Snapshot(&two)
		if diff := cmp.Diff(&one, &two, protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(tb.Listed(), copied.Listed(), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
		if len(tb.due) != len(tb.rows) {
			t.Fatalf("%d contents are due, but there are %d rows", len(tb.due), len(tb.rows))
		}
		tb.Apply(endReport(at + 30*time.Hour))
		tb.Apply(endReport(at + 60*time.Hour))
		if tb.Len() != 0 {
			t.Fatalf("%d rows never expire", tb.Len())
		}
	})
}
