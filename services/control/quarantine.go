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

// releaseInterval is how often control checks for calls whose quarantine has
// expired. A check reads one row.
const releaseInterval = time.Second

// Quarantine commits boxes' reports of calls during which targets failed, and
// releases quarantined calls that are due.
type Quarantine struct {
	Log     Log
	Machine *Machine
	Clock   clock.Clock
	Logger  *slog.Logger
}

// Report commits a report with this box's time, sets its number and logs
// which calls are now held back or released.
func (q *Quarantine) Report(ctx context.Context, r *statev1.ReportCalls) error {
	r.At = q.Clock.Wall().UnixMilli()
	answer, err := propose(ctx, q.Log, &statev1.Entry{Kind: &statev1.Entry_ReportCalls{ReportCalls: r}})
	if err != nil {
		return err
	}
	verdicts, ok := answer.([]quarantine.Transition)
	if !ok {
		return errors.Errorf("the state answered a report of calls with %T: all control boxes must run one version", answer)
	}
	// The number may include later reports already: a list that contains those
	// contains this one, too.
	q.Machine.Read(func(s *state.State) { r.Number = s.Quarantine.Reports() })
	q.logTransitions(verdicts)
	return nil
}

// Watch releases calls that are due while this box is the leader, until the
// context is done.
func (q *Quarantine) Watch(ctx context.Context) {
	periodic.Run(ctx, releaseInterval, func(ctx context.Context) {
		if !q.hasDue() || q.Log.ReadBarrier() != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, releaseInterval)
		defer cancel()
		if err := q.Report(ctx, &statev1.ReportCalls{}); err != nil {
			q.Logger.Warn("failed to release quarantined calls that are due", "reason", err.Error())
		}
	})
}

func (q *Quarantine) hasDue() (due bool) {
	now := q.Clock.Wall().UnixMilli()
	q.Machine.Read(func(s *state.State) {
		at, any := s.Quarantine.Due()
		due = any && at <= now
	})
	return due
}

func (q *Quarantine) logTransitions(verdicts []quarantine.Transition) {
	for _, v := range verdicts {
		kind := "call"
		if v.Row.GetPart() {
			kind = "part of prompts"
		}
		if v.IsHeld {
			q.Logger.Warn(kind+" held back", "content", v.Content.String(), "targets_ended", v.Row.GetTargets(), "weight", v.Row.GetWeight(), "round", v.Row.GetRounds(), "until_unix_ms", v.Row.GetDue())
			continue
		}
		q.Logger.Info(kind+" released", "content", v.Content.String(), "reason", v.Reason, "round", v.Row.GetRounds())
	}
}
