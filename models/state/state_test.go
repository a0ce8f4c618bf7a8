// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/language"
	"havenwinch.dev/havenwinch/models/state"
)

// sender applies commands of operators to a state.
type sender struct {
	t     *testing.T
	state *state.State
	next  uint64
}

func (s *sender) send(operator string, number, expect uint64, text string) *statev1.CommandResult {
	s.t.Helper()
	c, err := language.ParseCommand(operator, number, expect, text)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}}).(*statev1.CommandResult)
}

func (s *sender) must(text string) {
	s.t.Helper()
	s.next++
	if r := s.send("setup", s.next, 0, text); r.GetRefusal() != "" {
		s.t.Fatalf("%s: %s", text, r.GetMessage())
	}
}

func newSender(t *testing.T) *sender {
	s := &sender{t: t, state: state.New()}
	s.must("create organisation north share 1")
	s.must("create organisation south share 1")
	s.must("create budget north/main tokens 1000")
	s.must("create group north/a budget north/main models m1")
	return s
}

func TestRefusedCommandsChangeNothing(t *testing.T) {
	key := strings.Repeat("ab", 32)
	tests := map[string]struct {
		text string
		want state.Refusal
	}{
		"organisation exists":       {"create organisation north share 2", state.RefusalExists},
		"share of zero":             {"set organisation north share 0", state.RefusalInvalid},
		"unknown organisation":      {"set organisation west share 2", state.RefusalNotFound},
		"bad name":                  {"create organisation North share 2", state.RefusalInvalid},
		"budget without owner":      {"create budget west/main tokens 5", state.RefusalNotFound},
		"budget name without slash": {"create budget main tokens 5", state.RefusalInvalid},
		"budget exists":             {"create budget north/main tokens 5", state.RefusalExists},
		"budget overflow":           {"create budget north/big tokens 18446744073709551615", state.RefusalOverflow},
		"grant overflow":            {"grant 9007199254740992 to north/main", state.RefusalOverflow},
		"grant wraps around":        {"grant 18446744073709551615 to north/main", state.RefusalOverflow},
		"grant to nobody":           {"grant 5 to north/other", state.RefusalNotFound},
		"reduce too far":            {"reduce 1001 from north/main", state.RefusalAllotted},
		"group without budget":      {"create group north/b budget north/none", state.RefusalNotFound},
		"group on foreign budget":   {"create group south/b budget north/main", state.RefusalInvalid},
		"change of no group":        {"set group north/none budget north/main", state.RefusalNotFound},
		"key of no group":           {"add key " + key + " to north/none", state.RefusalNotFound},
		"key that is no digest":     {"add key abc to north/a", state.RefusalInvalid},
		"removal of no key":         {"remove key " + key + " from north/a", state.RefusalNotFound},
		"end of no drain":           {"undrain target t1", state.RefusalNotFound},
		"unknown value":             {"rollout colour = red", state.RefusalInvalid},
		"value out of range":        {"rollout target-slots = 0", state.RefusalInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSender(t)
			s.must("add key " + strings.Repeat("cd", 32) + " to north/a")
			before, revision := s.state.Configuration(), s.state.Revision
			budget := *s.state.Budgets["north/main"]
			got := s.send("op", 1, 0, test.text)
			if got.GetRefusal() != string(test.want) || got.GetMessage() == "" {
				t.Errorf("got %q (%s), want %q", got.GetRefusal(), got.GetMessage(), test.want)
			}
			if s.state.Revision != revision || budget.Granted != s.state.Budgets["north/main"].Granted {
				t.Error("a refused command changed the state")
			}
			if diff := cmp.Diff(before, s.state.Configuration(), protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestOperatorsRace covers commands that are sent again, commands with the number of
// another one, and commands that expect a revision.
func TestOperatorsRace(t *testing.T) {
	tests := map[string]struct {
		operator string
		number   uint64
		expect   uint64
		text     string
		refusal  state.Refusal
		granted  uint64
	}{
		"resent":                    {"anna", 7, 0, "grant 100 to north/main", "", 1100},
		"resent with other spaces":  {"anna", 7, 0, "grant  100  to north/main", "", 1100},
		"same number, other amount": {"anna", 7, 0, "grant 200 to north/main", state.RefusalNumberTaken, 1100},
		"same number, other person": {"bert", 7, 0, "grant 100 to north/main", "", 1200},
		"same number, condition":    {"anna", 7, 3, "grant 100 to north/main", state.RefusalNumberTaken, 1100},
		"old condition":             {"bert", 8, 1, "grant 100 to north/main", state.RefusalWrongRevision, 1100},
		"met condition":             {"bert", 9, 3, "grant 100 to north/main", "", 1200},
	}
	for name, test := range tests {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, after a snapshot %v", name, restart), func(t *testing.T) {
				s := newSender(t)
				first := s.send("anna", 7, 0, "grant 100 to north/main")
				if restart {
					s.state = reload(t, s.state)
				}
				got := s.send(test.operator, test.number, test.expect, test.text)
				if got.GetRefusal() != string(test.refusal) {
					t.Errorf("got %q (%s), want %q", got.GetRefusal(), got.GetMessage(), test.refusal)
				}
				if strings.HasPrefix(name, "resent") {
					if diff := cmp.Diff(first, got, protocmp.Transform()); diff != "" {
						t.Errorf("the answer to a resent command differs: %s", diff)
					}
				}
				if granted := s.state.Budgets["north/main"].Granted; granted != test.granted {
					t.Errorf("granted %d, want %d", granted, test.granted)
				}
			})
		}
	}
}

func reload(t *testing.T, s *state.State) *state.State {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := state.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := fresh.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatal("a snapshot of a reloaded state differs")
	}
	return fresh
}

