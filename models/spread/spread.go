// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spread decides which target of a service gets a call that is passed
// through. Calls with a common part of their prompt go to the same target as
// long as its load allows, by rendezvous hashing with bounded loads (Thaler
// and Ravishankar 1998; Mirrokni et al. 2018), so that all boxes agree without
// talking. All other calls go to the least loaded target, near ones first.
// What calls show of a target (failures, silence) takes it out for a time.
package spread

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/modules/hashing"
)

const (
	// loadBound is how far above the mean a target's load may lie before calls
	// with a common part go to the next one.
	loadBound = 1.5
	// loadSlack is added to the bound, in calls of the whole fleet: each box sees its own
	// only, and each would else add it.
	loadSlack = 3.0
	// waitingTime is the reading that may wait at one target for calls with a common part,
	// over the whole fleet, and waitingTokens the prompt tokens in its place while it is not
	// known how fast targets read.
	waitingTime   = 250 * time.Millisecond
	waitingTokens = 20000
	// farCost is what another data centre adds to a target's load, in calls.
	farCost = 0.6
)

// Target is one start of a registered target as this box sees it. Its identity
// never changes, so that calls may read it without the table's lock; a target that
// has moved or started again gets a new row, and nothing is known of it.
type Target struct {
	ID string
	// Born is when the start began, in milliseconds on its own time of day; zero
	// when it did not say.
	Born       int64
	Service    string
	Address    string
	DataCentre string

	Draining bool
	// Running is how many calls of this box it has.
	Running int
	// Waiting counts the prompt tokens of its calls without a first event.
	Waiting int
	// limit is what it takes from all boxes, meter what went there from this one.
	limit rate.Limit
	meter rate.Meter
	// heard is what it said to this box last, as far as that was the latest known;
	// told is the limit that others know, if known is set; untold is set while they
	// should hear of another one, named once it has named any.
	heard                rate.Statement
	told                 float64
	known, untold, named bool
	// CallsSent and OwnSent count this box's requests to it: calls, and questions
	// and orders of this system's own.
	CallsSent, OwnSent uint64

	hash  uint64
	start string
	// replaced is set once another target answers at the address, left once the
	// target has said that it leaves.
	replaced bool
	left     bool
	failures int
	bannedTo time.Duration
	sick     bool
	outcomes float64
	failRate float64
}

// Start names the start of the target: its id alone where it does not say when it
// began.
func (t *Target) Start() string { return t.start }

func startOf(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(born, 10)
}

// Unreachable tells whether the last calls could not reach the target.
func (t *Target) Unreachable() bool { return t.failures > 0 }

// Table holds the targets by service. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	byID       map[string]*Target
	// services holds the targets of each service in the order of their hashes.
	services map[string][]*Target
	reads    map[string]*reads

	fleet  rate.Fleet
	scarce map[string]*scarcity
	// untold are the targets with limits that others should hear of.
	untold []*Target
}

// NewTable returns an empty table for a box in a data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, byID: map[string]*Target{}, services: map[string][]*Target{}, reads: map[string]*reads{}, scarce: map[string]*scarcity{}}
}

// Put takes the row of a target in.
func (tb *Table) Put(row *statev1.RegisteredTarget) {
	t := tb.byID[row.GetId()]
	if row.GetState() == statev1.RegisteredTarget_STATE_GONE {
		tb.remove(t)
		return
	}
	if t != nil && (t.Born != row.GetBorn() || t.Service != row.GetService() || t.Address != row.GetAddress() || t.DataCentre != row.GetDataCentre()) {
		tb.remove(t)
		t = nil
	}
	if t == nil {
		t = &Target{ID: row.GetId(), Born: row.GetBorn(), Service: row.GetService(), Address: row.GetAddress(), DataCentre: row.GetDataCentre(), hash: xxhash.Sum64String(row.GetId()), start: startOf(row.GetId(), row.GetBorn())}
		tb.byID[t.ID] = t
		tb.insert(t)
	}
	t.Draining = row.GetState() == statev1.RegisteredTarget_STATE_DRAINING
	t.left = t.left || t.Draining
}

