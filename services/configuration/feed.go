// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/timeline"
)

const (
	// signOfLife is the time between messages when nothing changes.
	signOfLife = time.Second
	// silence is how long an upstream may say nothing.
	silence = 3 * time.Second
	// maxAge is how old an upstream's confirmation may be before others are
	// tried.
	maxAge = 4 * time.Second

	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Position is what a watcher has: the revisions of its configuration and of its
// quarantined calls.
type Position struct{ Revision, Quarantine uint64 }

// PositionOf returns the position that a watcher names.
func PositionOf(r *betweenv1.WatchRequest) Position {
	return Position{Revision: r.GetRevision(), Quarantine: r.GetQuarantineRevision()}
}

// Source is where a feed comes from: the replicated state or a box's copy.
type Source interface {
	Since(has Position) *betweenv1.WatchResponse
	Changed() <-chan struct{}
}

// MachineSource feeds from the replicated state of a control box. Only what
// is committed is applied there, so what it feeds never reverts.
type MachineSource struct {
	Machine *control.Machine
	// Confirmed tells how long ago this box was last in touch with the group.
	Confirmed func() time.Duration
}

// Since implements Source.
func (m MachineSource) Since(has Position) *betweenv1.WatchResponse {
	var resp *betweenv1.WatchResponse
	m.Machine.Read(func(st *state.State) {
		resp = since(st, has.Revision)
		resp.Quarantine, resp.QuarantineRevision = st.Quarantine.After(has.Quarantine)
		resp.QuarantineReports = st.Quarantine.Reports()
	})
	resp.ConfirmedAgo = m.Confirmed().Milliseconds()
	return resp
}

// Changed implements Source.
func (m MachineSource) Changed() <-chan struct{} { return m.Machine.Changed() }

// Serve sends a watcher everything after what it has, until it leaves or the box
// stops.
func Serve(ctx context.Context, source Source, has Position, send func(*betweenv1.WatchResponse) error) error {
	ticker := time.NewTicker(signOfLife)
	defer ticker.Stop()
	for {
		changed := source.Changed()
		resp := source.Since(has)
		if err := send(resp); err != nil {
			return err
		}
		has.Revision = max(has.Revision, resp.GetRevision())
		has.Quarantine = max(has.Quarantine, resp.GetQuarantineRevision())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// Follower keeps a Store in step with an upstream.
type Follower struct {
	Box      string
	Store    *Store
	Recorder *timeline.Recorder
	Logger   *slog.Logger
	// Upstreams returns addresses in the order of preference.
	Upstreams func() []string
	Connect   func(address string) betweenv1connect.ConfigurationServiceClient

	once  sync.Once
	first chan struct{}
}

// Ready returns a channel that is closed after the first message.
func (f *Follower) Ready() <-chan struct{} {
	f.once.Do(func() { f.first = make(chan struct{}) })
	return f.first
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ready := f.Ready()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = retryFirst, retryMost
	for ctx.Err() == nil {
		for _, address := range f.Upstreams() {
			err := f.follow(ctx, address, func(fresh bool) {
				if fresh {
					wait.Reset()
				}
				select {
				case <-ready:
				default:
					close(f.first)
				}
			})
			f.Logger.Debug("a configuration feed ended", "upstream", address, "error", err)
			if ctx.Err() != nil {
				return
			}
		}
		sleep(ctx, wait.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follow takes messages of one upstream in until it fails, falls silent or
// turns out to be behind.
func (f *Follower) follow(ctx context.Context, address string, progress func(fresh bool)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	has := f.Store.Position()
	r := &betweenv1.WatchRequest{Box: f.Box, Revision: has.Revision, QuarantineRevision: has.Quarantine}
	stream, err := f.Connect(address).Watch(ctx, connect.NewRequest(r))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(silence)
		resp := stream.Msg()
		before := f.Store.Revision()
		current, err := f.Store.Take(resp)
		if err != nil {
			return err
		}
		if !current {
			return errors.Errorf("upstream %s is at revision %d, behind this box", address, resp.GetRevision())
		}
		if after := f.Store.Revision(); after != before {
			f.Recorder.Record("configuration", "", "revision "+strconv.FormatUint(after, 10)+" in force")
		}
		fresh := resp.GetConfirmedAgo() <= maxAge.Milliseconds()
		progress(fresh)
		if !fresh {
			return errors.Errorf("upstream %s has been cut off from control", address)
		}
	}
	return stream.Err()
}
