// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"math"
	"time"
)

// While a target prefills a long prompt, each step of its batch carries a chunk of it,
// which delays the events of all streams that run there. Where their pauses get too
// long, long prompts are prefilled on dedicated targets: the first few targets of the
// service by weight and then by the hash of their identities. Whether that is needed,
// which prompts are long and how many targets it takes are derived from the calls of
// this box.
const (
	// longPrefillShare is the share of the longest allowed pause of a stream from which on the
	// prefill of one prompt counts as long.
	longPrefillShare = 0.6
	// dedicatedUtilisation is the intended utilisation of the dedicated targets. The
	// rest of their time keeps prompts from queueing behind each other.
	dedicatedUtilisation = 0.4
	// minDedicatedLoad is the load, as a share of one target's time, below which no target
	// is dedicated to long prompts.
	minDedicatedLoad = 0.02
	// pauseWeight is the weight of a new stream in the smoothed share of streams with
	// too long a pause, which covers about the last 60 streams. Above dedicateAbove long
	// prompts go to dedicated targets, below releaseBelow they no longer do. With engines
	// that cause such pauses, 19 to 29% of the streams had one without dedicated
	// targets and 5 to 8% with them; with engines that prefill faster or put fewer
	// tokens into an event, none had.
	pauseWeight   = 1.0 / 60
	dedicateAbove = 0.04
	releaseBelow  = 0.004
	// releaseSlack is the hysteresis, in targets, before the number of dedicated targets
	// is reduced. Each change costs calls, since the boxes disagree for a while.
	releaseSlack = 0.4
	// fleetLoadMaxAge is how long the load of all boxes counts after control has sent it:
	// two report intervals of a box that has no leases. A box that is cut off goes by
	// its own load.
	fleetLoadMaxAge = 2 * time.Second
	// minReportedLoad is the load below which a box reports none.
	minReportedLoad = time.Millisecond
	// maxQueried is how many dedicated targets are asked for their queue before a
	// long prompt is sent. Choosing among a few is nearly as good as among all
	// (Mitzenmacher 2001, "The Power of Two Choices").
	maxQueried = 4
	// dedicatedDivisor bounds the dedicated targets: at most one in dedicatedDivisor of
	// a service.
	dedicatedDivisor = 3
	// loadDecay is the time constant with which the load of long prompts is smoothed.
	loadDecay = 15 * time.Second
	// minSampleTokens is how many tokens a prompt must have to serve as a sample of the
	// prefill speed. With fewer, the time to the first event depends more on the steps
	// of the engine than on the prefill.
	minSampleTokens = 2000
	// speedQuantile is the quantile of the time per token that is taken as the prefill
	// speed without a queue, and speedStep how far one call moves the estimate.
	speedQuantile = 0.4
	speedStep     = 0.08
)

// prefillStats is what a box knows of prefill at the targets of one service.
type prefillStats struct {
	// perToken is the estimated time to the first event per unshared prompt token, in
	// nanoseconds; zero until it is known.
	perToken float64
	// busy is the prefill time of this box's long prompts in nanoseconds, decayed with
	// loadDecay as of updated.
	busy    float64
	updated time.Duration
	// fleetTotal is the load of all boxes that control sent last, at fleetTotalAt;
	// hasFleetTotal is set once it has sent one.
	fleetTotal    time.Duration
	fleetTotalAt  time.Duration
	hasFleetTotal bool
	// dedicated is how many targets the load requires, before the bound by
	// dedicatedDivisor.
	dedicated int
	// latePauseShare is the smoothed share of this box's streams with too long a pause.
	// needsDedicated is set while it is too high, from dedicateAbove until releaseBelow.
	latePauseShare float64
	needsDedicated bool
}

// recordPrefill updates the prefill speed with the time from a call to its first event.
// Short prompts are ignored.
func (r *prefillStats) recordPrefill(tokens int, first time.Duration) {
	if tokens < minSampleTokens || first <= 0 {
		return
	}
	sample := float64(first) / float64(tokens)
	switch {
	case r.perToken == 0:
		r.perToken = sample
	case sample > r.perToken:
		r.perToken *= 1 + speedStep*speedQuantile
	default:
		r.perToken *= 1 - speedStep*(1-speedQuantile)
	}
}

