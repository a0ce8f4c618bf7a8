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

// A target may name in its answers how many requests a second it takes from all boxes
// together. Each box keeps to its part of that in the one place through which requests
// leave for targets (send), whatever they are for; the choice of a target passes over
// those where the part is used up. Control passes on what was heard, so that a box
// need not ask each target itself.

const (
	// limitHurry is the least time between two reports to control that don't wait for
	// their turn, since a target named another limit.
	limitHurry = 200 * time.Millisecond
	// fleetLimits is how many limits all boxes together tell control in one round of
	// their reports, each box at least one.
	fleetLimits = 256
	// longestLimit bounds the text of a limit in a line of the log, in bytes.
	longestLimit = 40
	// limitPatience is the longest that a call waits for the next window of limited
	// targets, as long as the shortest window and a margin, and limitPatienceShare the
	// part of its remaining time.
	limitPatience      = 600 * time.Millisecond
	limitPatienceShare = 0.25
)

// Events of limits, for counters.
const (
	limitNamed      = "named"
	limitEnded      = "ended"
	limitUnreadable = "unreadable"
	limitSent       = "sent"
	limitContinued  = "continued"
	limitWithheld   = "withheld"
	limitWaited     = "waited"
	limitRefused    = "refused"
)

// errLimited says that a request was not sent: this box's part of what the target
// takes is used up.
var errLimited = errors.New("the target takes no more requests of this box now")

// take counts a request that leaves for a target, unless that has a limit and this
// box's part of it is used up.
func (f *Forwarder) take(t *spread.Target, call *Call, now time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	limited := f.targets.Limited(t, now)
	if !f.targets.Take(t, call.Continues, now) {
		f.opts.Counter.Limit(limitWithheld)
		return errors.WithStack(errLimited)
	}
	switch {
	case limited && call.Continues:
		f.opts.Counter.Limit(limitContinued)
	case limited:
		f.opts.Counter.Limit(limitSent)
	}
	if call.System {
		t.OwnSent++
	} else {
		t.CallsSent++
	}
	return nil
}

// limited tells whether a target has a limit at present.
func (f *Forwarder) limited(t *spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.Limited(t, f.opts.Clock.Boot())
}

// heard takes in what the answer says of the requests that its target takes.
func (x *exchange) heard() {
	d := x.f.opts.Dialect
	status := x.head.StatusCode()
	signed := x.signed()
	if d.ReadLimit == nil || status == http.StatusMisdirectedRequest {
		return
	}
	named := x.head.PeekAll(d.Limit)
	if len(named) == 0 {
		// Only the answer to a call shows that the target names no limit.
		if signed && !x.call.System {
			x.say(rate.None, "")
		}
		return
	}
	if !signed && !x.call.System && len(x.head.Peek(d.NotRun)) == 0 {
		return
	}
	text := string(named[0])
	perSecond, err := d.ReadLimit(text)
	if len(named) > 1 {
		err = errors.New("is named twice")
	}
	if err != nil {
		x.f.opts.Counter.Limit(limitUnreadable)
		x.f.opts.Logger.Warn("limit of a target can't be read, nothing changed", "target", x.conn.target.ID, "request", x.call.ID, "limit", clip(text, longestLimit), "reason", err.Error())
		return
	}
	x.say(perSecond, text)
}

// say takes in a limit that was heard, or that none was named.
func (x *exchange) say(perSecond float64, text string) {
	f, t := x.f, x.conn.target
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	before := limitText(f.targets.LimitOf(t, now))
	if !f.targets.Heard(t, rate.Statement{Limit: perSecond, Sent: x.sent, Received: now}) {
		return
	}
	event := limitNamed
	if perSecond == rate.None {
		event = limitEnded
	}
	f.opts.Counter.Limit(event)
	f.opts.Logger.Info("limit of a target heard", "target", t.ID, "born", t.Born, "service", t.Service, "event", event, "limit", clip(text, longestLimit),
		"before", before, "request", x.call.ID, "sent_ms_ago", (now - x.sent).Milliseconds(), "calls_sent", t.CallsSent, "own_sent", t.OwnSent, "boxes", f.fleet.Boxes())
	f.hurryLimits(now)
}

// limitText writes a limit for the log, empty for none.
func limitText(perSecond float64) string {
	if perSecond == rate.None {
		return ""
	}
	return strconv.FormatFloat(perSecond, 'g', 4, 64)
}

