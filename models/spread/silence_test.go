// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

// newSilenceTable returns a table with n targets of a service of engines.
func newSilenceTable(n int) *Table {
	tb := newTestTable(n)
	tb.SetEngineTerms(map[string]EngineTerms{"s": {}})
	return tb
}

// fallSilent makes a target silent for the box.
func fallSilent(t *testing.T, tb *Table, target *Target) {
	t.Helper()
	target.RunningCalls++
	terms, now := DefaultSilenceTerms(), time.Duration(0)
	tb.Watch(target, now)
	for asked := false; !asked; now += terms.LookInterval() {
		asked, _ = tb.Look(target, terms, true, now)
	}
	target.RecordNoAnswer(time.Second, now)
	if !target.IsSilent() {
		t.Fatalf("target %s is not silent", target.ID)
	}
}

// Guards against sound targets that count as silent, and against queries to targets that are heard.
func TestWhenTargetsAreSilent(t *testing.T) {
	const ms = time.Millisecond
	terms := SilenceTerms{Quiet: 300 * ms, Interval: 1500 * ms}
	look := func(want bool) func(*testing.T, *Table, *Target, time.Duration) {
		return func(t *testing.T, tb *Table, x *Target, now time.Duration) {
			t.Helper()
			if ask, _ := tb.Look(x, terms, true, now); ask != want {
				t.Errorf("asked at %s: %v, want %v", now, ask, want)
			}
		}
	}
	hear := func(_ *testing.T, _ *Table, x *Target, _ time.Duration) { x.Hear() }
	late := func(_ *testing.T, _ *Table, x *Target, now time.Duration) { x.RecordNoAnswer(500*ms, now) }
	answered := func(_ *testing.T, _ *Table, x *Target, _ time.Duration) { x.Hear(); x.EndQuery(true) }
	failed := func(_ *testing.T, _ *Table, x *Target, _ time.Duration) { x.EndQuery(true) }
	ended := func(_ *testing.T, _ *Table, x *Target, _ time.Duration) { x.EndQuery(false) }
	congested := func(t *testing.T, tb *Table, x *Target, now time.Duration) {
		t.Helper()
		if ask, _ := tb.Look(x, terms, false, now); ask {
			t.Errorf("asked at %s by a congested box", now)
		}
	}
	limited := func(_ *testing.T, tb *Table, x *Target, now time.Duration) {
		tb.RecordStatement(x, rate.Statement{Limit: 5, Sent: now, Received: now})
	}
	type step struct {
		at time.Duration
		do func(*testing.T, *Table, *Target, time.Duration)
	}
	cases := map[string]struct {
		steps  []step
		silent bool
	}{
		"no answer":                       {steps: []step{{150 * ms, look(false)}, {300 * ms, look(true)}, {800 * ms, late}}, silent: true},
		"heard before it is quiet":        {steps: []step{{150 * ms, look(false)}, {200 * ms, hear}, {300 * ms, look(false)}, {450 * ms, look(false)}}},
		"it answers":                      {steps: []step{{150 * ms, look(false)}, {300 * ms, look(true)}, {310 * ms, answered}, {450 * ms, look(false)}}},
		"it answers, and again":           {steps: []step{{300 * ms, look(true)}, {310 * ms, answered}, {600 * ms, look(false)}, {900 * ms, look(false)}, {1200 * ms, look(false)}, {1500 * ms, look(false)}, {1800 * ms, look(true)}, {1810 * ms, answered}}},
		"the connection fails":            {steps: []step{{300 * ms, look(true)}, {310 * ms, failed}}},
		"heard during the query":          {steps: []step{{300 * ms, look(true)}, {400 * ms, hear}, {800 * ms, late}}},
		"heard and looked at meanwhile":   {steps: []step{{300 * ms, look(true)}, {400 * ms, hear}, {450 * ms, look(false)}, {800 * ms, late}}},
		"a byte after it was silent":      {steps: []step{{300 * ms, look(true)}, {800 * ms, late}, {900 * ms, hear}}},
		"it answers late":                 {steps: []step{{300 * ms, look(true)}, {800 * ms, late}, {1300 * ms, answered}}},
		"still silent, asked again":       {steps: []step{{300 * ms, look(true)}, {450 * ms, look(false)}, {800 * ms, late}, {900 * ms, look(false)}, {1200 * ms, look(false)}, {1500 * ms, ended}, {1500 * ms, look(false)}, {1650 * ms, look(false)}, {1800 * ms, look(true)}}, silent: true},
		"the box did not run":             {steps: []step{{150 * ms, look(false)}, {2000 * ms, look(false)}}},
		"the box did not run meanwhile":   {steps: []step{{300 * ms, look(true)}, {2000 * ms, late}}},
		"the box is congested":            {steps: []step{{300 * ms, congested}, {450 * ms, look(false)}}},
		"the box has become congested":    {steps: []step{{300 * ms, look(true)}, {800 * ms, late}, {900 * ms, congested}}},
		"it has a limit":                  {steps: []step{{0, limited}, {300 * ms, look(false)}, {450 * ms, look(false)}}},
		"it has stated a limit meanwhile": {steps: []step{{300 * ms, look(true)}, {800 * ms, late}, {810 * ms, limited}, {900 * ms, look(false)}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newSilenceTable(2)
			x := tb.ByID("t0")
			x.RunningCalls = 1
			if !tb.Watch(x, 0) || tb.Watch(x, 0) {
				t.Error("a target is to be watched once")
			}
			for _, s := range c.steps {
				s.do(t, tb, x, s.at)
			}
			if x.IsSilent() != c.silent {
				t.Errorf("silent: %v, want %v", x.IsSilent(), c.silent)
			}
		})
	}
}

