// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// keepaliveInterval is the time between keepalive messages.
	keepaliveInterval = 400 * time.Millisecond
	// batchDelay is how long changes are collected into one message.
	batchDelay = 60 * time.Millisecond
	// silenceTimeout is how long a control box may send nothing before another one
	// is followed.
	silenceTimeout = 1100 * time.Millisecond
	// maxSyncAge is how long ago the followed box may have been in sync with the
	// control group.
	maxSyncAge = 900 * time.Millisecond
	// syncWait is how long a control box that is out of sync lets a new follower wait,
	// and syncPoll the time between its checks.
	syncWait = 600 * time.Millisecond
	syncPoll = 25 * time.Millisecond
	// retryDelay is the delay between attempts to follow. firstRetryDelay is the one of a
	// box without a routing table: after a restart of the whole fleet control is
	// available within a second.
	retryDelay      = 150 * time.Millisecond
	firstRetryDelay = 50 * time.Millisecond
	// renewInterval is the time after which a follower asks anew, as the clocks of two boxes drift
	// apart, and soonRenewal that after a request that was on its way for longer than promptRequest.
	renewInterval = 30 * time.Second
	soonRenewal   = 2 * time.Second
	promptRequest = 100 * time.Millisecond
	// driftPart is the part of a time by which another box's clock may be fast, as a divisor: one
	// millisecond a second.
	driftPart = 1000
)

// errRenewal ends the following of a control box that is to be asked anew.
var errRenewal = errors.New("the control box is asked anew")

// Serve streams a source to a follower until the context is done or send fails. While the
// source is out of sync, its messages have no content, as a follower discards it: after a
// restart of the whole fleet all boxes ask each control box in turn, and the tables for them
// would take the time that control needs to elect a leader.
func Serve(ctx context.Context, source Source, r *betweenv1.FollowRequest, send func(*betweenv1.FollowResponse) error) error {
	asked := source.Now()
	has := Position{Version: r.GetRoutingVersion(), Targets: r.GetTargetRevision(), Quarantine: r.GetQuarantineRevision(), Evacuations: r.GetEvacuationRevision()}
	awaitSync(ctx, source)
	alive := time.NewTicker(keepaliveInterval)
	defer alive.Stop()
	for {
		changed := source.Changed()
		// The age is read before the content, which may be older than what comes into sync meanwhile.
		resp, elapsed, age := &betweenv1.FollowResponse{}, source.Now()-asked, source.Confirmed()
		if age <= maxSyncAge {
			resp = source.After(has)
		}
		resp.Elapsed, resp.Confirmed = elapsed.Milliseconds(), millisecondsUp(age)
		if err := send(resp); err != nil {
			return err
		}
		has.Version = max(has.Version, sentVersion(resp))
		has.Targets = max(has.Targets, resp.GetTargetRevision())
		has.Quarantine = max(has.Quarantine, resp.GetQuarantineRevision())
		has.Evacuations = max(has.Evacuations, resp.GetEvacuationRevision())
		select {
		case <-ctx.Done():
			return nil
		case <-alive.C:
		case <-changed:
			periodic.Sleep(ctx, batchDelay)
		}
	}
}

// millisecondsUp returns a duration in milliseconds, rounded up.
func millisecondsUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// awaitSync waits until a source is in sync, the context is done or syncWait has passed.
func awaitSync(ctx context.Context, source Source) {
	for range syncWait / syncPoll {
		if source.Confirmed() <= maxSyncAge || ctx.Err() != nil {
			return
		}
		periodic.Sleep(ctx, syncPoll)
	}
}

// maxLoggedTargets bounds how many targets of one message are logged individually.
const maxLoggedTargets = 12

// targetsToLog returns the targets of a message to log individually: at most
// maxLoggedTargets, and none if the message has all targets.
func targetsToLog(r *betweenv1.FollowResponse) []*statev1.RegisteredTarget {
	if r.GetAllTargets() {
		return nil
	}
	return r.GetTargets()[:min(maxLoggedTargets, len(r.GetTargets()))]
}

// sentVersion returns the version of the routing table that a message brings: as a
// delta, whole or compressed. It is zero if there is none.
func sentVersion(r *betweenv1.FollowResponse) uint64 {
	if r.GetDelta() != nil {
		return r.GetDelta().GetChanged().GetVersion()
	}
	return max(r.GetRouting().GetVersion(), r.GetPackedVersion())
}

// Follower keeps a store up to date from any control box that is in sync with the
// control group.
type Follower struct {
	Box    string
	Store  *Store
	Client *Client
	Logger *slog.Logger
	// OnChange, if not nil, is called after each message with what it changed.
	OnChange func(Changes)

	connected string
}

