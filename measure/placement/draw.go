// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"math"
	"math/rand"
	"time"
)

// kind is a kind of request.
type kind struct {
	name string
	// shared and own are the mean tokens of the prompt's parts; out are the events of an
	// answer.
	shared, own, out int
	objective, pause time.Duration
	// weight is its part of the requests, parts how many shared parts there are.
	weight float64
	parts  int
}

// deployment is what a fleet is made of.
type deployment struct {
	seed           int64
	boxes, engines int
	centres        int
	// step is the time of a step with one stream, stepMore what each further stream adds.
	step, stepMore time.Duration
	// chunk is how many prompt tokens a step reads at most, perToken the time of each.
	chunk    int
	perToken time.Duration
	slots    int
	// stride is how many tokens an event holds, cache how many tokens an engine keeps.
	stride, cache int
	kinds         []kind
	// perSecond is how many requests come.
	perSecond float64
	// swing and burst are how far the traffic goes up and down, in parts of it, and how often
	// it doubles for two seconds.
	swing  float64
	bursts int
	// crashes is how many engines crash, for some seconds each.
	crashes int
	// report is how often boxes tell control what they read.
	report time.Duration
}

// draw makes a deployment of a seed: sizes and speeds as engines and fleets have them,
// loads from easy to crowded.
func draw(seed int64) deployment {
	rng := rand.New(rand.NewSource(seed))
	between := func(least, most float64) float64 { return least + rng.Float64()*(most-least) }
	logBetween := func(least, most float64) float64 {
		return math.Exp(between(math.Log(least), math.Log(most)))
	}
	d := deployment{
		seed: seed, boxes: int(logBetween(3, 80)), engines: int(logBetween(6, 40)), centres: 1 + rng.Intn(4),
		step: time.Duration(between(2.5, 6) * float64(time.Millisecond)), stepMore: time.Duration(between(20, 80) * float64(time.Microsecond)),
		chunk: 1024 << rng.Intn(4), perToken: time.Duration(between(10, 30) * float64(time.Microsecond)),
		slots: 16 << rng.Intn(3), stride: 3 + rng.Intn(8), cache: int(between(250e3, 600e3)),
		swing: between(0, 0.4), bursts: rng.Intn(3), crashes: rng.Intn(3), report: time.Duration(between(0.3, 1) * float64(time.Second)),
	}
	pause := time.Duration(between(300, 600)) * time.Millisecond
	ms := func(n float64) time.Duration { return time.Duration(n) * time.Millisecond }
	d.kinds = []kind{
		{name: "long", shared: int(between(2000, 8000)), own: int(between(3000, 9000)), out: int(between(40, 90)), objective: ms(between(800, 1500)), pause: pause, weight: between(0.05, 0.4), parts: 20 + rng.Intn(100)},
		{name: "short", shared: int(between(100, 400)), own: int(between(300, 1200)), out: int(between(30, 70)), objective: ms(between(400, 900)), pause: pause, weight: between(0.3, 0.6), parts: 50 + rng.Intn(250)},
		{name: "verdict", shared: int(between(300, 900)), own: int(between(1000, 2500)), out: int(between(2, 6)), objective: ms(between(500, 1500)), pause: pause, weight: between(0.2, 0.5), parts: 50 + rng.Intn(150)},
	}
	d.perSecond = between(0.25, 0.8) * d.capacity()
	return d
}

// capacity is about how many requests a second all engines serve: what a request needs of an
// engine's time alone, with half of its shared part kept.
func (d deployment) capacity() float64 {
	total, weights := 0.0, 0.0
	for _, k := range d.kinds {
		reading := float64(k.own+k.shared/2) * d.perToken.Seconds()
		// Decoding is shared by the streams of a step.
		decoding := float64(k.out*d.stride) * (d.step.Seconds()/float64(d.slots)*2 + d.stepMore.Seconds())
		total += k.weight * (reading + decoding)
		weights += k.weight
	}
	return float64(d.engines) / (total / weights)
}

// arrival is one request.
type arrival struct {
	at   time.Duration
	box  int
	kind int
	// part is the shared part of the prompt, shared, own and out its sizes.
	part             uint64
	shared, own, out int
}

// trafficTime is how long requests come.
const trafficTime = 12 * time.Second

// arrivals draws the requests of a deployment. Boxes have uneven shares of them.
func (d deployment) arrivals() []arrival {
	rng := rand.New(rand.NewSource(d.seed + 1))
	shares := make([]float64, d.boxes)
	for i := range shares {
		shares[i] = 0.3 + rng.ExpFloat64()
	}
	burst := map[int]bool{}
	for range d.bursts {
		start := 1 + rng.Intn(8)
		burst[start], burst[start+1] = true, true
	}
	var list []arrival
	for at := time.Duration(0); at < trafficTime; {
		rate := d.perSecond * (1 + d.swing*math.Sin(2*math.Pi*at.Seconds()/11))
		if burst[int(at.Seconds())] {
			rate *= 1.7
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		list = append(list, d.one(rng, at, pick(rng, shares)))
	}
	return list
}

func (d deployment) one(rng *rand.Rand, at time.Duration, box int) arrival {
	weights := make([]float64, len(d.kinds))
	for i, k := range d.kinds {
		weights[i] = k.weight
	}
	n := pick(rng, weights)
	k := d.kinds[n]
	// A few parts are asked for most of the time.
	part := int(float64(k.parts) * rng.Float64() * rng.Float64())
	spread := func(mean int) int { return max(1, int(float64(mean)*math.Exp(0.6*rng.NormFloat64()-0.18))) }
	shared := rand.New(rand.NewSource(int64(n*1000 + part)))
	return arrival{at: at, box: box, kind: n, part: uint64(n*1000+part)*2654435761 + 1, shared: max(1, int(float64(k.shared)*(0.6+0.8*shared.Float64()))), own: min(6*k.own, spread(k.own)), out: spread(k.out)}
}

// pick draws a place by weights.
func pick(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw := rng.Float64() * total
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}
