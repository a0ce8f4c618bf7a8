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
	if rows := e.Rows(); len(rows) != endsPerService {
		t.Fatalf("%d ends of a service are kept, want %d", len(rows), endsPerService)
	}
	const first = 3 * KeepTime
	for n := range 2 * maxEnds {
		e.Record(&statev1.RegisteredTarget{Service: fmt.Sprint("s", n), Version: "v"}, first.Milliseconds()+int64(n))
	}
	rows := e.Rows()
	if len(rows) != maxEnds {
		t.Fatalf("%d ends are kept, want %d", len(rows), maxEnds)
	}
	forgotten := &statev1.SoftwareEnd{Service: AnyService, At: first.Milliseconds() + maxEnds}
	if diff := cmp.Diff(forgotten, rows[0], protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against an end that is forgotten for those of other versions or services: a stream would be
// taken for one of the only software in use. The last two versions of a service tell that it has run
// another one than any that it runs now.
func TestEndsOfManyVersions(t *testing.T) {
	const others = 4000
	e := NewEnds(nil)
	e.Record(&statev1.RegisteredTarget{Service: "s", Version: "old"}, 0)
	e.Record(&statev1.RegisteredTarget{Service: "s", Version: "mine"}, 1)
	for n := range others {
		e.Record(&statev1.RegisteredTarget{Service: "other", Version: fmt.Sprint("v", n)}, int64(n))
	}
	e.Record(&statev1.RegisteredTarget{Service: "s", Version: "mine"}, others)
	want := []*statev1.SoftwareEnd{
		{Service: "other", Version: fmt.Sprint("v", others-2), At: others - 2}, {Service: "other", Version: fmt.Sprint("v", others-1), At: others - 1},
		{Service: "s", Version: "mine", At: others}, {Service: "s", Version: "old"},
	}
	if diff := cmp.Diff(want, e.Rows(), protocmp.Transform()); diff != "" {
		t.Fatal(diff)
	}
}
