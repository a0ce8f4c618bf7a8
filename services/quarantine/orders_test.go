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
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// source returns what boxes follow.
func (w *ward) source() *gateway.MachineSource {
	return &gateway.MachineSource{Machine: w.machine, OutOfStep: func() time.Duration { return 0 }, Members: func() []string { return nil }}
}

// listFor returns the message that control sends to a box now.
func (w *ward) listFor(box int) *betweenv1.FollowResponse {
	return w.source().After(w.stores[box].Position())
}

// deliver hands a box a message of control.
func (w *ward) deliver(box int, r *betweenv1.FollowResponse) {
	if _, _, err := w.stores[box].Take(r); err != nil {
		w.t.Fatal(err)
	}
	w.boxes[box].Listed()
}

// ends has targets end under a call at a box.
func (w *ward) ends(box int, c quarantine.Content, targets ...string) {
	for _, t := range targets {
		w.boxes[box].Ended(c, t, quarantine.EarlyEnd)
	}
}

// told has a box report, which control acknowledges.
func (w *ward) told(box int) {
	if !w.boxes[box].report(context.Background()) {
		w.t.Fatal("control has not taken the report")
	}
}

// toldWithoutAnswer has a box report; control takes it and the answer is lost.
func (w *ward) toldWithoutAnswer(box int) {
	q := w.boxes[box]
	report := q.Report
	q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
		if err := report(ctx, r); err != nil {
			return err
		}
		r.Number = 0
		return errors.New("the answer was lost")
	}
	if q.report(context.Background()) {
		w.t.Fatal("the answer has come")
	}
	q.Report = report
}

// startAnew starts a box anew, which knows nothing then.
func (w *ward) startAnew(box int) {
	q := w.start()
	n := len(w.boxes) - 1
	w.boxes[box], w.stores[box] = q, w.stores[n]
	w.boxes, w.stores = w.boxes[:n], w.stores[:n]
}

// toldAfterTheList has a box report, and get the list that counts the report before
// control's acknowledgement.
func (w *ward) toldAfterTheList(box int) {
	q := w.boxes[box]
	report := q.Report
	q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
		err := report(ctx, r)
		w.deliver(box, w.listFor(box))
		return err
	}
	w.told(box)
	q.Report = report
}

// A call under which three targets ended, as far as a box can know, is held back there
// in whatever order reports, acknowledgements and lists come. Boxes used to forget what
// they had seen as soon as control had acknowledged it.
func TestThreeEndsHoldACallBackInAnyOrder(t *testing.T) {
	c := quarantine.Content{7}
	cases := map[string]func(w *ward){
		"acknowledged, then a list made before the report": func(w *ward) {
			w.ends(1, quarantine.Content{9}, "x1", "x2")
			w.told(1)
			w.ends(0, c, "t1", "t2", "t3")
			late := w.listFor(0)
			w.told(0)
			w.deliver(0, late)
		},
		"acknowledged, then cut off before any list": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.told(0)
			w.setCut(true)
			w.clock.Advance(5 * time.Minute)
		},
		"the third end comes while two are in a report under way": func(w *ward) {
			w.ends(0, c, "t1", "t2")
			q := w.boxes[0]
			report := q.Report
			q.Report = func(ctx context.Context, r *statev1.ReportCalls) error {
				w.ends(0, c, "t3")
				return report(ctx, r)
			}
			w.told(0)
			q.Report = report
			if !w.held(q, c) {
				w.t.Error("not held back after the first acknowledgement")
			}
			w.told(0)
		},
		"two ends acknowledged, the third one comes before the list": func(w *ward) {
			w.ends(0, c, "t1", "t2")
			w.told(0)
			w.ends(0, c, "t3")
		},
		"two ends on the list, the third one in a cut": func(w *ward) {
			w.ends(1, c, "t1", "t2")
			w.settle()
			w.setCut(true)
			w.ends(0, c, "t3")
		},
		"one end of its own counted, one of another box on the list, the third one in a cut": func(w *ward) {
			w.ends(0, c, "t1")
			w.settle()
			w.ends(1, c, "t2")
			w.settle()
			w.setCut(true)
			w.ends(0, c, "t3")
		},
		"late ends on the list, an early one in a cut": func(w *ward) {
			for i, weight := range []uint32{quarantine.LateEnd, quarantine.LateEnd, quarantine.LateEnd, quarantine.LateEnd} {
				w.boxes[1].Ended(c, fmt.Sprint("t", i), weight)
				w.settle()
			}
			w.setCut(true)
			w.ends(0, c, "t9")
		},
		"a trial after its time, one end in a cut": func(w *ward) {
			w.ends(1, c, "t1", "t2", "t3")
			w.settle()
			w.clock.Advance(10*time.Minute + time.Second)
			if err := w.report(context.Background(), &statev1.ReportCalls{}); err != nil {
				w.t.Fatal(err)
			}
			w.settle()
			w.setCut(true)
			w.ends(0, c, "t4")
		},
		"its time is over in a cut, then one end": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.settle()
			w.setCut(true)
			w.clock.Advance(10*time.Minute + overdue + time.Second)
			if w.held(w.boxes[0], c) {
				w.t.Error("held back after its time")
			}
			w.ends(0, c, "t4")
		},
		"the list that counts the report comes before its acknowledgement": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.toldAfterTheList(0)
		},
		"control's state is read from a snapshot between report and list": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.told(0)
			w.restore()
			w.deliver(0, w.listFor(0))
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWard(t, 2)
			play(w)
			if !w.held(w.boxes[0], c) {
				t.Error("not held back")
			}
		})
	}
}

