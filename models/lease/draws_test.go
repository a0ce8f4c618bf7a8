// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDrawsEndOnce(t *testing.T) {
	d := NewDraws()
	d.Put(Draw{ID: "a", Organisation: org, Tokens: 10, Expires: 2 * time.Second})
	if row, open := d.End("a", 0); !open || row.Tokens != 10 {
		t.Fatalf("first end: %+v, %v", row, open)
	}
	if _, open := d.End("a", 0); open {
		t.Fatal("a draw ended twice")
	}
	if _, open := d.End("late", 5*time.Second); open || !d.Has("late") {
		t.Fatal("a draw that was ended before it arrived is not recorded as ended")
	}
	if left := d.Expire(2 * time.Second); len(left) != 0 || d.Len() != 1 {
		t.Fatalf("%d open draws expired, %d rows left", len(left), d.Len())
	}
	d.Put(Draw{ID: "b", Tokens: 7, Expires: 3 * time.Second})
	if left := d.Expire(9 * time.Second); len(left) != 1 || left[0].ID != "b" || d.Len() != 0 {
		t.Fatalf("expired %+v, %d rows left", left, d.Len())
	}
}

// Messages between boxes may be lost, delayed or repeated: the tokens that
// requests have used must never exceed what their holder counts as spent or
// reserved.
func TestRandomDrawsAreCovered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Second
		tb := granted(1<<30, now)
		draws := NewDraws()
		type use struct {
			id     string
			tokens uint64
			ends   time.Duration
		}
		var running []use
		used := uint64(0)
		for step := range 80 {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			for _, row := range draws.Expire(now) {
				tb.Settle(org, row.Tokens, row.Tokens)
			}
			id := string(rune('a' + step))
			switch rapid.SampledFrom([]string{"draw", "draw", "answer lost", "end before it comes", "settle", "settlement lost", "settled twice"}).Draw(rt, "step") {
			case "draw":
				tokens := uint64(rapid.IntRange(1, 5000).Draw(rt, "tokens"))
				life := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "life")) * time.Millisecond
				if tb.Reserve(org, tokens, now) {
					draws.Put(Draw{ID: id, Organisation: org, Tokens: tokens, Expires: now + life + time.Second})
					running = append(running, use{id: id, tokens: tokens, ends: now + life})
				}
			case "answer lost":
				// No request uses the draw, and its release may be lost, too.
				if tb.Reserve(org, 100, now) {
					draws.Put(Draw{ID: id, Organisation: org, Tokens: 100, Expires: now + time.Second})
				}
			case "end before it comes":
				draws.End(id, now+time.Second)
				if !draws.Has(id) {
					rt.Fatal("a draw that was ended before it arrived is not in the table")
				}
			default:
				if len(running) == 0 {
					break
				}
				u := running[0]
				running = running[1:]
				if now > u.ends {
					// The request ended at its deadline and its settlement was lost.
					used += u.tokens
					break
				}
				spent := u.tokens / 2
				used += spent
				for range rapid.IntRange(0, 2).Draw(rt, "deliveries") {
					if row, open := draws.End(u.id, now+time.Second); open {
						tb.Settle(org, row.Tokens, spent)
					}
				}
			}
			l := tb.Of(org)
			if l.Spent+l.Reserved < used {
				rt.Fatalf("requests used %d, the holder counts %d spent and %d reserved", used, l.Spent, l.Reserved)
			}
		}
	})
}
