// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"havenwinch.dev/havenwinch/models/spread"
)

// longestLimit bounds the text of a limit in a line of the log, in bytes.
const longestLimit = 40

// sentTo counts a request that leaves for a target: a caller's call, or a question
// or order of this system's own.
func (f *Forwarder) sentTo(t *spread.Target, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own {
		t.OwnSent++
		return
	}
	t.CallsSent++
}

// heard logs what the answer says of the requests that its target takes, when that
// differs from what its last answer here said.
func (x *exchange) heard() {
	f, t := x.f, x.conn.target
	named := x.head.Peek(f.opts.Dialect.Limit)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.limits[t]
	if string(named) == last {
		return
	}
	f.limits[t] = string(named)
	if len(named) == 0 {
		delete(f.limits, t)
	}
	f.opts.Logger.Info("limit of a target heard", "target", t.ID, "born", t.Born, "service", t.Service, "limit", clip(string(named), longestLimit), "before", clip(last, longestLimit), "calls_sent", t.CallsSent, "own_sent", t.OwnSent)
}

// clip bounds a text in bytes.
func clip(text string, most int) string { return text[:min(len(text), most)] }
