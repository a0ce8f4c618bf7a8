// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"
)

// disconnectBound is how long after a caller disconnects its request may still reach a server
// or be processed there.
const disconnectBound = 500 * time.Millisecond

// visits holds the times at which servers received a request and finished it.
type visits struct {
	arrivals    []time.Time
	completions []time.Time
}

// recordArrival records the arrival of a request at a server.
func (p *platform) recordArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.visits[id]
	if v == nil {
		v = &visits{}
		p.visits[id] = v
	}
	v.arrivals = append(v.arrivals, time.Now())
}

// recordCompletion records that a server has finished a request, whether it was answered or cancelled.
func (p *platform) recordCompletion(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.visits[id].completions = append(p.visits[id].completions, time.Now())
}

// Guards against work for callers that have disconnected. They disconnect in every phase
// of a call: before tokens are reserved, while a target is selected, before and after the
// first event, during generation. After half a second no such request may reach a server
// or be processed there; the users' platform tolerates a few late arrivals and a quarter
// of the calls being processed longer.
func TestServersStopWorkForDisconnectedCallers(t *testing.T) {
	tb := newTestbed(t, 41, 1, 3, 3, 1)
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, 41)
		}
	})
	const calls, callers, output = 40, 8, 6000
	tb.platform.headDelay = 4 * time.Second
	var mu sync.Mutex
	disconnectedAt := map[string]time.Time{}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(int64(n)))
			for k := range calls {
				id := fmt.Sprintf("disconnect-%d-%d-%d", n, k, k%2)
				at := tb.sendAndDisconnect(t, rng, id, output)
				mu.Lock()
				disconnectedAt[id] = at
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	// A run that is not stopped generates all its events within 5 s.
	waitFor(t, "all servers are idle", func() bool { return tb.platform.inFlight() == 0 })
	late, overdue, ran := 0, 0, 0
	tb.platform.mu.Lock()
	for id, at := range disconnectedAt {
		v := tb.platform.visits[id]
		if v == nil {
			continue
		}
		ran++
		for _, arrived := range v.arrivals {
			if arrived.After(at.Add(disconnectBound)) {
				late++
			}
		}
		for _, completed := range v.completions {
			if completed.After(at.Add(disconnectBound)) {
				overdue++
				break
			}
		}
	}
	tb.platform.mu.Unlock()
	t.Logf("%d of %d calls reached a server; %d requests arrived late, %d calls were processed too long", ran, len(disconnectedAt), late, overdue)
	const maxLate = 3
	if ran < len(disconnectedAt)/2 {
		t.Errorf("only %d calls reached a server, want at least half of them", ran)
	}
	if late > maxLate {
		t.Errorf("%d requests reached a server more than %s after their callers had disconnected", late, disconnectBound)
	}
	if overdue*4 > ran {
		t.Errorf("servers processed %d of %d calls more than %s after their callers had disconnected", overdue, ran, disconnectBound)
	}
	tb.checkResults(t)
}

// sendAndDisconnect sends a call, disconnects after up to 150 ms and returns the time of that.
func (tb *testbed) sendAndDisconnect(t *testing.T, rng *rand.Rand, id string, output int) time.Time {
	conn, err := net.DialTimeout("tcp", tb.all.entries[rng.Intn(len(tb.all.entries))], dialLimit)
	if err != nil {
		t.Error(err)
		return time.Now()
	}
	route := []string{"stream/resume", "stream/once"}[rng.Intn(2)]
	body := "body of " + id
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: key-large\r\nToken-Count: 200,%d\r\nContent-Length: %d\r\n\r\n%s", route, id, output, len(body), body)
	time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
	_ = conn.Close()
	return time.Now()
}

// inFlight returns the number of requests that servers are processing.
func (p *platform) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	working := 0
	for _, v := range p.visits {
		working += len(v.arrivals) - len(v.completions)
	}
	return working
}
