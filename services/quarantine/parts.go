// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
)

// A part that many prompts share may crash each target that begins to answer, while no two of these
// calls are alike. Its ends are counted like those of a call. A part with which a call begins to be
// answered, on any box, is cleared, so that parts that sound calls share are not blamed.

// maxPartsPerEnd limits the parts of one call that are reported with the end of its target.
const maxPartsPerEnd = 64

// PartsHoldLeft reports whether any of the parts of a prompt is held back, and for how long.
func (q *Service) PartsHoldLeft(parts []quarantine.Digest) (left time.Duration, held bool) {
	if len(parts) == 0 {
		return 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range parts {
		if left, held := q.holdLeft(c, q.partSuccesses.IsRecent); held {
			return left, true
		}
	}
	return 0, false
}

// RecordPartEnds records that a target ended before it answered a call with the given parts. If one of
// them is held back already, it explains the end.
func (q *Service) RecordPartEnds(parts []quarantine.Digest, target string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	suspects := q.suspects(parts)
	for _, c := range suspects[:min(len(suspects), maxPartsPerEnd)] {
		q.countEnd(c, &statev1.EndedUnder{Content: c[:], Target: target, Weight: quarantine.EarlyEnd, Part: true})
	}
}

// suspects returns the parts that may be to blame for an end. The caller holds q.mu.
func (q *Service) suspects(parts []quarantine.Digest) (list []quarantine.Digest) {
	now := q.Clock.Boot()
	for _, c := range parts {
		if q.partSuccesses.IsRecent(c, now) {
			continue
		}
		if _, held := q.holdLeft(c, q.partSuccesses.IsRecent); held {
			return []quarantine.Digest{c}
		}
		list = append(list, c)
	}
	return list
}

// RecordPartSuccess records that a target has begun to answer a call with the given parts.
func (q *Service) RecordPartSuccess(parts []quarantine.Digest) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Boot()
	for _, c := range parts {
		isSuspected := q.List.Row(c) != nil || q.pendingEnds.Contains(c)
		q.partSuccesses.Add(c, now, isSuspected)
		if isSuspected {
			q.reportSuccess(c)
		}
	}
}
