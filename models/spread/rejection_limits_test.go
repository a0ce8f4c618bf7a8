// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spread

import (
	"testing"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
)

// Guards against a limit that ends by time while calls are sent that get no answer, as their callers leave.
func TestRejectionLimitHoldsWithoutAnswers(t *testing.T) {
	tests := map[string]struct {
		answers []rate.Statement
		at      time.Duration
		want    bool
	}{
		"no answer for 40 s":                   {at: 41 * time.Second, want: true},
		"no answer for two minutes":            {at: 121 * time.Second},
		"an answer without the limit ends it":  {answers: []rate.Statement{{Limit: rate.Unlimited, Sent: 3 * time.Second, Received: 4 * time.Second}}, at: 5 * time.Second},
		"an answer that may be older does not": {answers: []rate.Statement{{Limit: rate.Unlimited, Sent: 500 * time.Millisecond, Received: 4 * time.Second}}, at: 5 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := NewTable("dc")
			tb.Put(&statev1.RegisteredTarget{Id: "t", Service: "s", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 4}, 0)
			target := tb.byID["t"]
			tb.RecordRejectionLimit(target, rate.Statement{Limit: 1, Sent: 900 * time.Millisecond, Received: time.Second})
			for _, s := range test.answers {
				tb.RecordRejectionLimit(target, s)
			}
			if got := tb.HasRejectionLimit(target, test.at); got != test.want {
				t.Errorf("the target has a rejection limit: %v, want %v", got, test.want)
			}
		})
	}
}
