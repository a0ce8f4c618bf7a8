// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Engine is the model of a model server: requests run in batches, and prompts are prefilled piecewise, in
// the gaps between the tokens of other requests.
type Engine struct {
	// PrefillPerMs is how many prompt tokens are read in a millisecond, Step the time of a step, StepPerRun
	// what each running request adds to it, and Stride the tokens of an event.
	PrefillPerMs     float64
	Step, StepPerRun time.Duration
	Stride           int
	// KVBytes and LinkMbps give the time of a copy.
	KVBytes, LinkMbps float64
	// ReportLag is how old a report is.
	ReportLag time.Duration
	// OnOrder is called with each order to copy a run, and with its answer's status; may be nil.
	OnOrder func(o Order, status int)
	// Find returns the engine at an address.
	Find func(address string) *Engine

	server  *Server
	mu      sync.Mutex
	wake    *sync.Cond
	queue   []*run
	running []*run
	byID    map[string]*run
	copies  map[string]*run
	reports []report
}

// Order is an order to copy a run.
type Order struct {
	ID     string `json:"id"`
	Target string `json:"target_version"`
	Last   bool   `json:"last"`
}

// run is one request at an engine.
type run struct {
	id              string
	unread, context int
	made, limit     int
	events          chan int
	stopped         chan struct{}
	ended           bool
}

type report struct {
	at             time.Time
	queued, active int
	runs           [][]any
}

const (
	chunkTokens  = 2048
	pairsPerMs   = 1e6 / 0.124
	maxEvents    = 4096
	copySetup    = 5 * time.Millisecond
	reportPeriod = 50 * time.Millisecond
)

var handles atomic.Int64

func (e *Engine) start(s *Server) {
	e.server, e.byID, e.copies = s, map[string]*run{}, map[string]*run{}
	e.wake = sync.NewCond(&e.mu)
	go e.work()
	go e.watch()
}

// stop ends all runs.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.byID {
		e.end(r)
	}
}

func (e *Engine) watch() {
	for {
		e.mu.Lock()
		p := report{at: time.Now(), queued: max(0, len(e.queue)-1), active: len(e.running)}
		for _, r := range append(append([]*run(nil), e.queue...), e.running...) {
			p.runs = append(p.runs, []any{r.id, r.context, r.made / e.Stride, 5})
		}
		e.reports = append(e.reports, p)
		if len(e.reports) > 100 {
			e.reports = e.reports[50:]
		}
		e.mu.Unlock()
		select {
		case <-e.server.quit:
			return
		case <-time.After(reportPeriod):
		}
	}
}

// work runs the steps of the batch.
func (e *Engine) work() {
	for {
		e.mu.Lock()
		for len(e.queue)+len(e.running) == 0 {
			e.wake.Wait()
		}
		d := e.Step + time.Duration(len(e.running))*e.StepPerRun
		var reading *run
		chunk := 0
		if len(e.queue) > 0 {
			reading = e.queue[0]
			chunk = min(chunkTokens, reading.unread)
			ms := float64(chunk)/e.PrefillPerMs + float64(chunk)*float64(reading.context)/pairsPerMs
			d += time.Duration(ms * float64(time.Millisecond))
		}
		e.mu.Unlock()
		time.Sleep(d)
		e.mu.Lock()
		e.step(reading, chunk)
		e.mu.Unlock()
	}
}

// step ends a step. The caller holds e.mu.
func (e *Engine) step(reading *run, chunk int) {
	for _, r := range append([]*run(nil), e.running...) {
		r.made++
		r.context++
		if r.made%e.Stride == 0 || r.made >= r.limit {
			r.events <- (r.made + e.Stride - 1) / e.Stride
		}
		if r.made >= r.limit {
			e.end(r)
		}
	}
	if reading == nil || reading.ended || len(e.queue) == 0 || e.queue[0] != reading {
		return
	}
	reading.unread -= chunk
	reading.context += chunk
	if reading.unread <= 0 {
		e.queue = e.queue[1:]
		e.running = append(e.running, reading)
	}
}

