// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxLateFatal is how many requests with a fatal part may reach servers later than contactTime
	// after fatalCrashes servers have crashed under it.
	maxLateFatal = 3
	fatalCrashes = 5
)

// fatalPart is a part of prompts that crashes each server that begins to answer.
type fatalPart struct {
	id string

	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// handle records a request with the part and reports whether the request has it.
func (f *fatalPart) handle(r *http.Request) bool {
	if f == nil || !strings.Contains(r.Header.Get("Prompt-Prefix"), f.id+":") {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
	return true
}

func (f *fatalPart) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// lateArrivals returns how many requests with the part reached servers later than contactTime after
// fatalCrashes servers had crashed.
func (f *fatalPart) lateArrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < fatalCrashes {
		return 0
	}
	late := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[fatalCrashes-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

// sendFatalParts sends calls that share a fatal part and otherwise look like those of other callers,
// until the context is done. No two have the same body or the same last part.
func (tb *testbed) sendFatalParts(ctx context.Context, pause time.Duration, prefix func(n int) string) {
	c := tb.caller(6000)
	defer c.disconnect()
	routes := []string{"stream/once", "stream/resume"}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("part-%d-%d", tb.all.seed, n)
		c.prefix = fmt.Sprintf("%s,%x:20", prefix(n), 0xf000000+n)
		c.send(id, routes[n%len(routes)], "key-large")
		if n%3 == 0 {
			c.disconnect()
		}
	}
}

// Guards against prompts that share one fatal part, and nothing else, crashing one server after the
// other.
func TestPromptsWithAFatalPartAreHeldBack(t *testing.T) {
	const fatal = "fa7a1"
	tests := map[string]struct {
		pause  time.Duration
		prefix func(n int) string
	}{
		"between parts that sound calls share": {pause: 300 * time.Millisecond, prefix: func(n int) string { return fmt.Sprintf("aa:10,%s:30,bb%d:20", fatal, n%5) }},
		"first of all":                         {pause: 300 * time.Millisecond, prefix: func(n int) string { return fmt.Sprintf("%s:30,bb%d:20", fatal, n%5) }},
		"always after the same part":           {pause: 300 * time.Millisecond, prefix: func(int) string { return "aa:10,bb1:20," + fatal + ":30" }},
		"many a second":                        {pause: 25 * time.Millisecond, prefix: func(n int) string { return fmt.Sprintf("aa:10,bb%d:20,%s:30", n%5, fatal) }},
		"few a second":                         {pause: 900 * time.Millisecond, prefix: func(n int) string { return fmt.Sprintf("aa:10,bb%d:20,%s:30", n%5, fatal) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 81, 3, 4, 8, 1)
			t.Cleanup(func() {
				if t.Failed() {
					tb.saveLogs(t, 81)
				}
			})
			stopLoad := tb.startSteadyLoad()
			t.Cleanup(stopLoad)
			time.Sleep(time.Second)
			part := &fatalPart{id: fatal}
			tb.platform.setFatalPart(part)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				tb.sendFatalParts(ctx, test.pause, test.prefix)
			}()
			t.Cleanup(wg.Wait)
			t.Cleanup(cancel)
			time.Sleep(11 * time.Second)
			cancel()
			wg.Wait()
			stopLoad()
			part.mu.Lock()
			t.Logf("%d requests with the part reached servers, %d servers crashed", len(part.arrivals), len(part.crashes))
			part.mu.Unlock()
			if n := part.lateArrivals(); n > maxLateFatal {
				t.Errorf("%d requests with the fatal part reached servers later than %s after the crash of %d, want at most %d", n, contactTime, fatalCrashes, maxLateFatal)
			}
			tb.checkResults(t)
		})
	}
}
