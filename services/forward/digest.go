// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"time"

	"havenwinch.dev/havenwinch/models/quarantine"
)

// contentDigest returns the digest that identifies a call when its caller sends it again under
// another id. It covers the payer, the method, the path with its query, and the body, and is
// computed once.
func (fl *inflightCall) contentDigest() quarantine.Digest {
	if fl.digest == (quarantine.Digest{}) {
		fl.digest = contentDigestOf(fl.payer.GetOrganisation(), fl.call)
	}
	return fl.digest
}

// partDigests returns the digests of the parts of the prompt that other calls may share.
func (fl *inflightCall) partDigests() []quarantine.Digest {
	if fl.parts == nil && len(fl.call.SharedParts) > 0 {
		fl.parts = make([]quarantine.Digest, 0, len(fl.call.SharedParts))
		for _, part := range fl.call.SharedParts {
			fl.parts = append(fl.parts, quarantine.DigestOfPart(part))
		}
	}
	return fl.parts
}

// holdLeft reports whether the call is quarantined, itself or for a part of its prompt, and for how
// long.
func (fl *inflightCall) holdLeft() (left time.Duration, held bool) {
	if left, held := fl.f.opts.Quarantine.HoldLeft(fl.contentDigest()); held {
		return left, true
	}
	return fl.f.opts.Quarantine.PartsHoldLeft(fl.partDigests())
}

func contentDigestOf(organisation string, call *Call) quarantine.Digest {
	return quarantine.DigestOf(organisation, call.Method, call.URI, call.Body)
}
