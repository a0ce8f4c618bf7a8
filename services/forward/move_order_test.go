// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// engineSilence is how long an engine of these tests is silent at most.
const engineSilence = moveTimeout + 200*time.Millisecond

// movingEngines are the engines of a test, of which one has a run that another may continue.
type movingEngines struct {
	// noLength is set when streams end with their connections.
	noLength bool
	// stops is how the orders to stop the run are handled, the last one for all further orders.
	stops []func(e *movingEngines, c net.Conn)
	// rejectsAtSource and rejectsElsewhere are set when the engines don't continue a stopped run.
	rejectsAtSource, rejectsElsewhere bool

	mu     sync.Mutex
	orders int
	// ended is closed when the run has ended. It is whole if it was not stopped.
	ended chan struct{}
	over  bool
	whole bool
	// silent is closed when the engine of the run may answer again; nil if it always answers.
	silent chan struct{}
	// source is the address of the engine that has the run.
	source string
	// early counts the runs that were continued before the first one had ended.
	early    int
	used     bool
	released chan string
	// listeners are those of the engines, by address.
	listeners map[string]net.Listener
}

func newMovingEngines() *movingEngines {
	return &movingEngines{ended: make(chan struct{}), released: make(chan string, 8), listeners: map[string]net.Listener{}}
}

// end ends the run.
func (e *movingEngines) end(whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.over {
		e.over, e.whole = true, whole
		close(e.ended)
	}
}

