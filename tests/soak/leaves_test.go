// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"
)

// leaveBound is how long after a caller has left a request may still reach a server,
// and a server still work on it.
const leaveBound = 500 * time.Millisecond

// presence is when a request came to servers and when they were done with it.
type presence struct {
	arrived []time.Time
	ended   []time.Time
}

// came notes a request that reached a server, gone that the server is done with it.
func (s *site) came(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.presences[id]
	if p == nil {
		p = &presence{}
		s.presences[id] = p
	}
	p.arrived = append(p.arrived, time.Now())
}

func (s *site) gone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presences[id].ended = append(s.presences[id].ended, time.Now())
}

// Callers leave in every phase of their calls: before tokens are reserved, while a
// target is chosen, before and after the first event, while their run goes on. Half a
// second later no request of theirs reaches a server, and no server works on one; a few
// and a quarter are what the platform allows.
func TestServersAreDoneWithCallersThatLeave(t *testing.T) {
	w := newWorld(t, 41, 1, 3, 3, 1)
	t.Cleanup(func() {
		if t.Failed() {
			w.keepLogs(t, 41)
		}
	})
	const calls, callers, output = 40, 8, 6000
	w.site.readTime = 4 * time.Second
	var mu sync.Mutex
	left := map[string]time.Time{}
	var work sync.WaitGroup
	for n := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			rng := rand.New(rand.NewSource(int64(n)))
			for k := range calls {
				id := fmt.Sprintf("leaves-%d-%d-%d", n, k, k%2)
				at := w.leave(t, rng, id, output)
				mu.Lock()
				left[id] = at
				mu.Unlock()
			}
		}()
	}
	work.Wait()
	// A run that nobody stopped makes all its events in 5 s.
	eventually(t, "all servers are done", func() bool { return w.site.working() == 0 })
	late, outlived, ran := 0, 0, 0
	w.site.mu.Lock()
	for id, at := range left {
		p := w.site.presences[id]
		if p == nil {
			continue
		}
		ran++
		for _, arrived := range p.arrived {
			if arrived.After(at.Add(leaveBound)) {
				late++
			}
		}
		for _, ended := range p.ended {
			if ended.After(at.Add(leaveBound)) {
				outlived++
				break
			}
		}
	}
	w.site.mu.Unlock()
	t.Logf("%d of %d calls had reached a server; %d arrived late, %d were worked on late", ran, len(left), late, outlived)
	const few = 3
	if ran < len(left)/2 {
		t.Errorf("only %d calls reached a server before their callers left", ran)
	}
	if late > few {
		t.Errorf("%d requests reached a server over %s after their callers had left", late, leaveBound)
	}
	if outlived*4 > ran {
		t.Errorf("servers worked on %d of %d calls over %s after their callers had left", outlived, ran, leaveBound)
	}
	w.verdict(t)
}

// leave sends a call and closes its connection a moment later; it returns when.
func (w *world) leave(t *testing.T, rng *rand.Rand, id string, output int) time.Time {
	conn, err := net.DialTimeout("tcp", w.all.entries[rng.Intn(len(w.all.entries))], dialLimit)
	if err != nil {
		t.Error(err)
		return time.Now()
	}
	route := []string{"stream/resume", "stream/once"}[rng.Intn(2)]
	body := "body of " + id
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: key-large\r\nToken-Count: 200,%d\r\nContent-Length: %d\r\n\r\n%s", route, id, output, len(body), body)
	time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
	_ = conn.Close()
	return time.Now()
}

// working returns how many requests servers are at.
func (s *site) working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	working := 0
	for _, p := range s.presences {
		working += len(p.arrived) - len(p.ended)
	}
	return working
}
