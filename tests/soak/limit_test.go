// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitHeader is the response header with the request rate, per second, that a
	// server accepts from all boxes together.
	limitHeader = "Server-Limit"
	// The users' platform requires that a rate limit is observed limitDelay after it
	// was first announced: in any limitWindow the server receives at most limitFactor
	// times the limit plus limitSlack requests.
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// announcedLimit is a rate limit and the period during which a server announces it; until
// is zero while it does.
type announcedLimit struct {
	perSecond    float64
	since, until time.Time
}

// announceLimit makes the server announce a rate limit in all its answers until withdrawLimit.
func (sv *server) announceLimit(perSecond float64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits = append(sv.limits, announcedLimit{perSecond: perSecond, since: time.Now()})
}

// withdrawLimit makes the server announce no rate limit any more.
func (sv *server) withdrawLimit() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if n := len(sv.limits); n > 0 && sv.limits[n-1].until.IsZero() {
		sv.limits[n-1].until = time.Now()
	}
}

// recordLimited records a request and sets the rate limit in the header of its answer. The
// caller holds sv.mu.
func (sv *server) recordLimited(h http.Header) {
	n := len(sv.limits)
	if n == 0 || !sv.limits[n-1].until.IsZero() {
		return
	}
	sv.arrivals = append(sv.arrivals, time.Now())
	h.Set(limitHeader, strconv.FormatFloat(sv.limits[n-1].perSecond, 'f', -1, 64))
}

// countRequests returns the highest number of requests in any limitWindow in which the limit had
// to be observed, and the number of all requests in that time.
func (sv *server) countRequests(l announcedLimit) (most, all int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	first := 0
	for i, at := range sv.arrivals {
		if at.Before(l.since.Add(limitDelay)) || !l.until.IsZero() && at.After(l.until) {
			first = i + 1
			continue
		}
		all++
		for at.Sub(sv.arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, all
}

// allowed returns how many requests a server may receive in any limitWindow.
func (l announcedLimit) allowed() int {
	return int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
}

// lastLimit returns the limit announced last. There must be one.
func (sv *server) lastLimit() announcedLimit {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limits[len(sv.limits)-1]
}

// Guards against boxes that ignore the rate limit of a server. In production two
// overloaded servers announced a limit of one request per second and still received
// four: their latency kept growing while sixteen other servers had free capacity. The
// boxes did not share a limit, and each kept its own rate. The arrivals at both servers
// were the same before and after the announcement, and no box logged a limit.
//
// In the test some engines announce a limit smaller than the number of boxes, while
// callers use all boxes. In each window after the first three seconds they receive no
// more than allowed from all boxes together, the rate that they do allow is used, other
// calls go to the other engines, and traffic returns once the limit is withdrawn.
func TestServersThatAnnounceALimit(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		// limited is how many of the three engines announce the limit.
		limited int
		// minUse is the share of the limit that must be used.
		minUse float64
		// aboveTraffic is true if the limit is far above the offered traffic.
		aboveTraffic bool
	}{
		"two engines, 1 per second":    {perSecond: 1, limited: 2, minUse: 0.5},
		"one engine, 0 per second":     {perSecond: 0, limited: 1},
		"all engines, 1000 per second": {perSecond: 1000, limited: 3, aboveTraffic: true},
		"all engines, 3 per second":    {perSecond: 3, limited: 3, minUse: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, 31, 3, 6, 3, 1)
			t.Cleanup(func() {
				if t.Failed() {
					tb.saveLogs(t, 31)
				}
			})
			stop := tb.startLoad(t, 18)
			limited := tb.platform.all()[:test.limited]
			for _, sv := range limited {
				sv.announceLimit(test.perSecond)
			}
			const length = 9 * time.Second
			time.Sleep(length)
			for _, sv := range limited {
				sv.withdrawLimit()
				l := sv.lastLimit()
				most, all := sv.countRequests(l)
				t.Logf("%s: at most %d requests in %s, %d allowed; %d after the first %s of %s", sv.id, most, limitWindow, l.allowed(), all, limitDelay, l.until.Sub(l.since))
				if most > l.allowed() {
					t.Errorf("%s with a limit of %g per second received %d requests in %s, want at most %d", sv.id, test.perSecond, most, limitWindow, l.allowed())
				}
				if least := test.minUse * test.perSecond * (l.until.Sub(l.since) - limitDelay).Seconds(); float64(all) < least {
					t.Errorf("%s received %d requests with a limit of %g per second, want at least %.1f", sv.id, all, test.perSecond, least)
				}
			}
			if test.limited < 3 || test.aboveTraffic {
				tb.checkNoneRefused(t)
			}
			for _, sv := range limited {
				tb.waitTraffic(t, sv)
			}
			stop()
			tb.checkResults(t)
		})
	}
}

