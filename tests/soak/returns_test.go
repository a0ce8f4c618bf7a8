// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// returningID is the prefix of the ids of streams whose events tell the version of their server.
	returningID = "return-"
	// secondVersion is the version that half of the engines run besides defaultVersion.
	secondVersion = "v1.1"
	// returningCallers is how many callers take their streams up again under random faults, and
	// returningEvents the number of events of each stream.
	returningCallers = 6
	returningEvents  = 120
	// lastStreams is how many streams run at the end, half of them at a box that is killed then, and
	// lastEvents the number of events of each.
	lastStreams = 28
	lastEvents  = 250
)

// startSecondVersion starts engines of a second version, as many as there are of the first.
func (tb *testbed) startSecondVersion(t *testing.T) {
	t.Helper()
	tb.platform.mu.Lock()
	tb.platform.versions = []string{defaultVersion, secondVersion}
	tb.platform.mu.Unlock()
	for range tb.platform.running(engineService, defaultVersion) {
		tb.startEngine(t, tb.platform.newServerID(), secondVersion, tb.all.seed)
	}
}

// nextVersion returns the version of the server that takes the place of another one. It is any of
// those in use for an engine.
func (p *platform) nextVersion(old *server) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old.service != engineService || len(p.versions) == 0 {
		return old.version
	}
	p.versionsDrawn++
	return p.versions[rand.New(rand.NewSource(int64(p.versionsDrawn))).Intn(len(p.versions))]
}

// running returns the servers of a service and version that run and take calls, in the order of
// their starts.
func (p *platform) running(service, version string) []*server {
	return slices.DeleteFunc(p.all(), func(sv *server) bool {
		return sv.service != service || sv.version != version || !sv.takesCalls()
	})
}

func (sv *server) takesCalls() bool {
	select {
	case <-sv.quit:
		return false
	default:
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.state == "ready"
}

// anyEngine returns a random engine that takes calls, nil if there is none.
func (tb *testbed) anyEngine(rng *rand.Rand) *server {
	list := append(tb.platform.running(engineService, defaultVersion), tb.platform.running(engineService, secondVersion)...)
	if len(list) == 0 {
		return nil
	}
	return list[rng.Intn(len(list))]
}

// restartEngine restarts an engine under its id and address at another version, which registers some
// time later.
func (tb *testbed) restartEngine(t *testing.T, rng *rand.Rand) {
	old := tb.anyEngine(rng)
	if old == nil {
		return
	}
	version := defaultVersion
	if old.version == version {
		version = secondVersion
	}
	t.Logf("engine %s restarts in place at %s", old.id, version)
	tb.platform.disruptions.recordFault(old.id, 0)
	next, err := tb.platform.restartEngine(old, version, time.Duration(rng.Intn(int(2*registrationDelay))), tb.all.seed)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(next.stop)
}

// endEngine ends an engine and starts another one later, of any version.
func (tb *testbed) endEngine(t *testing.T, rng *rand.Rand) {
	old := tb.anyEngine(rng)
	if old == nil {
		return
	}
	t.Logf("engine %s at %s ends", old.id, old.version)
	old.crash(tb.platform.newServerID())
}

// startReturningCallers starts callers that take their streams up again at other boxes until stop is
// closed. The function that it returns gives the streams of all of them, once wg has ended.
func (tb *testbed) startReturningCallers(stop <-chan struct{}, wg *sync.WaitGroup) func() []*returningStream {
	if tb.all.seed < softwareFrom {
		return func() []*returningStream { return nil }
	}
	streams := make([][]*returningStream, returningCallers)
	for n := range returningCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(tb.all.seed + int64(n)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(redialPause):
				}
				s := tb.newStream(fmt.Sprintf("%s%d-%d-%d", returningID, tb.all.seed, n, i), rng.Intn(len(tb.all.entries)), returningEvents)
				s.run(tb.all)
				streams[n] = append(streams[n], s)
			}
		}()
	}
	return func() []*returningStream { return slices.Concat(streams...) }
}

// checkReturned checks the streams that callers have taken up again under random faults.
func (tb *testbed) checkReturned(t *testing.T, streams []*returningStream) {
	t.Helper()
	if len(streams) > 0 {
		checkStreams(t, softwareCase{}, streams)
		tb.checkRefused(streams)
	}
}

// checkStreamsGoOn checks that streams go on after the kill of a box, when all other faults have ended
// and two engines of each version serve.
func (tb *testbed) checkStreamsGoOn(t *testing.T) {
	t.Helper()
	for _, version := range []string{defaultVersion, secondVersion} {
		for len(tb.platform.running(engineService, version)) < 2 {
			tb.startEngine(t, tb.platform.newServerID(), version, tb.all.seed)
		}
	}
	tb.awaitDirectory(t, tb.withRole("entry"))
	for n := range tb.all.entries {
		tb.awaitVersions(t, n, 2)
	}
	c := softwareCase{inTouch: true}
	var streams []*returningStream
	var wg sync.WaitGroup
	for n := range lastStreams {
		s := tb.newStream(fmt.Sprintf("%slast-%d", returningID, n), n%2*(1+n/2%(len(tb.all.entries)-1)), lastEvents)
		streams = append(streams, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.run(tb.all)
		}()
	}
	time.Sleep(faultAfter / 2)
	tb.platform.disruptions.recordFault(tb.withRole("entry")[0].name, 0)
	tb.killEntries(0)
	wg.Wait()
	checkStreams(t, c, streams)
	tb.checkRefused(streams)
}
