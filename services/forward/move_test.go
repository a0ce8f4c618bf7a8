// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/models/spread"
)

// testOrders is a dialect of orders to engines.
type testOrders struct{}

func (testOrders) Copy(call, address string, stop bool) (string, []byte) {
	return "/copy", fmt.Appendf(nil, "%s %s %v", call, address, stop)
}
func (testOrders) ReportPath() string { return "/report" }
func (testOrders) Report(answer []byte) (EngineReport, error) {
	var r EngineReport
	_, err := fmt.Sscanf(string(answer), "%d %d", &r.Waiting, &r.Reading)
	return r, err
}
func (testOrders) Release(handle string) string         { return "/release/" + handle }
func (testOrders) Handle(answer []byte) (string, error) { return string(answer), nil }
func (testOrders) Source(address, handle string) string { return address + "/" + handle }

// engineScript is how the engines of a test answer; each of them may read the
// prompt or go on with a run.
type engineScript struct {
	// copies and stops are the answers to the orders to copy, full is set when the
	// other engine does not take the run.
	copies, stops int
	full          bool
	// unframed is set when the engine's stream has no length: it ends as its connection
	// does, whether it is whole or not.
	unframed bool
	stopped  chan struct{}
	released chan string
}

// answer acts on one request as an engine.
func (e *engineScript) answer(c net.Conn, r received) {
	say := func(status int, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	switch {
	case r.path == "/report":
		say(200, "0 0")
	case strings.HasPrefix(r.path, "/release/"):
		say(200, "")
		e.released <- r.path
	case r.path == "/copy" && strings.HasSuffix(r.body, "true"):
		say(e.stops, "h1")
		if e.stops == 200 || e.stops == 503 {
			close(e.stopped)
		}
	case r.path == "/copy":
		say(e.copies, "h1")
	case r.resume != "" && e.full && !strings.HasPrefix(r.resume, c.LocalAddr().String()):
		shed()(c, r)
	case r.resume != "":
		chunks(true, event(2), event(3))(c, r)
	default:
		e.read(c, r)
	}
}

// read answers with the first events and, if nobody stops it, the others.
func (e *engineScript) read(c net.Conn, r received) {
	chunk := func(text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
	if e.unframed {
		_, _ = io.WriteString(c, head(r.id, "\r\n"))
		chunk = func(text string) { _, _ = io.WriteString(c, text) }
	} else {
		_, _ = io.WriteString(c, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
	}
	chunk(event(0) + event(1))
	if e.copies == 200 && (e.stops == 200 || e.stops == 503) {
		<-e.stopped
		_ = c.Close()
		return
	}
	chunk(event(2) + event(3))
	if e.unframed {
		_ = c.Close()
		return
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// moving returns a forwarder whose engines copy running calls, and which believes
// that streams suffer from long prompts.
func moving(t *testing.T, leases Leases, targets ...*target) *Forwarder {
	t.Helper()
	f := newForwarder(t, leases, targets...)
	f.opts.Orders = testOrders{}
	index := f.opts.Store.Index()
	index.Service("s").Engine.Moves = true
	index.Route("h", "/stream/x").Pause = 100
	reader := f.targets.Choose(spread.Need{Service: "s"}, 0).Target
	f.targets.Read(reader, 4000, 100*time.Millisecond)
	for range 20 {
		f.targets.Streamed(reader, time.Second, time.Millisecond)
	}
	return f
}

// longCall is a call with a prompt that takes long to read.
func longCall() *Call {
	call := newCall("stream")
	call.Input, call.Own, call.Affinity = 20000, 20000, 7
	return call
}

func TestRunsOfLongPromptsMoveOn(t *testing.T) {
	tests := map[string]struct {
		script engineScript
		// sends is how many targets get the call.
		sends int
		// atSource is set when the run goes on where it was stopped.
		atSource bool
	}{
		"it moves": {script: engineScript{copies: 200, stops: 200}, sends: 2},
		// Its closed stream looked like the end of a whole one, and callers got a part of an
		// answer as the whole of it.
		"it moves, its stream has no length": {script: engineScript{copies: 200, stops: 200, unframed: true}, sends: 2},
		"it ends, its stream has no length":  {script: engineScript{copies: 200, stops: 404, unframed: true}, sends: 1},
		"the other engine has no room then":  {script: engineScript{copies: 200, stops: 200, full: true}, sends: 3, atSource: true},
		"the last copy has no room":          {script: engineScript{copies: 200, stops: 503}, sends: 2, atSource: true},
		"the engine refuses the order":       {script: engineScript{copies: 409}, sends: 1},
		"the run has ended before the order": {script: engineScript{copies: 200, stops: 404}, sends: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &test.script
			e.stopped, e.released = make(chan struct{}), make(chan string, 1)
			var targets []*target
			for _, name := range []string{"one", "two", "three", "four"} {
				scripts := make([]script, 8)
				for i := range scripts {
					scripts[i] = e.answer
				}
				targets = append(targets, newTarget(t, name, scripts...))
			}
			b := &book{}
			f := moving(t, b, targets...)
			c, call := &collector{}, longCall()
			if err := f.Serve(context.Background(), call, c); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(event(0)+event(1)+event(2)+event(3), c.body.String()); diff != "" || !c.ended {
				t.Fatalf("ended %v, %s", c.ended, diff)
			}
			if want := []uint64{20000 + 4*5}; !cmp.Equal(b.settled, want) {
				t.Fatalf("billed %v, want %v", b.settled, want)
			}
			sends, reader, last := 0, "", ""
			for _, tg := range targets {
				for _, r := range tg.requests() {
					if r.id == "" {
						continue
					}
					sends++
					if r.resume == "" {
						reader = tg.name
						if r.fetch == "" {
							t.Error("the reader was not told where the common part is")
						}
						continue
					}
					if r.last != "1" {
						t.Errorf("the run goes on after event %q, want 1", r.last)
					}
					if !test.script.full || strings.HasPrefix(r.resume, tg.l.Addr().String()) {
						last = tg.name
					}
				}
			}
			if sends != test.sends || test.sends > 1 && (last == reader) != test.atSource {
				t.Fatalf("%d sends, read at %s, went on at %s", sends, reader, last)
			}
			if test.script.stops == 404 {
				<-e.released
			}
		})
	}
}

// A run that was stopped and that no engine can be reached for is not run anew
// elsewhere where its route doesn't allow that. (Quiet-1 of the grown site: ORDER
// and TWICE.)
func TestAStoppedRunIsNotRunAnew(t *testing.T) {
	tests := map[string]string{
		"a call that may not be repeated":      "stream",
		"a call that has had its only attempt": "resume",
	}
	for name, route := range tests {
		t.Run(name, func(t *testing.T) { stopAndCut(t, route) })
	}
}

// stopAndCut lets a run be stopped to move, and nobody be reached then who could go
// on with it.
func stopAndCut(t *testing.T, route string) {
	t.Helper()
	e := &engineScript{copies: 200, stops: 200, stopped: make(chan struct{}), released: make(chan string, 1)}
	var targets []*target
	// Once the run is stopped nobody can be reached but two targets that have had
	// nothing to do with it.
	cut := func(c net.Conn, r received) {
		if strings.HasSuffix(r.body, "true") {
			for _, tg := range targets {
				if len(tg.requests()) > 0 || strings.Contains(r.body, tg.l.Addr().String()) {
					_ = tg.l.Close()
				}
			}
		}
		e.answer(c, r)
		if r.path == "/copy" {
			_ = c.Close()
		}
	}
	for _, name := range []string{"one", "two", "three", "four"} {
		targets = append(targets, newTarget(t, name, cut, cut, cut, cut, cut, cut, cut, cut))
	}
	b := &book{}
	f := moving(t, b, targets...)
	r := f.opts.Store.Index().Route("h", "/"+route+"/x")
	r.Pause, r.MaxAttempts = 100, 1
	c, call := &collector{}, longCall()
	call.Path = "/" + route + "/x"
	if err := f.Serve(context.Background(), call, c); err == nil || c.ended {
		t.Fatal("the answer looks whole")
	}
	// The engine may have made some events that its closed stream did not bring.
	if want := []uint64{min(20000+(2+unseenEvents)*5, call.Input+call.Output)}; !cmp.Equal(b.settled, want) {
		t.Errorf("billed %v, want %v", b.settled, want)
	}
	runs := 0
	for _, tg := range targets {
		for _, r := range tg.requests() {
			if r.id != "" && r.resume == "" {
				runs++
			}
		}
	}
	if runs != 1 {
		t.Fatalf("the call was run %d times", runs)
	}
}

// Callers with long prompts got bytes that are no answer in the middle of a stream,
// which was then ended as whole. A run had handed on events and was stopped to move; the
// target that was to go on with it answered with a failure of its own.
//
// Cause: such a run goes on also where its route allows no repeat, so the failure was not
// kept for a further target but passed on at once, within the begun answer.
func TestAMovedRunThatFailsBreaksOff(t *testing.T) {
	for _, status := range []int{201, 204, 302, 400, 404, 409, 413, 429, 500, 502, 503, 504} {
		for name, length := range map[string]int{"short": 5, "long": maxWhole + 1} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				e := &engineScript{copies: 200, stops: 200, stopped: make(chan struct{}), released: make(chan string, 1)}
				answer := func(c net.Conn, r received) {
					if r.resume == "" {
						e.answer(c, r)
						return
					}
					whole(status, strings.Repeat("x", length))(c, r)
				}
				var targets []*target
				for _, name := range []string{"one", "two", "three", "four"} {
					targets = append(targets, newTarget(t, name, answer, answer, answer, answer, answer, answer, answer, answer))
				}
				f := moving(t, &book{}, targets...)
				c := &collector{}
				err := f.Serve(context.Background(), longCall(), c)
				if err == nil || c.ended || c.status != 200 || c.heads != 1 || c.body.String() != event(0)+event(1) {
					t.Fatalf("status %d, %d heads, ended %v, body of %d bytes, %v; want two events and a stream that breaks off", c.status, c.heads, c.ended, c.body.Len(), err)
				}
			})
		}
	}
}
