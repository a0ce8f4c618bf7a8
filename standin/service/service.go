// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package service is a small stand-in for a plain service, which isn't a model engine.
package service

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service answers every call with the number of calls of that method and path so far.
type Service struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration

	mu    sync.Mutex
	calls map[string]int
	// closesLeft is how many of the next calls get no answer; servers may share it.
	closesLeft *atomic.Int64
}

// New returns a service whose calls take delay.
func New(name string, delay time.Duration) *Service {
	return &Service{Name: name, Delay: delay, calls: map[string]int{}, closesLeft: &atomic.Int64{}}
}

// CloseNext makes the service close the connection without an answer for the next n
// calls. They are counted as calls.
func (s *Service) CloseNext(n int) {
	s.closesLeft.Store(int64(n))
}

// ShareCloses makes CloseNext count the calls of both servers together.
func (s *Service) ShareCloses(other *Service) { other.closesLeft = s.closesLeft }

// Calls returns how often a method and path, as "GET /path", was called.
func (s *Service) Calls(methodAndPath string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[methodAndPath]
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	key := r.Method + " " + r.URL.Path
	s.calls[key]++
	n := s.calls[key]
	abort := s.closesLeft.Add(-1) >= 0
	s.mu.Unlock()
	time.Sleep(s.Delay)
	if abort {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s call %d\n", s.Name, key, n)
}
