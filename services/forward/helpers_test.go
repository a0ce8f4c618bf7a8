// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/quarantine"
)

var testDialect = Dialect{RequestID: "X-Id", Deadline: "X-Deadline", Organisation: "X-Org", ExpectTarget: "X-Expect", NotRun: "X-Not-Run", Signature: "X-Signed", LastEvent: "X-Last", Priority: "X-Rank", FetchFrom: "X-Fetch", Resume: "X-Resume"}

type received struct {
	id, target, last, org, rank string
	body, deadline              string
	path, fetch, resume         string
}

// target is a server that answers each request with the next of its scripts.
type target struct {
	t            testing.TB
	name         string
	l            net.Listener
	mu           sync.Mutex
	scripts      []script
	requestsRead []received
	// accepted lists the accepted connections by their remote address.
	accepted []string
}

// script writes an answer; it closes the connection if the answer calls for it.
type script func(c net.Conn, r received)

func newTarget(t *testing.T, name string, scripts ...script) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{t: t, name: name, l: l, scripts: scripts}
	go tg.serve()
	t.Cleanup(func() { _ = l.Close() })
	return tg
}

func (tg *target) serve() {
	for {
		c, err := tg.l.Accept()
		if err != nil {
			return
		}
		go tg.handle(c)
	}
}

func (tg *target) handle(c net.Conn) {
	defer c.Close()
	tg.mu.Lock()
	tg.accepted = append(tg.accepted, c.RemoteAddr().String())
	tg.mu.Unlock()
	r := bufio.NewReader(c)
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
		rec := received{id: h.Get("X-Id"), target: h.Get("X-Expect"), last: h.Get("X-Last"), org: h.Get("X-Org"), rank: h.Get("X-Rank"), deadline: h.Get("X-Deadline"), body: string(body), path: req.URL.Path, fetch: h.Get("X-Fetch"), resume: h.Get("X-Resume")}
		tg.mu.Lock()
		at := len(tg.requestsRead)
		tg.requestsRead = append(tg.requestsRead, rec)
		tg.mu.Unlock()
		if at >= len(tg.scripts) {
			return
		}
		tg.scripts[at](c, rec)
	}
}

func (tg *target) requests() []received {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return append([]received(nil), tg.requestsRead...)
}

// connections returns the remote addresses of the accepted connections.
func (tg *target) connections() []string {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return append([]string(nil), tg.accepted...)
}

func head(id, extra string) string {
	return "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: " + id + "\r\n" + extra
}

// respond answers with a body of known length.
func respond(status int, body string) script {
	return func(c net.Conn, r received) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Signed: s\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.id, len(body), body)
	}
}

// rawResponse writes text with the request's id in place of ID, and closes the connection.
func rawResponse(text string) script {
	return func(c net.Conn, r received) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.id))
		_ = c.Close()
	}
}

func rejects() script {
	return func(c net.Conn, _ received) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
}

func closeConn() script { return func(c net.Conn, _ received) { _ = c.Close() } }

