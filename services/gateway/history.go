// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"sync"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/pack"
)

// heldTables is how many tables a history holds. Tables share the rows that
// have not changed.
const heldTables = 24

// history holds the newest routing tables, so that followers are sent what has
// changed, computed once for all of them.
type history struct {
	mu     sync.Mutex
	tables []*statev1.RoutingTable
	// packed is the newest table in short; deltas make it of earlier versions.
	packed []byte
	deltas map[uint64]*statev1.RoutingDelta
	// changes are the rows of targets after a revision, for the newest one.
	changes  map[uint64]targetChanges
	revision uint64
}

// targetChanges are rows that changed, or all of them.
type targetChanges struct {
	rows []*statev1.RegisteredTarget
	all  bool
}

// targetsAfter returns the rows of targets after a revision, looked up once for
// all followers that have it.
func (h *history) targetsAfter(r *state.Routing, revision uint64) targetChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changes == nil || h.revision != r.TargetRevision {
		h.changes, h.revision = map[uint64]targetChanges{}, r.TargetRevision
	}
	c, known := h.changes[revision]
	if !known {
		c.rows, c.all = r.TargetsAfter(revision)
		h.changes[revision] = c
	}
	return c
}

// note takes the table in force in.
func (h *history) note(t *statev1.RoutingTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked(t)
}

func (h *history) noteLocked(t *statev1.RoutingTable) {
	newest := h.newest()
	if t == nil || newest != nil && newest.GetVersion() >= t.GetVersion() {
		return
	}
	shared := withoutSource(t)
	if newest != nil {
		if patched, err := routing.Patch(newest, routing.Diff(newest, t)); err == nil {
			shared = patched
		}
	}
	h.tables = append(h.tables, shared)
	if len(h.tables) > heldTables {
		h.tables = append([]*statev1.RoutingTable(nil), h.tables[1:]...)
	}
	h.packed, h.deltas = nil, map[uint64]*statev1.RoutingDelta{}
}

// withoutSource returns a table without the document that it was made from.
func withoutSource(t *statev1.RoutingTable) *statev1.RoutingTable {
	return &statev1.RoutingTable{Version: t.GetVersion(), Routes: t.GetRoutes(), Services: t.GetServices(), Limits: t.GetLimits(), Payers: t.GetPayers()}
}

func (h *history) newest() *statev1.RoutingTable {
	if len(h.tables) == 0 {
		return nil
	}
	return h.tables[len(h.tables)-1]
}

// fill puts the table in force into an answer to a follower that has an earlier
// version: what has changed, or all of it where that version is not held.
func (h *history) fill(resp *betweenv1.FollowResponse, t *statev1.RoutingTable, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked(t)
	if newest := h.newest(); newest.GetVersion() != t.GetVersion() {
		resp.Routing = withoutSource(t)
		return
	}
	if resp.Delta = h.delta(version); resp.Delta != nil {
		return
	}
	if h.packed == nil {
		h.packed, _ = pack.Pack(h.newest())
	}
	if h.packed == nil {
		resp.Routing = h.newest()
		return
	}
	resp.PackedRouting, resp.PackedVersion = h.packed, h.newest().GetVersion()
}

// delta returns what makes the newest table of a version, nil when it is not
// held.
func (h *history) delta(version uint64) *statev1.RoutingDelta {
	if d := h.deltas[version]; d != nil {
		return d
	}
	for _, old := range h.tables {
		if old.GetVersion() == version {
			h.deltas[version] = routing.Diff(old, h.newest())
			return h.deltas[version]
		}
	}
	return nil
}
