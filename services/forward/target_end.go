// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/services/relay"
	"havenwinch.dev/havenwinch/structs"
)

// A target that drops calls in progress may have crashed, or only its connections may have
// failed. It counts as ended when its machine refuses new connections, or when a new instance
// registers in its place within some seconds.

const (
	// replacedWithin is how long after a dropped call the registration of a new instance in the
	// target's place counts as its end: restarts took 2 to 5 s.
	replacedWithin = 10 * time.Second
	// aliveReplacedWithin is used instead once a connection succeeded: either the target is
	// still running, or a new instance is already listening and registers within a heartbeat of
	// 1.2 s.
	aliveReplacedWithin = 2 * time.Second
	// maxBrokenCalls limits the dropped calls remembered for one target.
	maxBrokenCalls = 128
	// confirmInterval is the time between two dials to a target whose end is not decided.
	confirmInterval = 300 * time.Millisecond
	// maxConfirmations limits the targets that are dialled again at a time.
	maxConfirmations = 8
	// maxLoggedContents limits the content digests in one log line.
	maxLoggedContents = 8
)

// Evidence that a target has ended, as logged.
const (
	endRefused  = "refused"
	endReplaced = "replaced"
)

// brokenCall is a call that a target dropped.
type brokenCall struct {
	request       string
	contentDigest quarantine.Digest
	// parts are the digests of the shared parts of its prompt.
	parts []quarantine.Digest
	// early is set when no byte of the answer's body had arrived.
	early bool
	// until is when the end of the target stops counting against the call.
	until time.Duration
}

// targetBreaks records the calls that one target dropped.
type targetBreaks struct {
	ended bool
	// probing is set while a trial connection to the target is open.
	probing bool
	// undecidedAt is when the last trial connection decided nothing, zero if none did.
	undecidedAt time.Duration
	calls       []brokenCall
}

// quarantinedRefusal is the answer to a call that is not sent because targets crashed while
// they ran it.
func quarantinedRefusal(left time.Duration) *Refusal {
	return &Refusal{Kind: structs.KindQuarantined, Run: structs.RunNo, RetryAfter: left,
		Message: "targets ended each time they began to run this call, or others that share a part of its prompt, so it is held back for the stated time: send another one in its place, or ask an operator to look at its content"}
}

// recordServed tells the quarantine that the call succeeded.
func (fl *inflightCall) recordServed(a attempt) {
	if a.verdict == healthy && a.err == nil {
		fl.f.opts.Quarantine.RecordSuccess(fl.contentDigest())
		fl.recordPartsServed()
	}
}

// recordPartsServed tells the quarantine that a target has begun to answer the call.
func (fl *inflightCall) recordPartsServed() {
	if !fl.partsServed {
		fl.partsServed = true
		fl.f.opts.Quarantine.RecordPartSuccess(fl.partDigests())
	}
}

// recordBreak records that a target dropped the call. A target that has announced that it is
// leaving ends for reasons of its own, so that does not count against any call.
func (fl *inflightCall) recordBreak(t *spread.Target, early bool) {
	fl.brokenOff = true
	f := fl.f
	call := brokenCall{request: fl.call.ID, contentDigest: fl.contentDigest(), parts: fl.partDigests(), early: early, until: f.opts.Clock.Boot() + replacedWithin}
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.targets.EndOf(t)
	if end == spread.EndAnnounced {
		return
	}
	e := f.breaks[t]
	if e == nil {
		e = &targetBreaks{}
		f.breaks[t] = e
	}
	if len(e.calls) < maxBrokenCalls {
		e.calls = append(e.calls, call)
	}
	switch {
	case e.ended:
		f.reportEnd(t, e, endRefused)
	case end == spread.EndReplaced:
		f.reportEnd(t, e, endReplaced)
	case !e.probing:
		e.probing = true
		go f.confirmEnd(t, e)
	}
}

