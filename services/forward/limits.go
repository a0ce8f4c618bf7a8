// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"math/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/structs"
)

// Targets may announce in their answers a rate limit, in requests per second over all boxes.
// Each box keeps to its share of the limit in send, through which every request to a target
// goes, whatever its purpose; target selection skips targets whose share is used up. Control
// distributes the limits to the other boxes, so that a box need not learn each one from the
// target itself.

const (
	// limitReportInterval is the minimum time between two reports to control that are sent
	// ahead of schedule because a target announced a new limit.
	limitReportInterval = 200 * time.Millisecond
	// fleetLimitsPerRound is how many limits all boxes together report to control per reporting
	// round; each box reports at least one.
	fleetLimitsPerRound = 256
	// maxLoggedLimit limits the text of a limit in a log line, in bytes.
	maxLoggedLimit = 40
	// maxLimitWait limits how long a call waits for the next window of rate-limited targets:
	// the shortest window and a margin. maxSeatWait limits how long it waits for a seat at a
	// target with a rejection limit. limitWaitShare limits both to a share of the call's
	// remaining time.
	maxLimitWait   = 600 * time.Millisecond
	maxSeatWait    = time.Second
	limitWaitShare = 0.25
)

// Events of rate limits in metrics.
const (
	limitNamed      = "named"
	limitEnded      = "ended"
	limitUnreadable = "unreadable"
	limitSent       = "sent"
	limitContinued  = "continued"
	limitWithheld   = "withheld"
	limitWaited     = "waited"
	limitRefused    = "refused"
	limitEvacuated  = "evacuated"
	limitNoSeat     = "no seat"
	limitRejected   = "rejected"
)

// errLimited means that a request was not sent because this box's share of the target's rate
// limit, or of its slots, is used up.
var errLimited = errors.New("this box's share of what the target accepts is used up")

// countRequest counts a request to a target against its rate limit, and a call against its slots
// while it has a rejection limit. It returns errLimited if this box's share of either is used up,
// and errEvacuated if the target's data centre is evacuated.
func (f *Forwarder) countRequest(t *spread.Target, call *Call, now time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets.IsEvacuated(t) && !call.Resumes {
		f.opts.Counter.Limit(limitEvacuated)
		return errors.WithStack(errEvacuated)
	}
	limited := f.targets.HasLimit(t, now)
	if !call.Internal && !call.Resumes && !call.HasSeat && !f.targets.AcquireSeat(t, now) {
		f.opts.Counter.Limit(limitNoSeat)
		return errors.WithStack(errLimited)
	}
	if !f.targets.AcquireSend(t, call.Resumes, now) {
		f.opts.Counter.Limit(limitWithheld)
		return errors.WithStack(errLimited)
	}
	switch {
	case limited && call.Resumes:
		f.opts.Counter.Limit(limitContinued)
	case limited:
		f.opts.Counter.Limit(limitSent)
	}
	if call.Internal {
		t.InternalSent++
	} else {
		t.CallsSent++
	}
	return nil
}

// isLimited reports whether a target has a rate limit or a rejection limit at present.
func (f *Forwarder) isLimited(t *spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	return f.targets.HasLimit(t, now) || f.targets.HasRejectionLimit(t, now)
}

// readLimit reads the rate limit from the header of an answer.
func (x *exchange) readLimit() {
	d := x.f.opts.Dialect
	status := x.head.StatusCode()
	signed := x.isSigned()
	if d.ReadLimit == nil || status == http.StatusMisdirectedRequest {
		return
	}
	named := x.head.PeekAll(d.Limit)
	if len(named) == 0 {
		// Only the answer to a call shows that the target has no limit.
		if signed && !x.call.Internal {
			x.recordLimit(rate.Unlimited, "")
		}
		return
	}
	if !signed && !x.call.Internal && len(x.head.Peek(d.NotRun)) == 0 {
		return
	}
	text := string(named[0])
	perSecond, err := d.ReadLimit(text)
	if len(named) > 1 {
		err = errors.New("the header field is repeated")
	}
	if err != nil {
		x.f.opts.Counter.Limit(limitUnreadable)
		x.f.opts.Logger.Warn("limit of a target can't be read, nothing changed", "target", x.conn.target.ID, "request", x.call.ID, "limit", truncate(text, maxLoggedLimit), "reason", err.Error())
		return
	}
	x.recordLimit(perSecond, text)
}

