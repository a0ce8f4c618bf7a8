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
	// limitField holds the requests a second that a server takes from all boxes.
	limitField = "Server-Limit"
	// limitKnown is how long after a server first named a limit it has to hold, and
	// limitWindow the time over which it does, with a factor and some requests to
	// spare: what the platform asks of its callers.
	limitKnown  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSpare  = 5
)

// namedLimit is a limit that a server names for some time.
type namedLimit struct {
	perSecond   float64
	since, till time.Time
}

// nameLimit makes the server name a limit in all its answers, until it is ended.
func (sv *server) nameLimit(perSecond float64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits = append(sv.limits, namedLimit{perSecond: perSecond, since: time.Now()})
}

// endLimit ends the limit that the server names.
func (sv *server) endLimit() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if n := len(sv.limits); n > 0 && sv.limits[n-1].till.IsZero() {
		sv.limits[n-1].till = time.Now()
	}
}

// arrived notes a request, and names the limit in the head of its answer; the
// caller holds the lock.
func (sv *server) arrived(h http.Header) {
	n := len(sv.limits)
	if n == 0 || !sv.limits[n-1].till.IsZero() {
		return
	}
	sv.arrivals = append(sv.arrivals, time.Now())
	h.Set(limitField, strconv.FormatFloat(sv.limits[n-1].perSecond, 'f', -1, 64))
}

// mostOf returns the most requests in a window that lies within a named limit, from
// when it had to hold, and how many came in that time.
func (sv *server) mostOf(l namedLimit) (most, all int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	first := 0
	for i, at := range sv.arrivals {
		if at.Before(l.since.Add(limitKnown)) || !l.till.IsZero() && at.After(l.till) {
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

// allowed is how many requests a server may get in any window.
func (l namedLimit) allowed() int {
	return int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSpare
}

// lastLimit returns the limit that the server named last.
func (sv *server) lastLimit() namedLimit {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.limits[len(sv.limits)-1]
}

// Servers in need named a limit of one request a second and went on getting four a
// second: their answers took longer and longer for everybody who was sent there,
// while sixteen others had room. No box had passed a rule on; each sent as before.
//
// Evidence: the two servers' arrivals before and after they named it are the same,
// and no box's log mentions a limit.
//
// Here some engines name a limit that is smaller than the number of boxes, while
// callers use all boxes. In each window from three seconds on they get no more than
// is allowed, over all boxes together; the room that they have is used; calls go to
// the others; and when they name none any more, they are used again.
func TestServersThatNameALimit(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		// limited is how many of the three engines name it.
		limited int
		// leastUsed is the part of what is allowed that must be used.
		leastUsed float64
		// wide is set when the limit is far above the traffic.
		wide bool
	}{
		"one a second":                      {perSecond: 1, limited: 2, leastUsed: 0.5},
		"nothing":                           {perSecond: 0, limited: 1},
		"every engine, a thousand a second": {perSecond: 1000, limited: 3, wide: true},
		"every engine, three a second":      {perSecond: 3, limited: 3, leastUsed: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 31, 3, 6, 3, 1)
			t.Cleanup(func() {
				if t.Failed() {
					w.keepLogs(t, 31)
				}
			})
			stop := w.callAll(t, 18)
			limited := w.site.all()[:test.limited]
			for _, sv := range limited {
				sv.nameLimit(test.perSecond)
			}
			const length = 9 * time.Second
			time.Sleep(length)
			for _, sv := range limited {
				sv.endLimit()
				l := sv.lastLimit()
				most, all := sv.mostOf(l)
				t.Logf("%s: at most %d in %s, %d allowed; %d from %s on in %s", sv.id, most, limitWindow, l.allowed(), all, limitKnown, l.till.Sub(l.since))
				if most > l.allowed() {
					t.Errorf("%s, which named a limit of %g a second, got %d requests in %s, %d are allowed", sv.id, test.perSecond, most, limitWindow, l.allowed())
				}
				if least := test.leastUsed * test.perSecond * (l.till.Sub(l.since) - limitKnown).Seconds(); float64(all) < least {
					t.Errorf("%s got %d requests, with a limit of %g a second at least %.1f should be sent there", sv.id, all, test.perSecond, least)
				}
			}
			if test.limited < 3 || test.wide {
				w.noneWithoutTarget(t)
			}
			for _, sv := range limited {
				w.usedAgain(t, sv)
			}
			stop()
			w.verdict(t)
		})
	}
}

// stormLimits are the limits that servers name for a while during the faults of a run,
// and calmLimits those of the calm after it, in requests a second.
var (
	stormLimits = []float64{0, 0.4, 1, 3, 10, 1000}
	calmLimits  = []float64{0.5, 1, 2, 6}
)

// calmTime is how long limits are kept after all faults have ended.
const calmTime = limitKnown + limitWindow + time.Second

// calm checks, once all faults have ended, that a server of each kind that names a
// limit gets no more than that: boxes that were killed, paused and cut off agree again
// on who sends.
func (w *world) calm(t *testing.T, rng *rand.Rand) {
	t.Helper()
	var limited []*server
	seen := map[string]bool{}
	all := w.site.all()
	// Of several starts under one id only the last one is used.
	slices.Reverse(all)
	for _, sv := range all {
		if !sv.running() || seen[sv.service] {
			continue
		}
		seen[sv.service] = true
		sv.nameLimit(calmLimits[rng.Intn(len(calmLimits))])
		limited = append(limited, sv)
	}
	time.Sleep(calmTime)
	for _, sv := range limited {
		sv.endLimit()
		l := sv.lastLimit()
		most, all := sv.mostOf(l)
		t.Logf("%s (%s) named %g a second: at most %d in %s, %d allowed, %d in all", sv.id, sv.service, l.perSecond, most, limitWindow, l.allowed(), all)
		if most > l.allowed() {
			t.Errorf("%s, which named a limit of %g a second, got %d requests in %s, %d are allowed", sv.id, l.perSecond, most, limitWindow, l.allowed())
		}
	}
}

// running tells whether the server takes calls and has not said that it leaves.
func (sv *server) running() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	select {
	case <-sv.quit:
		return false
	default:
		return sv.state == "ready"
	}
}

// callAll lets callers send to all boxes until the function that it returns is called.
func (w *world) callAll(t *testing.T, callers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for n := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			w.caller(n).run(ctx.Done())
		}()
	}
	stop = func() {
		cancel()
		work.Wait()
	}
	t.Cleanup(stop)
	return stop
}

// noneWithoutTarget checks that no call was refused for want of a target.
func (w *world) noneWithoutTarget(t *testing.T) {
	t.Helper()
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	for _, o := range w.all.outcomes {
		if o.status == http.StatusServiceUnavailable && !strings.Contains(o.body, "budget") {
			t.Errorf("request %s (%s) was refused while an engine had no limit: %s", o.id, o.route, o.body)
			return
		}
	}
}

// usedAgain waits until a server whose limit has ended gets more than it allowed.
func (w *world) usedAgain(t *testing.T, sv *server) {
	t.Helper()
	// A new limit far above the traffic counts what comes.
	const wide = 1000
	sv.nameLimit(wide)
	eventually(t, sv.id+" gets as much as before", func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		recent := 0
		for i := len(sv.arrivals) - 1; i >= 0 && time.Since(sv.arrivals[i]) < time.Second; i-- {
			recent++
		}
		return recent > 8
	})
}
