// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/tests/observe"
	"havenwinch.dev/havenwinch/tests/seeded"
)

// These tests run random schedules of what targets send and when, through the forwarder and the
// answer writer, against a strict client in place of the caller. Targets and the caller are in
// memory; the only waits are the pauses between attempts.

// callPatience is how long callers wait: half of a repeated answer may swallow the one that is
// due, and nothing more comes then.
const callPatience = 300 * time.Millisecond

// targetRecord records what the targets of a schedule were asked and did.
type targetRecord struct {
	mu sync.Mutex
	// runs counts the targets that started to run a call from scratch. complete is set once one
	// of them has sent a complete answer of 200, undetectableCut when one sent an answer without
	// a length, of which a part can't be told from the whole.
	runs            map[string]int
	complete        map[string]bool
	undetectableCut map[string]bool
	failures        map[string]map[int]bool
	stopped         map[string]chan struct{}
}

func (s *targetRecord) record(r received, a response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.notRun && a.status != 421 && r.resume == "" {
		s.runs[r.id]++
	}
	intact := a.cutAt < 0 && a.corruptAt < 0 && (a.inserted == "" || strings.HasPrefix(a.inserted, ":"))
	s.complete[r.id] = s.complete[r.id] || a.status == 200 && intact
	// An answer without a length ends with its connection, wherever that is.
	s.undetectableCut[r.id] = s.undetectableCut[r.id] || a.unframed
	if s.failures[r.id] == nil {
		s.failures[r.id] = map[int]bool{}
	}
	s.failures[r.id][a.status] = true
}

// recordText records an answer that no longer declares where it ends.
func (s *targetRecord) recordText(r received, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(text, string(corruptMark)) && !strings.Contains(text, "\nContent-Length: ") && !strings.Contains(text, "\nTransfer-Encoding: ") {
		s.undetectableCut[r.id] = true
	}
}

// stopSignal returns a channel that is closed once an engine was told to stop the run.
func (s *targetRecord) stopSignal(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[id] == nil {
		s.stopped[id] = make(chan struct{})
	}
	return s.stopped[id]
}

// schedule is one random schedule.
type schedule struct {
	targets *targetRecord
	// log lists the requests to targets and their answers.
	log []string
	// responses are the next responses of targets; valid ones follow once they are used up.
	mu              sync.Mutex
	responses       []response
	engineResponses []response
	moves           bool
}

func (p *schedule) record(r received, text, late string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(p.log, fmt.Sprintf("%s%s %q, last %q, resumes %q: %q, late %q", r.id, r.path, r.body, r.last, r.resume, text, late))
}

// history returns the log, one entry per line.
func (p *schedule) history() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

func (p *schedule) nextResponse(list *[]response) response {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(*list) == 0 {
		return response{status: 200, cutAt: -1, corruptAt: -1, writeSize: 1 << 20}
	}
	a := (*list)[0]
	*list = (*list)[1:]
	return a
}

func (p *schedule) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		h := req.Header
		rec := received{id: h.Get("X-Id"), last: h.Get("X-Last"), resume: h.Get("X-Resume"), path: req.URL.Path, body: string(body)}
		if late != "" && write(c, late, 1<<20) != nil {
			return
		}
		var a response
		var text string
		if rec.id == "" {
			a = p.nextResponse(&p.engineResponses)
			text = p.answerEngineRequest(a, rec)
		} else {
			a = p.nextResponse(&p.responses)
			p.targets.record(rec, a)
			text = a.text(rec, !strings.HasPrefix(rec.path, "/unsafe/"))
		}
		late = a.corruptAndCut(&text)
		p.targets.recordText(rec, text)
		p.record(rec, text, late)
		if !p.sendAnswer(c, rec, a, text) || a.close || a.cutAt >= 0 || a.unframed {
			return
		}
	}
}

