// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package allot decides how the free tokens of a budget are split among the
// holders. The state machine limits every grant to the unallotted tokens, so a poor
// decision costs refusals or messages and never leads to overspending.
package allot

import "sort"

// Holder is the last report of one ledger about a budget.
type Holder struct {
	Name string
	// Free is the number of tokens that the holder can still reserve.
	Free uint64
	// Rate is the holder's demand in tokens per second.
	Rate uint64
	// Need is the number of tokens that the holder's waiting requests lack.
	Need uint64
}

// Plan is the decision after one holder, the asker, has reported.
type Plan struct {
	// Grant is the number of unallotted tokens to allot to the asker.
	Grant uint64
	// Spread holds grants to other holders, which have not asked.
	Spread []Move
	// Recalls holds the tokens that other holders are asked to return.
	Recalls []Move
}

// Move is a number of tokens to grant to or recall from a holder.
type Move struct {
	Holder string
	Tokens uint64
}

// Policy decides on the report of the holder at index asker, given the number of
// unallotted tokens.
type Policy interface {
	Plan(unallotted uint64, holders []Holder, asker int) Plan
}

// Equal splits a budget evenly among all holders once, and moves no tokens later.
type Equal struct{}

// Plan implements Policy.
func (Equal) Plan(unallotted uint64, holders []Holder, asker int) Plan {
	empty := uint64(0)
	for _, h := range holders {
		if h.Free == 0 {
			empty++
		}
	}
	if holders[asker].Need == 0 || holders[asker].Free > 0 || empty == 0 {
		return Plan{}
	}
	return Plan{Grant: unallotted / empty}
}

// OnDemand grants a holder the tokens it lacks and a fixed chunk in addition, and
// leaves the rest unallotted.
type OnDemand struct {
	Chunk uint64
}

// Plan implements Policy.
func (p OnDemand) Plan(unallotted uint64, holders []Holder, asker int) Plan {
	need := holders[asker].Need
	if need == 0 {
		return Plan{}
	}
	if need <= unallotted {
		return Plan{Grant: min(unallotted, need+p.Chunk)}
	}
	return Plan{Grant: unallotted, Recalls: recallFromFreest(holders, asker, need-unallotted, nil)}
}

// tolerance is the fraction by which a holder's free tokens may be below its target
// before it is granted more, or above it before it is asked to return some.
const tolerance = 0.25

// Proportional allots all tokens in proportion to demand, so that the tokens of all
// holders would last about equally long in a partition.
type Proportional struct {
	// SpreadFrom is the minimum grant to a holder that has not asked, which lets it
	// serve a first request during a partition. Zero disables such grants.
	SpreadFrom uint64
	// Floor is the fraction of the demand that is spread evenly, so that a holder
	// without demand gets tokens, too.
	Floor float64
	// Keep is the fraction of tokens that stays unallotted, as a reserve for
	// changes in demand and so that fewer tokens are lost with a lost ledger.
	Keep float64
}

// DefaultSpreadFrom is the default of Proportional.SpreadFrom. It is a little more than
// a typical request reserves; a holder could not serve any with less.
const DefaultSpreadFrom = 2000

// DefaultPolicy returns the policy that the daemon uses. docs/MEASUREMENTS.md has the
// comparison of policies that it was selected by.
func DefaultPolicy() Policy {
	return Proportional{SpreadFrom: DefaultSpreadFrom, Floor: 1}
}

// Plan implements Policy.
func (p Proportional) Plan(unallotted uint64, holders []Holder, asker int) Plan {
	targets := p.Targets(unallotted, holders)
	me := holders[asker]
	low := float64(me.Free) < float64(targets[asker])*(1-tolerance)
	if me.Need == 0 && !low {
		return Plan{Spread: p.spread(unallotted, holders, targets, asker)}
	}
	wanted := me.Need
	if targets[asker] > me.Free {
		wanted = max(wanted, targets[asker]-me.Free)
	}
	plan := Plan{Grant: min(wanted, unallotted)}
	plan.Spread = p.spread(unallotted-plan.Grant, holders, targets, asker)
	if short := wanted - plan.Grant; short > 0 {
		required := uint64(0)
		if me.Need > plan.Grant {
			required = me.Need - plan.Grant
		}
		plan.Recalls = recallExcess(holders, targets, asker, short, required)
	}
	return plan
}

// spread returns grants of unallotted tokens to holders other than the asker that
// are below their target by more than the tolerance.
func (p Proportional) spread(unallotted uint64, holders []Holder, targets []uint64, asker int) []Move {
	if p.SpreadFrom == 0 {
		return nil
	}
	var list []Move
	for i, h := range holders {
		if i == asker || float64(h.Free) >= float64(targets[i])*(1-tolerance) {
			continue
		}
		tokens := min(targets[i]-h.Free, unallotted)
		if tokens < p.SpreadFrom {
			continue
		}
		unallotted -= tokens
		list = append(list, Move{Holder: h.Name, Tokens: tokens})
	}
	return list
}

// Targets returns the number of free tokens that each holder should have.
func (p Proportional) Targets(unallotted uint64, holders []Holder) []uint64 {
	total, demand := unallotted, uint64(0)
	for _, h := range holders {
		total += h.Free
		demand += h.Rate
	}
	floor := 1.0
	if demand > 0 {
		floor = float64(demand) * p.Floor / float64(len(holders))
	}
	weights := float64(demand) + floor*float64(len(holders))
	targets := make([]uint64, len(holders))
	for i, h := range holders {
		targets[i] = uint64(float64(total) * (1 - p.Keep) * (float64(h.Rate) + floor) / weights)
	}
	return targets
}

// recallExcess recalls up to short tokens from the holders that are above their
// target by more than the tolerance. If that yields less than required, the number that
// waiting requests lack, it recalls the rest from any free tokens.
func recallExcess(holders []Holder, targets []uint64, asker int, short, required uint64) []Move {
	taken := make([]uint64, len(holders))
	for i, h := range holders {
		if i == asker || short == 0 || float64(h.Free) <= float64(targets[i])*(1+tolerance) {
			continue
		}
		taken[i] = min(short, h.Free-targets[i])
		short -= taken[i]
		required -= min(required, taken[i])
	}
	if required > 0 {
		return recallFromFreest(holders, asker, required, taken)
	}
	return recallsOf(holders, taken)
}

// recallFromFreest recalls tokens from the holders with the most free tokens first,
// in addition to those that taken holds by holder.
func recallFromFreest(holders []Holder, asker int, tokens uint64, taken []uint64) []Move {
	if taken == nil {
		taken = make([]uint64, len(holders))
	}
	order := make([]int, len(holders))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return holders[order[a]].Free-taken[order[a]] > holders[order[b]].Free-taken[order[b]]
	})
	for _, i := range order {
		if i == asker {
			continue
		}
		more := min(tokens, holders[i].Free-taken[i])
		taken[i] += more
		tokens -= more
	}
	return recallsOf(holders, taken)
}

func recallsOf(holders []Holder, taken []uint64) []Move {
	var list []Move
	for i, h := range holders {
		if taken[i] > 0 {
			list = append(list, Move{Holder: h.Name, Tokens: taken[i]})
		}
	}
	return list
}
