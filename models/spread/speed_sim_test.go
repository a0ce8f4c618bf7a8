// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/speed"
)

const (
	simTargets = 60
	simBoxes   = 62
	// simTokenTime is the time to read a prompt token and simEventTime that between two events,
	// both at nominal speed. simAnswerEvents is how many events a stream has.
	simTokenTime    = 30 * time.Microsecond
	simEventTime    = 20 * time.Millisecond
	simAnswerEvents = 60
	simPrefixes     = 3000
	simObjective    = 600 * time.Millisecond
	simWarmUp       = 20 * time.Second
	simEnd          = 80 * time.Second
)

// speedSim plays boxes that place prompts at engines that read them one after another. Each
// engine keeps the prefixes that it has read. All runs in virtual time.
type speedSim struct {
	rnd     *rand.Rand
	now     time.Duration
	events  speedEvents
	boxes   []*speedBox
	engines map[string]*simEngine
	control speed.Aggregate
	// hasWeights is set if boxes learn speeds, and isCut while control can't be reached.
	hasWeights, isCut bool
	// change alters the samples that a box reports; may be nil.
	change func(box int, list []*betweenv1.SpeedSample)
	// calls and inTime count the prompts after the warm-up, callsAt them by target.
	calls, inTime int
	callsAt       map[string]int
}

type speedBox struct {
	table   *Table
	samples speed.Collector
	speeds  speed.List
}

type simEngine struct {
	speed  float64
	freeAt time.Duration
	cached map[uint64]bool
}

type speedEvent struct {
	at  time.Duration
	run func()
}

type speedEvents []speedEvent

func (e speedEvents) Len() int           { return len(e) }
func (e speedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e speedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *speedEvents) Push(x any)        { *e = append(*e, x.(speedEvent)) }
func (e *speedEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSpeedSim(seed int64, perSecond float64, speeds ...float64) *speedSim {
	s := &speedSim{rnd: rand.New(rand.NewSource(seed)), engines: map[string]*simEngine{}, callsAt: map[string]int{}, hasWeights: true}
	for i := range simTargets {
		s.engines[fmt.Sprint("t", i)] = &simEngine{speed: speeds[i%len(speeds)], cached: map[uint64]bool{}}
	}
	for i := range simBoxes {
		b := &speedBox{table: newTestTable(simTargets)}
		s.boxes = append(s.boxes, b)
		s.after(time.Second*time.Duration(i)/simBoxes, func() { s.report(i, b) })
	}
	s.after(0, func() { s.arrive(perSecond) })
	return s
}

func (s *speedSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, speedEvent{at: s.now + d, run: run})
}