// chunks writes events as chunks; ended tells whether the stream is completed.
func chunks(ended bool, parts ...string) script {
	return func(c net.Conn, r received) {
		var b strings.Builder
		b.WriteString(head(r.id, "Transfer-Encoding: chunked\r\n\r\n"))
		for _, p := range parts {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
		}
		if ended {
			b.WriteString("0\r\n\r\n")
		}
		_, _ = io.WriteString(c, b.String())
		if !ended {
			_ = c.Close()
		}
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// collector is a Sink that accepts one answer: one header, then bytes, then the end.
type collector struct {
	status int
	body   strings.Builder
	ended  bool
	writes int
	// heads counts the calls of Begin.
	heads int
}

func (c *collector) Begin(status int, _ []Field, _ int) error {
	if c.heads > 0 {
		panic(fmt.Sprintf("Begin called again with status %d, after %d", status, c.status))
	}
	c.status = status
	c.heads++
	return nil
}
func (c *collector) Write(p []byte) error {
	if c.heads == 0 || c.ended {
		panic("Write called before Begin or after End")
	}
	c.writes++
	c.body.Write(p)
	return nil
}
func (c *collector) End() error {
	if c.heads == 0 || c.ended {
		panic("End called before Begin or after End")
	}
	c.ended = true
	return nil
}

// fakeLeases implements Leases.
type fakeLeases struct {
	mu      sync.Mutex
	outcome gateway.Outcome
	settled []uint64
	// onReserve is called by Reserve; may be nil.
	onReserve func()
	// boxes is the number of entry boxes, 1 if zero; unknown is set while control has not sent
	// it.
	boxes   int
	unknown bool
}

func (b *fakeLeases) Reserve(_ context.Context, organisation string, tokens uint64, _ time.Duration) (gateway.Reservation, gateway.Outcome, gateway.Status) {
	if b.onReserve != nil {
		b.onReserve()
	}
	return gateway.Reservation{Organisation: organisation, Tokens: tokens}, b.outcome, gateway.Status{Left: 5, Free: 3, Age: 10}
}
func (b *fakeLeases) Settle(_ gateway.Reservation, spent uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = append(b.settled, spent)
}
func (b *fakeLeases) Boxes() int {
	if b.unknown {
		return 0
	}
	return max(1, b.boxes)
}

type noCounter struct{}

func (noCounter) Done(string, string)             {}
func (noCounter) Returned(string, string)         {}
func (noCounter) FirstByte(string, time.Duration) {}
func (noCounter) Forwarded(string, string)        {}
func (noCounter) Limit(string)                    {}
func (noCounter) Odd(string, string)              {}

// newQuarantine returns a quarantine that reaches no control box.
func newQuarantine(store *gateway.Store) *quarantine.Service {
	return quarantine.New(quarantine.Options{List: &store.Quarantine, Clock: clock.System{}, Logger: logging.Discard(), Report: func(context.Context, *statev1.ReportCalls) error { return nil }})
}

func newForwarder(t testing.TB, leases Leases, targets ...*target) *Forwarder {
	t.Helper()
	route := func(name string, kind statev1.Route_Kind, attempts uint32, resumable bool) *statev1.Route {
		return &statev1.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 20000, Objective: 4000, MaxAttempts: attempts, Resumable: resumable, Splits: []*statev1.Split{{Service: "s", Weight: 1}}}
	}
	message := &betweenv1.FollowResponse{
		Routing: &statev1.RoutingTable{
			Version: 1,
			Routes: []*statev1.Route{
				route("safe", statev1.Route_KIND_SAFE, 2, false), route("unsafe", statev1.Route_KIND_UNSAFE, 2, false),
				route("stream", statev1.Route_KIND_STREAM, 2, false), route("resume", statev1.Route_KIND_STREAM, 2, true),
			},
			Services: []*statev1.Service{{Name: "s", Engine: &statev1.EngineLimits{EventTokens: 5}}},
			Payers:   []*statev1.Payer{{Organisation: "o", Keys: []string{"key"}, Priority: 1, Prepaid: 1000, Limited: true}},
		},
		TargetRevision: uint64(len(targets)),
	}
	for i, tg := range targets {
		message.Targets = append(message.Targets, &statev1.RegisteredTarget{Id: tg.name, Service: "s", Address: tg.l.Addr().String(), DataCentre: []string{"dc", "far"}[min(i, 1)], Version: "v1", State: statev1.RegisteredTarget_STATE_READY, Revision: uint64(i + 1)})
	}
	store := gateway.NewStore(clock.System{})
	store.Apply(message)
	f := New(Options{DataCentre: "dc", Dialect: testDialect, Store: store, Leases: leases, Clock: clock.System{}, Logger: logging.Discard(), Counter: noCounter{}, Quarantine: newQuarantine(store), RetryStock: 100})
	f.Refresh()
	return f
}

func newCall(route string) *Call {
	return &Call{ID: "id-1", Method: http.MethodPost, URI: "/" + route + "/x?q=1", Path: "/" + route + "/x", Host: "h", Key: "key", LastEvent: -1, InputTokens: 100, MaxOutputTokens: 50, Body: []byte("question"),
		Fields: []Field{{Name: "X-Id", Value: "id-1"}}, Arrived: clock.System{}.Boot()}
}
