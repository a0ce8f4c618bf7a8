// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"context"
	"sync"
	"sync/atomic"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/resume"
)

// handOverParallel is how many records a stopping box hands over at the same time.
const handOverParallel = 16

// HandOver sends the records that this box holds to other boxes, before it ends, and returns when they have
// been sent or the context is done. From its beginning on the box takes no records of others. It goes on
// to answer for those that it has.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	entries := s.table.Entries(s.opts.Clock.Boot())
	s.mu.Unlock()
	p := s.currentPlacement()
	if p == nil || len(entries) == 0 {
		return
	}
	var taken atomic.Int64
	var wg sync.WaitGroup
	next := make(chan resume.Entry)
	for range min(handOverParallel, len(entries)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for e := range next {
				if s.handOver(ctx, p, e) {
					taken.Add(1)
				}
			}
		}()
	}
	for _, e := range entries {
		if ctx.Err() != nil {
			break
		}
		next <- e
	}
	close(next)
	wg.Wait()
	s.opts.Logger.Info("records of streams handed over", "records", len(entries), "taken", taken.Load())
}

// handOver sends a record to the next box that owns its slot in this data centre, or in another one if none
// takes it here.
func (s *Service) handOver(ctx context.Context, p *resume.Placement, e resume.Entry) bool {
	r := &betweenv1.RecordRequest{Stream: e.Key[:], Software: string(e.Software), Lifetime: e.Left.Milliseconds()}
	if s.recordAtOne(ctx, p.Near(e.Key), r) {
		return true
	}
	for _, boxes := range p.Far(e.Key) {
		if s.recordAtOne(ctx, boxes, r) {
			return true
		}
	}
	return false
}

func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}
