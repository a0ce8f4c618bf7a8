// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/allot"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
)

// holderTimeout is how long after its last report a holder counts as present.
const holderTimeout = 3 * time.Second

// Gateway serves entry boxes and operators what forwarded calls depend on: routing
// tables, registered targets and leases of prepaid budgets.
type Gateway struct {
	Log     Log
	Machine *Machine
	Clock   clock.Clock
	Logger  *slog.Logger
	// Self is this box's address, Boot identifies the current boot of its machine.
	Self string
	Boot string
	// Members returns the addresses of the control group's members.
	Members func() []string
	// ReadRemoteClock reads the clocks of another control box.
	ReadRemoteClock func(ctx context.Context, address string) (*betweenv1.ReadClockResponse, error)

	mu         sync.Mutex
	holders    map[string]*holderState
	entryBoxes directory
	readings   readings
	limits     limits
	speeds     speeds
	rejections rejectionLimits
	wallClocks map[string]wallClockReading
	throttle   sweepThrottle
	// loggedHolders holds the holders for which a failed reclaim has been logged.
	loggedHolders map[string]bool
}

// holderState is a holder's last report. It is not replicated: a new leader learns
// it from the next reports.
type holderState struct {
	reportedAt time.Duration
	reports    map[string]*betweenv1.LeaseReport
	// sample is the number of the last sample, stamp a lower bound of the time it
	// was taken, and answeredAt the boot time at which it was first answered.
	sample     uint64
	stamp      *statev1.LeaseStamp
	answeredAt time.Duration
	wallClocks []*statev1.DayTime
	// speedsSample is the number of the last sample whose speeds of targets were counted.
	speedsSample uint64
}

// Submit commits a change of the routing table, of targets or of an evacuation, or a
// report of calls.
func (g *Gateway) Submit(ctx context.Context, e *statev1.Entry) error {
	if r := e.GetReportCalls(); r != nil {
		return g.Quarantine().Report(ctx, r)
	}
	if r := e.GetPutTargets(); r != nil {
		r.At = g.Clock.Wall().UnixMilli()
	}
	answer, err := propose(ctx, g.Log, e)
	if err != nil {
		return err
	}
	refused, _ := answer.(error)
	return refused
}

// Quarantine returns the gateway's handler of reports of calls during which
// targets failed.
func (g *Gateway) Quarantine() *Quarantine {
	return &Quarantine{Log: g.Log, Machine: g.Machine, Clock: g.Clock, Logger: g.Logger}
}

// ReadRouting returns the newest routing table that was committed before the call.
func (g *Gateway) ReadRouting() (*betweenv1.ReadRoutingResponse, error) {
	if err := g.Log.ReadBarrier(); err != nil {
		return nil, err
	}
	resp := &betweenv1.ReadRoutingResponse{}
	g.Machine.Read(func(s *state.State) {
		if t := s.Routing.Table; t != nil {
			resp.Found, resp.Version, resp.Source = true, t.GetVersion(), t.GetSource()
		}
	})
	return resp, nil
}

// Lease records a holder's report and answers what the holder may keep of its
// leases and what it is granted.
func (g *Gateway) Lease(ctx context.Context, r *betweenv1.LeaseRequest) (*betweenv1.LeaseResponse, error) {
	if err := g.Log.ReadBarrier(); err != nil {
		return nil, err
	}
	g.reclaimPredecessors(ctx, r)
	holders, directory, stamp := g.record(r)
	if directory == nil {
		// A new leader has not received reports of all boxes yet.
		holders = 0
	}
	resp := &betweenv1.LeaseResponse{Holders: uint32(holders), Directory: directoryMessage(directory, r.GetDirectory()), Readings: g.recordReadings(r)}
	g.recordLimits(r, resp)
	g.recordSpeeds(r, resp)
	sync := &statev1.LeaseSync{Holder: r.GetHolder(), Box: r.GetBox(), Stamp: stamp, Leaving: r.GetLeaving()}
	at := make([]int, 0, len(r.GetReports()))
	g.Machine.Read(func(s *state.State) {
		for i, report := range r.GetReports() {
			grant, change := g.decideLease(s, r, report, directory)
			resp.Grants = append(resp.Grants, grant)
			if change != nil {
				sync.Changes = append(sync.Changes, change)
				at = append(at, i)
			}
		}
	})
	if len(sync.GetChanges()) > 0 || sync.GetLeaving() {
		answer, err := g.propose(ctx, sync)
		if err != nil {
			return nil, err
		}
		for i, allotted := range answer.Allotted {
			resp.Grants[at[i]].Allotted = allotted
		}
	}
	g.recordAnswer(r)
	return resp, nil
}

