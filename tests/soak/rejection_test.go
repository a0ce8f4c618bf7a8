// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// rejectionHeader is the response header with the number of requests a second that a server
	// can reject for want of room before it fails.
	rejectionHeader = "Server-Brittle"
	// failureTime is how long a server that has failed under its rejections is away.
	failureTime = 2 * time.Second
)

// room makes a server work on a limited number of requests at once, let some wait, and reject the
// others. Once it has announced a rejection limit for contactTime, it fails when it has to reject
// more requests in a second.
type room struct {
	slots, queue int
	// work is the mean time that a request needs.
	work time.Duration
	roomHabits
	// limit is the rejection limit, announced since announcedAt; zero for none.
	limit       int
	announcedAt time.Time

	running, waiting int
	rejections       []time.Time
	free             *sync.Cond
}

// roomHabits are the ways in which a server with a limited room differs from one that needs the same
// time for each request, always lets as many wait, and finishes what it has begun.
type roomHabits struct {
	// losesQueue is set if no request may wait once the rejection limit counts.
	losesQueue bool
	// longShare is the share of requests that need longFactor times the usual time.
	longShare, longFactor float64
	// noticingShare is the share of requests that the server drops when their connection closes.
	noticingShare float64
	// acceptTime is how long a new connection holds a slot.
	acceptTime time.Duration
}

// holdSlotForConnection holds a slot for a new connection if one is free.
func (sv *server) holdSlotForConnection(_ net.Conn, state http.ConnState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	r := sv.room
	if state != http.StateNew || r == nil || r.acceptTime == 0 || r.running == r.slots {
		return
	}
	r.running++
	time.AfterFunc(r.acceptTime, func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		r.running--
		r.free.Signal()
	})
}

func (sv *server) setRoom(slots, queue int, work time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.room = &room{slots: slots, queue: queue, work: work, free: sync.NewCond(&sv.mu)}
}

func (sv *server) setRoomHabits(h roomHabits) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.room.roomHabits = h
}

// announceRejectionLimit makes the server announce a rejection limit from now on, zero for none.
func (sv *server) announceRejectionLimit(perSecond int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.room.limit == 0 {
		sv.room.announcedAt = time.Now()
	}
	sv.room.limit = perSecond
}

// setSmallRoom sets a room that the callers of a soak can fill.
func setSmallRoom(sv *server) {
	sv.setRoom(3, 2, 60*time.Millisecond)
	sv.setRoomHabits(longTails)
}

// withdrawRejectionLimit makes the server name no rejection limit.
func (sv *server) withdrawRejectionLimit() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.room != nil {
		sv.room.limit = 0
	}
}

// limitRejections makes all plain servers name a rejection limit. It holds until the faults end, or until
// the next change.
func (tb *testbed) limitRejections(perSecond int) {
	for _, sv := range tb.platform.all() {
		sv.mu.Lock()
		hasRoom := sv.room != nil
		sv.mu.Unlock()
		if hasRoom {
			sv.announceRejectionLimit(perSecond)
		}
	}
}

// checkRejectionFailures checks that no more servers have failed under their rejections than the users
// allow in one time in which servers name a limit.
func (tb *testbed) checkRejectionFailures(t *testing.T) {
	t.Helper()
	plain, rejected := 0, 0
	for _, sv := range tb.platform.all() {
		sv.mu.Lock()
		if sv.service == plainService && sv.room != nil {
			plain++
			rejected += len(sv.room.rejections)
		}
		sv.mu.Unlock()
	}
	tb.platform.mu.Lock()
	defer tb.platform.mu.Unlock()
	t.Logf("%d calls rejected by %d plain servers, %d servers failed under them", rejected, plain, tb.platform.failedUnderRejections)
	if n, most := tb.platform.failedUnderRejections, 2+plain/10; n > most {
		t.Errorf("%d servers failed under the calls that they had to reject, want at most %d", n, most)
	}
}

