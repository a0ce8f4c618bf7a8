// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak proves the way through platform/ on real processes, before a
// stand-in of the users' platform, on calm runs and under random faults.
package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// world is a fleet before a site.
type world struct {
	*fleet
	site *site
	all  *callers
	// copies counts the copies of calls under which servers end.
	copies int
}

func newWorld(t *testing.T, seed int64, controls, entries, engines, portals int) *world {
	t.Helper()
	return startWorld(t, newFleet(t, controls, entries), seed, engines, portals)
}

// startWorld starts a fleet and the site that it serves.
func startWorld(t *testing.T, f *fleet, seed int64, engines, portals int) *world {
	t.Helper()
	w := &world{fleet: f}
	w.startAll(t)
	w.site = newSite(w.addresses("control", w.ports.registry))
	t.Cleanup(w.site.end)
	w.all = &callers{site: w.site, entries: w.addresses("entry", w.ports.caller), names: w.names("entry"), seed: seed}
	if !w.site.configure(1, waitLimit) {
		t.Fatal("the first configuration was not acknowledged")
	}
	for i := range engines + portals {
		service := engineService
		if i >= engines {
			service = plainService
		}
		sv, err := w.site.start(fmt.Sprintf("i-%d", i), service, seed+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(sv.stop)
	}
	w.ready(t)
	c := w.caller(1000)
	for _, route := range []string{"plain/safe", "stream/resume"} {
		eventually(t, route+" is served", func() bool {
			c.count++
			o := c.ask(fmt.Sprintf("first-%s-%d", route[:5], c.count), route, "key-large")
			return o.status == http.StatusOK && o.whole
		})
	}
	return w
}

func (w *world) caller(n int) *caller {
	return &caller{all: w.all, n: n, rng: rand.New(rand.NewSource(w.all.seed + int64(n)))}
}

// verdict fails the test with what was broken.
func (w *world) verdict(t *testing.T) {
	t.Helper()
	served, refused, failed := w.all.check()
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	for tenant, most := range map[string]uint64{"large": prepaid, "small": prepaidSmall} {
		if w.site.given[tenant] > most {
			w.site.broken = append(w.site.broken, fmt.Sprintf("tenant %s was given %d tokens of %d", tenant, w.site.given[tenant], most))
		}
	}
	t.Logf("served %d, refused %d, failed %d; given %v", served, refused, failed, w.site.given)
	for _, b := range append(w.site.broken, w.endedByThemselves()...) {
		t.Error(b)
	}
}

// The way of each kind of request, a budget that runs dry, a planned stop with
// a stream in progress, and a restart of everything.
func TestWholePath(t *testing.T) {
	w := newWorld(t, 1, 3, 2, 2, 2)
	c := w.caller(0)
	for i, route := range []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"} {
		o := c.ask(fmt.Sprintf("path-%d", i), route, "key-large")
		w.all.take(o)
		if o.status != http.StatusOK || !o.whole {
			t.Fatalf("%s: status %d, whole %v: %s", route, o.status, o.whole, o.body)
		}
	}
	if o := c.ask("wrong-key", "plain/safe", "none"); o.status != http.StatusUnauthorized {
		t.Fatalf("an unknown key got %d", o.status)
	}
	if o := c.ask("wrong-route", "none", "key-large"); o.status != http.StatusNotFound {
		t.Fatalf("an unknown route got %d", o.status)
	}
	w.runDry(t, c)
	w.stopWithAStream(t)
	w.restartAll(t)
	w.verdict(t)
}

// runDry spends a small budget: at the end it is refused as exhausted, or, when
// what is left lies in parts, with a time to come back; never overspent.
func (w *world) runDry(t *testing.T, c *caller) {
	t.Helper()
	n := 0
	eventually(t, "the small budget is refused as exhausted", func() bool {
		n++
		o := c.ask(fmt.Sprintf("dry-%d", n), "stream/once", "key-small")
		w.all.take(o)
		return o.status == http.StatusPaymentRequired
	})
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	if used := w.site.given["small"]; used < prepaidSmall*8/10 {
		t.Fatalf("refused as exhausted after %d of %d tokens", used, prepaidSmall)
	}
}

