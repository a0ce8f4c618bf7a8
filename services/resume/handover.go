// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"context"
	"sync"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// handOverParallel is how many records a stopping box hands over at the same time, and handOverTries
	// how often it tries to.
	handOverParallel = 16
	handOverTries    = 3
)

// HandOver sends the records that this box holds to other boxes, before it ends, and returns when they have
// been sent, nobody takes the rest, or the context is done. From its beginning on the box takes no records
// of others. It goes on to answer for those that it has.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	left := s.table.Entries(s.opts.Clock.Boot())
	s.mu.Unlock()
	p := s.currentPlacement()
	if p == nil || len(left) == 0 {
		return
	}
	all := len(left)
	for try := 0; len(left) > 0 && try < handOverTries && ctx.Err() == nil; try++ {
		if try > 0 {
			// Boxes that were left out for a missed answer are asked again.
			periodic.Sleep(ctx, silenceBlock)
		}
		left = s.handOverAll(ctx, p, left)
	}
	s.opts.Logger.Info("records of streams handed over", "records", all, "taken", all-len(left))
}

// handOverAll sends records, some at a time, and returns those that nobody has taken.
func (s *Service) handOverAll(ctx context.Context, p *resume.Placement, entries []resume.Entry) (left []resume.Entry) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan resume.Entry)
	for range min(handOverParallel, len(entries)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for e := range next {
				if ctx.Err() == nil && s.sendToNextOwner(ctx, p, e) {
					continue
				}
				mu.Lock()
				left = append(left, e)
				mu.Unlock()
			}
		}()
	}
	for _, e := range entries {
		next <- e
	}
	close(next)
	wg.Wait()
	return left
}

// sendToNextOwner sends a record to the next box that owns its slot in this data centre, or in another one if none
// takes it here.
func (s *Service) sendToNextOwner(ctx context.Context, p *resume.Placement, e resume.Entry) bool {
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
