// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/tests/flood"
)

const (
	// floodHeader is the request header with the name of the form, floodTrickle that of calls that are answered
	// in a trickle.
	floodHeader  = "Flood"
	floodTrickle = "Flood-Trickle"
	// floodDeadline is the deadline of the calls. It is beyond the limits of the box for heads.
	floodDeadline = 7 * time.Second
	// slowBytes is what callers that read slowly read at a time.
	slowBytes = 16
	// floodCalls is how many calls each box gets at once.
	floodCalls = 200
	// floodServers is the number of servers of a service, floodSlots how many calls one takes at once.
	floodServers, floodSlots = 4, 100
	// leastServed is the least share of other calls at a box that are served.
	leastServed = 0.9
	// floodEnv makes the test play each form by itself, too.
	floodEnv = "SOAK_EACH_FORM"
)

// floodServerSet is a set of servers that send without end.
type floodServerSet struct {
	mu sync.Mutex
	// met counts the answers by form, reports the load reports.
	met, reports map[string]int
}

// start starts a server. Its load reports are of a form, or sound without one.
func (f *floodServerSet) start(t *testing.T, tb *testbed, id, service, report string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sv := &server{platform: tb.platform, id: id, service: service, zone: defaultZone, version: defaultVersion, state: "ready", startedAt: time.Now().UnixMilli(),
		link: &link{address: l.Addr().String(), listener: l}, http: &http.Server{}, room: &room{slots: floodSlots}, rng: rand.New(rand.NewSource(tb.all.seed)), quit: make(chan struct{}), runs: map[string]*run{}}
	go f.accept(sv, l, report)
	go sv.sendHeartbeats()
	t.Cleanup(sv.stop)
}

func (f *floodServerSet) accept(sv *server, l net.Listener, report string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); f.serve(sv, c, r, report); {
			}
		}()
	}
}

// serve answers a request and reports whether the connection is left open for the next one.
func (f *floodServerSet) serve(sv *server, c net.Conn, reader *bufio.Reader, report string) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if report != "" && r.URL.Path == "/api/report" {
		f.count(f.reports, report)
		f.send(sv, c, flood.Forms[report], r)
		return false
	}
	if answer := httptest.NewRecorder(); sv.handleCommand(answer, r) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", answer.Code, answer.Body.Len(), answer.Body)
		return err == nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	name := r.Header.Get(floodHeader)
	form, ok := flood.Forms[name]
	if !ok {
		return false
	}
	f.count(f.met, name)
	f.send(sv, c, form, r)
	return false
}

func (f *floodServerSet) count(counts map[string]int, form string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts[form]++
}

// send sends a form until the connection ends.
func (f *floodServerSet) send(sv *server, c net.Conn, form flood.Form, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	form.Send(c, flood.Request{ID: id, Event: event(id, firstEvent(r)), Trickles: r.Header.Get(floodTrickle) != ""}, sv.quit)
}

