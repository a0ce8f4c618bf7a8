// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// randomTable draws a table from few names, so that different tables have rows in common.
func randomTable(rt *rapid.T, version uint64) *statev1.RoutingTable {
	t := &statev1.RoutingTable{Version: version, Limits: &statev1.CallerLimits{}}
	for n := range 6 {
		if rapid.Bool().Draw(rt, "route") {
			t.Routes = append(t.Routes, &statev1.Route{Name: fmt.Sprint("r", n), Host: "h", PathPrefix: fmt.Sprintf("/%d/", n), Timeout: rapid.Uint32Range(1, 3).Draw(rt, "timeout")})
		}
		if rapid.Bool().Draw(rt, "payer") {
			t.Payers = append(t.Payers, &statev1.Payer{Organisation: fmt.Sprint("o", n), Prepaid: rapid.Uint64Range(1, 3).Draw(rt, "prepaid")})
		}
		if rapid.Bool().Draw(rt, "service") {
			t.Services = append(t.Services, &statev1.Service{Name: fmt.Sprint("s", n)})
		}
	}
	return t
}

// sortedTable returns a copy with sorted rows.
func sortedTable(t *statev1.RoutingTable) *statev1.RoutingTable {
	c := proto.CloneOf(t)
	slices.SortFunc(c.Routes, func(a, b *statev1.Route) int { return strings.Compare(routeKey(a), routeKey(b)) })
	slices.SortFunc(c.Payers, func(a, b *statev1.Payer) int { return strings.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(c.Services, func(a, b *statev1.Service) int { return strings.Compare(a.Name, b.Name) })
	return c
}

func TestRandomPatchesMakeTheLaterTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		current := randomTable(rt, 1)
		for version := uint64(2); version < 6; version++ {
			next := randomTable(rt, version)
			patched, err := Patch(current, Diff(current, next))
			if err != nil {
				rt.Fatal(err)
			}
			if diff := cmp.Diff(sortedTable(next), sortedTable(patched), protocmp.Transform()); diff != "" {
				rt.Fatal(diff)
			}
			current = patched
		}
	})
}

func TestDiffContainsOnlyChanges(t *testing.T) {
	from := &statev1.RoutingTable{Version: 1, Routes: []*statev1.Route{{Name: "a", PathPrefix: "/a/"}, {Name: "b", PathPrefix: "/b/"}, {Name: "c", PathPrefix: "/c/"}}}
	to := &statev1.RoutingTable{Version: 2, Routes: []*statev1.Route{{Name: "a", PathPrefix: "/a/"}, {Name: "b", PathPrefix: "/b/", Timeout: 5}}}
	d := Diff(from, to)
	if len(d.GetChanged().GetRoutes()) != 1 || d.GetChanged().GetRoutes()[0].GetName() != "b" || len(d.GetGoneRoutes()) != 1 {
		t.Fatalf("got delta %v, want one changed and one removed route", d)
	}
}

func TestPatchRejectsOtherBaseVersion(t *testing.T) {
	if _, err := Patch(&statev1.RoutingTable{Version: 4}, &statev1.RoutingDelta{Base: 3}); !IsErrBaseMismatch(err) {
		t.Fatalf("got error %v, want ErrBaseMismatch", err)
	}
}
