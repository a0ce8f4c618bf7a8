// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Servers that answer before they have read a request, and end the answer or the connection early.

// earlyStart is how much of a request a server has read as it answers.
type earlyStart int

const (
	fromHead earlyStart = iota
	fromPart
	fromAll
	earlyStarts
)

// earlyFraming is how an answer tells its end.
type earlyFraming int

const (
	withLength earlyFraming = iota
	inChunks
	toTheEnd
	earlyFramings
)

func (f earlyFraming) String() string {
	return [...]string{"length", "chunks", "to the end"}[f]
}

// earlyEnd is what a server does once it has sent its answer or a part of it.
type earlyEnd int

const (
	// endsByReset resets the connection.
	endsByReset earlyEnd = iota
	// closesUnread closes the connection, which the kernel tells as a reset if bytes are unread.
	closesUnread
	// closesEarly ends its side, and closes the connection with the rest of the request unread or on its way.
	closesEarly
	// readsOn, readsSlowly and readsNothing end their side and read the rest at once, in steps after pauses or
	// not at all until the caller has its answer.
	readsOn
	readsSlowly
	readsNothing
	// standsStill ends nothing and reads nothing.
	standsStill
)

func (e earlyEnd) String() string {
	return [...]string{"reset", "closed unread", "closed early", "reads on", "reads slowly", "reads nothing", "stands still"}[e]
}

// endsInOrder reports whether the server ends its side and rejects nothing after that.
func (e earlyEnd) endsInOrder() bool { return e == readsOn || e == readsSlowly || e == readsNothing }

// earlyPart is how much of an answer is sent.
type earlyPart int

const (
	sendsAll earlyPart = iota
	// sendsSome is a part of a plain answer, or some events.
	sendsSome
	// sendsTorn ends within an event.
	sendsTorn
	sendsHead
	sendsNothing
)

// earlyPlan is what a server does with a request.
type earlyPlan struct {
	start   earlyStart
	framing earlyFraming
	part    earlyPart
	end     earlyEnd
	// share is the share of the body to send, unless all or none of it is sent.
	share float64
	// delay is the time between the answer and the end, step that between two reads of readsSlowly.
	delay, step time.Duration
}

// isSound reports whether a caller has to get the answer.
func (p earlyPlan) isSound() bool { return p.part == sendsAll && p.end.endsInOrder() }

func (p earlyPlan) String() string {
	return fmt.Sprintf("start %d, %s, part %d (%.2f), %s after %s", p.start, p.framing, p.part, p.share, p.end, p.delay)
}

// earlyVerdict is what a server knows about its answer.
type earlyVerdict int

const (
	// isBroken is an answer that is not whole.
	isBroken earlyVerdict = iota
	// isUnknown is an answer without a length whose server ended its side, and closed the connection after the
	// kernel had acknowledged all of the request: until the close it can't be told from a whole one.
	isUnknown
	isWhole
)

// earlyRun is one request at one server.
type earlyRun struct {
	server  string
	plan    earlyPlan
	verdict earlyVerdict
	note    string
	isDone  bool
	// endedAt is when the server ended its side in order.
	endedAt time.Time
	// meant is the size in bytes of the answer that a caller has whole at the end of this run, with the events of
	// earlier runs: a part of an answer without a length is whole if the server ends it in order.
	meant int
}

func (r earlyRun) String() string {
	return fmt.Sprintf("%s: %s; verdict %d%s", r.server, r.plan, r.verdict, r.note)
}

// earlyServers are servers that share the plans of all requests.
type earlyServers struct {
	mu    sync.Mutex
	calls map[string]*earlyCall
}

// add makes the servers know a request.
func (e *earlyServers) add(call *earlyCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[call.id] = call
}