// floodConfiguration returns a configuration with the routes to servers that send without end.
func floodConfiguration(t *testing.T, p *platform, version uint64) []byte {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(p.configuration(version), &document); err != nil {
		t.Fatal(err)
	}
	add := func(key, field string, change func(entry map[string]any)) {
		list := document[key].([]any)
		for _, e := range slices.Clone(list) {
			entry := maps.Clone(e.(map[string]any))
			entry[field] = "flood-" + entry[field].(string)
			change(entry)
			list = append(list, entry)
		}
		document[key] = list
	}
	add("routes", "name", func(entry map[string]any) {
		entry["path_prefix"] = "/" + entry["name"].(string) + "/"
		entry["service"] = "flood-" + entry["service"].(string)
	})
	add("services", "name", func(entry map[string]any) { entry["max_connections"] = 2 * floodSlots })
	body, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// floodCall is a call to a server that sends without end, and what came of it.
type floodCall struct {
	id, route, form string
	entry           int
	trickles        bool
	// readsSlowly is set if the caller takes few bytes at a time.
	readsSlowly bool

	took   time.Duration
	bytes  int64
	status string
	err    error
}

func (c *floodCall) String() string {
	return fmt.Sprintf("%s (%s, %s, trickle %v, read slowly %v, box %d): after %s, %d bytes, %q (%v)", c.id, c.route, c.form, c.trickles, c.readsSlowly, c.entry+1, c.took, c.bytes, c.status, c.err)
}

// send sends the call and reads until its connection ends.
func (c *floodCall) send(address string) {
	began := time.Now()
	defer func() { c.took = time.Since(began) }()
	// A box that gets many connections at once may not take all of them at the first try.
	limit := began.Add(floodDeadline + answerLimit - keptDeadline)
	conn, err := (&net.Dialer{Deadline: limit}).Dial("tcp", address)
	if err != nil {
		c.err = err
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(limit)
	extra, body := "", "body of "+c.id
	if c.trickles {
		extra = floodTrickle + ": 1\r\n"
	}
	if strings.Contains(c.route, "stream") {
		extra += fmt.Sprintf("Token-Count: 200,%d\r\n", outputLimit)
	}
	if _, c.err = fmt.Fprintf(conn, "POST /flood-%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key-large\r\n%s: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		c.route, c.id, floodDeadline.Milliseconds(), floodHeader, c.form, extra, len(body), body); c.err != nil {
		return
	}
	lines := bufio.NewReader(conn)
	if c.readsSlowly {
		_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	c.status, _ = lines.ReadString('\n')
	for c.err == nil && c.readsSlowly && time.Since(began) < floodDeadline {
		time.Sleep(slowPause)
		var n int
		n, c.err = lines.Read(make([]byte, slowBytes))
		c.bytes += int64(n)
	}
	if c.err == io.EOF {
		c.err = nil
		return
	}
	if c.err == nil {
		// With a small buffer the kernel hands over what it still has only slowly.
		_ = conn.(*net.TCPConn).SetReadBuffer(drainBuffer)
		var n int64
		n, c.err = io.Copy(io.Discard, lines)
		c.bytes += n
	}
}

// hasEnded reports whether the box ended the call.
func (c *floodCall) hasEnded() bool {
	e, ok := c.err.(net.Error)
	return !ok || !e.Timeout()
}

// floodCase is a set of calls that are sent at once.
type floodCase struct {
	forms []string
	// slow and trickling are the shares of calls that are read slowly and that are answered in a trickle.
	slow, trickling float64
}

var (
	allFloodForms    = floodCase{forms: flood.Names(), slow: 0.25, trickling: 0.25}
	slowlyReadBodies = floodCase{forms: []string{"length", "chunk", "chunks", "no framing"}, slow: 1}
)

// plan draws the calls to the boxes with the given indexes, in turn of all forms.
func (fc floodCase) plan(rng *rand.Rand, prefix string, entries []int) []*floodCall {
	var list []*floodCall
	for _, entry := range entries {
		for n := range floodCalls {
			c := &floodCall{id: fmt.Sprintf("flood-%s-%d-%d", prefix, entry, n), form: fc.forms[n%len(fc.forms)], entry: entry, route: pick(rng, allRoutes), trickles: rng.Float64() < fc.trickling, readsSlowly: rng.Float64() < fc.slow}
			if flood.Forms[c.form].IsStream {
				c.route = pick(rng, []string{"stream/resume", "stream/once"})
			}
			list = append(list, c)
		}
	}
	return list
}

// sendFlood sends all calls at once and waits for them.
func (tb *testbed) sendFlood(list []*floodCall) {
	var wg sync.WaitGroup
	for _, c := range list {
		wg.Go(func() { c.send(tb.all.entries[c.entry]) })
	}
	wg.Wait()
}

// checkFlood checks that all calls have ended, and logs how long those in a trickle were held.
func checkFlood(t *testing.T, list []*floodCall) {
	t.Helper()
	held := map[string][]time.Duration{}
	for _, c := range list {
		if !c.hasEnded() {
			t.Errorf("not ended %s after its deadline: %s", answerLimit-keptDeadline, c)
		}
		if c.trickles {
			held[c.form] = append(held[c.form], c.took.Round(10*time.Millisecond))
		}
	}
	for _, form := range slices.Sorted(maps.Keys(held)) {
		slices.Sort(held[form])
		t.Logf("%d calls held by a trickle of %q: median %s, longest %s", len(held[form]), form, held[form][len(held[form])/2], held[form][len(held[form])-1])
	}
}

// checkOthersServed checks that each box has served the other calls.
func (tb *testbed) checkOthersServed(t *testing.T) {
	t.Helper()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	boxes := map[string]served{}
	for _, o := range tb.all.outcomes {
		s := boxes[o.box]
		s.tries++
		if o.status == http.StatusOK && o.complete {
			s.served++
		} else {
			t.Logf("request %s (%s) at %s: status %d, complete %v, after %s; %.100q; %s", o.id, o.route, o.box, o.status, o.complete, o.endedAt.Sub(o.sentAt), o.body, requestLines(tb.logOf(o.box))[o.id].text)
		}
		boxes[o.box] = s
	}
	for _, name := range tb.all.names {
		t.Logf("%s: %s other calls served", name, boxes[name])
		if boxes[name].share() < leastServed {
			t.Errorf("%s served %s other calls, want nine in ten", name, boxes[name])
		}
	}
}

// Guards against boxes that keep what servers send without end until their memory is full. SOAK_SEEDS sets other
// seeds, SOAK_EACH_FORM=1 plays each form by itself, too.
func TestMemoryUnderBytesWithoutEnd(t *testing.T) {
	for _, seed := range chosenSeeds(t, []int64{99}) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			tb, fl := startFlood(t, seed)
			tb.playFlood(t, "all forms", allFloodForms)
			tb.checkFormsMet(t, fl)
			if os.Getenv(floodEnv) != "" {
				tb.playEachForm(t)
			}
			tb.checkFlooded(t)
		})
	}
}