// Guards against looks at targets that have no calls of the box, and against silent ones that are never asked again.
func TestWhichTargetsAreWatched(t *testing.T) {
	terms := DefaultSilenceTerms()
	cases := map[string]struct {
		running      int
		silent, gone bool
		want         bool
	}{
		"a call runs there":       {running: 1, want: true},
		"no call":                 {},
		"silent, no call":         {silent: true, want: true},
		"silent and gone":         {silent: true, gone: true},
		"gone, but its calls run": {running: 1, gone: true, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newSilenceTable(2)
			x := tb.ByID("t0")
			now := terms.LookInterval()
			tb.Watch(x, 0)
			if c.silent {
				fallSilent(t, tb, x)
				x.EndQuery(false)
				now = x.silence.lookedAt
			}
			x.RunningCalls = c.running
			if c.gone {
				tb.RetainOnly(map[string]bool{"t1": true})
			}
			if _, watched := tb.Look(x, terms, true, now); watched != c.want {
				t.Errorf("watched: %v, want %v", watched, c.want)
			}
		})
	}
}

// Guards against further attempts that are sent to targets known to be silent.
func TestFurtherAttemptsAvoidSilentTargets(t *testing.T) {
	all := map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
	cases := map[string]struct {
		silent []string
		// exclude has the targets that have had the call.
		exclude map[string]bool
		want    map[string]bool
	}{
		"a new call":                   {silent: []string{"t0"}, want: all},
		"one is silent":                {silent: []string{"t0"}, exclude: map[string]bool{"t1": true}, want: map[string]bool{"t2": true, "t3": true}},
		"all but one":                  {silent: []string{"t0", "t2"}, exclude: map[string]bool{"t1": true}, want: map[string]bool{"t3": true}},
		"all":                          {silent: []string{"t0", "t1", "t2", "t3"}, want: all},
		"all that have not had a call": {silent: []string{"t0", "t2", "t3"}, exclude: map[string]bool{"t1": true}, want: map[string]bool{"t0": true, "t2": true, "t3": true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newSilenceTable(4)
			for _, id := range c.silent {
				fallSilent(t, tb, tb.ByID(id))
				tb.ByID(id).RunningCalls = 0
			}
			chosen := map[string]bool{}
			for affinity := range uint64(50) {
				chosen[tb.Choose(Criteria{Service: "s", Affinity: 1 + affinity, Exclude: c.exclude}, time.Second).Target.ID] = true
			}
			if len(chosen) != len(c.want) {
				t.Errorf("chose %v, want %v", chosen, c.want)
			}
			for id := range c.want {
				if !chosen[id] {
					t.Errorf("never chose %s", id)
				}
			}
			if len(c.silent) == 4 && tb.HasOther(tb.ByID("t0"), nil, "") {
				t.Error("a silent target counts as one where a stream may go on")
			}
		})
	}
}
