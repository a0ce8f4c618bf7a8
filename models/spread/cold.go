// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"slices"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
)

// A target is cold for some time after its start, and again whenever it reports that. A cold
// target handles few requests a second from all boxes together and fails under many more.
// Without a limit it would get the calls of all boxes at once, as it has the least load of
// all targets. So the boxes divide its rate as they divide the limits that targets state.
//
// A target that may have restarted unnoticed counts as cold for as long as a start takes:
// after this box could not reach it, and after its data centre was evacuated.

// minColdSuspicion is how long such a target counts as cold at least: two intervals of its
// reports to control, and the time that these take to reach this box.
const minColdSuspicion = 2500 * time.Millisecond

// ColdTerms say what the cold targets of a service can handle.
type ColdTerms struct {
	// Rate is in requests per second from all boxes together, zero if the targets of the
	// service are never cold.
	Rate float64
	// Start is how long a target is cold after its start.
	Start time.Duration
}

// SetColdTerms sets the terms of all services, by service.
func (tb *Table) SetColdTerms(terms map[string]ColdTerms) { tb.coldTerms = terms }

// IsCold reports whether a target counts as cold at now.
func (t *Target) IsCold(now time.Duration) bool { return now < max(t.coldUntil, t.suspectUntil) }

// RecordCold records for how much longer a target is cold as it has reported.
func (t *Target) RecordCold(left, now time.Duration) {
	if left == 0 {
		t.coldUntil = 0
		return
	}
	t.coldUntil = now + left
	t.fillingUntil = now + cacheFillTime
}

// suspectCold lets a target count as cold for as long as its start would take.
func (tb *Table) suspectCold(t *Target, now time.Duration) {
	t.suspectUntil = now + max(minColdSuspicion, tb.coldTerms[t.Service].Start)
	t.fillingUntil = now + cacheFillTime
}

// CurrentLimit returns how many requests a second all boxes together may send to a target
// at now, rate.Unlimited if it has no limit.
func (tb *Table) CurrentLimit(t *Target, now time.Duration) float64 {
	limit := t.limit.Rate(now)
	if !t.IsCold(now) {
		return limit
	}
	if terms := tb.coldTerms[t.Service]; terms.Rate > 0 {
		return min(limit, max(rate.MinRate, terms.Rate))
	}
	return limit
}

// coldSubstitute returns the target for a call whose shared prefix belongs to a cold target
// that this box may not send to now: another cold one of the candidates. So cold targets
// take the calls that they would have if they were warm, and the warm ones keep the prefixes
// of their own calls in their caches instead of those of others. It returns nil for other
// calls, and if there is none.
func (tb *Table) coldSubstitute(criteria Criteria, candidates []*Target, now time.Duration) *Target {
	cold := func(t *Target) bool { return t.IsCold(now) && tb.HasLimit(t, now) }
	if !slices.ContainsFunc(candidates, cold) {
		return nil
	}
	usable := func(t *Target) bool { return tb.isUsable(t, criteria) && t.bannedUntil <= now }
	if home := highestScore(tb.services[criteria.Service], criteria.Affinity, usable); home == nil || !cold(home) {
		return nil
	}
	return highestScore(candidates, criteria.Affinity, cold)
}

// SetEvacuations sets which data centres are evacuated, from the rows of all evacuations.
// The targets of a data centre whose evacuation has ended since the last call count as
// cold. A box that has just started can't tell when an evacuation ended, so that it takes
// the end for recent.
func (tb *Table) SetEvacuations(rows []*statev1.Evacuation, now time.Duration) {
	returned := map[string]bool{}
	for _, row := range rows {
		known := tb.evacuations[row.GetDataCentre()]
		if row.GetRevision() <= known.GetRevision() {
			continue
		}
		tb.evacuations[row.GetDataCentre()] = row
		returned[row.GetDataCentre()] = !row.GetActive()
	}
	for _, t := range tb.byID {
		if returned[t.DataCentre] {
			tb.suspectCold(t, now)
		}
	}
}

// IsEvacuated reports whether a target is in a data centre that is evacuated. It must not
// be sent any request.
func (tb *Table) IsEvacuated(t *Target) bool {
	return len(tb.evacuations) > 0 && tb.evacuations[t.DataCentre].GetActive()
}

// IsServiceEvacuated reports whether a service has targets, all of which are in evacuated
// data centres.
func (tb *Table) IsServiceEvacuated(service string) bool {
	if len(tb.evacuations) == 0 {
		return false
	}
	list := tb.services[service]
	for _, t := range list {
		if !tb.IsEvacuated(t) {
			return false
		}
	}
	return len(list) > 0
}
