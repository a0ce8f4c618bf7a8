// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// promptTokenTime is the prefill time per prompt token of a server of nominal speed.
	promptTokenTime = 40 * time.Microsecond
	// plainWork is how long a plain server of nominal speed works on a request.
	plainWork = 100 * time.Millisecond
	// slowSpeed, nominalSpeed and fastSpeed are those of servers of uneven speed.
	slowSpeed, nominalSpeed, fastSpeed = 0.6, 1.0, 1.6
)

var unevenSpeeds = []float64{slowSpeed, nominalSpeed, fastSpeed}

// setSpeed makes the server work at a speed from now on, 1 being the nominal one.
func (sv *server) setSpeed(speed float64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.speed = speed
}

func (sv *server) currentSpeed() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.speed
}

// callCount returns the number of requests received.
func (sv *server) callCount() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.calls
}

// sleepAtSpeed sleeps for the time that the work of d at the nominal speed takes, if the server has a speed.
func (sv *server) sleepAtSpeed(d time.Duration) {
	if speed := sv.currentSpeed(); speed > 0 {
		time.Sleep(time.Duration(float64(d) / speed))
	}
}

// eventPause returns the time between two events of a stream.
func (sv *server) eventPause() time.Duration {
	if speed := sv.currentSpeed(); speed > 0 {
		return time.Duration(float64(sv.platform.eventPause) / speed)
	}
	return sv.platform.eventPause
}

// callCounts returns the number of requests received by each server.
func (p *platform) callCounts() map[*server]int {
	counts := map[*server]int{}
	for _, sv := range p.all() {
		counts[sv] = sv.callCount()
	}
	return counts
}

// startPromptCallers starts callers of one route that send without a pause until stop is closed. Their
// prompts begin with one of many shared parts.
func (tb *testbed) startPromptCallers(first, callers int, route string, stop <-chan struct{}, wg *sync.WaitGroup) {
	const prefixes, prompt, shared = 200, 1000, 100
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := tb.caller(first + n)
			c.prompt = prompt
			defer c.disconnect()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.count++
				c.prefix = fmt.Sprintf("p%d:%d,%x:%d", c.rng.Intn(prefixes), shared, c.rng.Int31(), prompt-shared)
				o := c.send(fmt.Sprintf("%d-%d-%d", tb.all.seed, c.n, c.count), route, "key-large")
				tb.all.record(o)
				if c.conn == nil {
					// A box that refuses without a delay would otherwise be called in a busy loop.
					time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
				}
			}
		}()
	}
}

// changeSpeeds sets a random speed of a random server of the list now and then, until stop is closed.
func changeSpeeds(rng *rand.Rand, list []*server, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.Intn(400)) * time.Millisecond):
		}
		list[rng.Intn(len(list))].setSpeed(unevenSpeeds[rng.Intn(len(unevenSpeeds))])
	}
}

// Guards against the same load for slow and fast targets, and against slow ones that are never used again.
func TestTargetsOfUnevenSpeed(t *testing.T) {
	const (
		seed, engines, plain = 91, 9, 6
		// streamCallers leave slots of all engines free, so that no prompt has to wait at a slow one.
		streamCallers, plainCallers = 8, 24
		// half is half of the time of the load.
		half = 3 * time.Second
	)
	tb := newTestbed(t, seed, 3, 4, engines, plain)
	tb.awaitDirectory(t, tb.withRole("entry"))
	var changing []*server
	speeds := map[*server]float64{}
	for i, sv := range tb.platform.all() {
		// Placed by hash alone, more of the streams come to the slow engines than to the fast ones.
		speed := unevenSpeeds[(i+1)%len(unevenSpeeds)]
		sv.setSpeed(speed)
		if speed == nominalSpeed {
			changing = append(changing, sv)
		} else {
			speeds[sv] = speed
		}
	}
	before := tb.platform.callCounts()
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	tb.startPromptCallers(0, plainCallers/2, "plain/safe", stop, wg)
	tb.startPromptCallers(100, plainCallers/2, "plain/unsafe", stop, wg)
	tb.startPromptCallers(200, streamCallers/2, "stream/resume", stop, wg)
	tb.startPromptCallers(300, streamCallers/2, "stream/once", stop, wg)
	wg.Add(1)
	go func() {
		defer wg.Done()
		changeSpeeds(rand.New(rand.NewSource(seed)), changing, stop)
	}()
	time.Sleep(half)
	middle := tb.platform.callCounts()
	time.Sleep(half)
	close(stop)
	wg.Wait()
	for sv, n := range tb.platform.callCounts() {
		if n == middle[sv] {
			t.Errorf("%s (%s, speed %g) received no call in the second half", sv.id, sv.service, sv.currentSpeed())
		}
	}
	tb.checkUnevenCalls(t, before, speeds)
	tb.checkResults(t)
}

// checkUnevenCalls checks that the slow servers have received fewer calls than the fast ones since the
// counts before. Servers without a constant speed are not compared.
func (tb *testbed) checkUnevenCalls(t *testing.T, before map[*server]int, speeds map[*server]float64) {
	t.Helper()
	sums, lists := map[string]map[float64]int{engineService: {}, plainService: {}}, map[string][]string{}
	for sv, n := range tb.platform.callCounts() {
		n -= before[sv]
		sums[sv.service][speeds[sv]] += n
		lists[sv.service] = append(lists[sv.service], fmt.Sprintf("%s (%g) %d", sv.id, speeds[sv], n))
	}
	for service, bySpeed := range sums {
		t.Logf("%s: calls by server, speed 0 for a changing one: %s", service, strings.Join(lists[service], ", "))
		if bySpeed[slowSpeed] >= bySpeed[fastSpeed] {
			t.Errorf("%s: the slow servers received %d calls, the fast ones %d, want fewer for the slow ones", service, bySpeed[slowSpeed], bySpeed[fastSpeed])
		}
	}
}
