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

// The schedules of this file play what targets send and when, through the forwarder and
// the writer of answers, to a strict reader in the caller's place. Targets and the caller
// are in memory; nothing waits for a time but the pauses between tries.

// patienceOfCalls is how long callers wait: half of a second answer may swallow the one
// that is due, and nothing more comes then.
const patienceOfCalls = 300 * time.Millisecond

// seen is what the targets of a schedule were asked, and did.
type seen struct {
	mu sync.Mutex
	// ran counts the targets that began to run a call anew; whole is set once one of them
	// has sent a whole answer of 200, odd when one sent what can't be told from one.
	ran      map[string]int
	whole    map[string]bool
	odd      map[string]bool
	failures map[string]map[int]bool
	stopped  map[string]chan struct{}
}

func (s *seen) note(r received, a act) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.notRun && a.status != 421 && r.resume == "" {
		s.ran[r.id]++
	}
	intact := a.cutAt < 0 && a.spoilAt < 0 && (a.lost == "" || strings.HasPrefix(a.lost, ":"))
	s.whole[r.id] = s.whole[r.id] || a.status == 200 && intact
	// The end of an answer without a length is that of its connection, wherever it comes.
	s.odd[r.id] = s.odd[r.id] || a.unframed
	if s.failures[r.id] == nil {
		s.failures[r.id] = map[int]bool{}
	}
	s.failures[r.id][a.status] = true
}

// noteText notes an answer that has come to say nothing of where it ends.
func (s *seen) noteText(r received, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(text, string(spoilMark)) && !strings.Contains(text, "\nContent-Length: ") && !strings.Contains(text, "\nTransfer-Encoding: ") {
		s.odd[r.id] = true
	}
}

// stopOf is closed once an engine was told to stop a run.
func (s *seen) stopOf(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[id] == nil {
		s.stopped[id] = make(chan struct{})
	}
	return s.stopped[id]
}

// play is one schedule.
type play struct {
	seen *seen
	// log says what targets were asked and what they sent.
	log []string
	// acts are what targets do, one after the other; sound once they are used up.
	mu     sync.Mutex
	acts   []act
	orders []act
	moves  bool
}

func (p *play) note(r received, text, late string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(p.log, fmt.Sprintf("%s%s %q, last %q, resumes %q: %q, late %q", r.id, r.path, r.body, r.last, r.resume, text, late))
}

// history is the log, a line each.
func (p *play) history() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

func (p *play) next(list *[]act) act {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(*list) == 0 {
		return act{status: 200, cutAt: -1, spoilAt: -1, piece: 1 << 20}
	}
	a := (*list)[0]
	*list = (*list)[1:]
	return a
}

// serve answers the requests of one connection.
func (p *play) serve(c net.Conn) {
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
		var a act
		var text string
		if rec.id == "" {
			a = p.next(&p.orders)
			text = p.order(a, rec)
		} else {
			a = p.next(&p.acts)
			p.seen.note(rec, a)
			text = a.text(rec, !strings.HasPrefix(rec.path, "/unsafe/"))
		}
		late = a.spoilAndCut(&text)
		p.seen.noteText(rec, text)
		p.note(rec, text, late)
		if !p.say(c, rec, a, text) || a.close || a.cutAt >= 0 || a.unframed {
			return
		}
	}
}

