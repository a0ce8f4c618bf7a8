// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline keeps the newest events of a box, for a timeline that is merged
// from all processes. Events contain no prompts, keys or prefixes.
package timeline

import (
	"context"
	"sort"
	"sync"

	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/structs"
)

// Capacity is the number of events that a box keeps.
const Capacity = 16 << 10

// Recorder keeps the newest Capacity events in a ring buffer. It is safe for concurrent
// use.
type Recorder struct {
	box        string
	dataCentre string
	clock      *hlc.Clock

	mu   sync.Mutex
	ring []structs.Event
	// next is the index of the oldest event once the ring is full.
	next int
}

func New(box, dataCentre string, clock *hlc.Clock) *Recorder {
	return &Recorder{box: box, dataCentre: dataCentre, clock: clock}
}

// Record adds an event with the current time. request is empty for an event that
// belongs to no request.
func (r *Recorder) Record(kind, request, detail string) {
	e := structs.Event{
		Stamp:      r.clock.Now().String(),
		Box:        r.box,
		DataCentre: r.dataCentre,
		Kind:       kind,
		Request:    request,
		Detail:     detail,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % Capacity
}

// Events returns the kept events of a request in causal order, and all events if
// request is empty.
func (r *Recorder) Events(request string) []structs.Event {
	r.mu.Lock()
	events := make([]structs.Event, 0, len(r.ring))
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if request == "" || e.Request == request {
			events = append(events, e)
		}
	}
	r.mu.Unlock()
	Sort(events)
	return events
}

// Sort sorts events of any boxes into causal order, and those with equal stamps by box.
func Sort(events []structs.Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := hlc.Parse(events[i].Stamp), hlc.Parse(events[j].Stamp)
		if a != b {
			return a.Less(b)
		}
		return events[i].Box < events[j].Box
	})
}

type requestKey struct{}

// WithRequest returns a context with the id of the request that is handled in it.
func WithRequest(ctx context.Context, request string) context.Context {
	return context.WithValue(ctx, requestKey{}, request)
}

// RequestOf returns the request id of a context, "" if it has none.
func RequestOf(ctx context.Context) string {
	request, _ := ctx.Value(requestKey{}).(string)
	return request
}
