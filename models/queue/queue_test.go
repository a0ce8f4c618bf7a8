// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"fmt"
	"testing"
	"time"
)

// drain takes up to n requests and counts them by organisation, and the
// interactive ones under "interactive".
func drain(q *Queue, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		it := q.Peek("m", false)
		if it == nil {
			break
		}
		q.Dequeue(it)
		counts[it.Organisation]++
		if it.Interactive {
			counts["interactive"]++
		}
	}
	return counts
}

func add(q *Queue, n int, organisation string, interactive bool, tokens int) {
	for range n {
		q.Add(&Item{Organisation: organisation, Interactive: interactive, Pool: "m", Tokens: tokens, MaxOutputTokens: tokens, Deadline: time.Hour})
	}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		shares map[string]int
		fill   func(q *Queue)
		take   int
		want   map[string]int
	}{
		"equal shares":                                 {nil, func(q *Queue) { add(q, 50, "a", false, 10); add(q, 50, "b", false, 10) }, 40, map[string]int{"a": 20, "b": 20}},
		"shares are weights":                           {map[string]int{"a": 3}, func(q *Queue) { add(q, 50, "a", false, 10); add(q, 50, "b", false, 10) }, 40, map[string]int{"a": 30, "b": 10}},
		"tokens count, not requests":                   {nil, func(q *Queue) { add(q, 50, "a", false, 30); add(q, 50, "b", false, 10) }, 40, map[string]int{"a": 10, "b": 30}},
		"a large batch does not delay urgent requests": {nil, func(q *Queue) { add(q, 500, "bulk", false, 10); add(q, 7, "urgent", true, 10) }, 7, map[string]int{"urgent": 7, "interactive": 7}},
		"a large batch is not starved":                 {nil, func(q *Queue) { add(q, 500, "bulk", false, 10); add(q, 500, "urgent", true, 10) }, 80, map[string]int{"urgent": 70, "interactive": 70, "bulk": 10}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := New(func(o string) int { return max(1, test.shares[o]) })
			test.fill(q)
			got := drain(q, test.take)
			for key, n := range test.want {
				if d := got[key] - n; d < -1 || d > 1 {
					t.Errorf("%s got %d of %d, want %d", key, got[key], test.take, n)
				}
			}
		})
	}
}

func TestIdleOrganisationGainsNoCredit(t *testing.T) {
	q := New(func(string) int { return 1 })
	add(q, 200, "a", false, 10)
	drain(q, 100)
	add(q, 100, "late", false, 10)
	if got := drain(q, 50); got["late"] > 27 || got["late"] < 23 {
		t.Errorf("an organisation that was idle before got %d of 50 picks", got["late"])
	}
}

func TestDeadlinesAndRemoval(t *testing.T) {
	q := New(func(string) int { return 1 })
	var items []*Item
	for i := range 10 {
		it := &Item{Organisation: "a", Pool: "m", Tokens: 5, MaxOutputTokens: 5, Deadline: time.Duration(10-i) * time.Second}
		items = append(items, it)
		q.Add(it)
	}
	if q.Peek("m", false) != items[9] {
		t.Error("the request with the earliest deadline is not next")
	}
	q.Remove(items[9])
	q.Remove(items[9])
	if q.Peek("m", false) != items[8] || q.Len() != 9 || q.Tokens() != 45 || q.Load("m").Batch != 45 {
		t.Errorf("after a removal: %d requests, %d tokens, %+v", q.Len(), q.Tokens(), q.Load("m"))
	}
	drain(q, 9)
	if q.Len() != 0 || len(q.Pools()) != 0 || q.Peek("m", true) != nil {
		t.Error("requests are left after all were taken")
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, organisations := range []int{10, 450} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			q := New(func(string) int { return 1 })
			for i := range 10_000 {
				add(q, 1, fmt.Sprint(i%organisations), i%3 == 0, 100)
			}
			n := 0
			for b.Loop() {
				q.Dequeue(q.Peek("m", false))
				add(q, 1, fmt.Sprint(n%organisations), n%3 == 0, 100)
				n++
			}
		})
	}
}
