// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package targetlist polls the platform's list of targets, which lags behind the actual
// state, and the load and cache events that the targets report.
package targetlist

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/httpcall"
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/engine"
)

const (
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	maxList      = 16 << 20
	// reportInterval is the time between polls of the targets, reportsPerPoll the maximum
	// number of targets queried in each.
	reportInterval = 500 * time.Millisecond
	reportsPerPoll = 8
)

// Entry is one target of the list.
type Entry struct {
	Name       string   `json:"name"`
	Address    string   `json:"address"`
	Kind       string   `json:"kind"`
	Service    string   `json:"service"`
	Models     []string `json:"models"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
}

// List is the platform's list of targets.
type List struct {
	Version uint64  `json:"version"`
	Targets []Entry `json:"targets"`
}

// Lister reads the list of targets.
type Lister interface {
	// List returns the list. If unchanged is set, the list is the same as at the last
	// call and list is empty.
	List(ctx context.Context) (list List, unchanged bool, err error)
}

// Reporter queries targets.
type Reporter interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	CacheEvents(ctx context.Context, address, epoch string, after uint64) (engine.CacheEvents, error)
}

// Targets is the table of targets that the poller keeps up to date.
type Targets interface {
	// ReplaceList replaces the list. Targets that are not in it are removed.
	ReplaceList(list []*target.Target)
	// NextQueries returns the targets to query next, at most n.
	NextQueries(n int) []TargetQuery
	// ApplyReport applies the answers of a target. err is set if a query failed.
	ApplyReport(name string, load engine.Load, cache engine.CacheEvents, err error)
}

// TargetQuery is a target to query. Epoch and Sequence are those of the last cache event that
// is known.
type TargetQuery struct {
	Name     string
	Address  string
	Epoch    string
	Sequence uint64
}

// HTTPLister reads the list over HTTP. It uses the ETag so that an unchanged list is not
// transferred again.
type HTTPLister struct {
	URL string
	// Memory is what the list is counted in while it is read; nil for no limit.
	Memory *bytebudget.Budget
	etag   string
}

// List implements Lister.
func (l *HTTPLister) List(ctx context.Context) (List, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	conn, err := httpcall.DialURL(ctx, l.URL, listTimeout)
	if err != nil {
		return List{}, false, errors.Wrap(err, "fetching the list of targets")
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	answer, err := l.ask(conn)
	if err != nil {
		return List{}, false, errors.Wrap(err, "fetching the list of targets")
	}
	switch answer.Status {
	case fasthttp.StatusNotModified:
		return List{}, true, nil
	case fasthttp.StatusOK:
	default:
		return List{}, false, errors.Errorf("fetching the list of targets: unexpected status %d", answer.Status)
	}
	list, err := l.parse(answer)
	if err != nil {
		return List{}, false, errors.Wrap(err, "parsing the list of targets")
	}
	l.etag = answer.Field("etag")
	return list, false, nil
}

func (l *HTTPLister) ask(conn *httpcall.Conn) (*httpcall.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(l.URL + "/targets")
	if l.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, l.etag)
	}
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	return conn.ReadAnswer()
}

func (l *HTTPLister) parse(answer *httpcall.Answer) (List, error) {
	body, err := httpcall.ReadBody(answer.Body, maxList, l.Memory)
	if err != nil {
		return List{}, err
	}
	defer body.Close()
	var wire struct {
		List
		Targets json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(body.Bytes(), &wire); err != nil {
		return List{}, errors.WithStack(err)
	}
	// Without it all targets would be removed.
	if wire.Targets == nil {
		return List{}, errors.New("the list has no field \"targets\"")
	}
	err = json.Unmarshal(wire.Targets, &wire.List.Targets)
	return wire.List, errors.WithStack(err)
}

// Poller keeps a table of targets up to date.
type Poller struct {
	Lister   Lister
	Reporter Reporter
	Targets  Targets
	Logger   *slog.Logger
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		periodic.Run(ctx, listInterval, p.PollList)
	}()
	go func() {
		defer wg.Done()
		periodic.Run(ctx, reportInterval, p.PollReports)
	}()
	wg.Wait()
}

// PollList reads the list once. If that fails the last list stays in use, since serving from
// an outdated list is better than not serving.
func (p *Poller) PollList(ctx context.Context) {
	list, unchanged, err := p.Lister.List(ctx)
	if err != nil {
		p.Logger.Warn("reading the list of targets failed, keeping the last one", "error", err)
		return
	}
	if !unchanged {
		p.Targets.ReplaceList(TargetsOf(list))
	}
}

// TargetsOf converts a list. It skips entries without a name or an address and those of an unknown
// kind. A target in an unknown state is taken to be leaving.
func TargetsOf(list List) []*target.Target {
	var rows []*target.Target
	for _, e := range list.Targets {
		kind := target.Kind(e.Kind)
		if e.Name == "" || e.Address == "" || (kind != target.Engine && kind != target.Service) {
			continue
		}
		row := &target.Target{Name: e.Name, Address: e.Address, Kind: kind, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre, ListedState: target.Live}
		if e.State != string(target.Live) {
			row.ListedState = target.Leaving
		}
		rows = append(rows, row)
	}
	return rows
}

// PollReports queries at most reportsPerPoll targets in parallel.
func (p *Poller) PollReports(ctx context.Context) {
	var wg sync.WaitGroup
	for _, q := range p.Targets.NextQueries(reportsPerPoll) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.query(ctx, q)
		}()
	}
	wg.Wait()
}

func (p *Poller) query(ctx context.Context, q TargetQuery) {
	load, err := p.Reporter.Load(ctx, q.Address)
	if err != nil {
		p.Targets.ApplyReport(q.Name, load, engine.CacheEvents{}, err)
		return
	}
	cache, err := p.Reporter.CacheEvents(ctx, q.Address, q.Epoch, q.Sequence)
	p.Targets.ApplyReport(q.Name, load, cache, err)
}

// Events converts the cache events of an engine. It skips events whose block can't be parsed,
// which leaves a gap in the sequence numbers.
func Events(page engine.CacheEvents) []target.CacheEvent {
	events := make([]target.CacheEvent, 0, len(page.Events))
	for _, e := range page.Events {
		block, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, target.CacheEvent{Sequence: e.Sequence, Evicted: e.Op == "evict", Block: target.Block(block)})
	}
	return events
}
