// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/spread"
)

// policy is a way to place calls. All use the decision code of the product; what one leaves
// out is not told to it.
type policy struct {
	name string
	// blind leaves out common parts, together that long prompts are read apart, staying that
	// runs move on, unasked that readers are asked, random chooses by chance.
	blind, together, staying, unasked, random bool
	// omniscient lets all boxes share one table: what could be known of others' calls.
	omniscient bool
}

// crowded is how many prompts the least busy reader must have for a long one to be read
// where its common part is kept; the product's constant of services/forward.
const crowded = 2

// copyTime is how long a move takes for each token that is copied, and pauseTime the pause
// that it makes.
const (
	copyTime  = 4 * time.Microsecond
	pauseTime = 15 * time.Millisecond
)

// placed is what a box knows of one of its calls.
type placed struct {
	table   *spread.Table
	target  *spread.Target
	home    *spread.Target
	sent    time.Duration
	waiting int
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const service = "engines"

// play is one deployment under one policy.
type play struct {
	d       *deployment
	policy  policy
	rng     *rand.Rand
	agenda  agenda
	seq     int
	engines map[string]*engine
	ids     []string
	tables  []*spread.Table
	calls   []*call
}

func newPlay(d *deployment, p policy) *play {
	pl := &play{d: d, policy: p, rng: rand.New(rand.NewSource(d.seed + 2)), engines: map[string]*engine{}}
	for i := range d.engines {
		id := fmt.Sprintf("engine-%d", i)
		pl.ids = append(pl.ids, id)
		pl.engines[id] = newEngine(d)
	}
	for i := range d.boxes {
		if p.omniscient && i > 0 {
			pl.tables = append(pl.tables, pl.tables[0])
			continue
		}
		tb := spread.NewTable(pl.centre(i))
		for n, id := range pl.ids {
			tb.Put(&statev1.RegisteredTarget{Id: id, Service: service, Address: id, DataCentre: pl.centre(n), State: statev1.RegisteredTarget_STATE_READY}, 0)
		}
		pl.tables = append(pl.tables, tb)
	}
	return pl
}

func (pl *play) centre(n int) string { return fmt.Sprint("dc-", n%pl.d.centres) }

func (pl *play) later(at time.Duration, do func(now time.Duration)) {
	pl.seq++
	heap.Push(&pl.agenda, event{at: at, seq: pl.seq, do: do})
}

// settleTime is how long calls may still end after the last has come.
const settleTime = 8 * time.Second

// run plays the deployment and returns its calls.
func (pl *play) run() []*call {
	for _, a := range pl.d.arrivals() {
		pl.later(a.at, func(now time.Duration) { pl.arrive(&call{arrival: a}, now) })
	}
	pl.later(pl.d.report, pl.report)
	for range pl.d.crashes {
		id := pl.ids[pl.rng.Intn(len(pl.ids))]
		pl.later(time.Duration(2+8*pl.rng.Float64())*time.Second, func(now time.Duration) { pl.crash(id, now) })
	}
	for pl.agenda.Len() > 0 {
		ev := heap.Pop(&pl.agenda).(event)
		if ev.at > trafficTime+settleTime {
			break
		}
		ev.do(ev.at)
	}
	return pl.calls
}

// report tells all boxes what all read, as control does.
func (pl *play) report(now time.Duration) {
	total := time.Duration(0)
	for i, tb := range pl.tables {
		if !pl.policy.omniscient || i == 0 {
			total += tb.PrefillLoads(now)[service]
		}
	}
	for _, tb := range pl.tables {
		tb.SetFleetPrefillLoad(service, total, now)
	}
	if now < trafficTime {
		pl.later(now+pl.d.report, pl.report)
	}
}

func (pl *play) crash(id string, now time.Duration) {
	for _, c := range pl.engines[id].crash(now + 3*time.Second) {
		pl.fail(c, now)
	}
}

// arrive places a call as its box would.
func (pl *play) arrive(c *call, now time.Duration) {
	pl.calls = append(pl.calls, c)
	k := pl.d.kinds[c.kind]
	tb := pl.tables[c.box]
	boxes := pl.d.boxes
	if pl.policy.omniscient {
		boxes = 1
	}
	need := spread.Criteria{Service: service, Affinity: c.part, UnsharedTokens: c.own, MaxPause: k.pause, Boxes: boxes}
	if pl.policy.blind {
		need.Affinity = 0
	}
	if pl.policy.together {
		need.MaxPause = 0
	}
	choice := tb.Choose(need, now)
	if choice.IsDedicated && !pl.policy.unasked {
		pl.ask(&choice)
	}
	t := choice.Target
	if pl.policy.random {
		choice = spread.Choice{}
	}
	if t == nil {
		c.failed = true
		return
	}
	if pl.policy.random {
		for n := pl.rng.Intn(len(pl.ids)); t.ID != pl.ids[n]; {
			exclude := map[string]bool{}
			for _, id := range pl.ids {
				exclude[id] = id != pl.ids[n]
			}
			t = tb.Choose(spread.Criteria{Service: service, Boxes: 1, Exclude: exclude}, now).Target
			if t == nil {
				c.failed = true
				return
			}
		}
	}
	c.placed = placed{table: tb, target: t, home: choice.AffinityTarget, sent: now, waiting: c.own + c.shared}
	if !choice.IsDedicated {
		c.placed.home = nil
	}
	t.RunningCalls++
	t.WaitingTokens += c.placed.waiting
	var source *engine
	if choice.CacheSource != nil {
		source = pl.engines[choice.CacheSource.ID]
	}
	pl.send(c, now, source)
}

// ask chooses the least busy of the readers by their reports.
func (pl *play) ask(c *spread.Choice) {
	least := -1
	for _, r := range c.Dedicated {
		if load := pl.engines[r.ID].prompts(); least < 0 || load < least {
			least, c.Target = load, r
		}
	}
	if least >= crowded && c.AffinityTarget != nil {
		c.Target, c.IsDedicated = c.AffinityTarget, false
	}
}

func (pl *play) send(c *call, now time.Duration, source *engine) {
	e := pl.engines[c.placed.target.ID]
	e.add(c, now, source)
	if c.failed {
		pl.fail(c, now)
		return
	}
	pl.watch(e, now)
}

// watch has the step that an engine makes ended in its time.
func (pl *play) watch(e *engine, now time.Duration) {
	ends := e.stepEnds
	if ends <= now {
		return
	}
	pl.later(ends, func(now time.Duration) {
		if e.stepEnds != ends {
			return
		}
		events, ended := e.end(now)
		for _, c := range events {
			pl.answered(c, e, now)
		}
		for _, c := range ended {
			pl.leave(c, false, now)
			if c.placed.table != nil {
				c.placed.table.RecordStreamPause(c.placed.target, c.longest, pl.d.kinds[c.kind].pause)
			}
		}
		pl.watch(e, now)
	})
}

// answered notes a call's first event, and moves a run that was read apart.
func (pl *play) answered(c *call, e *engine, now time.Duration) {
	if c.placed.waiting == 0 {
		return
	}
	pl.endWait(c)
	c.placed.table.RecordPrefill(c.placed.target, c.own, now-c.placed.sent)
	if c.placed.home == nil || c.placed.home == c.placed.target || pl.policy.staying || c.ended {
		return
	}
	pl.later(now+time.Duration(c.own+c.shared)*copyTime, func(now time.Duration) {
		if !e.take(c) {
			return
		}
		pl.later(now+pauseTime, func(now time.Duration) { pl.move(c, now) })
	})
}

func (pl *play) move(c *call, now time.Duration) {
	c.placed.target.RunningCalls--
	c.placed.target = c.placed.home
	c.placed.target.RunningCalls++
	pl.send(c, now, nil)
}

func (pl *play) endWait(c *call) {
	c.placed.target.WaitingTokens -= c.placed.waiting
	c.placed.waiting = 0
}

func (pl *play) fail(c *call, now time.Duration) {
	c.failed = true
	if c.placed.target != nil {
		pl.leave(c, true, now)
	}
}

func (pl *play) leave(c *call, failed bool, now time.Duration) {
	pl.endWait(c)
	c.placed.target.RunningCalls--
	c.placed.table.RecordOutcome(c.placed.target, failed, now)
}