func (g *Gateway) propose(ctx context.Context, m *statev1.LeaseSync) (state.LeaseResult, error) {
	answer, err := propose(ctx, g.Log, &statev1.Entry{Kind: &statev1.Entry_LeaseSync{LeaseSync: m}})
	if err != nil {
		return state.LeaseResult{}, err
	}
	granted, ok := answer.(state.LeaseResult)
	if !ok {
		return state.LeaseResult{}, errors.Errorf("the state answered a lease with %T: all control boxes must run one version", answer)
	}
	for i, c := range m.GetChanges() {
		if c.GetGrant() > 0 {
			g.Logger.Info("lease granted", "holder", m.GetHolder(), "organisation", c.GetOrganisation(), "granted", c.GetGrant(), "returned", c.GetReturned(), "spent", c.GetSpent(), "allotted", granted.Allotted[i])
		}
	}
	return granted, nil
}

// decideLease returns the answer to one report and the change to commit for it, nil if
// there is none.
func (g *Gateway) decideLease(s *state.State, r *betweenv1.LeaseRequest, report *betweenv1.LeaseReport, d *lease.Directory) (*betweenv1.LeaseGrant, *statev1.LeaseChange) {
	grant := &betweenv1.LeaseGrant{Organisation: report.GetOrganisation()}
	b := s.Routing.Prepaid[report.GetOrganisation()]
	if b == nil {
		return grant, nil
	}
	row := b.AllotmentOf(r.GetHolder())
	returned := max(report.GetReturned(), row.GetReturned())
	available := row.GetAllotted() - min(row.GetAllotted(), returned+report.GetSpent())
	free, rate, left := g.usageOf(s, b)
	decision := allot.LeaseDecision{}
	if !r.GetLeaving() {
		decision = allot.Lease(
			allot.LeaseState{Prepaid: b.Granted, Unallotted: b.Unallotted(), Holders: d.HolderCount(b.Name), Free: free, Rate: rate},
			allot.LeaseDemand{Role: leaseRole(r, d, report, rate, available > report.GetReserved()), Available: available, Reserved: report.GetReserved(), Rate: report.GetRate(), Need: report.GetNeed()},
		)
	}
	grant.Allotted, grant.Keep, grant.Left, grant.Unallotted = row.GetAllotted(), decision.Keep, left, b.Unallotted()-decision.Grant
	if decision.Grant == 0 && row == nil {
		return grant, nil
	}
	return grant, &statev1.LeaseChange{
		Organisation: report.GetOrganisation(), Returned: report.GetReturned(), Spent: report.GetSpent(), Reserved: report.GetReserved(),
		Basis: report.GetBasis(), Grant: decision.Grant,
	}
}

// heavyDemandDivisor is the reciprocal of the share of an organisation's demand from which
// on a box gets its own lease: one twelfth.
const heavyDemandDivisor = 12

// leaseRole returns whether a box should hold a lease of an organisation's budget. A
// box without an address, at which others can't draw, holds its own lease. So does one
// that the directory d assigns to the organisation, and one that causes at least
// 1/heavyDemandDivisor of the organisation's demand; for a box that has a lease half of
// that is enough, as hysteresis. Without a directory the role is undecided.
func leaseRole(r *betweenv1.LeaseRequest, d *lease.Directory, report *betweenv1.LeaseReport, rate uint64, hasLease bool) allot.LeaseRole {
	divisor := uint64(heavyDemandDivisor)
	if hasLease {
		divisor *= 2
	}
	switch {
	case r.GetAddress() == "":
		return allot.LeaseHolder
	case d == nil:
		return allot.LeaseRoleUnknown
	case d.IsHolder(r.GetBox(), r.GetDataCentre(), report.GetOrganisation()):
		return allot.LeaseHolder
	case report.GetRate() > 0 && report.GetRate()*divisor >= rate:
		return allot.LeaseHolder
	default:
		return allot.LeaseGuest
	}
}

