// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resume

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/resume"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/tests/seeded"
)

const (
	// defaultSchedules is the number of random schedules.
	defaultSchedules = 400
	// scheduleStreams is how many streams begin in a schedule.
	scheduleStreams = 16
	// settleTime is longer than records and late messages are on their way.
	settleTime = 3 * time.Second
	// scheduleEpsilon is allowed beyond the limits for the work of the boxes, which takes no time here.
	scheduleEpsilon = time.Millisecond
)

// bubbleClock is the fake clock of a synctest bubble, with one boot for all boxes.
type bubbleClock struct{ booted time.Time }

func (c bubbleClock) Wall() time.Time     { return time.Now() }
func (c bubbleClock) Boot() time.Duration { return time.Since(c.booted) }

// scheduleBox is one box of a schedule. A box that starts again has a new service.
type scheduleBox struct {
	lease.Box
	service *Service
	dead    bool
	// side is the part of the network that the box is in.
	side int
}

// schedule is a fleet whose boxes end and start again, and whose network loses, delays, doubles and
// holds up messages and is cut in two.
type schedule struct {
	t *testing.T

	mu  sync.Mutex
	rng *rand.Rand
	// boxes are in the order of names.
	boxes     []*scheduleBox
	byAddress map[string]*scheduleBox
	directory *lease.Directory
	clock     bubbleClock
	// lost is the share of messages that are lost, and maxDelay the longest time that one takes.
	lost     float64
	maxDelay time.Duration
}

// beganStream is a stream of a schedule.
type beganStream struct {
	key     resume.Key
	id      software.Identity
	writer  *scheduleBox
	began   time.Duration
	expires time.Duration
}

func newSchedule(t *testing.T, seed int64) *schedule {
	rng := rand.New(rand.NewSource(seed))
	s := &schedule{t: t, rng: rng, byAddress: map[string]*scheduleBox{}, clock: bubbleClock{time.Now().Add(-time.Hour)}}
	sizes := []struct{ centres, boxes int }{{2, 6}, {3, 6}, {1, 6}, {6, 12}, {4, 24}, {8, 86}}
	size := sizes[rng.Intn(len(sizes))]
	if rng.Intn(40) == 0 {
		size.centres, size.boxes = 22, 360
	}
	var boxes []lease.Box
	for n := range size.boxes {
		boxes = append(boxes, lease.Box{Name: fmt.Sprintf("box-%d", n), DataCentre: fmt.Sprintf("dc-%d", n%size.centres), Address: fmt.Sprintf("address-%d", n)})
	}
	s.directory = lease.NewDirectory(boxes)
	for _, b := range boxes {
		box := &scheduleBox{Box: b}
		box.service = s.newService(box)
		s.boxes, s.byAddress[b.Address] = append(s.boxes, box), box
	}
	return s
}

func (s *schedule) newService(b *scheduleBox) *Service {
	return New(Options{
		Box: b.Name, DataCentre: b.DataCentre, Directory: func() *lease.Directory { return s.directory }, Clock: s.clock, Logger: logging.Discard(), Count: func(string) {},
		Connect: func(address string) betweenv1connect.StreamServiceClient {
			return &scheduleLink{s: s, from: b, to: s.byAddress[address]}
		},
	})
}

// scheduleLink is the client of one box at another one.
type scheduleLink struct {
	s        *schedule
	from, to *scheduleBox
}

// outcome is what a message has brought back.
type outcome[M any] struct {
	answer M
	err    error
}

