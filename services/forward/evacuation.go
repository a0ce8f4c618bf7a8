// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/structs"
)

// Targets in an evacuated data centre are sent no request of any kind: countRequest, through
// which all requests pass, rejects them. What runs there ends by itself. Only a run that was
// stopped before the evacuation was known, to continue elsewhere, is still resumed there.

// evacuatedRetryAfter is the Retry-After time while all targets of a service are evacuated.
// Nobody knows the end of an evacuation in advance, so callers ask at a moderate interval.
const evacuatedRetryAfter = 2 * time.Second

// errEvacuated means that a request was not sent because the target's data centre is
// evacuated.
var errEvacuated = errors.New("the target's data centre is evacuated")

// isEvacuated reports whether any of the targets is in an evacuated data centre.
func (f *Forwarder) isEvacuated(targets ...*spread.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(targets, f.targets.IsEvacuated)
}

// refuseIfEvacuated refuses a call at once if all targets of its service are in evacuated data
// centres.
func (fl *inflightCall) refuseIfEvacuated() *Refusal {
	f := fl.f
	f.mu.Lock()
	evacuated := f.targets.IsServiceEvacuated(fl.service.GetName())
	f.mu.Unlock()
	if !evacuated {
		return nil
	}
	return &Refusal{Kind: structs.KindNoTarget, Run: structs.RunNo, RetryAfter: evacuatedRetryAfter,
		Message: "all targets of service " + fl.service.GetName() + " are in data centres that are being evacuated: ask again after the stated time"}
}
