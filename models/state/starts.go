// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"slices"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// A target may restart with the same id or another one, and at the same address or
// another one. Its calls may arrive late and out of order, so a call of a start that
// has ended may arrive after a later start is known. Starts are ordered by the birth
// times that targets report. As a target's time of day may jump back, a start that
// seems to be earlier is accepted once it has kept calling for long enough.

const (
	// rivalMinMillis is the time in milliseconds for which, and rivalMinCalls the
	// number of times that, a start that seems to be earlier than the known one must
	// have called to be accepted. Calls delayed by a partition arrive within a second
	// of its end; a target calls every 1.2 s.
	rivalMinMillis = 5000
	rivalMinCalls  = 3
	// supersededMinMillis and supersededMinCalls are the same for a start that was superseded by one that does
	// not report its birth. No call that a partition has delayed comes that late after another one.
	supersededMinMillis = 1000
	supersededMinCalls  = 2
	// maxRivals is the maximum number of such starts that are tracked.
	maxRivals = 64
)

// putTarget applies a target's call, which reached the leader at the given time of
// day in milliseconds. Calls of an earlier start and older calls of the same start
// are ignored. A start that has announced its end can't become ready again; one that was superseded can,
// since the call of the other start may have come late.
func (r *Routing) putTarget(t *statev1.RegisteredTarget, at int64) {
	gone := t.GetState() == statev1.RegisteredTarget_STATE_GONE
	old := r.Targets[t.GetId()]
	if gone && t.GetBorn() == 0 {
		// The call does not name the start that has ended, so it is the known one.
		t.Born = old.GetBorn()
	}
	if r.isEarlierStart(t) && (gone || !r.keepsCalling(t, at, rivalMinMillis, rivalMinCalls)) {
		return
	}
	switch {
	case !isSameStart(old, t):
	case old.GetSuperseded() && !gone:
		if t.GetSequence() <= old.GetSequence() || !r.keepsCalling(t, at, supersededMinMillis, supersededMinCalls) {
			return
		}
	case !isNewerCall(old, t):
		return
	}
	if old != nil && t.GetAddress() == "" {
		t.Address, t.Service, t.DataCentre, t.Slots, t.Version = old.GetAddress(), old.GetService(), old.GetDataCentre(), old.GetSlots(), old.GetVersion()
	}
	if !gone {
		r.assignAddress(t, at)
	}
	r.storeTarget(t, at)
}

func isSameStart(a, b *statev1.RegisteredTarget) bool { return a != nil && a.GetBorn() == b.GetBorn() }

// isNewerCall reports whether t is a later call of the start that old is known
// from: it has a later state, or the same state and a higher sequence number. That
// includes calls that change only for how long the target is cold.
func isNewerCall(old, t *statev1.RegisteredTarget) bool {
	if t.GetState() != old.GetState() {
		return t.GetState() > old.GetState()
	}
	return t.GetSequence() > old.GetSequence()
}

// isEarlierStart reports whether a call comes from an earlier start than the known
// one with its id or at its address. If not both starts report a birth time, the one
// that does is the later one under the same id, and the one that called last is the
// later one at the same address.
func (r *Routing) isEarlierStart(t *statev1.RegisteredTarget) bool {
	if old := r.Targets[t.GetId()]; old != nil && t.GetBorn() < old.GetBorn() {
		return true
	}
	owner := r.Targets[r.idByAddress[t.GetAddress()]]
	return owner != nil && t.GetBorn() > 0 && t.GetBorn() < owner.GetBorn()
}

// keepsCalling reports whether a start that seems to have ended has called so often, and for so long, that it
// must be the running one. It records the call.
func (r *Routing) keepsCalling(t *statev1.RegisteredTarget, at, minMillis int64, minCalls uint32) bool {
	i := slices.IndexFunc(r.rivals, func(v *statev1.RivalTarget) bool { return v.GetId() == t.GetId() && v.GetBorn() == t.GetBorn() })
	if i < 0 {
		r.rivals = append(r.rivals, &statev1.RivalTarget{Id: t.GetId(), Born: t.GetBorn(), First: at, Calls: 1, Sequence: t.GetSequence()})
		r.rivals = r.rivals[max(0, len(r.rivals)-maxRivals):]
		return false
	}
	known := r.rivals[i]
	if t.GetSequence() <= known.GetSequence() {
		return false
	}
	if at-known.GetFirst() >= minMillis && known.GetCalls()+1 >= minCalls {
		r.rivals = slices.Delete(slices.Clone(r.rivals), i, i+1)
		return true
	}
	// Rows are replaced and never modified, since a snapshot may refer to them.
	r.rivals = slices.Clone(r.rivals)
	r.rivals[i] = &statev1.RivalTarget{Id: known.GetId(), Born: known.GetBorn(), First: known.GetFirst(), Calls: known.GetCalls() + 1, Sequence: t.GetSequence()}
	return false
}

// assignAddress assigns a target its address: it ends the target that had the
// address before, and releases the former address of this one.
func (r *Routing) assignAddress(t *statev1.RegisteredTarget, at int64) {
	if old := r.Targets[t.GetId()]; old != nil && old.GetAddress() != t.GetAddress() && r.idByAddress[old.GetAddress()] == t.GetId() {
		delete(r.idByAddress, old.GetAddress())
	}
	former := r.Targets[r.idByAddress[t.GetAddress()]]
	if former != nil && former.GetId() != t.GetId() && former.GetState() != statev1.RegisteredTarget_STATE_GONE {
		r.storeTarget(&statev1.RegisteredTarget{
			Id: former.GetId(), Service: former.GetService(), Address: former.GetAddress(), DataCentre: former.GetDataCentre(),
			Slots: former.GetSlots(), Sequence: former.GetSequence(), Born: former.GetBorn(), Version: former.GetVersion(), State: statev1.RegisteredTarget_STATE_GONE,
			Superseded: t.GetBorn() == 0,
		}, at)
	}
	r.idByAddress[t.GetAddress()] = t.GetId()
}
