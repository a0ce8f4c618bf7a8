// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// joiningStreams is how many streams begin while a version joins, and joiningEvents the number of
	// events of each.
	joiningStreams, joiningEvents = 60, 120
	// joinEngines is how many engines of the new version join besides one in place.
	joinEngines = 3
	// joinSpread is within which time after the new version has joined streams begin.
	joinSpread = 400 * time.Millisecond
	// returnTime is how long callers return after the box is in step again.
	returnTime = 2 * time.Second
)

// breaking is how streams break off.
type breaking int

const (
	breakBoxes breaking = iota
	breakBoxesAndStart
	breakServers
	breakLinks
	breakServersAndBoxes
	breakings
)

// outOfStepCase is a box that is out of step while servers of a new version join.
type outOfStepCase struct {
	seed int64
	// lag is how long the news of control are on their way to the box, held whether they wait until it
	// is in step again.
	lag  time.Duration
	held bool
	// boxes and servers are the faults of its links to the other entry boxes and to the servers.
	boxes, servers linkFault
	// paused is set if the box stands still, and starts if it starts anew.
	paused, starts bool
	// length is for how long.
	length time.Duration
	// joinAfter is when the new version joins, and breakAfter how long after that the streams break off.
	joinAfter, breakAfter time.Duration
	breaks                breaking
}

// quickOutOfStep are the cases that are played where SOAK_SHAPES is not set.
var quickOutOfStep = []string{"late news, boxes are killed", "starting anew, late news", "standing still, boxes are killed"}

// Guards against streams that go on at another version, at a box that was out of step while the version
// that began them joined. SOAK_SHAPES=all plays all cases, SOAK_SEEDS random ones.
func TestStreamsKeepTheirSoftwareAtABoxOutOfStep(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]outOfStepCase{
		"late news, boxes are killed":              {seed: 301, lag: 1000 * ms, length: 1500 * ms, joinAfter: 1000 * ms, breakAfter: 500 * ms},
		"held news, boxes are killed":              {seed: 302, held: true, length: 1000 * ms, joinAfter: 420 * ms, breakAfter: 350 * ms},
		"standing still, boxes are killed":         {seed: 303, paused: true, length: 1300 * ms, joinAfter: 450 * ms, breakAfter: 450 * ms},
		"standing still for long":                  {seed: 304, paused: true, length: 4000 * ms, joinAfter: 500 * ms, breakAfter: 600 * ms},
		"standing still, servers end":              {seed: 305, paused: true, length: 2000 * ms, joinAfter: 500 * ms, breakAfter: 600 * ms, breaks: breakServers},
		"cut off from control, servers end":        {seed: 306, held: true, length: 3000 * ms, joinAfter: 300 * ms, breakAfter: 600 * ms, breaks: breakServers},
		"cut off from boxes, servers end":          {seed: 307, boxes: silentFault, length: 3000 * ms, joinAfter: 300 * ms, breakAfter: 600 * ms, breaks: breakServers},
		"cut off from both, links are reset":       {seed: 308, held: true, boxes: silentFault, length: 3000 * ms, joinAfter: 300 * ms, breakAfter: 600 * ms, breaks: breakLinks},
		"late news, cut off from boxes":            {seed: 309, lag: 900 * ms, boxes: resetFault, length: 2500 * ms, joinAfter: 950 * ms, breakAfter: 500 * ms, breaks: breakServers},
		"cut off from all":                         {seed: 310, held: true, boxes: silentFault, servers: silentFault, length: 3000 * ms, joinAfter: 300 * ms, breakAfter: 600 * ms, breaks: breakServersAndBoxes},
		"starting anew, boxes are killed":          {seed: 311, starts: true, length: 1500 * ms, joinAfter: 100 * ms, breakAfter: 600 * ms},
		"starting anew, late news":                 {seed: 312, starts: true, lag: 900 * ms, length: 2500 * ms, joinAfter: 200 * ms, breakAfter: 600 * ms, breaks: breakBoxesAndStart},
		"standing still, boxes are killed, go on":  {seed: 313, paused: true, length: 2000 * ms, joinAfter: 450 * ms, breakAfter: 450 * ms, breaks: breakBoxesAndStart},
		"held news, cut off from boxes and reset":  {seed: 314, held: true, boxes: resetFault, length: 1000 * ms, joinAfter: 420 * ms, breakAfter: 300 * ms, breaks: breakLinks},
		"cut off from control, box restarts after": {seed: 315, held: true, length: 6000 * ms, joinAfter: 300 * ms, breakAfter: 600 * ms, breaks: breakBoxesAndStart},
	}
	if os.Getenv("SOAK_SEEDS") != "" {
		cases = map[string]outOfStepCase{}
		for _, seed := range chosenSeeds(t, nil) {
			cases[fmt.Sprint("seed-", seed)] = randomOutOfStep(seed)
		}
	}
	for name, c := range cases {
		if os.Getenv("SOAK_SHAPES") == "" && os.Getenv("SOAK_SEEDS") == "" && !slices.Contains(quickOutOfStep, name) {
			continue
		}
		t.Run(name, func(t *testing.T) { playOutOfStep(t, c) })
	}
}

