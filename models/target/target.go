// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package target holds what a box knows of model engines and servers of plain
// services, and decides which one serves a request. Decisions are pure: time
// and randomness are passed in.
package target

import (
	"time"
)

// State is whether a target may get new work.
type State string

// States of a target.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Ejected State = "ejected"
	Drained State = "drained"
)

// Kind tells engines from plain services.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Target is a row of one target.
type Target struct {
	Name       string
	Address    string
	Kind       Kind
	Service    string
	Models     []string
	DataCentre string
	// Listed is the state in the platform's list; Leaving stays once seen.
	Listed State
	// Drained says that operators have drained it.
	Drained bool
	// Seen is the boot time at which the list last named it.
	Seen time.Duration
	// InFlight counts this box's own requests, InFlightTokens their prompts.
	InFlight       int
	InFlightPrompt int
	// Reported is the load the target published last, at boot time ReportedAt,
	// and OwnThen how many of it were this box's own.
	Reported       int
	ReportedPrompt int
	ReportedAt     time.Duration
	OwnThen        int
	Cache          Cache
	Health         Health
}

// Health decides on ejection. After enough failures in a row a target gets
// nothing until its pause ends, then one request as a probe.
type Health struct {
	failures int
	until    time.Duration
	pause    time.Duration
	probing  bool
}

const (
	ejectAfter = 3
	firstPause = time.Second
	mostPause  = 30 * time.Second
)

// Fail notes a failure of the target itself.
func (h *Health) Fail(now time.Duration) {
	h.failures++
	h.probing = false
	if h.failures < ejectAfter {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), mostPause)
	h.until = now + h.pause
}

// Succeed notes a sound answer.
func (h *Health) Succeed() { *h = Health{} }

// Ejected tells whether the target is paused.
func (h *Health) Ejected(now time.Duration) bool {
	return h.failures >= ejectAfter && (now < h.until || h.probing)
}

// probe marks that a request now tests a target whose pause has ended.
func (h *Health) probe() { h.probing = h.failures >= ejectAfter }

// StateAt returns the state of a target.
func (t *Target) StateAt(now time.Duration) State {
	switch {
	case t.Listed == Leaving:
		return Leaving
	case t.Drained:
		return Drained
	case t.Health.Ejected(now):
		return Ejected
	default:
		return Live
	}
}

// Load is the estimated number of requests at the target: what it reported,
// without this box's own of that time, and this box's own of now.
func (t *Target) Load() int { return max(0, t.Reported-t.OwnThen) + t.InFlight }

// Report takes a load report in.
func (t *Target) Report(running, prompt int, now time.Duration) {
	t.Reported, t.ReportedPrompt, t.ReportedAt = running, prompt, now
	t.OwnThen = min(t.InFlight, running)
}

// Begin notes that a request of this box goes to the target.
func (t *Target) Begin(prompt int) {
	t.InFlight++
	t.InFlightPrompt += prompt
	t.Health.probe()
}

// End notes that a request of this box has left the target.
func (t *Target) End(prompt int) {
	t.InFlight--
	t.InFlightPrompt -= prompt
}

// Table holds all targets of a box by name.
type Table struct {
	Targets map[string]*Target
	byModel map[string][]*Target
	byName  map[string][]*Target
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Targets: map[string]*Target{}, byModel: map[string][]*Target{}, byName: map[string][]*Target{}}
}

// Put adds a target or takes the platform's newer view of it in. A target
// that was seen leaving stays so, whatever an older list says afterwards.
func (t *Table) Put(row *Target, now time.Duration) {
	old := t.Targets[row.Name]
	if old == nil || old.Address != row.Address {
		row.Seen = now
		t.Targets[row.Name] = row
		t.index()
		return
	}
	old.Seen = now
	if row.Listed == Leaving {
		old.Listed = Leaving
	}
	if !sameWords(old.Models, row.Models) || old.Service != row.Service {
		old.Models, old.Service = row.Models, row.Service
		t.index()
	}
}

// Forget removes a target that the list no longer names and that has no
// request of this box.
func (t *Table) Forget(name string) {
	if old := t.Targets[name]; old != nil && old.InFlight == 0 {
		delete(t.Targets, name)
		t.index()
		return
	}
	if old := t.Targets[name]; old != nil {
		old.Listed = Leaving
	}
}

// index rebuilds the lists by model and service; targets change rarely.
func (t *Table) index() {
	t.byModel, t.byName = map[string][]*Target{}, map[string][]*Target{}
	for _, name := range sortedNames(t.Targets) {
		row := t.Targets[name]
		for _, m := range row.Models {
			t.byModel[m] = append(t.byModel[m], row)
		}
		if row.Kind == Service {
			t.byName[row.Service] = append(t.byName[row.Service], row)
		}
	}
}

// ForModel returns the engines that have a model.
func (t *Table) ForModel(model string) []*Target { return t.byModel[model] }

// ForService returns the servers of a plain service.
func (t *Table) ForService(service string) []*Target { return t.byName[service] }
