// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package targetlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/targetlist"
)

// table records the lists that it receives.
type table struct{ lists [][]string }

func (l *table) ReplaceList(list []*target.Target) {
	names := []string{}
	for _, t := range list {
		names = append(names, t.Name+" "+string(t.ListedState))
	}
	l.lists = append(l.lists, names)
}
func (l *table) NextQueries(int) []targetlist.TargetQuery                   { return nil }
func (l *table) ApplyReport(string, engine.Load, engine.CacheEvents, error) {}

// TestList reads a valid list, then the described response, and checks which lists reach the
// table. A response that can't be used must not replace the last list.
func TestList(t *testing.T) {
	const valid = `{"version":1,"targets":[{"name":"e","address":"127.0.0.1:1","kind":"engine","state":"live"}]}`
	tests := map[string]struct {
		status int
		body   string
		want   []string
	}{
		"unchanged":           {304, "", nil},
		"server error":        {500, "broken", nil},
		"not JSON":            {200, "<html>", nil},
		"truncated":           {200, valid[:40], nil},
		"empty":               {200, `{"version":2,"targets":[]}`, []string{}},
		"leaving":             {200, `{"targets":[{"name":"e","address":"127.0.0.1:1","kind":"engine","state":"leaving"}]}`, []string{"e leaving"}},
		"unknown state":       {200, `{"targets":[{"name":"e","address":"127.0.0.1:1","kind":"engine","state":"odd"}]}`, []string{"e leaving"}},
		"unknown kind":        {200, `{"targets":[{"name":"e","address":"127.0.0.1:1","kind":"printer","state":"live"},{"name":"f","address":"127.0.0.1:2","kind":"service","state":"live"}]}`, []string{"f live"}},
		"no name, no address": {200, `{"targets":[{"address":"127.0.0.1:1","kind":"engine","state":"live"},{"name":"g","kind":"engine","state":"live"}]}`, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reads := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				reads++
				if reads == 1 {
					w.Header().Set("ETag", `"1"`)
					_, _ = w.Write([]byte(valid))
					return
				}
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			l := &table{}
			p := &targetlist.Poller{Lister: &targetlist.HTTPLister{URL: server.URL}, Targets: l, Logger: logging.Discard()}
			p.PollList(context.Background())
			p.PollList(context.Background())
			want := [][]string{{"e live"}}
			if test.want != nil {
				want = append(want, test.want)
			}
			if diff := cmp.Diff(want, l.lists); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEventsThatCannotBeReadAreLeftOut(t *testing.T) {
	page := engine.CacheEvents{Events: []engine.CacheEvent{{Sequence: 1, Op: "insert", Block: "ff"}, {Sequence: 2, Op: "insert", Block: "none"}, {Sequence: 3, Op: "evict", Block: "ff"}}}
	want := []target.CacheEvent{{Sequence: 1, Block: 255}, {Sequence: 3, Block: 255, Evicted: true}}
	if diff := cmp.Diff(want, targetlist.Events(page)); diff != "" {
		t.Error(diff)
	}
}
