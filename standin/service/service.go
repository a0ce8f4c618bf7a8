// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package service is a small stand-in for a plain service beside the model
// engines, with calls that may be repeated and calls that may not.
package service

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service answers every call with its own count of calls.
type Service struct {
	Name string
	// Delay is the time a call takes.
	Delay time.Duration

	mu    sync.Mutex
	calls map[string]int
	// close counts the calls that are to be closed; servers may share it.
	close *atomic.Int64
}

// New returns a service.
func New(name string, delay time.Duration) *Service {
	return &Service{Name: name, Delay: delay, calls: map[string]int{}, close: &atomic.Int64{}}
}

// CloseNext makes the next n calls be read and then closed without a word.
func (s *Service) CloseNext(n int) {
	s.close.Store(int64(n))
}

// CloseOnceWith makes two servers share their count of calls to close.
func (s *Service) CloseOnceWith(other *Service) { other.close = s.close }

// Calls returns how often a method and path was called.
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
	abort := s.close.Add(-1) >= 0
	s.mu.Unlock()
	time.Sleep(s.Delay)
	if abort {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s call %d\n", s.Name, key, n)
}
