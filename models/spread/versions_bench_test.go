// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

const (
	versionStep     = 50 * time.Millisecond
	versionDay      = 10 * time.Minute
	versionStreams  = 30 // a second
	versionDuration = 4 * time.Second
	versionRestart  = 3 * time.Second
)

// versionDays are days on which targets of two versions serve.
type versionDays struct {
	// replaceEvery is how often the oldest target is drained and one of the other version is started,
	// zero for never; drain is the time from there to its end.
	replaceEvery, drain time.Duration
	// crashEvery is the mean time between two crashes of a target, which starts again.
	crashEvery time.Duration
	// versions are those of the targets at first.
	versions []string
}

// simulatedStream is a stream that ends at a time unless its target ends before.
type simulatedStream struct {
	target *Target
	ends   time.Duration
}

// placementWay is how new streams are placed.
type placementWay int

const (
	// asIs looks at no versions.
	asIs placementWay = iota
	// notSingle sends none to the only target of a software while another one has more.
	notSingle
	// notLast does so only for a software of which other targets drain.
	notLast
)

type versionSimulation struct {
	versionDays
	rng     *rand.Rand
	tb      *Table
	way     placementWay
	now     time.Duration
	running []simulatedStream
	// returns has when a crashed target starts again, and drained when a draining one ends.
	returns, drained map[string]time.Duration
	version          map[string]string
	order            []string
	nextID           int
	broken, lost     int
	most             float64
	steps            int
}

func (s *versionSimulation) start(id, version string, state statev1.RegisteredTarget_State) {
	s.version[id] = version
	s.tb.Put(&statev1.RegisteredTarget{Id: id, Service: "s", Address: id + ":1", DataCentre: "dc", Version: version, Born: int64(s.now) + 1, State: state}, s.now)
}

func (s *versionSimulation) add(version string) {
	s.nextID++
	id := fmt.Sprint("t", s.nextID)
	s.order = append(s.order, id)
	s.start(id, version, statev1.RegisteredTarget_STATE_READY)
}

// end ends a target; its streams go on at another target of its software, if there is one.
func (s *versionSimulation) end(id string) {
	old := s.tb.ByID(id)
	s.tb.Put(&statev1.RegisteredTarget{Id: id, State: statev1.RegisteredTarget_STATE_GONE}, s.now)
	for i := range s.running {
		st := &s.running[i]
		if st.target != old || st.ends <= s.now {
			continue
		}
		s.broken++
		if st.target = s.tb.Choose(Criteria{Service: "s", Boxes: 1, Software: old.Software}, s.now).Target; st.target == nil {
			s.lost++
			st.ends = 0
			continue
		}
		st.target.RunningCalls++
	}
}

// scarce returns the starts of the targets that get no new streams.
func (s *versionSimulation) scarce() map[string]bool {
	ready, draining := map[string][]*Target{}, map[string]bool{}
	for _, t := range s.tb.services["s"] {
		if t.Draining {
			draining[t.Version] = true
			continue
		}
		ready[t.Version] = append(ready[t.Version], t)
	}
	excluded, others := map[string]bool{}, false
	for version, list := range ready {
		if len(list) == 1 && (s.way == notSingle || draining[version]) {
			excluded[list[0].StartIdentity()] = true
		}
		others = others || len(list) > 1
	}
	if !others {
		return nil
	}
	return excluded
}

func (s *versionSimulation) begin() {
	criteria := Criteria{Service: "s", Boxes: 1}
	if s.way != asIs {
		criteria.Exclude = s.scarce()
	}
	if t := s.tb.Choose(criteria, s.now).Target; t != nil {
		t.RunningCalls++
		s.running = append(s.running, simulatedStream{target: t, ends: s.now + time.Duration(s.rng.ExpFloat64()*float64(versionDuration))})
	}
}

func (s *versionSimulation) step() {
	s.now += versionStep
	kept := s.running[:0]
	for _, st := range s.running {
		if st.ends > s.now {
			kept = append(kept, st)
		} else if st.target != nil {
			st.target.RunningCalls--
		}
	}
	s.running = kept
	for id, at := range s.drained {
		if at <= s.now {
			delete(s.drained, id)
			s.end(id)
		}
	}
	for id, at := range s.returns {
		if at <= s.now {
			delete(s.returns, id)
			s.start(id, s.version[id], statev1.RegisteredTarget_STATE_READY)
		}
	}
	if s.replaceEvery > 0 && s.now%s.replaceEvery < versionStep {
		id := s.order[0]
		s.order = s.order[1:]
		delete(s.returns, id)
		s.add(map[string]string{"v1": "v2", "v2": "v1"}[s.version[id]])
		if s.tb.ByID(id) != nil {
			s.tb.ByID(id).Draining = true
			s.drained[id] = s.now + s.drain
		}
	}
	for _, id := range s.order {
		if s.tb.ByID(id) != nil && s.rng.Float64() < float64(versionStep)/float64(s.crashEvery) {
			s.end(id)
			s.returns[id] = s.now + versionRestart
		}
	}
	for s.rng.Float64() < versionStreams*versionStep.Seconds()/(1+versionStreams*versionStep.Seconds()) {
		s.begin()
	}
	most, sum, n := 0, 0, 0
	for _, t := range s.tb.services["s"] {
		if !t.Draining {
			most, sum, n = max(most, t.RunningCalls), sum+t.RunningCalls, n+1
		}
	}
	if sum > 0 {
		s.most += float64(most) * float64(n) / float64(sum)
		s.steps++
	}
}

// BenchmarkPlacementWithVersions compares ways to place new streams while two versions serve: how many
// of a thousand streams broke off and could not go on, and how many times as many calls as the mean
// the busiest target has.
func BenchmarkPlacementWithVersions(b *testing.B) {
	eight := []string{"v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1"}
	days := map[string]versionDays{
		"replaced one by one, drained for 8 s": {versions: eight, replaceEvery: 5 * time.Second, drain: 8 * time.Second, crashEvery: 10 * time.Minute},
		"replaced one by one, drained for 1 s": {versions: eight, replaceEvery: 5 * time.Second, drain: time.Second, crashEvery: 10 * time.Minute},
		"replaced, and crashes":                {versions: eight, replaceEvery: 5 * time.Second, drain: 8 * time.Second, crashEvery: time.Minute},
		"a single target of a new one":         {versions: append(eight[:8:8], "v2"), crashEvery: 10 * time.Minute},
		"a single one, and crashes":            {versions: append(eight[:8:8], "v2"), crashEvery: time.Minute},
	}
	for name, d := range days {
		for label, way := range map[string]placementWay{"as it is": asIs, "none to a single one": notSingle, "none to the last one": notLast} {
			b.Run(name+", "+label, func(b *testing.B) {
				var broken, lost, most float64
				for b.Loop() {
					s := &versionSimulation{versionDays: d, rng: rand.New(rand.NewSource(1)), tb: NewTable("dc"), way: way, returns: map[string]time.Duration{}, drained: map[string]time.Duration{}, version: map[string]string{}}
					for _, v := range d.versions {
						s.add(v)
					}
					for s.now < versionDay {
						s.step()
					}
					streams := versionStreams * versionDay.Seconds() / 1000
					broken, lost, most = float64(s.broken)/streams, float64(s.lost)/streams, s.most/float64(s.steps)
				}
				b.ReportMetric(broken, "broken/1000")
				b.ReportMetric(lost, "lost/1000")
				b.ReportMetric(most, "busiest/mean")
			})
		}
	}
}
