// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/state"
)

// clockTimeout bounds the request for another box's clocks.
const clockTimeout = 300 * time.Millisecond

// reclaimPredecessors reclaims the tokens that earlier processes of a reporting box can't
// have used. These processes ended at the latest when the current one started, so
// what they may have used is bounded by the time between their last report and that
// start. If no clock covers both, nothing is reclaimed and a later report tries again.
func (g *Gateway) reclaimPredecessors(ctx context.Context, r *betweenv1.LeaseRequest) {
	var former []*statev1.LeaseHolder
	g.Machine.Read(func(s *state.State) { former = s.Routing.Predecessors(r.GetBox(), r.GetHolder()) })
	for _, h := range former {
		elapsed, known := g.maxElapsed(ctx, h.GetStamp(), time.Duration(r.GetAge())*time.Millisecond)
		if !known {
			g.logUnbounded(h)
			continue
		}
		g.reclaim(ctx, h.GetHolder(), elapsed)
	}
}

// logUnbounded logs, once for each holder, that its leases can't be reclaimed because
// nothing bounds what it may have used.
func (g *Gateway) logUnbounded(h *statev1.LeaseHolder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.loggedHolders[h.GetHolder()] {
		return
	}
	if g.loggedHolders == nil || len(g.loggedHolders) > maxLoggedHolders {
		g.loggedHolders = map[string]bool{}
	}
	g.loggedHolders[h.GetHolder()] = true
	g.Logger.Warn("lease not reclaimed", "holder", h.GetHolder(), "reason", "no clock saw its last report and its end", "clock", h.GetStamp().GetClock(), "clock_boot", h.GetStamp().GetBoot(), "at_ms", h.GetStamp().GetAt())
}

// maxLoggedHolders bounds the number of holders that are remembered to log them only once.
const maxLoggedHolders = 1024

// maxElapsed returns the longest time that a holder can have run after a stamp, if the
// next process of its box has the given age. Either clock gives a bound: the boot
// clock that made the stamp, unless its machine has rebooted, or the wall clocks of
// the majority of the control group.
func (g *Gateway) maxElapsed(ctx context.Context, stamp *statev1.LeaseStamp, age time.Duration) (time.Duration, bool) {
	if stamp.GetClock() == "" {
		return 0, false
	}
	now, booted := g.bootClockOf(ctx, stamp)
	since := now - time.Duration(stamp.GetAt())*time.Millisecond
	booted = booted && since >= 0
	days, dated := g.wallClockElapsed(ctx, stamp.GetDays())
	switch {
	case booted && dated:
		since = min(since, days)
	case dated:
		since = days
	case !booted:
		return 0, false
	}
	return max(0, since-age), true
}

// wallClockMargin is added to durations that were measured with wall clocks.
const wallClockMargin = 250 * time.Millisecond

// wallClockElapsed returns the longest time since a moment, by the wall clocks of the boxes
// that were read then. A wall clock can jump, so the majority of the boxes must answer
// and the longest duration is used: it is too short only if the clocks of all that
// answer have jumped back since.
func (g *Gateway) wallClockElapsed(ctx context.Context, days []*statev1.DayTime) (time.Duration, bool) {
	longest, answers := time.Duration(0), 0
	for _, day := range days {
		now, known := g.wallClockOf(ctx, day.GetBox())
		if !known {
			continue
		}
		answers++
		longest = max(longest, time.Duration(now-day.GetAt())*time.Millisecond)
	}
	return longest + wallClockMargin, answers > 0 && 2*answers > len(days) && longest > 0
}

func (g *Gateway) wallClockOf(ctx context.Context, box string) (int64, bool) {
	if box == g.Self {
		return g.Clock.Wall().UnixMilli(), true
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	resp, err := g.ReadRemoteClock(ctx, box)
	return resp.GetDay(), err == nil
}

// bootClockOf reads the boot clock that made a stamp. It returns false if that box can't
// be reached or has rebooted since.
func (g *Gateway) bootClockOf(ctx context.Context, stamp *statev1.LeaseStamp) (time.Duration, bool) {
	if stamp.GetClock() == g.Self {
		return g.Clock.Boot(), stamp.GetBoot() == g.Boot
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	resp, err := g.ReadRemoteClock(ctx, stamp.GetClock())
	if err != nil || resp.GetBoot() != stamp.GetBoot() {
		return 0, false
	}
	return time.Duration(resp.GetAt()) * time.Millisecond, true
}

// reclaim returns to the budgets what a holder can't have used in the time elapsed
// after its last report.
func (g *Gateway) reclaim(ctx context.Context, holder string, elapsed time.Duration) {
	m := &statev1.ReclaimLease{Holder: holder}
	held := uint64(0)
	g.Machine.Read(func(s *state.State) {
		for _, b := range s.Routing.Prepaid {
			a := b.AllotmentOf(holder)
			free := state.FreeAtReport(a)
			held += free
			if maxUsed := lease.MaxUnreportedUse(a.GetBasis(), elapsed); free > maxUsed {
				m.Changes = append(m.Changes, &statev1.LeaseChange{Organisation: b.Name, Returned: free - maxUsed})
			}
		}
	})
	if _, err := propose(ctx, g.Log, &statev1.Entry{Kind: &statev1.Entry_ReclaimLease{ReclaimLease: m}}); err != nil {
		g.Logger.Warn("lease not reclaimed", "holder", holder, "reason", err.Error())
		return
	}
	total := uint64(0)
	for _, c := range m.GetChanges() {
		total += c.GetReturned()
	}
	g.Logger.Info("lease reclaimed", "holder", holder, "organisations", len(m.GetChanges()), "tokens", total, "kept_back", held-total, "unreported_ms", elapsed.Milliseconds())
}

// ReadClock returns this box's boot clock and wall clock, in milliseconds.
func (g *Gateway) ReadClock() *betweenv1.ReadClockResponse {
	return &betweenv1.ReadClockResponse{Boot: g.Boot, At: g.Clock.Boot().Milliseconds(), Day: g.Clock.Wall().UnixMilli()}
}
