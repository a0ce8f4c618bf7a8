// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// rejectionCase is a fleet before servers with a rejection limit, and what happens to it.
type rejectionCase struct {
	entries, servers, slots, queue, limit int
	habits                                roomHabits
	// load is the number of calls sent, as a share of those that the servers can run.
	load func(elapsed time.Duration) float64
	// patience is how long callers wait for an answer, zero for answerLimit.
	patience time.Duration
	// oneBox sends all calls to one box.
	oneBox bool
	// route is the route of the calls, empty for that of a plain service.
	route string
	// disturb disturbs the fleet until stop is closed.
	disturb func(tb *testbed, stop <-chan struct{})
}

const (
	rejectionWork   = 150 * time.Millisecond
	rejectionLength = 12 * time.Second
)

// rejectionResult is what servers and callers saw from contactTime after the limit was named.
type rejectionResult struct {
	rejected, failed int
	offered, served  int
	// share is the share served of the calls that fit.
	share float64
}

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// longTails makes a tenth of the requests need eight times the usual time.
var longTails = roomHabits{losesQueue: true, longShare: 0.1, longFactor: 8, noticingShare: 0.8, acceptTime: 5 * time.Millisecond}

func (c rejectionCase) play(t *testing.T, seed int64) rejectionResult {
	t.Helper()
	route, service, engines, plain := "plain/unsafe", plainService, 1, c.servers
	if c.route != "" {
		route, service, engines, plain = c.route, engineService, c.servers, 1
	}
	tb := startTestbed(t, newFleet(t, 3, c.entries), seed, engines, plain, func(p *platform) {
		p.rooms = map[string]func(*server){service: func(sv *server) {
			sv.setRoom(c.slots, c.queue, rejectionWork)
			sv.setRoomHabits(c.habits)
		}}
	})
	t.Cleanup(func() {
		if t.Failed() {
			tb.saveLogs(t, seed)
		}
	})
	tb.all.patience = c.patience
	tb.awaitDirectory(t, tb.withRole("entry"))
	capacity := float64(c.servers*c.slots) / rejectionWork.Seconds()
	for _, sv := range tb.platform.all() {
		if sv.service == service {
			sv.announceRejectionLimit(c.limit)
		}
	}
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		entry := func(rng *rand.Rand) int { return rng.Intn(len(tb.all.entries)) }
		if c.oneBox {
			entry = func(*rand.Rand) int { return 0 }
		}
		tb.all.sendAtRateTo(entry, route, func(elapsed time.Duration) float64 { return capacity * c.load(elapsed) }, stop)
	}()
	if c.disturb != nil {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.disturb(tb, stop)
		}()
	}
	time.Sleep(rejectionLength)
	close(stop)
	wg.Wait()
	tb.checkResults(t)
	return tb.rejectionResult(began.Add(contactTime), capacity*(rejectionLength-contactTime).Seconds())
}

// rejectionResult counts what happened from the given time on; capacity is how many calls fit.
func (tb *testbed) rejectionResult(from time.Time, capacity float64) rejectionResult {
	var r rejectionResult
	for _, sv := range tb.platform.all() {
		sv.mu.Lock()
		if sv.room != nil {
			for _, at := range sv.room.rejections {
				if at.After(from) {
					r.rejected++
				}
			}
		}
		sv.mu.Unlock()
	}
	tb.platform.mu.Lock()
	r.failed = tb.platform.failedUnderRejections
	tb.platform.mu.Unlock()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	for _, o := range tb.all.outcomes {
		if !o.sentAt.After(from) {
			continue
		}
		r.offered++
		if o.status == http.StatusOK && o.complete {
			r.served++
		}
	}
	r.share = float64(r.served) / min(float64(r.offered), capacity)
	return r
}

// changeLimits changes the rejection limit of all servers with a room in turn until stop is closed.
func changeLimits(limits ...int) func(tb *testbed, stop <-chan struct{}) {
	return func(tb *testbed, stop <-chan struct{}) {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
			for _, sv := range tb.platform.all() {
				sv.mu.Lock()
				hasRoom := sv.room != nil
				sv.mu.Unlock()
				if hasRoom {
					sv.announceRejectionLimit(limits[n%len(limits)])
				}
			}
		}
	}
}

