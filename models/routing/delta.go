// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// routeKey returns the key of a route, which is unique within a table.
func routeKey(r *statev1.Route) string { return strings.ToLower(r.GetHost()) + r.GetPathPrefix() }

func serviceName(s *statev1.Service) string { return s.GetName() }

func payerName(p *statev1.Payer) string { return p.GetOrganisation() }

// Diff returns the delta between two versions of a table. The source of the table is not
// part of it.
func Diff(from, to *statev1.RoutingTable) *statev1.RoutingDelta {
	d := &statev1.RoutingDelta{Base: from.GetVersion(), Changed: &statev1.RoutingTable{Version: to.GetVersion(), Limits: to.GetLimits()}}
	d.Changed.Routes, d.GoneRoutes = diffRows(from.GetRoutes(), to.GetRoutes(), routeKey)
	d.Changed.Services, d.GoneServices = diffRows(from.GetServices(), to.GetServices(), serviceName)
	d.Changed.Payers, d.GonePayers = diffRows(from.GetPayers(), to.GetPayers(), payerName)
	return d
}

// row is a row of a table. Rows are replaced and never modified, so that equal pointers
// mean equal rows.
type row interface {
	comparable
	proto.Message
}

func diffRows[R row](from, to []R, key func(R) string) (changed []R, gone []string) {
	remaining := make(map[string]R, len(from))
	for _, r := range from {
		remaining[key(r)] = r
	}
	for _, r := range to {
		old, exists := remaining[key(r)]
		if !exists || old != r && !proto.Equal(old, r) {
			changed = append(changed, r)
		}
		delete(remaining, key(r))
	}
	for name := range remaining {
		gone = append(gone, name)
	}
	return changed, gone
}

// Patch applies a delta to the table it was made for, and fails with ErrBaseMismatch for any
// other version. Unchanged rows are shared with the earlier table. The order of rows has
// no meaning and may change.
func Patch(from *statev1.RoutingTable, d *statev1.RoutingDelta) (*statev1.RoutingTable, error) {
	if from.GetVersion() != d.GetBase() {
		return nil, errors.WithStack(ErrBaseMismatch{Has: from.GetVersion(), Base: d.GetBase()})
	}
	return &statev1.RoutingTable{
		Version:  d.GetChanged().GetVersion(),
		Limits:   d.GetChanged().GetLimits(),
		Routes:   patchRows(from.GetRoutes(), d.GetChanged().GetRoutes(), d.GetGoneRoutes(), routeKey),
		Services: patchRows(from.GetServices(), d.GetChanged().GetServices(), d.GetGoneServices(), serviceName),
		Payers:   patchRows(from.GetPayers(), d.GetChanged().GetPayers(), d.GetGonePayers(), payerName),
	}, nil
}

func patchRows[R row](from, changed []R, gone []string, key func(R) string) []R {
	replaced := make(map[string]bool, len(changed)+len(gone))
	for _, r := range changed {
		replaced[key(r)] = true
	}
	for _, name := range gone {
		replaced[name] = true
	}
	rows := make([]R, 0, len(from)+len(changed))
	for _, r := range from {
		if !replaced[key(r)] {
			rows = append(rows, r)
		}
	}
	return append(rows, changed...)
}

// ErrBaseMismatch is returned by Patch for a delta whose base is another version than that
// of the table. Has is the version of the table, Base that of the delta.
type ErrBaseMismatch struct{ Has, Base uint64 }

func (e ErrBaseMismatch) Error() string {
	return "the changes belong to another version of the routing table: ask for the whole table"
}

// IsErrBaseMismatch reports whether the cause of an error is an ErrBaseMismatch.
func IsErrBaseMismatch(err error) bool {
	_, ok := errors.Cause(err).(ErrBaseMismatch)
	return ok
}
