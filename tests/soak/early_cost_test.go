// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// costEnv is the environment variable that makes TestCostOfEarlyEnds measure.
const costEnv = "HAVENWINCH_COSTS"

const (
	// costCalls is how many calls are measured of each kind.
	costCalls = 100
	// costLength is how long calls are counted for their rate.
	costLength = 4 * time.Second
)

// TestCostOfEarlyEnds logs the time from a server's end of an answer without a length to the caller's end of it, and
// the rate of small calls at one box. It has no bounds.
func TestCostOfEarlyEnds(t *testing.T) {
	if os.Getenv(costEnv) == "" {
		t.Skip("a measurement; set " + costEnv + "=1")
	}
	f, views := newPartlyViewedFleet(t, 3, 3, 1)
	dir, err := plainBin()
	if err != nil {
		t.Fatal(err)
	}
	useBinary(dir, f.boxes...)
	views[f.withRole("entry")[0].name].set(refusingFault)
	e := startEarlyTestbed(t, f, 1)
	for _, link := range []string{"direct", "carried"} {
		entry := map[string]int{"direct": 1, "carried": 0}[link]
		for _, size := range []int{1 << 10, 1 << 20} {
			for _, start := range []earlyStart{fromAll, fromHead} {
				t.Logf("%s, request of %d bytes, answered %s: %s", link, size, map[earlyStart]string{fromAll: "once read", fromHead: "at its head"}[start], e.endDelays(t, link, entry, size, start))
			}
		}
	}
	t.Logf("small calls at one box: %.0f a second", e.rate(1))
}

// endDelays returns the median and the 95th percentile of the time to the end of answers.
func (e *earlyTestbed) endDelays(t *testing.T, link string, entry, size int, start earlyStart) string {
	t.Helper()
	c := &earlyCaller{tb: e, entries: []int{entry}, rng: rand.New(rand.NewSource(1))}
	defer c.disconnect()
	var delays []time.Duration
	for n := range costCalls {
		call := &earlyCall{id: fmt.Sprintf("cost-%s-%d-%d-%d", link, size, start, n), route: "plain/unsafe", body: size, padding: 100, done: make(chan struct{}), plans: []earlyPlan{{start: start, framing: toTheEnd, end: readsOn}}}
		e.servers.add(call)
		c.send(call)
		ended := time.Now()
		waitFor(t, "the server is done", func() bool { return e.servers.areDone([]*earlyCall{call}) })
		if call.complete && call.status == 200 && len(call.runs) == 1 {
			delays = append(delays, ended.Sub(call.runs[0].endedAt))
		}
	}
	if len(delays) == 0 {
		return "no call came through"
	}
	slices.Sort(delays)
	return fmt.Sprintf("%d of %d whole, median %s, 95th percentile %s", len(delays), costCalls, delays[len(delays)/2], delays[len(delays)*95/100])
}

// rate returns how many small calls a second one box serves to several callers.
func (e *earlyTestbed) rate(entry int) float64 {
	var count atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(costLength)
	for n := range earlyCallers {
		wg.Go(func() {
			c := &earlyCaller{tb: e, entries: []int{entry}, rng: rand.New(rand.NewSource(int64(n)))}
			defer c.disconnect()
			for round := 0; time.Now().Before(end); round++ {
				call := &earlyCall{id: fmt.Sprintf("rate-%d-%d", n, round), route: "plain/unsafe", body: 100, done: make(chan struct{}), plans: []earlyPlan{{start: fromAll, end: readsOn, delay: time.Nanosecond}}}
				e.servers.add(call)
				c.send(call)
				if call.complete && call.status == 200 {
					count.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(count.Load()) / costLength.Seconds()
}
