// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Engines read long prompts beside the streams that they answer, which pause meanwhile, and
// take orders: to copy a run's memory to another engine, to stop it there, to go on from the
// copy. So runs move in the soak as they do in service.

const (
	// longPrompt is from how many tokens on the reading of a prompt holds others up, readTime
	// how long it does; itlTarget is the pause that the routes allow, in milliseconds.
	longPrompt = 5000
	readTime   = 60 * time.Millisecond
	itlTarget  = 30
)

// run is a call that an engine answers.
type run struct {
	stopped chan struct{}
	// made is how many events it has made.
	made int
}

// began notes that an engine answers a call, and returns its run.
func (sv *server) begin(id string) *run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	r := &run{stopped: make(chan struct{})}
	sv.runs[id] = r
	return r
}

func (sv *server) end(id string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.runs, id)
}

// read holds the engine up while it reads a prompt.
func (sv *server) read(tokens uint64) {
	if tokens < longPrompt {
		return
	}
	sv.reading.Lock()
	time.Sleep(readTime)
	sv.reading.Unlock()
}

// order answers a question or an order; false when the request is none.
func (sv *server) order(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/api/") {
		return false
	}
	if form := sv.form(r); form == formTwice {
		sv.mu.Lock()
		connOf(r).sayAgain(sv.rng)
		sv.mu.Unlock()
	}
	switch {
	case r.URL.Path == "/api/report":
		_, _ = io.WriteString(w, `{"queued":0,"runs":[]}`)
	case r.URL.Path == "/api/kv-move":
		sv.move(w, r)
	default:
		w.WriteHeader(http.StatusOK)
	}
	return true
}

// move copies the memory of a run, and stops it when it is the last copy.
func (sv *server) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	running := sv.runs[order.ID]
	if running == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		close(running.stopped)
		delete(sv.runs, order.ID)
		sv.site.copied(order.ID)
		sv.site.reasons.stop(order.ID)
	}
	status := http.StatusOK
	if order.Last && sv.rng.Intn(5) == 0 {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"handle":%q,"made":%d}`, "h-"+order.ID, running.made)
}

// copied notes that a stopped run may go on once.
func (s *site) copied(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[id]++
	s.moved++
}

// goesOn takes the copy of a run; false when there is none.
func (s *site) goesOn(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies[id] == 0 {
		return false
	}
	s.copies[id]--
	return true
}
