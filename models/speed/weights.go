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
	// stepsPerDouble is how many steps of weights double it: each is about a fifth.
	stepsPerDouble = 4
	// speedExponent is the power of the speed that a weight is. Targets are loaded below half of
	// their capacity as a rule, where the queues of slow ones delay more streams than those of
	// fast ones: in a simulated load at 40% of the capacity, 0.940 of the prompts are in time with
	// 1.5 and 0.928 with 1; at 64% 0.870 and 0.874.
	speedExponent = 1.5
	// minStep and maxStep bound the weights, in steps from 1: 0.25 and 2.4.
	minStep = -2 * stepsPerDouble
	maxStep = stepsPerDouble + 1
	// engageRatio is the ratio of the speed to the median from which on a target gets another
	// weight than 1.
	engageRatio = 1.25
	// unevenRatio is the ratio between the ninth and the first decile of the slowness from
	// which on the targets of a service count as uneven. In a simulated load the deciles of
	// equal targets differ by a factor of 1.1 at 40% of the capacity, of 1.2 at 64% and of 1.6
	// at 77%.
	unevenRatio = 1.8
	// outlierRatio takes the place of engageRatio while the targets are even.
	outlierRatio = 2.5
)

// Row is a target of a service. Weigh sets its weight.
type Row struct {
	Speed  Speed
	Weight float64
}

// Weigh sets the weights of the targets of one service by their speeds. Targets whose
// speed is unknown or close to the median have weight 1, and so have all but outliers if the
// speeds differ no more than those of equal targets in load.
//
// The weights depend on nothing but the speeds: boxes with the same list have the same weights,
// however long they have run, and place a prefix at the same target. What keeps the weights
// steady is that control sends a speed only when it has changed by changeShare.
func Weigh(rows []Row) {
	prompt := median(rows, func(s Speed) time.Duration { return s.PromptTokenTime })
	event := median(rows, func(s Speed) time.Duration { return s.EventInterval })
	slow := make([]float64, len(rows))
	for i, r := range rows {
		slow[i] = slowness(r.Speed, prompt, event)
	}
	engage := outlierRatio
	if areUneven(rows, slow) {
		engage = engageRatio
	}
	for i := range rows {
		rows[i].Weight = weight(slow[i], engage)
	}
}

// areUneven reports whether targets with the given slowness differ in speed.
func areUneven(rows []Row, slow []float64) bool {
	known := make([]float64, 0, len(rows))
	for i, r := range rows {
		if r.Speed.IsKnown() {
			known = append(known, slow[i])
		}
	}
	if len(known) == 0 {
		return false
	}
	slices.Sort(known)
	return known[len(known)*9/10] > unevenRatio*known[len(known)/10]
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

// weight returns the weight for a slowness. It is 1 as long as the slowness, or its inverse, is
// below engage.
func weight(slowness, engage float64) float64 {
	if slowness < engage && slowness > 1/engage {
		return 1
	}
	step := math.Round(-speedExponent * stepsPerDouble * math.Log2(slowness))
	return math.Exp2(min(max(step, minStep), maxStep) / stepsPerDouble)
}
