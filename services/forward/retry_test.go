// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/rate"
)

func TestRetryBudgetLimit(t *testing.T) {
	var b retryBudget
	granted := 0
	for range 1000 {
		b.refill("s", retryTerms{ratio: 0.1, stock: 5}, time.Second, 0)
		for b.take("s", rate.Fleet{}, 0) {
			granted++
		}
	}
	if granted > 105 || granted < 95 {
		t.Fatalf("%d retries for 1000 calls, want about 5 plus a tenth of the calls", granted)
	}
	if b.take("other", rate.Fleet{}, 0) {
		t.Fatal("a service without calls has retries")
	}
}

// In a large fleet no call was retried: the retry reserve was divided by the number of boxes,
// and from some size on a box's part was less than one retry, so that no box had any. Found by
// reading the code, from 128 boxes on at a reserve of 212.
//
// Here boxes take as many retries as they get. Together they get close to the reserve and the
// ratio of their calls in each window, and never more.
func TestLargeFleetsHaveRetries(t *testing.T) {
	const window, length = 10 * time.Second, 25 * time.Second
	opts := Options{RetryRatio: 0.2, RetryStock: 212, RetryWindow: window}
	tests := map[string]struct {
		boxes int
		// calls is the number of calls per second and box.
		calls float64
	}{
		"six boxes":                     {boxes: 6, calls: 10},
		"92 boxes":                      {boxes: 92, calls: 5},
		"128 boxes":                     {boxes: 128, calls: 5},
		"360 boxes":                     {boxes: 360, calls: 5},
		"360 boxes with few calls each": {boxes: 360, calls: 0.2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var names []string
			for n := range test.boxes {
				names = append(names, fmt.Sprint("box-", n))
			}
			budgets := make([]retryBudget, test.boxes)
			var sends []time.Duration
			calls := 0
			for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
				for n := range budgets {
					fleet := rate.NewFleet(names[n], names, 0)
					every := int(10 / test.calls)
					if (int(now/(100*time.Millisecond))+n)%every == 0 {
						calls++
						budgets[n].refill("s", opts.retryTerms(test.boxes), window, now)
					}
					for budgets[n].take("s", fleet, now) {
						sends = append(sends, now)
					}
				}
			}
			inWindow := float64(calls) * window.Seconds() / length.Seconds()
			most, allowed := 0, opts.RetryRatio*inWindow+opts.RetryStock
			for from := time.Duration(0); from+window <= length; from += 100 * time.Millisecond {
				first, _ := slices.BinarySearch(sends, from)
				last, _ := slices.BinarySearch(sends, from+window)
				most = max(most, last-first)
			}
			t.Logf("at most %d retries of %.0f allowed in a window, %d in total", most, allowed, len(sends))
			if float64(most) > allowed {
				t.Errorf("%d retries in a window, want at most %.0f", most, allowed)
			}
			if least := 0.3 * allowed; float64(most) < least {
				t.Errorf("%d retries in a window, want at least %.0f of %.0f", most, least, allowed)
			}
		})
	}
}

// Guards against a reserve that each restart of a box renews: boxes that are killed and start again, one after the
// other or all at once, keep to the reserve and the ratio of their calls in each window.
func TestRestartsDoNotRenewTheReserve(t *testing.T) {
	const window, length, step = 10 * time.Second, 30 * time.Second, 50 * time.Millisecond
	opts := Options{RetryRatio: 0.2, RetryStock: 52, RetryWindow: window}
	cases := map[string]struct {
		boxes int
		// isRestarted reports whether a box starts anew at a step.
		isRestarted func(box, step int) bool
	}{
		"two boxes, both at once":       {2, func(_, step int) bool { return step > 0 && step%70 == 0 }},
		"two boxes in turn":             {2, func(box, step int) bool { return step%60 == 30*box }},
		"eight boxes, once":             {8, func(_, step int) bool { return step == 100 }},
		"eight boxes in turn":           {8, func(box, step int) bool { return step%80 == 10*box }},
		"360 boxes, all at once, often": {360, func(_, step int) bool { return step > 0 && step%50 == 0 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var names []string
			for n := range c.boxes {
				names = append(names, fmt.Sprint("box-", n))
			}
			budgets := make([]retryBudget, c.boxes)
			var sends, calls []time.Duration
			for at := range int(length / step) {
				now := time.Duration(at) * step
				for n := range budgets {
					if c.isRestarted(n, at) {
						budgets[n] = retryBudget{withheldUntil: now + window}
					}
					if (at+n)%c.boxes < 2 {
						budgets[n].refill("s", opts.retryTerms(c.boxes), window, now)
						calls = append(calls, now)
					}
					for budgets[n].take("s", rate.NewFleet(names[n], names, 0), now) {
						sends = append(sends, now)
					}
				}
			}
			within := func(list []time.Duration, from time.Duration) float64 {
				return float64(len(slices.DeleteFunc(slices.Clone(list), func(s time.Duration) bool { return s < from || s >= from+window })))
			}
			for from := time.Duration(0); from+window <= length; from += step {
				if got, bound := within(sends, from), opts.RetryStock+opts.RetryRatio*within(calls, from); got > bound {
					t.Fatalf("%.0f retries in the window from %s, %.1f are allowed", got, from, bound)
				}
			}
		})
	}
}

// Guards against boxes that lose their part of the reserve by a restart.
func TestReserveIsUsableOneWindowAfterARestart(t *testing.T) {
	const window = 10 * time.Second
	opts := Options{RetryRatio: 0.2, RetryStock: 52, RetryWindow: window}
	for _, boxes := range []int{1, 2, 8, 30} {
		left := 0
		for range boxes {
			b := retryBudget{withheldUntil: window}
			b.refill("s", opts.retryTerms(boxes), window, 0)
			if b.take("s", rate.Fleet{}, 0) {
				t.Errorf("%d boxes: a retry of the reserve right after the start", boxes)
			}
			for b.refill("s", opts.retryTerms(boxes), window, window); b.take("s", rate.Fleet{}, window); left++ {
			}
		}
		if whole := int(opts.retryTerms(boxes).stock) * boxes; left < whole*9/10 {
			t.Errorf("%d boxes: %d retries of the reserve are usable, want 0.9 of %d", boxes, left, whole)
		}
	}
}
