// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/spread"
)

// rejectionLogInterval is the minimum time between two log lines about calls that one target
// rejected.
const rejectionLogInterval = time.Second

// isWantOfRoom reports whether a target that did not run a call rejected it for want of room.
func isWantOfRoom(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// mostTokens returns the most tokens that the call may hold in the memory of its target.
func (fl *inflightCall) mostTokens() int {
	return int(fl.call.InputTokens + fl.call.MaxOutputTokens)
}

// recordRoom records what an attempt shows about the room at its target. The caller holds f.mu.
func (fl *inflightCall) recordRoom(t *spread.Target, a attempt, now time.Duration) {
	targets := fl.f.targets
	switch {
	case fl.sentAt == 0 || a.verdict == rejected || a.verdict == replaced:
	case a.done && a.verdict == healthy:
		targets.RecordAcceptance(t)
		targets.RecordHoldTime(t, now-fl.sentAt)
	case a.failure != nil:
		targets.RecordAcceptance(t)
	default:
		targets.RecordAbandoned(t, now)
	}
}

// recordRejection records that a target rejected a call without running it.
func (f *Forwarder) recordRejection(t *spread.Target, call *Call, status int) {
	if !isWantOfRoom(status) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	f.targets.RecordRejection(t, now)
	f.opts.Counter.Limit(limitRejected)
	t.Rejected++
	if t.RejectionLogged > 0 && now-t.RejectionLogged < rejectionLogInterval {
		return
	}
	t.RejectionLogged = now
	f.opts.Logger.Info("target rejected a call", "target", t.ID, "born", t.Born, "service", t.Service, "status", status, "request", call.ID,
		"rejected", t.Rejected, "sent", t.CallsSent, "running", t.RunningCalls, "limited", f.targets.HasRejectionLimit(t, now), "boxes", f.fleet.Boxes())
}

// readRejectionLimit reads the rejection limit of a target from the header of an answer. One that
// can't be read counts as zero: the target says that it fails under rejections.
func (x *exchange) readRejectionLimit() {
	d := x.f.opts.Dialect
	if d.ReadRejectionLimit == nil || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	named := x.head.PeekAll(d.RejectionLimit)
	if len(named) == 0 {
		// Only the answer to a call shows that the target has no limit.
		if x.isSigned() && !x.call.Internal {
			x.recordRejectionLimit(rate.Unlimited, "", nil)
		}
		return
	}
	text := string(named[0])
	perSecond, err := d.ReadRejectionLimit(text)
	if len(named) > 1 {
		perSecond, err = 0, errors.New("the header field is repeated")
	}
	x.recordRejectionLimit(perSecond, text, err)
}

// recordRejectionLimit records a rejection limit that a target named, rate.Unlimited for none. err
// says why it can't be read.
func (x *exchange) recordRejectionLimit(perSecond float64, text string, err error) {
	f, t := x.f, x.conn.target
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	if f.targets.RecordRejectionLimit(t, rate.Statement{Limit: perSecond, Sent: x.sent, Received: now}) {
		f.reportLimitsSoon(now)
	}
	if perSecond == rate.Unlimited || t.RejectionLimitLogged > 0 && now-t.RejectionLimitLogged < rejectionLogInterval {
		return
	}
	t.RejectionLimitLogged = now
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	f.opts.Logger.Info("rejection limit of a target heard", "target", t.ID, "born", t.Born, "service", t.Service, "limit", perSecond, "text", truncate(text, maxLoggedLimit), "reason", reason,
		"request", x.call.ID, "rejected", t.Rejected, "boxes", f.fleet.Boxes())
}

// tellRejectionLimits returns the rejection limits of which control is to be told. The caller holds
// f.mu.
func (f *Forwarder) tellRejectionLimits(now time.Duration) (list []*betweenv1.RejectionLimit) {
	for _, l := range f.targets.RejectionLimitsToTell(now) {
		list = append(list, &betweenv1.RejectionLimit{Service: l.Service, PerSecond: l.PerSecond, Age: l.Age.Milliseconds()})
	}
	return list
}

// learnRejectionLimits records the rejection limits that other boxes heard. The caller holds f.mu.
func (f *Forwarder) learnRejectionLimits(resp *betweenv1.LeaseResponse) {
	now := f.opts.Clock.Boot()
	for _, m := range resp.GetRejectionLimits() {
		l := spread.RejectionLimit{Service: m.GetService(), PerSecond: m.GetPerSecond(), Age: time.Duration(m.GetAge()) * time.Millisecond}
		if f.targets.RecordPeerRejectionLimit(l, now) {
			f.opts.Logger.Info("rejection limit of a service learned from control", "service", l.Service, "limit", l.PerSecond, "heard_ms_ago", m.GetAge(), "boxes", f.fleet.Boxes())
		}
	}
}
