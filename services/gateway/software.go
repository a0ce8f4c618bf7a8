// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/software"
)

// softwareEnd is when a target of a version last ended, as a boot time of this box.
type softwareEnd struct {
	service, version string
	at               time.Duration
}

// endsOf returns the ends that a message of control brings. The result is not nil.
func (s *Store) endsOf(r *betweenv1.FollowResponse) []softwareEnd {
	list := make([]softwareEnd, 0, len(r.GetSoftwareEnds()))
	for _, e := range r.GetSoftwareEnds() {
		age := time.Duration(r.GetSoftwareEndsNow()-e.GetAt()) * time.Millisecond
		list = append(list, softwareEnd{service: e.GetService(), version: e.GetVersion(), at: s.clock.Boot() - age})
	}
	return list
}

// SoleSoftware returns the software of a service if all its targets have run the same one for the
// given time, at most software.KeepTime. confirmedAt is the boot time up to which this box knows all
// targets.
func (s *Store) SoleSoftware(service string, window time.Duration) (id software.Identity, confirmedAt time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.softwareEnds == nil || window > software.KeepTime {
		return "", 0, false
	}
	var versions []string
	for _, t := range s.targets {
		if t.GetService() == service {
			versions = append(versions, t.GetVersion())
		}
	}
	for _, e := range s.softwareEnds {
		if (e.service == service || e.service == software.AnyService) && e.at > s.confirmedAt-window {
			versions = append(versions, e.version)
		}
	}
	id, ok = software.Sole(versions)
	return id, s.confirmedAt, ok
}
