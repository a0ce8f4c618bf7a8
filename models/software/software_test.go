// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package software

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Guards against targets that count as of one software because neither knows its version.
func TestSoftwareOfTargets(t *testing.T) {
	row := func(id, version string, born int64) *statev1.RegisteredTarget {
		return &statev1.RegisteredTarget{Id: id, Version: version, Born: born}
	}
	cases := map[string]struct {
		a, b *statev1.RegisteredTarget
		same bool
	}{
		"one version":                           {a: row("a", "v1", 1), b: row("b", "v1", 2), same: true},
		"two versions":                          {a: row("a", "v1", 1), b: row("b", "v1.0", 2)},
		"two versions under one id":             {a: row("a", "v1", 1), b: row("a", "v2", 1)},
		"other case":                            {a: row("a", "v1", 1), b: row("b", "V1", 2)},
		"versions not known":                    {a: row("a", "", 1), b: row("b", "", 1)},
		"version not known, one start":          {a: row("a", "", 1), b: row("a", "", 1), same: true},
		"version not known, later start":        {a: row("a", "", 1), b: row("a", "", 2)},
		"a version that looks like a start":     {a: row("a", "", 1), b: row("b", "a@1", 1)},
		"one version and one that is not known": {a: row("a", "v1", 1), b: row("b", "", 1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if same := Of(c.a) == Of(c.b); same != c.same {
				t.Fatalf("%q and %q are the same: %v, want %v", Of(c.a), Of(c.b), same, c.same)
			}
		})
	}
}

func TestSoleSoftware(t *testing.T) {
	cases := map[string]struct {
		versions []string
		ok       bool
	}{
		"none":                  {},
		"one":                   {versions: []string{"v1", "v1"}, ok: true},
		"two":                   {versions: []string{"v1", "v1", "v2"}},
		"one that is not known": {versions: []string{""}},
		"some not known":        {versions: []string{"v1", ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			id, ok := Sole(c.versions)
			if ok != c.ok || ok && id != Of(&statev1.RegisteredTarget{Version: "v1"}) {
				t.Fatalf("got %q, %v", id, ok)
			}
		})
	}
}

// Guards against a list of ends that grows without bound, and against ends that are lost too early.
func TestEndsAreKeptForALimitedTime(t *testing.T) {
	target := func(version string) *statev1.RegisteredTarget {
		return &statev1.RegisteredTarget{Service: "s", Version: version}
	}
	e := NewEnds(nil)
	e.Record(target("v1"), 1000)
	e.Record(target("v2"), KeepTime.Milliseconds())
	e.Record(target("v1"), 500)
	want := []*statev1.SoftwareEnd{{Service: "s", Version: "v1", At: 1000}, {Service: "s", Version: "v2", At: KeepTime.Milliseconds()}}
	if diff := cmp.Diff(want, NewEnds(e.Rows()).Rows(), protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
	e.Record(target("v3"), KeepTime.Milliseconds()+1001)
	if rows := e.Rows(); len(rows) != 2 || rows[0].GetVersion() != "v2" {
		t.Fatalf("after the time to keep the first there are %v", rows)
	}
	for n := range 2 * maxEnds {
		e.Record(target(fmt.Sprint(n)), 2*KeepTime.Milliseconds()+int64(n))
	}
	if rows := e.Rows(); len(rows) != maxEnds {
		t.Fatalf("%d ends are kept, want %d", len(rows), maxEnds)
	}
}
