// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"sync"
	"syscall"
	"time"
)

const (
	// noticeTime is how long after a trouble an answer may still break off by it: silence
	// is noticed by limits of the box and of its keep-alives.
	noticeTime = 4 * time.Second
	// mutedTime is how long a connection that is silent for good may have calls.
	mutedTime = 12 * time.Second
	// timeIsOver is how long a request takes whose time, of 8 s, is over.
	timeIsOver = 7500 * time.Millisecond
)

// reasons are what may break off an answer that has begun: a trouble of the box that
// the caller asked, one of a server that worked on the request, or a run that was
// stopped to move.
type reasons struct {
	mu sync.Mutex
	// until is, by box or server, when its last trouble is over and noticed.
	until map[string]time.Time
	// workers are the servers that worked on a request, by its id; stopped the requests
	// whose run was stopped to move.
	workers map[string][]string
	stopped map[string]bool
}

func newReasons() *reasons {
	return &reasons{until: map[string]time.Time{}, workers: map[string][]string{}, stopped: map[string]bool{}}
}

// disturb notes that a box or a server has a trouble from now on.
func (r *reasons) disturb(name string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end := time.Now().Add(length + noticeTime); end.After(r.until[name]) {
		r.until[name] = end
	}
}

// works notes that a server works on a request.
func (r *reasons) works(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = append(r.workers[id], server)
}

// stop notes that the run of a request was stopped to move.
func (r *reasons) stop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[id] = true
}

// mayBreak tells whether an answer that began at a time may break off now, at a box.
func (r *reasons) mayBreak(id, box string, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped[id] || time.Since(from) > timeIsOver || r.until[box].After(from) {
		return true
	}
	for _, server := range r.workers[id] {
		if r.until[server].After(from) {
			return true
		}
	}
	return false
}

// noteReasons notes whom a fault disturbs. A planned stop and a reload disturb nobody.
func (w *world) noteReasons(kind string, b *box, sv *server, length time.Duration) {
	switch kind {
	case "kill", "pause":
		w.site.reasons.disturb(b.name, length)
	case "herd":
		for _, other := range w.boxes {
			w.site.reasons.disturb(other.name, length)
		}
	case "delay", "silent", "one way", "reset", "grey":
		w.site.reasons.disturb(sv.id, length)
	case "mute":
		for _, other := range w.site.all() {
			w.site.reasons.disturb(other.id, mutedTime)
		}
	}
}

// killAll kills all boxes at once.
func (w *world) killAll() {
	for _, b := range w.boxes {
		w.site.reasons.disturb(b.name, 0)
		<-b.signal(syscall.SIGKILL)
	}
}
