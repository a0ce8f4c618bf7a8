// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"strconv"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/structs"
)

const rejectionField = "X-Rejections"

func newRejecting(t *testing.T, targets ...*target) (*Forwarder, *clock.Fake) {
	t.Helper()
	f, c := newLimited(t, &fakeLeases{}, targets...)
	f.opts.Dialect.RejectionLimit = rejectionField
	f.opts.Dialect.ReadRejectionLimit = func(text string) (float64, error) {
		n, err := strconv.ParseUint(text, 10, 32)
		return float64(n), err
	}
	return f, c
}

// Which answers set a rejection limit; one that can't be read counts as zero.
func TestReadRejectionLimit(t *testing.T) {
	tests := map[string]struct {
		answer  script
		limited bool
	}{
		"a valid limit":                    {answer: statesLimit(rejectionField + ": 4\r\n"), limited: true},
		"none":                             {answer: statesLimit("")},
		"negative":                         {answer: statesLimit(rejectionField + ": -4\r\n"), limited: true},
		"text":                             {answer: statesLimit(rejectionField + ": few\r\n"), limited: true},
		"empty":                            {answer: statesLimit(rejectionField + ":\r\n"), limited: true},
		"two fields":                       {answer: statesLimit(rejectionField + ": 4\r\n" + rejectionField + ": 4\r\n"), limited: true},
		"in an error answer":               {answer: rawResponse("HTTP/1.1 404 X\r\nX-Signed: s\r\nX-Id: ID\r\n" + rejectionField + ": 4\r\nContent-Length: 0\r\n\r\n"), limited: true},
		"in a rejection":                   {answer: rawResponse("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + rejectionField + ": 4\r\nContent-Length: 0\r\n\r\n"), limited: true},
		"by another target at the address": {answer: rawResponse("HTTP/1.1 421 X\r\n" + rejectionField + ": 4\r\nContent-Length: 0\r\n\r\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one := newTarget(t, "one", test.answer)
			f, c := newRejecting(t, one)
			_ = f.Serve(context.Background(), limitedCall(c, "safe"), &collector{})
			f.mu.Lock()
			defer f.mu.Unlock()
			if got := f.targets.HasRejectionLimit(f.targets.ByID("one"), c.Boot()); got != test.limited {
				t.Fatalf("limited %v, want %v", got, test.limited)
			}
		})
	}
}

// Guards against boxes that send freely to targets whose rejection limit only others have heard.
func TestRejectionLimitOfOthersIsObserved(t *testing.T) {
	one := newTarget(t, "one", repeated(10, statesLimit(rejectionField+": 0\r\n"))...)
	f, c := newRejecting(t, one)
	f.TakeLimits(nil, &betweenv1.LeaseResponse{LimitsList: "first", FleetTime: c.Wall().UnixMilli(), RejectionLimits: []*betweenv1.RejectionLimit{{Service: "s", PerSecond: 0, Age: 100}}}, nil)
	f.mu.Lock()
	f.targets.ByID("one").Slots = 8
	f.targets.ByID("one").RunningCalls = 8
	f.mu.Unlock()
	call := limitedCall(c, "safe")
	call.MaxWait = 20 * time.Millisecond
	err := f.Serve(context.Background(), call, &collector{})
	refusal, ok := err.(*Refusal)
	if !ok || refusal.Kind != structs.KindOverloaded || refusal.Run != structs.RunNo || refusal.RetryAfter <= 0 {
		t.Fatalf("%v, want a refusal with a time to come back", err)
	}
	if n := len(one.requests()); n != 0 {
		t.Fatalf("the target had %d requests", n)
	}
}