func answerJSON(c net.Conn, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// answer handles one request as an engine does.
func (e *movingEngines) answer(c net.Conn, r received) {
	e.mu.Lock()
	silent := e.silent
	if c.LocalAddr().String() != e.source {
		silent = nil
	}
	e.mu.Unlock()
	if silent != nil {
		<-silent
	}
	switch {
	case r.path == "/report":
		answerJSON(c, 200, "0 0")
	case strings.HasPrefix(r.path, "/release/"):
		answerJSON(c, 200, "")
		e.released <- r.path
	case r.path == "/copy" && strings.HasSuffix(r.body, "true"):
		e.mu.Lock()
		stop := e.stops[min(e.orders, len(e.stops)-1)]
		e.orders++
		e.mu.Unlock()
		stop(e, c)
	case r.path == "/copy":
		answerJSON(c, 200, "h1")
	case r.resume != "":
		e.resume(c, r)
	default:
		e.begin(c, r)
	}
}

// resume continues a run from its copy, once.
func (e *movingEngines) resume(c net.Conn, r received) {
	e.mu.Lock()
	rejected := e.rejectsElsewhere
	if c.LocalAddr().String() == e.source {
		rejected = e.rejectsAtSource || !e.over || e.whole
	}
	if !rejected && !e.over {
		e.early++
	}
	rejected = rejected || e.used || r.resume != e.source+"/h1"
	e.used = e.used || !rejected
	e.mu.Unlock()
	if rejected {
		rejects()(c, r)
		return
	}
	e.finish(c, r)
}

// finish sends the events that the caller lacks and the end.
func (e *movingEngines) finish(c net.Conn, r received) {
	var last int
	_, _ = fmt.Sscan(r.last, &last)
	var events []string
	for id := last + 1; id <= 3; id++ {
		events = append(events, event(id))
	}
	chunks(true, events...)(c, r)
}

// begin runs the call: two events, and the others unless the run is stopped.
func (e *movingEngines) begin(c net.Conn, r received) {
	if r.last != "" {
		e.finish(c, r)
		return
	}
	e.mu.Lock()
	e.source = c.LocalAddr().String()
	e.mu.Unlock()
	chunk := func(text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
	if e.noLength {
		_, _ = io.WriteString(c, head(r.id, "\r\n"))
		chunk = func(text string) { _, _ = io.WriteString(c, text) }
	} else {
		_, _ = io.WriteString(c, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
	}
	chunk(event(0) + event(1))
	<-e.ended
	if e.whole {
		chunk(event(2) + event(3))
		if !e.noLength {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
	}
	_ = c.Close()
}

// awaitBox waits until the box has closed the connection, for engineSilence at most.
func awaitBox(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(engineSilence))
	var one [1]byte
	_, _ = c.Read(one[:])
	_ = c.SetReadDeadline(time.Time{})
}

// stops carries the order out and answers with a status.
func stops(status int) func(*movingEngines, net.Conn) {
	return func(e *movingEngines, c net.Conn) {
		e.end(false)
		answerJSON(c, status, "h1")
	}
}

// stopsLate carries the order out and answers after a long silence.
func stopsLate(status int) func(*movingEngines, net.Conn) {
	return func(e *movingEngines, c net.Conn) {
		e.end(false)
		awaitBox(c)
		answerJSON(c, status, "h1")
	}
}

// stopsAfterPause carries the order out after a long silence, in which the run makes no event.
func stopsAfterPause(status int) func(*movingEngines, net.Conn) {
	return func(e *movingEngines, c net.Conn) {
		awaitBox(c)
		stops(status)(e, c)
	}
}

// stopsUnanswered carries the order out and closes its connection.
func stopsUnanswered(e *movingEngines, c net.Conn) {
	e.end(false)
	_ = c.Close()
}

// sleepsThenStops answers nothing at all for a long time, then carries the order out.
func sleepsThenStops(e *movingEngines, c net.Conn) {
	silent := make(chan struct{})
	e.mu.Lock()
	e.silent = silent
	e.mu.Unlock()
	awaitBox(c)
	e.mu.Lock()
	e.silent = nil
	e.mu.Unlock()
	stops(200)(e, c)
	close(silent)
}

// stopsAndEnds ends the engine, which accepts no more connections, without an answer.
func stopsAndEnds(e *movingEngines, c net.Conn) {
	_ = e.listeners[c.LocalAddr().String()].Close()
	stopsUnanswered(e, c)
}

// keepsSilent carries the order out or not, and never answers.
func keepsSilent(e *movingEngines, c net.Conn) {
	var one [1]byte
	_, _ = c.Read(one[:])
}

// drops closes the connection of the order, which is not carried out; the run completes.
func drops(e *movingEngines, c net.Conn) {
	_ = c.Close()
	e.end(true)
}

// stopsCut carries the order out, writes a part of an answer and ends the connection.
func stopsCut(part string, end func(c *net.TCPConn)) func(*movingEngines, net.Conn) {
	return func(e *movingEngines, c net.Conn) {
		e.end(false)
		_, _ = io.WriteString(c, part)
		end(c.(*net.TCPConn))
	}
}

// closes ends a connection in order.
func closes(c *net.TCPConn) { _ = c.Close() }

// refuses answers with a status, and does nothing else.
func refuses(status int) func(*movingEngines, net.Conn) {
	return func(_ *movingEngines, c net.Conn) { answerJSON(c, status, "") }
}

// Guards against streams that are cut, or end early as complete, because the answer to the order that
// stops their run is lost or late.
func TestStoppedRunGoesOnWithoutTheAnswerToItsOrder(t *testing.T) {
	type order = func(*movingEngines, net.Conn)
	tests := map[string]struct {
		engines *movingEngines
		// runs is how often the call is run, on a route that may be repeated; once on others.
		runs int
		// fails is set when the run can't continue, so that only a call that may be repeated is served.
		fails bool
		// released is set when the copy is to be freed.
		released bool
	}{
		"answered":                                {engines: &movingEngines{stops: []order{stops(200)}}, runs: 1},
		"answer lost, repeated order answered":    {engines: &movingEngines{stops: []order{stopsUnanswered, stops(200)}}, runs: 1},
		"answer lost, copy rejected":              {engines: &movingEngines{stops: []order{stopsUnanswered, stops(503)}}, runs: 1},
		"answer lost, still copying":              {engines: &movingEngines{stops: []order{stopsUnanswered, refuses(409), refuses(409), stops(200)}}, runs: 1},
		"answers lost, then answered":             {engines: &movingEngines{stops: []order{stopsUnanswered, stopsUnanswered, stops(200)}}, runs: 1},
		"answer lost, run unknown":                {engines: &movingEngines{stops: []order{stopsUnanswered, refuses(404)}}, runs: 1},
		"answer lost, run unknown, source full":   {engines: &movingEngines{stops: []order{stopsUnanswered, refuses(404)}, rejectsAtSource: true}, runs: 1},
		"answer lost, run unknown, copies gone":   {engines: &movingEngines{stops: []order{stopsUnanswered, refuses(404)}, rejectsAtSource: true, rejectsElsewhere: true}, runs: 2, fails: true, released: true},
		"answer lost, engine ended":               {engines: &movingEngines{stops: []order{stopsAndEnds}}, runs: 1},
		"order dropped, repeated order answered":  {engines: &movingEngines{stops: []order{func(_ *movingEngines, c net.Conn) { _ = c.Close() }, stops(200)}}, runs: 1},
		"answer late":                             {engines: &movingEngines{stops: []order{stopsLate(200)}}, runs: 1},
		"answer late, copy rejected":              {engines: &movingEngines{stops: []order{stopsLate(503)}}, runs: 1},
		"stopped late":                            {engines: &movingEngines{stops: []order{stopsAfterPause(200)}}, runs: 1},
		"stopped late, copy rejected":             {engines: &movingEngines{stops: []order{stopsAfterPause(503)}}, runs: 1},
		"paused before it reads the order":        {engines: &movingEngines{stops: []order{sleepsThenStops}}, runs: 2},
		"order dropped, run completes":            {engines: &movingEngines{stops: []order{drops, refuses(404)}}, runs: 1},
		"order for a run that has just completed": {engines: &movingEngines{stops: []order{func(e *movingEngines, c net.Conn) { e.end(true); answerJSON(c, 404, "") }}}, runs: 1, released: true},
	}
	for name, test := range tests {
		for _, route := range []string{"stream", "resume"} {
			for _, noLength := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, length %v", name, route, !noLength), func(t *testing.T) {
					t.Parallel()
					e := newMovingEngines()
					e.stops, e.rejectsAtSource, e.rejectsElsewhere, e.noLength = test.engines.stops, test.engines.rejectsAtSource, test.engines.rejectsElsewhere, noLength
					runs := test.runs
					if route == "stream" {
						runs = 1
					}
					serveMoved(t, e, route, test.fails, runs)
					if test.released {
						<-e.released
					}
				})
			}
		}
	}
}

