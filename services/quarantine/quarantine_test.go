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

// directLog is the log of a control group with a single box.
type directLog struct{ machine *control.Machine }

func (d directLog) Propose(_ context.Context, data []byte) (any, error) {
	return d.machine.Apply(data), nil
}
func (d directLog) ReadBarrier() error { return nil }

// testCluster is a cluster of some boxes and one control box.
type testCluster struct {
	t       *testing.T
	clock   *clock.Fake
	machine *control.Machine
	// quarantine is the quarantine service of control.
	quarantine *control.Quarantine
	boxes      []*Service
	// stores are the boxes' copies of control's state.
	stores []*gateway.Store
	// cut is set while control can't be reached.
	mu    sync.Mutex
	isCut bool
}

func newTestCluster(t *testing.T, boxes int) *testCluster {
	w := &testCluster{t: t, clock: clock.NewFake(), machine: control.NewMachine()}
	w.quarantine = &control.Quarantine{Log: directLog{w.machine}, Machine: w.machine, Clock: w.clock, Logger: logging.Discard()}
	for range boxes {
		w.addBox()
	}
	return w
}

// addBox adds a newly started box.
func (w *testCluster) addBox() *Service {
	store := gateway.NewStore(w.clock)
	w.stores = append(w.stores, store)
	q := New(Options{List: &store.Quarantine, Clock: w.clock, Logger: logging.Discard(), Report: w.report})
	w.boxes = append(w.boxes, q)
	return q
}

func (w *testCluster) report(ctx context.Context, r *statev1.ReportCalls) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isCut {
		return errors.New("control is unreachable")
	}
	return w.quarantine.Report(ctx, r)
}

func (w *testCluster) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = cut
}

// exchangeAll has every box send its report and, unless control is cut off, receive
// control's list. It does so twice, so that the boxes see each other's reports.
func (w *testCluster) exchangeAll() {
	for range 2 {
		for _, q := range w.boxes {
			q.report(context.Background())
		}
		if w.isCut {
			continue
		}
		source := &gateway.MachineSource{Machine: w.machine, Clock: clock.NewFake(), GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }}
		for i, q := range w.boxes {
			if _, err := w.stores[i].Apply(source.After(w.stores[i].Position())); err != nil {
				w.t.Fatal(err)
			}
			q.ProcessList()
		}
	}
}

func (w *testCluster) isHeld(q *Service, c quarantine.Digest) bool {
	_, held := q.HoldLeft(c)
	return held
}

func TestBoxesLearnOfEachOthersEnds(t *testing.T) {
	w := newTestCluster(t, 3)
	c := quarantine.Digest{7}
	for i, q := range w.boxes {
		if w.isHeld(q, c) {
			t.Fatalf("call is held back after %d ends", i)
		}
		q.RecordEnd(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
		w.exchangeAll()
	}
	for i, q := range append(w.boxes, w.addBox()) {
		w.exchangeAll()
		left, held := q.HoldLeft(c)
		if !held || left != 10*time.Minute {
			t.Fatalf("box %d: call is held back: %v, for %s", i, held, left)
		}
		if w.isHeld(q, quarantine.Digest{8}) {
			t.Fatal("another call is held back as well")
		}
	}
	w.clock.Advance(10*time.Minute + time.Second)
	if err := w.report(context.Background(), &statev1.ReportCalls{}); err != nil {
		t.Fatal(err)
	}
	w.exchangeAll()
	if w.isHeld(w.boxes[0], c) {
		t.Fatal("call is held back beyond the end of its hold")
	}
}

// A call that has recently succeeded on another box is not blamed when several targets
// end at the same moment.
func TestCallThatSucceededOnAnotherBox(t *testing.T) {
	cases := map[string]struct {
		pause  time.Duration
		isHeld bool
	}{
		"recently": {pause: time.Second},
		"long ago": {pause: time.Minute, isHeld: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 2)
			content := quarantine.Digest{7}
			w.boxes[1].RecordSuccess(content)
			w.clock.Advance(c.pause)
			for i := range 3 {
				w.boxes[0].RecordEnd(content, fmt.Sprint("t", i), quarantine.EarlyEnd)
			}
			w.exchangeAll()
			if got := w.isHeld(w.boxes[0], content); got != c.isHeld {
				t.Fatalf("call is held back: %v", got)
			}
		})
	}
}

