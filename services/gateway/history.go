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

// maxTables is how many tables a history keeps. Tables share unchanged rows.
const maxTables = 24

// history keeps the newest routing tables, so that followers are sent deltas, each
// computed once for all followers.
type history struct {
	mu     sync.Mutex
	tables []*statev1.RoutingTable
	// packed is the newest table, compressed. deltas holds, by version, what turns an
	// earlier table into it. Both are computed when first needed.
	packed []byte
	deltas map[uint64]*statev1.RoutingDelta
	// changes holds, by a follower's revision, the rows of targets that changed after
	// it. It is valid for the target revision in revision.
	changes  map[uint64]targetChanges
	revision uint64
}

// targetChanges has the rows that changed, or all rows if all is set.
type targetChanges struct {
	rows []*statev1.RegisteredTarget
	all  bool
}

// targetsAfter returns the targets that changed after a revision. They are looked up
// once for all followers at that revision.
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

// add adds the table in force, unless it is known.
func (h *history) add(t *statev1.RoutingTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(t)
}

// addLocked is add for a caller that holds h.mu.
func (h *history) addLocked(t *statev1.RoutingTable) {
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
	if len(h.tables) > maxTables {
		h.tables = append([]*statev1.RoutingTable(nil), h.tables[1:]...)
	}
	h.packed, h.deltas = nil, map[uint64]*statev1.RoutingDelta{}
}

// withoutSource returns a table without the document that it was compiled from.
func withoutSource(t *statev1.RoutingTable) *statev1.RoutingTable {
	return &statev1.RoutingTable{Version: t.GetVersion(), Routes: t.GetRoutes(), Services: t.GetServices(), Limits: t.GetLimits(), Payers: t.GetPayers()}
}

// newest returns the newest table, or nil. The caller must hold h.mu.
func (h *history) newest() *statev1.RoutingTable {
	if len(h.tables) == 0 {
		return nil
	}
	return h.tables[len(h.tables)-1]
}

// fill adds the table in force, t, to an answer to a follower that has the given
// version: as a delta, or whole if that version is not kept any more.
func (h *history) fill(resp *betweenv1.FollowResponse, t *statev1.RoutingTable, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(t)
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

// delta returns the changes from a version to the newest table, or nil if that version
// is not kept. The caller must hold h.mu.
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
