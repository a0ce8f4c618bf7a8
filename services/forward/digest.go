// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import "havenwinch.dev/havenwinch/models/quarantine"

// contentDigest returns the digest that identifies a call when its caller sends it again under
// another id. It covers the payer, the method, the path with its query, and the body, and is
// computed once.
func (fl *inflightCall) contentDigest() quarantine.Digest {
	if fl.digest == (quarantine.Digest{}) {
		fl.digest = contentDigestOf(fl.payer.GetOrganisation(), fl.call)
	}
	return fl.digest
}

func contentDigestOf(organisation string, call *Call) quarantine.Digest {
	return quarantine.DigestOf(organisation, call.Method, call.URI, call.Body)
}
