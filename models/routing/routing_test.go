// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func validTable() *statev1.RoutingTable {
	return &statev1.RoutingTable{
		Version:  3,
		Services: []*statev1.Service{{Name: "s1"}, {Name: "s2"}},
		Routes: []*statev1.Route{
			{Name: "a", Host: "H.example", PathPrefix: "/a/", Kind: statev1.Route_KIND_SAFE, Timeout: 1000, Splits: []*statev1.Split{{Service: "s1", Weight: 1}}},
			{Name: "ab", Host: "h.example", PathPrefix: "/a/b/", Kind: statev1.Route_KIND_STREAM, Timeout: 1000, Splits: []*statev1.Split{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}},
		},
		Payers: []*statev1.Payer{{Organisation: "o1", Keys: []string{"k1", "k2"}}, {Organisation: "o2", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		modify func(t *statev1.RoutingTable)
		field  string
	}{
		"valid":              {modify: func(*statev1.RoutingTable) {}},
		"no version":         {modify: func(t *statev1.RoutingTable) { t.Version = 0 }, field: "version"},
		"unknown service":    {modify: func(t *statev1.RoutingTable) { t.Routes[0].Splits[0].Service = "none" }, field: "routes[0].service"},
		"same host and path": {modify: func(t *statev1.RoutingTable) { t.Routes[1].PathPrefix = "/a/" }, field: "routes[1]"},
		"no weight":          {modify: func(t *statev1.RoutingTable) { t.Routes[0].Splits[0].Weight = 0 }, field: "routes[0].weight"},
		"no split":           {modify: func(t *statev1.RoutingTable) { t.Routes[0].Splits = nil }, field: "routes[0].weight"},
		"no timeout":         {modify: func(t *statev1.RoutingTable) { t.Routes[1].Timeout = 0 }, field: "routes[1].timeout"},
		"no kind":            {modify: func(t *statev1.RoutingTable) { t.Routes[1].Kind = 0 }, field: "routes[1].kind"},
		"no trailing slash":  {modify: func(t *statev1.RoutingTable) { t.Routes[1].PathPrefix = "/a/b" }, field: "routes[1].path_prefix"},
		"shared key":         {modify: func(t *statev1.RoutingTable) { t.Payers[1].Keys = []string{"k1"} }, field: "organisations[1].keys"},
		"organisation twice": {modify: func(t *statev1.RoutingTable) { t.Payers[1].Organisation = "o1" }, field: "organisations[1].name"},
		"service twice":      {modify: func(t *statev1.RoutingTable) { t.Services[1].Name = "s1" }, field: "services[1].name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := proto.CloneOf(validTable())
			c.modify(table)
			err := Validate(table)
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			invalid, ok := errors.Cause(err).(ErrInvalid)
			if !ok || !IsErrInvalid(err) || invalid.Field != c.field || invalid.Remedy == "" {
				t.Fatalf("got %v, want field %s", err, c.field)
			}
		})
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(validTable())
	cases := map[string]struct{ host, path, route string }{
		"longest prefix":    {host: "h.example", path: "/a/b/c", route: "ab"},
		"shorter prefix":    {host: "h.example", path: "/a/bc", route: "a"},
		"host in capitals":  {host: "H.EXAMPLE", path: "/a/x", route: "a"},
		"host with port":    {host: "h.example:80", path: "/a/x", route: "a"},
		"prefix only":       {host: "h.example", path: "/a/", route: "a"},
		"no trailing slash": {host: "h.example", path: "/a"},
		"another host":      {host: "x.example", path: "/a/b/"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := x.Route(c.host, c.path).GetName(); got != c.route {
				t.Fatalf("route %q, want %q", got, c.route)
			}
		})
	}
	if x.Payer("k2").GetOrganisation() != "o1" || x.Payer("none") != nil || !x.RequiresKeys() {
		t.Fatal("index does not find the payers of keys as in the table")
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := validTable().GetRoutes()[1]
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[PickService(r, float64(i)/draws)]++
	}
	if counts["s1"] != 900 || counts["s2"] != 100 {
		t.Fatalf("services were picked %v times, want 900 and 100", counts)
	}
	r.Splits[1].Weight = 0
	if got := PickService(r, 0.999999); got != "s1" {
		t.Fatalf("picked %s, which has no weight", got)
	}
}

func TestRepeatable(t *testing.T) {
	cases := map[string]struct {
		route *statev1.Route
		want  bool
	}{
		"safe":             {route: &statev1.Route{Kind: statev1.Route_KIND_SAFE}, want: true},
		"unsafe":           {route: &statev1.Route{Kind: statev1.Route_KIND_UNSAFE}},
		"stream":           {route: &statev1.Route{Kind: statev1.Route_KIND_STREAM}},
		"resumable stream": {route: &statev1.Route{Kind: statev1.Route_KIND_STREAM, Resumable: true}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := IsRepeatable(c.route); got != c.want {
				t.Fatal(got)
			}
		})
	}
}

func TestErrorsNameTheRemedy(t *testing.T) {
	err := Validate(&statev1.RoutingTable{})
	if !strings.Contains(err.Error(), "above zero") {
		t.Fatal(err)
	}
}
