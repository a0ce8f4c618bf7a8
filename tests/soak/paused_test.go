// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// pausedCentres is the number of data centres of a fleet whose servers pause, and pausedControls,
	// pausedEntries, pausedEngines and pausedPlain its numbers of boxes and servers.
	pausedCentres, pausedControls, pausedEntries, pausedEngines, pausedPlain = 4, 4, 8, 12, 4
	// pausedCallers is the number of callers, pausedDeadline how long each waits.
	pausedCallers  = 80
	pausedDeadline = 15 * time.Second
	// pausedEvents is the time between two events of a stream.
	pausedEvents = 20 * time.Millisecond
	// tableArrival is the time after which entry boxes have an acknowledged configuration.
	tableArrival = 2 * time.Second
	// pausedLength is how long servers pause in turn.
	pausedLength = 12 * time.Second
	// afterRestart is how long requests go on after all boxes have started again.
	afterRestart = 8 * time.Second
)

// pauses describes how servers pause.
type pauses struct {
	// shortest and longest bound the length of a pause.
	shortest, longest time.Duration
	// share is the share of the servers that pause, besides times at which all do.
	share float64
	// boxesPause is set if entry boxes pause, too.
	boxesPause bool
	// slots is how many requests an engine works on at once.
	slots int
	// engines is how many random engines pause each time, zero for all and the share in turn.
	engines int
	// deadlines are how long callers wait, empty for pausedDeadline.
	deadlines []time.Duration
	// noResume is set if all streams are of a route whose streams may not be resumed.
	noResume bool
	// restarts is set if all boxes are killed and started again at the end, pausesGoOn if servers pause
	// beside that and after it, too.
	restarts, pausesGoOn bool
}

// pausing is a fleet whose servers are processes that are paused by signals.
type pausing struct {
	*testbed
	pauses
	servers []*serverProcess

	mu sync.Mutex
	// total counts the pauses of servers.
	total int
}

// startPausing starts the fleet with the retry limits of the users' deployments.
func startPausing(t *testing.T, seed int64, p pauses) *pausing {
	t.Helper()
	f := newFleet(t, pausedControls, pausedEntries)
	for i, b := range f.boxes {
		b.centre = "zone-" + string(rune('a'+i%pausedCentres))
		b.env = append(b.env, "HAVENWINCH_DATA_CENTRE="+b.centre, "HAVENWINCH_RETRY_STOCK=52", "HAVENWINCH_RETRY_RATIO=0.2")
	}
	useBinary(earlierBin(), f.boxes...)
	s := &pausing{pauses: p}
	s.testbed = startTestbedWith(t, f, seed, nil, func(tb *testbed) {
		for i := range pausedEngines + pausedPlain {
			spec := serverSpec{ID: fmt.Sprintf("i-%d", i), Service: engineService, Zone: "zone-" + string(rune('a'+i%pausedCentres)), Slots: p.slots, Queue: 2 * p.slots, EventPause: pausedEvents}
			if i >= pausedEngines {
				spec.Service, spec.Slots, spec.Queue = plainService, defaultSlots, 24
			}
			s.servers = append(s.servers, tb.startServerProcess(t, spec))
		}
	})
	if !s.platform.sendConfiguration(2, s.configuration(2, rand.New(rand.NewSource(seed))), waitLimit) {
		t.Fatal("the configuration with the time-outs was not acknowledged")
	}
	for _, control := range s.platform.control {
		waitFor(t, control+" has the configuration with the time-outs", func() bool { return readVersion(control) >= 2 })
	}
	time.Sleep(tableArrival)
	return s
}

// pauseInSeries pauses servers, each time soon after a change of the configuration, until stop is closed.
func (s *pausing) pauseInSeries(rng *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rng.Intn(1500)) * time.Millisecond):
		}
		length := s.shortest + time.Duration(rng.Int63n(int64(s.longest-s.shortest)+1))
		paused := s.pausedServers(rng, n%2 == 0)
		var box *box
		if s.boxesPause {
			entries := s.withRole("entry")
			box = entries[rng.Intn(len(entries))]
			box.signal(syscall.SIGSTOP)
		}
		for _, p := range paused {
			p.pause()
		}
		s.mu.Lock()
		s.total += len(paused)
		s.mu.Unlock()
		time.Sleep(length)
		for _, p := range paused {
			p.resume()
		}
		if box != nil {
			box.signal(syscall.SIGCONT)
		}
	}
}

// pausedServers returns the servers that pause next.
func (s *pausing) pausedServers(rng *rand.Rand, all bool) []*serverProcess {
	if s.engines > 0 {
		var list []*serverProcess
		for _, i := range rng.Perm(pausedEngines)[:s.engines] {
			list = append(list, s.servers[i])
		}
		return list
	}
	var list []*serverProcess
	for _, p := range s.servers[:pausedEngines] {
		if all || rng.Float64() < s.share {
			list = append(list, p)
		}
	}
	return list
}

