// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
)

// rejectionLogInterval is the minimum time between two log lines about calls that one target
// rejected.
const rejectionLogInterval = time.Second

// isWantOfRoom reports whether a target that did not run a call rejected it for want of room.
func isWantOfRoom(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// recordRejection records that a target rejected a call without running it.
func (f *Forwarder) recordRejection(t *spread.Target, call *Call, status int) {
	if !isWantOfRoom(status) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	t.Rejected++
	if t.RejectionLogged > 0 && now-t.RejectionLogged < rejectionLogInterval {
		return
	}
	t.RejectionLogged = now
	f.opts.Logger.Info("target rejected a call", "target", t.ID, "born", t.Born, "service", t.Service, "status", status, "request", call.ID,
		"rejected", t.Rejected, "sent", t.CallsSent, "running", t.RunningCalls, "boxes", f.fleet.Boxes())
}

// readRejectionLimit reads the rejection limit of a target from the header of an answer.
func (x *exchange) readRejectionLimit() {
	d := x.f.opts.Dialect
	if d.ReadRejectionLimit == nil || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	named := x.head.PeekAll(d.RejectionLimit)
	if len(named) == 0 {
		return
	}
	text := string(named[0])
	perSecond, err := d.ReadRejectionLimit(text)
	if len(named) > 1 {
		err = errors.New("the header field is repeated")
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	t, now := x.conn.target, x.f.opts.Clock.Boot()
	if t.RejectionLimitLogged > 0 && now-t.RejectionLimitLogged < rejectionLogInterval {
		return
	}
	t.RejectionLimitLogged = now
	if err != nil {
		x.f.opts.Logger.Warn("rejection limit of a target can't be read", "target", t.ID, "request", x.call.ID, "limit", truncate(text, maxLoggedLimit), "reason", err.Error())
		return
	}
	x.f.opts.Logger.Info("rejection limit of a target heard", "target", t.ID, "born", t.Born, "service", t.Service, "limit", perSecond, "request", x.call.ID, "rejected", t.Rejected, "boxes", x.f.fleet.Boxes())
}