// record stores a report. It returns how many holders report at present, the
// directory, nil while it is incomplete, and a lower bound of the time at which the
// report's sample was taken: when this box first answered the previous sample.
func (g *Gateway) record(r *betweenv1.LeaseRequest) (holders int, d *lease.Directory, stamp *statev1.LeaseStamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holders == nil {
		g.holders = map[string]*holderState{}
	}
	now := g.Clock.Boot()
	g.entryBoxes.record(r, now)
	if r.GetLeaving() {
		delete(g.holders, r.GetHolder())
		return max(1, len(g.holders)), g.entryBoxes.current(now), nil
	}
	row := g.holders[r.GetHolder()]
	if row == nil {
		row = &holderState{}
		g.holders[r.GetHolder()] = row
	}
	if r.GetSample() != row.sample {
		row.stamp = g.stampOf(row, r.GetSample())
		row.sample, row.answeredAt = r.GetSample(), 0
	}
	row.reportedAt, row.reports = now, map[string]*betweenv1.LeaseReport{}
	for _, report := range r.GetReports() {
		row.reports[report.GetOrganisation()] = report
	}
	g.removeSilentHolders(now)
	return len(g.holders), g.entryBoxes.current(now), row.stamp
}

// recordReadings records the prefill load that a holder's long prompts cause, and
// returns the sum over all holders by service.
func (g *Gateway) recordReadings(r *betweenv1.LeaseRequest) []*betweenv1.ReadingLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := r.GetReadings()
	if r.GetLeaving() {
		loads = nil
	}
	g.readings.put(r.GetHolder(), loads)
	return g.readings.list()
}

// removeSilentHolders removes holders that have not reported within holderTimeout. The
// caller must hold g.mu.
func (g *Gateway) removeSilentHolders(now time.Duration) {
	if !g.throttle.allow(now) {
		return
	}
	for name, other := range g.holders {
		if now-other.reportedAt > holderTimeout {
			delete(g.holders, name)
			g.readings.put(name, nil)
		}
	}
}

// stampOf returns the stamp of a new sample, nil unless this box has answered
// the sample directly before it.
func (g *Gateway) stampOf(row *holderState, sample uint64) *statev1.LeaseStamp {
	if row.answeredAt == 0 || sample != row.sample+1 {
		return nil
	}
	return &statev1.LeaseStamp{Clock: g.Self, Boot: g.Boot, At: row.answeredAt.Milliseconds(), Days: row.wallClocks}
}

// recordAnswer records when a sample is first answered.
func (g *Gateway) recordAnswer(r *betweenv1.LeaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.holders[r.GetHolder()]
	if row != nil && row.sample == r.GetSample() && row.answeredAt == 0 {
		row.answeredAt = g.Clock.Boot()
		row.wallClocks = g.wallClocksAt(row.answeredAt)
	}
}

// usageOf sums up the free tokens and the spending rates of an organisation's
// budget over the holders that report. left is what requests may still reserve: the
// tokens that are neither spent nor reserved by requests, nor kept back for a holder whose
// process has ended, as those are never returned.
func (g *Gateway) usageOf(s *state.State, b *state.Budget) (free, rate, left uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := uint64(0)
	for _, a := range b.Allotments {
		spent := a.GetSpent()
		if d := g.holders[a.GetHolder()].reportFor(b.Name); d != nil {
			rate += d.GetRate()
			spent = max(spent, d.GetSpent()) + d.GetReserved() - min(d.GetAdvance(), d.GetReserved())
			if bound := max(a.GetReturned(), d.GetReturned()) + spent; a.GetAllotted() > bound {
				free += a.GetAllotted() - bound
			}
		} else if s.Routing.Holders[a.GetHolder()] == nil {
			spent = a.GetAllotted() - min(a.GetAllotted(), a.GetReturned())
		}
		used += spent
	}
	return free, rate, b.Granted - min(b.Granted, used)
}

func (h *holderState) reportFor(organisation string) *betweenv1.LeaseReport {
	if h == nil {
		return nil
	}
	return h.reports[organisation]
}
