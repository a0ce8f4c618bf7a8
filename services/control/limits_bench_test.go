// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// BenchmarkLimits measures the leader's cost of limits for each report of a box, while
// every target changes its limit with every answer and each box reports as many limits
// as it may: one for each report with 360 boxes. The bytes are those of the limits in
// the report and in the answer.
func BenchmarkLimits(b *testing.B) {
	for _, targets := range []int{10, 100, 2900} {
		b.Run(fmt.Sprintf("%d targets", targets), func(b *testing.B) {
			f := newGateway(&testing.T{})
			put := &statev1.PutTargets{}
			for i := range targets {
				put.Targets = append(put.Targets, &statev1.RegisteredTarget{Id: fmt.Sprintf("i-%010d", i), Born: 5, Service: "s", Address: fmt.Sprintf("10.%d.%d.1:80", i/200, i%200), State: statev1.RegisteredTarget_STATE_READY, Sequence: 1})
			}
			if err := f.Submit(context.Background(), &statev1.Entry{Kind: &statev1.Entry_PutTargets{PutTargets: put}}); err != nil {
				b.Fatal(err)
			}
			const boxes = 360
			type known struct {
				list     string
				revision uint64
			}
			has := make([]known, boxes)
			sent, answered, n := 0, 0, 0
			for b.Loop() {
				box := n % boxes
				f.clock.Advance(time.Second / boxes)
				told := &betweenv1.TargetLimit{Target: fmt.Sprintf("i-%010d", n%targets), Born: 5, Service: "s", PerSecond: float64(1 + n%7), SentAgo: 20, ReceivedAgo: 10}
				resp := &betweenv1.LeaseResponse{}
				f.recordLimits(&betweenv1.LeaseRequest{Box: "box", Limits: []*betweenv1.TargetLimit{told}, LimitsList: has[box].list, LimitsRevision: has[box].revision}, resp)
				has[box] = known{resp.GetLimitsList(), resp.GetLimitsRevision()}
				sent += proto.Size(told)
				for _, m := range resp.GetLimits() {
					answered += proto.Size(m)
				}
				n++
			}
			b.ReportMetric(float64(sent)/float64(n), "B/report")
			b.ReportMetric(float64(answered)/float64(n), "B/answer")
		})
	}
}
