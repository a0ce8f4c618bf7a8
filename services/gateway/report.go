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
	// reportInterval is the time between reports.
	reportInterval = 300 * time.Millisecond
	// presenceInterval is the time between reports of a box without leases.
	presenceInterval = time.Second
	// reportTimeout bounds one report, retries included.
	reportTimeout = 1500 * time.Millisecond
	// minReportInterval is the minimum time between two reports.
	minReportInterval = 15 * time.Millisecond
)

// ReportNow makes Run send the next report immediately.
func (l *Leases) ReportNow() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// Run sends reports periodically until the context is done.
func (l *Leases) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.urgent:
		}
		l.report(ctx)
		periodic.Sleep(ctx, minReportInterval)
	}
}

// Leave triggers a report. This and all further reports return the tokens that no
// request has reserved, and request none.
func (l *Leases) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.ReportNow()
}

// SendFinalReport sends a report after Leave. It is sent once more after the end of the last request, so that
// what that had reserved is returned, too.
func (l *Leases) SendFinalReport(ctx context.Context) { l.report(ctx) }

// age returns for how long this process has run.
func (l *Leases) age() time.Duration { return l.Clock.Boot() - l.startedAt }

func (l *Leases) report(ctx context.Context) {
	l.reporting.Lock()
	defer l.reporting.Unlock()
	r := l.request()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if l.Placement != nil {
		r.Readings = l.Placement.Readings()
		l.Placement.TellLimits(r)
	}
	began := l.Clock.Boot()
	resp, err := l.Client.Lease(ctx, r, l.age)
	l.handleAnswer(resp, l.Clock.Boot()-began, err)
	if r.GetLeaving() {
		l.Logger.Info("leases returned", "received", err == nil, "reserved", reservedIn(r))
	}
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

// reservedIn returns how many tokens a report says are reserved by running requests.
func reservedIn(r *betweenv1.LeaseRequest) (sum uint64) {
	for _, report := range r.GetReports() {
		sum += report.GetReserved()
	}
	return sum
}

// request returns the next report: with a new sample, or with the last one again if
// control has not confirmed it. It returns nil if no report is due yet.
func (l *Leases) request() *betweenv1.LeaseRequest {
	index := l.Store.Index()
	if index == nil {
		return nil
	}
	// The placement calls EntryBoxCount while it holds its own lock. Called with l.mu held, it
	// caused a deadlock, after which the box answered no requests.
	news := l.Placement != nil && l.Placement.HasLimits()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Boot()
	l.expireDraws(now)
	organisations, holds := l.organisationsToReport(index, now)
	if !holds && !news && !l.leaving && l.reportedAt > 0 && now-l.reportedAt < presenceInterval {
		return nil
	}
	l.reportedAt = now
	if l.leaving {
		l.table.ReturnAll()
	}
	if l.acked {
		l.acked = false
		l.sample++
		l.table.Sample(now)
		l.leavingSampled = l.leaving
	}
	r := &betweenv1.LeaseRequest{
		Holder: l.Holder, Box: l.Box, Leaving: l.leavingSampled, Sample: l.sample,
		Address: l.Address, DataCentre: l.DataCentre,
	}
	if l.directory != nil {
		r.Directory = l.directory.Version
	}
	for _, organisation := range organisations {
		row := l.table.Report(organisation, now)
		r.Reports = append(r.Reports, &betweenv1.LeaseReport{
			Organisation: row.Organisation, Returned: row.Returned, Spent: row.Spent, Reserved: row.Reserved,
			Basis: row.Basis, Rate: row.Rate, Need: row.Need, Advance: row.Advance,
		})
	}
	return r
}

// organisationsToReport returns the organisations to report on: those of which this box has a lease
// or should have one, and those of which it draws many tokens from other boxes. holds
// reports whether there are any of the first two kinds. The caller must hold l.mu.
func (l *Leases) organisationsToReport(index *routing.Index, now time.Duration) (list []string, holds bool) {
	for _, p := range index.Table.GetPayers() {
		if !p.GetLimited() {
			continue
		}
		name := p.GetOrganisation()
		held := l.table.ShouldReport(name) || l.shouldHold(name)
		if held || l.table.HasHighDrawRate(name, now) {
			list = append(list, name)
		}
		holds = holds || held
	}
	return list, holds
}

// shouldHold reports whether this box should have a lease of an organisation: by the
// directory, or because others can't draw at it. The caller must hold l.mu.
func (l *Leases) shouldHold(organisation string) bool {
	return l.Address == "" || l.directory.IsHolder(l.Box, l.DataCentre, organisation)
}

// handleAnswer handles control's answer to a report that took the given time, or the error
// instead of one.
func (l *Leases) handleAnswer(resp *betweenv1.LeaseResponse, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.ReportTime = took
	l.logConnection(err)
	if err != nil {
		return
	}
	l.acked = true
	now := l.Clock.Boot()
	l.answeredAt = now
	for _, g := range resp.GetGrants() {
		l.table.ApplyGrant(g.GetOrganisation(), g.GetAllotted(), g.GetKeep(), g.GetLeft(), now)
		l.table.Of(g.GetOrganisation()).Unallotted = g.GetUnallotted()
	}
	if resp.GetHolders() > 0 {
		l.holders = int(resp.GetHolders())
	}
	l.setDirectory(resp.GetDirectory())
	l.decideWaiting()
	if len(l.waiting) > 0 {
		// Their tokens are not in the sample that control has acknowledged.
		l.ReportNow()
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// setDirectory sets the directory, if d is not nil. The caller must hold l.mu.
func (l *Leases) setDirectory(d *betweenv1.Directory) {
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

// logConnection logs when the connection to control is lost or regained. The caller must
// hold l.mu.
func (l *Leases) logConnection(err error) {
	touch := err == nil
	if touch == l.connected {
		return
	}
	l.connected = touch
	if touch {
		l.Logger.Info("dependency regained", "dependency", "leases", "sample", l.sample)
		return
	}
	l.Logger.Warn("dependency lost", "dependency", "leases", "sample", l.sample, "reason", err.Error())
}
