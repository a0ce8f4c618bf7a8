// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"math/rand"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/services/relay"
	"havenwinch.dev/havenwinch/structs"
)

// A box that can dial no target of a service has probably lost its own links. It then dials
// them through another entry box, which only carries the bytes; everything else about a call
// stays here.

const (
	// pathCheckInterval is the time between looks at the services that are out of reach.
	pathCheckInterval = 100 * time.Millisecond
	// checkedTargets is how many targets are dialled to find out whether the box reaches any.
	checkedTargets = 3
	// noPathRetryAfter is the Retry-After time while no box reaches a service; the next checks
	// have ended by then.
	noPathRetryAfter = 500 * time.Millisecond
)

// Relays dials targets through other entry boxes.
type Relays interface {
	// Dial opens a connection to a target. The error is a relay.ErrNoPath if no other box reaches
	// the service, else the error that the target gave the other box.
	Dial(ctx context.Context, service, target string) (net.Conn, error)
	// HasPath reports whether another box may reach a service, as far as is known.
	HasPath(service string) bool
}

// isLost reports whether this box has lost its own links to a service.
func (f *Forwarder) isLost(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach.IsLost(service)
}

// LostServices returns the number of services to which this box has lost its own links.
func (f *Forwarder) LostServices() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reach.Lost())
}

// RunningCalls returns how many calls of this box run at the targets of each version.
func (f *Forwarder) RunningCalls() map[spread.ServiceVersion]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.RunningCalls()
}

// dialRelay dials a target through another box.
func (f *Forwarder) dialRelay(ctx context.Context, t *spread.Target) (net.Conn, error) {
	if f.opts.Relays == nil {
		return nil, errors.WithStack(relay.ErrNoPath{Reason: "there are none"})
	}
	return f.opts.Relays.Dial(ctx, t.Service, t.ID)
}

// recordDial records the result of a dial over the box's own links. A congested link says
// nothing about the targets, nor does a shortage of this process.
func (f *Forwarder) recordDial(t *spread.Target, err error) {
	if err == nil {
		f.recordReached(t)
		return
	}
	if f.opts.IsCongested() || dial.IsShortage(err) {
		return
	}
	f.mu.Lock()
	now := f.opts.Clock.Boot()
	f.reach.RecordUnreached(t.Service, t.StartIdentity(), now)
	// A target that was out of reach before says nothing new about this box's links.
	check := !t.IsUnreachable() && f.beginCheck(t.Service, now)
	f.mu.Unlock()
	if check {
		go f.checkService(context.Background(), t.Service, dialFailure(err))
	}
}

// beginCheck reports whether a check of a service is to begin. The caller holds f.mu and calls
// checkService.
func (f *Forwarder) beginCheck(service string, now time.Duration) bool {
	if !f.reach.BeginCheck(service, now) {
		return false
	}
	f.checks[service] = make(chan struct{})
	return true
}

// checkService finds out whether this box reaches any target of a service, after a dial that
// failed in the given way.
func (f *Forwarder) checkService(ctx context.Context, service, reason string) {
	reached, starved := f.dialSome(ctx, service, nil)
	f.mu.Lock()
	lost := f.reach.EndCheck(service, reached+starved, f.targets.CountUsable(service), f.opts.Clock.Boot())
	close(f.checks[service])
	delete(f.checks, service)
	if lost {
		// The targets were banned for the loss of this box's own links.
		f.targets.EndUnreachable(service)
	}
	f.mu.Unlock()
	if !lost {
		return
	}
	f.opts.Logger.Warn("dependency lost", "dependency", "targets", "service", service, "reason", reason)
	if reason == dialSilent {
		// Open connections are silent, too.
		f.pool.dropIdle(service, false)
	}
}

// recordReached records that the box has dialled a target over its own links.
func (f *Forwarder) recordReached(t *spread.Target) {
	f.mu.Lock()
	regained, lostFor := f.reach.RecordReached(t.Service, t.StartIdentity(), f.opts.Clock.Boot())
	delete(f.nextProbe, t.Service)
	f.mu.Unlock()
	if regained {
		f.opts.Logger.Info("dependency regained", "dependency", "targets", "service", t.Service, "target", t.ID, "lost_ms", lostFor.Milliseconds())
		f.pool.dropIdle(t.Service, true)
	}
}

// checkLostPaths checks the services that are out of reach and due for a check.
func (f *Forwarder) checkLostPaths(ctx context.Context) {
	f.mu.Lock()
	var due []string
	for _, service := range f.reach.Lost() {
		if f.beginCheck(service, f.opts.Clock.Boot()) {
			due = append(due, service)
		}
	}
	f.mu.Unlock()
	for _, service := range due {
		go f.checkService(ctx, service, "")
	}
}

// dialSome dials some targets of a service, other than except, over the box's own links; the
// results are recorded as those of all dials. It returns how many were reached, and how many were not
// dialled for a shortage.
func (f *Forwarder) dialSome(ctx context.Context, service string, except *spread.Target) (reached, starved int) {
	f.mu.Lock()
	list := f.targets.ToCheck(service, except, f.reach.LastReached(service), f.nextProbe[service], checkedTargets)
	f.nextProbe[service] += checkedTargets
	f.mu.Unlock()
	results := make(chan error, len(list))
	for _, t := range list {
		go func() {
			c, err := f.pool.dialDirect(ctx, t)
			if err == nil {
				f.pool.put(c, 0)
			}
			results <- err
		}()
	}
	for range list {
		switch err := <-results; {
		case err == nil:
			reached++
		case dial.IsShortage(err):
			starved++
		}
	}
	return reached, starved
}

