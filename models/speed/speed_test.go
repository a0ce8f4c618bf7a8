// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

func sample(id string, each time.Duration) *betweenv1.SpeedSample {
	return &betweenv1.SpeedSample{Target: id, PromptTokens: 1000, PromptTime: uint64(1000 * each.Microseconds())}
}

// Sums go out largest first, MaxPerMessage at a time, and again unchanged until acknowledged.
func TestCollectorRepeatsWhatIsNotAcknowledged(t *testing.T) {
	c := &Collector{}
	for i := range 100 {
		c.AddPrompt(Instance{Target: fmt.Sprint("t", i)}, 1000, time.Duration(1+i)*time.Millisecond, 0)
	}
	first := c.Take(0)
	if len(first) != MaxPerMessage || first[0].GetTarget() != "t99" || first[MaxPerMessage-1].GetTarget() != "t36" {
		t.Fatalf("first report has %d samples, from %s to %s", len(first), first[0].GetTarget(), first[len(first)-1].GetTarget())
	}
	c.AddPrompt(Instance{Target: "t99"}, 1000, time.Second, 0)
	again := c.Take(time.Second)
	if len(again) != MaxPerMessage || again[0].GetPromptTime() != 100000 {
		t.Fatalf("a repeated report has changed: %d samples, %v", len(again), again[0])
	}
	c.Acknowledge()
	rest := c.Take(2 * time.Second)
	if len(rest) != 100-MaxPerMessage+1 || rest[0].GetTarget() != "t99" || rest[0].GetPromptTime() != 1000000 {
		t.Fatalf("the rest has %d samples, the first is %v", len(rest), rest[0])
	}
	c.Acknowledge()
	if left := c.Take(3 * time.Second); len(left) != 0 {
		t.Fatalf("%d samples are left", len(left))
	}
}

// Guards against lease holders, which report every 300 ms, that spend most of the bytes a box may use on
// samples: new ones go out once in takeInterval at most, and none is lost or sent twice.
func TestCollectorTakesOncePerInterval(t *testing.T) {
	c := &Collector{}
	const reportInterval = 300 * time.Millisecond
	var tokens, added uint64
	last := time.Duration(-1)
	for now := time.Duration(0); now < 30*time.Second; now += reportInterval {
		for i := range 10 {
			c.AddPrompt(Instance{Target: fmt.Sprint("t", i)}, 1000, time.Second, now)
			added += 1000
		}
		list := c.Take(now)
		c.Acknowledge()
		if len(list) == 0 {
			continue
		}
		if last >= 0 && (now-last < takeInterval || now-last >= takeInterval+reportInterval) {
			t.Fatalf("new samples at %s, the ones before at %s", now, last)
		}
		last = now
		for _, m := range list {
			tokens += m.GetPromptTokens()
		}
	}
	for _, m := range c.Take(31 * time.Second) {
		tokens += m.GetPromptTokens()
	}
	if tokens != added {
		t.Fatalf("samples of %d prompt tokens were taken, want %d", tokens, added)
	}
}

// Guards against samples that are lost as a report without them has the number of one with them.
func TestCollectorRepeatsWithinTheInterval(t *testing.T) {
	c := &Collector{}
	c.AddPrompt(Instance{Target: "t"}, 1000, time.Second, 0)
	for now := time.Duration(0); now < takeInterval; now += takeInterval / 4 {
		if list := c.Take(now); len(list) != 1 {
			t.Fatalf("%d samples in the report at %s without an answer to the ones before", len(list), now)
		}
	}
}

func TestCollectorIgnoresUnusableCalls(t *testing.T) {
	c, i := &Collector{}, Instance{Target: "t"}
	c.AddPrompt(i, minPromptTokens-1, time.Second, 0)
	c.AddPrompt(i, 1000, -time.Second, 0)
	c.AddStream(i, minEvents-1, 2, time.Second, 0)
	c.AddStream(i, 10, 0, time.Second, 0)
	c.AddStream(i, 10, 9, 0, 0)
	c.AddAnswer(i, 0, 0)
	if list := c.Take(0); len(list) != 0 {
		t.Fatalf("samples %v of unusable calls", list)
	}
}

// Guards against old sums that would set the speeds of now after control was gone for long.
func TestCollectorDropsOldSums(t *testing.T) {
	c := &Collector{}
	c.AddPrompt(Instance{Target: "reported"}, 1000, time.Second, 0)
	c.Take(0)
	c.AddPrompt(Instance{Target: "waiting"}, 1000, time.Second, 0)
	c.AddPrompt(Instance{Target: "new"}, 1000, time.Second, maxSampleAge)
	if list := c.Take(maxSampleAge); len(list) != 1 || list[0].GetTarget() != "new" {
		t.Fatalf("samples %v after a long time, want that of the last call", list)
	}
}