// recordLimit records a limit that a target announced; rate.Unlimited if it announced none.
func (x *exchange) recordLimit(perSecond float64, text string) {
	f, t := x.f, x.conn.target
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	before := limitText(f.targets.CurrentLimit(t, now))
	if !f.targets.RecordStatement(t, rate.Statement{Limit: perSecond, Sent: x.sent, Received: now}) {
		return
	}
	event := limitNamed
	if perSecond == rate.Unlimited {
		event = limitEnded
	}
	f.opts.Counter.Limit(event)
	f.opts.Logger.Info("limit of a target heard", "target", t.ID, "born", t.Born, "service", t.Service, "event", event, "limit", truncate(text, maxLoggedLimit),
		"before", before, "request", x.call.ID, "sent_ms_ago", (now - x.sent).Milliseconds(), "calls_sent", t.CallsSent, "own_sent", t.InternalSent, "boxes", f.fleet.Boxes())
	f.reportLimitsSoon(now)
}

// limitText formats a limit for the log, empty for none.
func limitText(perSecond float64) string {
	if perSecond == rate.Unlimited {
		return ""
	}
	return strconv.FormatFloat(perSecond, 'g', 4, 64)
}

// reportLimitsSoon makes this box report to control ahead of schedule. The caller holds f.mu.
func (f *Forwarder) reportLimitsSoon(now time.Duration) {
	if f.opts.ReportNow == nil || !f.targets.HasAnnouncements() && !f.targets.HasRejectionLimitsToTell(now) || now-f.limitsReported < limitReportInterval {
		return
	}
	f.limitsReported = now
	f.opts.ReportNow()
}

func truncate(text string, most int) string { return text[:min(len(text), most)] }

// HasLimits implements the Placement interface of the leases.
func (f *Forwarder) HasLimits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.HasAnnouncements() || f.targets.HasRejectionLimitsToTell(f.opts.Clock.Boot())
}

// TellLimits implements the Placement interface of the leases.
func (f *Forwarder) TellLimits(r *betweenv1.LeaseRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.LimitsList, r.LimitsRevision = f.limitsList, f.limitsRevision
	f.limitsInReport = f.targets.TakeAnnouncements(max(1, fleetLimitsPerRound/max(1, f.fleet.Boxes())))
	now := f.opts.Clock.Boot()
	f.tellSpeeds(r, now)
	r.RejectionLimits = f.tellRejectionLimits(now)
	for _, t := range f.limitsInReport {
		r.Limits = append(r.Limits, t.Statement().Message(t.ID, t.Born, t.Service, now))
	}
}

// TakeLimits implements the Placement interface of the leases. A nil resp means that the report
// failed: its limits are reported again.
func (f *Forwarder) TakeLimits(_ *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse, boxes *lease.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp == nil {
		f.targets.RequeueAnnouncements(f.limitsInReport)
		f.limitsInReport = nil
		return
	}
	f.limitsInReport = nil
	f.takeSpeeds(resp, f.opts.Clock.Boot())
	f.controlHeard = true
	f.learnRejectionLimits(resp)
	f.markReady(f.opts.Store.Index())
	if resp.GetLimitsList() == "" {
		// Control boxes of an earlier version have no list and send no clock.
		return
	}
	now := f.opts.Clock.Boot()
	f.setFleet(resp, boxes, now)
	if resp.GetLimitsList() != f.limitsList {
		if f.limitsList != "" {
			f.targets.AnnounceAll()
		}
		f.limitsList, f.limitsRevision = resp.GetLimitsList(), 0
	}
	f.limitsRevision = max(f.limitsRevision, resp.GetLimitsRevision())
	for _, m := range resp.GetLimits() {
		f.learnLimit(m, now)
	}
}

// setFleet updates the boxes of the fleet and its clock. The caller holds f.mu.
func (f *Forwarder) setFleet(resp *betweenv1.LeaseResponse, boxes *lease.Directory, now time.Duration) {
	if boxes != nil && boxes.Version != f.fleetVersion {
		f.fleetVersion = boxes.Version
		f.fleet = rate.NewFleet(f.opts.Box, boxes.Names(), f.fleet.Offset())
	}
	offset := time.Duration(resp.GetFleetTime())*time.Millisecond - now
	f.fleet = f.fleet.Slew(offset, now-f.fleetSet)
	f.fleetSet = now
	f.targets.SetFleet(f.fleet)
}

