// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// narrowLink is a loopback proxy in front of a box that carries a limited number of bytes a second in
// each direction, over all connections together.
type narrowLink struct {
	target string
	// byteTime is how long a byte takes.
	byteTime time.Duration

	mu sync.Mutex
	// freeAt has the time at which each direction has carried all bytes so far.
	freeAt [2]time.Time
}

// startNarrowLink starts a link of the given bandwidth in Mbit/s and returns its address.
func startNarrowLink(t *testing.T, target string, mbps float64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &narrowLink{target: target, byteTime: time.Duration(8 / mbps * float64(time.Microsecond))}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (l *narrowLink) connect(caller *net.TCPConn) {
	server, err := net.DialTimeout("tcp", l.target, dialLimit)
	if err != nil {
		_ = caller.Close()
		return
	}
	box := server.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Add(2)
	go l.carry(&wg, 0, box, caller)
	go l.carry(&wg, 1, caller, box)
	wg.Wait()
	_ = caller.Close()
	_ = box.Close()
}

// carry carries the bytes of one direction and passes on how the connection ends.
func (l *narrowLink) carry(wg *sync.WaitGroup, direction int, to, from *net.TCPConn) {
	defer wg.Done()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Until(l.take(direction, n)))
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			if direction == 1 {
				// A box that has ended a connection receives nothing on it any more.
				_ = from.Close()
			}
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// take returns the time at which a direction has carried n more bytes.
func (l *narrowLink) take(direction, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt[direction].Before(now) {
		l.freeAt[direction] = now
	}
	l.freeAt[direction] = l.freeAt[direction].Add(time.Duration(n) * l.byteTime)
	return l.freeAt[direction]
}

// organisationLoad is the load of one organisation.
type organisationLoad struct {
	name string
	// ids begins the ids of its calls.
	ids string
	// entries are the indexes of the boxes to which its callers keep connections.
	entries   []int
	perSecond float64
	// padding is the size of a body in bytes.
	padding int
}

// send sends calls of all kinds until stop is closed, whether or not the earlier ones were answered.
func (l organisationLoad) send(p *callerPool, stop <-chan struct{}) {
	routes := []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}
	idle := map[int]chan *caller{}
	for _, entry := range l.entries {
		idle[entry] = make(chan *caller, maxIdleCallers)
	}
	rng := rand.New(rand.NewSource(p.seed + int64(xxhash.Sum64String(l.ids))))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))):
		}
		entry := l.entries[rng.Intn(len(l.entries))]
		c := p.takeIdle(idle[entry], entry, n)
		c.padding = l.padding
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.record(c.send(fmt.Sprintf("%s-%d-%d", l.ids, p.seed, n), routes[n%len(routes)], "key-"+l.name))
			select {
			case idle[entry] <- c:
			default:
				c.disconnect()
			}
		}()
	}
}

// callHotBoxes makes callers of one organisation send to one box for some time.
func (tb *testbed) callHotBoxes(rng *rand.Rand, duration time.Duration) {
	tb.lastCopy++
	l := organisationLoad{name: "large", ids: fmt.Sprint("hot-", tb.lastCopy), entries: []int{rng.Intn(len(tb.all.entries))}, perSecond: 60, padding: longBody}
	stop := make(chan struct{})
	time.AfterFunc(duration, func() { close(stop) })
	tb.load.Add(1)
	go func() {
		defer tb.load.Done()
		l.send(tb.all, stop)
	}()
}

// Guards against an organisation whose load on a few boxes keeps the calls of others there from being served.
func TestOneOrganisationAtFewBoxes(t *testing.T) {
	const (
		seed, entries = 92, 6
		// linkMbps is the bandwidth of each box. The calls to a hot box take more than it, and those of
		// all boxes together less than half of it.
		linkMbps = 8
		perOther = 10.0
		// factor is the load of the organisation at the hot boxes, in that of each of the others.
		factor = 7
		length = 3 * time.Second
		// leastShare is the share of served calls at the hot boxes, in that elsewhere.
		leastShare = 0.5
		// budget covers all calls of an organisation.
		budget = 10_000_000
	)
	f := newFleet(t, 3, entries)
	for _, b := range f.withRole("entry") {
		b.env = append(b.env, fmt.Sprint("HAVENWINCH_LINK_MBPS=", linkMbps))
	}
	others := []string{"other-1", "other-2", "other-3"}
	tb := startTestbed(t, f, seed, 6, 6, func(p *platform) {
		p.organisations = map[string]uint64{"heavy": budget}
		for _, name := range others {
			p.organisations[name] = budget
		}
	})
	tb.awaitDirectory(t, tb.withRole("entry"))
	for i, address := range tb.all.entries {
		tb.all.entries[i] = startNarrowLink(t, address, linkMbps)
	}
	hot, all := []int{0, 1}, []int{0, 1, 2, 3, 4, 5}
	loads := []organisationLoad{
		{name: "heavy", ids: "heavy", entries: hot, perSecond: factor * perOther, padding: longBody},
		// The small budget is used up meanwhile.
		{name: "small", ids: "small", entries: hot, perSecond: perOther, padding: longBody},
	}
	for _, name := range others {
		loads = append(loads, organisationLoad{name: name, ids: name, entries: all, perSecond: perOther, padding: longBody})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, l := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(tb.all, stop)
		}()
	}
	time.Sleep(length)
	close(stop)
	wg.Wait()
	isHot := map[string]bool{}
	for _, i := range hot {
		isHot[tb.all.names[i]] = true
	}
	tb.checkAnswered(t)
	at, elsewhere := tb.all.servedOf("other-", isHot)
	heavy, _ := tb.all.servedOf("heavy", isHot)
	t.Logf("others: %s at the hot boxes, %s elsewhere; heavy: %s", at, elsewhere, heavy)
	if elsewhere.served == 0 || at.share() < leastShare*elsewhere.share() {
		t.Errorf("calls of the other organisations: %s served at the hot boxes, %s elsewhere, want at least half as often", at, elsewhere)
	}
	tb.checkResults(t)
}

// servedOf counts the calls whose ids begin with prefix, at the given boxes and elsewhere.
func (p *callerPool) servedOf(prefix string, boxes map[string]bool) (at, elsewhere served) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outcomes {
		if !strings.HasPrefix(o.id, prefix) {
			continue
		}
		s := &elsewhere
		if boxes[o.box] {
			s = &at
		}
		s.tries++
		if o.status == http.StatusOK && o.complete && o.signed {
			s.served++
		}
	}
	return at, elsewhere
}

// checkAnswered checks that each call that was sent whole got an answer.
func (tb *testbed) checkAnswered(t *testing.T) {
	t.Helper()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	for _, o := range tb.all.outcomes {
		if !o.wholeAt.IsZero() && o.status == 0 {
			t.Errorf("request %s (%s) at %s got no answer in %s", o.id, o.route, o.box, o.endedAt.Sub(o.sentAt))
		}
	}
}