// Guards against boxes that keep bodies without end for callers that read slowly, and against other callers that
// are turned away for them.
func TestMemoryUnderSlowlyReadBodies(t *testing.T) {
	for _, seed := range chosenSeeds(t, []int64{99}) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			tb, _ := startFlood(t, seed)
			tb.playFlood(t, "bodies read slowly", slowlyReadBodies)
			tb.checkFlooded(t)
		})
	}
}

// floodTestbed is a testbed with servers that send without end.
type floodTestbed struct {
	*testbed
	rng *rand.Rand
	// stopLoad ends the other calls.
	stopLoad func()
}

// startFlood starts boxes of which the first has no links to the servers, so that others carry its connections,
// and calls to sound servers at each of them.
func startFlood(t *testing.T, seed int64) (*floodTestbed, *floodServerSet) {
	t.Helper()
	f, views := newPartlyViewedFleet(t, 3, 3, 1)
	limitMemory(t, f)
	views[f.withRole("entry")[0].name].set(refusingFault)
	fl := &floodServerSet{met: map[string]int{}, reports: map[string]int{}}
	tb := &floodTestbed{testbed: startTestbed(t, f, seed, 4, 4), rng: rand.New(rand.NewSource(seed))}
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, seed)
		}
	})
	if !tb.platform.sendConfiguration(2, floodConfiguration(t, tb.platform, 2), waitLimit) {
		t.Fatal("the configuration was not acknowledged")
	}
	for i := range 2 * floodServers {
		fl.start(t, tb.testbed, fmt.Sprint("i-flood-", i), "flood-"+[]string{engineService, plainService}[i%2], "")
	}
	for i, form := range flood.Names() {
		if !flood.Forms[form].IsStream {
			fl.start(t, tb.testbed, fmt.Sprint("i-report-", i), "flood-"+engineService, form)
		}
	}
	tb.awaitDirectory(t, tb.withRole("entry"))
	tb.awaitFloodServers(t, fl)
	for entry := range tb.all.entries {
		tb.awaitServed(t, entry)
	}
	tb.stopLoad = tb.startSteadyLoad()
	t.Cleanup(tb.stopLoad)
	return tb, fl
}