// configuration returns the users' limits with changed routes, time-outs and idle times.
func (s *pausing) configuration(version uint64, rng *rand.Rand) []byte {
	var document map[string]any
	_ = json.Unmarshal(s.platform.configuration(version, fmt.Sprint("key-", version)), &document)
	for _, r := range document["routes"].([]any) {
		r := r.(map[string]any)
		r["timeout_ms"], r["target_latency_ms"] = int(pausedDeadline/time.Millisecond)+rng.Intn(2000), 1000
		r["itl_target_ms"] = 400
	}
	for _, sv := range document["services"].([]any) {
		if e, ok := sv.(map[string]any)["engine"].(map[string]any); ok {
			e["slots"] = s.slots
		}
	}
	document["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": []int{15000, 8000, 2000}[rng.Intn(3)]}
	body, _ := json.Marshal(document)
	return body
}

// changeInSeries changes the configuration until stop is closed.
func (s *pausing) changeInSeries(rng *rand.Rand, stop <-chan struct{}) {
	for version := uint64(10); ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+rng.Intn(600)) * time.Millisecond):
		}
		s.platform.sendConfiguration(version, s.configuration(version, rng), 2*time.Second)
	}
}

// quickPauses are the cases that are played where SOAK_SHAPES is not set.
var quickPauses = []string{"for two seconds", "full engines"}

// Guards against answers that end because all or many servers are silent for a while, with the retry
// limits of a small deployment. SOAK_SHAPES=all plays all cases, SOAK_SEEDS sets other seeds, SOAK_SECONDS
// another length and HAVENWINCH_EARLIER_BIN an earlier daemon.
func TestPausedServersLoseNoAnswer(t *testing.T) {
	with := func(change func(*pauses)) pauses {
		p := pauses{shortest: 1800 * time.Millisecond, longest: 2400 * time.Millisecond, share: 0.6, slots: 32}
		change(&p)
		return p
	}
	cases := map[string]pauses{
		"for a second":     with(func(p *pauses) { p.shortest, p.longest = 900*time.Millisecond, 1300*time.Millisecond }),
		"for two seconds":  with(func(*pauses) {}),
		"for four seconds": with(func(p *pauses) { p.shortest, p.longest = 3200*time.Millisecond, 4400*time.Millisecond }),
		"full engines":     with(func(p *pauses) { p.longest, p.slots = 2800*time.Millisecond, 4 }),
		"one engine for long": with(func(p *pauses) {
			p.shortest, p.longest, p.engines, p.deadlines = 6*time.Second, 6*time.Second, 1, []time.Duration{5 * time.Second, pausedDeadline}
		}),
		"short deadlines":          with(func(p *pauses) { p.deadlines = []time.Duration{3 * time.Second, pausedDeadline} }),
		"boxes pause, too":         with(func(p *pauses) { p.boxesPause = true }),
		"streams without resuming": with(func(p *pauses) { p.noResume = true }),
		"all boxes start again":    with(func(p *pauses) { p.restarts = true }),
		"engines register anew":    with(func(p *pauses) { p.restarts, p.pausesGoOn = true, true }),
	}
	for name, c := range cases {
		if os.Getenv("SOAK_SHAPES") == "" && !slices.Contains(quickPauses, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for _, seed := range chosenSeeds(t, []int64{97}) {
				t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playPauses(t, seed, c) })
			}
		})
	}
}

func playPauses(t *testing.T, seed int64, c pauses) {
	s := startPausing(t, seed, c)
	t.Cleanup(func() {
		if t.Failed() {
			s.saveLogs(t, seed)
		}
	})
	length := pausedLength
	if n, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil && n > 0 {
		length = time.Duration(n) * time.Second
	}
	k := &keptCallers{tb: s.testbed, routes: []string{"stream/resume", "stream/resume", "stream/resume", "stream/once", "plain/safe"}, outputs: []uint64{100, 300, 600}, deadlines: c.deadlines}
	if len(c.deadlines) == 0 {
		k.deadlines = []time.Duration{pausedDeadline}
	}
	if c.noResume {
		k.routes = []string{"stream/once"}
	}
	stop, stopPauses := make(chan struct{}), make(chan struct{})
	var wg, pausesDone sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); k.run(pausedCallers, stop) }()
	go func() { defer wg.Done(); s.changeInSeries(rand.New(rand.NewSource(seed+2)), stop) }()
	pausesDone.Add(1)
	go func() { defer pausesDone.Done(); s.pauseInSeries(rand.New(rand.NewSource(seed)), stopPauses) }()
	time.Sleep(length)
	if !c.pausesGoOn {
		close(stopPauses)
		pausesDone.Wait()
	}
	if c.restarts {
		s.killAll()
		s.startAll(t)
		s.ready(t)
		time.Sleep(afterRestart)
	}
	if c.pausesGoOn {
		close(stopPauses)
		pausesDone.Wait()
	}
	close(stop)
	wg.Wait()
	requests := slices.Concat(k.requests, k.behind)
	complete := 0
	for _, r := range requests {
		if r.complete {
			complete++
		}
	}
	lost := s.lost(t, requests)
	t.Logf("%d of %d requests have a complete answer; %d pauses of servers; %d lost; outcomes:\n%s", complete, len(requests), s.total, len(lost), s.outcomes(t, requests))
	if complete == 0 || s.total == 0 {
		t.Error("some of the pauses were not played")
	}
	for i, v := range slices.Concat(lost, s.repeated(requests), s.platform.violations, s.unexpectedExits()) {
		if i == 10 {
			t.Error("further violations are left out")
			break
		}
		t.Error(v)
	}
}
