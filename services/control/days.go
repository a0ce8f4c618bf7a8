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
	// dayInterval is the time between looks at the members' times of day, and
	// dayStale the age above which a look does not count.
	dayInterval = time.Second
	dayStale    = 4 * time.Second
)

// dayReading is a member's time of day at a boot time of this box, or later.
type dayReading struct {
	at   int64
	boot time.Duration
}

// WatchDays keeps the members' times of day while this box leads.
func (g *Gateway) WatchDays(ctx context.Context) {
	periodic.Run(ctx, dayInterval, func(ctx context.Context) {
		if g.Log.ReadBarrier() != nil {
			return
		}
		for _, member := range g.Members() {
			if at, known := g.dayOf(ctx, member); known {
				g.putDay(member, dayReading{at: at, boot: g.Clock.Boot()})
			}
		}
	})
}

func (g *Gateway) putDay(member string, r dayReading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.days == nil {
		g.days = map[string]dayReading{}
	}
	g.days[member] = r
}

// daysAt returns the members' times of day at a boot time of this box; the
// caller holds the lock.
func (g *Gateway) daysAt(at time.Duration) []*statev1.DayTime {
	var list []*statev1.DayTime
	for member, r := range g.days {
		if at-r.boot > dayStale {
			delete(g.days, member)
			continue
		}
		list = append(list, &statev1.DayTime{Box: member, At: r.at + (at - r.boot).Milliseconds()})
	}
	return list
}
