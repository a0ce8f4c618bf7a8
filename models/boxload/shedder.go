// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxload

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// shedAbove is the load from which on more calls are refused, and admitBelow the one below
	// which fewer are. Above about 0.85 the queue at a link grows to several hundred milliseconds
	// in a burst, more than the latency objectives of short calls.
	shedAbove  = 0.85
	admitBelow = 0.7
	// shedGain is how much the refused share of the traffic grows in one sample for each unit of
	// load above shedAbove, so that half of the traffic is refused after half a second of a full link.
	shedGain = 0.7
	// shedRelease is how much the share falls in one sample below admitBelow.
	shedRelease = 0.03
	// maxShed bounds the refused share of each class of calls, so that none is starved.
	maxShed = 0.75
	// trafficDecay is the time constant with which the traffic of classes and organisations is
	// summed up.
	trafficDecay = time.Second
	// minTraffic is the decayed traffic, in bytes, below which an organisation is forgotten.
	minTraffic = 64
	// fairFactor is how far above its fair share of the traffic an organisation must be for its calls
	// to be refused first.
	fairFactor = 1.5
)

// Call is what admission has to know of a call.
type Call struct {
	Organisation string
	// Rank is the urgency of the call, zero being the most urgent.
	Rank uint32
	// Bytes is what the call and its answer are expected to take of the link in each direction.
	Bytes int
}

// class groups calls that are refused with the same probability.
type class struct {
	// aboveShare is set for organisations that take more than their fair share of the link.
	aboveShare bool
	rank       uint32
	// size is the binary logarithm of the bytes.
	size int
}

// classState is the traffic of a class and its present probability of refusal.
type classState struct {
	offered float64
	refuse  float64
}

// Shedder decides which calls are refused while a link is full. Refused first are calls of
// organisations above their fair share of the link, then the less urgent ones, and among equals
// the large ones: each of these makes room for many short ones. It is not safe for concurrent
// use.
type Shedder struct {
	// share is the part of the offered traffic to refuse.
	share         float64
	classes       map[class]*classState
	organisations map[string]float64
	// total is the sum over organisations.
	total   float64
	updated time.Duration
}

// NewShedder returns a Shedder that refuses nothing yet.
func NewShedder() *Shedder {
	return &Shedder{classes: map[class]*classState{}, organisations: map[string]float64{}}
}

// Update adapts the refused share to the load of the link. It is to be called once per sample.
func (s *Shedder) Update(load float64, now time.Duration) {
	switch {
	case load > shedAbove:
		s.share = min(maxShed, s.share+shedGain*(load-shedAbove))
	case load < admitBelow:
		s.share = max(0, s.share-shedRelease)
	}
	s.decay(now)
	s.assign()
}

// Share returns the part of the offered traffic that is refused at present.
func (s *Shedder) Share() float64 { return s.share }

// Admit reports whether a call is taken, and counts it. random is uniform in [0, 1).
func (s *Shedder) Admit(c Call, random float64) bool {
	bytes := float64(max(1, c.Bytes))
	k := class{aboveShare: s.isAboveShare(c.Organisation), rank: c.Rank, size: bits.Len(uint(max(1, c.Bytes)))}
	s.organisations[c.Organisation] += bytes
	s.total += bytes
	state := s.classes[k]
	if state == nil {
		state = &classState{}
		s.classes[k] = state
	}
	state.offered += bytes
	return s.share == 0 || random >= state.refuse
}

// isAboveShare reports whether an organisation takes more than its fair share of the traffic, of
// which all organisations with calls lately have the same.
func (s *Shedder) isAboveShare(organisation string) bool {
	n := len(s.organisations)
	return n > 1 && s.organisations[organisation] > fairFactor*s.total/float64(n)
}

func (s *Shedder) decay(now time.Duration) {
	elapsed := now - s.updated
	s.updated = now
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / trafficDecay.Seconds())
	s.total = 0
	for name, bytes := range s.organisations {
		if bytes *= keep; bytes < minTraffic {
			delete(s.organisations, name)
			continue
		}
		s.organisations[name] = bytes
		s.total += bytes
	}
	for k, state := range s.classes {
		if state.offered *= keep; state.offered < minTraffic {
			delete(s.classes, k)
		}
	}
}

// assign divides the traffic to refuse among the classes, in the order in which they are refused.
func (s *Shedder) assign() {
	order := make([]class, 0, len(s.classes))
	offered := 0.0
	for k, state := range s.classes {
		order = append(order, k)
		offered += state.offered
	}
	slices.SortFunc(order, compareClasses)
	left := s.share * offered
	for _, k := range order {
		state := s.classes[k]
		refused := min(left, maxShed*state.offered)
		state.refuse = refused / state.offered
		left -= refused
	}
}

// compareClasses orders classes by which is refused first.
func compareClasses(a, b class) int {
	if a.aboveShare != b.aboveShare {
		if a.aboveShare {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.size, a.size))
}
