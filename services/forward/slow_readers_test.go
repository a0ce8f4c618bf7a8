// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/spread"
)

// Guards against a large body that is sent to a target that does not read, as the limits of the others are
// used up, and stays counted as a call that waits.
func TestSlowReadersLeaveNoWaiters(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		const start = 1000 * time.Second
		tb := spread.NewTable("dc")
		tb.SetFleet(rate.NewFleet("box", []string{"box"}, 0))
		for n := range 2 {
			tb.Put(&statev1.RegisteredTarget{Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "dc", State: statev1.RegisteredTarget_STATE_READY}, 0)
		}
		criteria := spread.Criteria{Service: "s", Exclude: map[string]bool{}, MaxWait: 600 * time.Millisecond}
		one := tb.Choose(criteria, start).Target
		two := tb.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{one.StartIdentity(): true}}, start).Target
		for _, x := range []*spread.Target{one, two} {
			tb.RecordStatement(x, rate.Statement{Limit: 4, Received: start - time.Minute})
		}
		f := &Forwarder{targets: tb, uploadStalls: map[*spread.Target]int{}}
		if stalled {
			f.uploadStalls[one] = 1
		}
		for tb.AcquireSend(two, false, start) {
		}
		sent := 0
		for range 2 { // large bodies
			avoiding := criteria
			avoiding.Avoid = f.slowReaders(windowBody + 1)
			if c := tb.Choose(avoiding, start); c.Target != nil && tb.AcquireSend(c.Target, false, start) {
				sent++
			}
		}
		for tb.AcquireSend(one, false, start) {
		}
		waiting := 0
		for range 6 {
			if c := tb.Choose(criteria, start+100*time.Millisecond); c.Backoff.Wait > 0 {
				waiting++
			}
		}
		if waiting != 4 {
			t.Errorf("stalled %v: %d sent, then %d calls may wait, want 4", stalled, sent, waiting)
		}
	}
}