// order answers an order or a question as an engine does.
func (p *play) order(a act, r received) string {
	if r.path == "/report" {
		return "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n0 0"
	}
	if strings.HasSuffix(r.body, " true") && a.status == 200 {
		id, _, _ := strings.Cut(r.body, " ")
		if stop := p.seen.stopOf(id); !isClosed(stop) {
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

// say writes an answer. A stream of a schedule with moves waits after its second event
// until its run is stopped or nobody does so.
func (p *play) say(c net.Conn, r received, a act, text string) bool {
	if !p.moves || r.id == "" || r.resume != "" || a.status != 200 {
		return write(c, text, a.piece) == nil
	}
	first := strings.Index(text, "event 1")
	if first < 0 {
		return write(c, text, a.piece) == nil
	}
	first += len("event 1\n\n\r\n")
	if write(c, text[:min(first, len(text))], a.piece) != nil {
		return false
	}
	select {
	case <-p.seen.stopOf(r.id):
		return false
	case <-time.After(2 * time.Millisecond):
	}
	// A run that was stopped meanwhile ends here.
	return !isClosed(p.seen.stopOf(r.id)) && write(c, text[min(first, len(text)):], a.piece) == nil
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

// checkCaller looks at what a strict reader got for a call.
func checkCaller(t *rapid.T, p *play, call *Call, a *observe.Answer, err error) {
	s := p.seen
	s.mu.Lock()
	defer s.mu.Unlock()
	fail := func(format string, args ...any) {
		t.Fatalf("call %s: %s\nstatus %d, fields %v, body %q, %v\n%s", call.ID, fmt.Sprintf(format, args...), a.Status, a.Fields, a.Body, err, p.history())
	}
	switch {
	case observe.IsErrUnreadable(err):
		fail("bytes that are no answer")
	case a.Get("X-Id") != "" && a.Get("X-Id") != call.ID && !bytes.ContainsRune([]byte(a.Get("X-Id")), spoilMark):
		fail("an answer to another call")
	case !strings.HasPrefix(call.Path, "/safe") && !strings.HasPrefix(call.Path, "/resume") && s.ran[call.ID] > 1:
		fail("ran %d times", s.ran[call.ID])
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

// checkBody looks at the body of an answer of 200.
func checkBody(fail func(string, ...any), s *seen, call *Call, body string, whole bool) {
	spoilt := strings.ContainsRune(body, spoilMark)
	if strings.HasPrefix(call.Path, "/unsafe/") {
		if want := "answer to " + call.ID; whole && !spoilt && body != want && !(s.odd[call.ID] && strings.HasPrefix(want, body)) {
			fail("want %q", want)
		}
		return
	}
	n := 0
	for _, block := range strings.SplitAfter(body, "\n\n") {
		// A spoilt end joins a comment with the event after it, which stays one.
		for strings.HasPrefix(block, ":") {
			_, block, _ = strings.Cut(block, "\n")
		}
		if block == "" || block == "\n" {
			continue
		}
		if want := eventOf(call.ID, n); block != want && !strings.ContainsRune(block, spoilMark) && (whole || !strings.HasPrefix(want, block)) {
			fail("%q in the place of event %d", block, n)
		}
		n++
	}
	if whole && n != eventsOfCall && !s.odd[call.ID] {
		fail("%d events, want %d", n, eventsOfCall)
	}
}

// playOn sends calls through a forwarder whose targets play a schedule.
func playOn(t *rapid.T, base *testing.T, p *play, routes []string) {
	f := newForwarder(base, &book{}, inMemory(base, "one"), inMemory(base, "two"), inMemory(base, "three"), inMemory(base, "four"))
	dialled := func(context.Context, string, string) (net.Conn, error) {
		near, far := observe.Pipe()
		go p.serve(far)
		return near, nil
	}
	f.pool.connect, f.pool.again = dialled, dialled
	if p.moves {
		letMove(f)
	}
	for i, route := range routes {
		call := newCall(route)
		call.ID = fmt.Sprint("call-", i)
		call.Fields = []Field{{Name: "X-Id", Value: call.ID}}
		call.Patience = patienceOfCalls
		if p.moves {
			call.Input, call.Own, call.Affinity = 20000, 20000, 7
		}
		answer, err := serveTo(f, call)
		checkCaller(t, p, call, answer, err)
	}
	f.pool.sweep(func(string) bool { return false })
}

// serveTo has a call served to a strict reader.
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
			err = o.Rest()
		}
		got <- result{a, err}
		_, _ = io.Copy(io.Discard, far)
	}()
	sink := reply.NewConn(near, reply.Options{WriteTime: time.Minute, Last: func() bool { return false }}).Next(call.Method)
	_ = f.Serve(context.Background(), call, sink)
	_ = near.Close()
	r := <-got
	return r.a, r.err
}

// inMemory is a target that is never dialled by its address.
func inMemory(t testing.TB, name string) *target {
	return &target{t: t, name: name, l: noListener{}}
}

type noListener struct{ net.Listener }

func (noListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// letMove makes a forwarder believe that streams suffer from long prompts.
func letMove(f *Forwarder) {
	f.opts.Orders = testOrders{}
	index := f.opts.Store.Index()
	index.Service("s").Engine.Moves = true
	for _, r := range index.Table.GetRoutes() {
		if r.GetKind() == statev1.Route_KIND_STREAM {
			r.Pause = 100
		}
	}
	reader := f.targets.Choose(spread.Need{Service: "s"}, 0).Target
	f.targets.Read(reader, 4000, 100*time.Millisecond)
	for range 20 {
		f.targets.Streamed(reader, time.Second, time.Millisecond)
	}
}

func TestMain(m *testing.M) { seeded.Main(m) }

func TestRandomTargets(t *testing.T) {
	for name, moves := range map[string]bool{"calls": false, "moved runs": true} {
		t.Run(name, func(base *testing.T) {
			rapid.Check(base, func(t *rapid.T) {
				p := &play{moves: moves, seen: &seen{ran: map[string]int{}, whole: map[string]bool{}, odd: map[string]bool{}, failures: map[string]map[int]bool{}, stopped: map[string]chan struct{}{}}}
				for i := range rapid.IntRange(1, 5).Draw(t, "acts") {
					p.acts = append(p.acts, drawAct(t, fmt.Sprint("act ", i)))
				}
				kinds := []string{"unsafe", "stream", "resume"}
				if moves {
					kinds = kinds[1:]
					for i := range rapid.IntRange(0, 3).Draw(t, "orders") {
						p.orders = append(p.orders, drawAct(t, fmt.Sprint("order ", i)))
					}
				}
				playOn(t, base, p, rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 3).Draw(t, "routes"))
			})
		})
	}
}
