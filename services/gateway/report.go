// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/routing"
	"havenwinch.dev/havenwinch/modules/periodic"
)

const (
	// leaseInterval is the time between reports.
	leaseInterval = 300 * time.Millisecond
	// presenceInterval is the time between reports of a box that has no leases.
	presenceInterval = time.Second
	// leaseTimeout bounds one report with all its tries.
	leaseTimeout = 1500 * time.Millisecond
	// urgentPause is the shortest time between two reports.
	urgentPause = 15 * time.Millisecond
)

// Hurry makes the next report come at once.
func (l *Leases) Hurry() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// Run reports until the context ends.
func (l *Leases) Run(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.urgent:
		}
		l.report(ctx)
		periodic.Sleep(ctx, urgentPause)
	}
}

// Leave makes this and all further reports give back what no request has
// reserved, and ask for nothing.
func (l *Leases) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.Hurry()
}

// Return reports a last time, after Leave and the last request.
func (l *Leases) Return(ctx context.Context) { l.report(ctx) }

func (l *Leases) report(ctx context.Context) {
	l.reporting.Lock()
	defer l.reporting.Unlock()
	r := l.request()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if l.Placement != nil {
		r.Readings = l.Placement.Readings()
		l.Placement.TellLimits(r)
	}
	resp, err := l.Client.Lease(ctx, r)
	l.take(resp, err)
	if l.Placement == nil {
		return
	}
	if err != nil {
		resp = nil
	} else {
		l.Placement.SetReadings(resp.GetReadings())
	}
	l.Placement.TakeLimits(r, resp, l.Directory())
}

// request takes a new sample, or repeats the last one until control has it. It
// returns nil when there is nothing to say yet.
func (l *Leases) request() *betweenv1.LeaseRequest {
	index := l.Store.Index()
	if index == nil {
		return nil
	}
	// The placement has a lock of its own, under which it asks how many boxes there are:
	// asked under this one, both waited for each other and the box answered nobody.
	news := l.Placement != nil && l.Placement.HasLimits()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	l.expireDraws(now)
	organisations, holds := l.reports(index, now)
	if !holds && !news && !l.leaving && l.reported > 0 && now-l.reported < presenceInterval {
		return nil
	}
	l.reported = now
	if l.leaving {
		l.table.ReturnAll()
	}
	if l.acked {
		l.acked = false
		l.sample++
		l.table.Sample(now)
		l.left = l.leaving
	}
	r := &betweenv1.LeaseRequest{
		Holder: l.Holder, Box: l.Box, Leaving: l.left, Age: (now - l.started).Milliseconds(), Sample: l.sample,
		Address: l.Address, DataCentre: l.DataCentre,
	}
	if l.directory != nil {
		r.Directory = l.directory.Version
	}
	for _, organisation := range organisations {
		row := l.table.Report(organisation, now)
		r.Reports = append(r.Reports, &betweenv1.LeaseReport{
			Organisation: row.Organisation, Returned: row.Returned, Spent: row.Spent, Reserved: row.Reserved,
			Basis: row.Basis, Rate: row.Rate, Need: row.Need,
		})
	}
	return r
}

// reports returns the organisations that control has to hear of: those of which
// this box has a lease or should have one, and those that it draws on much
// elsewhere. Holds tells whether there are any of the first two kinds. The
// caller holds the lock.
func (l *Leases) reports(index *routing.Index, now time.Duration) (list []string, holds bool) {
	for _, p := range index.Table.GetPayers() {
		if !p.GetLimited() {
			continue
		}
		name := p.GetOrganisation()
		held := l.table.InUse(name) || l.holds(name)
		if held || l.table.Heavy(name, now) {
			list = append(list, name)
		}
		holds = holds || held
	}
	return list, holds
}

func (l *Leases) holds(organisation string) bool {
	return l.Address == "" || l.directory.Holds(l.Box, l.DataCentre, organisation)
}

func (l *Leases) take(resp *betweenv1.LeaseResponse, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched(err)
	if err != nil {
		return
	}
	l.acked = true
	now := l.Clock.Boot()
	l.answered = now
	for _, g := range resp.GetGrants() {
		l.table.Granted(g.GetOrganisation(), g.GetAllotted(), g.GetKeep(), g.GetLeft(), now)
		l.table.Of(g.GetOrganisation()).Unallotted = g.GetUnallotted()
	}
	if resp.GetHolders() > 0 {
		l.holders = int(resp.GetHolders())
	}
	l.learn(resp.GetDirectory())
	close(l.changed)
	l.changed = make(chan struct{})
}

// learn takes a new directory in; the caller holds the lock.
func (l *Leases) learn(d *betweenv1.Directory) {
	if d == nil {
		return
	}
	boxes := make([]lease.Box, 0, len(d.GetBoxes()))
	for _, b := range d.GetBoxes() {
		boxes = append(boxes, lease.Box{Name: b.GetName(), Address: b.GetAddress(), DataCentre: b.GetDataCentre()})
	}
	l.directory = lease.NewDirectory(boxes)
	l.Logger.Info("directory of entry boxes in force", "version", l.directory.Version, "boxes", len(boxes))
}

// touched logs when control is lost or regained.
func (l *Leases) touched(err error) {
	touch := err == nil
	if touch == l.inTouch {
		return
	}
	l.inTouch = touch
	if touch {
		l.Logger.Info("dependency regained", "dependency", "leases", "sample", l.sample)
		return
	}
	l.Logger.Warn("dependency lost", "dependency", "leases", "sample", l.sample, "reason", err.Error())
}