// deliver passes a message on and its answer back, unless one of them is lost. What arrives after the
// sender has given up takes effect all the same.
func deliver[M any](ctx context.Context, l *scheduleLink, handle func(*Service) (M, error)) (answer M, err error) {
	s := l.s
	s.mu.Lock()
	refused, cut := l.to.dead, l.to.side != l.from.side
	lost, answerLost := s.rng.Float64() < s.lost, s.rng.Float64() < s.lost
	there, back := s.delay(), s.delay()
	doubled := s.rng.Intn(10) == 0
	s.mu.Unlock()
	if refused && !cut {
		return answer, connect.NewError(connect.CodeUnavailable, errors.New("connection refused"))
	}
	if cut || lost {
		<-ctx.Done()
		return answer, ctx.Err()
	}
	arrived := make(chan outcome[M], 1)
	go func() {
		time.Sleep(there)
		s.mu.Lock()
		service, dead := l.to.service, l.to.dead
		s.mu.Unlock()
		if dead {
			arrived <- outcome[M]{err: connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))}
			return
		}
		answer, err := handle(service)
		if doubled {
			_, _ = handle(service)
		}
		time.Sleep(back)
		if !answerLost {
			arrived <- outcome[M]{answer, err}
		}
	}()
	select {
	case <-ctx.Done():
		return answer, ctx.Err()
	case o := <-arrived:
		return o.answer, o.err
	}
}

// delay returns how long a message takes. The caller holds s.mu.
func (s *schedule) delay() time.Duration {
	if s.maxDelay == 0 {
		return 0
	}
	if s.rng.Intn(10) == 0 {
		return time.Duration(s.rng.Int63n(int64(10 * s.maxDelay)))
	}
	return time.Duration(s.rng.Int63n(int64(s.maxDelay)))
}

func (l *scheduleLink) Record(ctx context.Context, r *connect.Request[betweenv1.RecordRequest]) (*connect.Response[betweenv1.RecordResponse], error) {
	return deliver(ctx, l, func(s *Service) (*connect.Response[betweenv1.RecordResponse], error) {
		return connect.NewResponse(&betweenv1.RecordResponse{}), s.StoreRecord(r.Msg)
	})
}

func (l *scheduleLink) Find(ctx context.Context, r *connect.Request[betweenv1.FindRequest]) (*connect.Response[betweenv1.FindResponse], error) {
	return deliver(ctx, l, func(s *Service) (*connect.Response[betweenv1.FindResponse], error) {
		resp, err := s.LookUp(r.Msg)
		return connect.NewResponse(resp), err
	})
}

// disturb lets something happen to the boxes or to the network.
func (s *schedule) disturb() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boxes[s.rng.Intn(len(s.boxes))]
	switch s.rng.Intn(8) {
	case 0, 1:
		b.dead = true
	case 2:
		for _, other := range s.boxes {
			other.dead = other.dead || other.DataCentre == b.DataCentre
		}
	case 3, 4:
		s.restart(b)
	case 5:
		for _, other := range s.boxes {
			if other.DataCentre == b.DataCentre {
				other.side = 1
			}
		}
	case 6:
		b.side = 1 - b.side
	case 7:
		s.lost, s.maxDelay = []float64{0, 0.05, 0.3}[s.rng.Intn(3)], []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond}[s.rng.Intn(3)]
	}
}

// restart ends a box and starts it again. The caller holds s.mu.
func (s *schedule) restart(b *scheduleBox) { b.service, b.dead = s.newService(b), false }

// heal ends all faults, but dead boxes stay dead.
func (s *schedule) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.maxDelay = 0, 0
	for _, b := range s.boxes {
		b.side = 0
	}
}

// begin begins a stream at a random box that runs, and checks that its first event waits for the
// record, but not too long. It returns nil if no box runs.
func (s *schedule) begin(n int) *beganStream {
	s.mu.Lock()
	b := s.boxes[s.rng.Intn(len(s.boxes))]
	if b.dead {
		s.restart(b)
	}
	st := &beganStream{key: resume.KeyOf("o", "s", fmt.Sprint("attempt-", n)), id: software.Identity(fmt.Sprint("version v", s.rng.Intn(3))), writer: b, began: s.clock.Boot()}
	lifetime := time.Duration(10+s.rng.Intn(30)) * time.Second
	service := b.service
	s.mu.Unlock()
	st.expires = st.began + lifetime
	service.Record(context.Background(), st.key, st.id, lifetime)
	took := s.clock.Boot() - st.began
	if took > ackWait+scheduleEpsilon {
		s.t.Fatalf("the first event of stream %d waited for %s", n, took)
	}
	if took < ackWait && len(s.holders(st, func(*scheduleBox) bool { return true })) == 0 && s.canBeHeld(st) {
		s.t.Fatalf("the first event of stream %d left after %s before any other box had its record", n, took)
	}
	return st
}