// limitsDuringFaults are rate limits, per second, that servers announce during fault injection;
// limitsAfterFaults are those announced after it.
var (
	limitsDuringFaults = []float64{0, 0.4, 1, 3, 10, 1000}
	limitsAfterFaults  = []float64{0.5, 1, 2, 6}
)

// limitCheckTime is how long the limits are announced after all faults have ended.
const limitCheckTime = limitDelay + limitWindow + time.Second

// checkLimits checks after all faults that one server of each service, with a rate limit, receives
// no more requests than allowed: boxes that were killed, paused or disconnected share the
// limit correctly again.
func (tb *testbed) checkLimits(t *testing.T, rng *rand.Rand) {
	t.Helper()
	var limited []*server
	seen := map[string]bool{}
	all := tb.platform.all()
	// Only the last server that was started under an id receives calls.
	slices.Reverse(all)
	for _, sv := range all {
		if !sv.isRunning() || seen[sv.service] {
			continue
		}
		seen[sv.service] = true
		sv.announceLimit(limitsAfterFaults[rng.Intn(len(limitsAfterFaults))])
		limited = append(limited, sv)
	}
	time.Sleep(limitCheckTime)
	for _, sv := range limited {
		sv.withdrawLimit()
		l := sv.lastLimit()
		most, all := sv.countRequests(l)
		t.Logf("%s (%s), limit %g per second: at most %d requests in %s, %d allowed, %d in total", sv.id, sv.service, l.perSecond, most, limitWindow, l.allowed(), all)
		if most > l.allowed() {
			t.Errorf("%s with a limit of %g per second received %d requests in %s, want at most %d", sv.id, l.perSecond, most, limitWindow, l.allowed())
		}
	}
}

// isRunning reports whether the server is up and not draining.
func (sv *server) isRunning() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	select {
	case <-sv.quit:
		return false
	default:
		return sv.state == "ready"
	}
}

// startLoad starts callers that send to all boxes. The returned function stops them.
func (tb *testbed) startLoad(t *testing.T, callers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.caller(n).run(ctx.Done())
		}()
	}
	stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// checkNoneRefused checks that no call was refused for lack of a target.
func (tb *testbed) checkNoneRefused(t *testing.T) {
	t.Helper()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	for _, o := range tb.all.outcomes {
		if o.status == http.StatusServiceUnavailable && !strings.Contains(o.body, "budget") {
			t.Errorf("request %s (%s) was refused although an engine had capacity: %s", o.id, o.route, o.body)
			return
		}
	}
}

// waitTraffic waits until a server receives its usual traffic after its limit was withdrawn.
func (tb *testbed) waitTraffic(t *testing.T, sv *server) {
	t.Helper()
	// Arrivals are recorded only under a limit, so announce one far above the traffic.
	const aboveTraffic = 1000
	sv.announceLimit(aboveTraffic)
	waitFor(t, sv.id+" receives its usual traffic again", func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		recent := 0
		for i := len(sv.arrivals) - 1; i >= 0 && time.Since(sv.arrivals[i]) < time.Second; i-- {
			recent++
		}
		return recent > 8
	})
}
