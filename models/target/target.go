// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package target tracks the model engines and the servers of plain services that a
// box knows, and decides which of them serves a request. Decisions are
// deterministic: the time and the source of randomness are passed in.
package target

import (
	"time"
)

// State says whether a target may receive new requests.
type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
	Ejected State = "ejected"
	Drained State = "drained"
)

// Kind distinguishes model engines from servers of plain services.
type Kind string

const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Target is the state of one target as this box sees it. Times are relative to the
// boot of the box.
type Target struct {
	Name       string
	Address    string
	Kind       Kind
	Service    string
	Models     []string
	DataCentre string
	// ListedState is the state in the platform's list. Once Leaving, it stays so.
	ListedState State
	// Drained is set while an operator has the target drained.
	Drained bool
	// LastListed is when the platform's list last contained the target.
	LastListed time.Duration
	// InFlight counts the requests of this box at the target, InFlightPromptTokens
	// their prompt tokens.
	InFlight             int
	InFlightPromptTokens int
	// ReportedRequests and ReportedPromptTokens are the requests and queued prompt
	// tokens in the target's last load report, which arrived at ReportedAt.
	// OwnReported is how many of the requests were this box's own.
	ReportedRequests     int
	ReportedPromptTokens int
	ReportedAt           time.Duration
	OwnReported          int
	Cache                Cache
	Health               Health
}

// Health decides on the ejection of a target. After ejectAfter consecutive failures
// the target receives nothing for a pause that doubles with each further failure,
// and then a single request as a probe.
type Health struct {
	failures    int
	pausedUntil time.Duration
	pause       time.Duration
	probing     bool
}

const (
	ejectAfter = 3
	minPause   = time.Second
	maxPause   = 30 * time.Second
)

// RecordFailure records a failure that is the target's own.
func (h *Health) RecordFailure(now time.Duration) {
	h.failures++
	h.probing = false
	if h.failures < ejectAfter {
		return
	}
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.pausedUntil = now + h.pause
}

// RecordSuccess records a valid answer, which ends an ejection.
func (h *Health) RecordSuccess() { *h = Health{} }

// Ejected reports whether the target is paused or has a probe in progress.
func (h *Health) Ejected(now time.Duration) bool {
	return h.failures >= ejectAfter && (now < h.pausedUntil || h.probing)
}

// startProbe records that a request is being sent. To an ejected target it is the startProbe.
func (h *Health) startProbe() { h.probing = h.failures >= ejectAfter }

// StateAt returns the state of the target at the given time.
func (t *Target) StateAt(now time.Duration) State {
	switch {
	case t.ListedState == Leaving:
		return Leaving
	case t.Drained:
		return Drained
	case t.Health.Ejected(now):
		return Ejected
	default:
		return Live
	}
}

// Load returns the estimated number of requests at the target: those of other boxes
// as of the last report, and this box's own as of now.
func (t *Target) Load() int { return max(0, t.ReportedRequests-t.OwnReported) + t.InFlight }

// RecordLoad records a load report of the target: its number of requests and the prompt
// tokens that are queued there.
func (t *Target) RecordLoad(running, prompt int, now time.Duration) {
	t.ReportedRequests, t.ReportedPromptTokens, t.ReportedAt = running, prompt, now
	t.OwnReported = min(t.InFlight, running)
}

// RequestStarted records that this box sends a request with the given number of prompt tokens
// to the target.
func (t *Target) RequestStarted(prompt int) {
	t.InFlight++
	t.InFlightPromptTokens += prompt
	t.Health.startProbe()
}

// RequestEnded records that a request of this box has ended.
func (t *Target) RequestEnded(prompt int) {
	t.InFlight--
	t.InFlightPromptTokens -= prompt
}

// Table holds the targets that a box knows. It is not safe for concurrent use.
type Table struct {
	Targets   map[string]*Target
	byModel   map[string][]*Target
	byService map[string][]*Target
}

func NewTable() *Table {
	return &Table{Targets: map[string]*Target{}, byModel: map[string][]*Target{}, byService: map[string][]*Target{}}
}

// Put adds a target or updates it from the platform's list. A target that was
// listed as leaving stays so, even if an older list arrives afterwards. A target
// with a new address replaces the old one.
func (t *Table) Put(row *Target, now time.Duration) {
	old := t.Targets[row.Name]
	if old == nil || old.Address != row.Address {
		row.LastListed = now
		t.Targets[row.Name] = row
		t.rebuildIndexes()
		return
	}
	old.LastListed = now
	if row.ListedState == Leaving {
		old.ListedState = Leaving
	}
	if !equalStrings(old.Models, row.Models) || old.Service != row.Service {
		old.Models, old.Service = row.Models, row.Service
		t.rebuildIndexes()
	}
}

// Remove removes a target that the platform no longer lists. One that still has
// requests of this box is marked as leaving instead.
func (t *Table) Remove(name string) {
	if old := t.Targets[name]; old != nil && old.InFlight == 0 {
		delete(t.Targets, name)
		t.rebuildIndexes()
		return
	}
	if old := t.Targets[name]; old != nil {
		old.ListedState = Leaving
	}
}

// rebuildIndexes rebuilds the indexes by model and service. It starts from scratch each time,
// since targets change rarely.
func (t *Table) rebuildIndexes() {
	t.byModel, t.byService = map[string][]*Target{}, map[string][]*Target{}
	for _, name := range sortedNames(t.Targets) {
		row := t.Targets[name]
		for _, m := range row.Models {
			t.byModel[m] = append(t.byModel[m], row)
		}
		if row.Kind == Service {
			t.byService[row.Service] = append(t.byService[row.Service], row)
		}
	}
}

// ForModel returns the targets that serve a model.
func (t *Table) ForModel(model string) []*Target { return t.byModel[model] }

// ForService returns the targets that serve a plain service.
func (t *Table) ForService(service string) []*Target { return t.byService[service] }