// holders returns the boxes other than its own that run and have the record of a stream, of those for
// which is is true.
func (s *schedule) holders(st *beganStream, is func(*scheduleBox) bool) []*scheduleBox {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*scheduleBox
	for _, b := range s.boxes {
		if b == st.writer || b.dead || !is(b) {
			continue
		}
		if _, known := b.service.get(st.key); known {
			list = append(list, b)
		}
	}
	return list
}

// canBeHeld reports whether a box to which the stream may be recorded runs and is on the writer's side.
func (s *schedule) canBeHeld(st *beganStream) bool {
	p := st.writer.service.currentPlacement()
	lists := append([][]lease.Box{p.Near(st.key)}, p.Far(st.key)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range slices.Concat(lists...) {
		if box := s.byAddress[b.Address]; !box.dead && box.side == st.writer.side && !st.writer.service.isBlocked(b) {
			return true
		}
	}
	return false
}

// find looks for a stream from a box. No search may give another software than that of the stream, or
// take too long.
func (s *schedule) find(st *beganStream, at *scheduleBox) (found bool) {
	s.mu.Lock()
	service := at.service
	s.mu.Unlock()
	begun := s.clock.Boot()
	id, err := service.Find(context.Background(), st.key)
	if took := s.clock.Boot() - begun; took > findTimeout+scheduleEpsilon {
		s.t.Fatalf("a search took %s", took)
	}
	if err == nil && id != st.id {
		s.t.Fatalf("stream of %q found as one of %q", st.id, id)
	}
	return err == nil
}

// intn returns a random number below n.
func (s *schedule) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

// run plays the schedule: streams begin and callers return while all kinds of things happen; then the
// network heals, and each stream must be found wherever a box is asked that has to know.
func (s *schedule) run() {
	var streams []*beganStream
	for n := range scheduleStreams {
		streams = append(streams, s.begin(n))
		if s.intn(2) == 0 {
			s.disturb()
		}
		time.Sleep(time.Duration(s.intn(int(300 * time.Millisecond))))
		if at := s.boxes[s.intn(len(s.boxes))]; !at.dead {
			s.find(streams[s.intn(len(streams))], at)
		}
	}
	time.Sleep(settleTime)
	s.heal()
	for _, st := range streams {
		s.checkFound(st)
	}
	time.Sleep(time.Minute)
	for _, st := range streams {
		if at := s.boxes[s.intn(len(s.boxes))]; !at.dead && s.find(st, at) {
			s.t.Fatal("a stream is found after the end of its lifetime")
		}
	}
}

// checkFound checks that a stream is found from any box if a box in another data centre than its own
// has the record, and from the boxes of its data centre if one of them has.
func (s *schedule) checkFound(st *beganStream) {
	for range 4 {
		at := s.boxes[s.intn(len(s.boxes))]
		if at.dead || s.clock.Boot() >= st.expires {
			continue
		}
		holders := s.holders(st, func(b *scheduleBox) bool {
			return b.DataCentre != st.writer.DataCentre || b.DataCentre == at.DataCentre
		})
		if len(holders) > 0 && !s.find(st, at) {
			s.t.Fatalf("%s in %s does not find a stream of %s in %s that %s in %s has", at.Name, at.DataCentre, st.writer.Name, st.writer.DataCentre, holders[0].Name, holders[0].DataCentre)
		}
	}
}

// Guards against streams that go on at other software, that no box finds although one has the record,
// or whose first event waits, over random schedules of boxes that end and start again, cuts, and
// records that are lost, late and doubled.
func TestRandomSchedulesOfRecords(t *testing.T) {
	for seed := range seeded.Schedules(t, defaultSchedules) {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			newSchedule(t, int64(seed)).run()
		})
		if t.Failed() {
			return
		}
	}
}
