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

func contentNo(n int) Content { return Content{byte(n), byte(n >> 8), 1} }

func end(c Content, target string, weight uint32) *statev1.EndedUnder {
	return &statev1.EndedUnder{Content: c[:], Target: target, Weight: weight}
}

func ended(at time.Duration, ends ...*statev1.EndedUnder) *statev1.ReportCalls {
	return &statev1.ReportCalls{At: at.Milliseconds(), Ended: ends}
}

func served(at time.Duration, c Content) *statev1.ReportCalls {
	return &statev1.ReportCalls{At: at.Milliseconds(), Served: [][]byte{c[:]}}
}

func TestVerdicts(t *testing.T) {
	a, b := contentNo(1), contentNo(2)
	three := ended(0, end(a, "t1", EarlyEnd), end(a, "t2", EarlyEnd), end(a, "t3", EarlyEnd))
	over := func(d time.Duration) *statev1.ReportCalls { return ended(d) }
	cases := map[string]struct {
		reports []*statev1.ReportCalls
		held    bool
		rounds  uint32
	}{
		"three early ends":                {reports: []*statev1.ReportCalls{three}, held: true, rounds: 1},
		"two":                             {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd), end(a, "t2", EarlyEnd))}},
		"one end told by several boxes":   {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd)), ended(1, end(a, "t1", EarlyEnd)), ended(2, end(a, "t1", EarlyEnd))}},
		"two starts of a target":          {reports: []*statev1.ReportCalls{ended(0, end(a, "t1@5", EarlyEnd), end(a, "t1@9", EarlyEnd), end(a, "t2@3", EarlyEnd))}, held: true, rounds: 1},
		"five ends of streams that ran":   {reports: []*statev1.ReportCalls{ended(0, end(a, "1", LateEnd), end(a, "2", LateEnd), end(a, "3", LateEnd), end(a, "4", LateEnd), end(a, "5", LateEnd))}},
		"six ends of streams that ran":    {reports: []*statev1.ReportCalls{ended(0, end(a, "1", LateEnd), end(a, "2", LateEnd), end(a, "3", LateEnd), end(a, "4", LateEnd), end(a, "5", LateEnd), end(a, "6", LateEnd))}, held: true, rounds: 1},
		"a weight that is too large":      {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", 99))}},
		"ends of another call":            {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd), end(a, "t2", EarlyEnd), end(b, "t3", EarlyEnd))}},
		"ended well in between":           {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd), end(a, "t2", EarlyEnd)), served(1, a), ended(2, end(a, "t3", EarlyEnd))}},
		"ended well after the verdict":    {reports: []*statev1.ReportCalls{three, served(time.Second, a)}},
		"another call ended well":         {reports: []*statev1.ReportCalls{three, served(time.Second, b)}, held: true, rounds: 1},
		"ends far apart":                  {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd), end(a, "t2", EarlyEnd)), ended(suspectFor+time.Second, end(a, "t3", EarlyEnd))}},
		"ends less far apart":             {reports: []*statev1.ReportCalls{ended(0, end(a, "t1", EarlyEnd)), ended(suspectFor-time.Second, end(a, "t2", EarlyEnd)), ended(2*suspectFor-2*time.Second, end(a, "t3", EarlyEnd))}, held: true, rounds: 1},
		"the time is not over":            {reports: []*statev1.ReportCalls{three, over(10*time.Minute - time.Second)}, held: true, rounds: 1},
		"the time is over":                {reports: []*statev1.ReportCalls{three, over(10 * time.Minute)}, rounds: 1},
		"one end after the time":          {reports: []*statev1.ReportCalls{three, over(10 * time.Minute), ended(11*time.Minute, end(a, "t4", EarlyEnd))}, held: true, rounds: 2},
		"the second time is longer":       {reports: []*statev1.ReportCalls{three, over(10 * time.Minute), ended(11*time.Minute, end(a, "t4", EarlyEnd)), over(70 * time.Minute)}, held: true, rounds: 2},
		"the second time is over":         {reports: []*statev1.ReportCalls{three, over(10 * time.Minute), ended(11*time.Minute, end(a, "t4", EarlyEnd)), over(71 * time.Minute)}, rounds: 2},
		"forgotten when nothing happens":  {reports: []*statev1.ReportCalls{three, over(10 * time.Minute), over(20 * time.Minute)}},
		"the time of day went back":       {reports: []*statev1.ReportCalls{three, over(10 * time.Minute), over(9 * time.Minute)}, rounds: 1},
		"ends on the way to the verdict":  {reports: []*statev1.ReportCalls{three, ended(time.Minute, end(a, "t4", EarlyEnd)), over(10 * time.Minute)}, rounds: 1},
		"a content that is not a content": {reports: []*statev1.ReportCalls{{Ended: []*statev1.EndedUnder{{Content: []byte("x"), Target: "t"}}, Served: [][]byte{nil}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := NewTable()
			for _, r := range c.reports {
				tb.Take(r)
			}
			if row := tb.Row(a); row.GetHeld() != c.held || row.GetRounds() != c.rounds {
				t.Fatalf("held %v after %d rounds, want %v after %d", row.GetHeld(), row.GetRounds(), c.held, c.rounds)
			}
		})
	}
}

