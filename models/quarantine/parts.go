// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "time"

const (
	// partGeneration is half the number of parts that a box remembers, at about 40 bytes each.
	partGeneration = 8192
	// partMemory is how long a box remembers that calls with a part have succeeded.
	partMemory = suspicionPeriod
)

// partSuccess is the last success of calls with a part.
type partSuccess struct {
	at time.Duration
	// reported is set once control has been told of it.
	reported bool
}

// PartSuccesses remembers the parts of prompts with which calls have succeeded. It is not safe for
// concurrent use.
type PartSuccesses struct{ generations[partSuccess] }

// Add records a success at the given time. reported is set if control is being told of it.
func (p *PartSuccesses) Add(c Digest, at time.Duration, reported bool) {
	p.put(c, partSuccess{at: at, reported: reported}, partGeneration)
}

// IsRecent reports whether calls with a part have succeeded so shortly before now that the part is not
// blamed for the end of a target.
func (p *PartSuccesses) IsRecent(c Digest, now time.Duration) bool {
	s, known := p.get(c)
	return known && now-s.at < recentSuccess
}

// TakeUnreported reports whether a success is known of which control has not been told, and counts it
// as told.
func (p *PartSuccesses) TakeUnreported(c Digest, now time.Duration) bool {
	s, known := p.get(c)
	if !known || s.reported || now-s.at >= partMemory {
		return false
	}
	p.Add(c, s.at, true)
	return true
}
