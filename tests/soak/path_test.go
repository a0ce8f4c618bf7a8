// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak tests the request path through platform/ end to end: real daemon processes
// with a simulation of the users' platform, without faults and under random ones.
package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// testbed is a fleet together with the simulated platform that it serves.
type testbed struct {
	*fleet
	platform *platform
	// all is the pool of the simulated callers.
	all *callerPool
	// lastCopy makes the ids of repeated calls unique.
	lastCopy int
	// load is the load of the callers that faults have started.
	load sync.WaitGroup
}

func newTestbed(t *testing.T, seed int64, controls, entries, engines, plainServers int) *testbed {
	t.Helper()
	return startTestbed(t, newFleet(t, controls, entries), seed, engines, plainServers)
}

// startTestbed starts a fleet and its simulated platform, and waits until requests are served.
func startTestbed(t *testing.T, f *fleet, seed int64, engines, plainServers int, prepare ...func(*platform)) *testbed {
	t.Helper()
	return startTestbedWith(t, f, seed, prepare, func(tb *testbed) {
		for i := range engines + plainServers {
			service := engineService
			if i >= engines {
				service = plainService
			}
			sv, err := tb.platform.startServer(fmt.Sprintf("i-%d", i), service, seed+int64(i))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sv.stop)
		}
	})
}

// startTestbedWith is like startTestbed with the servers that a function starts.
func startTestbedWith(t *testing.T, f *fleet, seed int64, prepare []func(*platform), startServers func(*testbed)) *testbed {
	t.Helper()
	tb := &testbed{fleet: f}
	tb.startAll(t)
	tb.platform = newPlatform(tb.addresses("control", tb.ports.registry))
	t.Cleanup(tb.platform.cleanUp)
	for _, p := range prepare {
		p(tb.platform)
	}
	tb.all = &callerPool{platform: tb.platform, entries: tb.addresses("entry", tb.ports.caller), names: tb.names("entry"), seed: seed}
	if !tb.platform.configure(1, waitLimit) {
		t.Fatal("the first configuration was not acknowledged")
	}
	startServers(tb)
	tb.ready(t)
	c := tb.caller(1000)
	for _, route := range []string{"plain/safe", "stream/resume"} {
		waitFor(t, route+" is served", func() bool {
			c.count++
			o := c.send(fmt.Sprintf("first-%s-%d", route[:5], c.count), route, "key-large")
			return o.status == http.StatusOK && o.complete
		})
	}
	return tb
}

func (tb *testbed) caller(n int) *caller {
	return &caller{all: tb.all, n: n, rng: rand.New(rand.NewSource(tb.all.seed + int64(n)))}
}

// checkResults checks the outcomes of all requests and reports every violation as a test error.
func (tb *testbed) checkResults(t *testing.T) {
	t.Helper()
	served, refused, failed := tb.all.check()
	tb.checkCut(t)
	tb.platform.mu.Lock()
	defer tb.platform.mu.Unlock()
	budgets := map[string]uint64{"large": prepaid, "small": prepaidSmall}
	maps.Copy(budgets, tb.platform.organisations)
	for tenant, most := range budgets {
		if tb.platform.tokensUsed[tenant] > most {
			tb.platform.violations = append(tb.platform.violations, fmt.Sprintf("tenant %s used %d tokens, budget %d", tenant, tb.platform.tokensUsed[tenant], most))
		}
	}
	t.Logf("served %d, refused %d, failed %d; tokens used %v", served, refused, failed, tb.platform.tokensUsed)
	for _, b := range append(tb.platform.violations, tb.unexpectedExits()...) {
		t.Error(b)
	}
}

// TestRequestPath covers a request of each kind, an exhausted budget, a graceful shutdown
// during a stream and a restart of all processes.
func TestRequestPath(t *testing.T) {
	tb := newTestbed(t, 1, 3, 2, 2, 2)
	c := tb.caller(0)
	for i, route := range []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"} {
		o := c.send(fmt.Sprintf("path-%d", i), route, "key-large")
		tb.all.record(o)
		if o.status != http.StatusOK || !o.complete {
			t.Fatalf("%s: status %d, complete %v: %s", route, o.status, o.complete, o.body)
		}
	}
	if o := c.send("wrong-key", "plain/safe", "none"); o.status != http.StatusUnauthorized {
		t.Fatalf("an unknown key got %d", o.status)
	}
	if o := c.send("wrong-route", "none", "key-large"); o.status != http.StatusNotFound {
		t.Fatalf("an unknown route got %d", o.status)
	}
	tb.exhaustBudget(t, c)
	tb.stopDuringStream(t)
	tb.restartAll(t)
	tb.checkResults(t)
}