func TestNumberBelowAllKeptAnswersIsRefused(t *testing.T) {
	s := newSender(t)
	for n := range uint64(state.MaxResults + 5) {
		s.send("anna", n+10, 0, "set organisation north share 2")
	}
	if got := s.send("anna", 10, 0, "set organisation north share 9"); got.GetRefusal() != string(state.RefusalNumberTooOld) {
		t.Errorf("got %q, want a refusal of a number that may have been used", got.GetRefusal())
	}
}

// TestFollowerReachesSameConfiguration applies the changes after various revisions to
// a copy, as a box does that was disconnected.
func TestFollowerReachesSameConfiguration(t *testing.T) {
	s := newSender(t)
	for i := range 500 {
		s.must(fmt.Sprintf("rollout target-slots = %d", i%64+1))
	}
	s.must("drain target t1")
	s.must("undrain target t1")
	for _, from := range []uint64{0, 1, 250, s.state.Revision} {
		copied := state.New()
		early, _ := s.state.ChangesAfter(0)
		for _, c := range early[:from] {
			copied.ApplyChange(c)
		}
		rest, ok := s.state.ChangesAfter(from)
		if !ok {
			t.Fatalf("changes after %d are not held", from)
		}
		for _, c := range rest {
			copied.ApplyChange(c)
		}
		if diff := cmp.Diff(s.state.Configuration(), copied.Configuration(), protocmp.Transform()); diff != "" {
			t.Errorf("from revision %d: %s", from, diff)
		}
	}
}

func TestLostLedgerStaysLost(t *testing.T) {
	s := newSender(t)
	register := func(incarnation string) state.RegisterResult {
		r := &statev1.RegisterKeeper{Box: "k1", Incarnation: incarnation}
		return s.state.Apply(&statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: r}}).(state.RegisterResult)
	}
	sync := func(holder string, grant uint64) error {
		m := &statev1.Sync{Holder: holder, Grants: []*statev1.Grant{{Budget: "north/main", Tokens: grant}}}
		return s.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Sync{Sync: m}}).(state.SyncResult).Err
	}
	first := register("one")
	if err := sync(first.Holder, 600); err != nil {
		t.Fatal(err)
	}
	second := register("two")
	if register("one").Err == nil || sync(first.Holder, 1) == nil {
		t.Error("a ledger that was replaced is in force again")
	}
	if err := sync(second.Holder, 600); err != nil {
		t.Fatal(err)
	}
	if got := s.state.Budgets["north/main"].AllotmentOf(second.Holder).GetAllotted(); got != 400 {
		t.Errorf("the new ledger got %d tokens, want the 400 that the lost one does not hold", got)
	}
}
