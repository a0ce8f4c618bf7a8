// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/periodic"
	resumes "havenwinch.dev/havenwinch/services/resume"
	"havenwinch.dev/havenwinch/structs"
)

// A stream belongs to the software of the target whose output reached the caller first. Whatever
// continues it, within its answer or when its caller returns, goes to that software only.

const (
	// recordMargin is how much longer than its caller waits the record of a stream is kept.
	recordMargin = 5 * time.Second
	// minSoleTime is how long a service must have run one software at least for a stream without a
	// record to belong to it.
	minSoleTime = 30 * time.Second
	// maxSoleAge is how old this box's copy of the targets may be when a caller returns.
	maxSoleAge = time.Second
	// confirmWait limits how long a returning caller waits for news from control, which come every
	// 400 ms at least, and confirmPoll is the time between looks.
	confirmWait = 600 * time.Millisecond
	confirmPoll = 20 * time.Millisecond
	// registrationTime is how long after its start a target is registered at the latest while control
	// can be reached, and verifyTimeout limits the query for a target's start.
	registrationTime = 1500 * time.Millisecond
	verifyTimeout    = time.Second
	// bindWait limits how long the first event of a new stream waits for the start of its target. The
	// stream can't be taken up if the target is slower.
	bindWait = 100 * time.Millisecond
)

// Streams keeps which software began each stream, for all entry boxes.
type Streams interface {
	// Record stores which software began a stream.
	Record(ctx context.Context, k resume.Key, id software.Identity, lifetime time.Duration)
	// Find returns the software that began a stream. The error is an ErrUnknown of services/resume.
	Find(ctx context.Context, k resume.Key) (software.Identity, error)
}

// Answers of a target that is asked for its start.
type startAnswer int

const (
	// startUnknown means that the target has not answered.
	startUnknown startAnswer = iota
	startRegistered
	// startNotTold means that the target does not tell its start. Its registered start is trusted.
	startNotTold
	startLater
)

// queryStart asks a target for its start, which is the one that took any connection made before.
func (f *Forwarder) queryStart(ctx context.Context, t *spread.Target) startAnswer {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	status, body, err := f.request(ctx, t, useReports, http.MethodGet, f.opts.EngineAPI.ReportPath(), nil)
	if err != nil || status != http.StatusOK {
		return startUnknown
	}
	report, err := f.opts.EngineAPI.Report(body)
	switch {
	case err != nil:
		return startUnknown
	case report.Born == 0:
		f.mu.Lock()
		t.TellsNoStart = true
		f.mu.Unlock()
		return startNotTold
	case report.Born == t.Born:
		return startRegistered
	default:
		return startLater
	}
}

// mayBeLaterStart reports whether a start of the target that is not registered may have taken a
// connection. Only engines tell their start.
func (fl *inflightCall) mayBeLaterStart(c *conn) bool {
	return c.target.Born != 0 && fl.f.opts.EngineAPI != nil && fl.service.GetEngine() != nil && !c.startVerified
}

// mayRegisterYet reports whether a start of the target that took a connection may not be registered only
// because that takes some time.
func (fl *inflightCall) mayRegisterYet(c *conn) bool {
	return c.dialledAt+registrationTime > fl.now-fl.f.opts.Store.Confirmed()
}

// verifyStart finds out whether a stream that continues would reach the start of the target that is
// registered. A target that has started again under its id may run other software. Its new registration
// is on its way for some time, longer if it can't reach control. It returns nil if the stream may be sent.
func (fl *inflightCall) verifyStart(ctx context.Context, c *conn) *attempt {
	if fl.software == "" || fl.resumption != nil || !fl.mayBeLaterStart(c) {
		return nil
	}
	if fl.f.isLimited(c.target) && !fl.mayRegisterYet(c) {
		// The query would take the place of a call.
		return nil
	}
	answer := fl.f.queryStart(ctx, c.target)
	fl.tick()
	a := &attempt{verdict: inconclusive, notRun: true, notSent: true, err: errNotSent}
	outcome := "unverified"
	switch answer {
	case startRegistered:
		c.startVerified = true
		return nil
	case startNotTold:
		return nil
	case startLater:
		a.verdict, outcome = replaced, "started again"
	}
	fl.recordSend(c.target, outcome)
	return a
}

