// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/state"
)

// clockTimeout bounds the question for another box's clock.
const clockTimeout = 300 * time.Millisecond

// reclaimBefore takes back what former processes of a reporting box can't have
// used: they have ended, at the latest when the present one started. What they
// may have used is bounded by the time between their last report and that end.
// Without a clock that saw both, nothing is taken back; a later report tries
// again.
func (g *Gateway) reclaimBefore(ctx context.Context, r *betweenv1.LeaseRequest) {
	var former []*statev1.LeaseHolder
	g.Machine.Read(func(s *state.State) { former = s.Routing.Predecessors(r.GetBox(), r.GetHolder()) })
	for _, h := range former {
		elapsed, known := g.elapsed(ctx, h.GetStamp(), time.Duration(r.GetAge())*time.Millisecond)
		if !known {
			g.unbounded(h)
			continue
		}
		g.reclaim(ctx, h.GetHolder(), elapsed)
	}
}

// unbounded logs once that nothing bounds what a holder can have used.
func (g *Gateway) unbounded(h *statev1.LeaseHolder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.told[h.GetHolder()] {
		return
	}
	if g.told == nil || len(g.told) > maxTold {
		g.told = map[string]bool{}
	}
	g.told[h.GetHolder()] = true
	g.Logger.Warn("lease not reclaimed", "holder", h.GetHolder(), "reason", "no clock saw its last report and its end", "clock", h.GetStamp().GetClock(), "clock_boot", h.GetStamp().GetBoot(), "at_ms", h.GetStamp().GetAt())
}

// maxTold bounds the holders that are remembered for the log.
const maxTold = 1024

// elapsed returns the longest time that a holder can have run after a stamp,
// if its box's next process has run for a time now.
func (g *Gateway) elapsed(ctx context.Context, stamp *statev1.LeaseStamp, age time.Duration) (time.Duration, bool) {
	if stamp.GetClock() == "" {
		return 0, false
	}
	now, known := g.clockOf(ctx, stamp)
	since := now - time.Duration(stamp.GetAt())*time.Millisecond
	if !known || since < 0 {
		return 0, false
	}
	return max(0, since-age), true
}

// clockOf reads the clock that made a stamp, if it still counts the same boot.
func (g *Gateway) clockOf(ctx context.Context, stamp *statev1.LeaseStamp) (time.Duration, bool) {
	if stamp.GetClock() == g.Self {
		return g.Clock.Boot(), stamp.GetBoot() == g.Boot
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	resp, err := g.Clocks(ctx, stamp.GetClock())
	if err != nil || resp.GetBoot() != stamp.GetBoot() {
		return 0, false
	}
	return time.Duration(resp.GetAt()) * time.Millisecond, true
}

// reclaim puts what a holder can't have used back into the budgets.
func (g *Gateway) reclaim(ctx context.Context, holder string, elapsed time.Duration) {
	m := &statev1.ReclaimLease{Holder: holder}
	g.Machine.Read(func(s *state.State) {
		for _, b := range s.Routing.Prepaid {
			a := b.Of(holder)
			free := state.FreeAtReport(a)
			if most := lease.MostUsed(a.GetBasis(), elapsed); free > most {
				m.Changes = append(m.Changes, &statev1.LeaseChange{Organisation: b.Name, Returned: free - most})
			}
		}
	})
	data, err := proto.Marshal(&statev1.Entry{Kind: &statev1.Entry_ReclaimLease{ReclaimLease: m}})
	if err == nil {
		_, err = g.Log.Propose(ctx, data)
	}
	if err != nil {
		g.Logger.Warn("lease not reclaimed", "holder", holder, "reason", err.Error())
		return
	}
	for _, c := range m.GetChanges() {
		g.Logger.Info("lease reclaimed", "holder", holder, "organisation", c.GetOrganisation(), "tokens", c.GetReturned(), "unreported_ms", elapsed.Milliseconds())
	}
}

// ReadClock returns this box's boot clock.
func (g *Gateway) ReadClock() *betweenv1.ReadClockResponse {
	return &betweenv1.ReadClockResponse{Boot: g.Boot, At: g.Clock.Boot().Milliseconds()}
}