func TestSuccessfulCallIsReleased(t *testing.T) {
	w := newTestCluster(t, 2)
	c := quarantine.Digest{7}
	for i := range 3 {
		w.boxes[0].RecordEnd(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
	}
	w.exchangeAll()
	// The call was already running there when it was held back.
	w.boxes[1].RecordSuccess(c)
	w.exchangeAll()
	for i, q := range w.boxes {
		if w.isHeld(q, c) {
			t.Fatalf("box %d holds back a call that has succeeded", i)
		}
	}
}

// A box that can't reach control decides by the ends it has observed itself, and reports
// them later.
func TestBoxCutOffFromControl(t *testing.T) {
	w := newTestCluster(t, 2)
	c := quarantine.Digest{7}
	w.setCut(true)
	for i := range 3 {
		w.boxes[0].RecordEnd(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
		w.exchangeAll()
	}
	if !w.isHeld(w.boxes[0], c) || w.isHeld(w.boxes[1], c) {
		t.Fatal("call is not held back on exactly the box that observed the ends")
	}
	w.setCut(false)
	w.exchangeAll()
	if !w.isHeld(w.boxes[0], c) || !w.isHeld(w.boxes[1], c) {
		t.Fatal("call is not held back on all boxes after control is reachable again")
	}
	w.setCut(true)
	w.clock.Advance(10*time.Minute + 2*time.Minute)
	if w.isHeld(w.boxes[0], c) {
		t.Fatal("box that is cut off from control holds a call back forever")
	}
}

func TestReportQueueIsBounded(t *testing.T) {
	w := newTestCluster(t, 1)
	w.setCut(true)
	q := w.boxes[0]
	for i := range 3 * maxQueued {
		q.RecordEnd(quarantine.Digest{byte(i), byte(i >> 8)}, "t", quarantine.EarlyEnd)
		q.report(context.Background())
	}
	if n := len(q.queued.GetEnded()); n != maxQueued {
		t.Fatalf("%d ends are queued, want the maximum", n)
	}
}

// A list with an older revision than the present one is ignored.
func TestOlderListIsIgnored(t *testing.T) {
	s := gateway.NewStore(clock.NewFake())
	held := func(n byte) *statev1.QuarantinedCall {
		c := quarantine.Digest{n}
		return &statev1.QuarantinedCall{Content: c[:], Held: true}
	}
	for _, r := range []*betweenv1.FollowResponse{
		{QuarantineRevision: 4, Quarantine: []*statev1.QuarantinedCall{held(1)}},
		{QuarantineRevision: 3},
		{QuarantineRevision: 4},
	} {
		if _, err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	if s.Quarantine.Row(quarantine.Digest{1}) == nil {
		t.Fatal("older list was applied")
	}
	if _, err := s.Apply(&betweenv1.FollowResponse{QuarantineRevision: 5, Quarantine: []*statev1.QuarantinedCall{held(2)}}); err != nil {
		t.Fatal(err)
	}
	if s.Quarantine.Row(quarantine.Digest{1}) != nil || s.Quarantine.Row(quarantine.Digest{2}) == nil {
		t.Fatal("newer list has not replaced the old one")
	}
}

// Guards against a gap between the acknowledgement of a report and the list that includes
// it. Boxes used to drop their own ends with the acknowledgement, so that nothing held the
// call back until the list arrived: under load, a repetition right after a refusal was
// sent to a target.
func TestACallStaysHeldBackUntilTheListHasIt(t *testing.T) {
	w := newTestCluster(t, 1)
	q, c := w.boxes[0], quarantine.Digest{7}
	for i := range 3 {
		q.RecordEnd(c, fmt.Sprint("t", i), quarantine.EarlyEnd)
	}
	if !w.isHeld(q, c) {
		t.Fatal("call is not held back after three ends")
	}
	if !q.report(context.Background()) {
		t.Fatal("control has not accepted the report")
	}
	if !w.isHeld(q, c) {
		t.Error("call is not held back between the acknowledgement and the list")
	}
	w.exchangeAll()
	if !w.isHeld(q, c) {
		t.Error("call is not held back by control's list")
	}
}
