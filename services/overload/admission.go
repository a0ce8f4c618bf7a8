// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand"
	"time"

	"havenwinch.dev/havenwinch/models/boxload"
)

const (
	// headBytes is the size of the heads of a call and of its answer, in bytes.
	headBytes = 1000
	// answerWeight is the weight of a new answer in the mean size of a route's answers.
	answerWeight = 0.05
	// maxRoutes limits the routes whose answers are measured.
	maxRoutes = 4096
)

// admission is the state that decides which calls are taken.
type admission struct {
	link    boxload.Link
	shedder *boxload.Shedder
	// answers has the mean size of the answers of each route, in bytes.
	answers map[string]float64
	// isShedding is set while calls are refused, for the log.
	isShedding bool
}

// loaded returns the admission state. The caller holds w.mu.
func (w *Watcher) loaded() *admission {
	if w.admission == nil {
		w.admission = &admission{link: boxload.Link{Capacity: w.Link * bytesPerMegabit}, shedder: boxload.NewShedder(), answers: map[string]float64{}}
	}
	return w.admission
}

// Request describes a call that asks for admission.
type Request struct {
	Route        string
	Organisation string
	// Rank is the urgency of the call, zero being the most urgent.
	Rank uint32
	// Body is the size of the body, in bytes.
	Body int
}

// Admission is the result of Admit, with the inputs that decided it.
type Admission struct {
	Admitted bool
	// RetryAfter is when the caller may come back, zero for an admitted call.
	RetryAfter time.Duration
	// Bytes is what the call was expected to take of the link in each direction.
	Bytes int
	// Load is the smoothed load of the link, Share the part of the traffic that is refused.
	Load, Share float64
}

// Admit decides whether a call is taken while the link may be full. It admits all calls if the
// capacity of the link is not known.
func (w *Watcher) Admit(r Request) Admission {
	if w.Link <= 0 {
		return Admission{Admitted: true}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.loaded()
	bytes := headBytes + r.Body + int(a.answers[r.Route])
	d := Admission{Bytes: bytes, Load: a.link.Load(), Share: a.shedder.Share()}
	d.Admitted = a.shedder.Admit(boxload.Call{Organisation: r.Organisation, Rank: r.Rank, Bytes: bytes}, rand.Float64())
	if !d.Admitted {
		d.RetryAfter = w.retryAfter()
	}
	return d
}

// retryAfter returns when the load balancer has assigned the callers of this box to others.
func (w *Watcher) retryAfter() time.Duration {
	wait := minRetryAfter
	if since := time.Duration(w.busySince.Load()); since != 0 {
		wait = max(wait, shedAfter-(w.Clock.Boot()-since))
	}
	return wait + time.Duration(rand.Int63n(int64(retryAfterJitter)))
}

// RecordAnswer records the size of an answer of a route, in bytes.
func (w *Watcher) RecordAnswer(route string, bytes int) {
	if w.Link <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.loaded()
	mean, known := a.answers[route]
	switch {
	case known:
		a.answers[route] = mean + answerWeight*(float64(bytes)-mean)
	case len(a.answers) < maxRoutes:
		a.answers[route] = float64(bytes)
	}
}

// updateAdmission adapts the admission to a new sample of the link.
func (w *Watcher) updateAdmission(received, sent int64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.loaded()
	a.link.Sample(received, sent, now)
	a.shedder.Update(a.link.Load(), now)
	if shedding := a.shedder.Share() > 0; shedding != a.isShedding {
		a.isShedding = shedding
		w.Logger.Info("link admission", "refuses", shedding, "load", a.link.Load(), "share", a.shedder.Share(), "link_mbps", w.Link)
	}
}

// Load returns the smoothed traffic of the link in the busier direction as a fraction of its
// capacity, and the part of the traffic that is refused.
func (w *Watcher) Load() (load, refused float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.loaded()
	return a.link.Load(), a.shedder.Share()
}
