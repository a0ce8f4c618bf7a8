// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"havenwinch.dev/havenwinch/tests/observe"
)

const (
	// callersPerCase is how many streams run when a fault strikes, and streamEvents the number of
	// events of each.
	callersPerCase = 80
	streamEvents   = 100
	streamPause    = 25 * time.Millisecond
	// faultAfter is how long after the first stream the fault strikes.
	faultAfter = time.Second
	// streamTime is how long a caller waits for its whole stream.
	streamTime = 8 * time.Second
	// redialPause is the pause after a connection that was refused.
	redialPause = 20 * time.Millisecond
	// insistentPause is the pause of an insistent caller after a refusal that does not tell it to return.
	insistentPause = 100 * time.Millisecond
	// maxReturns limits how often a caller takes its stream up again.
	maxReturns = 4
	// registrationDelay is how long the registration of an engine that has started again is on its
	// way, at most 1.5 s on the platform.
	registrationDelay = 400 * time.Millisecond
	// fewReturns is the number of streams below which the share that goes on says nothing.
	fewReturns = 12
	// leastContinued is the least ratio of the share of streams that go on to the share of new
	// streams that begin.
	leastContinued = 0.5
)

// softwareCase is a fault that strikes while streams of engines with several software versions run.
type softwareCase struct {
	seed int64
	// engines has the number of engines by version.
	engines map[string]int
	// strike brings the fault about. It gets the engines by version.
	strike func(t *testing.T, tb *testbed, engines map[string][]*server)
	// inTouch is set if callers return to boxes that are not disturbed, and two targets of each
	// version go on serving.
	inTouch bool
	// gone is the version of which no target is left, if any.
	gone string
	// afterStart is set if all boxes are killed: callers then return until their time is up.
	afterStart bool
}

// Guards against streams that hold events of two software versions of a service, in one answer or
// after their callers have returned at another box, and against streams that are given up although
// targets of their version serve.
func TestStreamsGoOnAtTheirSoftwareVersion(t *testing.T) {
	two := map[string]int{"v1": 4, "v1.1": 4}
	cases := map[string]softwareCase{
		"targets end": {seed: 71, engines: two, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			endHalf(engines)
		}},
		"boxes are killed": {seed: 72, engines: two, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(0, 1)
		}},
		"a data centre's boxes are killed": {seed: 73, engines: two, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(0, 2)
		}},
		"all boxes restart": {seed: 74, engines: two, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(0, 1, 2, 3)
			tb.startAll(t)
		}},
		"boxes are killed and targets end": {seed: 75, engines: two, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			endHalf(engines)
			tb.killEntries(0, 1)
		}},
		"boxes are killed and start again as targets end": {seed: 76, engines: two, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(1, 2)
			tb.startAll(t)
			tb.killEntries(0)
			endHalf(engines)
		}},
		"boxes stop and targets end": {seed: 77, engines: two, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			for _, b := range tb.withRole("entry")[:2] {
				b.signal(syscall.SIGTERM)
			}
			endHalf(engines)
		}},
		"the last target of a version ends": {seed: 78, engines: map[string]int{"v1": 4, "v1.1": 1}, gone: "v1.1", strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			engines["v1.1"][0].stop()
		}},
		"versions whose names differ little": {seed: 79, engines: map[string]int{"v1": 3, "v1.0": 3, "v1.10": 3, "V1": 3, "v01": 3}, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			for _, list := range engines {
				list[0].stop()
			}
			tb.killEntries(0)
		}},
		"all boxes are killed while two versions serve": {seed: 82, engines: two, afterStart: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			for range 3 {
				tb.killEntries(0, 1, 2, 3)
				tb.startAll(t)
				time.Sleep(faultAfter / 2)
			}
		}},
		"all boxes are killed just after a version has left": {seed: 83, engines: two, afterStart: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			leaveAll(t, engines["v1"])
			tb.killEntries(0, 1, 2, 3)
			tb.startAll(t)
		}},
		"all boxes are killed just before a version leaves": {seed: 84, engines: two, afterStart: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(0, 1, 2, 3)
			leaveAll(t, engines["v1"])
			tb.startAll(t)
		}},
		"all processes are killed just after a version has left": {seed: 85, engines: two, afterStart: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			leaveAll(t, engines["v1"])
			tb.killAll()
			tb.startAll(t)
		}},
		"targets start again at another version": {seed: 80, engines: two, inTouch: true, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			tb.killEntries(0)
			for n, sv := range engines["v1"][:2] {
				sv.stop()
				tb.startEngine(t, sv.id, "v1.1", int64(90+n))
			}
		}},
		"targets start again in place at another version": {seed: 81, engines: two, strike: func(t *testing.T, tb *testbed, engines map[string][]*server) {
			for n, sv := range engines["v1"][:2] {
				next, err := tb.platform.restartEngine(sv, "v1.1", registrationDelay, int64(95+n))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(next.stop)
			}
			tb.killEntries(0, 1)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tb, engines := startSoftwareTestbed(t, c)
			streams := tb.runStreams(t, c, func() { c.strike(t, tb, engines) })
			checkStreams(t, c, streams)
			tb.checkRefused(streams)
			for _, v := range append(tb.platform.violations, tb.unexpectedExits()...) {
				t.Error(v)
			}
		})
	}
}