// randomOutOfStep draws a case.
func randomOutOfStep(seed int64) outOfStepCase {
	rng := rand.New(rand.NewSource(seed))
	between := func(from, to int) time.Duration { return time.Duration(from+rng.Intn(to-from)) * time.Millisecond }
	c := outOfStepCase{seed: seed, length: between(1000, 4000), joinAfter: between(100, 1000), breakAfter: between(250, 800), breaks: breaking(rng.Intn(int(breakings)))}
	if rng.Intn(4) == 0 {
		c.length = between(4000, 6000)
	}
	switch rng.Intn(5) {
	case 0:
		c.lag = between(100, 1000)
	case 1, 2:
		c.held = true
	case 3:
		c.paused = true
	case 4:
		c.starts = true
	}
	if rng.Intn(3) == 0 {
		c.boxes = []linkFault{silentFault, resetFault}[rng.Intn(2)]
	}
	if rng.Intn(6) == 0 {
		c.servers = silentFault
	}
	return c
}

// playOutOfStep plays a case. The first entry box is out of step, the streams begin at the others.
func playOutOfStep(t *testing.T, c outOfStepCase) {
	f, views := newViewedFleet(t, 3, 4)
	tb := startTestbed(t, f, c.seed, 3, 1, func(p *platform) { p.eventPause, p.isVersionShown = streamPause, true })
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, c.seed)
		}
	})
	tb.awaitDirectory(t, tb.withRole("entry"))
	out := tb.withRole("entry")[0]
	begin := time.Now()
	tb.putOutOfStep(t, out, views[out.name], c)
	time.Sleep(time.Until(begin.Add(c.joinAfter)))
	tb.joinVersion(t, c.seed)
	joined := time.Now()
	until := begin.Add(max(c.length, c.joinAfter+c.breakAfter) + returnTime)
	var streams []*returningStream
	var wg sync.WaitGroup
	for n := range joiningStreams {
		s := tb.newStream(fmt.Sprintf("step-%d", n), 1+n%(len(tb.all.entries)-1), joiningEvents)
		streams = append(streams, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(joined.Add(time.Duration(s.rng.Int63n(int64(joinSpread))))))
			s.returnTo(tb.all, 0, until)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(time.Until(joined.Add(c.breakAfter)))
		tb.breakOff(c.breaks)
	}()
	time.Sleep(time.Until(begin.Add(c.length)))
	tb.putInStep(out, views[out.name])
	wg.Wait()
	for _, b := range tb.withRole("entry") {
		_ = b.start()
	}
	second := 0
	for _, s := range streams {
		if s.versions[secondVersion] > 0 {
			second++
		}
	}
	checkStreams(t, softwareCase{}, streams)
	tb.checkRefused(streams)
	t.Logf("%d streams hold events of the version that joined", second)
	for _, v := range append(tb.platform.violations, tb.unexpectedExits()...) {
		t.Error(v)
	}
}

// putOutOfStep begins the faults of a case at a box.
func (tb *testbed) putOutOfStep(t *testing.T, b *box, v *view, c outOfStepCase) {
	t.Helper()
	v.setLag(c.lag)
	if c.starts {
		<-b.signal(syscall.SIGKILL)
		if err := b.start(); err != nil {
			t.Fatal(err)
		}
	}
	v.hold(c.held)
	v.setBoxes(c.boxes)
	v.set(c.servers)
	if c.paused {
		b.signal(syscall.SIGSTOP)
	}
}

// putInStep ends all faults at a box.
func (tb *testbed) putInStep(b *box, v *view) {
	v.setLag(0)
	v.setBoxes(noFault)
	v.set(noFault)
	v.hold(false)
	b.signal(syscall.SIGCONT)
}

// joinVersion starts engines of a second version, one of them in place of an engine of the first.
func (tb *testbed) joinVersion(t *testing.T, seed int64) {
	t.Helper()
	for n := range joinEngines {
		tb.startEngine(t, tb.platform.newServerID(), secondVersion, seed+int64(n))
	}
	next, err := tb.platform.restartEngine(tb.platform.running(engineService, defaultVersion)[0], secondVersion, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.stop)
}

// breakOff breaks off streams.
func (tb *testbed) breakOff(how breaking) {
	engines := map[string][]*server{}
	for _, version := range []string{defaultVersion, secondVersion} {
		engines[version] = tb.platform.running(engineService, version)
	}
	if how == breakServers || how == breakServersAndBoxes {
		endHalf(engines)
	}
	if how == breakLinks {
		for _, list := range engines {
			for _, sv := range list {
				sv.link.reset()
			}
		}
	}
	switch how {
	case breakBoxes, breakServersAndBoxes, breakBoxesAndStart:
		tb.killEntries(1, 2, 3)
	default:
		// The streams of the boxes that remain go on within their answers.
		tb.killEntries(1, 2)
	}
	if how == breakBoxesAndStart {
		for _, b := range tb.withRole("entry")[1:] {
			_ = b.start()
		}
	}
}

// returnTo begins the stream at its entry box and takes it up at another one until a time.
func (s *returningStream) returnTo(p *callerPool, entry int, until time.Time) {
	for !s.complete && time.Now().Before(until) {
		pause, again := s.try(p)
		if !again {
			pause = insistentPause
		}
		time.Sleep(min(pause, insistentPause))
		s.entry = entry
	}
}