// A speed is sent once it is known, again when it has changed by changeShare, and as unknown when no
// samples have come for long.
func TestAggregateSendsChanges(t *testing.T) {
	a := &Aggregate{}
	now, has := time.Duration(0), uint64(0)
	next := func() (list []*betweenv1.TargetSpeed) {
		list, has = a.ChangedAfter(has)
		return list
	}
	for range knownSamples - 1 {
		a.Put(sample("t", 40*time.Microsecond), now)
	}
	if list := next(); len(list) != 0 {
		t.Fatalf("%v was sent after too few samples", list)
	}
	a.Put(sample("t", 40*time.Microsecond), now)
	if list := next(); len(list) != 1 || list[0].GetPromptTokenTime() != 40000 || list[0].GetEventInterval() != 0 {
		t.Fatalf("%v was sent, want 40 µs a token", list)
	}
	for range 100 {
		a.Put(sample("t", 41*time.Microsecond), now)
	}
	if list := next(); len(list) != 0 {
		t.Fatalf("%v was sent for a change of less than changeShare", list)
	}
	now += dropAfter - 1
	a.Expire(now)
	if list := next(); len(list) != 0 || a.Len() != 1 {
		t.Fatalf("%v was sent before the instance is dropped", list)
	}
	now++
	a.Expire(now)
	if list := next(); len(list) != 1 || list[0].GetPromptTokenTime() != 0 || a.Len() != 0 {
		t.Fatalf("%v was sent for a dropped instance", list)
	}
}

// Guards against one box that reports wrong sums: of 20 boxes it must not move a speed by more than
// a fifth, whatever it reports.
func TestOneWrongBoxMovesNoSpeed(t *testing.T) {
	for name, wrong := range map[string]*betweenv1.SpeedSample{
		"slow":     sample("t", 400*time.Millisecond),
		"fast":     {Target: "t", PromptTokens: 1 << 50, PromptTime: 1},
		"overflow": {Target: "t", PromptTokens: 1, PromptTime: 1<<64 - 1, Events: 1, EventTime: 1<<64 - 1},
		"empty":    {Target: "t"},
	} {
		t.Run(name, func(t *testing.T) {
			a, rnd := &Aggregate{}, rand.New(rand.NewSource(1))
			for range 2000 {
				if rnd.Intn(20) == 0 {
					a.Put(wrong, 0)
				}
				a.Put(sample("t", time.Duration(40+rnd.Intn(10))*time.Microsecond), 0)
			}
			got := a.entries[Instance{Target: "t"}].prompt.duration()
			if got < 33*time.Microsecond || got > 50*time.Microsecond {
				t.Fatalf("a token takes %s by the samples, want 40 to 50 µs", got)
			}
		})
	}
}

// Every change reaches a box that asks again and again, however many there are, answers stay small, and the
// list of changes does not grow without bound.
func TestAggregateOfManyTargets(t *testing.T) {
	const targets = 500
	a := &Aggregate{}
	known := &List{}
	apply := func(now time.Duration) int {
		_, has := known.Position(now)
		resp := &betweenv1.LeaseResponse{SpeedsList: "one"}
		resp.Speeds, resp.SpeedsRevision = a.ChangedAfter(has)
		known.Apply(resp, now)
		return len(resp.GetSpeeds())
	}
	for round := range 40 {
		now := time.Duration(round) * time.Second
		for i := range targets {
			for range knownSamples {
				a.Put(sample(fmt.Sprint("t", i), time.Duration(40*(1+round%3*20))*time.Microsecond), now)
			}
		}
		a.Expire(now)
		if n := apply(now); n > MaxPerMessage {
			t.Fatalf("%d speeds in one answer", n)
		}
	}
	if n := len(a.changes); n > 4*targets+2*changesSlack+targets*knownSamples {
		t.Fatalf("the list has %d changes for %d targets", n, targets)
	}
	for apply(40*time.Second) > 0 {
	}
	for i := range targets {
		at := Instance{Target: fmt.Sprint("t", i)}
		if got, want := known.Speed(at), a.entries[at].published; got != want {
			t.Fatalf("%s: the box has %v, want %v", at.Target, got, want)
		}
	}
	a.Expire(time.Hour)
	if a.Len() != 0 {
		t.Fatalf("%d instances are left after an hour without samples", a.Len())
	}
}