// Control that has lost its state counts anew; boxes must not take its lists for old.
func TestListsOfControlThatHasLostItsState(t *testing.T) {
	w := newWard(t, 2)
	for n := range 5 {
		w.ends(0, quarantine.Content{byte(n)}, "t1", "t2", "t3")
		w.settle()
	}
	w.machine = control.NewMachine()
	w.quarantine.Log, w.quarantine.Machine = directLog{w.machine}, w.machine
	w.clock.Advance(time.Second)
	c := quarantine.Content{9}
	w.ends(1, c, "t1", "t2", "t3")
	w.settle()
	for i, q := range w.boxes {
		if !w.held(q, c) {
			t.Errorf("box %d has not taken the list", i)
		}
		if q.own.Has(c) {
			t.Errorf("box %d keeps ends that the list counts", i)
		}
	}
}

// restore has control read its state from a snapshot, as a new leader does.
func (w *ward) restore() {
	data, err := w.machine.Capture()()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.machine.Restore(data); err != nil {
		w.t.Fatal(err)
	}
}

// A call that nothing holds back any more goes again at each box: what a box keeps until
// the list counts it must not outlive a release, and an end must not count twice.
func TestACallIsReleasedInAnyOrder(t *testing.T) {
	c := quarantine.Content{7}
	cases := map[string]func(w *ward){
		"released before the box has seen a list that held it": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.told(0)
			w.deliver(1, w.listFor(1))
			w.boxes[1].Served(c)
			w.told(1)
			w.deliver(0, w.listFor(0))
		},
		"it ends well at the box between report and list": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.told(0)
			held := w.listFor(0)
			w.boxes[0].Served(c)
			w.deliver(0, held)
		},
		"released, then a report is sent again whose answer was lost": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.toldWithoutAnswer(0)
			w.deliver(1, w.listFor(1))
			w.boxes[1].Served(c)
			w.told(1)
			w.clock.Advance(time.Minute)
			w.told(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends told twice": func(w *ward) {
			w.ends(0, c, "t1", "t2")
			w.toldWithoutAnswer(0)
			w.told(0)
			w.ends(0, c, "t1", "t2")
			w.told(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends on the list and the same two of its own": func(w *ward) {
			w.ends(0, c, "t1", "t2")
			w.toldWithoutAnswer(0)
			w.deliver(0, w.listFor(0))
		},
		"two ends, it ends well here, later one more in a cut": func(w *ward) {
			w.setCut(true)
			w.ends(0, c, "t1", "t2")
			w.boxes[0].Served(c)
			w.clock.Advance(time.Minute)
			w.ends(0, c, "t3")
		},
		"no list comes, and its time is over": func(w *ward) {
			w.ends(0, c, "t1", "t2", "t3")
			w.told(0)
			w.setCut(true)
			w.clock.Advance(10*time.Minute + time.Second)
		},
		"three ends over more than the time for which calls are suspected": func(w *ward) {
			w.setCut(true)
			w.ends(0, c, "t1", "t2")
			w.clock.Advance(11 * time.Minute)
			w.ends(0, c, "t3")
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWard(t, 2)
			play(w)
			if w.held(w.boxes[0], c) {
				t.Error("held back")
			}
		})
	}
}

// The ends of a box leave its memory once the list counts them.
func TestEndsThatAreCountedAreDropped(t *testing.T) {
	c := quarantine.Content{7}
	cases := map[string]func(w *ward){
		"acknowledged, then listed": func(w *ward) {
			w.told(0)
			w.deliver(0, w.listFor(0))
		},
		"listed, then acknowledged": func(w *ward) {
			w.toldAfterTheList(0)
		},
		"listed, told again, and the list has not changed": func(w *ward) {
			w.toldWithoutAnswer(0)
			w.deliver(0, w.listFor(0))
			w.told(0)
			w.deliver(0, w.listFor(0))
		},
		"no list comes for longer than they count": func(w *ward) {
			w.told(0)
			w.clock.Advance(21 * time.Minute)
			w.boxes[0].Listed()
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWard(t, 1)
			w.ends(0, c, "t1", "t2", "t3")
			play(w)
			if w.boxes[0].own.Has(c) {
				t.Error("the ends are still kept")
			}
		})
	}
}