// DialTarget dials a target for another box, over this box's own links. It implements
// relay.Targets.
func (f *Forwarder) DialTarget(ctx context.Context, id string) (net.Conn, error) {
	f.mu.Lock()
	t := f.targets.ByID(id)
	f.mu.Unlock()
	if t == nil {
		return nil, errors.WithStack(relay.ErrUnknownTarget{Target: id})
	}
	lostLinks := relay.ErrNoPath{Reason: "this box has lost its own links"}
	if f.isLost(t.Service) {
		return nil, errors.WithStack(lostLinks)
	}
	c, err := f.pool.dialTCP(ctx, t)
	if dial.IsShortage(err) {
		return nil, errors.WithStack(relay.ErrBusy{Reason: err.Error()})
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && f.isOnly(t) {
		// The check that this dial began may have ended. It has dialled no other target.
		return nil, err
	}
	if refused && !f.reachesOthers(ctx, t) || err != nil && f.isLost(t.Service) {
		return nil, errors.WithStack(lostLinks)
	}
	return c, err
}

// isOnly reports whether a service has no other target that may be dialled.
func (f *Forwarder) isOnly(t *spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets.CountUsable(t.Service) <= 1
}

// reachesOthers reports whether this box reaches other targets of a service after it could not
// reach the given one, and dials some unless it has done so just before. It returns true if there
// are none.
func (f *Forwarder) reachesOthers(ctx context.Context, t *spread.Target) bool {
	f.mu.Lock()
	known := f.targets.CountUsable(t.Service) <= 1 || f.reach.HasReachedOther(t.Service, t.StartIdentity(), f.opts.Clock.Boot())
	f.mu.Unlock()
	if known {
		return true
	}
	reached, _ := f.dialSome(ctx, t.Service, t)
	return reached > 0
}

// refuseIfCutOff refuses a call at once if neither this box nor any other reaches its service.
func (fl *inflightCall) refuseIfCutOff() *Refusal {
	f, service := fl.f, fl.service.GetName()
	if !f.isLost(service) || f.opts.Relays != nil && f.opts.Relays.HasPath(service) {
		return nil
	}
	return f.noPathRefusal(service)
}

// congestedRefusal is the answer to a call that could not be sent because this box's own link is
// congested.
func (f *Forwarder) congestedRefusal(service string) *Refusal {
	return &Refusal{Kind: structs.KindBoxOverloaded, Run: structs.RunNo, RetryAfter: f.retryElsewhere(),
		Message: "the link of this box is congested, so that it could not reach a target of service " + service + ": ask again after the stated time over a new connection"}
}

// noPathRefusal is the answer to a call whose service no box reaches.
func (f *Forwarder) noPathRefusal(service string) *Refusal {
	if f.opts.IsCongested() {
		return f.congestedRefusal(service)
	}
	return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: noPathRetryAfter + time.Duration(rand.Int63n(int64(retryAfterJitter))),
		Message: "no target of service " + service + " can be reached, also not through other boxes: ask again after the stated time"}
}

// awaitCheck waits for the end of a check that is under way, for a call that could reach no
// target. It reports whether the call may go through another box, at most once.
func (fl *inflightCall) awaitCheck(ctx context.Context) bool {
	if len(fl.unreachedTargets) == 0 || fl.resumed || fl.awaitedCheck {
		return false
	}
	fl.awaitedCheck = true
	f, service := fl.f, fl.service.GetName()
	f.mu.Lock()
	check := f.checks[service]
	f.mu.Unlock()
	if check != nil {
		select {
		case <-check:
		case <-ctx.Done():
		}
		fl.tick()
	}
	if ctx.Err() != nil || !f.isLost(service) {
		return false
	}
	fl.readmitUnreached()
	return true
}

// readmitUnreached lets the targets that this box could not reach have the call through another
// one.
func (fl *inflightCall) readmitUnreached() {
	for _, id := range fl.unreachedTargets {
		delete(fl.excluded, id)
	}
	fl.unreachedTargets = nil
}

// unreached returns the result of an attempt whose target could not be dialled.
func (fl *inflightCall) unreached(ctx context.Context, t *spread.Target, err error) attempt {
	a := attempt{verdict: unreachable, notRun: true, err: errors.Wrap(errNotSent, err.Error())}
	if fl.f.opts.IsCongested() && !dial.IsShortage(err) {
		fl.unreachedCongested = true
	}
	if ctx.Err() != nil {
		a.verdict, a.tooLate = inconclusive, true
		return a
	}
	switch {
	case dial.IsShortage(err):
		a.verdict, a.starved = inconclusive, true
		fl.recordSend(t, "unreachable "+dialStarved)
		return a
	case relay.IsErrNoPath(err):
		a.verdict, a.noPath = cutOff, true
		fl.recordSend(t, "unreachable no path")
		return a
	case isCarriedDialError(err):
		a.carried = true
		fl.recordSend(t, "unreachable "+dialFailure(err)+" through another box")
		return a
	case fl.f.isLost(t.Service):
		a.verdict = cutOff
	}
	fl.recordSend(t, "unreachable "+dialFailure(err))
	return a
}
