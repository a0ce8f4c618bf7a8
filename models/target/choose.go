// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package target

import (
	"math/rand"
	"time"
)

// Need is what a decision must know of a request.
type Need struct {
	Model   string
	Service string
	// Blocks are the prompt's cache blocks, Prompt its estimated tokens.
	Blocks []Block
	Prompt int
	// Interactive requests may use the slots that are kept free for them.
	Interactive bool
	// Exclude holds targets that have failed this request already.
	Exclude map[string]bool
	// DataCentre of the box, whose targets are preferred.
	DataCentre string
}

// Limits are the rolled-out values that bound a decision.
type Limits struct {
	Slots            int
	InteractiveSlots int
	// DecodeWeight is the cost of a running request in sixteenths of a prompt
	// token of this request's size.
	DecodeWeight int
}

// Reason says why a candidate was not taken into account.
type Reason string

// Reasons.
const (
	Eligible    Reason = "eligible"
	IsLeaving   Reason = "leaving"
	IsDrained   Reason = "drained"
	IsEjected   Reason = "ejected"
	IsFull      Reason = "full"
	HasFailed   Reason = "failed this request"
	IsElsewhere Reason = "in another data centre"
)

// Score is the cost of one candidate, in prompt tokens.
type Score struct {
	Target    string
	Reason    Reason
	Recompute int
	Queued    int
	Decode    int
}

// Cost is the sum of a score's parts; the lowest wins.
func (s Score) Cost() int { return s.Recompute + s.Queued + s.Decode }

// Decision is the outcome for one request, with what explains it.
type Decision struct {
	// Target is nil when no candidate is eligible now.
	Target *Target
	Scores []Score
	// Waitable says that a candidate would be eligible but for its load.
	Waitable bool
}

// Policy picks one of the eligible candidates; scores stand beside them.
type Policy interface {
	Pick(candidates []*Target, scores []Score, rng *rand.Rand) int
}

// Choose picks the target for a request. Targets in the box's own data centre
// go first; others are used only when none there is eligible or waitable.
func Choose(p Policy, candidates []*Target, need Need, limits Limits, now time.Duration, rng *rand.Rand) Decision {
	d := choose(p, candidates, need, limits, now, rng, true)
	if d.Target != nil || d.Waitable {
		return d
	}
	return choose(p, candidates, need, limits, now, rng, false)
}

func choose(p Policy, candidates []*Target, need Need, limits Limits, now time.Duration, rng *rand.Rand, home bool) Decision {
	var d Decision
	var eligible []*Target
	var scores []Score
	for _, t := range candidates {
		s := score(t, need, limits, now)
		if home && t.DataCentre != need.DataCentre {
			s.Reason = IsElsewhere
		}
		d.Scores = append(d.Scores, s)
		if s.Reason == IsFull {
			d.Waitable = true
		}
		if s.Reason == Eligible {
			eligible = append(eligible, t)
			scores = append(scores, s)
		}
	}
	if len(eligible) > 0 {
		d.Target = eligible[p.Pick(eligible, scores, rng)]
	}
	return d
}

func score(t *Target, need Need, limits Limits, now time.Duration) Score {
	load := t.Load()
	return Score{
		Target:    t.Name,
		Reason:    reason(t, need, limits, load, now),
		Recompute: max(0, need.Prompt-t.Cache.Reusable(need.Blocks, now)),
		Queued:    t.ReportedPrompt,
		Decode:    load * limits.DecodeWeight * need.Prompt / 16,
	}
}

func reason(t *Target, need Need, limits Limits, load int, now time.Duration) Reason {
	slots := limits.Slots
	if !need.Interactive {
		slots = max(1, slots-limits.InteractiveSlots)
	}
	switch {
	case t.Listed == Leaving:
		return IsLeaving
	case t.Drained:
		return IsDrained
	case need.Exclude[t.Name]:
		return HasFailed
	case t.Health.Ejected(now):
		return IsEjected
	case t.InFlight >= slots || load >= 2*slots:
		return IsFull
	default:
		return Eligible
	}
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []*Target, _ []Score, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// LeastLoad takes the candidate with the fewest requests.
type LeastLoad struct{}

// Pick implements Policy.
func (LeastLoad) Pick(candidates []*Target, _ []Score, _ *rand.Rand) int {
	return lowest(len(candidates), func(i int) int { return candidates[i].Load() })
}

// LongestPrefix takes the candidate with most to reuse, whatever its load.
type LongestPrefix struct{}

// Pick implements Policy.
func (LongestPrefix) Pick(candidates []*Target, scores []Score, _ *rand.Rand) int {
	return lowest(len(candidates), func(i int) int { return scores[i].Recompute })
}

// TwoChoices takes the less loaded of two candidates drawn at random
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

// CacheLoad takes the lowest cost of recomputed prompt, queued prompts and
// running requests together.
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

func lowest(n int, cost func(i int) int) int {
	best := 0
	for i := 1; i < n; i++ {
		if cost(i) < cost(best) {
			best = i
		}
	}
	return best
}

// PolicyByName returns a policy, nil for an unknown name.
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