// confirmEnd dials a target that dropped a call, to see whether it has ended.
func (f *Forwarder) confirmEnd(t *spread.Target, e *targetBreaks) {
	alive, refused := f.findEnd(context.Background(), t)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	e.probing, e.undecidedAt = false, 0
	switch {
	case alive:
		e.recordAlive(now)
	case refused:
		f.reportEnd(t, e, endRefused)
	default:
		e.undecidedAt = now
	}
}

// confirmEnds dials targets again whose end was not decided, if this box reaches their service
// now. Several targets that end at once look like the loss of this box's own links until another
// target is reached.
func (f *Forwarder) confirmEnds(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := 0
	for t, e := range f.breaks {
		if started == maxConfirmations {
			return
		}
		if !e.isUndecided(now) || f.reach.IsLost(t.Service) || f.targets.EndOf(t) != spread.EndUnknown {
			continue
		}
		started++
		e.probing = true
		go f.confirmEnd(t, e)
	}
}

// isUndecided reports whether it is time to dial the target again, as the end of the target would
// still count against a call.
func (e *targetBreaks) isUndecided(now time.Duration) bool {
	return !e.ended && !e.probing && len(e.calls) > 0 && e.undecidedAt != 0 && now-e.undecidedAt >= confirmInterval
}

// findEnd dials a target. As refused connections may be due to this box's own links, another box
// has to find them refused as well; where none can be asked, this box has to reach another target
// of the service.
func (f *Forwarder) findEnd(ctx context.Context, t *spread.Target) (alive, refused bool) {
	err := f.dialAndKeep(ctx, t)
	if err == nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return err == nil, false
	}
	if isCarriedDialError(err) {
		return false, true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := f.dialRelay(ctx, t)
	switch {
	case err == nil:
		_ = c.Close()
		return true, false
	case !relay.IsErrNoPath(err):
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	return false, f.reachesOthers(ctx, t)
}

// recordAlive records that the target accepted a connection.
func (e *targetBreaks) recordAlive(now time.Duration) {
	for i := range e.calls {
		e.calls[i].until = min(e.calls[i].until, now+aliveReplacedWithin)
	}
}

// reportReplaced reports the targets that dropped calls and have been replaced since. The
// caller holds f.mu.
func (f *Forwarder) reportReplaced() {
	for t, e := range f.breaks {
		if !e.ended && f.targets.EndOf(t) == spread.EndReplaced {
			f.reportEnd(t, e, endReplaced)
		}
	}
}

// reportEnd reports the end of a target to the quarantine, for each call it dropped. The caller
// holds f.mu.
func (f *Forwarder) reportEnd(t *spread.Target, e *targetBreaks, evidence string) {
	e.ended = true
	now := f.opts.Clock.Boot()
	var early []string
	for _, c := range e.calls {
		if c.until <= now {
			continue
		}
		f.opts.Quarantine.RecordEnd(c.contentDigest, t.StartIdentity(), quarantine.Weight(c.early))
		if c.early {
			f.opts.Quarantine.RecordPartEnds(c.parts, t.StartIdentity())
		}
		if c.early && len(early) < maxLoggedContents {
			early = append(early, c.request+" "+c.contentDigest.String())
		}
	}
	f.opts.Logger.Warn("target ended under calls", "target", t.ID, "born", t.Born, "address", t.Address, "evidence", evidence,
		"calls", len(e.calls), "before_answer", early, "others_running", t.RunningCalls)
	// The entry itself is kept for as long as further calls may still notice the end.
	e.calls = nil
}

// pruneBreaks removes expired calls, and targets without any left.
func (f *Forwarder) pruneBreaks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	for t, e := range f.breaks {
		kept := e.calls[:0]
		for _, c := range e.calls {
			if c.until > now {
				kept = append(kept, c)
			}
		}
		e.calls = kept
		if len(kept) == 0 && !e.probing && (!e.ended || t.RunningCalls == 0) {
			delete(f.breaks, t)
		}
	}
}

// Kinds of failed dials in logs and counters.
const (
	dialRefused = "refused"
	dialSilent  = "silent"
	dialStarved = "for a shortage"
)

// dialFailure classifies the error of a failed dial for logs and counters.
func dialFailure(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return dialRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return dialSilent
	default:
		return "failed"
	}
}