// Run follows one control box after the other until the context is done. Boxes begin with
// different ones: all know the same seeds, and a control box that had to send its tables to
// the whole fleet at once would take long.
func (f *Follower) Run(ctx context.Context) {
	for next := xxhash.Sum64String(f.Box); ctx.Err() == nil; next++ {
		addresses := f.Client.Addresses()
		if len(addresses) == 0 {
			periodic.Sleep(ctx, retryDelay)
			continue
		}
		address := addresses[next%uint64(len(addresses))]
		err := f.follow(ctx, address)
		for err == errRenewal {
			err = f.follow(ctx, address)
		}
		if ctx.Err() != nil {
			return
		}
		if f.connected == address {
			f.Logger.Warn("dependency lost", "dependency", "control", "address", address, "reason", err.Error(), "in_step_ms_ago", f.Store.Confirmed().Milliseconds())
			f.connected = ""
		}
		periodic.Sleep(ctx, f.delay())
	}
}

// delay returns the delay before the next attempt.
func (f *Follower) delay() time.Duration {
	if f.Store.Index() == nil {
		return firstRetryDelay
	}
	return retryDelay
}

// follow reads one control box's stream until it ends, sends nothing for silenceTimeout
// the box is out of sync, or it is time to ask anew. It always returns an error, errRenewal in the
// last case.
func (f *Follower) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	has, d := f.Store.Position(), dating{askedAt: f.Store.Now()}
	stream, err := f.Client.clientFor(address).Follow(ctx, connect.NewRequest(&betweenv1.FollowRequest{
		Box: f.Box, RoutingVersion: has.Version, TargetRevision: has.Targets, QuarantineRevision: has.Quarantine, EvacuationRevision: has.Evacuations,
	}))
	if err != nil {
		return errors.WithStack(err)
	}
	defer stream.Close()
	for stream.Receive() {
		silence.Reset(silenceTimeout)
		message := stream.Msg()
		if time.Duration(message.GetConfirmed())*time.Millisecond > maxSyncAge {
			return errors.Errorf("last in sync with the control group %d ms ago", message.GetConfirmed())
		}
		if f.connected != address {
			f.connected = address
			f.Logger.Info("dependency regained", "dependency", "control", "address", address)
		}
		if err := f.apply(message, d.madeAt(message)); err != nil {
			return err
		}
		if d.isOver(message, f.Store.Now()) {
			return errRenewal
		}
	}
	if stream.Err() == nil {
		return errors.New("the control box ended the stream")
	}
	return errors.WithStack(stream.Err())
}

// dating tells when the messages of a control box were made, by this box's boot clock. The time at which
// one is read proves nothing: it may have waited on its way or in the buffers of a box that stood still.
// The control box got the request after askedAt, and says how long before the making of the message.
type dating struct {
	askedAt time.Duration
	// renewAt is when the control box is to be asked anew, zero before the first message.
	renewAt time.Duration
}

// madeAt returns the boot time before which a message was not made.
func (d *dating) madeAt(r *betweenv1.FollowResponse) time.Duration {
	elapsed := time.Duration(r.GetElapsed()) * time.Millisecond
	return d.askedAt + elapsed - elapsed/driftPart
}

// isOver reports whether it is time to ask anew, after a message that was read by now.
func (d *dating) isOver(r *betweenv1.FollowResponse, now time.Duration) bool {
	if d.renewAt == 0 {
		d.renewAt = d.askedAt + renewInterval
		if now-d.madeAt(r) > promptRequest {
			d.renewAt = now + soonRenewal
		}
	}
	return now >= d.renewAt
}

func (f *Follower) apply(r *betweenv1.FollowResponse, madeAt time.Duration) error {
	changes, err := f.Store.ApplyMadeAt(r, madeAt)
	if err != nil {
		return err
	}
	f.Client.SetMembers(r.GetMembers())
	if changes.Table {
		t := f.Store.Index().Table
		f.Logger.Info("routing table in force", "version", t.GetVersion(), "routes", len(t.GetRoutes()), "organisations", len(t.GetPayers()), "changes_of", r.GetDelta().GetBase())
	}
	if changes.Targets {
		f.Logger.Info("targets known", "revision", r.GetTargetRevision(), "whole", r.GetAllTargets(), "rows", len(r.GetTargets()))
		for _, t := range targetsToLog(r) {
			f.Logger.Info("target seen", "target", t.GetId(), "service", t.GetService(), "address", t.GetAddress(), "born", t.GetBorn(), "software_version", t.GetVersion(), "state", t.GetState().String(), "cold_ms", t.GetCold(), "revision", t.GetRevision())
		}
	}
	if changes.Evacuations {
		f.Logger.Info("evacuations known", "revision", r.GetEvacuationRevision(), "evacuated", state.ActiveEvacuations(r.GetEvacuations()))
	}
	if f.OnChange != nil {
		f.OnChange(changes)
	}
	return nil
}
