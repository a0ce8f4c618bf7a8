// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/control/controltest"
	"havenwinch.dev/havenwinch/tests/seeded"
)

const (
	softwareSchedules = 2000
	softwareSteps     = 60
	softwareWindow    = 30 * time.Second
)

// softwareSchedule plays targets of several versions that register, restart, change, drain and end, in
// any order, to control and to boxes that follow it.
type softwareSchedule struct {
	t       *testing.T
	seed    int64
	rng     *rand.Rand
	clock   *clock.Fake
	machine *control.Machine
	gateway *control.Gateway
	source  *MachineSource
	stores  []*Store
	// seen has when targets of each version of the service were in control's state and took calls, as
	// boot times.
	seen     map[string][]time.Duration
	sequence uint64
	// late are registrations that are on their way.
	late []*statev1.RegisteredTarget
	// news are messages of control on their way to each box, in the order of their making, and datings
	// tells when each box asked for them. A box that stands still leaves them where they are.
	news  [][]*betweenv1.FollowResponse
	asked []question
}

// question is a box's request to follow control.
type question struct {
	dating
	// arrivedAt is when control got it, and has is what control has told since.
	arrivedAt time.Duration
	has       Position
}

func newSoftwareSchedule(t *testing.T, seed int64) *softwareSchedule {
	fake := clock.NewFake()
	fake.Advance(time.Hour)
	machine := control.NewMachine()
	s := &softwareSchedule{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), clock: fake, machine: machine, seen: map[string][]time.Duration{},
		gateway: &control.Gateway{Log: controltest.Log{Machine: machine}, Machine: machine, Clock: fake, Logger: logging.Discard()},
		source:  &MachineSource{Machine: machine, Clock: fake, GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }},
	}
	for range 3 {
		s.stores, s.news, s.asked = append(s.stores, NewStore(fake)), append(s.news, nil), append(s.asked, question{})
	}
	for n := range s.stores {
		s.ask(n)
	}
	return s
}

// target returns a registration of one of a few targets, at one of a few addresses.
func (s *softwareSchedule) target() *statev1.RegisteredTarget {
	s.sequence++
	n := s.rng.Intn(5)
	service := "s"
	if s.rng.Intn(8) == 0 {
		service = "other"
	}
	return &statev1.RegisteredTarget{
		Id: fmt.Sprint("i-", n), Service: service, Address: fmt.Sprintf("h-%d:1", (n+s.rng.Intn(2))%5), Born: s.clock.Wall().UnixMilli() - int64(s.rng.Intn(3))*1000,
		Version: []string{"v1", "v1", "v1", "v1", "v1.1", "v2", ""}[s.rng.Intn(7)], State: ready, Sequence: s.sequence,
	}
}

// step lets something happen to the targets.
func (s *softwareSchedule) step() {
	switch s.rng.Intn(8) {
	case 0, 1:
		s.put(s.target())
	case 2:
		s.late = append(s.late, s.target())
	case 3:
		if n := len(s.late); n > 0 {
			i := s.rng.Intn(n)
			s.put(s.late[i])
			s.late = append(s.late[:i], s.late[i+1:]...)
		}
	case 4, 5:
		s.putState(gone)
	case 6:
		s.putState(statev1.RegisteredTarget_STATE_DRAINING)
	case 7:
		s.restoreControl()
	}
}

// put registers targets at control.
func (s *softwareSchedule) put(rows ...*statev1.RegisteredTarget) {
	s.see()
	_ = s.gateway.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: &statev1.PutTargets{Targets: rows}}})
	s.see()
}

// putState tells control of another state of a target that it knows.
func (s *softwareSchedule) putState(next statev1.RegisteredTarget_State) {
	var known *statev1.RegisteredTarget
	id := fmt.Sprint("i-", s.rng.Intn(5))
	s.machine.Read(func(st *state.State) { known = st.Routing.Targets[id] })
	if known == nil {
		return
	}
	s.sequence++
	row := &statev1.RegisteredTarget{Id: id, Service: known.GetService(), Address: known.GetAddress(), Born: known.GetBorn(), Version: known.GetVersion(), State: next, Sequence: s.sequence}
	s.put(row)
}

