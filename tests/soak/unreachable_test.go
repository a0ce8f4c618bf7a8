// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// contactTime is how long after its links have failed a box must serve its callers again.
	contactTime = 3 * time.Second
	// measuredTime is how long first tries are counted after that, and answerTime how much longer
	// the links stay cut, so that the last ones can be answered.
	measuredTime = 3 * time.Second
	answerTime   = time.Second
	// leastShare is the least ratio of the share of calls served at boxes without links to the
	// servers to the share at the others.
	leastShare = 2.0 / 3
)

// outage is a time in which some boxes had no links to the servers, from contactTime after the
// links had failed.
type outage struct {
	name                  string
	boxes                 map[string]bool
	from, until, restored time.Time
}

// Guards against refusals at entry boxes that alone have lost their links to all targets while
// other boxes reach them.
func TestCallersOfBoxesWithoutTargetsAreServed(t *testing.T) {
	tests := map[string]struct {
		fault linkFault
		seed  int64
	}{
		"connections hang":            {fault: silentFault, seed: 61},
		"connections are reset":       {fault: resetFault, seed: 62},
		"new connections are refused": {fault: refusingFault, seed: 63},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, views := newViewedFleet(t, 3, 6)
			tb := startTestbed(t, f, test.seed, 4, 2)
			t.Cleanup(func() {
				if t.Failed() {
					tb.saveLogs(t, test.seed)
				}
			})
			tb.awaitDirectory(t, tb.withRole("entry"))
			stop := tb.startSteadyLoad()
			t.Cleanup(stop)
			centre := f.entriesOf(f.withRole("entry")[0].centre)
			outages := []outage{
				tb.cutFromServers(t, "one box", centre[:1], views, test.fault, false),
				tb.cutFromServers(t, "most of a data centre", centre[:len(centre)-1], views, test.fault, false),
				tb.cutFromServers(t, "all of a data centre", centre, views, test.fault, false),
				tb.cutFromServers(t, "a box that starts meanwhile", centre[:1], views, test.fault, true),
			}
			stop()
			for _, o := range outages {
				tb.all.checkShares(t, o)
			}
			tb.checkResults(t)
		})
	}
}

// cutFromServers cuts boxes off from all servers, and kills and starts them if restart is set, and
// measures what their callers get. It waits for contactTime after it has restored the links.
func (tb *testbed) cutFromServers(t *testing.T, name string, boxes []*box, views map[string]*view, fault linkFault, restart bool) outage {
	t.Helper()
	o := outage{name: name, boxes: map[string]bool{}}
	for _, b := range boxes {
		o.boxes[b.name] = true
		tb.platform.disruptions.recordFault(b.name, contactTime+measuredTime+answerTime)
		views[b.name].set(fault)
		if restart {
			<-b.signal(syscall.SIGKILL)
			if err := b.start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if restart {
		tb.ready(t)
		tb.awaitDirectory(t, boxes)
		for _, b := range boxes {
			tb.platform.disruptions.recordFault(b.name, contactTime+measuredTime+answerTime)
		}
	}
	time.Sleep(contactTime)
	o.from = time.Now()
	time.Sleep(measuredTime)
	o.until = time.Now()
	time.Sleep(answerTime)
	o.restored = time.Now()
	for _, b := range boxes {
		views[b.name].set(noFault)
	}
	time.Sleep(contactTime)
	return o
}

// awaitDirectory waits until boxes have heard from control of all entry boxes since their last
// start. A new leader collects reports before it tells of any.
func (tb *testbed) awaitDirectory(t *testing.T, boxes []*box) {
	t.Helper()
	all := fmt.Sprintf(`"boxes":%d`, len(tb.withRole("entry")))
	for _, b := range boxes {
		waitFor(t, b.name+" knows all entry boxes", func() bool {
			log := b.logText()
			log = log[strings.LastIndex(log, `"msg":"start"`)+1:]
			for line := range strings.Lines(log) {
				if strings.Contains(line, "directory of entry boxes in force") && strings.Contains(line, all) {
					return true
				}
			}
			return false
		})
	}
}

// checkShares checks that the callers of the boxes without links were served.
func (p *callerPool) checkShares(t *testing.T, o outage) {
	t.Helper()
	at, elsewhere := p.servedShares(o)
	t.Logf("%s: %s there, %s elsewhere", o.name, at, elsewhere)
	if at.share() < leastShare*elsewhere.share() {
		t.Errorf("%s: boxes without links to the servers served %s first tries, the others %s, want at least two thirds as many", o.name, at, elsewhere)
	}
}

// served counts first tries, and those of them that were served.
type served struct{ tries, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.tries)) }

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.tries) }

// servedShares counts the first tries that were sent during an outage, at its boxes and at the
// others.
func (p *callerPool) servedShares(o outage) (at, elsewhere served) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.outcomes {
		if c.sentAt.Before(o.from) || c.sentAt.After(o.until) {
			continue
		}
		s := &elsewhere
		if o.boxes[c.box] {
			s = &at
		}
		s.tries++
		if c.status == http.StatusOK && c.complete && c.signed && c.endedAt.Before(o.restored) {
			s.served++
		}
	}
	return at, elsewhere
}

// callInterval is the time between two calls to one entry box.
const callInterval = 60 * time.Millisecond

// startSteadyLoad sends calls of all kinds to each entry box at a steady rate, however long they
// take. The returned function ends that and waits for the last answers.
func (tb *testbed) startSteadyLoad() (stop func()) {
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for n := range tb.all.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.all.sendSteadily(n, quit)
		}()
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(quit) })
		wg.Wait()
	}
}

// sendSteadily sends calls with the large budget to the entry box with the given index until
// stop is closed. Callers keep their connections for the next call.
func (p *callerPool) sendSteadily(entry int, stop <-chan struct{}) {
	routes := []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}
	idle := make(chan *caller, maxIdleCallers)
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c := p.takeIdle(idle, entry, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.record(c.send(fmt.Sprintf("%d-%d-%d", p.seed, entry, n), routes[n%len(routes)], "key-large"))
			select {
			case idle <- c:
			default:
				c.disconnect()
			}
		}()
	}
}

// maxIdleCallers limits the idle callers of one entry box.
const maxIdleCallers = 8

// takeIdle returns an idle caller, or a new one if there is none.
func (p *callerPool) takeIdle(idle <-chan *caller, entry, n int) *caller {
	select {
	case c := <-idle:
		return c
	default:
		return &caller{all: p, n: n, entry: entry + 1, rng: rand.New(rand.NewSource(p.seed + int64(n)))}
	}
}

// entriesOf returns the entry boxes of a data centre.
func (f *fleet) entriesOf(centre string) []*box {
	return slices.DeleteFunc(f.withRole("entry"), func(b *box) bool { return b.centre != centre })
}
