// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"math/rand"
	"time"
)

// Criteria describes a request for the choice of its target.
type Criteria struct {
	Model   string
	Service string
	// Blocks are the prompt's cache blocks, PromptTokens its
	// estimated number of tokens.
	Blocks       []Block
	PromptTokens int
	// Interactive requests may use the slots that are reserved for them.
	Interactive bool
	// Exclude names the targets that have already failed this request.
	Exclude map[string]bool
	// DataCentre is the box's own; targets in it are preferred.
	DataCentre string
}

// Limits are the configured values that bound a decision.
type Limits struct {
	// Slots is how many requests of this box a target may serve at a time.
	// InteractiveSlots of them are reserved for interactive requests.
	Slots            int
	InteractiveSlots int
	// DecodeWeight is the cost of one running request, in sixteenths of the prompt
	// of the request to place.
	DecodeWeight int
}

// Reason says whether a candidate is eligible and, if not, why.
type Reason string

const (
	ReasonEligible        Reason = "eligible"
	ReasonLeaving         Reason = "leaving"
	ReasonDrained         Reason = "drained"
	ReasonEjected         Reason = "ejected"
	ReasonFull            Reason = "full"
	ReasonFailed          Reason = "failed this request"
	ReasonOtherDataCentre Reason = "in another data centre"
)

// Score is the estimated cost of placing a request on one candidate, in prompt
// tokens.
type Score struct {
	Target string
	Reason Reason
	// Recompute is the part of the prompt that is not cached, Queued the prompts
	// that the target has yet to read, Decode the cost of its running requests.
	Recompute int
	Queued    int
	Decode    int
}

// Cost returns the total cost; the candidate with the lowest is preferred.
func (s Score) Cost() int { return s.Recompute + s.Queued + s.Decode }

// Decision is the chosen target for a request, with the scores of all candidates.
type Decision struct {
	// Target is nil when no candidate is eligible now.
	Target *Target
	Scores []Score
	// Waitable is set if the load alone makes a candidate ineligible, so that the
	// request may wait for it.
	Waitable bool
}

// Policy picks one of the eligible candidates and returns its index. scores[i]
// belongs to candidates[i].
type Policy interface {
	Pick(candidates []*Target, scores []Score, rng *rand.Rand) int
}

// Choose picks the target for a request. Targets in other data centres are used
// only if none in the box's own is eligible or worth waiting for.
func Choose(p Policy, candidates []*Target, need Criteria, limits Limits, now time.Duration, rng *rand.Rand) Decision {
	d := choose(p, candidates, need, limits, now, rng, true)
	if d.Target != nil || d.Waitable {
		return d
	}
	return choose(p, candidates, need, limits, now, rng, false)
}

func choose(p Policy, candidates []*Target, need Criteria, limits Limits, now time.Duration, rng *rand.Rand, localOnly bool) Decision {
	var d Decision
	var eligible []*Target
	var scores []Score
	for _, t := range candidates {
		s := score(t, need, limits, now)
		if localOnly && t.DataCentre != need.DataCentre {
			s.Reason = ReasonOtherDataCentre
		}
		d.Scores = append(d.Scores, s)
		if s.Reason == ReasonFull {
			d.Waitable = true
		}
		if s.Reason == ReasonEligible {
			eligible = append(eligible, t)
			scores = append(scores, s)
		}
	}
	if len(eligible) > 0 {
		d.Target = eligible[p.Pick(eligible, scores, rng)]
	}
	return d
}

func score(t *Target, need Criteria, limits Limits, now time.Duration) Score {
	load := t.Load()
	return Score{
		Target:    t.Name,
		Reason:    reason(t, need, limits, load, now),
		Recompute: max(0, need.PromptTokens-t.Cache.Reusable(need.Blocks, now)),
		Queued:    t.ReportedPromptTokens,
		Decode:    load * limits.DecodeWeight * need.PromptTokens / 16,
	}
}

func reason(t *Target, need Criteria, limits Limits, load int, now time.Duration) Reason {
	slots := limits.Slots
	if !need.Interactive {
		slots = max(1, slots-limits.InteractiveSlots)
	}
	switch {
	case t.ListedState == Leaving:
		return ReasonLeaving
	case t.Drained:
		return ReasonDrained
	case need.Exclude[t.Name]:
		return ReasonFailed
	case t.Health.Ejected(now):
		return ReasonEjected
	case t.InFlight >= slots || load >= 2*slots:
		return ReasonFull
	default:
		return ReasonEligible
	}
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []*Target, _ []Score, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// LeastLoad picks the candidate with the fewest requests.
type LeastLoad struct{}

// Pick implements Policy.
func (LeastLoad) Pick(candidates []*Target, _ []Score, _ *rand.Rand) int {
	return indexOfLowest(len(candidates), func(i int) int { return candidates[i].Load() })
}

// LongestPrefix picks the candidate with the longest cached prefix of the prompt,
// regardless of load.
type LongestPrefix struct{}

// Pick implements Policy.
func (LongestPrefix) Pick(candidates []*Target, scores []Score, _ *rand.Rand) int {
	return indexOfLowest(len(candidates), func(i int) int { return scores[i].Recompute })
}

// TwoChoices picks the less loaded of two random candidates
// (Mitzenmacher 2001).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(candidates []*Target, _ []Score, rng *rand.Rand) int {
	a, b := rng.Intn(len(candidates)), rng.Intn(len(candidates))
	if candidates[b].Load() < candidates[a].Load() {
		return b
	}
	return a
}

// CacheLoad picks the candidate with the lowest total cost. The search starts at a
// random candidate, so that ties are not always resolved in favour of the same one.
type CacheLoad struct{}

// Pick implements Policy.
func (CacheLoad) Pick(candidates []*Target, scores []Score, rng *rand.Rand) int {
	start := rng.Intn(len(candidates))
	best := start
	for n := range candidates {
		i := (start + n) % len(candidates)
		if scores[i].Cost() < scores[best].Cost() {
			best = i
		}
	}
	return best
}

func indexOfLowest(n int, cost func(i int) int) int {
	best := 0
	for i := 1; i < n; i++ {
		if cost(i) < cost(best) {
			best = i
		}
	}
	return best
}

// PolicyByName returns the policy with the given configuration name, nil for an
// unknown name.
func PolicyByName(name string) Policy {
	switch name {
	case "round-robin":
		return &RoundRobin{}
	case "least-load":
		return LeastLoad{}
	case "longest-prefix":
		return LongestPrefix{}
	case "two-choices":
		return TwoChoices{}
	case "cache-load":
		return CacheLoad{}
	default:
		return nil
	}
}
