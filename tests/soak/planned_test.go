// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// stopLimit is the time that a box has for a planned stop before it is killed.
	stopLimit = 10 * time.Second
	// earlyInStop is how long after the signal to stop a box may accept a request that it can't finish, and
	// lateInStop from when on the request must have been at a server for that.
	earlyInStop = 3 * time.Second
	lateInStop  = stopLimit * 5 / 6
	// plannedLength is how long the planned work of a test goes on, plannedCallers its number of callers.
	plannedLength  = 12 * time.Second
	plannedCallers = 30
	// manyRoutes is the number of routes that one change adds.
	manyRoutes = 1400
)

// plannedStop is a planned stop of a box.
type plannedStop struct {
	box          string
	began, ended time.Time
}

// plannedWork is what the platform does to boxes and to the configuration on purpose.
type plannedWork struct {
	tb *testbed

	mu sync.Mutex
	// busy has the boxes that stop or start, down those of them without a process that has begun to run.
	busy, down map[string]bool
	stops      []plannedStop
	// repeats, reloads and changes count signals to boxes that were stopping, SIGHUPs and
	// acknowledged configurations.
	repeats, reloads, changes int
}

// stopInSeries stops random entry boxes, at times two at once, and starts them again until stop is
// closed. A box that runs at the end of its time is killed, as on the users' platform.
func (w *plannedWork) stopInSeries(rng *rand.Rand, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	entries := w.tb.withRole("entry")
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.Intn(1000)) * time.Millisecond):
		}
		b, isRepeated := entries[rng.Intn(len(entries))], rng.Intn(2) == 0
		if !w.occupy(b) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.restart(b, isRepeated)
		}()
	}
}

// occupy reserves a box for a stop. At most half of the entry boxes stop or start at a time.
func (w *plannedWork) occupy(b *box) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[b.name] || 2*len(w.busy) >= len(w.tb.all.entries) {
		return false
	}
	w.busy[b.name] = true
	return true
}

// restart stops a box, with a second signal if isRepeated is set, and starts it again.
func (w *plannedWork) restart(b *box, isRepeated bool) {
	s := plannedStop{box: b.name, began: time.Now()}
	exited := b.signal(syscall.SIGTERM)
	if isRepeated {
		time.Sleep(500 * time.Millisecond)
		b.signal(syscall.SIGTERM)
	}
	select {
	case <-exited:
	case <-time.After(time.Until(s.began.Add(stopLimit))):
		<-b.signal(syscall.SIGKILL)
	}
	s.ended = time.Now()
	starts := strings.Count(b.logText(), startLine)
	w.mu.Lock()
	w.down[b.name] = true
	w.stops = append(w.stops, s)
	if isRepeated {
		w.repeats++
	}
	w.mu.Unlock()
	_ = b.start()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline) && strings.Count(b.logText(), startLine) == starts; {
		time.Sleep(10 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, b.name)
	delete(w.down, b.name)
}

// startLine is in the log line of a box that has begun to run.
const startLine = `"msg":"start"`

// reloadInSeries sends SIGHUP to boxes, one at a time or all at once, until stop is closed. Half of them
// find changed settings.
func (w *plannedWork) reloadInSeries(rng *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.Intn(300)) * time.Millisecond):
		}
		list := w.tb.boxes
		if n%4 > 0 {
			i := rng.Intn(len(list))
			list = list[i : i+1]
		}
		for _, b := range list {
			w.reload(b, rng)
		}
	}
}

func (w *plannedWork) reload(b *box, rng *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[b.name] {
		return
	}
	if rng.Intn(2) == 0 {
		_ = b.writeSettings("HAVENWINCH_FIRST_START=false", fmt.Sprintf("HAVENWINCH_RETRY_RATIO=0.%d", 1+rng.Intn(8)))
	}
	b.signal(syscall.SIGHUP)
	w.reloads++
}

// changeInSeries changes the configuration until stop is closed. One change adds many routes.
func (w *plannedWork) changeInSeries(rng *rand.Rand, stop <-chan struct{}) {
	for version := uint64(10); ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.Intn(600)) * time.Millisecond):
		}
		if w.tb.platform.sendConfiguration(version, w.configuration(version, rng), 2*time.Second) {
			w.mu.Lock()
			w.changes++
			w.mu.Unlock()
		}
	}
}