// checkStart asks the target of a new stream for its start while the stream begins. The channel is nil
// if the stream can't be taken up, or if its start is known.
func (fl *inflightCall) checkStart(ctx context.Context, c *conn) <-chan startAnswer {
	if fl.software != "" || !routing.IsRepeatable(fl.route) || fl.route.GetKind() != statev1.Route_KIND_STREAM || !fl.mayBeLaterStart(c) {
		return nil
	}
	fl.f.mu.Lock()
	tellsNone := c.target.TellsNoStart
	fl.f.mu.Unlock()
	if tellsNone {
		return nil
	}
	answer := make(chan startAnswer, 1)
	if fl.f.isLimited(c.target) {
		// The query would take the place of a call.
		if !fl.mayRegisterYet(c) {
			return nil
		}
		answer <- startUnknown
		return answer
	}
	go func() { answer <- fl.f.queryStart(ctx, c.target) }()
	return answer
}

// softwareOf returns the software of a new stream from the target at the other end of a connection.
func (fl *inflightCall) softwareOf(ctx context.Context, c *conn) software.Identity {
	if fl.startCheck == nil {
		return c.target.Software
	}
	switch fl.awaitStart(ctx) {
	case startRegistered:
		c.startVerified = true
	case startLater:
		return software.Unverified
	case startUnknown:
		if fl.mayRegisterYet(c) {
			return software.Unverified
		}
	}
	return c.target.Software
}

