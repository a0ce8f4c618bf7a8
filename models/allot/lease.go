// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package allot

// LeaseState is the state of one organisation's budget when a holder asks. All
// amounts are in tokens and rates in tokens per second.
type LeaseState struct {
	Prepaid    uint64
	Unallotted uint64
	// Holders is the number of entry boxes that report.
	Holders int
	// Free is the sum of all holders' tokens that are neither spent nor reserved.
	Free uint64
	// Rate is the sum of all holders' demand.
	Rate uint64
}

// LeaseRole is the role of a box for an organisation's lease.
type LeaseRole int

const (
	// LeaseHolder is a box that holds a lease for itself and for others.
	LeaseHolder LeaseRole = iota
	// LeaseGuest is a box that draws on leases of others, and is granted only what
	// its requests lack.
	LeaseGuest
	// LeaseRoleUnknown is a box whose role is not known yet. It keeps its tokens.
	LeaseRoleUnknown
)

// LeaseDemand is the report of one box. Available is the number of tokens that were
// allotted to it and are neither returned nor spent, including reserved ones.
type LeaseDemand struct {
	Role      LeaseRole
	Available uint64
	Reserved  uint64
	Rate      uint64
	Need      uint64
}

// LeaseDecision holds the tokens to grant to a box, and the maximum that it should
// keep; it returns free tokens beyond that.
type LeaseDecision struct {
	Grant uint64
	Keep  uint64
}

const (
	// leaseHorizonSeconds is the time in seconds for which a holder's lease should
	// last while control is unreachable.
	leaseHorizonSeconds = 11.0
	// leasePoolFraction is the fraction of all free tokens that leases may take up.
	leasePoolFraction = 0.6
	// leaseFloorFraction is the fraction of a prepaid amount that is spread evenly
	// before demand is known.
	leaseFloorFraction = 0.3
	// fragment is the number of tokens, for each holder, below which the rest of a budget is too little to be
	// split: a holder's part would often be less than one request needs. lastFraction limits that to
	// the last part of the prepaid amount, so that small budgets are split as long as they last.
	fragment     = 8000
	lastFraction = 0.05
	// grantBelow is the fraction of its target below which a box is granted more.
	grantBelow = 0.8
	// returnAbove is the multiple of its target above which a box has to return
	// tokens.
	returnAbove = 1.6
)

// Lease decides on a box's report. Every holder gets tokens for the same time ahead
// at its demand, and at least an equal share of a floor. The time gets shorter as
// fewer tokens are free.
func Lease(s LeaseState, d LeaseDemand) LeaseDecision {
	target := leaseTarget(s, d)
	decision := LeaseDecision{Keep: d.Available}
	wanted := float64(target)
	available := float64(d.Available)
	switch {
	case d.Role == LeaseRoleUnknown && d.Need == 0:
	case d.Need > 0 || available < grantBelow*wanted:
		if target > d.Available {
			decision.Grant = min(target-d.Available, s.Unallotted)
		}
		decision.Keep = max(target, d.Available+decision.Grant)
	case available > returnAbove*wanted:
		decision.Keep = target
	case isNearlySpent(s):
		decision.Keep = min(d.Available, target)
	}
	return decision
}

// isNearlySpent reports whether too little of a budget is left to be split among the holders. It is then
// kept unallotted, and granted to whoever has a request that needs it.
func isNearlySpent(s LeaseState) bool {
	left := float64(s.Unallotted + s.Free)
	return left < fragment*float64(s.Holders) && left < lastFraction*float64(s.Prepaid)
}

// leaseTarget returns the number of tokens that a box should have available.
func leaseTarget(s LeaseState, d LeaseDemand) uint64 {
	if d.Role != LeaseHolder || isNearlySpent(s) {
		return d.Reserved + d.Need
	}
	pool := leasePoolFraction * float64(s.Unallotted+s.Free)
	horizon := leaseHorizonSeconds
	if s.Rate > 0 {
		horizon = min(horizon, pool/float64(s.Rate))
	}
	floor := min(leaseFloorFraction*float64(s.Prepaid), pool/2) / float64(max(1, s.Holders))
	return d.Reserved + d.Need + uint64(max(floor, horizon*float64(d.Rate)))
}
