// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
)

// Guards against versions of a service that an operator does not see: those whose targets drain, that
// have ended, or whose targets don't tell theirs.
func TestSoftwareTable(t *testing.T) {
	st := state.New()
	for id, row := range map[string]*statev1.RegisteredTarget{
		"a": {Service: "s", Version: "v1", State: statev1.RegisteredTarget_STATE_READY, DataCentre: "dc", Address: "h:1", Born: 7},
		"b": {Service: "s", Version: "v1", State: statev1.RegisteredTarget_STATE_DRAINING},
		"c": {Service: "s", Version: "v2", State: statev1.RegisteredTarget_STATE_READY},
		"d": {Service: "s", Version: "v3", State: statev1.RegisteredTarget_STATE_GONE},
		"e": {Service: "t", State: statev1.RegisteredTarget_STATE_READY},
	} {
		row.Id = id
		st.Routing.Targets[id] = row
	}
	st.Routing.SoftwareEnds.Record(st.Routing.Targets["d"], 1000)
	st.Routing.SoftwareEnds.Record(st.Routing.Targets["c"], 2000)
	want := [][]string{{"s", "v1", "1", "1", ""}, {"s", "v2", "1", "0", "2000"}, {"s", "v3", "0", "0", "1000"}, {"t", "", "1", "0", ""}}
	if diff := cmp.Diff(want, tables["software"](st).rows); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a", "s", "v1", "7", "ready", "dc", "h:1"}, tables["targets"](st).rows[0]); diff != "" {
		t.Error(diff)
	}
}