// awaitStart waits for the answer of the target that was asked for its start, bindWait at most.
func (fl *inflightCall) awaitStart(ctx context.Context) startAnswer {
	timer := time.NewTimer(bindWait)
	defer timer.Stop()
	select {
	case answer := <-fl.startCheck:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	return startUnknown
}

// isReturn reports whether the caller takes up a stream of which it has events.
func (fl *inflightCall) isReturn() bool {
	return fl.call.LastEvent >= 0 && fl.route.GetKind() == statev1.Route_KIND_STREAM
}

// firstAttempt returns the id of the attempt that began the stream: the one that a returning caller
// names, else this one. It selects the service among those of the route.
func (fl *inflightCall) firstAttempt() string {
	if fl.isReturn() && fl.call.FirstAttempt != "" {
		return fl.call.FirstAttempt
	}
	return fl.call.ID
}

// streamKey returns the key under which the stream is recorded if the given service began it.
func (fl *inflightCall) streamKey(service string) resume.Key {
	return resume.KeyOf(fl.payer.GetOrganisation(), service, fl.firstAttempt())
}

// bindSoftware ties the stream to the software of the target whose output is about to be relayed
// first, and records it for the caller's return.
func (fl *inflightCall) bindSoftware(ctx context.Context, c *conn) {
	if fl.software != "" {
		return
	}
	fl.software = fl.softwareOf(ctx, c)
	fl.recordSoftware(ctx)
}

// unbindSoftware unties a stream from the software of its target once a later start of the target with
// other software is registered, unless the target has told that the registered start took the connection.
// The events may be of either start: those of the former one may arrive late, and the later one may have
// taken the connection before it was registered. The record at other boxes then counts as unknown.
func (fl *inflightCall) unbindSoftware(ctx context.Context, c *conn) {
	t, next := c.target, c.target.Successor()
	if next == nil || fl.software != t.Software {
		return
	}
	isSame := next.Service == t.Service && next.Software == t.Software
	isProven := c.startVerified && next.Born != t.Born
	if isSame || isProven {
		return
	}
	fl.f.opts.Logger.Warn("stream may be of a later start of its target", "request", fl.call.ID, "target", t.ID, "born", next.Born, "software", next.Software, "recorded", fl.software)
	fl.software = software.Unverified
	fl.recordSoftware(ctx)
}

// recordSoftware records the software of the stream for the caller's return.
func (fl *inflightCall) recordSoftware(ctx context.Context) {
	if fl.f.opts.Streams == nil || !routing.IsRepeatable(fl.route) {
		return
	}
	wait := max(fl.call.MaxWait, time.Duration(fl.route.GetTimeout())*time.Millisecond)
	fl.f.opts.Streams.Record(ctx, fl.streamKey(fl.service.GetName()), fl.software, wait+recordMargin)
}

// resolveSoftware finds out which service and software began the stream that the caller takes up. It
// refuses the call if nobody knows.
func (fl *inflightCall) resolveSoftware(ctx context.Context) *Refusal {
	if !fl.isReturn() {
		return nil
	}
	id, err := fl.findSoftware(ctx)
	fl.tick()
	if err != nil {
		return unknownSoftwareRefusal(err)
	}
	fl.software = id
	return nil
}

// refuseIfSoftwareGone refuses a call that takes a stream up if no target runs its software any more.
func (fl *inflightCall) refuseIfSoftwareGone() *Refusal {
	if !fl.isReturn() || fl.hasSoftware() {
		return nil
	}
	return fl.goneSoftwareRefusal()
}

// findSoftware returns the software that began the stream: that of its record, or the only one that
// the service has run for longer than any stream takes.
func (fl *inflightCall) findSoftware(ctx context.Context) (software.Identity, error) {
	var err error = resumes.ErrUnknown{Reason: "the caller did not name the attempt that began it"}
	if fl.call.FirstAttempt != "" && fl.f.opts.Streams != nil {
		var id software.Identity
		if id, err = fl.findRecord(ctx); err == nil {
			fl.softwareSource = sourceRecord
			if id == software.Unverified {
				return "", errors.WithStack(resumes.ErrUnknown{Reason: "its target may have started again just before it began"})
			}
			return id, nil
		}
	}
	if id, ok := fl.soleSoftware(ctx); ok {
		fl.softwareSource = sourceSole
		return id, nil
	}
	return "", err
}

// findRecord returns the software in the record of the stream, and sets the service. That may be any
// service of the route, as its weights may have changed since the stream began.
func (fl *inflightCall) findRecord(ctx context.Context) (software.Identity, error) {
	services := routing.ServicesOf(fl.route)
	if len(services) == 1 {
		return fl.f.opts.Streams.Find(ctx, fl.streamKey(services[0]))
	}
	type result struct {
		service string
		id      software.Identity
		err     error
	}
	results := make(chan result, len(services))
	for _, service := range services {
		go func() {
			id, err := fl.f.opts.Streams.Find(ctx, fl.streamKey(service))
			results <- result{service: service, id: id, err: err}
		}()
	}
	var last error
	for range services {
		r := <-results
		if r.err == nil {
			fl.setService(r.service)
			return r.id, nil
		}
		if unanswered(r.err) >= unanswered(last) {
			last = r.err
		}
	}
	return "", last
}

// setService replaces the service that was selected for the call.
func (fl *inflightCall) setService(name string) {
	if name != fl.service.GetName() {
		fl.service, fl.parts = fl.index.Service(name), nil
	}
}

// Sources of the software that began a stream, in logs.
const (
	sourceRecord = "record"
	sourceSole   = "only one in use"
)

// soleSoftware returns the software of the service if it has run no other one for longer than any
// stream takes.
func (fl *inflightCall) soleSoftware(ctx context.Context) (software.Identity, bool) {
	for waited := time.Duration(0); waited <= confirmWait; waited += confirmPoll {
		id, ok, wait := fl.checkSole()
		if !wait {
			return id, ok
		}
		if periodic.Sleep(ctx, confirmPoll); ctx.Err() != nil {
			break
		}
	}
	return "", false
}

// checkSole returns the only software of the service if ok is set. The box must know all targets at
// which the stream may have begun, so it must have heard from control just before the call arrived,
// and after that if the caller has named its attempt; wait is set until then. A box that is cut off
// from control does not know.
func (fl *inflightCall) checkSole() (id software.Identity, ok, wait bool) {
	window := max(minSoleTime, 2*time.Duration(fl.route.GetTimeout())*time.Millisecond)
	id, confirmedAt, ok := fl.f.opts.Store.SoleSoftware(fl.service.GetName(), window)
	if !ok || confirmedAt < fl.call.Arrived-maxSoleAge {
		return "", false, false
	}
	if confirmedAt < fl.call.Arrived && fl.call.FirstAttempt != "" {
		return "", false, true
	}
	return id, true, false
}

// hasSoftware reports whether a target that may have calls runs the software of the stream.
func (fl *inflightCall) hasSoftware() bool {
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	return fl.f.targets.HasSoftware(fl.service.GetName(), fl.software)
}

// unknownSoftwareRefusal is the answer to a caller whose stream can't go on as nobody knows which
// software began it. It may come back if boxes that did not answer may know.
func unknownSoftwareRefusal(err error) *Refusal {
	r := &Refusal{Kind: structs.KindVersionUnknown, Run: structs.RunNo, Message: err.Error()}
	if unanswered(err) > 0 {
		r.RetryAfter = retrySoon
	}
	return r
}

// unanswered returns how many boxes that may know a stream did not answer.
func unanswered(err error) int {
	var unknown resumes.ErrUnknown
	errors.As(err, &unknown)
	return unknown.Unanswered
}

// goneSoftwareRefusal is the answer to a caller whose stream can't go on.
func (fl *inflightCall) goneSoftwareRefusal() *Refusal {
	return &Refusal{Kind: structs.KindVersionGone, Run: structs.RunNo,
		Message: fmt.Sprintf("no target of service %s runs the software that began the stream: begin it anew", fl.service.GetName())}
}
