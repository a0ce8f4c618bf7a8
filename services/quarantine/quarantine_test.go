// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// directLog is a control group of one box.
type directLog struct{ machine *control.Machine }

func (d directLog) Propose(_ context.Context, data []byte) (any, error) {
	return d.machine.Apply(data), nil
}
func (d directLog) ReadBarrier() error { return nil }

// ward is some boxes with their quarantines before one control box.
type ward struct {
	t       *testing.T
	clock   *clock.Fake
	machine *control.Machine
	// quarantine is control's part.
	quarantine *control.Quarantine
	boxes      []*Service
	// stores are the copies of what control has, of each box.
	stores []*gateway.Store
	// cut says that control can't be reached.
	mu  sync.Mutex
	cut bool
}

func newWard(t *testing.T, boxes int) *ward {
	w := &ward{t: t, clock: clock.NewFake(), machine: control.NewMachine()}
	w.quarantine = &control.Quarantine{Log: directLog{w.machine}, Machine: w.machine, Clock: w.clock, Logger: logging.Discard()}
	for range boxes {
		w.start()
	}
	return w
}

// start adds a box that has just started.
func (w *ward) start() *Service {
	store := gateway.NewStore(w.clock)
	w.stores = append(w.stores, store)
	q := New(Options{List: &store.Quarantine, Clock: w.clock, Logger: logging.Discard(), Report: w.report})
	w.boxes = append(w.boxes, q)
	return q
}

func (w *ward) report(ctx context.Context, r *statev1.ReportCalls) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return errors.New("out of reach")
	}
	return w.quarantine.Report(ctx, r)
}

func (w *ward) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// settle has every box report, and, unless there is a cut, hear of control's list.
func (w *ward) settle() {
	for range 2 {
		for _, q := range w.boxes {
			q.report(context.Background())
		}
		if w.cut {
			continue
		}
		source := &gateway.MachineSource{Machine: w.machine, OutOfStep: func() time.Duration { return 0 }, Members: func() []string { return nil }}
		for i, q := range w.boxes {
			if _, _, err := w.stores[i].Take(source.After(w.stores[i].Position())); err != nil {
				w.t.Fatal(err)
			}
			q.Listed()
		}
	}
}

func (w *ward) held(q *Service, c quarantine.Content) bool {
	_, held := q.Held(c)
	return held
}

func TestBoxesLearnOfEachOthersEnds(t *testing.T) {
	w := newWard(t, 3)
	c := quarantine.Content{7}
	for i, q := range w.boxes {
		if w.held(q, c) {
			t.Fatalf("held back after %d ends", i)
		}
		q.Ended(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
		w.settle()
	}
	for i, q := range append(w.boxes, w.start()) {
		w.settle()
		left, held := q.Held(c)
		if !held || left != 10*time.Minute {
			t.Fatalf("box %d: held %v for %s", i, held, left)
		}
		if w.held(q, quarantine.Content{8}) {
			t.Fatal("another call is held back")
		}
	}
	w.clock.Advance(10*time.Minute + time.Second)
	if err := w.report(context.Background(), &statev1.ReportCalls{}); err != nil {
		t.Fatal(err)
	}
	w.settle()
	if w.held(w.boxes[0], c) {
		t.Fatal("held back after its time")
	}
}

// A call that ended well at another box a moment ago is not to blame when several
// targets end at the same moment.
func TestACallThatEndedWellElsewhere(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		held  bool
	}{
		"a moment ago": {pause: time.Second},
		"long ago":     {pause: time.Minute, held: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWard(t, 2)
			content := quarantine.Content{7}
			w.boxes[1].Served(content)
			w.clock.Advance(c.pause)
			for i := range 3 {
				w.boxes[0].Ended(content, fmt.Sprint("t", i), quarantine.EarlyEnd)
			}
			w.settle()
			if got := w.held(w.boxes[0], content); got != c.held {
				t.Fatalf("held %v", got)
			}
		})
	}
}

