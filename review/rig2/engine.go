// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is what a model server does: it prefills prompts one after the other, during which its running
// streams wait, sends one event each Step, and copies running requests to other engines.
type Engine struct {
	*Server
	// PerMs is how many prompt tokens are read in a millisecond, Stride how many tokens an event holds.
	PerMs, Stride int
	Step          time.Duration
	// TokenBytes and LinkMbps set how long a copy takes, twice as long between zones.
	TokenBytes int
	LinkMbps   float64
	// OnCopy is called when a copy of a run that goes on begins; may be nil.
	OnCopy func(from *Engine, id, to string)
	// Zones has the zone of each engine by its address.
	Zones map[string]string

	reading sync.RWMutex
	moving  sync.Mutex
	runsMu  sync.Mutex
	running map[string]*engineRun
	handles int
}

// engineRun is a running request. stop is closed when the run is to stop, stopped once it has.
type engineRun struct {
	tokens        int
	made          int
	stop, stopped chan struct{}
}

// AddEngine starts an engine.
func (f *Fleet) AddEngine(e *Engine) (*Engine, error) {
	e.running = map[string]*engineRun{}
	e.Handle = e.handle
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/kv-move", e.move)
	mux.HandleFunc("DELETE /api/kv-handle/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.record.Printf("handle %s is freed at %s", r.PathValue("id"), e.ID)
	})
	e.Own = mux
	_, err := f.AddServer(e.Server)
	return e, err
}

// counts returns the tokens of a request: the unshared ones of its prompt, all of it, and the most generated.
func counts(r *http.Request) (unshared, in, out int) {
	first, second, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	in, _ = strconv.Atoi(first)
	out, _ = strconv.Atoi(second)
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ":")
	unshared, _ = strconv.Atoi(parts[len(parts)-1])
	return unshared, in, out
}

// handle runs a request, from the event after Last-Event-Id on.
func (e *Engine) handle(s *Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	unshared, in, out := counts(r)
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	run := &engineRun{tokens: in, stop: make(chan struct{}), stopped: make(chan struct{})}
	e.runsMu.Lock()
	e.running[id] = run
	e.runsMu.Unlock()
	defer func() {
		e.runsMu.Lock()
		delete(e.running, id)
		e.runsMu.Unlock()
		close(run.stopped)
	}()
	if r.Header.Get("Kv-From") == "" {
		e.reading.Lock()
		time.Sleep(time.Duration(unshared/e.PerMs) * time.Millisecond)
		e.reading.Unlock()
	}
	whole := e.StreamEvents(w, r, first, out/e.Stride, func(event int) bool {
		select {
		case <-run.stop:
			return false
		case <-time.After(e.Step):
		}
		e.reading.RLock()
		defer e.reading.RUnlock()
		e.runsMu.Lock()
		defer e.runsMu.Unlock()
		run.made = event + 1
		return true
	})
	e.record.Printf("%s ends at %s, whole %v, events made %d", id, s.ID, whole, run.made)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.runsMu.Lock()
	runs := [][]any{}
	for id, run := range e.running {
		runs = append(runs, []any{id, run.tokens, run.made, 5})
	}
	e.runsMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Object{"phase": "mixed", "models": []any{Object{"name": "m", "version": 1, "adapters": []any{}}}, "utilization": false, "sequence": 0, "queued": 0, "active": len(runs), "kv_used": 0, "kv_total": 552156, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "next_page_token": 0, "runs": runs})
}

// copyTime returns how long the copy of tokens to an engine takes.
func (e *Engine) copyTime(tokens int, to string) time.Duration {
	seconds := float64(tokens*e.TokenBytes) * 8 / (e.LinkMbps * 1e6)
	if e.Zones[to] != e.Zone {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}

// copyWhole copies a run that goes on, after the copies before it. It returns false if the run has ended.
func (e *Engine) copyWhole(run *engineRun, to string) bool {
	e.moving.Lock()
	defer e.moving.Unlock()
	select {
	case <-run.stopped:
		return false
	case <-time.After(e.copyTime(run.tokens, to)):
	}
	select {
	case <-run.stopped:
		return false
	default:
		return true
	}
}

// move copies a run to another engine. With last it stops the run first and copies what is new.
func (e *Engine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"target_version"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.runsMu.Lock()
	run := e.running[order.ID]
	e.handles++
	handle := fmt.Sprintf("%s-%d", e.ID, e.handles)
	e.runsMu.Unlock()
	e.record.Printf("order to copy %s from %s to %s, last %v", order.ID, e.ID, order.To, order.Last)
	if run == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		close(run.stop)
		<-run.stopped
		time.Sleep(e.copyTime(100, order.To))
	} else {
		if e.OnCopy != nil {
			e.OnCopy(e, order.ID, order.To)
		}
		if !e.copyWhole(run, order.To) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	e.record.Printf("copy of %s at %s is complete, last %v", order.ID, order.To, order.Last)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Object{"handle": handle, "made": run.made})
}
