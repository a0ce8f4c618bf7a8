// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// TestEndedRequestsLeaveNothing checks that an ended request with a deadline far
// ahead takes no memory after the window of its record.
func TestEndedRequestsLeaveNothing(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New(Options{RetentionWindow: time.Minute, BoxTimeout: time.Second}, "one", start, 0)
	l.SetAllotted("b", 1000)
	now := Times{Wall: start}
	for i := range 100 {
		key := fmt.Sprint(i)
		l.Reserve(&statev1.RequestRecord{Group: "g", Key: key, Budget: "b", Bound: 1, Deadline: start.Add(24 * time.Hour).UnixMilli()}, "box", now)
		l.Start("g", key, StartOptions{Attempt: 1, Target: "e"}, now)
		l.Settle("g", key, Bill{Attempt: 1, Used: 1}, now)
	}
	if len(l.expiries) != 100 {
		t.Errorf("%d expiries for 100 records", len(l.expiries))
	}
	l.Expire(Times{Wall: start.Add(2 * time.Minute)})
	if len(l.Requests)+len(l.expiries)+len(l.expiryByKey)+len(l.openByBox)+len(l.pendingClaims) != 0 {
		t.Errorf("%d records and %d expiries are left", len(l.Requests), len(l.expiries))
	}
}
