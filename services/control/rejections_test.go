// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
)

// Rejection limits are passed on for as long as a box hears them; the lower of two that were heard at
// the same time applies.
func TestRejectionLimitsArePassedOn(t *testing.T) {
	limit := func(perSecond float64, age, hold int64) *betweenv1.RejectionLimit {
		return &betweenv1.RejectionLimit{Service: "s", PerSecond: perSecond, Age: age, Hold: hold}
	}
	tests := map[string]struct {
		told []*betweenv1.RejectionLimit
		// after is when the list is read.
		after time.Duration
		want  []*betweenv1.RejectionLimit
	}{
		"none":                          {},
		"one":                           {told: []*betweenv1.RejectionLimit{limit(4, 500, 60)}, want: []*betweenv1.RejectionLimit{limit(4, 500, 60)}},
		"the later one":                 {told: []*betweenv1.RejectionLimit{limit(4, 0, 60), limit(2, 900, 60)}, want: []*betweenv1.RejectionLimit{limit(4, 0, 60)}},
		"the lower one":                 {told: []*betweenv1.RejectionLimit{limit(4, 0, 60), limit(2, 50, 60)}, want: []*betweenv1.RejectionLimit{limit(2, 50, 60)}},
		"a hold time that differs much": {told: []*betweenv1.RejectionLimit{limit(4, 0, 60), limit(4, 0, 600)}, want: []*betweenv1.RejectionLimit{limit(4, 0, 114)}},
		"a similar hold time":           {told: []*betweenv1.RejectionLimit{limit(4, 0, 60), limit(4, 0, 80)}, want: []*betweenv1.RejectionLimit{limit(4, 0, 60)}},
		"no hold time":                  {told: []*betweenv1.RejectionLimit{limit(4, 0, 0)}, want: []*betweenv1.RejectionLimit{limit(4, 0, 0)}},
		"heard too long ago":            {told: []*betweenv1.RejectionLimit{limit(4, rejectionLimitLifetime.Milliseconds()+1, 60)}},
		"from the future":               {told: []*betweenv1.RejectionLimit{limit(4, -1, 60)}},
		"negative":                      {told: []*betweenv1.RejectionLimit{limit(-1, 0, 60)}},
		"not heard any more":            {told: []*betweenv1.RejectionLimit{limit(4, 0, 60)}, after: rejectionLimitLifetime + time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := rejectionLimits{}
			const now = 2 * time.Minute
			l.put(test.told, now)
			if diff := cmp.Diff(test.want, l.list(now+test.after), protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The number of services with a rejection limit is bounded.
func TestRejectionLimitsAreBounded(t *testing.T) {
	l := rejectionLimits{}
	for i := range 3 * maxRejectionLimits {
		l.put([]*betweenv1.RejectionLimit{{Service: string(rune(i)), PerSecond: 1}}, time.Minute)
	}
	if len(l) > maxRejectionLimits {
		t.Fatalf("%d services", len(l))
	}
}
