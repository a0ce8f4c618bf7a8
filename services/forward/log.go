// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Outcomes in logs and metrics, and log messages.
const (
	outcomeDone    = "done"
	outcomeBroken  = "broken off"
	outcomeLeft    = "caller left"
	messageDone    = "request done"
	messageRefused = "request refused"
	messageFailed  = "request failed"
)

// loggedParts returns the digests of the first parts of the prompt, for the log.
func (fl *inflightCall) loggedParts() (list []string) {
	for _, d := range fl.partDigests() {
		if len(list) == maxLoggedContents {
			break
		}
		list = append(list, d.String())
	}
	return list
}

// log writes the one log line of a call: what was decided, on what grounds, and the outcome.
func (fl *inflightCall) log(ctx context.Context, err error) {
	organisation := fl.payer.GetOrganisation()
	outcome, message, level := outcomeDone, messageDone, slog.LevelInfo
	var refusal *Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		outcome, message, level = string(refusal.Kind), messageRefused, slog.LevelWarn
	default:
		outcome, message, level = outcomeBroken, messageFailed, slog.LevelWarn
	}
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		outcome = outcomeLeft
	}
	fl.f.opts.Counter.Done(organisation, outcome)
	if fl.isReturn() {
		fl.f.opts.Counter.Returned(fl.service.GetName(), outcome)
	}
	now := fl.tick()
	attrs := []slog.Attr{
		slog.String("request", fl.call.ID),
		slog.String("outcome", outcome),
		slog.String("organisation", organisation),
		slog.String("route", fl.route.GetName()),
		slog.String("service", fl.service.GetName()),
		slog.Uint64("table_version", fl.tableVersion),
		slog.Any("targets", fl.sends),
		slog.Int64("ms", (now - fl.call.Arrived).Milliseconds()),
	}
	if fl.metered() {
		attrs = append(attrs,
			slog.Uint64("reserved", fl.reserved.Tokens), slog.Int64("reserve_ms", fl.reserveTime.Milliseconds()), slog.String("lease_holder", fl.reserved.Holder), slog.Uint64("lease_free", fl.leaseStatus.Free), slog.Uint64("budget_left", fl.leaseStatus.Left), slog.Uint64("budget_unallotted", fl.leaseStatus.Unallotted), slog.Int64("lease_age_ms", fl.leaseStatus.Age),
			slog.Uint64("input", fl.call.InputTokens), slog.Uint64("output_limit", fl.call.MaxOutputTokens), slog.Uint64("events", fl.events.count))
		attrs = append(attrs, fl.limitAttrs()...)
	}
	if fl.route.GetKind() == statev1.Route_KIND_STREAM {
		attrs = append(attrs, slog.Any("target_versions", fl.versions))
	}
	if fl.call.LastEvent >= 0 {
		attrs = append(attrs, slog.Int64("last_event", fl.call.LastEvent), slog.String("first_attempt", fl.call.FirstAttempt),
			slog.String("software", string(fl.software)), slog.String("software_from", fl.softwareSource))
	}
	if fl.sink.heads > 0 {
		attrs = append(attrs, slog.Int("heads", fl.sink.heads), slog.Bool("ended", fl.sink.ended))
	}
	if fl.lastChoice.LimitedTargets > 0 {
		attrs = append(attrs, slog.Int("limited_targets", fl.lastChoice.LimitedTargets), slog.Int64("waited_ms", fl.limitWait.Milliseconds()))
	}
	if len(fl.carriers) > 0 {
		attrs = append(attrs, slog.Any("carried_by", fl.carriers))
	}
	if fl.brokenOff {
		attrs = append(attrs, slog.String("content", fl.contentDigest().String()), slog.Int("body_bytes", len(fl.call.Body)), slog.Any("parts", fl.loggedParts()))
	}
	if fl.call.UnsharedTokens > 0 {
		attrs = append(attrs, slog.Uint64("own_tokens", fl.call.UnsharedTokens), slog.Int64("expected_reading_ms", fl.lastChoice.PrefillTime.Milliseconds()), slog.Bool("apart", fl.lastChoice.IsDedicated), slog.Int("readers_asked", len(fl.lastChoice.Dedicated)))
	}
	if fl.sink.firstByteAt > 0 {
		first := fl.sink.firstByteAt - fl.call.Arrived
		attrs = append(attrs, slog.Int64("first_ms", first.Milliseconds()), slog.Int64("longest_pause_ms", fl.sink.longestPause.Milliseconds()))
		fl.f.opts.Counter.FirstByte(fl.route.GetKind().String(), first)
	}
	if err != nil {
		attrs = append(attrs, slog.String("reason", err.Error()))
		if fl.stopReason != "" {
			attrs = append(attrs, slog.String("no_further_target", fl.stopReason))
		}
		if fl.deadline > 0 {
			attrs = append(attrs, slog.Int64("left_ms", fl.remaining().Milliseconds()))
		}
	}
	fl.f.opts.Logger.LogAttrs(context.Background(), level, message, attrs...)
}

// limitAttrs returns what a reservation that was not made at once was decided on, for the log.
func (fl *inflightCall) limitAttrs() (attrs []slog.Attr) {
	s := fl.leaseStatus
	if s.Limited {
		attrs = append(attrs, slog.Bool("lease_limited", true), slog.Int64("limit_wait_ms", s.Waited.Milliseconds()), slog.Uint64("tokens_ahead", s.Ahead), slog.Int64("available_in_ms", s.AvailableIn.Milliseconds()))
	}
	if s.Unreached {
		attrs = append(attrs, slog.Bool("holders_unreached", true))
	}
	return attrs
}
