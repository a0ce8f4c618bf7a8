// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	secondZone = "zone-b"
	// evacuateBound is how long after the acknowledgement of an evacuation a request may still
	// reach a server of its zone.
	evacuateBound = 5 * time.Second
	// In any second a cold server may receive coldFactor times its rate and coldExtra more
	// requests. coldStart is how long it is cold after its start.
	coldRate   = 4.0
	coldFactor = 1.5
	coldExtra  = 5
	coldStart  = 3 * time.Second
)

// recordCold records a request if the server is cold. The caller holds sv.mu.
func (sv *server) recordCold() {
	if now := time.Now(); now.Before(sv.coldUntil) {
		sv.coldArrivals = append(sv.coldArrivals, now)
	}
}

// setCold makes the server cold from now on.
func (sv *server) setCold(d time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.coldUntil = time.Now().Add(d)
}

// checkCold checks that the server received no more requests while it was cold than it handles.
func (sv *server) checkCold(t *testing.T) {
	t.Helper()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	allowed := int(coldFactor*coldRate) + coldExtra
	most, first := 0, 0
	for i, at := range sv.coldArrivals {
		for at.Sub(sv.coldArrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("%s received %d requests while it was cold, at most %d in a second, %d allowed", sv.id, len(sv.coldArrivals), most, allowed)
	if most > allowed {
		t.Errorf("%s received %d requests in a second while it was cold, at most %d are allowed", sv.id, most, allowed)
	}
}

// checkEvacuated records a violation if the server's zone was evacuated too long ago for a
// request to arrive.
func (sv *server) checkEvacuated(id string) {
	sv.platform.mu.Lock()
	at, evacuated := sv.platform.evacuated[sv.zone]
	sv.platform.mu.Unlock()
	if evacuated && time.Since(at) > evacuateBound {
		sv.platform.recordViolation("server %s received request %s %s after the evacuation of %s was acknowledged", sv.id, id, time.Since(at), sv.zone)
	}
}

// order sends an order about a zone to the control boxes in turn, starting with the given one,
// until one acknowledges it.
func (p *platform) order(t *testing.T, method, zone string, first int) {
	t.Helper()
	for deadline, n := time.Now().Add(waitLimit), first; time.Now().Before(deadline); n++ {
		if p.orderAt(method, zone, p.control[n%len(p.control)]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("%s of the evacuation of %s was not acknowledged within %s", method, zone, waitLimit)
}

// orderAt sends an order to one control box and reports whether that acknowledged it.
func (p *platform) orderAt(method, zone, address string) bool {
	req, err := http.NewRequest(method, "http://"+address+"/api/evacuations/"+zone, nil)
	if err != nil {
		return false
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// evacuate evacuates a zone.
func (p *platform) evacuate(t *testing.T, zone string, first int) {
	t.Helper()
	p.order(t, http.MethodPost, zone, first)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated[zone] = time.Now()
}

// endEvacuation ends the evacuation of a zone.
func (p *platform) endEvacuation(t *testing.T, zone string, first int) {
	t.Helper()
	p.mu.Lock()
	delete(p.evacuated, zone)
	p.mu.Unlock()
	p.order(t, http.MethodDelete, zone, first)
}

// Guards against requests to an evacuated zone and against floods of cold servers, while
// control boxes die, orders come several times through several boxes, and everything loses its
// processes. No request reaches the zone later than the platform allows, in no second does a
// cold server receive more than it handles, and all requests are served elsewhere meanwhile.
func TestEvacuationsUnderFaults(t *testing.T) {
	faults := map[string]func(tb *testbed, rng *rand.Rand){
		"none": func(*testbed, *rand.Rand) {},
		"a control box dies": func(tb *testbed, rng *rand.Rand) {
			boxes := tb.withRole("control")
			b := boxes[rng.Intn(len(boxes))]
			<-b.signal(syscall.SIGKILL)
			_ = b.start()
		},
		"every process dies": func(tb *testbed, _ *rand.Rand) {
			tb.killAll()
			for _, b := range tb.boxes {
				_ = b.start()
			}
		},
		"the order comes again": func(tb *testbed, rng *rand.Rand) {
			for range 3 {
				tb.platform.orderAt(http.MethodPost, secondZone, tb.platform.control[rng.Intn(len(tb.platform.control))])
			}
		},
	}
	lastSeed := int64(50)
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		lastSeed++
		seed, fault := lastSeed, faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(seed))
			f := newFleet(t, 3, 4)
			tb := startColdTestbed(t, f, seed)
			t.Cleanup(func() {
				if t.Failed() {
					tb.saveLogs(t, seed)
				}
			})
			stop := tb.startLoad(t, 12)
			time.Sleep(time.Second)
			tb.platform.evacuate(t, secondZone, rng.Intn(3))
			fault(tb, rng)
			time.Sleep(evacuateBound + 1500*time.Millisecond)
			var zone []*server
			for _, sv := range tb.platform.all() {
				if sv.zone == secondZone {
					sv.setCold(coldStart)
					zone = append(zone, sv)
				}
			}
			tb.platform.endEvacuation(t, secondZone, rng.Intn(3))
			zone = append(zone, tb.restartCold(t, zone[0]))
			time.Sleep(coldStart)
			for _, sv := range zone {
				sv.checkCold(t)
			}
			stop()
			tb.checkResults(t)
		})
	}
}

// startColdTestbed starts a fleet in front of two engines and a plain server in the default
// zone, and two engines in the second one; engines are cold after a start.
func startColdTestbed(t *testing.T, f *fleet, seed int64) *testbed {
	t.Helper()
	tb := startTestbed(t, f, seed, 2, 1)
	tb.platform.coldRate = coldRate
	if !tb.platform.configure(2, waitLimit) {
		t.Fatal("the configuration was not acknowledged")
	}
	for n := range 2 {
		sv, err := tb.platform.startServerIn(secondZone, fmt.Sprint("i-second-", n), engineService, time.Time{}, seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(sv.stop)
	}
	return tb
}

// restartCold stops a server and starts it again under its id.
func (tb *testbed) restartCold(t *testing.T, sv *server) *server {
	t.Helper()
	tb.platform.disruptions.recordFault(sv.id, drainBound)
	sv.stop()
	again, err := tb.platform.startServerIn(sv.zone, sv.id, sv.service, time.Now().Add(coldStart), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.stop)
	return again
}
