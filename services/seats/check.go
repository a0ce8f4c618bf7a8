// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seats

import (
	"context"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/periodic"
)

// Two boxes may grant the seats of a pool: the first holder by the directory and, while that can't be
// reached, the second one. The second one takes over if the first one has ended or can't grant any, and halves the
// room if it is silent: it may still run, cut off from this box. A first holder without contact to
// control does the same, unless the second one says that it grants nothing. So the sum fits on both
// sides of a partition.

// holderState is what a check shows about the other holder of a pool.
type holderState int

const (
	// holderIdle means that it runs and grants no seats of the pool, holderActive that it grants some.
	holderIdle holderState = iota
	holderActive
	// holderEnded means that it can't grant any, as its process has ended or knows no directory, and
	// holderSilent that it doesn't answer.
	holderEnded
	holderSilent
	// holderUnknown means that this box lacked a resource to ask it.
	holderUnknown
)

// Holds reports whether this box grants the seats of a service in a data centre at present, and whether
// it would.
func (s *Server) Holds(service, centre string) (holds, canHold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := poolKey{service, centre}
	return s.pools[key] != nil, !s.isStopping && s.rank(key) >= 0
}

// other returns the other holder of a pool.
func (s *Server) other(key poolKey) (lease.Box, bool) {
	for _, b := range s.opts.Directory().SeatHolders(key.service, key.centre) {
		if b.Name != s.opts.Box && b.Address != "" {
			return b, true
		}
	}
	return lease.Box{}, false
}

// check asks the other holder of a pool whether it grants seats.
func (s *Server) check(ctx context.Context, key poolKey) holderState {
	b, ok := s.other(key)
	if !ok {
		return holderEnded
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	resp, err := s.opts.Connect(b.Address).Holds(ctx, connect.NewRequest(&betweenv1.HoldsRequest{Service: key.service, DataCentre: key.centre}))
	switch {
	case err == nil && resp.Msg.GetHolds():
		return holderActive
	case err == nil && !resp.Msg.GetCanHold():
		return holderEnded
	case err == nil || connect.CodeOf(err) == connect.CodeUnimplemented:
		return holderIdle
	case errors.Is(err, syscall.ECONNREFUSED):
		return holderEnded
	case dial.IsShortage(err):
		return holderUnknown
	default:
		return holderSilent
	}
}

// checkHolders checks the other holders of the pools of this box until ctx is done.
func (s *Server) checkHolders(ctx context.Context) {
	for ctx.Err() == nil {
		periodic.Sleep(ctx, CheckInterval)
		for key, isStandby := range s.poolsToCheck() {
			s.applyCheck(key, isStandby, s.check(ctx, key))
		}
	}
}

// poolsToCheck returns the pools of this box, and whether it holds them in the place of the first
// holder. A first holder in contact with control needs no check.
func (s *Server) poolsToCheck() map[poolKey]bool {
	hasContact := s.opts.HasContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[poolKey]bool{}
	for key, p := range s.pools {
		if p.isStandby || !hasContact {
			list[key] = p.isStandby
			continue
		}
		s.setHalved(key, p, false)
	}
	return list
}

// applyCheck gives a pool up to the first holder once that runs, or halves it while the other holder is
// silent or grants seats.
func (s *Server) applyCheck(key poolKey, isStandby bool, state holderState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[key]
	switch {
	case p == nil || p.isStandby != isStandby || state == holderUnknown:
	case isStandby && (state == holderIdle || state == holderActive):
		s.giveUp(key)
	case isStandby:
		s.setHalved(key, p, state == holderSilent)
	default:
		s.setHalved(key, p, state == holderSilent || state == holderActive)
	}
}

// setHalved sets whether the other half of a pool may be granted by another box. The caller holds s.mu.
func (s *Server) setHalved(key poolKey, p *heldPool, isHalved bool) {
	if p.IsHalved == isHalved {
		return
	}
	p.IsHalved = isHalved
	s.opts.Logger.Info("seats of targets halved", "service", key.service, "target_data_centre", key.centre, "halved", isHalved, "standby", p.isStandby)
}
