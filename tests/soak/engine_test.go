// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Simulated engines process long prompts while they stream answers, which stall meanwhile,
// and accept the commands to copy the KV cache of a run to another engine, to stop the run
// and to resume from the copy. Runs therefore move between engines as in production.

const (
	// longPromptTokens is the prompt length, in tokens, from which prefill stalls other streams.
	longPromptTokens = 5000
	// prefillTime is the duration of such a stall.
	prefillTime = 60 * time.Millisecond
	// itlTarget is the inter-token latency that the routes allow, in milliseconds.
	itlTarget = 30
)

// run is the generation of one answer at an engine.
type run struct {
	stopped chan struct{}
	// events is the number of generated events.
	events int
}

// startRun registers the generation of an answer at the engine.
func (sv *server) startRun(id string) *run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	r := &run{stopped: make(chan struct{})}
	sv.runs[id] = r
	return r
}

func (sv *server) endRun(id string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.runs, id)
}

// startEngine starts an engine whose software has the given version.
func (p *platform) startEngine(id, version string, seed int64) (*server, error) {
	return p.launch(&server{id: id, service: engineService, zone: defaultZone, version: version}, seed)
}

// restartEngine ends an engine and starts it again under its id and address, with software of the
// given version. Its first registration is on its way for some time. An engine that has ended before is
// returned as it is.
func (p *platform) restartEngine(old *server, version string, registerAfter time.Duration, seed int64) (*server, error) {
	if !old.end(func() {}) {
		return old, nil
	}
	for time.Now().UnixMilli() <= old.startedAt {
		// A start is known by its id and its time of day in milliseconds.
		time.Sleep(time.Millisecond)
	}
	return p.launch(&server{id: old.id, service: old.service, zone: old.zone, version: version, link: old.link, registerAfter: registerAfter}, seed)
}

// prefill processes a prompt; a long one stalls all streams of the engine, any one if it has a speed.
func (sv *server) prefill(tokens uint64) {
	if speed := sv.currentSpeed(); speed > 0 {
		sv.prefillMu.Lock()
		time.Sleep(time.Duration(float64(tokens) * float64(promptTokenTime) / speed))
		sv.prefillMu.Unlock()
		return
	}
	if tokens < longPromptTokens {
		return
	}
	sv.prefillMu.Lock()
	time.Sleep(prefillTime)
	sv.prefillMu.Unlock()
}

// handleCommand handles engine commands and status queries. It reports whether the request was one.
func (sv *server) handleCommand(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/api/") {
		return false
	}
	if form := sv.answerForm(r); form == formRepeated {
		sv.mu.Lock()
		connOf(r).repeatAnswer(sv.rng)
		sv.mu.Unlock()
	}
	switch {
	case r.URL.Path == "/api/report":
		_, _ = fmt.Fprintf(w, `{"queued":0,"runs":[],"born":%d}`, sv.startedAt)
	case r.URL.Path == "/api/kv-move":
		sv.moveRun(w, r)
	default:
		w.WriteHeader(http.StatusOK)
	}
	return true
}

// moveRun copies the KV cache of a run, and stops the run after the last copy.
func (sv *server) moveRun(w http.ResponseWriter, r *http.Request) {
	var command struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&command) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	running := sv.runs[command.ID]
	if running == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if command.Last {
		close(running.stopped)
		delete(sv.runs, command.ID)
		sv.platform.recordCopy(command.ID)
		sv.platform.disruptions.recordStop(command.ID)
	}
	status := http.StatusOK
	if command.Last && sv.rng.Intn(5) == 0 {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"handle":%q,"made":%d}`, "h-"+command.ID, running.events)
}

// recordCopy records the final copy of a stopped run. It can be resumed from once.
func (p *platform) recordCopy(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies[id]++
	p.moved++
}

// takeCopy consumes a copy of a run and reports whether there was one.
func (p *platform) takeCopy(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copies[id] == 0 {
		return false
	}
	p.copies[id]--
	return true
}
