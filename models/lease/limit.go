// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

// The use of a lease without an acknowledged report is limited like a token
// bucket: a fraction of the lease at once, and a further fraction per second.
// When a holder dies, control can therefore compute an upper bound of what it
// has used from the time between its last report and its end, and reclaim the
// rest. Both sides compute the bound from the basis: the number of tokens that
// were free in the lease at a report.
const (
	// burstDivisor and rateDivisor are divisors of the basis for the tokens that
	// may be used at once and per second.
	burstDivisor = 10
	rateDivisor  = 14
	// minBurst (tokens) and minRate (tokens per second) are lower limits
	// that keep small leases usable. They apply up to the fractions of the basis
	// given by the divisors smallBurstDivisor and smallRateDivisor.
	minBurst          = 2500
	minRate           = 2000
	smallBurstDivisor = 4
	smallRateDivisor  = 2
	// partitionTimeout is the time without an acknowledged report after which a
	// holder considers itself partitioned from control. It may then use an
	// additional basis/partitionBurstDivisor, at most maxPartitionBurst tokens, so
	// that large requests need not wait for the rate, and a further
	// basis/partitionRateDivisor per second. Restarts and power failures are over
	// within this time, so less of a lease is withheld after them.
	partitionTimeout      = 2600 * time.Millisecond
	partitionBurstDivisor = 2
	maxPartitionBurst     = 30000
	partitionRateDivisor  = 8
)

// partitionAllowance returns the additional tokens that a partitioned holder may
// use when elapsed has passed since its last sample.
func partitionAllowance(basis uint64, elapsed time.Duration) uint64 {
	if elapsed < partitionTimeout {
		return 0
	}
	refill := float64(basis) / partitionRateDivisor * (elapsed - partitionTimeout).Seconds()
	return partitionBurst(basis) + uint64(refill)
}

// partitionBurst returns the additional tokens that a holder may use at once when it is partitioned.
func partitionBurst(basis uint64) uint64 {
	return min(basis/partitionBurstDivisor, maxPartitionBurst)
}

// BurstLimit returns the number of tokens that may be used at once without a
// report.
func BurstLimit(basis uint64) uint64 {
	return max(basis/burstDivisor, min(basis/smallBurstDivisor, minBurst))
}

// RateLimit returns the number of tokens per second that may be used without a
// report.
func RateLimit(basis uint64) float64 {
	return max(float64(basis)/rateDivisor, min(float64(basis)/smallRateDivisor, minRate))
}

// advanceTimes is the number of report times for which an advance lasts, within the bounds
// minAdvanceTime and maxAdvanceTime. maxAdvanceFraction bounds an advance to a fraction of
// the free tokens of a lease.
const (
	advanceTimes       = 2
	minAdvanceTime     = 300 * time.Millisecond
	maxAdvanceTime     = time.Second
	maxAdvanceFraction = 0.8
)

// advance returns the tokens that a holder reports as reserved although no request has
// reserved them yet, so that it may use them before its next report is acknowledged. Without
// it a holder whose reports take long, as its link is congested, refuses requests although
// its lease has enough tokens. It is zero where the burst limit lasts as long. rate is the
// demand in tokens per second, reportTime what the last report took.
func advance(free uint64, rate float64, reportTime time.Duration) uint64 {
	lasting := min(max(advanceTimes*reportTime, minAdvanceTime), maxAdvanceTime).Seconds()
	expected := uint64(rate * lasting)
	burst := BurstLimit(free)
	if expected <= burst {
		return 0
	}
	return min(expected-burst, uint64(maxAdvanceFraction*float64(free)))
}

// clockDriftFactor is the factor by which times measured on another box's clock are
// lengthened to allow for clock drift.
const clockDriftFactor = 1.02

// MaxUnreportedUse returns an upper bound of the tokens that a holder has used beyond
// its last report, if that report was sampled no earlier than elapsed before the
// holder's end.
func MaxUnreportedUse(basis uint64, elapsed time.Duration) uint64 {
	return BurstLimit(basis) + uint64(RateLimit(basis)*elapsed.Seconds()*clockDriftFactor) + partitionAllowance(basis, time.Duration(clockDriftFactor*float64(elapsed))) + 1
}

// limiter limits the tokens that are reserved since the last sample that control
// may have received.
type limiter struct {
	basis uint64
	// level is the bucket's level at the time of the sample, less the tokens
	// reserved since.
	level float64
	// takenSinceSample is the number of tokens reserved since the sample.
	takenSinceSample uint64
	sampledAt        time.Duration
	// sample holds the counters of the last report; the reserved ones include advance.
	sample counters
	// advance is the number of tokens that the last report announced ahead of their use.
	advance uint64
}

// counters is a copy of a lease's counters at one time.
type counters struct{ returned, spent, reserved uint64 }

func (c counters) used() uint64 { return c.returned + c.spent + c.reserved }

// available returns the number of tokens that may be reserved at the given time.
func (l *limiter) available(now time.Duration) float64 {
	return l.refilled(now) + float64(partitionAllowance(l.basis, now-l.sampledAt))
}

// refilled is like available, without the additional tokens of a partition.
func (l *limiter) refilled(now time.Duration) float64 {
	return l.level + RateLimit(l.basis)*(now-l.sampledAt).Seconds()
}

// maxAvailableIn bounds the times that availableIn returns.
const maxAvailableIn = time.Hour

// availableIn returns the time until the limit admits tokens, unless others take some or a new
// sample starts before.
func (l *limiter) availableIn(tokens uint64, now time.Duration) time.Duration {
	if l.available(now) >= float64(tokens) {
		return 0
	}
	rate := RateLimit(l.basis)
	missing := float64(tokens) - l.level
	if missing < rate*partitionTimeout.Seconds() {
		return l.until(missing/rate, now)
	}
	// The refill of a partition is rounded down, by less than one token.
	extra := float64(l.basis) / partitionRateDivisor
	missing += 1 - float64(partitionBurst(l.basis)) + extra*partitionTimeout.Seconds()
	return l.until(max(partitionTimeout.Seconds(), missing/(rate+extra)), now)
}

// until returns the time from now to a number of seconds after the sample, rounded up.
func (l *limiter) until(seconds float64, now time.Duration) time.Duration {
	left := seconds - (now - l.sampledAt).Seconds()
	if !(left < maxAvailableIn.Seconds()) {
		return maxAvailableIn
	}
	return max(0, time.Duration(left*float64(time.Second))) + time.Microsecond
}

func (l *limiter) take(tokens uint64) {
	l.level -= float64(tokens)
	l.takenSinceSample += tokens
}

// startSample starts counting from a new sample, which may be lost on its way to
// control. The use stays within the bounds that control computes from this sample and
// from the one before. The advance is added to the reserved tokens of the sample.
func (l *limiter) startSample(c counters, advance uint64, now time.Duration) {
	l.level = min(l.refilled(now), float64(BurstLimit(l.basis)+advance))
	c.reserved += advance
	l.sampledAt, l.sample, l.advance, l.takenSinceSample = now, c, advance, 0
}

// acknowledge records that control has received the last sample, and computes
// the new basis from it.
func (l *limiter) acknowledge(allotted uint64) {
	l.basis = allotted - min(allotted, l.sample.used())
	l.level = float64(BurstLimit(l.basis)+l.advance) - float64(l.takenSinceSample)
}