// hurryLimits makes this box tell control soon; the caller holds the lock.
func (f *Forwarder) hurryLimits(now time.Duration) {
	if f.opts.Hurry == nil || !f.targets.Untold() || now-f.hurried < limitHurry {
		return
	}
	f.hurried = now
	f.opts.Hurry()
}

// clip bounds a text in bytes.
func clip(text string, most int) string { return text[:min(len(text), most)] }

// HasLimits implements the leases' Placement.
func (f *Forwarder) HasLimits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.Untold()
}

// TellLimits implements the leases' Placement.
func (f *Forwarder) TellLimits(r *betweenv1.LeaseRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.LimitsList, r.LimitsRevision = f.limitsList, f.limitsRevision
	f.telling = f.targets.TellLimits(max(1, fleetLimits/max(1, f.fleet.Boxes())))
	now := f.opts.Clock.Boot()
	for _, t := range f.telling {
		r.Limits = append(r.Limits, t.Said().Message(t.ID, t.Born, t.Service, now))
	}
}

// TakeLimits implements the leases' Placement.
func (f *Forwarder) TakeLimits(_ *betweenv1.LeaseRequest, resp *betweenv1.LeaseResponse, boxes *lease.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp == nil {
		f.targets.TellAgain(f.telling)
		f.telling = nil
		return
	}
	f.telling = nil
	if resp.GetLimitsList() == "" {
		// A control box of an earlier version keeps no list and tells no time.
		return
	}
	now := f.opts.Clock.Boot()
	f.setFleet(resp, boxes, now)
	if resp.GetLimitsList() != f.limitsList {
		if f.limitsList != "" {
			f.targets.TellAll()
		}
		f.limitsList, f.limitsRevision = resp.GetLimitsList(), 0
	}
	f.limitsRevision = max(f.limitsRevision, resp.GetLimitsRevision())
	for _, m := range resp.GetLimits() {
		f.learn(m, now)
	}
}

// setFleet takes in who sends, and the fleet's time; the caller holds the lock.
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

// learn takes in a limit that another box heard; the caller holds the lock.
func (f *Forwarder) learn(m *betweenv1.TargetLimit, now time.Duration) {
	s, ok := rate.OfMessage(m, now)
	if !ok {
		return
	}
	t, changed := f.targets.Learned(m.GetTarget(), m.GetBorn(), m.GetService(), s)
	if changed {
		f.opts.Logger.Info("limit of a target learned from control", "target", t.ID, "born", t.Born, "service", t.Service, "none", m.GetNone(), "limit", m.GetPerSecond(),
			"heard_ms_ago", m.GetReceivedAgo(), "calls_sent", t.CallsSent, "own_sent", t.OwnSent, "boxes", f.fleet.Boxes())
	}
}

// shut waits or refuses before anything else is done for a call of which it is known
// that no target takes it now.
func (fl *flight) shut(ctx context.Context) *Refusal {
	f := fl.f
	need := fl.need()
	f.mu.Lock()
	w, shut := f.targets.Shut(need, fl.now)
	f.mu.Unlock()
	if !shut || fl.waitLimited(ctx, w) {
		return nil
	}
	return overLimits(fl.service.GetName(), w)
}

// waitLimited waits for the next window of limited targets where that has room for
// the call. It returns false when the call is to be refused.
func (fl *flight) waitLimited(ctx context.Context, w spread.Want) bool {
	if w.Wait <= 0 {
		fl.f.opts.Counter.Limit(limitRefused)
		return false
	}
	fl.f.opts.Counter.Limit(limitWaited)
	fl.waited += w.Wait
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	fl.tick()
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.f.targets.Waited(fl.service.GetName())
	return ctx.Err() == nil
}

// patience is how long the call may wait for the next window.
func (fl *flight) patience() time.Duration {
	share := time.Duration(limitPatienceShare * float64(fl.left()))
	return min(limitPatience, share) - fl.waited
}

// overLimits is the answer to a call whose service's targets take no more requests of
// this box now.
func overLimits(service string, w spread.Want) *Refusal {
	return &Refusal{Kind: structs.KindOverloaded, Run: structs.RunNo, RetryAfter: w.Earliest + time.Duration(rand.Int63n(int64(max(1, w.Spread)))),
		Message: "the targets of service " + service + " take fewer requests a second than come: ask again after the stated time"}
}
