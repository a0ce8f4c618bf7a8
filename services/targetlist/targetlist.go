// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package targetlist follows what the platform publishes: the lagging list of
// targets, their load and their cache events.
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
	"havenwinch.dev/havenwinch/modules/periodic"
	"havenwinch.dev/havenwinch/services/engine"
)

const (
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	maxList      = 16 << 20
	// reportInterval is the time between looks at targets; reportsAtOnce
	// bounds how many are asked at each.
	reportInterval = 500 * time.Millisecond
	reportsAtOnce  = 8
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

// List is the platform's list.
type List struct {
	Version uint64  `json:"version"`
	Targets []Entry `json:"targets"`
}

// Lister reads the list; unchanged says that it is the same as last time.
type Lister interface {
	List(ctx context.Context) (list List, unchanged bool, err error)
}

// Reporter asks targets about themselves.
type Reporter interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	CacheEvents(ctx context.Context, address, epoch string, after uint64) (engine.CacheEvents, error)
}

// Targets is the table that is kept up to date.
type Targets interface {
	// TakeList takes a whole list in.
	TakeList(list []*target.Target)
	// Due returns the targets to ask next, at most n.
	Due(n int) []Question
	// TakeReport takes a target's answers in; err stands for a failed question.
	TakeReport(name string, load engine.Load, cache engine.CacheEvents, err error)
}

// Question names a target to ask, and where its cache events are known up to.
type Question struct {
	Name     string
	Address  string
	Epoch    string
	Sequence uint64
}

// HTTPLister reads the list over HTTP and asks only for changes.
type HTTPLister struct {
	URL    string
	client fasthttp.Client
	tag    string
}

// List implements Lister.
func (l *HTTPLister) List(ctx context.Context) (List, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.URL + "/targets")
	if l.tag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, l.tag)
	}
	l.client.MaxResponseBodySize = maxList
	if err := l.client.DoTimeout(req, resp, listTimeout); err != nil {
		return List{}, false, errors.Wrap(err, "the platform's list can't be read")
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return List{}, true, nil
	case fasthttp.StatusOK:
	default:
		return List{}, false, errors.Errorf("the platform's list answered with status %d", resp.StatusCode())
	}
	var list List
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return List{}, false, errors.Wrap(err, "the platform's list can't be parsed")
	}
	l.tag = string(resp.Header.Peek(fasthttp.HeaderETag))
	return list, false, nil
}

// Poller keeps the table up to date.
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

// PollList reads the list once. Without an answer the last list stays valid:
// serving what is known beats serving nothing.
func (p *Poller) PollList(ctx context.Context) {
	list, unchanged, err := p.Lister.List(ctx)
	if err != nil {
		p.Logger.Warn("keeping the last list of targets", "error", err)
		return
	}
	if !unchanged {
		p.Targets.TakeList(Rows(list))
	}
}

// Rows turns a list into rows; entries that make no sense are left out.
func Rows(list List) []*target.Target {
	var rows []*target.Target
	for _, e := range list.Targets {
		kind := target.Kind(e.Kind)
		if e.Name == "" || e.Address == "" || (kind != target.Engine && kind != target.Service) {
			continue
		}
		row := &target.Target{Name: e.Name, Address: e.Address, Kind: kind, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre, Listed: target.Live}
		if e.State != string(target.Live) {
			row.Listed = target.Leaving
		}
		rows = append(rows, row)
	}
	return rows
}

// PollReports asks a bounded number of targets.
func (p *Poller) PollReports(ctx context.Context) {
	var wg sync.WaitGroup
	for _, q := range p.Targets.Due(reportsAtOnce) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.ask(ctx, q)
		}()
	}
	wg.Wait()
}

func (p *Poller) ask(ctx context.Context, q Question) {
	load, err := p.Reporter.Load(ctx, q.Address)
	if err != nil {
		p.Targets.TakeReport(q.Name, load, engine.CacheEvents{}, err)
		return
	}
	cache, err := p.Reporter.CacheEvents(ctx, q.Address, q.Epoch, q.Sequence)
	p.Targets.TakeReport(q.Name, load, cache, err)
}

// Events turns cache events from their wire form; what can't be read is left
// out and shows as a gap.
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