func TestTakeTellsVerdicts(t *testing.T) {
	tb, a := NewTable(), contentNo(1)
	steps := []struct {
		report *statev1.ReportCalls
		want   string
	}{
		{ended(0, end(a, "1", EarlyEnd), end(a, "2", EarlyEnd)), ""},
		{ended(1, end(a, "3", EarlyEnd)), "held "},
		{ended(2, end(a, "4", EarlyEnd)), ""},
		{ended(11 * time.Minute), "released " + ReasonOver},
		{ended(12*time.Minute, end(a, "5", EarlyEnd)), "held "},
		{served(13*time.Minute, a), "released " + ReasonServed},
		{served(14*time.Minute, a), ""},
	}
	for i, step := range steps {
		got := ""
		for _, v := range tb.Take(step.report) {
			got += map[bool]string{true: "held ", false: "released "}[v.Held] + v.Reason
		}
		if got != step.want {
			t.Fatalf("step %d: %q, want %q", i, got, step.want)
		}
	}
}

// All boxes are told of calls that are held back or under which two targets ended,
// and of no others: a crash strikes all calls of a target once.
func TestListed(t *testing.T) {
	tb, a := NewTable(), contentNo(1)
	var before uint64
	steps := []struct {
		report  *statev1.ReportCalls
		listed  int
		changed bool
	}{
		{ended(0, end(a, "1", EarlyEnd)), 0, false},
		{ended(1, end(a, "2", EarlyEnd)), 1, true},
		{ended(2, end(a, "2", EarlyEnd)), 1, false},
		{ended(3, end(a, "3", EarlyEnd)), 1, true},
		{ended(4, end(a, "4", EarlyEnd)), 1, false},
		{served(5, a), 0, true},
	}
	for i, step := range steps {
		tb.Take(step.report)
		if got := len(tb.Listed()); got != step.listed || (tb.Revision() != before) != step.changed {
			t.Fatalf("step %d: %d listed, revision %d after %d", i, got, tb.Revision(), before)
		}
		before = tb.Revision()
	}
}

// Ends before a call ended well stay known, so that a report that is sent again counts
// nothing, but make no call listed or held back any more.
func TestEndsBeforeAGoodOne(t *testing.T) {
	tb, a := NewTable(), contentNo(1)
	steps := []struct {
		report *statev1.ReportCalls
		listed int
		weight uint32
	}{
		{ended(0, end(a, "1", EarlyEnd), end(a, "2", EarlyEnd)), 1, 2 * EarlyEnd},
		{served(1, a), 0, 0},
		{ended(2, end(a, "1", EarlyEnd), end(a, "2", EarlyEnd)), 0, 0},
		{ended(3, end(a, "3", EarlyEnd)), 0, EarlyEnd},
		{ended(4, end(a, "4", EarlyEnd)), 1, 2 * EarlyEnd},
		{served(5, a), 0, 0},
		{ended(6, end(a, "5", LateEnd), end(a, "6", LateEnd), end(a, "7", LateEnd), end(a, "8", LateEnd), end(a, "9", LateEnd)), 1, 5 * LateEnd},
		{served(7, a), 0, 0},
		{ended(8, end(a, "10", EarlyEnd)), 0, EarlyEnd},
	}
	for i, step := range steps {
		tb.Take(step.report)
		if got := len(tb.Listed()); got != step.listed || tb.Row(a).GetWeight() != step.weight {
			t.Fatalf("step %d: %d listed, weight %d, want %d and %d", i, got, tb.Row(a).GetWeight(), step.listed, step.weight)
		}
	}
	if n := len(tb.Row(a).GetTargets()); n != maxTargets {
		t.Fatalf("%d starts are known", n)
	}
}

// A crash of many targets strikes more calls once than the table holds; what is
// known of worse ones stays.
func TestTheTableIsBounded(t *testing.T) {
	tb := NewTable()
	for n := range 3 {
		tb.Take(ended(0, end(contentNo(1), fmt.Sprint(n), EarlyEnd)))
	}
	tb.Take(ended(0, end(contentNo(2), "1", EarlyEnd), end(contentNo(2), "2", EarlyEnd)))
	for n := range 2 * maxRows {
		tb.Take(ended(time.Second, end(contentNo(10+n), "x", EarlyEnd)))
	}
	if tb.Len() != maxRows || !tb.Row(contentNo(1)).GetHeld() || tb.Row(contentNo(2)).GetWeight() != 2*EarlyEnd {
		t.Fatalf("%d rows, %v, %v", tb.Len(), tb.Row(contentNo(1)), tb.Row(contentNo(2)))
	}
	tb.Take(ended(time.Hour))
	tb.Take(ended(2 * time.Hour))
	if tb.Len() != 0 {
		t.Fatalf("%d rows are left when the time of all is over", tb.Len())
	}
}

// TestRandomReports plays reports in any order on two tables, of which one is
// loaded from a snapshot now and then: they must stay equal, the rows bounded, and
// no call may stay for ever.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, copied := NewTable(), NewTable()
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.SampledFrom([]int{-3, 0, 1, 60, 600, 4000}).Draw(t, "s")) * time.Second
			r := ended(at)
			for range rapid.IntRange(0, 3).Draw(t, "ends") {
				c := contentNo(rapid.IntRange(0, 4).Draw(t, "content"))
				r.Ended = append(r.Ended, end(c, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "target")), uint32(rapid.IntRange(0, 3).Draw(t, "weight"))))
			}
			if rapid.IntRange(0, 5).Draw(t, "served") == 0 {
				c := contentNo(rapid.IntRange(0, 4).Draw(t, "served content"))
				r.Served = [][]byte{c[:]}
			}
			tb.Take(r)
			copied.Take(r)
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
			t.Fatalf("%d contents are due, %d rows are known", len(tb.due), len(tb.rows))
		}
		tb.Take(ended(at + 30*time.Hour))
		tb.Take(ended(at + 60*time.Hour))
		if tb.Len() != 0 {
			t.Fatalf("%d rows never end", tb.Len())
		}
	})
}
