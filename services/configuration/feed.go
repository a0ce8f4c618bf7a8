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
	// keepaliveInterval is the time between keepalive messages.
	keepaliveInterval = time.Second
	// silenceTimeout is how long an upstream may send nothing before the connection to it
	// is closed.
	silenceTimeout = 3 * time.Second
	// maxConfirmedAge is the age of an upstream's confirmation by control above which other
	// upstreams are tried.
	maxConfirmedAge = 4 * time.Second

	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Position is the state of a watcher's copy: the revisions of its configuration and
// of its quarantined calls.
type Position struct{ Revision, Quarantine uint64 }

// PositionOf returns the position in a watcher's request.
func PositionOf(r *betweenv1.WatchRequest) Position {
	return Position{Revision: r.GetRevision(), Quarantine: r.GetQuarantineRevision()}
}

// Source is the origin of a feed: the replicated state or a box's copy.
type Source interface {
	// Since returns the changes after a watcher's position.
	Since(has Position) *betweenv1.WatchResponse
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// MachineSource is the Source of a control box: its replicated state. Only committed
// entries are applied to it, so that changes in the feed are never reverted.
type MachineSource struct {
	Machine *control.Machine
	// SyncAge returns how long ago this box was last in sync with the control group.
	SyncAge func() time.Duration
}

// Since implements Source.
func (m MachineSource) Since(has Position) *betweenv1.WatchResponse {
	var resp *betweenv1.WatchResponse
	m.Machine.Read(func(st *state.State) {
		resp = changesSince(st, has.Revision)
		resp.Quarantine, resp.QuarantineRevision = st.Quarantine.ListedSince(has.Quarantine)
		resp.QuarantineReports = st.Quarantine.Reports()
	})
	resp.ConfirmedAgo = m.SyncAge().Milliseconds()
	return resp
}

// Changed implements Source.
func (m MachineSource) Changed() <-chan struct{} { return m.Machine.Changed() }

// Serve sends a watcher all changes after its position, and a keepalive message
// after keepaliveInterval without one, until the context is done or send fails.
func Serve(ctx context.Context, source Source, has Position, send func(*betweenv1.WatchResponse) error) error {
	ticker := time.NewTicker(keepaliveInterval)
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

// Follower keeps a Store up to date from an upstream.
type Follower struct {
	Box      string
	Store    *Store
	Recorder *timeline.Recorder
	Logger   *slog.Logger
	// Upstreams returns the addresses of upstreams in order of preference.
	Upstreams func() []string
	// Connect returns a client of the box at an address.
	Connect func(address string) betweenv1connect.ConfigurationServiceClient

	once  sync.Once
	ready chan struct{}
}

// Ready returns a channel that is closed once the store has accepted a message.
func (f *Follower) Ready() <-chan struct{} {
	f.once.Do(func() { f.ready = make(chan struct{}) })
	return f.ready
}

// Run follows the upstreams in turn until the context is done. After all have failed
// it waits, with exponential backoff.
func (f *Follower) Run(ctx context.Context) {
	ready := f.Ready()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = initialRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		for _, address := range f.Upstreams() {
			err := f.follow(ctx, address, func(fresh bool) {
				if fresh {
					wait.Reset()
				}
				select {
				case <-ready:
				default:
					close(f.ready)
				}
			})
			f.Logger.Debug("configuration feed ended", "upstream", address, "error", err)
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

// follow applies the messages of one upstream until the stream ends, nothing is
// received for silenceTimeout, or the upstream turns out to be outdated. progress is called
// after each message with whether control has confirmed the upstream within
// maxConfirmedAge.
func (f *Follower) follow(ctx context.Context, address string, progress func(fresh bool)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	has := f.Store.Position()
	r := &betweenv1.WatchRequest{Box: f.Box, Revision: has.Revision, QuarantineRevision: has.Quarantine}
	stream, err := f.Connect(address).Watch(ctx, connect.NewRequest(r))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(silenceTimeout)
		resp := stream.Msg()
		before := f.Store.Revision()
		current, err := f.Store.Apply(resp)
		if err != nil {
			return err
		}
		if !current {
			return errors.Errorf("upstream %s is at revision %d, older than the one of this box", address, resp.GetRevision())
		}
		if after := f.Store.Revision(); after != before {
			f.Recorder.Record("configuration", "", "revision "+strconv.FormatUint(after, 10)+" in force")
		}
		fresh := resp.GetConfirmedAgo() <= maxConfirmedAge.Milliseconds()
		progress(fresh)
		if !fresh {
			return errors.Errorf("upstream %s has lost the connection to control", address)
		}
	}
	return stream.Err()
}
