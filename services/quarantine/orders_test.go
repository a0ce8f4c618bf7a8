// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// followSource returns the source of the messages that boxes follow.
func (w *testCluster) followSource() *gateway.MachineSource {
	return &gateway.MachineSource{Machine: w.machine, Clock: clock.NewFake(), GroupSyncAge: func() time.Duration { return 0 }, Members: func() []string { return nil }}
}

// listFor returns the message that control sends to a box now.
func (w *testCluster) listFor(box int) *betweenv1.FollowResponse {
	return w.followSource().After(w.stores[box].Position())
}

// deliver applies a message of control at a box.
func (w *testCluster) deliver(box int, r *betweenv1.FollowResponse) {
	if _, err := w.stores[box].Apply(r); err != nil {
		w.t.Fatal(err)
	}
	w.boxes[box].ProcessList()
}

// endTargets has targets end during a call of a box.
func (w *testCluster) endTargets(box int, c quarantine.Digest, targets ...string) {
	for _, t := range targets {
		w.boxes[box].RecordEnd(c, t, quarantine.EarlyEnd)
	}
}

// sendReport has a box send its report, which control acknowledges.
func (w *testCluster) sendReport(box int) {
	if !w.boxes[box].report(context.Background()) {
		w.t.Fatal("control has not accepted the report")
	}
}

// sendReportLoseAnswer has a box send its report, which control accepts, and loses the
// acknowledgement.
func (w *testCluster) sendReportLoseAnswer(box int) {
	q := w.boxes[box]
	report := q.Report
	q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
		if err := report(ctx, r); err != nil {
			return err
		}
		r.Number = 0
		return errors.New("the answer is lost")
	}
	if q.report(context.Background()) {
		w.t.Fatal("report was acknowledged although the answer is lost")
	}
	q.Report = report
}

// restartBox restarts a box, which loses its state.
func (w *testCluster) restartBox(box int) {
	q := w.addBox()
	n := len(w.boxes) - 1
	w.boxes[box], w.stores[box] = q, w.stores[n]
	w.boxes, w.stores = w.boxes[:n], w.stores[:n]
}

// sendReportAfterList has a box send its report, and receive the list that includes it
// before the acknowledgement.
func (w *testCluster) sendReportAfterList(box int) {
	q := w.boxes[box]
	report := q.Report
	q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
		err := report(ctx, r)
		w.deliver(box, w.listFor(box))
		return err
	}
	w.sendReport(box)
	q.Report = report
}

// A call during which three targets ended, as far as a box can know, is held back there
// regardless of the order of reports, acknowledgements and lists. Boxes used to drop
// their own ends as soon as control had acknowledged them.
func TestThreeEndsHoldACallBackInAnyOrder(t *testing.T) {
	c := quarantine.Digest{7}
	cases := map[string]func(w *testCluster){
		"acknowledged, then a list from before the report": func(w *testCluster) {
			w.endTargets(1, quarantine.Digest{9}, "x1", "x2")
			w.sendReport(1)
			w.endTargets(0, c, "t1", "t2", "t3")
			late := w.listFor(0)
			w.sendReport(0)
			w.deliver(0, late)
		},
		"acknowledged, then cut off before any list": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReport(0)
			w.setCut(true)
			w.clock.Advance(5 * time.Minute)
		},
		"third end while a report with two is in flight": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2")
			q := w.boxes[0]
			report := q.Report
			q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
				w.endTargets(0, c, "t3")
				return report(ctx, r)
			}
			w.sendReport(0)
			q.Report = report
			if !w.isHeld(q, c) {
				w.t.Error("call is not held back after the first acknowledgement")
			}
			w.sendReport(0)
		},
		"two ends acknowledged, third one before the list": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2")
			w.sendReport(0)
			w.endTargets(0, c, "t3")
		},
		"two ends listed, third one while cut off": func(w *testCluster) {
			w.endTargets(1, c, "t1", "t2")
			w.exchangeAll()
			w.setCut(true)
			w.endTargets(0, c, "t3")
		},
		"own end and one of another box listed, third one while cut off": func(w *testCluster) {
			w.endTargets(0, c, "t1")
			w.exchangeAll()
			w.endTargets(1, c, "t2")
			w.exchangeAll()
			w.setCut(true)
			w.endTargets(0, c, "t3")
		},
		"late ends listed, early one while cut off": func(w *testCluster) {
			for i, weight := range []uint32{quarantine.LateEnd, quarantine.LateEnd, quarantine.LateEnd, quarantine.LateEnd} {
				w.boxes[1].RecordEnd(c, fmt.Sprint("t", i), weight)
				w.exchangeAll()
			}
			w.setCut(true)
			w.endTargets(0, c, "t9")
		},
		"released by control, then one end while cut off": func(w *testCluster) {
			w.endTargets(1, c, "t1", "t2", "t3")
			w.exchangeAll()
			w.clock.Advance(10*time.Minute + time.Second)
			if err := w.report(context.Background(), &statev1.ReportCalls{}); err != nil {
				w.t.Fatal(err)
			}
			w.exchangeAll()
			w.setCut(true)
			w.endTargets(0, c, "t4")
		},
		"released while cut off, then one end": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.exchangeAll()
			w.setCut(true)
			w.clock.Advance(10*time.Minute + releaseGrace + time.Second)
			if w.isHeld(w.boxes[0], c) {
				w.t.Error("call is held back beyond the end of its hold")
			}
			w.endTargets(0, c, "t4")
		},
		"list with the report arrives before the acknowledgement": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReportAfterList(0)
		},
		"control restored from a snapshot between report and list": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReport(0)
			w.restore()
			w.deliver(0, w.listFor(0))
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 2)
			run(w)
			if !w.isHeld(w.boxes[0], c) {
				t.Error("call is not held back")
			}
		})
	}
}