// Guards against boxes that never catch up with the changes: they would have other speeds, and so other
// weights, than boxes that report more often. The load is the largest fleet, where each target answers 8
// calls a second after queues of random length, and a box that gets one answer a second.
func TestBoxesKeepUpWithChanges(t *testing.T) {
	const (
		targets   = 2900
		perSecond = 8
		warmUp    = 90
		end       = 120
	)
	rnd, a, known := rand.New(rand.NewSource(1)), &Aggregate{}, &List{}
	ids := make([]string, targets)
	for i := range ids {
		ids[i] = fmt.Sprint("t", i)
	}
	for second := range end {
		now := time.Duration(second) * time.Second
		for _, id := range ids {
			for range perSecond {
				queue := 1 + rnd.ExpFloat64()
				a.Put(&betweenv1.SpeedSample{Target: id, PromptTokens: 1000, PromptTime: uint64(30000 * queue), Events: 10, EventTime: uint64(10000 * queue)}, now)
			}
		}
		a.Expire(now)
		_, has := known.Position(now)
		resp := &betweenv1.LeaseResponse{SpeedsList: "one"}
		resp.Speeds, resp.SpeedsRevision = a.ChangedAfter(has)
		known.Apply(resp, now)
		outdated := 0
		for i, e := range a.entries {
			if known.Speed(i).PromptTokenTime != e.published.PromptTokenTime {
				outdated++
			}
		}
		if second >= warmUp && outdated > targets/50 {
			t.Fatalf("%d of %d speeds are outdated after %d s", outdated, targets, second)
		}
	}
}

func TestListOfAnotherLeader(t *testing.T) {
	l := &List{}
	at := func(id string) Instance { return Instance{Target: id, Born: 5} }
	answer := func(list string, revision uint64, speeds ...*betweenv1.TargetSpeed) *betweenv1.LeaseResponse {
		return &betweenv1.LeaseResponse{SpeedsList: list, SpeedsRevision: revision, Speeds: speeds}
	}
	of := func(id string, nanoseconds uint64) *betweenv1.TargetSpeed {
		return &betweenv1.TargetSpeed{Target: id, Born: 5, PromptTokenTime: nanoseconds}
	}
	check := func(when, id string, want time.Duration) {
		t.Helper()
		if got := l.Speed(at(id)).PromptTokenTime; got != want {
			t.Fatalf("%s: a token takes %s at %s, want %s", when, got, id, want)
		}
	}
	if l.Apply(&betweenv1.LeaseResponse{}, 0) || l.IsFresh(0) {
		t.Fatal("an answer without a list counts")
	}
	l.Apply(answer("one", 7, of("a", 10), of("b", 20)), 0)
	check("first list", "a", 10)
	l.Apply(answer("two", 0), time.Second)
	if name, revision := l.Position(time.Second); name != "two" || revision != 0 {
		t.Fatalf("the box has list %s up to %d, want the start of the new one", name, revision)
	}
	check("new list without speeds", "a", 10)
	l.Apply(answer("two", 3, of("a", 11), of("b", 0)), 2*time.Second)
	check("new speed", "a", 11)
	check("unknown in the new list", "b", 0)
	l.Apply(answer("three", 1), 3*time.Second)
	check("third list", "a", 11)
	l.Apply(answer("three", 1), 10*time.Second)
	if !l.Apply(answer("three", 1), 3*time.Second+MaxAge) {
		t.Fatal("the end of the former list's speeds is not told")
	}
	check("long after the change of lists", "a", 0)
}

// Guards against speeds that a box took for current after it had missed that they were dropped.
func TestListStartsAnewAfterALongCut(t *testing.T) {
	l := &List{}
	l.Apply(&betweenv1.LeaseResponse{SpeedsList: "one", SpeedsRevision: 9, Speeds: []*betweenv1.TargetSpeed{{Target: "a", PromptTokenTime: 10}}}, 0)
	if name, revision := l.Position(MaxAge - 1); name != "one" || revision != 9 {
		t.Fatalf("the box has list %s up to %d within the age", name, revision)
	}
	late := *l
	if !late.Apply(&betweenv1.LeaseResponse{SpeedsList: "one", SpeedsRevision: 9}, MaxAge+1) || !late.Speed(Instance{Target: "a"}).IsKnown() {
		t.Fatal("a late answer to a report with revision 9 has lost the speeds up to it")
	}
	if name, revision := l.Position(MaxAge); name != "" || revision != 0 || l.IsFresh(MaxAge) {
		t.Fatalf("the box has list %s up to %d after the age", name, revision)
	}
	if !l.Apply(&betweenv1.LeaseResponse{SpeedsList: "one", SpeedsRevision: 9}, MaxAge) || l.Speed(Instance{Target: "a"}).IsKnown() {
		t.Fatal("a speed from before the cut counts")
	}
}

