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
