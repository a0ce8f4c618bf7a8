// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package allot decides how the free tokens of a budget are split among the
// holders. Whatever it decides, the state machine bounds it by what is not
// allotted, so a poor decision costs refusals or messages and never overspend.
package allot

import "sort"

// Holder is one ledger's view of a budget, as last reported.
type Holder struct {
	Name string
	// Free is what it could still reserve.
	Free uint64
	// Rate is its demand in tokens a second.
	Rate uint64
	// Need is what its waiting requests lack.
	Need uint64
}

// Plan is what to do for one holder that has reported.
type Plan struct {
	// Grant is what to allot out of the unallotted tokens.
	Grant uint64
	// Spread are grants to other holders, before they ask.
	Spread []Move
	// Recalls are what to ask back from others.
	Recalls []Move
}

// Move is an amount for or from one holder.
type Move struct {
	Holder string
	Tokens uint64
}

// Policy plans for the holder at index asker, given what nobody holds.
type Policy interface {
	Plan(unallotted uint64, holders []Holder, asker int) Plan
}

// Equal splits a budget evenly among all holders once, and moves nothing.
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

// OnDemand grants a holder what it lacks and a fixed chunk more, and leaves
// the rest with control.
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
	return Plan{Grant: unallotted, Recalls: pull(holders, asker, need-unallotted, nil)}
}

// slack is how far a holder's free tokens may lie under its target before it is
// topped up, and as far above before it is asked to give back.
const slack = 0.25

// Proportional hands everything out in proportion to demand, so that all
// holders would last about equally long if they were cut off now.
type Proportional struct {
	// SpreadFrom is the smallest amount that is granted to a holder that has
	// not asked, so that it can serve a first request while it is cut off.
	// Zero grants nothing unasked.
	SpreadFrom uint64
	// Floor is the part of the demand that is spread evenly, so that a holder
	// without demand is not left without tokens.
	Floor float64
	// Keep is the part that control keeps back, for demand that turns and so
	// that a lost ledger takes less with it.
	Keep float64
}

// DefaultSpread is the smallest unasked amount: a little over what one usual
// request reserves. Smaller shares would serve nobody.
const DefaultSpread = 2000

// Chosen is the policy that the daemon runs; docs/MEASUREMENTS.md has the
// comparison that led to it.
func Chosen() Policy {
	return Proportional{SpreadFrom: DefaultSpread, Floor: 1}
}

// Plan implements Policy.
func (p Proportional) Plan(unallotted uint64, holders []Holder, asker int) Plan {
	targets := p.Targets(unallotted, holders)
	me := holders[asker]
	low := float64(me.Free) < float64(targets[asker])*(1-slack)
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
		must := uint64(0)
		if me.Need > plan.Grant {
			must = me.Need - plan.Grant
		}
		plan.Recalls = recall(holders, targets, asker, short, must)
	}
	return plan
}

// spread grants to holders far below their targets what is not allotted.
func (p Proportional) spread(unallotted uint64, holders []Holder, targets []uint64, asker int) []Move {
	if p.SpreadFrom == 0 {
		return nil
	}
	var list []Move
	for i, h := range holders {
		if i == asker || float64(h.Free) >= float64(targets[i])*(1-slack) {
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

// Targets returns the free tokens that each holder should have.
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

// recall asks holders well above their target for the excess, and then, when
// a waiting request must have more, for whatever is free.
func recall(holders []Holder, targets []uint64, asker int, short, must uint64) []Move {
	taken := make([]uint64, len(holders))
	for i, h := range holders {
		if i == asker || short == 0 || float64(h.Free) <= float64(targets[i])*(1+slack) {
			continue
		}
		taken[i] = min(short, h.Free-targets[i])
		short -= taken[i]
		must -= min(must, taken[i])
	}
	if must > 0 {
		return pull(holders, asker, must, taken)
	}
	return listRecalls(holders, taken)
}

// pull gathers tokens from the holders with most free ones first, besides
// what is taken from them already.
func pull(holders []Holder, asker int, tokens uint64, taken []uint64) []Move {
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
	return listRecalls(holders, taken)
}

func listRecalls(holders []Holder, taken []uint64) []Move {
	var list []Move
	for i, h := range holders {
		if taken[i] > 0 {
			list = append(list, Move{Holder: h.Name, Tokens: taken[i]})
		}
	}
	return list
}