// leaveAll lets servers leave and waits until control knows.
func leaveAll(t *testing.T, servers []*server) {
	t.Helper()
	for _, sv := range servers {
		waitFor(t, sv.id+" has left", func() bool { return sv.leave() == nil })
	}
}

// endHalf ends half of the engines of each version.
func endHalf(engines map[string][]*server) {
	for _, list := range engines {
		for _, sv := range list[:len(list)/2] {
			sv.stop()
		}
	}
}

// killEntries kills entry boxes and waits for their end.
func (tb *testbed) killEntries(indexes ...int) {
	entries := tb.withRole("entry")
	var ended []<-chan struct{}
	for _, n := range indexes {
		ended = append(ended, entries[n].signal(syscall.SIGKILL))
	}
	for _, done := range ended {
		<-done
	}
}

// startEngine starts an engine of a version.
func (tb *testbed) startEngine(t *testing.T, id, version string, seed int64) *server {
	t.Helper()
	sv, err := tb.platform.startEngine(id, version, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.stop)
	return sv
}

// startSoftwareTestbed starts a fleet and the engines of a case, and waits until each entry box
// sends to all versions.
func startSoftwareTestbed(t *testing.T, c softwareCase) (*testbed, map[string][]*server) {
	t.Helper()
	f := newFleet(t, 3, 4)
	tb := startTestbed(t, f, c.seed, 1, 1, func(p *platform) { p.eventPause, p.isVersionShown = streamPause, true })
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, c.seed)
		}
	})
	engines := map[string][]*server{defaultVersion: tb.platform.all()[:1]}
	for version, n := range c.engines {
		for i := len(engines[version]); i < n; i++ {
			engines[version] = append(engines[version], tb.startEngine(t, fmt.Sprintf("i-%s-%d", version, i), version, c.seed+int64(i)))
		}
	}
	tb.awaitDirectory(t, tb.withRole("entry"))
	for n := range tb.all.entries {
		tb.awaitVersions(t, n, len(c.engines))
	}
	return tb, engines
}

// awaitVersions waits until an entry box sends streams to a number of versions.
func (tb *testbed) awaitVersions(t *testing.T, entry, versions int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("box %d sends to all versions", entry), func() bool {
		seen := map[string]bool{}
		for i := range 8 * versions {
			s := tb.newStream(fmt.Sprintf("%swarm-%d-%d", returningID, entry, i), entry, 1)
			s.try(tb.all)
			for version := range s.versions {
				seen[version] = true
			}
		}
		return len(seen) == versions
	})
}

// returningStream is a stream whose caller takes it up again at another box when it breaks off.
type returningStream struct {
	id     string
	entry  int
	length int
	rng    *rand.Rand
	// first is the id of the attempt that brought the first event, last the number of the last
	// event, -1 for none.
	first string
	last  int
	// versions counts the events by the version of the target that made them.
	versions map[string]int
	// begins tells where the events of each version begin.
	begins []string
	tries  int
	// returns counts the tries to take the stream up again, and wentOn those that brought events.
	returns, wentOn int
	// refusal is the last answer that was not a stream.
	refusal  *observe.Answer
	complete bool
	// insistent callers return until their time is up, also when they are not told to.
	insistent bool
	// notRun has the ids of the attempts that were refused as not run.
	notRun []string
	faults []string
}

func (tb *testbed) newStream(id string, entry, length int) *returningStream {
	return &returningStream{id: id, entry: entry, length: length, last: -1, versions: map[string]int{}, rng: rand.New(rand.NewSource(tb.all.seed ^ int64(xxhash.Sum64String(id))))}
}

// runStreams starts streams at all entry boxes, lets the fault strike while they run, and returns
// when all have ended.
func (tb *testbed) runStreams(t *testing.T, c softwareCase, strike func()) []*returningStream {
	t.Helper()
	var streams []*returningStream
	var wg sync.WaitGroup
	for n := range callersPerCase {
		s := tb.newStream(fmt.Sprintf("s%d", n), n%len(tb.all.entries), streamEvents)
		s.insistent = c.afterStart
		streams = append(streams, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(s.rng.Intn(int(faultAfter / 2))))
			s.run(tb.all)
		}()
	}
	time.Sleep(faultAfter)
	strike()
	wg.Wait()
	return streams
}

// run reads the stream and takes it up again until it is complete or can't go on.
func (s *returningStream) run(p *callerPool) {
	for until := time.Now().Add(streamTime); !s.complete && (s.tries <= maxReturns || s.insistent) && time.Now().Before(until); {
		pause, again := s.try(p)
		if !again && !s.insistent {
			return
		}
		if !again {
			pause = insistentPause
		}
		time.Sleep(pause)
		s.entry = (s.entry + 1) % len(p.entries)
	}
}

