// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// newCheckTable returns a table of a box in data centre "here" with targets a and b there, and c
// and d elsewhere.
func newCheckTable() *Table {
	tb := NewTable("here")
	for id, centre := range map[string]string{"a": "here", "b": "here", "c": "there", "d": "there"} {
		tb.Put(&statev1.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", DataCentre: centre, State: statev1.RegisteredTarget_STATE_READY}, 0)
	}
	return tb
}

func idsOf(targets []*Target) []string {
	var ids []string
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	slices.Sort(ids)
	return ids
}

// startOf returns the identity of a target's start, empty if there is no such target.
func startOf(tb *Table, id string) string {
	if t := tb.ByID(id); t != nil {
		return t.StartIdentity()
	}
	return ""
}

func TestTargetsToCheck(t *testing.T) {
	tests := map[string]struct {
		before func(tb *Table)
		except string
		// reached is the target that was reached last.
		reached string
		n       int
		want    []string
		usable  int
	}{
		"own data centre first":            {n: 2, want: []string{"a", "b"}, usable: 4},
		"all":                              {n: 9, want: []string{"a", "b", "c", "d"}, usable: 4},
		"banned ones too":                  {n: 2, want: []string{"a", "b"}, usable: 4, before: func(tb *Table) { tb.BanUnreachable(tb.ByID("a"), 0) }},
		"not the excepted one":             {n: 9, except: "b", want: []string{"a", "c", "d"}, usable: 4},
		"not draining ones":                {n: 9, want: []string{"b", "c", "d"}, usable: 3, before: func(tb *Table) { tb.ByID("a").Draining = true }},
		"not replaced ones":                {n: 9, want: []string{"b", "c", "d"}, usable: 3, before: func(tb *Table) { tb.BanReplaced(tb.ByID("a")) }},
		"the one reached last too":         {n: 2, reached: "d", want: []string{"a", "b", "d"}, usable: 4},
		"the one reached last, once":       {n: 9, reached: "a", want: []string{"a", "b", "c", "d"}, usable: 4},
		"reached last, but excepted":       {n: 3, reached: "b", except: "b", want: []string{"a", "c", "d"}, usable: 4},
		"reached last, but it is draining": {n: 3, reached: "a", want: []string{"b", "c", "d"}, usable: 3, before: func(tb *Table) { tb.ByID("a").Draining = true }},
		"not evacuated ones": {n: 9, want: []string{"a", "b"}, usable: 2, before: func(tb *Table) {
			tb.SetEvacuations([]*statev1.Evacuation{{DataCentre: "there", Active: true, Revision: 1}}, 0)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newCheckTable()
			if test.before != nil {
				test.before(tb)
			}
			if diff := cmp.Diff(test.want, idsOf(tb.ToCheck("s", tb.ByID(test.except), startOf(tb, test.reached), 0, test.n))); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.usable, tb.CountUsable("s")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against checks that dial the same targets again and again while others can be reached.
func TestRepeatedChecksIncludeAllTargets(t *testing.T) {
	tb := newCheckTable()
	var checked []*Target
	for from := 0; from < 4; from += 3 {
		checked = append(checked, tb.ToCheck("s", nil, "", from, 3)...)
	}
	if diff := cmp.Diff([]string{"a", "b", "c", "d"}, slices.Compact(idsOf(checked))); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against targets that stay banned, or count as cold, for the loss of the box's own links.
func TestEndUnreachable(t *testing.T) {
	tb := newCheckTable()
	tb.SetColdTerms(map[string]ColdTerms{"s": {Rate: 1, Start: time.Minute}})
	a := tb.ByID("a")
	tb.BanUnreachable(a, 0)
	tb.EndUnreachable("s")
	if a.IsUnreachable() || a.bannedUntil != 0 || a.IsCold(time.Millisecond) {
		t.Fatalf("unreachable %v, banned until %s, cold %v", a.IsUnreachable(), a.bannedUntil, a.IsCold(time.Millisecond))
	}
}