// begin records that a server works on a request. A request without a plan gets a sound answer.
func (e *earlyServers) begin(sv *server, r *http.Request) (*earlyCall, *earlyRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	call := e.calls[id]
	if call == nil {
		done := make(chan struct{})
		close(done)
		call = &earlyCall{id: id, route: strings.TrimPrefix(strings.TrimSuffix(r.URL.Path, "/x"), "/"), done: done, plans: []earlyPlan{{start: fromAll, end: readsOn}}}
		e.calls[id] = call
	}
	run := &earlyRun{server: sv.id, plan: call.plans[len(call.runs)%len(call.plans)]}
	call.runs = append(call.runs, run)
	return call, run
}

func (e *earlyServers) end(run *earlyRun, verdict earlyVerdict, meant int, note string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.verdict, run.meant, run.note, run.isDone = verdict, meant, note, true
}

// areDone reports whether no server works on any of the calls.
func (e *earlyServers) areDone(calls []*earlyCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range calls {
		for _, r := range c.runs {
			if !r.isDone {
				return false
			}
		}
	}
	return true
}

// start starts a server.
func (e *earlyServers) start(t *testing.T, tb *testbed, id, service string, seed int64) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sv := &server{platform: tb.platform, id: id, service: service, zone: defaultZone, version: defaultVersion, state: "ready", startedAt: time.Now().UnixMilli(),
		link: &link{address: l.Addr().String(), listener: l}, http: &http.Server{}, rng: rand.New(rand.NewSource(seed)), quit: make(chan struct{}), runs: map[string]*run{}}
	go e.accept(sv, l)
	go sv.sendHeartbeats()
	tb.platform.mu.Lock()
	tb.platform.servers = append(tb.platform.servers, sv)
	tb.platform.mu.Unlock()
	t.Cleanup(sv.stop)
	return sv
}

func (e *earlyServers) accept(sv *server, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); e.serve(sv, c.(*net.TCPConn), r); {
			}
		}()
	}
}

// serve answers a request and reports whether the connection is left open for the next one.
func (e *earlyServers) serve(sv *server, c *net.TCPConn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if answer := httptest.NewRecorder(); sv.handleCommand(answer, r) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", answer.Code, answer.Body.Len(), answer.Body)
		return err == nil
	}
	if r.Header.Get("Expect-Instance") != sv.id {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	call, run := e.begin(sv, r)
	p := earlyExchange{call: call, run: run, plan: run.plan, conn: c, r: reader, left: r.ContentLength}
	p.read(map[earlyStart]int64{fromPart: p.left / 2, fromAll: p.left}[p.plan.start])
	verdict, meant, note := p.answer(sv, r)
	e.end(run, verdict, meant, note)
	return p.kept
}

// earlyExchange is a server's work on a request.
type earlyExchange struct {
	call *earlyCall
	run  *earlyRun
	plan earlyPlan
	conn *net.TCPConn
	r    *bufio.Reader
	// left is how many bytes of the request's body have not been read.
	left int64
	// kept is set if the connection can have another request.
	kept bool
}

// read reads n bytes of the body and reports whether they came.
func (x *earlyExchange) read(n int64) bool {
	got, err := io.CopyN(io.Discard, x.r, min(n, x.left))
	x.left -= got
	return err == nil
}

