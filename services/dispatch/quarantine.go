// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"time"

	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/structs"
)

// reachTimeout bounds the test connection to a target that failed a request.
const reachTimeout = 300 * time.Millisecond

// Quarantine tracks requests that make targets crash and are therefore refused.
type Quarantine interface {
	// HoldLeft reports whether a request is quarantined, and for how much longer.
	HoldLeft(c quarantine.Digest) (left time.Duration, held bool)
	// RecordEnd records that a target process ended while it had a request.
	RecordEnd(c quarantine.Digest, target string, weight uint32)
	// RecordSuccess records that a request was answered.
	RecordSuccess(c quarantine.Digest)
}

// quarantineContent returns the digest of the organisation, the model and the body. It
// identifies a request that its caller sends again under another key.
func quarantineContent(r *Request) quarantine.Digest {
	return quarantine.DigestOf(r.Organisation, r.Model, "", []byte(r.Digest))
}

// checkQuarantine returns a refusal if a request is quarantined, nil otherwise.
func (d *Dispatcher) checkQuarantine(r *Request) *Refusal {
	left, held := d.opts.Quarantine.HoldLeft(quarantineContent(r))
	if !held {
		return nil
	}
	return &Refusal{Kind: structs.KindQuarantined, Run: structs.RunNo, RetryAfter: left,
		Message: "targets ended each time they began to run this request, so it is held back for the stated time: send another one in its place, or ask an operator to look at its content"}
}

// reportIfEnded checks in the background whether the process of a target that failed a
// request has ended, and reports that to the quarantine. Its machine refuses connections
// in that case. A target that is leaving is not checked, since it is expected to end.
func (d *Dispatcher) reportIfEnded(r *Request, s *slot, early bool) {
	d.mu.Lock()
	leaving := s.target.StateAt(d.opts.Clock.Boot()) == target.Leaving
	epoch, _ := s.target.Cache.LastApplied()
	name := s.target.Name + "@" + epoch
	d.mu.Unlock()
	if leaving {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
		defer cancel()
		if !engine.IsErrRefused(d.opts.Engines.Reach(ctx, s.address)) {
			return
		}
		c := quarantineContent(r)
		d.opts.Logger.Warn("target ended under a request", "target", name, "address", s.address, "request", r.ID, "content", c.String(), "before_answer", early)
		d.opts.Recorder.Record("target ended", r.ID, name)
		d.opts.Quarantine.RecordEnd(c, name, quarantine.Weight(early))
	}()
}