// Guards against a part of an answer to an order that counts as a whole one, with what it says of the copy.
func TestPartOfAnAnswerToAnOrderIsNone(t *testing.T) {
	parts := map[string]string{
		"head":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"no body":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"body":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh",
		"body of a 503": "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nh",
		"body of a 404": "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nh",
		"body of a 409": "HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\nh",
		"chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nh",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n",
		"broken chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhx",
		"too long":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxEngineAnswer+1, strings.Repeat("h", maxEngineAnswer+1)),
		"status 000":    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nh2",
		"field name":    "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nh2",
	}
	ends := map[string]func(c *net.TCPConn){"close": closes, "reset": reset}
	for part, text := range parts {
		for name, end := range ends {
			for _, route := range []string{"stream", "resume"} {
				t.Run(fmt.Sprintf("%s, %s, %s", part, name, route), func(t *testing.T) {
					t.Parallel()
					e := newMovingEngines()
					e.stops = []func(*movingEngines, net.Conn){stopsCut(text, end), stops(200)}
					serveMoved(t, e, route, false, 1)
					e.mu.Lock()
					defer e.mu.Unlock()
					if e.orders < 2 {
						t.Errorf("%d orders to stop the run, want another one after the part of an answer", e.orders)
					}
				})
			}
		}
	}
}