// insert puts a target into its place in the order of its service.
func (tb *Table) insert(t *Target) {
	list := tb.services[t.Service]
	at, _ := slices.BinarySearchFunc(list, t, func(a, b *Target) int { return cmp.Compare(a.hash, b.hash) })
	tb.services[t.Service] = slices.Insert(list, at, t)
}

func (tb *Table) remove(t *Target) {
	if t == nil {
		return
	}
	t.Draining = true
	delete(tb.byID, t.ID)
	list := tb.services[t.Service]
	for i, other := range list {
		if other == t {
			tb.services[t.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Keep removes every target that is not among the ids.
func (tb *Table) Keep(ids map[string]bool) {
	for id, t := range tb.byID {
		if !ids[id] {
			tb.remove(t)
		}
	}
}

// Len returns how many targets are known.
func (tb *Table) Len() int { return len(tb.byID) }

// Need is what a call needs of its target.
type Need struct {
	Service string
	// Affinity is the hash of the common part of the prompt, zero without one.
	Affinity uint64
	// Tokens are those of the prompt that no other call shares.
	Tokens int
	// Pause is the longest pause of a stream of its kind, zero for no bound.
	Pause time.Duration
	// Boxes is how many boxes send calls; each sees its own only.
	Boxes int
	// Exclude names starts of targets that have had the call.
	Exclude map[string]bool
	// Rank is how urgent the call is, zero most, and Patience how long it may wait
	// for a target that takes it.
	Rank     uint32
	Patience time.Duration
}

// Choice is a target and why it was chosen.
type Choice struct {
	Target *Target
	// Apart is set when the call's prompt is long and read apart.
	Apart bool
	// Readers are the targets that read long prompts, for a call that is read apart.
	Readers []*Target
	// Home is the target that would have had a prompt that is read apart; nil for
	// other calls.
	Home *Target
	// Source is the target from which the common part of the prompt can be copied,
	// nil when that is the call's own target or there is no such part.
	Source *Target
	// Reading is how long the prompt is expected to be read, zero when unknown.
	Reading time.Duration
	// Limited counts the targets to which this box may not send now, for what they
	// take from all boxes; where there is no other one, Want says what to do.
	Limited int
	Want    Want
}

// Choose returns the target for a call, a nil one when there is none. Draining
// ones are never chosen; those that are out only when all others are too.
func (tb *Table) Choose(need Need, now time.Duration) Choice {
	c := Choice{}
	found := tb.candidates(need, now)
	candidates := found.open
	c.Limited = len(found.closed)
	if len(candidates) == 0 {
		if c.Limited > 0 {
			c.Want = tb.want(need, found.closed, now)
		}
		return c
	}
	r := tb.readsOf(need.Service)
	c.Reading = r.time(need.Tokens)
	long := need.Pause > 0 && float64(c.Reading) > longShare*float64(need.Pause)
	if long {
		r.add(c.Reading, now)
	}
	// Targets with limits are the last ones: which targets read apart must not change
	// from window to window, and questions to readers would use their limits up.
	n := min(r.apart(len(candidates), need.Boxes, now), found.free)
	readers, others := candidates[:n], candidates[n:]
	c.Target = tb.pick(need, others)
	if long && len(readers) > 0 {
		c.Apart = true
		c.Home, c.Target = c.Target, leastWaiting(readers, need.Affinity)
		c.Readers = firstReaders(readers, need.Affinity)
	}
	if need.Affinity != 0 {
		c.Source = highest(others, need.Affinity, func(*Target) bool { return true })
	}
	if c.Source == c.Target {
		c.Source = nil
	}
	return c
}

// readsOf returns what is known of the reading at a service.
func (tb *Table) readsOf(service string) *reads {
	r := tb.reads[service]
	if r == nil {
		r = &reads{}
		tb.reads[service] = r
	}
	return r
}

// firstReaders returns the few readers that come first for a common part: they
// are asked what they read, and asking all would not grow with the fleet.
func firstReaders(readers []*Target, affinity uint64) []*Target {
	list := slices.Clone(readers)
	slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(hashing.Mix(b.hash^affinity), hashing.Mix(a.hash^affinity)) })
	return list[:min(askedReaders, len(list))]
}

// leastWaiting returns the target with the fewest prompt tokens that wait.
func leastWaiting(candidates []*Target, affinity uint64) *Target {
	least := math.MaxInt
	for _, t := range candidates {
		least = min(least, t.Waiting)
	}
	return highest(candidates, affinity, func(t *Target) bool { return t.Waiting == least })
}

// Read notes how long a target took to the first event of a call, for the
// tokens of its prompt that no other call shares.
func (tb *Table) Read(t *Target, tokens int, first time.Duration) {
	tb.readsOf(t.Service).learn(tokens, first)
}

// pick chooses among targets that may have the call: by its common part as far
// as their loads allow, else the least loaded.
func (tb *Table) pick(need Need, candidates []*Target) *Target {
	if need.Affinity == 0 {
		return tb.leastLoaded(candidates)
	}
	total := 0
	for _, t := range candidates {
		total += t.Running
	}
	boxes := max(1, need.Boxes)
	bound := loadBound*float64(total)/float64(len(candidates)) + loadSlack/float64(boxes)
	open := func(t *Target) bool { return float64(t.Running) <= bound }
	share := tb.readsOf(need.Service).tokens(waitingTime, waitingTokens) / boxes
	quiet := func(t *Target) bool { return open(t) && t.Waiting < share }
	if best := highest(candidates, need.Affinity, quiet); best != nil {
		return best
	}
	if best := highest(candidates, need.Affinity, open); best != nil {
		return best
	}
	return tb.leastLoaded(candidates)
}

// highest returns the target that a common part belongs to among those that
// may have it.
func highest(candidates []*Target, affinity uint64, may func(*Target) bool) *Target {
	var best *Target
	bestScore := uint64(0)
	for _, t := range candidates {
		if !may(t) {
			continue
		}
		if score := hashing.Mix(t.hash ^ affinity); best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// found are the targets that a call may go to.
type found struct {
	// open has first those without a limit, of which there are free, then those with
	// one, each in the order of their hashes.
	open []*Target
	free int
	// closed are those to which this box may not send now.
	closed []*Target
}

// usable tells whether a target may have a call as far as it is there.
func (tb *Table) usable(t *Target, need Need) bool {
	return !t.Draining && !t.replaced && !need.Exclude[t.start]
}

// candidates finds the targets that a call may go to: those that are out only when
// there are no others at all.
func (tb *Table) candidates(need Need, now time.Duration) found {
	var fnd found
	var limited, out []*Target
	for _, t := range tb.services[need.Service] {
		switch {
		case !tb.usable(t, need):
		case t.bannedTo > now:
			out = append(out, t)
		case !tb.Limited(t, now):
			fnd.open = append(fnd.open, t)
		case tb.open(t, now):
			limited = append(limited, t)
		default:
			fnd.closed = append(fnd.closed, t)
		}
	}
	fnd.free = len(fnd.open)
	if fnd.free == 0 && len(limited) > 0 && !tb.mayTakeScarce(need, now) {
		fnd.closed = append(fnd.closed, limited...)
		return fnd
	}
	fnd.open = append(fnd.open, limited...)
	if len(fnd.open)+len(fnd.closed) > 0 {
		return fnd
	}
	for _, t := range out {
		if tb.open(t, now) {
			fnd.open = append(fnd.open, t)
		}
	}
	return fnd
}

func (tb *Table) leastLoaded(candidates []*Target) *Target {
	var best *Target
	bestCost := math.Inf(1)
	for _, t := range candidates {
		cost := float64(t.Running) + 4*t.failRate
		if t.DataCentre != tb.dataCentre {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}