// stopEntriesInSeries stops and starts one entry box after the other until stop is closed.
func stopEntriesInSeries(tb *testbed, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		entries := tb.withRole("entry")
		b := entries[n%len(entries)]
		<-b.signal(syscall.SIGTERM)
		_ = b.start()
	}
}

// silenceControl suspends the control boxes and kills half of the entry boxes.
func silenceControl(tb *testbed, stop <-chan struct{}) {
	for _, b := range tb.withRole("control") {
		b.signal(syscall.SIGSTOP)
	}
	entries := tb.withRole("entry")
	for _, b := range entries[:len(entries)/2] {
		tb.platform.disruptions.recordFault(b.name, time.Second)
		<-b.signal(syscall.SIGKILL)
		_ = b.start()
	}
	<-stop
	for _, b := range tb.withRole("control") {
		b.signal(syscall.SIGCONT)
	}
}

var rejectionCases = map[string]rejectionCase{
	"light, N=1":    {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(0.5)},
	"overload, N=1": {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(2)},
	"overload, N=2": {entries: 8, servers: 4, slots: 6, queue: 3, limit: 2, habits: longTails, load: steady(2)},
	"overload, N=3": {entries: 8, servers: 4, slots: 6, queue: 3, limit: 3, habits: longTails, load: steady(2)},
	"bursts, N=1": {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: func(at time.Duration) float64 {
		if at%(1500*time.Millisecond) < 500*time.Millisecond {
			return 4
		}
		return 0.25
	}},
	"12 boxes, 8 slots, light, N=1": {entries: 12, servers: 2, slots: 4, queue: 2, limit: 1, habits: longTails, load: steady(0.5)},
	"12 boxes, 8 slots, over, N=1":  {entries: 12, servers: 2, slots: 4, queue: 2, limit: 1, habits: longTails, load: steady(2)},
	"12 boxes, 8 slots, over, N=3":  {entries: 12, servers: 2, slots: 4, queue: 2, limit: 3, habits: longTails, load: steady(2)},
	"one box, N=1":                  {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(0.5), oneBox: true},
	"callers leave, N=1":            {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: roomHabits{losesQueue: true, noticingShare: 0.5}, load: steady(2), patience: 110 * time.Millisecond},
	"callers leave, light, N=2":     {entries: 8, servers: 4, slots: 6, queue: 3, limit: 2, habits: longTails, load: steady(0.7), patience: 200 * time.Millisecond},
	"stops in series, N=1":          {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(1.5), disturb: stopEntriesInSeries},
	"kills in series, N=1":          {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(1.5), disturb: restartEntries},
	"control silent, N=1":           {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(1.5), disturb: silenceControl},
	"limits change, N=4,1,0":        {entries: 8, servers: 4, slots: 6, queue: 3, limit: 3, habits: longTails, load: steady(2), disturb: changeLimits(1, 0, 4, 1, 2)},
	"engines, N=1":                  {entries: 8, servers: 4, slots: 6, queue: 3, limit: 1, habits: longTails, load: steady(2), route: "stream/once"},
}

// quickCases are the cases that are played where SOAK_SHAPES is not set.
var quickCases = []string{"12 boxes, 8 slots, over, N=1", "one box, N=1", "callers leave, N=1", "kills in series, N=1"}

// Guards against servers that fail under what they have to reject, in the loads, limits and disruptions
// that boxes meet. SOAK_SHAPES=all plays all cases, for four minutes.
func TestServersWithARejectionLimitStayUpInAnyLoad(t *testing.T) {
	for name, c := range rejectionCases {
		if os.Getenv("SOAK_SHAPES") == "" && !slices.Contains(quickCases, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			r := c.play(t, 72)
			t.Logf("%d failed, %d rejected, %d of %d served, %.2f of what fits", r.failed, r.rejected, r.served, r.offered, r.share)
			if most := 2 + c.servers/10; r.failed > most {
				t.Errorf("%d servers failed under the calls that they had to reject, want at most %d", r.failed, most)
			}
		})
	}
}