// learnLimit records a limit that another box received. The caller holds f.mu.
func (f *Forwarder) learnLimit(m *betweenv1.TargetLimit, now time.Duration) {
	s, ok := rate.FromMessage(m, now)
	if !ok {
		return
	}
	t, changed := f.targets.RecordPeerStatement(m.GetTarget(), m.GetBorn(), m.GetService(), s)
	if changed {
		f.opts.Logger.Info("limit of a target learned from control", "target", t.ID, "born", t.Born, "service", t.Service, "none", m.GetNone(), "limit", m.GetPerSecond(),
			"heard_ms_ago", m.GetReceivedAgo(), "calls_sent", t.CallsSent, "own_sent", t.InternalSent, "boxes", f.fleet.Boxes())
	}
}

// refuseIfLimited checks, before anything else is done for a call, whether all its targets are
// known to be at their rate limit. If so, it waits for the next window or refuses the call.
func (fl *inflightCall) refuseIfLimited(ctx context.Context) *Refusal {
	f := fl.f
	criteria := fl.criteria()
	f.mu.Lock()
	w, allLimited := f.targets.IsExhausted(criteria, fl.now)
	f.mu.Unlock()
	if !allLimited || fl.waitLimited(ctx, w) {
		return nil
	}
	return overloadedRefusal(fl.service.GetName(), w)
}

// waitLimited waits for the next window of rate-limited targets if that has room for the call.
// It returns false when the call is to be refused.
func (fl *inflightCall) waitLimited(ctx context.Context, w spread.Backoff) bool {
	if w.Wait <= 0 {
		fl.f.opts.Counter.Limit(limitRefused)
		return false
	}
	fl.f.opts.Counter.Limit(limitWaited)
	fl.ticket = w.Ticket
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	began := fl.tick()
	select {
	case <-ctx.Done():
	case <-timer.C:
		fl.limitWait += w.Wait
		fl.tick()
	case <-fl.seatFreed():
		fl.limitWait += fl.tick() - began
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	if w.Ticket == 0 {
		fl.f.targets.EndWait(fl.service.GetName())
	}
	return ctx.Err() == nil
}

// limitWaitLeft returns how long the call may still wait for a target, of at most the given time.
func (fl *inflightCall) limitWaitLeft(most time.Duration) time.Duration {
	share := time.Duration(limitWaitShare * float64(fl.remaining()))
	return min(most, share) - fl.limitWait
}

// leaveQueue ends the call's wait for a seat.
func (fl *inflightCall) leaveQueue() {
	if fl.ticket == 0 {
		return
	}
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.f.targets.LeaveQueue(fl.service.GetName(), fl.ticket)
	delete(fl.f.seatWaiters, seatWaiter{fl.service.GetName(), fl.ticket})
	fl.ticket = 0
}

// seatWaiter is a call that waits for a seat of a service.
type seatWaiter struct {
	service string
	ticket  int64
}

// seatFreed returns a channel that wakes the call when a seat may be free; nil if it does not wait for
// one.
func (fl *inflightCall) seatFreed() <-chan struct{} {
	if fl.ticket == 0 {
		return nil
	}
	f, key := fl.f, seatWaiter{fl.service.GetName(), fl.ticket}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seatWaiters[key] == nil {
		f.seatWaiters[key] = make(chan struct{}, 1)
	}
	return f.seatWaiters[key]
}

// wakeSeatWaiters wakes the calls that have waited longest for a seat of a service. The caller holds
// f.mu.
func (f *Forwarder) wakeSeatWaiters(service string) {
	for _, ticket := range f.targets.FirstWaiting(service) {
		select {
		case f.seatWaiters[seatWaiter{service, ticket}] <- struct{}{}:
		default:
		}
	}
}

// overloadedRefusal is the answer to a call whose targets accept no more requests from this box
// now.
func overloadedRefusal(service string, w spread.Backoff) *Refusal {
	return &Refusal{Kind: structs.KindOverloaded, Run: structs.RunNo, RetryAfter: w.RetryAfter + time.Duration(rand.Int63n(int64(max(1, w.RetrySpread)))),
		Message: "the targets of service " + service + " take fewer requests a second than come: ask again after the stated time"}
}
