// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/periodic"
)

// quarantineInterval is the time between looks at whether a call's time in
// quarantine is over; a look reads one row.
const quarantineInterval = time.Second

// Quarantine takes what boxes report of calls under which targets ended, and ends
// what is due.
type Quarantine struct {
	Log     Log
	Machine *Machine
	Clock   clock.Clock
	Logger  *slog.Logger
}

// Report puts a report through the log, dated by this box, and logs the verdicts.
func (q *Quarantine) Report(ctx context.Context, r *statev1.ReportCalls) error {
	r.At = q.Clock.Wall().UnixMilli()
	answer, err := propose(ctx, q.Log, &statev1.Entry{Kind: &statev1.Entry_ReportCalls{ReportCalls: r}})
	if err != nil {
		return err
	}
	verdicts, ok := answer.([]quarantine.Verdict)
	if !ok {
		return errors.Errorf("the state answered a report of calls with %T: all control boxes must run one version", answer)
	}
	// Later reports may be counted already: a list that counts them counts this one.
	q.Machine.Read(func(s *state.State) { r.Number = s.Quarantine.Reports() })
	q.log(verdicts)
	return nil
}

// Watch ends what is due while this box leads, until the context ends.
func (q *Quarantine) Watch(ctx context.Context) {
	periodic.Run(ctx, quarantineInterval, func(ctx context.Context) {
		if !q.due() || q.Log.ReadBarrier() != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, quarantineInterval)
		defer cancel()
		if err := q.Report(ctx, &statev1.ReportCalls{}); err != nil {
			q.Logger.Warn("quarantined calls that are due were not ended", "reason", err.Error())
		}
	})
}

func (q *Quarantine) due() (due bool) {
	now := q.Clock.Wall().UnixMilli()
	q.Machine.Read(func(s *state.State) {
		at, any := s.Quarantine.Due()
		due = any && at <= now
	})
	return due
}

func (q *Quarantine) log(verdicts []quarantine.Verdict) {
	for _, v := range verdicts {
		if v.Held {
			q.Logger.Warn("call held back", "content", v.Content.String(), "targets_ended", v.Row.GetTargets(), "weight", v.Row.GetWeight(), "round", v.Row.GetRounds(), "until_unix_ms", v.Row.GetDue())
			continue
		}
		q.Logger.Info("call released", "content", v.Content.String(), "reason", v.Reason, "round", v.Row.GetRounds())
	}
}
