// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/disk"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/modules/raft"
	"havenwinch.dev/havenwinch/platform"
	"havenwinch.dev/havenwinch/routers/between"
	"havenwinch.dev/havenwinch/services/control"
	"havenwinch.dev/havenwinch/services/gateway"
)

// controlCloseTimeout bounds the shutdown of the control role's servers.
const controlCloseTimeout = 300 * time.Millisecond

// controlRole is a member of the control group. It replicates the state and serves
// other boxes, targets and operators.
type controlRole struct {
	*forwardBox
	machine *control.Machine
	member  *control.Member
	gateway *control.Gateway
	source  *gateway.MachineSource
	between *http.Server
	api     *fasthttp.Server
}

func newControlRole(b *forwardBox) (*controlRole, error) {
	dir, err := disk.Open(controlDir(b.Settings))
	if err != nil {
		return nil, err
	}
	r := &controlRole{forwardBox: b, machine: control.NewMachine()}
	transport := b.Peers.Consensus(nil)
	r.member = control.NewMember(control.MemberOptions{
		Self:       b.Settings.BetweenAddress(),
		Seeds:      b.Client.Addresses,
		FirstStart: b.Settings.FirstStart,
		Disk:       dir,
		Transport:  transport,
		Machine:    r.machine,
		Logger:     b.Logger,
		Node: func(members []string) raft.NodeOptions {
			return raft.NodeOptions{
				Options: raft.Options{
					Self: b.Settings.BetweenAddress(), Members: members,
					ElectionTimeout: b.Settings.ElectionTimeout, HeartbeatInterval: b.Settings.Heartbeat, Rand: newRand(),
					GroupSize: 2*b.Settings.Tolerated + 1, ReplaceAfter: replaceAfter,
				},
				Disk: dir, Transport: transport, Machine: r.machine, Clock: b.Clock, Logger: b.Logger,
				NewIncarnation: newIncarnation, CompactAfter: compactAfter,
			}
		},
	})
	r.source = &gateway.MachineSource{Machine: r.machine, Clock: b.Clock, GroupSyncAge: r.member.OutOfStep, Members: r.member.Members}
	r.gateway = &control.Gateway{
		Log: r.member, Machine: r.machine, Clock: b.Clock, Logger: b.Logger,
		Self: b.Settings.BetweenAddress(), Boot: clock.BootID(newIncarnation()), ReadRemoteClock: b.Client.ReadClock, Members: r.member.Members,
	}
	r.between = b.Peers.Server(between.NewGatewayHandler(between.GatewayOptions{
		Nodes:          r.member,
		Gateway:        r.gateway,
		Source:         r.source,
		Stopping:       b.workCtx,
		HandlerOptions: b.Peers.HandlerOptions(),
	}))
	r.api = (&platform.ControlAPI{
		Client:       b.Client,
		Registry:     &gateway.Registry{Lookup: r.lookupTarget, Client: b.Client, Clock: b.Clock},
		Version:      r.version,
		HasService:   r.hasService,
		Evacuation:   r.evacuation,
		DataCentres:  b.Settings.DataCentres,
		CountRefused: b.Metrics.EntryRefused,
		Logger:       b.Logger,
	}).Server()
	return r, nil
}

// replaceAfter is how long a member of the control group must be unreachable before
// another box replaces it.
const replaceAfter = 4 * time.Second

// compactAfter is the size of the log file, in bytes, after which a snapshot is taken.
// Entries after the snapshot are applied again after a restart.
const compactAfter = 1 << 20

// lookupTarget returns a registered target, nil if it isn't known.
func (r *controlRole) lookupTarget(id string) (t *statev1.RegisteredTarget) {
	r.machine.Read(func(s *state.State) { t = s.Routing.Targets[id] })
	return t
}

// hasService reports whether the routing table in force names a service. It is true for
// every service while there is no table.
func (r *controlRole) hasService(service string) (named bool) {
	r.machine.Read(func(s *state.State) {
		named = s.Routing.Table == nil || slices.ContainsFunc(s.Routing.Table.GetServices(), func(v *statev1.Service) bool { return v.GetName() == service })
	})
	return named
}

// evacuation returns the evacuation of a data centre, nil if it was never evacuated.
func (r *controlRole) evacuation(dataCentre string) (row *statev1.Evacuation) {
	r.machine.Read(func(s *state.State) { row = s.Routing.Evacuations.Of(dataCentre) })
	return row
}

func (r *controlRole) version() (version uint64) {
	r.machine.Read(func(s *state.State) { version = s.Routing.Version() })
	return version
}

func (r *controlRole) start() error {
	if _, err := r.serve("between-port", r.Settings.BetweenAddress(), r.between.Serve); err != nil {
		return err
	}
	if _, err := r.serve("registry-listen", r.Settings.RegistryListen, r.retryAccepts("registry-listen", r.api.Serve)); err != nil {
		return err
	}
	r.spawn(r.member.Run)
	r.spawn(r.gateway.WatchWallClocks)
	r.spawn(r.gateway.Quarantine().Watch)
	r.spawn(r.updateMembers)
	return nil
}

// updateMembers keeps the members of the control group in the box's own client up to
// date.
func (r *controlRole) updateMembers(ctx context.Context) {
	periodic.Run(ctx, time.Second, func(context.Context) { r.Client.SetMembers(r.member.Members()) })
}

func (r *controlRole) stop(context.Context) {
	r.cancelWork()
	ctx, cancel := context.WithTimeout(context.Background(), controlCloseTimeout)
	defer cancel()
	_ = r.api.ShutdownWithContext(ctx)
	_ = r.between.Shutdown(ctx)
	_ = r.between.Close()
}
