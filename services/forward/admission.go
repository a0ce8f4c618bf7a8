// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"

	"havenwinch.dev/havenwinch/services/overload"
	"havenwinch.dev/havenwinch/structs"
)

// Admission decides which calls this box takes while its own link is full.
type Admission interface {
	Admit(r overload.Request) overload.Admission
	// RecordAnswer records the size of an answer of a route, in bytes.
	RecordAnswer(route string, bytes int)
}

// refuseIfLinkFull refuses a call that this box's link has no room for. A stream that its caller takes
// up again is always admitted: most of its work has been done.
func (fl *inflightCall) refuseIfLinkFull() *Refusal {
	if fl.f.opts.Admission == nil || fl.isReturn() {
		return nil
	}
	fl.admission = fl.f.opts.Admission.Admit(overload.Request{
		Route: fl.route.GetName(), Organisation: fl.payer.GetOrganisation(), Rank: fl.rank(), Body: len(fl.call.Body),
	})
	if fl.admission.Admitted {
		return nil
	}
	return &Refusal{Kind: structs.KindBoxOverloaded, Run: structs.RunNo, RetryAfter: fl.admission.RetryAfter,
		Message: fmt.Sprintf("the network link of this box is %.0f%% full: ask again over a new connection after the stated time", 100*fl.admission.Load)}
}

// recordAnswer records the size of the answer that was relayed.
func (fl *inflightCall) recordAnswer() {
	if fl.f.opts.Admission != nil && fl.sink.ended {
		fl.f.opts.Admission.RecordAnswer(fl.route.GetName(), fl.sink.bytes)
	}
}