func (s *speedSim) runUntil(end time.Duration) {
	for s.events[0].at < end {
		e := heap.Pop(&s.events).(speedEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *speedSim) arrive(perSecond float64) {
	s.after(time.Duration(s.rnd.ExpFloat64()/perSecond*float64(time.Second)), func() { s.arrive(perSecond) })
	b := s.boxes[s.rnd.Intn(simBoxes)]
	prefix := uint64(1 + s.rnd.Intn(simPrefixes))
	tokens := min(60000, 6000*math.Exp(0.8*s.rnd.NormFloat64()))
	unshared := tokens / 2
	c := b.table.Choose(Criteria{Service: "s", Affinity: prefix * 0x9e3779b97f4a7c15, UnsharedTokens: int(unshared), MaxPause: 400 * time.Millisecond, Boxes: simBoxes}, s.now)
	s.askDedicated(&c)
	t, engine := c.Target, s.engines[c.Target.ID]
	read := unshared
	if !engine.cached[prefix] {
		read = tokens
		engine.cached[prefix] = true
		s.after(2*time.Minute, func() { delete(engine.cached, prefix) })
	}
	engine.freeAt = max(engine.freeAt, s.now) + time.Duration(read*float64(simTokenTime)/engine.speed)
	first := engine.freeAt - s.now + simEventTime
	t.RunningCalls++
	t.WaitingTokens += int(tokens)
	sent := s.now
	s.after(first, func() {
		t.WaitingTokens -= int(tokens)
		b.table.RecordPrefill(t, int(unshared), first)
		if !c.IsDedicated {
			b.samples.AddPrompt(t.Instance(), int(unshared), first, s.now)
		}
		if sent >= simWarmUp {
			s.calls++
			s.callsAt[t.ID]++
			if first <= simObjective {
				s.inTime++
			}
		}
	})
	stream := time.Duration(simAnswerEvents * float64(simEventTime) / engine.speed)
	s.after(first+stream, func() {
		t.RunningCalls--
		b.samples.AddStream(t.Instance(), simAnswerEvents+1, simAnswerEvents, stream, s.now)
	})
}

// setLatePauses lets all boxes have seen too long pauses of streams.
func (s *speedSim) setLatePauses() {
	for _, b := range s.boxes {
		recordStreams(b.table, 1)
	}
}

// askDedicated chooses the dedicated target with the shortest queue for a long prompt, or the target
// that caches its prefix if that is too long.
func (s *speedSim) askDedicated(c *Choice) {
	const maxQueue = 500 * time.Millisecond
	for _, t := range c.Dedicated {
		if s.engines[t.ID].freeAt < s.engines[c.Target.ID].freeAt {
			c.Target = t
		}
	}
	if c.IsDedicated && s.engines[c.Target.ID].freeAt-s.now > maxQueue {
		c.Target, c.IsDedicated = c.AffinityTarget, false
	}
}

func (s *speedSim) report(i int, b *speedBox) {
	s.after(time.Second, func() { s.report(i, b) })
	if !s.hasWeights || s.isCut {
		return
	}
	list := b.samples.Take(s.now)
	if s.change != nil {
		s.change(i, list)
	}
	for _, m := range list {
		s.control.Put(m, s.now)
	}
	s.control.Expire(s.now)
	b.samples.Acknowledge()
	_, has := b.speeds.Position(s.now)
	resp := &betweenv1.LeaseResponse{SpeedsList: "one"}
	resp.Speeds, resp.SpeedsRevision = s.control.ChangedAfter(has)
	if b.speeds.Apply(resp, s.now) {
		b.table.SetSpeeds(b.speeds.Speed, b.speeds.FreshUntil())
	} else {
		b.table.KeepSpeeds(b.speeds.FreshUntil())
	}
}

// shareInTime returns the share of the prompts whose first event came within simObjective.
func (s *speedSim) shareInTime() float64 { return float64(s.inTime) / float64(s.calls) }

// Guards against the imbalance of targets of uneven speed with equal shares, where the slow ones
// had queues while the fast ones were idle, and against weights that follow queues instead of
// speeds, which moved prefixes between equal targets to and fro.
func TestWeightsServeMorePromptsInTime(t *testing.T) {
	uneven, equal := []float64{0.6, 1, 1.6}, []float64{1}
	tests := map[string]struct {
		speeds    []float64
		perSecond float64
		// hasLatePauses is set if streams have too long pauses, so that long prompts go to dedicated
		// targets.
		hasLatePauses bool
		// gain is how much more of the prompts are served in time with weights at least.
		gain float64
	}{
		"uneven, 40% of the capacity":                    {speeds: uneven, perSecond: 150, gain: 0.05},
		"uneven, 64% of the capacity":                    {speeds: uneven, perSecond: 250, gain: 0.1},
		"uneven, dedicated targets, 27% of the capacity": {speeds: uneven, perSecond: 100, hasLatePauses: true, gain: 0.05},
		"uneven, dedicated targets, 40% of the capacity": {speeds: uneven, perSecond: 150, hasLatePauses: true, gain: 0.1},
		"uneven, dedicated targets, 53% of the capacity": {speeds: uneven, perSecond: 200, hasLatePauses: true, gain: 0.05},
		"equal, 40% of the capacity":                     {speeds: equal, perSecond: 150, gain: -0.01},
		"equal, 64% of the capacity":                     {speeds: equal, perSecond: 250, gain: -0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			without, with := newSpeedSim(1, test.perSecond, test.speeds...), newSpeedSim(1, test.perSecond, test.speeds...)
			without.hasWeights = false
			if test.hasLatePauses {
				without.setLatePauses()
				with.setLatePauses()
			}
			without.runUntil(simEnd)
			with.runUntil(simEnd)
			t.Logf("prompts in time: %.3f without weights, %.3f with them", without.shareInTime(), with.shareInTime())
			if gain := with.shareInTime() - without.shareInTime(); gain < test.gain {
				t.Errorf("prompts in time: %.3f without weights, %.3f with them, want a gain of %.2f", without.shareInTime(), with.shareInTime(), test.gain)
			}
		})
	}
}

// Guards against a thundering herd at a target whose speed is misreported, and against one
// box that shifts the calls of all.
func TestMisreportedSpeeds(t *testing.T) {
	faster := func(id string) func(m *betweenv1.SpeedSample) {
		return func(m *betweenv1.SpeedSample) {
			if id == "" || m.GetTarget() == id {
				m.PromptTime /= 10
				m.EventTime /= 10
			}
		}
	}
	slower := func(m *betweenv1.SpeedSample) { m.PromptTime, m.EventTime = 10*m.GetPromptTime(), 10*m.GetEventTime() }
	tests := map[string]struct {
		from   int
		change func(m *betweenv1.SpeedSample)
		// most is the most calls that a target may have, as a ratio to its fair share.
		most float64
	}{
		"all boxes, one target tenfold faster": {from: 0, change: faster("t7"), most: 2.4},
		"one box, all targets tenfold faster":  {from: simBoxes - 1, change: faster(""), most: 1.6},
		"one box, all targets tenfold slower":  {from: simBoxes - 1, change: slower, most: 1.6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSpeedSim(1, 150, 1)
			s.change = func(box int, list []*betweenv1.SpeedSample) {
				for _, m := range list {
					if box >= test.from {
						test.change(m)
					}
				}
			}
			s.runUntil(simEnd)
			for id, n := range s.callsAt {
				if share := float64(n) * simTargets / float64(s.calls); share > test.most {
					t.Errorf("%s got %.2f times its fair share, want at most %.2f", id, share, test.most)
				}
			}
			if share := s.shareInTime(); share < 0.88 {
				t.Errorf("%.3f of the prompts in time, want 0.88", share)
			}
		})
	}
}

