// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform is a small stand-in for the platform's services: the list of live
// and leaving targets, which may lag behind reality, and the rate-limited weight store.
package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"

	"golang.org/x/time/rate"
)

// Target is one entry of the list.
type Target struct {
	Name       string   `json:"name"`
	Address    string   `json:"address"`
	Kind       string   `json:"kind"`
	Service    string   `json:"service,omitempty"`
	Models     []string `json:"models,omitempty"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
}

// List is the answer of GET /targets.
type List struct {
	Version uint64   `json:"version"`
	Targets []Target `json:"targets"`
}

// Platform publishes the list of targets and limits reads of weights.
type Platform struct {
	weights *rate.Limiter

	mu      sync.Mutex
	version uint64
	reads   int
	targets map[string]Target
}

// New returns a platform with an empty list and a weight store that allows
// readsPerSecond reads per second.
func New(readsPerSecond float64) *Platform {
	return &Platform{targets: map[string]Target{}, weights: rate.NewLimiter(rate.Limit(readsPerSecond), 1)}
}

// Put adds or replaces a target.
func (p *Platform) Put(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.targets[t.Name] = t
}

// SetState changes the state of a target on the list.
func (p *Platform) SetState(name, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[name]
	t.State = state
	p.targets[name] = t
	p.version++
}

// Remove removes a target from the list.
func (p *Platform) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.targets, name)
	p.version++
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", p.list)
	mux.HandleFunc("POST /targets/{name}/state/{state}", func(w http.ResponseWriter, r *http.Request) {
		p.SetState(r.PathValue("name"), r.PathValue("state"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !p.weights.Allow() {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		fmt.Fprintf(w, "weights of %s\n", r.PathValue("name"))
	})
	return mux
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.countRead()
	list := p.List()
	tag := fmt.Sprintf("\"%d\"", list.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Reads returns how often the list was requested, including answers with status 304.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
}

// List returns the list sorted by name.
func (p *Platform) List() List {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := List{Version: p.version, Targets: make([]Target, 0, len(p.targets))}
	for _, t := range p.targets {
		list.Targets = append(list.Targets, t)
	}
	sort.Slice(list.Targets, func(i, j int) bool { return list.Targets[i].Name < list.Targets[j].Name })
	return list
}