// recordStream records the longest pause of a stream that has ended, and the longest pause
// allowed.
func (r *prefillStats) recordStream(pause, limit time.Duration) {
	late := 0.0
	if pause > limit {
		late = 1
	}
	r.latePauseShare += pauseWeight * (late - r.latePauseShare)
	switch {
	case r.latePauseShare > dedicateAbove:
		r.needsDedicated = true
	case r.latePauseShare < releaseBelow:
		r.needsDedicated = false
	}
}

// prefillTime returns the expected prefill time of a prompt, zero if the speed is not known.
func (r *prefillStats) prefillTime(tokens int) time.Duration {
	return time.Duration(r.perToken * float64(tokens))
}

// tokensIn returns how many tokens a target prefills in d, or otherwise if the speed is not
// known.
func (r *prefillStats) tokensIn(d time.Duration, otherwise int) int {
	if r.perToken == 0 {
		return otherwise
	}
	return int(float64(d) / r.perToken)
}

// decay applies the decay of busy up to now.
func (r *prefillStats) decay(now time.Duration) {
	if elapsed := now - r.updated; elapsed > 0 {
		r.busy *= math.Exp(-elapsed.Seconds() / loadDecay.Seconds())
		r.updated = now
	}
}

// addLongPrompt records a long prompt that takes d to prefill.
func (r *prefillStats) addLongPrompt(d, now time.Duration) {
	r.decay(now)
	r.busy += float64(d)
}

// load returns the prefill time of this box's long prompts per second, zero while too few
// of its streams have too long a pause for dedicated targets.
func (r *prefillStats) load(now time.Duration) time.Duration {
	if !r.needsDedicated {
		return 0
	}
	r.decay(now)
	return time.Duration(r.busy / loadDecay.Seconds())
}

// fleetLoad returns the load of all boxes: the one that control has sent, or an
// estimate as if each had the load of this one.
func (r *prefillStats) fleetLoad(boxes int, now time.Duration) time.Duration {
	if r.hasFleetTotal && now-r.fleetTotalAt < fleetLoadMaxAge {
		return r.fleetTotal
	}
	return r.load(now) * time.Duration(max(1, boxes))
}

// dedicatedTargets returns how many of a service's targets are dedicated to long prompts, if all
// are of usual speed.
func (r *prefillStats) dedicatedTargets(targets, boxes int, now time.Duration) int {
	wanted := r.fleetLoad(boxes, now).Seconds()/dedicatedUtilisation - minDedicatedLoad
	if n := int(math.Ceil(wanted)); n > r.dedicated || n <= 0 || wanted < float64(r.dedicated-1)-releaseSlack {
		r.dedicated = max(0, n)
	}
	return min(targets/dedicatedDivisor, r.dedicated)
}

// fastestDedicated returns how many of a service's targets, the fastest first, are dedicated to long
// prompts: as many as do the work of the targets of usual speed that the load requires, and no more
// than if all were of usual speed.
func (r *prefillStats) fastestDedicated(list []*Target, boxes int, now time.Duration) int {
	n := r.dedicatedTargets(len(list), boxes, now)
	return fastest(list[:n], float64(r.dedicated))
}

// RecordStreamPause records the longest pause of a stream from a target, and the longest
// pause that its route allows; a limit of zero means that there is none.
func (tb *Table) RecordStreamPause(t *Target, pause, limit time.Duration) {
	if limit > 0 {
		tb.prefillOf(t.Service).recordStream(pause, limit)
	}
}

// DedicatedTargets returns how many targets of a service are dedicated to long prompts.
func (tb *Table) DedicatedTargets(service string, boxes int, now time.Duration) int {
	return tb.prefillOf(service).fastestDedicated(tb.services[service], boxes, now)
}

// PrefillLoads returns the prefill time per second of this box's long prompts, by
// service. Services with next to none are left out.
func (tb *Table) PrefillLoads(now time.Duration) map[string]time.Duration {
	loads := map[string]time.Duration{}
	for service, r := range tb.prefill {
		if load := r.load(now); load > minReportedLoad {
			loads[service] = load
		}
	}
	return loads
}

// SetFleetPrefillLoad sets the prefill time per second of the long prompts of all boxes
// for a service.
func (tb *Table) SetFleetPrefillLoad(service string, load, now time.Duration) {
	r := tb.prefillOf(service)
	r.fleetTotal, r.fleetTotalAt, r.hasFleetTotal = load, now, true
}