// Control that has lost its state starts counting anew. Boxes must not reject its lists
// as outdated.
func TestListsOfControlThatHasLostItsState(t *testing.T) {
	w := newTestCluster(t, 2)
	for n := range 5 {
		w.endTargets(0, quarantine.Digest{byte(n)}, "t1", "t2", "t3")
		w.exchangeAll()
	}
	w.machine = control.NewMachine()
	w.quarantine.Log, w.quarantine.Machine = directLog{w.machine}, w.machine
	w.clock.Advance(time.Second)
	c := quarantine.Digest{9}
	w.endTargets(1, c, "t1", "t2", "t3")
	w.exchangeAll()
	for i, q := range w.boxes {
		if !w.isHeld(q, c) {
			t.Errorf("box %d has not applied the list", i)
		}
		if q.pendingEnds.Contains(c) {
			t.Errorf("box %d keeps ends that the list includes", i)
		}
	}
}

// restore restores control from a snapshot of its state, as a new leader does.
func (w *testCluster) restore() {
	data, err := w.machine.Capture()()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.machine.Restore(data); err != nil {
		w.t.Fatal(err)
	}
}

// A released call can run again on each box: the ends that a box keeps until the list
// includes them must not outlive a release, and no end may count twice.
func TestCallIsReleasedInAnyOrder(t *testing.T) {
	c := quarantine.Digest{7}
	cases := map[string]func(w *testCluster){
		"released before the box received a list that holds it": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReport(0)
			w.deliver(1, w.listFor(1))
			w.boxes[1].RecordSuccess(c)
			w.sendReport(1)
			w.deliver(0, w.listFor(0))
		},
		"success on the box between report and list": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReport(0)
			held := w.listFor(0)
			w.boxes[0].RecordSuccess(c)
			w.deliver(0, held)
		},
		"released, then a report with a lost answer is sent again": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReportLoseAnswer(0)
			w.deliver(1, w.listFor(1))
			w.boxes[1].RecordSuccess(c)
			w.sendReport(1)
			w.clock.Advance(time.Minute)
			w.sendReport(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends reported twice": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2")
			w.sendReportLoseAnswer(0)
			w.sendReport(0)
			w.endTargets(0, c, "t1", "t2")
			w.sendReport(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends both listed and observed by the box": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2")
			w.sendReportLoseAnswer(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends, success on the box, later one more while cut off": func(w *testCluster) {
			w.setCut(true)
			w.endTargets(0, c, "t1", "t2")
			w.boxes[0].RecordSuccess(c)
			w.clock.Advance(time.Minute)
			w.endTargets(0, c, "t3")
		},
		"no list arrives before the end of the hold": func(w *testCluster) {
			w.endTargets(0, c, "t1", "t2", "t3")
			w.sendReport(0)
			w.setCut(true)
			w.clock.Advance(10*time.Minute + time.Second)
		},
		"three ends over more than the period of suspicion": func(w *testCluster) {
			w.setCut(true)
			w.endTargets(0, c, "t1", "t2")
			w.clock.Advance(11 * time.Minute)
			w.endTargets(0, c, "t3")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 2)
			run(w)
			if w.isHeld(w.boxes[0], c) {
				t.Error("call is held back")
			}
		})
	}
}

// A box drops its own ends once the list includes them.
func TestEndsThatAreCountedAreDropped(t *testing.T) {
	c := quarantine.Digest{7}
	cases := map[string]func(w *testCluster){
		"acknowledged, then listed": func(w *testCluster) {
			w.sendReport(0)
			w.deliver(0, w.listFor(0))
		},
		"listed, then acknowledged": func(w *testCluster) {
			w.sendReportAfterList(0)
		},
		"listed, reported again, list unchanged": func(w *testCluster) {
			w.sendReportLoseAnswer(0)
			w.deliver(0, w.listFor(0))
			w.sendReport(0)
			w.deliver(0, w.listFor(0))
		},
		"no list until the ends have expired": func(w *testCluster) {
			w.sendReport(0)
			w.clock.Advance(21 * time.Minute)
			w.boxes[0].ProcessList()
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 1)
			w.endTargets(0, c, "t1", "t2", "t3")
			run(w)
			if w.boxes[0].pendingEnds.Contains(c) {
				t.Error("box still keeps the ends")
			}
		})
	}
}
