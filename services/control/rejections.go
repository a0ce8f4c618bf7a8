// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"slices"
	"strings"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/rate"
)

const (
	// rejectionLimitLifetime is how long a rejection limit is passed on after a box has heard it.
	rejectionLimitLifetime = time.Minute
	// maxRejectionLimits bounds the services with a rejection limit.
	maxRejectionLimits = 256
	// holdWeight is the weight of one box's hold time in the mean of all boxes.
	holdWeight = 0.1
	// holdTolerance is the ratio by which that mean may change before boxes are told: their
	// turns are in step only as long as all of them have the same value.
	holdTolerance = 1.2
)

// rejectionLimits are the last rejection limits that boxes heard from targets, by service. Like
// the rate limits they are the leader's and not replicated: boxes tell a new leader of the limits
// that they go on hearing.
type rejectionLimits map[string]*rejectionLimit

// rejectionLimit is the rejection limit of a service's targets.
type rejectionLimit struct {
	statement rate.Statement
	// hold is the mean time for which a call holds a slot, zero if no box has told it. toldHold is
	// what boxes are told.
	hold, toldHold time.Duration
}

// put records the rejection limits in a box's report.
func (l rejectionLimits) put(told []*betweenv1.RejectionLimit, now time.Duration) {
	for _, m := range told {
		age := time.Duration(m.GetAge()) * time.Millisecond
		if age < 0 || age > rejectionLimitLifetime || !(m.GetPerSecond() >= 0) {
			continue
		}
		s := rate.Statement{Limit: m.GetPerSecond(), Sent: now - age, Received: now - age}
		row := l[m.GetService()]
		switch {
		case row != nil:
			row.statement = row.statement.Merge(s)
		case len(l) < maxRejectionLimits:
			row = &rejectionLimit{statement: s}
			l[m.GetService()] = row
		default:
			continue
		}
		row.addHold(time.Duration(m.GetHold()) * time.Microsecond)
	}
}

// addHold adds one box's hold time to the mean.
func (r *rejectionLimit) addHold(hold time.Duration) {
	switch {
	case hold <= 0:
	case r.hold == 0:
		r.hold = hold
	default:
		r.hold += time.Duration(holdWeight * float64(hold-r.hold))
	}
	if ratio := float64(r.hold) / float64(max(1, r.toldHold)); ratio > holdTolerance || ratio < 1/holdTolerance {
		r.toldHold = r.hold
	}
}

// list returns the rejection limits that were heard lately and forgets the others.
func (l rejectionLimits) list(now time.Duration) (list []*betweenv1.RejectionLimit) {
	for service, row := range l {
		age := now - row.statement.Received
		if age > rejectionLimitLifetime {
			delete(l, service)
			continue
		}
		list = append(list, &betweenv1.RejectionLimit{Service: service, PerSecond: row.statement.Limit, Age: age.Milliseconds(), Hold: row.toldHold.Microseconds()})
	}
	slices.SortFunc(list, func(a, b *betweenv1.RejectionLimit) int { return strings.Compare(a.GetService(), b.GetService()) })
	return list
}