// counts reports whether rejections may make the server fail.
func (r *room) counts() bool { return r.limit > 0 && time.Since(r.announcedAt) > contactTime }

// mayWait returns how many requests may wait.
func (r *room) mayWait() int {
	if r.losesQueue && r.counts() {
		return 0
	}
	return r.queue
}

// timeFor draws the time that a request needs.
func (r *room) timeFor(rng *rand.Rand) time.Duration {
	if r.longShare == 0 {
		return r.work
	}
	usual := float64(r.work) / (1 + r.longShare*(r.longFactor-1))
	if rng.Float64() < r.longShare {
		usual *= r.longFactor
	}
	return time.Duration(usual)
}

// workInRoom occupies a slot for the time that a request needs, and until the returned function is
// called. It returns false if the request was rejected.
func (sv *server) workInRoom(w http.ResponseWriter, req *http.Request, id string) (leave func(), ok bool) {
	sv.mu.Lock()
	r := sv.room
	if r == nil {
		sv.mu.Unlock()
		return func() {}, true
	}
	if r.limit > 0 {
		w.Header().Set(rejectionHeader, strconv.Itoa(r.limit))
	}
	if r.running == r.slots && r.waiting >= r.mayWait() {
		fails := sv.recordRejection()
		sv.mu.Unlock()
		if fails {
			sv.failUnderRejections()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	r.waiting++
	for r.running == r.slots {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	work, gone := r.timeFor(sv.rng), req.Context().Done()
	if sv.rng.Float64() >= r.noticingShare {
		gone = nil
	}
	sv.mu.Unlock()
	select {
	case <-time.After(work):
	case <-gone:
	}
	return func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		r.running--
		r.free.Signal()
	}, true
}

// recordRejection records a rejection and reports whether the server fails under it. The caller
// holds sv.mu.
func (sv *server) recordRejection() (fails bool) {
	r, now := sv.room, time.Now()
	r.rejections = append(r.rejections, now)
	recent := 0
	for i := len(r.rejections) - 1; i >= 0 && now.Sub(r.rejections[i]) < time.Second; i-- {
		recent++
	}
	return r.counts() && recent > r.limit
}

// failUnderRejections ends the server and starts one with the same room later.
func (sv *server) failUnderRejections() {
	p := sv.platform
	sv.stopping.Do(func() {
		p.mu.Lock()
		p.failedUnderRejections++
		p.mu.Unlock()
		close(sv.quit)
		_ = sv.http.Close()
		sv.link.close()
		time.AfterFunc(failureTime, func() {
			next := &server{id: p.newServerID(), service: sv.service, zone: sv.zone, version: sv.version}
			next.setRoom(sv.room.slots, sv.room.queue, sv.room.work)
			next.room.roomHabits = sv.room.roomHabits
			sv.mu.Lock()
			next.room.limit, next.room.announcedAt = sv.room.limit, sv.room.announcedAt
			sv.mu.Unlock()
			if fresh, err := p.launch(next, 0); err == nil {
				p.addCleanup(fresh.stop)
			}
		})
	})
}

// sendAtRate sends calls of a route to random entry boxes at a rate that may change, until stop is
// closed, whether or not the earlier ones were answered.
func (p *callerPool) sendAtRate(route string, perSecond func(elapsed time.Duration) float64, stop <-chan struct{}) {
	p.sendAtRateTo(func(rng *rand.Rand) int { return rng.Intn(len(p.entries)) }, route, perSecond, stop)
}

// sendAtRateTo sends calls as sendAtRate does to the entry boxes whose indexes entry returns.
func (p *callerPool) sendAtRateTo(entry func(*rand.Rand) int, route string, perSecond func(elapsed time.Duration) float64, stop <-chan struct{}) {
	idle := make(chan *caller, maxIdleCallers)
	rng := rand.New(rand.NewSource(p.seed))
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		pause := time.Duration(rng.ExpFloat64() / perSecond(time.Since(began)) * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c := p.takeIdle(idle, entry(rng), n)
		c.patience = p.patience
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.record(c.send(fmt.Sprintf("rate-%d-%d", p.seed, n), route, "key-large"))
			select {
			case idle <- c:
			default:
				c.disconnect()
			}
		}()
	}
}

// Guards against servers with a rejection limit that fail under the calls that they have to reject.
func TestServersWithARejectionLimitStayUp(t *testing.T) {
	const (
		servers, slots, queue = 4, 4, 1
		work                  = 150 * time.Millisecond
		limit                 = 4
		length                = 9 * time.Second
	)
	// capacity is how many calls a second the servers can run.
	capacity := servers * slots / work.Seconds()
	constant := func(factor float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return factor * capacity }
	}
	tests := map[string]struct {
		rate func(elapsed time.Duration) float64
		// route is the route of the calls, empty for that of a plain service.
		route string
		// disturb disturbs the fleet until stop is closed.
		disturb func(tb *testbed, stop <-chan struct{})
	}{
		"light load": {rate: constant(0.25)},
		"overload":   {rate: constant(2.5)},
		"bursts": {rate: func(elapsed time.Duration) float64 {
			if elapsed%(1500*time.Millisecond) < 500*time.Millisecond {
				return 4 * capacity
			}
			return 0.25 * capacity
		}},
		"engines":            {rate: constant(2.5), route: "stream/once"},
		"boxes that restart": {rate: constant(2.5), disturb: restartEntries},
		"boxes that are cut off from control": {rate: constant(2.5), disturb: func(tb *testbed, stop <-chan struct{}) {
			for _, b := range tb.withRole("control") {
				b.signal(syscall.SIGSTOP)
			}
			<-stop
			for _, b := range tb.withRole("control") {
				b.signal(syscall.SIGCONT)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route, service, engines, plain := "plain/unsafe", plainService, 1, servers
			if test.route != "" {
				route, service, engines, plain = test.route, engineService, servers, 1
			}
			tb := newTestbed(t, 71, 3, 8, engines, plain)
			t.Cleanup(func() {
				if t.Failed() {
					tb.saveLogs(t, 71)
				}
			})
			tb.awaitDirectory(t, tb.withRole("entry"))
			for _, sv := range tb.platform.all() {
				if sv.service == service {
					sv.setRoom(slots, queue, work)
					sv.announceRejectionLimit(limit)
				}
			}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				tb.all.sendAtRate(route, test.rate, stop)
			}()
			if test.disturb != nil {
				wg.Add(1)
				go func() {
					defer wg.Done()
					test.disturb(tb, stop)
				}()
			}
			time.Sleep(length)
			close(stop)
			wg.Wait()
			tb.checkResults(t)
			tb.checkNoneFailed(t)
		})
	}
}

// restartEntries kills and starts one entry box after the other until stop is closed.
func restartEntries(tb *testbed, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(800 * time.Millisecond):
		}
		entries := tb.withRole("entry")
		b := entries[n%len(entries)]
		tb.platform.disruptions.recordFault(b.name, time.Second)
		<-b.signal(syscall.SIGKILL)
		_ = b.start()
	}
}

// checkNoneFailed checks that no server has failed under its rejections.
func (tb *testbed) checkNoneFailed(t *testing.T) {
	t.Helper()
	all := 0
	for _, sv := range tb.platform.all() {
		sv.mu.Lock()
		if sv.room != nil {
			all += len(sv.room.rejections)
		}
		sv.mu.Unlock()
	}
	tb.platform.mu.Lock()
	defer tb.platform.mu.Unlock()
	t.Logf("%d calls rejected by servers, %d servers failed under them", all, tb.platform.failedUnderRejections)
	if n := tb.platform.failedUnderRejections; n > 0 {
		t.Errorf("%d servers failed under the calls that they had to reject", n)
	}
}