// end removes a run. The caller holds e.mu.
func (e *Engine) end(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	close(r.events)
	delete(e.byID, r.id)
	e.queue, e.running = without(e.queue, r), without(e.running, r)
}

func without(list []*run, r *run) []*run {
	var kept []*run
	for _, other := range list {
		if other != r {
			kept = append(kept, other)
		}
	}
	return kept
}

func newRun(id string, unread, context, made, limit int) *run {
	return &run{id: id, unread: unread, context: context, made: made, limit: limit, events: make(chan int, maxEvents), stopped: make(chan struct{})}
}

// begin returns the run of a request: a new one, or the rest of one of which there is a copy.
func (e *Engine) begin(r *http.Request) *run {
	id := r.Header.Get("Attempt-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	input, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	in, _ := strconv.Atoi(input)
	out, _ := strconv.Atoi(output)
	e.mu.Lock()
	defer e.mu.Unlock()
	if from := r.Header.Get("Kv-From"); from != "" {
		kept := e.copies[from]
		if kept == nil || kept.id != id {
			return nil
		}
		delete(e.copies, from)
		x := newRun(id, 0, kept.context, min(last*e.Stride, kept.limit), kept.limit)
		e.running, e.byID[id] = append(e.running, x), x
		e.wake.Signal()
		return x
	}
	x := newRun(id, max(1, in), 0, last*e.Stride, max(1, out))
	e.queue, e.byID[id] = append(e.queue, x), x
	e.wake.Signal()
	return x
}

// serve answers a request with its stream of events.
func (e *Engine) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	x := e.begin(r)
	if x == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.server.ran(r)
	defer func() {
		e.mu.Lock()
		e.end(x)
		e.mu.Unlock()
	}()
	begun := false
	for {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-x.stopped:
			panic(http.ErrAbortHandler)
		case n, more := <-x.events:
			if !more {
				if !e.isWhole(x) {
					// The run was stopped, or the server has ended: the stream has no end.
					panic(http.ErrAbortHandler)
				}
				return
			}
			if !begun {
				begun = true
				h := w.Header()
				h.Set("Server-Signature", Signature(e.server.ID, x.id))
				h.Set("Weight-Versions", "1")
				h.Set("Content-Type", "text/event-stream")
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, x.id, n)
			w.(http.Flusher).Flush()
		}
	}
}

func (e *Engine) isWhole(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.made >= r.limit
}

// order handles the requests of the system itself.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/kv-move":
		e.move(w, r)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	var p report
	for _, q := range e.reports {
		if time.Since(q.at) >= e.ReportLag {
			p = q
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	runs := p.runs
	if runs == nil {
		runs = [][]any{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "utilization": false, "sequence": 0, "queued": p.queued, "active": p.active, "kv_used": 0, "kv_total": 430964, "handles": 0, "runs": runs})
}

// move copies the memory of a run, and stops the run first if the order says so.
func (e *Engine) move(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusOK
	defer func() {
		if e.OnOrder != nil {
			e.OnOrder(o, status)
		}
	}()
	e.mu.Lock()
	x := e.byID[o.ID]
	if x == nil {
		e.mu.Unlock()
		status = http.StatusNotFound
		w.WriteHeader(status)
		return
	}
	handle := fmt.Sprint("h", handles.Add(1))
	from := e.server.Address + "/" + handle
	kept := newRun(x.id, 0, x.context, x.made, x.limit)
	made := x.made / e.Stride
	if o.Last {
		close(x.stopped)
		e.end(x)
		e.copies[from] = kept
	}
	e.mu.Unlock()
	time.Sleep(copySetup + time.Duration(float64(kept.context)*e.KVBytes*8/(e.LinkMbps*1e6)*float64(time.Second)))
	if to := e.Find(o.Target); to != nil && o.Last {
		to.mu.Lock()
		to.copies[from] = kept
		to.mu.Unlock()
	} else if to == nil {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "made": made})
}