// serveMoved serves a call whose run is moved, and checks what its caller and the engines got.
func serveMoved(t *testing.T, e *movingEngines, route string, stopsForGood bool, mostRuns int) {
	t.Helper()
	fails := stopsForGood && route == "stream"
	targets, b, f, call := newMovedCall(t, e, route)
	c := &collector{}
	err := f.Serve(context.Background(), call, c)
	if fails {
		if err == nil || c.ended {
			t.Fatal("the answer looks complete")
		}
	} else if diff := cmp.Diff(event(0)+event(1)+event(2)+event(3), c.body.String()); diff != "" || !c.ended || err != nil {
		t.Fatalf("ended %v, %v, %s", c.ended, err, diff)
	}
	runs := 0
	for _, tg := range targets {
		for _, r := range tg.requests() {
			if r.id != "" && r.resume == "" {
				runs++
			}
		}
	}
	events := c.body.Len() / len(event(0))
	if stopsForGood {
		events += missedTailEvents
	}
	if want := []uint64{min(20000+uint64(events)*5, call.InputTokens+call.MaxOutputTokens)}; !cmp.Equal(b.settled, want) {
		t.Errorf("billed %v, want %v", b.settled, want)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if runs > mostRuns || e.early > 0 {
		t.Errorf("%d runs, want %d at most; %d continued while another engine still had the run", runs, mostRuns, e.early)
	}
}

// newMovedCall returns a call whose run is moved between the engines.
func newMovedCall(t *testing.T, e *movingEngines, route string) ([]*target, *fakeLeases, *Forwarder, *Call) {
	t.Helper()
	var targets []*target
	for _, name := range []string{"one", "two", "three", "four"} {
		tg := newTarget(t, name, slices.Repeat([]script{e.answer}, 1000)...)
		e.listeners[tg.l.Addr().String()] = tg.l
		targets = append(targets, tg)
	}
	b := &fakeLeases{}
	f := newMovingForwarder(t, b, targets...)
	f.opts.Store.Index().Route("h", "/"+route+"/x").Pause = 100
	call := longCall()
	call.Path, call.MaxOutputTokens = "/"+route+"/x", 1000
	return targets, b, f, call
}

// Guards against streams that look complete though their run may have been stopped, and against copies
// that are kept after their call.
func TestOrderWithoutAnswerEndsWithItsCall(t *testing.T) {
	tests := map[string]struct {
		noLength bool
		// completes is set when the run completes, else it is stopped.
		completes bool
		// leaves is set when the caller leaves, else its time passes.
		leaves bool
		whole  bool
	}{
		"stopped, out of time":                     {},
		"stopped, out of time, without length":     {noLength: true},
		"stopped, caller leaves":                   {leaves: true},
		"stopped, caller leaves, without length":   {leaves: true, noLength: true},
		"completed":                                {completes: true, whole: true},
		"completed, out of time, without length":   {completes: true, noLength: true},
		"completed, caller leaves, without length": {completes: true, noLength: true, leaves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newMovingEngines()
			e.noLength = test.noLength
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			e.stops = []func(*movingEngines, net.Conn){func(e *movingEngines, c net.Conn) {
				e.end(test.completes)
				if test.leaves {
					leave()
				}
				keepsSilent(e, c)
			}}
			_, b, f, call := newMovedCall(t, e, "stream")
			if !test.leaves {
				call.MaxWait = time.Second
			}
			c := &collector{}
			err := f.Serve(ctx, call, c)
			if c.ended != test.whole || (err == nil) != test.whole {
				t.Errorf("ended %v, %v, %q", c.ended, err, c.body.String())
			}
			if most := uint64(20000 + (4+missedTailEvents)*5); len(b.settled) != 1 || b.settled[0] < 20010 || b.settled[0] > most {
				t.Errorf("billed %v, want %d at most", b.settled, most)
			}
			<-e.released
		})
	}
}

// Guards against runs that are stopped while their engine is silent, which may carry the order out much
// later.
func TestNoRunIsStoppedWhileItsEngineIsSilent(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		t.Run(fmt.Sprintf("goes on %v", goesOn), func(t *testing.T) {
			t.Parallel()
			const heardWithin = 20 * time.Millisecond
			stopped := make(chan struct{})
			copied, orders := make(chan struct{}), make(chan bool, 8)
			var silent sync.Mutex
			silent.Lock()
			answer := func(c net.Conn, r received) {
				chunk := func(text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
				switch {
				case r.path == "/report":
					answerJSON(c, 200, "0 0")
				case strings.HasPrefix(r.path, "/release/"):
					answerJSON(c, 200, "")
				case r.path == "/copy" && strings.HasSuffix(r.body, "true"):
					isSilent := !silent.TryLock()
					orders <- isSilent
					close(stopped)
					answerJSON(c, 200, "h1")
				case r.path == "/copy":
					time.Sleep(2 * heardWithin)
					answerJSON(c, 200, "h1")
					close(copied)
				case r.resume != "":
					chunks(true, event(2), event(3))(c, r)
				default:
					_, _ = io.WriteString(c, head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
					chunk(event(0))
					<-copied
					time.Sleep(2 * heardWithin)
					silent.Unlock()
					if !goesOn {
						chunk(event(1) + event(2) + event(3))
						_, _ = io.WriteString(c, "0\r\n\r\n")
						return
					}
					chunk(event(1))
					<-stopped
					_ = c.Close()
				}
			}
			var targets []*target
			for _, name := range []string{"one", "two", "three", "four"} {
				targets = append(targets, newTarget(t, name, slices.Repeat([]script{answer}, 100)...))
			}
			f := newMovingForwarder(t, &fakeLeases{}, targets...)
			f.heardWithin = heardWithin
			c := &collector{}
			err := f.Serve(context.Background(), longCall(), c)
			if want := event(0) + event(1) + event(2) + event(3); err != nil || !c.ended || c.body.String() != want {
				t.Fatalf("ended %v, %v, %q", c.ended, err, c.body.String())
			}
			select {
			case isSilent := <-orders:
				if isSilent {
					t.Error("the run was ordered to stop while its engine was silent")
				}
			default:
				if goesOn {
					t.Error("the run was not ordered to stop")
				}
			}
		})
	}
}
