// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/tests/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// starts is a set of starts of targets, by name.
type starts map[string]bool

// callModel is the reference model of one call. Until the call has succeeded anywhere, a
// box holds it back if it knows of three different starts that ended during it.
type callModel struct {
	// control has the starts that control has counted, boxes those that each box has
	// observed itself, and lists those that control had counted when it made the newest
	// list of each box.
	control starts
	boxes   []starts
	lists   []starts
	// all has the starts that ended on any box.
	all starts
	// hasSucceeded is set once the call has succeeded on any box.
	hasSucceeded bool
}

func union(sets ...starts) starts {
	all := starts{}
	for _, s := range sets {
		for t := range s {
			all[t] = true
		}
	}
	return all
}

// listFromControl is a message of control that is in transit.
type listFromControl struct {
	message *betweenv1.FollowResponse
	counted []starts
}

// schedule runs a random sequence of steps on the code and on the model.
type schedule struct {
	*testCluster
	rt    *rapid.T
	calls []callModel
	// inTransit are the lists in transit, by box.
	inTransit      [][]listFromControl
	newestRevision []uint64
	cuts           []bool
	// allowsSuccess is set if calls may succeed.
	allowsSuccess bool
}

const (
	scheduleBoxes = 3
	scheduleCalls = 2
	scheduleSteps = 40
	// scheduleTargets is how many different starts end in a schedule. There are few, so
	// that several boxes observe the end of the same one.
	scheduleTargets = 6
)

func newSchedule(t *testing.T, rt *rapid.T) *schedule {
	s := &schedule{testCluster: newTestCluster(t, scheduleBoxes), rt: rt, inTransit: make([][]listFromControl, scheduleBoxes), newestRevision: make([]uint64, scheduleBoxes), cuts: make([]bool, scheduleBoxes)}
	for range scheduleCalls {
		s.calls = append(s.calls, callModel{control: starts{}, all: starts{}, boxes: make([]starts, scheduleBoxes), lists: make([]starts, scheduleBoxes)})
	}
	for i := range s.calls {
		for b := range scheduleBoxes {
			s.calls[i].boxes[b], s.calls[i].lists[b] = starts{}, starts{}
		}
	}
	return s
}

func content(call int) quarantine.Digest { return quarantine.Digest{byte(call + 1)} }

// endTarget has a target end during a call of a box.
func (s *schedule) endTarget(box int) {
	call := rapid.IntRange(0, scheduleCalls-1).Draw(s.rt, "call")
	target := fmt.Sprint("t", rapid.IntRange(0, scheduleTargets-1).Draw(s.rt, "target"))
	s.boxes[box].RecordEnd(content(call), target, quarantine.EarlyEnd)
	m := &s.calls[call]
	m.all[target] = true
	if !m.hasSucceeded {
		m.boxes[box][target] = true
	}
}

// randomReport has a box send its report. The report or its answer may be lost.
func (s *schedule) randomReport(box int) {
	if s.cuts[box] {
		s.setCut(true)
		s.boxes[box].report(s.t.Context())
		s.setCut(false)
		return
	}
	waiting := s.countReport(box)
	if waiting > 0 && rapid.Bool().Draw(s.rt, "answer lost") {
		s.sendReportLoseAnswer(box)
		return
	}
	s.sendReport(box)
}

// countReport adds the next report of a box to the model of control, and returns the number of
// events in it.
func (s *schedule) countReport(box int) int {
	waiting := &s.boxes[box].queued
	for i := range s.calls {
		for _, e := range waiting.GetEnded() {
			if c, _ := quarantine.ParseDigest(e.GetContent()); c == content(i) {
				s.calls[i].control[e.GetTarget()] = true
			}
		}
	}
	return len(waiting.GetEnded()) + len(waiting.GetServed())
}

// sendList has control send a list to a box.
func (s *schedule) sendList(box int) {
	l := listFromControl{message: s.listFor(box)}
	for i := range s.calls {
		l.counted = append(l.counted, union(s.calls[i].control))
	}
	s.inTransit[box] = append(s.inTransit[box], l)
}