// checkFlooded ends the other calls and checks them.
func (tb *floodTestbed) checkFlooded(t *testing.T) {
	t.Helper()
	tb.stopLoad()
	tb.checkCarried(t, tb.withRole("entry")[0])
	tb.checkOthersServed(t)
	tb.checkResults(t)
}

// checkFormsMet checks that servers have sent all forms in answers, and in load reports those that these can have.
func (tb *testbed) checkFormsMet(t *testing.T, fl *floodServerSet) {
	t.Helper()
	for form, f := range flood.Forms {
		waitFor(t, "a load report has the form "+form, func() bool {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			return f.IsStream || fl.reports[form] > 0
		})
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	t.Logf("answers without end: %v; load reports: %v", fl.met, fl.reports)
	for form := range flood.Forms {
		if fl.met[form] == 0 {
			t.Errorf("no server sent %q without end", form)
		}
	}
}

// checkCarried checks that calls of a box to servers that send without end went over other boxes.
func (tb *testbed) checkCarried(t *testing.T, b *box) {
	t.Helper()
	count := 0
	for id, line := range requestLines(b.logText()) {
		if strings.HasPrefix(id, "flood-") && !strings.HasPrefix(id, "flood-first-") && strings.Contains(line.text, `"carried_by"`) {
			count++
		}
	}
	t.Logf("%d calls of %s were carried", count, b.name)
	if count == 0 {
		t.Errorf("no call of %s was carried by another box", b.name)
	}
}

// playFlood sends the calls of a case to the box without links and to one with links.
func (tb *floodTestbed) playFlood(t *testing.T, name string, fc floodCase) {
	t.Helper()
	list := fc.plan(tb.rng, strings.ReplaceAll(name, " ", "-"), []int{0, 1})
	tb.sendFlood(list)
	checkFlood(t, list)
	statuses := map[string]int{}
	for _, c := range list {
		statuses[fmt.Sprintf("box %d %s", c.entry+1, strings.TrimSpace(c.status))]++
	}
	t.Logf("%d calls: %v", len(list), statuses)
	tb.checkMemory(t)
}

// playEachForm plays the forms one after the other.
func (tb *floodTestbed) playEachForm(t *testing.T) {
	for _, form := range flood.Names() {
		fc := floodCase{forms: []string{form}, slow: 0.25, trickling: 0.5}
		t.Run(form, func(t *testing.T) { tb.playFlood(t, "each-"+form, fc) })
	}
}

// awaitServed waits until the box with the given index serves calls on all routes.
func (tb *testbed) awaitServed(t *testing.T, entry int) {
	t.Helper()
	c := tb.caller(2000 + entry)
	c.entry = entry + 1
	defer c.disconnect()
	for _, route := range allRoutes {
		waitFor(t, fmt.Sprintf("%s serves %s", tb.all.names[entry], route), func() bool {
			c.count++
			o := c.send(fmt.Sprintf("warm-%d-%s-%d", entry, strings.ReplaceAll(route, "/", "-"), c.count), route, "key-large")
			return o.status == http.StatusOK && o.complete
		})
	}
}

// awaitFloodServers waits until the boxes pass calls on to the servers that send without end.
func (tb *testbed) awaitFloodServers(t *testing.T, fl *floodServerSet) {
	t.Helper()
	count := func() (n int) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, m := range fl.met {
			n += m
		}
		return n
	}
	for entry := range 2 {
		for _, route := range []string{"plain/unsafe", "stream/once"} {
			n := 0
			waitFor(t, route+" is passed on", func() bool {
				n++
				before := count()
				c := &floodCall{id: fmt.Sprintf("flood-first-%d-%s-%d", entry, route[:5], n), route: route, form: "lines without a head", entry: entry}
				c.send(tb.all.entries[entry])
				return count() > before
			})
		}
	}
}
