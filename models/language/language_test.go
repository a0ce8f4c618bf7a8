// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package language

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func TestParseCommand(t *testing.T) {
	hex := strings.Repeat("1f", 32)
	digits := strings.Repeat("12", 32)
	tests := map[string]*statev1.Command{
		"create organisation north share 3": {Action: &statev1.Command_CreateOrganisation{CreateOrganisation: &statev1.CreateOrganisation{Name: "north", Share: 3}}},
		"set organisation north share 5":    {Action: &statev1.Command_SetShare{SetShare: &statev1.SetShare{Organisation: "north", Share: 5}}},
		"create budget north/main tokens 9": {Action: &statev1.Command_CreateBudget{CreateBudget: &statev1.CreateBudget{Name: "north/main", Tokens: 9}}},
		"grant 7 to north/main":             {Action: &statev1.Command_GrantBudget{GrantBudget: &statev1.GrantBudget{Name: "north/main", Tokens: 7}}},
		"grant 7 tokens to north/main":      {Action: &statev1.Command_GrantBudget{GrantBudget: &statev1.GrantBudget{Name: "north/main", Tokens: 7}}},
		"reduce 7 from north/main":          {Action: &statev1.Command_ReduceBudget{ReduceBudget: &statev1.ReduceBudget{Name: "north/main", Tokens: 7}}},
		"create group north/a budget north/main models m1,m-2 services portal priority batch default-tokens 64": {Action: &statev1.Command_PutGroup{PutGroup: &statev1.PutGroup{Create: true, Group: &statev1.Group{
			Name: "north/a", Budget: "north/main", Models: []string{"m1", "m-2"}, Services: []string{"portal"}, Priority: statev1.Priority_PRIORITY_BATCH, DefaultTokens: 64}}}},
		"add key " + hex + " to north/a":      {Action: &statev1.Command_PutKey{PutKey: &statev1.PutKey{Key: &statev1.AccessKey{Digest: hex, Group: "north/a"}}}},
		"add key " + digits + " to north/a":   {Action: &statev1.Command_PutKey{PutKey: &statev1.PutKey{Key: &statev1.AccessKey{Digest: digits, Group: "north/a"}}}},
		"remove key " + hex + " from north/a": {Action: &statev1.Command_PutKey{PutKey: &statev1.PutKey{Key: &statev1.AccessKey{Digest: hex, Group: "north/a", Removed: true}}}},
		"drain data-centre dc-a":              {Action: &statev1.Command_PutDrain{PutDrain: &statev1.PutDrain{Drain: &statev1.Drain{Kind: statev1.Drain_KIND_DATA_CENTRE, Name: "dc-a"}}}},
		"undrain data-centre dc-a":            {Action: &statev1.Command_PutDrain{PutDrain: &statev1.PutDrain{Drain: &statev1.Drain{Kind: statev1.Drain_KIND_DATA_CENTRE, Name: "dc-a", Ended: true}}}},
		"drain target engine-1":               {Action: &statev1.Command_PutDrain{PutDrain: &statev1.PutDrain{Drain: &statev1.Drain{Kind: statev1.Drain_KIND_TARGET, Name: "engine-1"}}}},
		"undrain box 7":                       {Action: &statev1.Command_PutDrain{PutDrain: &statev1.PutDrain{Drain: &statev1.Drain{Kind: statev1.Drain_KIND_BOX, Name: "7", Ended: true}}}},
		"rollout target-slots = 8":            {Action: &statev1.Command_PutRollout{PutRollout: &statev1.PutRollout{Rollout: &statev1.Rollout{Name: "target-slots", Value: "8"}}}},
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			got, err := ParseCommand("op", 1, 0, text)
			if err != nil {
				t.Fatal(err)
			}
			want.Operator, want.Number, want.Digest = "op", 1, got.GetDigest()
			if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestParseCommandRefusesBadText(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"empty":             {"", "at character 1"},
		"unknown verb":      {"destroy everything", "at character 1: unexpected token \"destroy\""},
		"missing amount":    {"grant to north/main", "at character 7: unexpected token \"to\""},
		"negative amount":   {"grant -5 to north/main", "at character 7"},
		"overflow":          {"grant 99999999999999999999999 to north/main", "value out of range"},
		"trailing text":     {"drain target a b", "at character 16: unexpected token \"b\""},
		"too long":          {"drain target " + strings.Repeat("a", MaxLength), "longer than"},
		"invalid character": {"drain target ;", "at character 14"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseCommand("op", 1, 0, test.text)
			if !IsErrSyntax(err) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q in it", err, test.want)
			}
		})
	}
}

func TestDigestCoversWordsAndRevision(t *testing.T) {
	parse := func(expect uint64, text string) string {
		c, err := ParseCommand("op", 1, expect, text)
		if err != nil {
			t.Fatal(err)
		}
		return c.GetDigest()
	}
	base := parse(0, "drain target a")
	if parse(0, "drain   target a ") != base {
		t.Error("white space changes the digest")
	}
	if parse(0, "drain target b") == base || parse(3, "drain target a") == base {
		t.Error("another target or revision does not change the digest")
	}
}

func TestParseQuery(t *testing.T) {
	got, err := ParseQuery("show groups where organisation=north and budget = north/main by spent limit 5")
	if err != nil {
		t.Fatal(err)
	}
	want := &Query{Subject: "groups", Order: "spent", Limit: 5, Filters: []Filter{{Column: "organisation", Value: "north"}, {Column: "budget", Value: "north/main"}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if _, err := ParseQuery("show everything"); !IsErrSyntax(err) {
		t.Errorf("got %v, want a syntax error", err)
	}
}
