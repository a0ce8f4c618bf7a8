// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between the heartbeats of a server.
const heartbeat = 1200 * time.Millisecond

// Server is the stand-in of a server. It runs what Handle does with each request that names it.
type Server struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Handle answers a request that this server runs.
	Handle func(s *Server, w http.ResponseWriter, r *http.Request)
	// Own answers requests to the server's own interface; nil to answer 404.
	Own http.Handler
	// Daemons are the addresses of the control boxes for this server; those of the fleet if there are none.
	Daemons []string
	// OnArrival is called for each request that names this server; may be nil.
	OnArrival func(s *Server, id string)

	fleet  *Fleet
	record *Record
	http   *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	acked    map[string]time.Duration
	runs     int
}

// AddServer starts a server. It sends heartbeats once Beat is called.
func (f *Fleet) AddServer(s *Server) (*Server, error) {
	s.fleet, s.record, s.state, s.stop, s.acked = f, f.Record, "ready", make(chan struct{}), map[string]time.Duration{}
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	s.record.Printf("server %s starts at %s", s.ID, s.Address)
	return s, nil
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" && s.Own != nil {
		s.Own.ServeHTTP(w, r)
		return
	}
	s.record.Printf("%s reaches server %s: %s %s expect %q kv-from %q deadline %q", id, s.ID, r.Method, r.URL.Path, r.Header.Get("Expect-Instance"), r.Header.Get("Kv-From"), r.Header.Get("Deadline-Ms"))
	w.Header().Set("Attempt-Id", id)
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != s.ID:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.OnArrival != nil {
		s.OnArrival(s, id)
	}
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	s.Handle(s, w, r)
}

// Runs returns how many requests the server has run.
func (s *Server) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// Sign sets the signature of an answer.
func (s *Server) Sign(w http.ResponseWriter) { w.Header().Set("Server-Signature", s.ID+".1") }

// Entry returns the next heartbeat of the server.
func (s *Server) Entry() Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return Object{"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": s.state, "cold_remaining_ms": 0, "sequence": s.sequence}
}

// Beat sends heartbeats until the server ends, each to one control box after the other until one
// acknowledges it.
func (s *Server) Beat() {
	s.BeatOnce()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
				s.BeatOnce()
			}
		}
	}()
}

// BeatOnce sends one heartbeat and reports whether it was acknowledged.
func (s *Server) BeatOnce() bool {
	entry, client := s.Entry(), NewClient(callTime)
	daemons := s.Daemons
	if len(daemons) == 0 {
		daemons = s.fleet.Registries()
	}
	for _, address := range daemons {
		select {
		case <-s.stop:
			return false
		default:
		}
		status, _, err := Call(client, http.MethodPut, address, "/api/instances/"+s.ID, entry)
		s.record.Printf("heartbeat %v of %s (%v) at %s: %d %v", entry["sequence"], s.ID, entry["state"], address, status, err)
		if err == nil && status/100 == 2 {
			s.mu.Lock()
			if state := entry["state"].(string); s.acked[state] == 0 {
				s.acked[state] = s.record.Now()
			}
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// Drain makes the server say that it drains, at once and with each further heartbeat. It returns when that
// was acknowledged, zero if it was not.
func (s *Server) Drain() time.Duration {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 5 {
		if s.BeatOnce() {
			break
		}
	}
	return s.AckedAt("draining")
}

// AckedAt returns when a state was first acknowledged, zero if it was not.
func (s *Server) AckedAt(state string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked[state]
}

// Crash ends the server without a word.
func (s *Server) Crash() {
	close(s.stop)
	_ = s.http.Close()
	s.record.Printf("server %s ends", s.ID)
}

// StreamEvents answers with a stream of events, numbered from first on, until the client has left. pause
// is called before each event.
func (s *Server) StreamEvents(w http.ResponseWriter, r *http.Request, first, count int, pause func(event int) bool) bool {
	s.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	flusher := w.(http.Flusher)
	for i := first; i < count; i++ {
		if !pause(i) || r.Context().Err() != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, r.Header.Get("Attempt-Id")); err != nil {
			return false
		}
		flusher.Flush()
	}
	return true
}