// stopWithAStream stops an entry box while it carries a stream.
func (w *world) stopWithAStream(t *testing.T) {
	t.Helper()
	entry := w.of("entry")[0]
	conn, err := net.Dial("tcp", w.at(entry, w.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const limit = 1000
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: stopped\r\nApi-Key: key-large\r\nToken-Count: 100,%d\r\nContent-Length: 15\r\n\r\nbody of stopped", limit)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the stream did not begin: %v", err)
	}
	ended := entry.signal(syscall.SIGTERM)
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
	<-ended
	if err := entry.start(); err != nil {
		t.Fatal(err)
	}
	w.ready(t)
}

// restartAll kills every process at once and starts them again.
func (w *world) restartAll(t *testing.T) {
	t.Helper()
	if !w.site.configure(7, waitLimit) {
		t.Fatal("a configuration was not acknowledged")
	}
	w.killAll()
	w.startAll(t)
	eventually(t, "the configuration is read back", func() bool {
		version := readVersion(w.site.control[0])
		if version != 0 && version < 7 {
			t.Fatalf("version %d was read back", version)
		}
		return version == 7
	})
	w.ready(t)
	c := w.caller(2)
	eventually(t, "requests are served again", func() bool {
		c.count++
		o := c.ask(fmt.Sprintf("again-%d", c.count), "stream/resume", "key-large")
		w.all.take(o)
		return o.status == http.StatusOK && o.whole
	})
}

// The cause of a failed request is found from its id and the logs alone, for
// three kinds: see docs/OPERATIONS.md.
func TestCausesFromLogs(t *testing.T) {
	w := newWorld(t, 2, 1, 1, 1, 1)
	c := w.caller(0)
	for i := range 200 {
		o := c.ask(fmt.Sprintf("spend-%d", i), "stream/once", "key-small")
		w.all.take(o)
		if o.status == http.StatusPaymentRequired {
			break
		}
	}
	w.all.take(c.ask("refused", "stream/once", "key-small"))
	for _, sv := range w.site.servers {
		sv.mu.Lock()
		sv.failShare = 1
		sv.mu.Unlock()
	}
	w.all.take(c.ask("no-answer", "plain/unsafe", "key-large"))
	w.site.servers[0].mu.Lock()
	w.site.servers[0].failShare = 0
	w.site.servers[0].mu.Unlock()
	w.breakStream(t)
	cases := map[string]struct{ outcome, needs string }{
		"refused":   {outcome: "budget_exhausted", needs: "budget_left"},
		"no-answer": {outcome: "target_failed", needs: "no answer"},
		"broken":    {outcome: "broken off", needs: "broke off after event"},
	}
	for id, want := range cases {
		eventually(t, "the cause of "+id+" is in the logs", func() bool {
			line := lineOf(w.of("entry")[0].lines(), id)
			return line["outcome"] == want.outcome && strings.Contains(fmt.Sprint(line), want.needs) && line["table_version"] != nil
		})
	}
	w.verdict(t)
}

// breakStream resets a stream on its way from its server.
func (w *world) breakStream(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", w.at(w.of("entry")[0], w.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: broken\r\nApi-Key: key-large\r\nToken-Count: 100,2000\r\nContent-Length: 14\r\n\r\nbody of broken")
	r := bufio.NewReader(conn)
	if _, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	}
	w.site.servers[0].link.reset()
	for err == nil {
		_, err = r.ReadByte()
	}
}

// lineOf finds the line on how a request ended.
func lineOf(log, id string) map[string]any {
	for _, text := range strings.Split(log, "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id && strings.HasPrefix(fmt.Sprint(line["msg"]), "request ") {
			return line
		}
	}
	return nil
}