// answerEngineRequest answers a request for a copy or a report as an engine does.
func (p *schedule) answerEngineRequest(a response, r received) string {
	if r.path == "/report" {
		return "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n0 0"
	}
	if strings.HasSuffix(r.body, " true") && a.status == 200 {
		id, _, _ := strings.Cut(r.body, " ")
		if stop := p.targets.stopSignal(id); !isClosed(stop) {
			close(stop)
		}
	}
	extra := ""
	if a.notRun {
		extra = "X-Not-Run: 1\r\n"
	}
	if !a.unsigned {
		extra += "X-Signed: s\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\nh1", a.status, extra)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendAnswer writes an answer. In a schedule with moves a stream waits after its second event
// for a moment, in which its run may be stopped.
func (p *schedule) sendAnswer(c net.Conn, r received, a response, text string) bool {
	if !p.moves || r.id == "" || r.resume != "" || a.status != 200 {
		return write(c, text, a.writeSize) == nil
	}
	first := strings.Index(text, "event 1")
	if first < 0 {
		return write(c, text, a.writeSize) == nil
	}
	first += len("event 1\n\n\r\n")
	if write(c, text[:min(first, len(text))], a.writeSize) != nil {
		return false
	}
	select {
	case <-p.targets.stopSignal(r.id):
		return false
	case <-time.After(2 * time.Millisecond):
	}
	// A run that was stopped in the meantime ends here.
	return !isClosed(p.targets.stopSignal(r.id)) && write(c, text[min(first, len(text)):], a.writeSize) == nil
}

func write(c net.Conn, text string, piece int) error {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// checkCaller checks what a strict client got for a call.
func checkCaller(t *rapid.T, p *schedule, call *Call, a *observe.Answer, err error) {
	s := p.targets
	s.mu.Lock()
	defer s.mu.Unlock()
	fail := func(format string, args ...any) {
		t.Fatalf("call %s: %s\nstatus %d, fields %v, body %q, %v\n%s", call.ID, fmt.Sprintf(format, args...), a.Status, a.Fields, a.Body, err, p.history())
	}
	switch {
	case observe.IsErrMalformed(err):
		fail("invalid answer")
	case a.Get("X-Id") != "" && a.Get("X-Id") != call.ID && !bytes.ContainsRune([]byte(a.Get("X-Id")), corruptMark):
		fail("an answer to another call")
	case !strings.HasPrefix(call.Path, "/safe") && !strings.HasPrefix(call.Path, "/resume") && s.runs[call.ID] > 1:
		fail("ran %d times", s.runs[call.ID])
	}
	if a.Status == 0 {
		return
	}
	if a.Get("X-Signed") != "" && a.Status != 200 && !s.failures[call.ID][a.Status] {
		fail("no target has answered so")
	}
	if a.Status != 200 {
		return
	}
	checkBody(fail, s, call, string(a.Body), err == nil)
}

// checkBody checks the body of an answer with status 200.
func checkBody(fail func(string, ...any), s *targetRecord, call *Call, body string, complete bool) {
	corrupt := strings.ContainsRune(body, corruptMark)
	if strings.HasPrefix(call.Path, "/unsafe/") {
		if want := "answer to " + call.ID; complete && !corrupt && body != want && !(s.undetectableCut[call.ID] && strings.HasPrefix(want, body)) {
			fail("want %q", want)
		}
		return
	}
	n := 0
	for _, block := range strings.SplitAfter(body, "\n\n") {
		// A corrupt separator joins a comment with the event after it, which stays valid.
		for strings.HasPrefix(block, ":") {
			_, block, _ = strings.Cut(block, "\n")
		}
		if block == "" || block == "\n" {
			continue
		}
		if want := eventOf(call.ID, n); block != want && !strings.ContainsRune(block, corruptMark) && (complete || !strings.HasPrefix(want, block)) {
			fail("%q in the place of event %d", block, n)
		}
		n++
	}
	if complete && n != eventsOfCall && !s.undetectableCut[call.ID] {
		fail("%d events, want %d", n, eventsOfCall)
	}
}

// runSchedule sends calls through a forwarder whose targets follow a schedule.
func runSchedule(t *rapid.T, base *testing.T, p *schedule, routes []string) {
	f := newForwarder(base, &fakeLeases{}, inMemory(base, "one"), inMemory(base, "two"), inMemory(base, "three"), inMemory(base, "four"))
	dialled := func(context.Context, string, string) (net.Conn, error) {
		near, far := observe.Pipe()
		go p.serve(far)
		return near, nil
	}
	f.pool.connect, f.pool.hedgedConnect = dialled, dialled
	if p.moves {
		enableMoves(f)
	}
	for i, route := range routes {
		call := newCall(route)
		call.ID = fmt.Sprint("call-", i)
		call.Fields = []Field{{Name: "X-Id", Value: call.ID}}
		call.MaxWait = callPatience
		if p.moves {
			call.InputTokens, call.UnsharedTokens, call.Affinity = 20000, 20000, 7
		}
		answer, err := serveTo(f, call)
		checkCaller(t, p, call, answer, err)
	}
	f.pool.sweep(func(string) bool { return false })
}

// serveTo serves a call to a strict client.
func serveTo(f *Forwarder, call *Call) (*observe.Answer, error) {
	near, far := observe.Pipe()
	type result struct {
		a   *observe.Answer
		err error
	}
	got := make(chan result, 1)
	go func() {
		o := observe.NewReader(far)
		a, err := o.Answer(call.Method)
		if err == nil {
			err = o.ExpectEOF()
		}
		got <- result{a, err}
		_, _ = io.Copy(io.Discard, far)
	}()
	sink := reply.NewConn(near, reply.Options{WriteTimeout: time.Minute, CloseAfter: func() bool { return false }}).Next(call.Method)
	_ = f.Serve(context.Background(), call, sink)
	_ = near.Close()
	r := <-got
	return r.a, r.err
}

// inMemory returns a target that is never dialled by its address.
func inMemory(t testing.TB, name string) *target {
	return &target{t: t, name: name, l: noListener{}}
}

type noListener struct{ net.Listener }

func (noListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// enableMoves lets engines copy running calls, and records measurements by which prefills of
// long prompts delay streams.
func enableMoves(f *Forwarder) {
	f.opts.EngineAPI = testEngineAPI{}
	index := f.opts.Store.Index()
	index.Service("s").Engine.Moves = true
	for _, r := range index.Table.GetRoutes() {
		if r.GetKind() == statev1.Route_KIND_STREAM {
			r.Pause = 100
		}
	}
	tg := f.targets.Choose(spread.Criteria{Service: "s"}, 0).Target
	f.targets.RecordPrefill(tg, 4000, 100*time.Millisecond)
	for range 20 {
		f.targets.RecordStreamPause(tg, time.Second, time.Millisecond)
	}
}

func TestMain(m *testing.M) { seeded.Main(m) }

func TestRandomTargets(t *testing.T) {
	for name, moves := range map[string]bool{"calls": false, "moved runs": true} {
		t.Run(name, func(base *testing.T) {
			rapid.Check(base, func(t *rapid.T) {
				p := &schedule{moves: moves, targets: &targetRecord{runs: map[string]int{}, complete: map[string]bool{}, undetectableCut: map[string]bool{}, failures: map[string]map[int]bool{}, stopped: map[string]chan struct{}{}}}
				for i := range rapid.IntRange(1, 5).Draw(t, "responses") {
					p.responses = append(p.responses, drawResponse(t, fmt.Sprint("response ", i)))
				}
				kinds := []string{"unsafe", "stream", "resume"}
				if moves {
					kinds = kinds[1:]
					for i := range rapid.IntRange(0, 3).Draw(t, "engine responses") {
						p.engineResponses = append(p.engineResponses, drawResponse(t, fmt.Sprint("engine response ", i)))
					}
				}
				runSchedule(t, base, p, rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 3).Draw(t, "routes"))
			})
		})
	}
}