// A target that slows to a tenth gets a small weight within 30 s, and 1 again after it has
// recovered.
func TestSlowedTarget(t *testing.T) {
	s := newSpeedSim(1, 150, 1)
	slowed := s.engines["t7"]
	s.after(30*time.Second, func() { slowed.speed = 0.1 })
	s.runUntil(60 * time.Second)
	weight := func() float64 { return s.boxes[0].table.byID["t7"].weight }
	if weight() > 0.5 {
		t.Fatalf("30 s after the target slowed down its weight is %.2f", weight())
	}
	slowed.speed = 1
	s.runUntil(120 * time.Second)
	if weight() != 1 {
		t.Fatalf("70 s after the target has recovered its weight is %.2f", weight())
	}
}

// Without answers of control all weights are 1 after the age at which speeds expire.
func TestWeightsExpireWithoutControl(t *testing.T) {
	s := newSpeedSim(1, 150, 0.6, 1, 1.6)
	s.runUntil(40 * time.Second)
	if weighted := s.boxes[0].table.WeightedTargets(simTargets); len(weighted) < simTargets/2 {
		t.Fatalf("%d targets have another weight than 1, want at least half of %d", len(weighted), simTargets)
	}
	s.isCut = true
	s.runUntil(40*time.Second + speed.MaxAge)
	for i, b := range s.boxes {
		b.table.ExpireSpeeds(s.now)
		if weighted := b.table.WeightedTargets(1); len(weighted) > 0 {
			t.Fatalf("box %d: %s has weight %.2f", i, weighted[0].ID, weighted[0].weight)
		}
	}
}