// text returns the bytes to send, the size of the body in them, and whether their framing is whole.
func (x *earlyExchange) text(sv *server, pieces []string) (text string, size int, framed bool) {
	if x.plan.part == sendsNothing {
		return "", 0, false
	}
	all := len(strings.Join(pieces, ""))
	pieces = x.plan.cut(pieces)
	size = len(strings.Join(pieces, ""))
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nAttempt-Id: " + x.call.id + "\r\nServer-Signature: " + sv.id + "\r\n")
	if x.call.isStream() {
		b.WriteString("Content-Type: text/event-stream\r\n")
	}
	if x.plan.framing != toTheEnd && x.plan.end.endsInOrder() && !x.goesOn() {
		b.WriteString("Connection: close\r\n")
	}
	switch x.plan.framing {
	case withLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", all, strings.Join(pieces, ""))
		return b.String(), size, size == all
	case toTheEnd:
		b.WriteString("\r\n" + strings.Join(pieces, ""))
		return b.String(), size, false
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for _, piece := range pieces {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	framed = x.plan.part == sendsAll
	if framed {
		b.WriteString("0\r\n\r\n")
	}
	return b.String(), size, framed
}

// cut returns the pieces of a body to send.
func (p earlyPlan) cut(pieces []string) []string {
	n := max(1, int(p.share*float64(len(pieces))))
	switch {
	case p.part == sendsAll || len(pieces) == 0:
		return pieces
	case p.part == sendsHead:
		return nil
	case p.part == sendsTorn || len(pieces) == 1:
		pieces = append([]string(nil), pieces[:n]...)
		last := pieces[n-1]
		pieces[n-1] = last[:max(1, int(p.share*float64(len(last)-1)))]
		return pieces
	default:
		return pieces[:min(n, len(pieces)-1)]
	}
}

// answer sends the answer, ends it, and tells whether it was whole, and its size with that of the events before.
func (x *earlyExchange) answer(sv *server, r *http.Request) (verdict earlyVerdict, meant int, note string) {
	pieces := x.call.pieces()
	first := min(firstEvent(r), len(pieces))
	text, size, framed := x.text(sv, pieces[first:])
	meant = len(strings.Join(pieces[:first], "")) + size
	_ = x.conn.SetWriteDeadline(time.Now().Add(answerLimit))
	if _, err := io.WriteString(x.conn, text); err != nil {
		return isBroken, meant, ", not sent: " + err.Error()
	}
	time.Sleep(x.plan.delay)
	verdict = x.end()
	note = fmt.Sprintf(", %d bytes meant, %d of %d bytes of the request unread", meant, x.left, r.ContentLength)
	switch {
	case framed:
		return isWhole, meant, note
	case x.plan.framing != toTheEnd || x.plan.part == sendsNothing:
		return isBroken, meant, note
	default:
		return verdict, meant, note
	}
}

// end ends the connection as planned, and returns the verdict on an answer without a length.
func (x *earlyExchange) end() earlyVerdict {
	switch x.plan.end {
	case endsByReset:
		_ = x.conn.SetLinger(0)
		_ = x.conn.Close()
		return isBroken
	case closesUnread:
		verdict := isBroken
		if x.hasRead() {
			verdict = isWhole
		}
		_ = x.conn.Close()
		return verdict
	case closesEarly:
		_ = x.conn.CloseWrite()
		verdict := x.arrived()
		_ = x.conn.Close()
		return verdict
	case standsStill:
		x.hold()
		return isBroken
	}
	if x.goesOn() {
		x.kept = x.read(x.left)
		return isWhole
	}
	x.run.endedAt = time.Now()
	if err := x.conn.CloseWrite(); err != nil {
		return isUnknown
	}
	switch x.plan.end {
	case readsOn:
		x.read(x.left)
	case readsSlowly:
		for step := x.left/3 + 1; x.left > 0; {
			time.Sleep(x.plan.step)
			if !x.read(step) {
				break
			}
		}
	}
	x.hold()
	return isWhole
}

// goesOn reports whether the connection is kept for the next request.
func (x *earlyExchange) goesOn() bool {
	return x.plan.framing != toTheEnd && x.plan.part == sendsAll && x.plan.end == readsOn && x.plan.delay > 0
}

// hasRead reports whether the server has taken the whole request from its connection, so that a close rejects
// nothing of it.
func (x *earlyExchange) hasRead() bool { return x.left <= int64(x.r.Buffered()) }

// arrived returns the verdict on an end of the server's side before the connection is closed.
func (x *earlyExchange) arrived() earlyVerdict {
	unread := 0
	if raw, err := x.conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	switch {
	case x.hasRead():
		return isWhole
	case int64(unread+x.r.Buffered()) >= x.left:
		return isUnknown
	default:
		return isBroken
	}
}

// hold waits until the caller has its answer.
func (x *earlyExchange) hold() {
	select {
	case <-x.call.done:
	case <-time.After(2 * answerLimit):
	}
}
