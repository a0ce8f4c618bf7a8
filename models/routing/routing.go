// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing validates routing tables, and finds the route, the payer and the service
// of calls that are forwarded unchanged. It also computes and applies the differences
// between versions of a table.
package routing

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// ErrInvalid describes an invalid field of a routing table, and how to correct it.
type ErrInvalid struct {
	Field  string
	Remedy string
}

func (e ErrInvalid) Error() string { return e.Field + ": " + e.Remedy }

// IsErrInvalid reports whether the cause of an error is an ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Cause(err).(ErrInvalid)
	return ok
}

func invalid(field, remedy string, args ...any) error {
	return errors.WithStack(ErrInvalid{Field: field, Remedy: fmt.Sprintf(remedy, args...)})
}

// Validate validates a routing table. It returns an ErrInvalid for the first invalid field.
func Validate(t *statev1.RoutingTable) error {
	if t.GetVersion() == 0 {
		return invalid("version", "must be a whole number above zero")
	}
	services := map[string]bool{}
	for i, s := range t.GetServices() {
		if s.GetName() == "" || services[s.GetName()] {
			return invalid(fmt.Sprintf("services[%d].name", i), "%q is empty or used twice: give each service a name of its own", s.GetName())
		}
		services[s.GetName()] = true
	}
	if err := checkRoutes(t, services); err != nil {
		return err
	}
	return checkPayers(t)
}

func checkRoutes(t *statev1.RoutingTable, services map[string]bool) error {
	names := map[string]string{}
	for i, r := range t.GetRoutes() {
		field := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.GetPathPrefix(), "/") || !strings.HasSuffix(r.GetPathPrefix(), "/") {
			return invalid(field+".path_prefix", "%q must begin and end with a slash", r.GetPathPrefix())
		}
		if r.GetKind() == statev1.Route_KIND_UNSPECIFIED {
			return invalid(field+".kind", "must be safe, unsafe or stream")
		}
		if r.GetTimeout() == 0 {
			return invalid(field+".timeout", "must be above zero")
		}
		key := strings.ToLower(r.GetHost()) + r.GetPathPrefix()
		if other, taken := names[key]; taken {
			return invalid(field, "routes %s and %s share a host and a path prefix: remove one", other, r.GetName())
		}
		names[key] = r.GetName()
		if err := checkSplits(field, r, services); err != nil {
			return err
		}
	}
	return nil
}

func checkSplits(field string, r *statev1.Route, services map[string]bool) error {
	sum := uint64(0)
	for _, s := range r.GetSplits() {
		if !services[s.GetService()] {
			return invalid(field+".service", "service %q is not in the table: add it or name another", s.GetService())
		}
		sum += uint64(s.GetWeight())
	}
	if sum == 0 {
		return invalid(field+".weight", "the weights add up to zero: give one service a weight")
	}
	return nil
}

func checkPayers(t *statev1.RoutingTable) error {
	owners := map[string]string{}
	names := map[string]bool{}
	for i, p := range t.GetPayers() {
		field := fmt.Sprintf("organisations[%d]", i)
		if p.GetOrganisation() == "" || names[p.GetOrganisation()] {
			return invalid(field+".name", "%q is empty or used twice", p.GetOrganisation())
		}
		names[p.GetOrganisation()] = true
		for _, key := range p.GetKeys() {
			if other, taken := owners[key]; taken && other != p.GetOrganisation() {
				return invalid(field+".keys", "%s and %s share a key: give each keys of its own", other, p.GetOrganisation())
			}
			owners[key] = p.GetOrganisation()
		}
	}
	return nil
}

// Index finds the routes, payers and services of one table. It is immutable.
type Index struct {
	Table    *statev1.RoutingTable
	hosts    map[string][]*statev1.Route
	payers   map[string]*statev1.Payer
	services map[string]*statev1.Service
}

// NewIndex returns an index of a table, which must be valid.
func NewIndex(t *statev1.RoutingTable) *Index {
	x := &Index{
		Table:    t,
		hosts:    map[string][]*statev1.Route{},
		payers:   map[string]*statev1.Payer{},
		services: map[string]*statev1.Service{},
	}
	for _, r := range t.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].GetPathPrefix()) > len(routes[j].GetPathPrefix()) })
	}
	for _, p := range t.GetPayers() {
		for _, key := range p.GetKeys() {
			x.payers[key] = p
		}
	}
	for _, s := range t.GetServices() {
		x.services[s.GetName()] = s
	}
	return x
}

// Route returns the route of a host with the longest matching path prefix, nil if there is
// none. The case and the port of the host are ignored.
func (x *Index) Route(host, path string) *statev1.Route {
	host = strings.ToLower(host)
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.GetPathPrefix()) {
			return r
		}
	}
	return nil
}

// Payer returns the payer that a key belongs to, nil for an unknown key.
func (x *Index) Payer(key string) *statev1.Payer { return x.payers[key] }

// RequiresKeys reports whether calls need a key, which is the case once the table has payers.
func (x *Index) RequiresKeys() bool { return len(x.Table.GetPayers()) > 0 }

// Service returns the service with the given name, nil if there is none.
func (x *Index) Service(name string) *statev1.Service { return x.services[name] }

// PickService chooses the service of a call by the weights of the route. draw is a random number
// in [0, 1).
func PickService(r *statev1.Route, draw float64) string {
	sum := 0.0
	for _, s := range r.GetSplits() {
		sum += float64(s.GetWeight())
	}
	left := draw * sum
	last := ""
	for _, s := range r.GetSplits() {
		if s.GetWeight() == 0 {
			continue
		}
		last = s.GetService()
		if left < float64(s.GetWeight()) {
			break
		}
		left -= float64(s.GetWeight())
	}
	return last
}

// ServicesOf returns the services that the calls of a route may go to.
func ServicesOf(r *statev1.Route) []string {
	var list []string
	for _, s := range r.GetSplits() {
		if s.GetWeight() > 0 && !slices.Contains(list, s.GetService()) {
			list = append(list, s.GetService())
		}
	}
	return list
}

// IsRepeatable reports whether a call of the route may be executed more than once.
func IsRepeatable(r *statev1.Route) bool {
	return r.GetKind() == statev1.Route_KIND_SAFE || r.GetKind() == statev1.Route_KIND_STREAM && r.GetResumable()
}