func TestACallThatEndsWellIsReleased(t *testing.T) {
	w := newWard(t, 2)
	c := quarantine.Content{7}
	for i := range 3 {
		w.boxes[0].Ended(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
	}
	w.settle()
	// It was on its way when it was held back.
	w.boxes[1].Served(c)
	w.settle()
	for i, q := range w.boxes {
		if w.held(q, c) {
			t.Fatalf("box %d holds a call back that ended well", i)
		}
	}
}

// A box that can't reach control goes by what it has seen itself, and tells control
// later.
func TestABoxThatIsCutOff(t *testing.T) {
	w := newWard(t, 2)
	c := quarantine.Content{7}
	w.setCut(true)
	for i := range 3 {
		w.boxes[0].Ended(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
		w.settle()
	}
	if !w.held(w.boxes[0], c) || w.held(w.boxes[1], c) {
		t.Fatal("only the box that saw the ends must hold the call back")
	}
	w.setCut(false)
	w.settle()
	if !w.held(w.boxes[0], c) || !w.held(w.boxes[1], c) {
		t.Fatal("the call must be held back everywhere after the cut")
	}
	w.setCut(true)
	w.clock.Advance(10*time.Minute + 2*time.Minute)
	if w.held(w.boxes[0], c) {
		t.Fatal("a box that is cut off holds a call back for ever")
	}
}

func TestWhatWaitsForControlIsBounded(t *testing.T) {
	w := newWard(t, 1)
	w.setCut(true)
	q := w.boxes[0]
	for i := range 3 * mostReported {
		q.Ended(quarantine.Content{byte(i), byte(i >> 8)}, "t", quarantine.EarlyEnd)
		q.report(context.Background())
	}
	if n := len(q.waiting.GetEnded()); n != mostReported {
		t.Fatalf("%d ends wait", n)
	}
}

// A list that is older than the one held changes nothing.
func TestListsMoveForwardOnly(t *testing.T) {
	s := gateway.NewStore(clock.NewFake())
	held := func(n byte) *statev1.QuarantinedCall {
		c := quarantine.Content{n}
		return &statev1.QuarantinedCall{Content: c[:], Held: true}
	}
	for _, r := range []*betweenv1.FollowResponse{
		{QuarantineRevision: 4, Quarantine: []*statev1.QuarantinedCall{held(1)}},
		{QuarantineRevision: 3},
		{QuarantineRevision: 4},
	} {
		if _, _, err := s.Take(r); err != nil {
			t.Fatal(err)
		}
	}
	if s.Quarantine.Row(quarantine.Content{1}) == nil {
		t.Fatal("an older list was taken")
	}
	if _, _, err := s.Take(&betweenv1.FollowResponse{QuarantineRevision: 5, Quarantine: []*statev1.QuarantinedCall{held(2)}}); err != nil {
		t.Fatal(err)
	}
	if s.Quarantine.Row(quarantine.Content{1}) != nil || s.Quarantine.Row(quarantine.Content{2}) == nil {
		t.Fatal("a newer list was not taken as a whole")
	}
}

// A call that had been held back was sent once more, and its target ended under it. Its box
// forgets what it has seen itself when control has acknowledged it, and control's list comes
// some time later: between the two nothing holds the call back. Evidence: beside load a copy
// sent right after a refusal was sent to a target; here nothing lies between but the list.
func TestACallStaysHeldBackUntilTheListHasIt(t *testing.T) {
	w := newWard(t, 1)
	q, c := w.boxes[0], quarantine.Content{7}
	for i := range 3 {
		q.Ended(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
	}
	if !w.held(q, c) {
		t.Fatal("not held back after three ends")
	}
	if !q.report(context.Background()) {
		t.Fatal("control has not taken the report")
	}
	if !w.held(q, c) {
		t.Error("not held back while control's list is on its way")
	}
	w.settle()
	if !w.held(q, c) {
		t.Error("not held back by control's list")
	}
}
