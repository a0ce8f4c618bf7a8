// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// wallClockInterval is how often the members' wall clocks are read, and
	// wallClockMaxAge the age above which a reading is discarded.
	wallClockInterval = time.Second
	wallClockMaxAge   = 4 * time.Second
)

// wallClockReading is a reading of a member's wall clock, in Unix milliseconds. The member
// read it at the given boot time of this box, or earlier.
type wallClockReading struct {
	at   int64
	boot time.Duration
}

// WatchWallClocks reads the wall clocks of the control group's members periodically
// while this box is the leader, until the context is done.
func (g *Gateway) WatchWallClocks(ctx context.Context) {
	periodic.Run(ctx, wallClockInterval, func(ctx context.Context) {
		if g.Log.ReadBarrier() != nil {
			return
		}
		for _, member := range g.Members() {
			if at, known := g.wallClockOf(ctx, member); known {
				g.setWallClock(member, wallClockReading{at: at, boot: g.Clock.Boot()})
			}
		}
	})
}

func (g *Gateway) setWallClock(member string, r wallClockReading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wallClocks == nil {
		g.wallClocks = map[string]wallClockReading{}
	}
	g.wallClocks[member] = r
}

// wallClocksAt extrapolates the members' wall clocks to a boot time of this box. The
// caller must hold g.mu.
func (g *Gateway) wallClocksAt(at time.Duration) []*statev1.DayTime {
	var list []*statev1.DayTime
	for member, r := range g.wallClocks {
		if at-r.boot > wallClockMaxAge {
			delete(g.wallClocks, member)
			continue
		}
		list = append(list, &statev1.DayTime{Box: member, At: r.at + (at - r.boot).Milliseconds()})
	}
	return list
}
