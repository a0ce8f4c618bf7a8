// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"net/http"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/spread"
)

// Targets differ in speed, and a box has too few calls at each to tell how fast it is. So each
// box reports what it has measured, control adds that up, and all boxes place calls by the same
// speeds. See docs/design/hard-load.md.

const (
	// weightsLogInterval is the minimum time between two log lines on changes of weights.
	weightsLogInterval = time.Second
	// maxWeightMetrics limits the targets with a weight in the metrics.
	maxWeightMetrics = 128
)

// isSample reports whether the call shows the speed of its target: only this target had it, from
// its first event on, and the box's own link is not congested.
func (fl *inflightCall) isSample() bool {
	return fl.sendCount == 1 && !fl.resumed && fl.call.LastEvent < 0 && !fl.f.opts.IsCongested()
}

// samplePrompt adds the time to the first event to the samples, unless the target is dedicated to long
// prompts: these queue there, and the target would look slow for that. The caller holds f.mu.
func (fl *inflightCall) samplePrompt(t *spread.Target, first time.Duration) {
	if fl.service.GetEngine() != nil && !fl.lastChoice.IsDedicated && fl.isSample() {
		fl.f.speedSamples.AddPrompt(t.Instance(), int(fl.call.UnsharedTokens), first, fl.f.opts.Clock.Boot())
	}
}

// sampleStream adds a complete stream to the samples. The caller holds f.mu.
func (fl *inflightCall) sampleStream(t *spread.Target) {
	if fl.service.GetEngine() == nil || !fl.isSample() {
		return
	}
	s := fl.sink
	fl.f.speedSamples.AddStream(t.Instance(), fl.events.count, fl.events.count-s.firstEvents, s.lastEventAt-s.firstEventAt, fl.f.opts.Clock.Boot())
}

// sampleAnswer adds an answer of a plain service to the samples.
func (fl *inflightCall) sampleAnswer(t *spread.Target, status int) {
	if fl.service.GetEngine() != nil || status >= http.StatusMultipleChoices || !fl.isSample() {
		return
	}
	now := fl.tick()
	fl.f.mu.Lock()
	defer fl.f.mu.Unlock()
	fl.f.speedSamples.AddAnswer(t.Instance(), now-fl.sentAt, now)
}

// tellSpeeds adds the samples to a report, and the position of the list of speeds. The caller
// holds f.mu.
func (f *Forwarder) tellSpeeds(r *betweenv1.LeaseRequest, now time.Duration) {
	r.SpeedSamples = f.speedSamples.Take(now)
	r.SpeedsList, r.SpeedsRevision = f.speeds.Position(now)
}

// takeSpeeds handles control's answer to a report. The caller holds f.mu.
func (f *Forwarder) takeSpeeds(resp *betweenv1.LeaseResponse, now time.Duration) {
	f.speedSamples.Acknowledge()
	if f.speeds.Apply(resp, now) {
		f.targets.SetSpeeds(f.speeds.Speed, f.speeds.FreshUntil())
	} else if f.speeds.IsFresh(now) {
		f.targets.KeepSpeeds(f.speeds.FreshUntil())
	}
	f.logWeights(now)
}

// expireSpeeds updates the weights where targets have changed, and sets all to 1 once the speeds
// are too old.
func (f *Forwarder) expireSpeeds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Boot()
	f.targets.UpdateWeights(now)
	f.logWeights(now)
}

// logWeights logs changes of weights, at most one line in weightsLogInterval. The caller holds
// f.mu.
func (f *Forwarder) logWeights(now time.Duration) {
	if !f.targets.HasWeightChanges() || now-f.weightsLogged < weightsLogInterval {
		return
	}
	f.weightsLogged = now
	changes, least, greatest := f.targets.WeightChanges()
	age, _ := f.speeds.Age(now)
	f.opts.Logger.Info("weights of targets changed", "changes", changes, "least", least, "greatest", greatest, "list_age_ms", age.Milliseconds())
}

// TargetWeight is the weight of a target.
type TargetWeight struct {
	Service, Target string
	Weight          float64
}

// TargetWeights returns the weights of targets other than 1, at most maxWeightMetrics.
func (f *Forwarder) TargetWeights() []TargetWeight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []TargetWeight
	for _, t := range f.targets.WeightedTargets(maxWeightMetrics) {
		list = append(list, TargetWeight{Service: t.Service, Target: t.ID, Weight: t.Weight()})
	}
	return list
}

// SpeedsAge returns the time in seconds since control last sent the speeds of targets, -1 if it
// never has.
func (f *Forwarder) SpeedsAge() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.speeds.Age(f.opts.Clock.Boot())
	if !ok {
		return -1
	}
	return age.Seconds()
}
