// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speed

import (
	"math/rand"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Guards against a speed that follows the samples of one box, which sends them at each report, rather
// than those of all other boxes.
func TestFalseSamplesOfOneBox(t *testing.T) {
	a := &Aggregate{}
	now := time.Duration(0)
	put := func(promptTime float64) {
		a.Put(&betweenv1.SpeedSample{Target: "t", Born: 1, PromptTokens: 1000, PromptTime: uint64(promptTime)}, now)
	}
	speed := func() time.Duration { return a.entries[Instance{"t", 1}].published.PromptTokenTime }
	r := rand.New(rand.NewSource(1))
	trueTime := func() float64 { return 20000 * (1 + 0.5*r.ExpFloat64()) }
	for range 100 {
		now += time.Second
		put(trueTime())
	}
	before := speed()
	for i := range 66 {
		now += 300 * time.Millisecond
		if i%10 < 3 {
			put(trueTime())
		}
		put(1000)
	}
	if after := speed(); after < before/2 {
		t.Errorf("one box of many has moved the time of a token from %v to %v in 20 s", before, after)
	}
}