// exhaustBudget spends the small budget until it is refused as exhausted. While the rest is
// split between leases, requests may be refused with Retry-After; the budget is never
// overspent.
func (tb *testbed) exhaustBudget(t *testing.T, c *caller) {
	t.Helper()
	n := 0
	waitFor(t, "the small budget is refused as exhausted", func() bool {
		n++
		o := c.send(fmt.Sprintf("dry-%d", n), "stream/once", "key-small")
		tb.all.record(o)
		return o.status == http.StatusPaymentRequired
	})
	tb.platform.mu.Lock()
	defer tb.platform.mu.Unlock()
	if used := tb.platform.tokensUsed["small"]; used < prepaidSmall*8/10 {
		t.Fatalf("refused as exhausted after %d of %d tokens", used, prepaidSmall)
	}
}

// stopDuringStream shuts an entry box down during a stream, which has to complete.
func (tb *testbed) stopDuringStream(t *testing.T) {
	t.Helper()
	entry := tb.withRole("entry")[0]
	conn, err := net.Dial("tcp", tb.address(entry, tb.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const limit = 1000
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: stopped\r\nApi-Key: key-large\r\nToken-Count: 100,%d\r\nContent-Length: 15\r\n\r\nbody of stopped", limit)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the stream did not start: %v", err)
	}
	exited := entry.signal(syscall.SIGTERM)
	lines := bufio.NewScanner(resp.Body)
	last := ""
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			last = lines.Text()
		}
	}
	if want := fmt.Sprintf("id: %d", events(limit)-1); lines.Err() != nil || last != want {
		t.Fatalf("the stream ended at %q (%v), want %q", last, lines.Err(), want)
	}
	<-exited
	if err := entry.start(); err != nil {
		t.Fatal(err)
	}
	tb.ready(t)
}

// restartAll kills all processes and restarts them with the data that they have stored.
func (tb *testbed) restartAll(t *testing.T) {
	t.Helper()
	if !tb.platform.configure(7, waitLimit) {
		t.Fatal("a configuration was not acknowledged")
	}
	tb.killAll()
	tb.startAll(t)
	waitFor(t, "the configuration survives the restart", func() bool {
		version := readVersion(tb.platform.control[0])
		if version != 0 && version < 7 {
			t.Fatalf("configuration version %d after the restart, want 7", version)
		}
		return version == 7
	})
	tb.ready(t)
	c := tb.caller(2)
	waitFor(t, "requests are served again", func() bool {
		c.count++
		o := c.send(fmt.Sprintf("again-%d", c.count), "stream/resume", "key-large")
		tb.all.record(o)
		return o.status == http.StatusOK && o.complete
	})
}

// TestCausesFromLogs checks for three kinds of failed requests that the cause can be found
// from the request id and the logs alone: see docs/OPERATIONS.md.
func TestCausesFromLogs(t *testing.T) {
	tb := newTestbed(t, 2, 1, 1, 1, 1)
	c := tb.caller(0)
	for i := range 200 {
		o := c.send(fmt.Sprintf("spend-%d", i), "stream/once", "key-small")
		tb.all.record(o)
		if o.status == http.StatusPaymentRequired {
			break
		}
	}
	tb.all.record(c.send("refused", "stream/once", "key-small"))
	for _, sv := range tb.platform.servers {
		sv.mu.Lock()
		sv.failShare = 1
		sv.mu.Unlock()
	}
	tb.all.record(c.send("no-answer", "plain/unsafe", "key-large"))
	tb.platform.servers[0].mu.Lock()
	tb.platform.servers[0].failShare = 0
	tb.platform.servers[0].mu.Unlock()
	tb.breakStream(t)
	cases := map[string]struct{ outcome, needs string }{
		"refused":   {outcome: "budget_exhausted", needs: "budget_left"},
		"no-answer": {outcome: "target_failed", needs: "no answer"},
		"broken":    {outcome: "broken off", needs: "broke off after event"},
	}
	for id, want := range cases {
		waitFor(t, "the cause of request "+id+" is in the logs", func() bool {
			line := requestLogLine(tb.withRole("entry")[0].logText(), id)
			return line["outcome"] == want.outcome && strings.Contains(fmt.Sprint(line), want.needs) && line["table_version"] != nil
		})
	}
	tb.checkResults(t)
}

// breakStream resets the connection to the server during a stream.
func (tb *testbed) breakStream(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", tb.address(tb.withRole("entry")[0], tb.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: broken\r\nApi-Key: key-large\r\nToken-Count: 100,2000\r\nContent-Length: 14\r\n\r\nbody of broken")
	r := bufio.NewReader(conn)
	if _, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	}
	tb.platform.servers[0].link.reset()
	for err == nil {
		_, err = r.ReadByte()
	}
}

// requestLogLine returns the log line with the outcome of a request, or nil.
func requestLogLine(log, id string) map[string]any {
	for _, text := range strings.Split(log, "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id && strings.HasPrefix(fmt.Sprint(line["msg"]), "request ") {
			return line
		}
	}
	return nil
}