// configuration returns a configuration with other time-outs, limits and keys, and with routes that come
// and go.
func (w *plannedWork) configuration(version uint64, rng *rand.Rand) []byte {
	var document map[string]any
	_ = json.Unmarshal(w.tb.platform.configuration(version, fmt.Sprint("key-", version)), &document)
	routes := document["routes"].([]any)
	for _, r := range routes {
		r.(map[string]any)["timeout_ms"] = 8000 + rng.Intn(4000)
		r.(map[string]any)["target_latency_ms"] = 1000 + rng.Intn(2000)
	}
	added := rng.Intn(3)
	if version%8 == 0 {
		added = manyRoutes
	}
	for i := range added {
		routes = append(routes, map[string]any{"name": fmt.Sprint("added-", i), "hostname": "site.example", "path_prefix": fmt.Sprintf("/added-%d/", i),
			"type": "safe", "timeout_ms": 5000, "target_latency_ms": 2000, "service": plainService, "max_attempts": 2})
	}
	document["routes"] = routes
	document["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 40000 + rng.Intn(100000),
		"header_timeout_ms": 2000 + rng.Intn(2000), "idle_timeout_ms": []int{15000, 2000, 400}[rng.Intn(3)]}
	body, _ := json.Marshal(document)
	return body
}

// lost returns descriptions of the requests whose connection ended with no complete answer, although a box
// had read them and a server had them or lossSlack had passed. A connection that was reset had bytes that
// were never read.
func (w *plannedWork) lost(requests []keptRequest) []string {
	var list []string
	for _, r := range requests {
		after := r.endedAt.Sub(r.sentAt)
		handed := w.tb.platform.runCount(r.id) > 0
		if r.complete || after > nearTimeout || !handed && (r.reset || after <= lossSlack) {
			continue
		}
		if slices.ContainsFunc(w.stops, func(s plannedStop) bool { return handed && s.mayCut(r) }) {
			continue
		}
		list = append(list, fmt.Sprintf("request %s (%s, %s) at %s: status %d, the connection ended %s after its last byte, handed to a server: %v; %v", r.id, r.route, r.form, r.box, r.status, after, handed, requestLogLine(w.tb.logOf(r.box), r.id)))
	}
	return list
}

// mayCut reports whether the end of a stop may have cut a request that a server was still working on.
func (s plannedStop) mayCut(r keptRequest) bool {
	return s.box == r.box && r.sentAt.Before(s.began.Add(earlyInStop)) && r.endedAt.After(s.began.Add(lateInStop)) && r.endedAt.Before(s.ended.Add(time.Second))
}

// logOf returns the log of the box with the given name.
func (f *fleet) logOf(name string) string {
	for _, b := range f.boxes {
		if b.name == name {
			return b.logText()
		}
	}
	return ""
}

// Guards against requests on kept connections that are lost beside planned stops, repeated stop signals,
// reloads and changes of the configuration, in series that overlap. SOAK_SEEDS sets other seeds.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	for _, seed := range chosenSeeds(t, []int64{91}) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playPlannedWork(t, seed) })
	}
}

func playPlannedWork(t *testing.T, seed int64) {
	tb := newTestbed(t, seed, 3, 6, 4, 2)
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, seed)
		}
	})
	k := &keptCallers{tb: tb, routes: []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}, outputs: []uint64{60, 300, 1200}}
	w := &plannedWork{tb: tb, busy: map[string]bool{}, down: map[string]bool{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, run := range []func(){
		func() { k.run(plannedCallers, stop) },
		func() { w.stopInSeries(rand.New(rand.NewSource(seed)), stop) },
		func() { w.reloadInSeries(rand.New(rand.NewSource(seed+1)), stop) },
		func() { w.changeInSeries(rand.New(rand.NewSource(seed+2)), stop) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run()
		}()
	}
	time.Sleep(plannedLength)
	close(stop)
	wg.Wait()
	complete := 0
	for _, r := range k.requests {
		if r.complete {
			complete++
		}
	}
	t.Logf("%d of %d requests have a complete answer; %d stops, %d of them with a second signal, %d reloads, %d changes", complete, len(k.requests), len(w.stops), w.repeats, w.reloads, w.changes)
	if complete == 0 || len(w.stops) < 2 || w.repeats == 0 || w.reloads == 0 || w.changes == 0 {
		t.Error("some of the planned work was not played")
	}
	for _, v := range slices.Concat(w.lost(k.requests), tb.platform.violations, tb.unexpectedExits()) {
		t.Error(v)
	}
}
