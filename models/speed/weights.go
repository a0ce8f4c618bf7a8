// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// promptShare is the share of the time per prompt token in the slowness of a target, the
	// rest is that of the time per event: prompts that are read delay the events of all
	// streams of their target.
	promptShare = 0.75
	// exponent is that of the speed in the weight.
	exponent = 1.0
	// stepsPerDouble is how many steps of weights double it: each is about a fifth.
	stepsPerDouble = 4
	// minStep and maxStep bound the weights, in steps from 1: 0.42 and 2.
	minStep = -5
	maxStep = stepsPerDouble
	// stepSlack is by how many steps a weight must be off before it moves. Moving it moves
	// some of the prefixes of its target, whose caches are elsewhere then.
	stepSlack = 0.75
	// engageRatio is the ratio of the speed to the median from which on a target gets another
	// weight than 1, releaseRatio that below which it has 1 again.
	engageRatio  = 1.25
	releaseRatio = 1.15
)

// Row is a target of a service with its present weight, which Weigh updates.
type Row struct {
	Speed  Speed
	Weight float64
}

// Weigh updates the weights of the targets of one service by their speeds. Targets whose
// speed is unknown or close to the median have weight 1.
func Weigh(rows []Row) {
	prompt := median(rows, func(s Speed) time.Duration { return s.PromptTokenTime })
	event := median(rows, func(s Speed) time.Duration { return s.EventInterval })
	for i := range rows {
		r := &rows[i]
		r.Weight = weight(r.Weight, slowness(r.Speed, prompt, event))
	}
}

// median returns the median of the known times, zero if there are fewer than two.
func median(rows []Row, of func(Speed) time.Duration) float64 {
	known := make([]time.Duration, 0, len(rows))
	for _, r := range rows {
		if d := of(r.Speed); d > 0 {
			known = append(known, d)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	n := len(known)
	return (float64(known[(n-1)/2]) + float64(known[n/2])) / 2
}

// slowness returns the time of a target as a ratio to the medians, 1 if it is not known.
func slowness(s Speed, prompt, event float64) float64 {
	sum, share := 0.0, 0.0
	if s.PromptTokenTime > 0 && prompt > 0 {
		sum += promptShare * float64(s.PromptTokenTime) / prompt
		share += promptShare
	}
	if s.EventInterval > 0 && event > 0 {
		sum += (1 - promptShare) * float64(s.EventInterval) / event
		share += 1 - promptShare
	}
	if share == 0 {
		return 1
	}
	return sum / share
}

// weight returns the next weight of a target, given the present one.
func weight(present, slowness float64) float64 {
	ratio := engageRatio
	if present != 1 {
		ratio = releaseRatio
	}
	if slowness < ratio && slowness > 1/ratio {
		return 1
	}
	at := -stepsPerDouble * exponent * math.Log2(slowness)
	step := stepsPerDouble * math.Log2(present)
	if math.Abs(at-step) > stepSlack {
		step = math.Round(at)
	}
	return stepWeight(min(max(step, minStep), maxStep))
}

// stepWeight returns the weight of a step. Weights of one step are equal on all boxes.
func stepWeight(step float64) float64 { return math.Exp2(math.Round(step) / stepsPerDouble) }