// try sends one attempt to the stream's entry box. It returns how long to wait for the next one,
// and whether there is to be one.
func (s *returningStream) try(p *callerPool) (pause time.Duration, again bool) {
	conn, err := net.DialTimeout("tcp", p.entries[s.entry], dialLimit)
	if err != nil {
		return redialPause, true
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	s.tries++
	id := fmt.Sprintf("%s-%d", s.id, s.tries)
	returns := s.last >= 0
	request, sentAt := s.request(id), time.Now()
	if _, err := conn.Write(request); err != nil {
		return 0, true
	}
	wholeAt := time.Now()
	a, err := observe.NewReader(conn).Answer(http.MethodPost)
	p.platform.recordEnd(conn, cutRequest{id: id, route: "stream/resume", box: p.names[s.entry], bytes: len(request), sentAt: sentAt, wholeAt: wholeAt, endedAt: time.Now(), begun: a.Status != 0}, err)
	if a.Status == 0 {
		// The box ended before it answered.
		return 0, true
	}
	if returns {
		s.returns++
	}
	if a.Status != http.StatusOK {
		s.refusal = a
		if a.Status == http.StatusServiceUnavailable {
			s.notRun = append(s.notRun, id)
		}
		seconds, noTime := strconv.ParseFloat(a.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), noTime == nil
	}
	fresh := s.readEvents(id, a.Body)
	s.complete = err == nil && s.last == s.length-1
	if returns && (fresh > 0 || s.complete) {
		s.wentOn++
	}
	return 0, true
}

// request returns an attempt that asks for the stream, or for the rest of it.
func (s *returningStream) request(id string) []byte {
	prompt := 200 + s.rng.Intn(400)
	body := "body of " + id
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /stream/resume/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key-large\r\n", id, streamTime.Milliseconds())
	if s.last >= 0 {
		fmt.Fprintf(&b, "Resumes: %s\r\nLast-Event-Id: %d\r\n", s.first, s.last)
	}
	fmt.Fprintf(&b, "Token-Count: %d,%d\r\nPrompt-Prefix: aa:10,bb%x:20,%x:%d\r\nContent-Length: %d\r\n\r\n%s",
		prompt, s.length*stride, s.rng.Int31(), s.rng.Int31(), prompt-30, len(body), body)
	return b.Bytes()
}

// readEvents adds the events of an answer and returns their number.
func (s *returningStream) readEvents(id string, body []byte) int {
	n := 0
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var number int
		version, text, found := strings.Cut(strings.TrimPrefix(lines.Text(), "data: "), " ")
		if !strings.HasPrefix(lines.Text(), "data: ") || !found {
			continue
		}
		if _, err := fmt.Sscan(text, &number); err != nil || number != s.last+1 {
			s.faults = append(s.faults, fmt.Sprintf("event %q of attempt %s after event %d", lines.Text(), id, s.last))
			continue
		}
		if s.last < 0 {
			s.first = id
		}
		if s.versions[version] == 0 {
			s.begins = append(s.begins, fmt.Sprintf("%s from event %d in attempt %s", version, number, id))
		}
		s.last = number
		s.versions[version]++
		n++
	}
	return n
}

// checkRefused checks that no attempt that was refused as not run has run.
func (tb *testbed) checkRefused(streams []*returningStream) {
	for _, s := range streams {
		for _, id := range s.notRun {
			if tb.platform.runCount(id) > 0 {
				tb.platform.recordViolation("attempt %s was refused as not run although a server ran it", id)
			}
		}
	}
}

// checkStreams checks what the callers of a case have got.
func checkStreams(t *testing.T, c softwareCase, streams []*returningStream) {
	t.Helper()
	begun, mixed, complete, returned, wentOn := 0, 0, 0, 0, 0
	refusals := map[string]int{}
	for _, s := range streams {
		for _, fault := range s.faults {
			t.Errorf("stream %s: %s", s.id, fault)
		}
		if s.last >= 0 {
			begun++
		}
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
			t.Logf("stream %s holds %s", s.id, strings.Join(s.begins, ", "))
		}
		if s.returns > 0 {
			returned++
			if s.wentOn > 0 {
				wentOn++
			}
		}
		if s.refusal != nil {
			refusals[fmt.Sprintf("%d %s", s.refusal.Status, bytes.TrimSpace(s.refusal.Body))]++
		}
		if c.gone != "" && s.versions[c.gone] > 0 && !s.complete && (s.refusal == nil || s.refusal.Status != http.StatusServiceUnavailable) {
			t.Errorf("stream %s of the version that is gone ended with %+v, want status 503", s.id, s.refusal)
		}
	}
	t.Logf("%d of %d streams began, %d of %d that callers took up again went on, %d were complete, %d of two versions; refusals %v", begun, len(streams), wentOn, returned, complete, mixed, refusals)
	if mixed > 0 {
		t.Errorf("%d streams hold events of two software versions, want none", mixed)
	}
	share := leastContinued * float64(begun) / float64(len(streams))
	if c.inTouch && returned >= fewReturns && float64(wentOn) < share*float64(returned) {
		t.Errorf("%d of %d streams that callers took up again went on, want %.0f%% at least", wentOn, returned, 100*share)
	}
}
