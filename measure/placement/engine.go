// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"container/list"
	"time"
)

// call is a request on its way.
type call struct {
	arrival
	// left are the prompt tokens that are to be read, made the tokens made.
	left, made int
	// first is when its first event came, last the newest, longest the longest pause.
	first, last, longest time.Duration
	failed, ended        bool
	// placed is what its box knows of it.
	placed placed
}

// inTime tells whether the answer is in time as its kind asks.
func (c *call) inTime(k kind) bool {
	return !c.failed && c.ended && c.first-c.at <= k.objective && c.longest <= k.pause
}

// engine is a batching engine: each step reads a chunk of one prompt and makes a token of
// each stream. All streams wait for the step.
type engine struct {
	d       *deployment
	waiting []*call
	reading *call
	running []*call
	// stepEnds is when the step that is being made ends, zero between steps; chunk is what
	// it reads.
	stepEnds time.Duration
	chunk    int
	down     time.Duration
	parts    map[uint64]*list.Element
	order    *list.List
	kept     int
}

// part is a common part of prompts that an engine keeps.
type part struct {
	id     uint64
	tokens int
}

func newEngine(d *deployment) *engine {
	return &engine{d: d, parts: map[uint64]*list.Element{}, order: list.New()}
}

// add takes a request in; one that moves here has nothing to read.
func (e *engine) add(c *call, now time.Duration, source *engine) {
	if now < e.down {
		c.failed = true
		return
	}
	if c.first > 0 {
		e.running = append(e.running, c)
	} else {
		c.left = c.own
		if !e.has(c.part) && (source == nil || !source.has(c.part)) {
			c.left += c.shared
		}
		e.waiting = append(e.waiting, c)
	}
	e.begin(now)
}

func (e *engine) has(id uint64) bool {
	el := e.parts[id]
	if el != nil {
		e.order.MoveToFront(el)
	}
	return el != nil
}

// keep notes that a part was read; those unused for longest give way.
func (e *engine) keep(id uint64, tokens int) {
	if e.has(id) {
		return
	}
	e.parts[id] = e.order.PushFront(part{id: id, tokens: tokens})
	for e.kept += tokens; e.kept > e.d.cache; {
		oldest := e.order.Remove(e.order.Back()).(part)
		delete(e.parts, oldest.id)
		e.kept -= oldest.tokens
	}
}

// begin begins a step when there is work and none is being made.
func (e *engine) begin(now time.Duration) {
	if e.stepEnds > 0 || now < e.down {
		return
	}
	if e.reading == nil && len(e.waiting) > 0 && len(e.running) < e.d.slots {
		e.reading, e.waiting = e.waiting[0], e.waiting[1:]
	}
	if e.reading == nil && len(e.running) == 0 {
		return
	}
	e.chunk = 0
	if e.reading != nil {
		e.chunk = min(e.d.chunk, e.reading.left)
	}
	e.stepEnds = now + e.d.step + time.Duration(len(e.running))*e.d.stepMore + time.Duration(e.chunk)*e.d.perToken
}

// end ends a step; it returns the calls that got an event, and those that have ended.
func (e *engine) end(now time.Duration) (events, ended []*call) {
	e.stepEnds = 0
	streams := e.running[:0]
	for _, c := range e.running {
		c.made++
		if c.made%e.d.stride != 0 {
			streams = append(streams, c)
			continue
		}
		if c.first == 0 {
			c.first = now
		} else {
			c.longest = max(c.longest, now-c.last)
		}
		c.last = now
		events = append(events, c)
		if c.made >= c.out*e.d.stride {
			c.ended = true
			ended = append(ended, c)
			continue
		}
		streams = append(streams, c)
	}
	e.running = streams
	if e.reading != nil {
		if e.reading.left -= e.chunk; e.reading.left <= 0 {
			e.keep(e.reading.part, e.reading.shared)
			e.running = append(e.running, e.reading)
			e.reading = nil
		}
	}
	e.begin(now)
	return events, ended
}

// take takes a running call away; false when it is not there any more.
func (e *engine) take(c *call) bool {
	for i, r := range e.running {
		if r == c {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			return true
		}
	}
	return false
}

// crash loses all work and what was kept, until a time.
func (e *engine) crash(until time.Duration) (lost []*call) {
	lost = append(append(lost, e.running...), e.waiting...)
	if e.reading != nil {
		lost = append(lost, e.reading)
	}
	*e = *newEngine(e.d)
	e.down = until
	return lost
}

// prompts is how many prompts it has before it, as it reports.
func (e *engine) prompts() int {
	n := len(e.waiting)
	if e.reading != nil {
		n++
	}
	return n
}