// receiveList delivers one of the lists in transit to a box, in any order.
func (s *schedule) receiveList(box int) {
	if s.cuts[box] || len(s.inTransit[box]) == 0 {
		return
	}
	n := rapid.IntRange(0, len(s.inTransit[box])-1).Draw(s.rt, "list")
	l := s.inTransit[box][n]
	s.inTransit[box] = append(s.inTransit[box][:n:n], s.inTransit[box][n+1:]...)
	s.deliver(box, l.message)
	if l.message.GetQuarantineRevision() < s.newestRevision[box] {
		return
	}
	s.newestRevision[box] = l.message.GetQuarantineRevision()
	for i := range s.calls {
		s.calls[i].lists[box] = union(s.calls[i].lists[box], l.counted[i])
	}
}

// succeed has a call succeed on a box.
func (s *schedule) succeed(box int) {
	call := rapid.IntRange(0, scheduleCalls-1).Draw(s.rt, "served call")
	s.boxes[box].RecordSuccess(content(call))
	s.calls[call].hasSucceeded = true
}

// restart restarts a box, which loses its state.
func (s *schedule) restart(box int) {
	s.restartBox(box)
	s.inTransit[box], s.newestRevision[box] = nil, 0
	for i := range s.calls {
		s.calls[i].boxes[box], s.calls[i].lists[box] = starts{}, starts{}
	}
}

// step runs a random step at a random box. Ends, reports and lists are the most frequent.
func (s *schedule) step() {
	steps := []func(box int){
		s.endTarget, s.endTarget, s.endTarget, s.randomReport, s.randomReport, s.sendList, s.receiveList, s.receiveList, s.restart,
		func(box int) { s.cuts[box] = !s.cuts[box] },
		func(int) { s.restore() },
		func(int) { s.clock.Advance(3 * time.Second) },
	}
	if s.allowsSuccess {
		steps = append(steps, s.succeed)
	}
	box := rapid.IntRange(0, scheduleBoxes-1).Draw(s.rt, "box")
	steps[rapid.IntRange(0, len(steps)-1).Draw(s.rt, "step")](box)
}

// check compares the calls that the boxes hold back with the model.
func (s *schedule) check() {
	for i, m := range s.calls {
		for b, q := range s.boxes {
			held := s.isHeld(q, content(i))
			if held && len(m.all) < 3 {
				s.rt.Fatalf("box %d holds back call %d although only %d targets ended", b, i, len(m.all))
			}
			if m.hasSucceeded {
				continue
			}
			known := m.boxes[b]
			if len(m.lists[b]) > 1 {
				known = union(known, m.lists[b])
			}
			if !held && len(known) >= 3 {
				s.rt.Fatalf("box %d does not hold back call %d although it knows of %d targets that ended", b, i, len(known))
			}
		}
	}
}

// checkSettled delivers all messages and checks that all boxes agree with control.
func (s *schedule) checkSettled() {
	for b := range s.boxes {
		s.cuts[b] = false
		s.countReport(b)
	}
	s.clock.Advance(recentSuccessExpired)
	for range 3 {
		s.exchangeAll()
	}
	for i, m := range s.calls {
		want := s.isHeld(s.restartedBox(), content(i))
		for b, q := range s.boxes {
			if s.isHeld(q, content(i)) != want {
				s.rt.Fatalf("call %d: box %d disagrees with control, which holds it back: %v", i, b, want)
			}
		}
		if !m.hasSucceeded && want != (len(m.control) >= 3) {
			s.rt.Fatalf("call %d: control holds it back: %v, after the end of %d targets", i, want, len(m.control))
		}
	}
	s.setCut(true)
	s.clock.Advance(10*time.Minute + 2*time.Minute)
	for i := range s.calls {
		for b, q := range s.boxes {
			if s.isHeld(q, content(i)) {
				s.rt.Fatalf("box %d holds back call %d forever", b, i)
			}
		}
	}
}

// recentSuccessExpired is longer than the time for which a successful call is not blamed.
const recentSuccessExpired = 6 * time.Second

// restartedBox returns a newly started box that has received control's list only.
func (s *schedule) restartedBox() *Service {
	s.addBox()
	n := len(s.boxes) - 1
	q := s.boxes[n]
	s.deliver(n, s.listFor(n))
	s.boxes, s.stores = s.boxes[:n], s.stores[:n]
	return q
}

// TestRandomOrders compares several boxes with the reference model over random sequences
// of ends, reports, lost answers, lists out of order, cuts, restarts and successes.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(t, rt)
		// Schedules without successes are the majority, since more can be checked there.
		s.allowsSuccess = rapid.IntRange(0, 3).Draw(rt, "serves") == 0
		for range rapid.IntRange(1, scheduleSteps).Draw(rt, "steps") {
			s.step()
			s.check()
		}
		s.checkSettled()
	})
}