func rowsOf(prompt ...time.Duration) []Row {
	rows := make([]Row, len(prompt))
	for i, d := range prompt {
		rows[i] = Row{Speed: Speed{PromptTokenTime: d, EventInterval: d}, Weight: 1}
	}
	return rows
}

func TestWeigh(t *testing.T) {
	tests := map[string]struct {
		rows []Row
		want []float64
	}{
		"none":                        {},
		"one":                         {rows: rowsOf(50), want: []float64{1}},
		"unknown":                     {rows: rowsOf(0, 0, 0), want: []float64{1, 1, 1}},
		"within a quarter":            {rows: rowsOf(81, 90, 100, 110, 124), want: []float64{1, 1, 1, 1, 1}},
		"three speeds":                {rows: rowsOf(63, 63, 100, 100, 167, 167), want: []float64{2, 2, 1, 1, 0.5, 0.5}},
		"unknown among three speeds":  {rows: rowsOf(63, 63, 100, 100, 167, 167, 0), want: []float64{2, 2, 1, 1, 0.5, 0.5, 1}},
		"bounds":                      {rows: rowsOf(1, 100, 100, 100, 100000), want: []float64{2.38, 1, 1, 1, 0.25}},
		"one slow of many":            {rows: rowsOf(100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 1000), want: []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 0.25}},
		"one a third slower of many":  {rows: rowsOf(100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 133), want: []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
		"events only, plain services": {rows: []Row{{Speed: Speed{EventInterval: 10}, Weight: 1}, {Speed: Speed{EventInterval: 20}, Weight: 1}, {Speed: Speed{EventInterval: 40}, Weight: 1}}, want: []float64{2.38, 1, 0.35}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			Weigh(test.rows)
			for i, r := range test.rows {
				if fmt.Sprintf("%.2f", r.Weight) != fmt.Sprintf("%.2f", test.want[i]) {
					t.Errorf("target %d has weight %.2f, want %.2f", i, r.Weight, test.want[i])
				}
			}
		})
	}
}

// Guards against prefixes that move with each sample: samples with noise of a tenth change no weight, as
// control does not publish the speeds anew.
func TestWeightsDoNotFollowNoise(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	a := &Aggregate{}
	base := []int{60, 60, 60, 100, 100, 100, 160, 160, 160}
	rows := rowsOf(make([]time.Duration, len(base))...)
	weigh := func() string {
		for i, d := range base {
			id := fmt.Sprint("t", i)
			a.Put(&betweenv1.SpeedSample{Target: id, PromptTokens: 1000, PromptTime: uint64(1000 * float64(d) * (0.95 + 0.1*rnd.Float64()))}, 0)
			rows[i].Speed = a.entries[Instance{Target: id}].published
		}
		Weigh(rows)
		return fmt.Sprint(weightsOf(rows))
	}
	for range knownSamples {
		weigh()
	}
	before := weigh()
	if rows[0].Weight <= 1 || rows[8].Weight >= 1 {
		t.Fatalf("weights %s of targets of uneven speed", before)
	}
	for range 1000 {
		if after := weigh(); after != before {
			t.Fatalf("weights %s became %s", before, after)
		}
	}
}

// Guards against boxes with the same list of speeds and different weights, one of which has started
// later: they would place the same prefix at different targets for good.
func TestWeightsDoNotDependOnHistory(t *testing.T) {
	rows := func(slow float64) []Row {
		list := rowsOf(make([]time.Duration, 60)...)
		for i := range list {
			f := []float64{1 / 1.3, 1, slow}[i%3]
			list[i].Speed = Speed{PromptTokenTime: time.Duration(1e6 * f), EventInterval: time.Duration(1e7 * f)}
		}
		return list
	}
	// The deciles differ by a factor of 2.2, and then of 1.3 to 2.2: on both sides of unevenRatio.
	old := rows(1.7)
	Weigh(old)
	for percent := 100; percent <= 170; percent++ {
		fresh := rows(float64(percent) / 100)
		for i := range old {
			old[i].Speed = fresh[i].Speed
		}
		for range 100 {
			Weigh(old)
			Weigh(fresh)
		}
		for i := range old {
			if old[i].Weight != fresh[i].Weight {
				t.Fatalf("slow targets at %d%%: target %d has weight %v at the box that ran throughout, %v at the other", percent, i, old[i].Weight, fresh[i].Weight)
			}
		}
	}
}

func weightsOf(rows []Row) (list []float64) {
	for _, r := range rows {
		list = append(list, r.Weight)
	}
	return list
}