// restoreControl starts control again from its snapshot.
func (s *softwareSchedule) restoreControl() {
	data, err := s.machine.Capture()()
	if err == nil {
		err = s.machine.Restore(data)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// see notes which versions are in control's state now.
func (s *softwareSchedule) see() {
	s.machine.Read(func(st *state.State) {
		for _, row := range st.Routing.Targets {
			if row.GetService() == "s" && row.GetState() != gone {
				s.seen[row.GetVersion()] = append(s.seen[row.GetVersion()], s.clock.Boot())
			}
		}
	})
}

// check checks that a box takes the service to run one software only if no target of another one has
// been known to control since the window began.
func (s *softwareSchedule) check(box *Store) (sole bool) {
	id, confirmedAt, ok := box.SoleSoftware("s", softwareWindow)
	if !ok || confirmedAt < s.clock.Boot()-time.Second {
		return false
	}
	for version, times := range s.seen {
		if software.Of(&statev1.RegisteredTarget{Version: version}) == id {
			continue
		}
		for _, at := range times {
			if at > confirmedAt-softwareWindow && at <= confirmedAt {
				s.t.Fatalf("seed %d: a box takes %q for the only software although %q ran %s before its news were made", s.seed, id, version, confirmedAt-at)
			}
		}
	}
	return true
}

// Guards against a service that is taken to have run one software only although another one ran within
// the window, over random orders of registrations, ends, changes and news of them, which wait for boxes
// that stand still, arrive late or are lost.
func TestRandomSchedulesOfVersions(t *testing.T) {
	checks, sole := 0, 0
	for seed := range seeded.Schedules(t, softwareSchedules) {
		s := newSoftwareSchedule(t, int64(seed))
		for range softwareSteps {
			if s.rng.Intn(3) > 0 {
				s.step()
			}
			s.see()
			s.clock.Advance(time.Duration(s.rng.Intn(4000)) * time.Millisecond)
			s.see()
			n := s.rng.Intn(len(s.stores))
			if s.rng.Intn(20) == 0 {
				s.stores[n] = NewStore(s.clock)
				s.ask(n)
			}
			if s.rng.Intn(12) == 0 {
				s.ask(n)
			}
			for i := range s.stores {
				s.makeNews(i)
			}
			// What happens next is after the news.
			s.clock.Advance(time.Millisecond)
			if s.rng.Intn(4) > 0 {
				s.read(n)
			}
			checks++
			if s.check(s.stores[n]) {
				sole++
			}
		}
	}
	t.Logf("%d of %d times a box took the service to run one software only", sole, checks)
	if sole == 0 {
		t.Error("no box ever did: the schedules show nothing")
	}
}

// ask lets a box ask control anew, which gets the request some time later. All that is on its way to the
// box is lost.
func (s *softwareSchedule) ask(n int) {
	askedAt := s.clock.Boot()
	s.clock.Advance(time.Duration(s.rng.Intn(300)) * time.Millisecond)
	s.news[n], s.asked[n] = nil, question{dating: dating{askedAt: askedAt}, arrivedAt: s.clock.Boot(), has: s.stores[n].Position()}
}

// makeNews lets control make a message for a box.
func (s *softwareSchedule) makeNews(n int) {
	q := &s.asked[n]
	resp := s.source.After(q.has)
	resp.Elapsed = (s.clock.Boot() - q.arrivedAt).Milliseconds()
	q.has.Targets = max(q.has.Targets, resp.GetTargetRevision())
	s.news[n] = append(s.news[n], resp)
}

// read lets a box read the messages that are on their way to it: most often all, else only the oldest
// ones, as one that has just stood still.
func (s *softwareSchedule) read(n int) {
	list := s.news[n]
	if len(list) > 0 && s.rng.Intn(3) == 0 {
		list = list[:1+s.rng.Intn(len(list))]
	}
	s.news[n] = s.news[n][len(list):]
	for _, resp := range list {
		if _, err := s.stores[n].ApplyMadeAt(resp, s.asked[n].madeAt(resp)); err != nil {
			s.t.Fatal(err)
		}
	}
}
