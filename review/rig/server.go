// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time between two heartbeats of a server.
const heartbeatInterval = 1200 * time.Millisecond

// Server is a stand-in for a server of a service: a plain one, or a model server if Engine is set.
type Server struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Work is how long a plain server works on a request.
	Work time.Duration
	// Engine makes it a model server.
	Engine *Engine
	// OnRequest is called with each request that has reached the server; may be nil.
	OnRequest func(r *http.Request)
	// OnRun is called when the server begins to work on a request; may be nil.
	OnRun func(r *http.Request)

	d        *Deployment
	http     *http.Server
	sequence atomic.Int64
	mu       sync.Mutex
	state    string
	quit     chan struct{}
	ended    bool
}

var serverCount atomic.Int64

// StartServer starts a server that registers itself.
func (d *Deployment) StartServer(s *Server) error {
	s.d, s.state, s.quit = d, "ready", make(chan struct{})
	if s.ID == "" {
		s.ID = fmt.Sprintf("i-%08x", 0x7f3a0000+serverCount.Add(1))
	}
	if s.Address == "" {
		s.Address = d.NewAddress()
	}
	if s.Slots == 0 {
		s.Slots = 64
	}
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	if s.Engine != nil {
		s.Engine.start(s)
	}
	go func() { _ = s.http.Serve(l) }()
	go s.heartbeats()
	d.Record.Add("server %s of %s starts at %s", s.ID, s.Service, s.Address)
	return nil
}

func (s *Server) heartbeats() {
	for {
		_ = s.beat()
		select {
		case <-s.quit:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// entry returns the body of the next heartbeat.
func (s *Server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := map[string]any{"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": s.state, "cold_remaining_ms": 0, "sequence": s.sequence.Add(1)}
	if s.Engine != nil {
		e["phase"], e["models"] = "mixed", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	body, _ := json.Marshal(e)
	return body
}

// beat sends one heartbeat to one control box after the other until it is acknowledged.
func (s *Server) beat() bool {
	body := s.entry()
	for _, b := range s.d.Control {
		if status, _ := Call(b, http.MethodPut, "/api/instances/"+s.ID, body, time.Second); status/100 == 2 {
			return true
		}
	}
	return false
}

// Drain says that the server is leaving, and returns when that was acknowledged.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for !s.beat() {
		time.Sleep(50 * time.Millisecond)
	}
	s.d.Record.Add("server %s is draining, acknowledged", s.ID)
	return time.Now()
}

// Leave deregisters the server and ends it.
func (s *Server) Leave() {
	for _, b := range s.d.Control {
		if status, _ := Call(b, http.MethodDelete, "/api/instances/"+s.ID, nil, time.Second); status/100 == 2 {
			break
		}
	}
	s.End()
}

// End ends the server at once.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	close(s.quit)
	_ = s.http.Close()
	if s.Engine != nil {
		s.Engine.stop()
	}
	s.d.Record.Add("server %s has ended", s.ID)
}

// HasEnded reports whether the server has ended.
func (s *Server) HasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		s.health(w)
		return
	case s.Engine != nil && strings.HasPrefix(r.URL.Path, "/api/"):
		s.Engine.order(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.OnRequest != nil {
		s.OnRequest(r)
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	if s.Engine != nil {
		s.Engine.serve(ctx, w, r)
		return
	}
	s.ran(r)
	select {
	case <-time.After(s.Work):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Signature", Signature(s.ID, id))
	_, _ = w.Write([]byte("answer to " + id + "\n"))
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Instance-Id", s.ID)
	if s.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) ran(r *http.Request) {
	if s.OnRun != nil {
		s.OnRun(r)
	}
}

// Signature is the signature of a server's answer.
func Signature(server, id string) string { return server + "." + id }
