// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"sync"
	"syscall"
	"time"
)

const (
	// detectionTime is how long after a fault it may still truncate an answer: a silent
	// connection is detected by timeouts and keep-alives of the box.
	detectionTime = 4 * time.Second
	// muteDuration is how long calls may be on a connection that was muted.
	muteDuration = 12 * time.Second
	// nearTimeout is the duration from which a request counts as timed out; the timeout
	// of the routes is 8 s.
	nearTimeout = 7500 * time.Millisecond
)

// disruptions records the events that may truncate an answer: a fault of the entry box,
// a fault of a server that worked on the request, or a run that was stopped to move it.
type disruptions struct {
	mu sync.Mutex
	// until has, by box or server, the end of its last fault plus detectionTime.
	until map[string]time.Time
	// workers has the servers that worked on a request, by request id.
	workers map[string][]string
	// stopped has the ids of the requests whose run was stopped to move it.
	stopped map[string]bool
}

func newDisruptions() *disruptions {
	return &disruptions{until: map[string]time.Time{}, workers: map[string][]string{}, stopped: map[string]bool{}}
}

// recordFault records a fault of a box or server that begins now.
func (r *disruptions) recordFault(name string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end := time.Now().Add(length + detectionTime); end.After(r.until[name]) {
		r.until[name] = end
	}
}

// recordWorker records that a server works on a request.
func (r *disruptions) recordWorker(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = append(r.workers[id], server)
}

// hasWorker reports whether a server works on a request.
func (r *disruptions) hasWorker(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.workers[id]) > 0
}

// recordStop records that the run of a request was stopped to move it.
func (r *disruptions) recordStop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[id] = true
}

// explainsTruncation reports whether a recorded event explains that the answer to a request, sent to
// the box at that time, is truncated now.
func (r *disruptions) explainsTruncation(id, box string, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped[id] || time.Since(from) > nearTimeout || r.until[box].After(from) {
		return true
	}
	for _, server := range r.workers[id] {
		if r.until[server].After(from) {
			return true
		}
	}
	return false
}

// recordDisruption records the boxes and servers that a fault affects. A graceful shutdown and
// a reload must not truncate answers.
func (tb *testbed) recordDisruption(kind string, b *box, sv *server, length time.Duration) {
	switch kind {
	case "kill", "pause":
		tb.platform.disruptions.recordFault(b.name, length)
	case "kill all":
		for _, other := range tb.boxes {
			tb.platform.disruptions.recordFault(other.name, length)
		}
	case "delay", "silent", "one way", "reset", "dropped answers", "bodies unread":
		tb.platform.disruptions.recordFault(sv.id, length)
	case "mute":
		for _, other := range tb.platform.all() {
			tb.platform.disruptions.recordFault(other.id, muteDuration)
		}
	}
}

// killAll kills all boxes and waits for their processes to exit.
func (tb *testbed) killAll() {
	for _, b := range tb.boxes {
		tb.platform.disruptions.recordFault(b.name, 0)
		<-b.signal(syscall.SIGKILL)
	}
}
