// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func apply(t *testing.T, m *Machine, e *statev1.Entry) {
	t.Helper()
	data, err := proto.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(data)
}

// A captured state is encoded while later entries are applied. The race detector
// reports any row that is modified in place, and the encoded state must be the one of
// the capture.
func TestCaptureDuringChanges(t *testing.T) {
	m := NewMachine()
	send := func(n int, action *statev1.Command) {
		action.Operator, action.Number, action.Digest = "op", uint64(n), fmt.Sprint(n)
		apply(t, m, &statev1.Entry{Kind: &statev1.Entry_Command{Command: action}})
	}
	send(1, &statev1.Command{Action: &statev1.Command_CreateOrganisation{CreateOrganisation: &statev1.CreateOrganisation{Name: "north", Share: 1}}})
	send(2, &statev1.Command{Action: &statev1.Command_CreateBudget{CreateBudget: &statev1.CreateBudget{Name: "north/main", Tokens: 1000}}})
	apply(t, m, &statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: &statev1.RegisterKeeper{Box: "k", Incarnation: "1"}}})
	report := func(spent uint64) {
		apply(t, m, &statev1.Entry{Kind: &statev1.Entry_Sync{Sync: &statev1.Sync{
			Holder:  "k@1",
			Grants:  []*statev1.Grant{{Budget: "north/main", Tokens: 5}},
			Reports: []*statev1.BudgetReport{{Budget: "north/main", Spent: spent}},
			Usages:  []*statev1.GroupUsage{{Group: "north/a", Spent: spent}},
		}}})
	}
	report(0)
	report(5)
	encode := m.Capture()
	done := make(chan []byte)
	go func() {
		data, err := encode()
		if err != nil {
			t.Error(err)
		}
		done <- data
	}()
	for i := range 100 {
		report(uint64(6 + i))
		send(10+i, &statev1.Command{Action: &statev1.Command_GrantBudget{GrantBudget: &statev1.GrantBudget{Name: "north/main", Tokens: 1}}})
	}
	var got statev1.Snapshot
	if err := proto.Unmarshal(<-done, &got); err != nil {
		t.Fatal(err)
	}
	if b := got.GetBudgets()[0]; b.GetGranted() != 1000 || b.GetAllotments()[0].GetSpent() != 5 || got.GetUsages()[0].GetSpent() != 5 {
		t.Errorf("the captured state has changed: %v %v", b, got.GetUsages())
	}
}
