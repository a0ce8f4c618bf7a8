// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/services/forward"
	store "havenwinch.dev/havenwinch/services/gateway"
	"havenwinch.dev/havenwinch/services/quarantine"
)

// plainTranslator implements Translator with the field names of testDialect.
type plainTranslator struct{}

func (plainTranslator) RequestID(h *fasthttp.RequestHeader) (string, string) {
	return "X-Id", string(h.Peek("X-Id"))
}

func (plainTranslator) Call(h *fasthttp.RequestHeader, body []byte) (*forward.Call, error) {
	if string(h.Peek("X-Id")) == "" {
		return nil, errors.New("X-Id is missing")
	}
	uri := string(h.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	return &forward.Call{
		ID: string(h.Peek("X-Id")), Method: string(h.Method()), URI: uri, Path: path, Host: string(h.Host()), Body: body, LastEvent: -1,
		Fields: []forward.Field{{Name: "X-Id", Value: string(h.Peek("X-Id"))}},
	}, nil
}

var testDialect = forward.Dialect{RequestID: "X-Id", Deadline: "X-Deadline", Organisation: "X-Org", ExpectTarget: "X-Expect", NotRun: "X-Not-Run", Signature: "X-Signed", LastEvent: "X-Last", Priority: "X-Rank"}

type noLeases struct{}

func (noLeases) Reserve(context.Context, string, uint64, time.Duration) (store.Reservation, store.Outcome, store.Status) {
	return store.Reservation{}, store.Reserved, store.Status{}
}
func (noLeases) Settle(store.Reservation, uint64) {}
func (noLeases) Boxes() int                       { return 1 }

type noCounter struct{}

func (noCounter) Done(string, string)             {}
func (noCounter) Returned(string, string)         {}
func (noCounter) FirstByte(string, time.Duration) {}
func (noCounter) Forwarded(string, string)        {}
func (noCounter) Limit(string)                    {}
func (noCounter) Odd(string, string)              {}

// fixture is a server that forwards to the targets of a test.
type fixture struct {
	server  *Server
	address string
	cancel  context.CancelFunc
	// callers counts the bytes on the connections of callers.
	callers *meter.Meter
	// limits take the place of those of the table if they are set.
	limits atomic.Pointer[statev1.CallerLimits]
}

// newFixture starts a server that forwards to one target with the given handler.
func newFixture(t testing.TB, target http.HandlerFunc) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &http.Server{Handler: target}
	go func() { _ = backend.Serve(l) }()
	t.Cleanup(func() { _ = backend.Close() })
	return newFixtureWithTargets(t, l.Addr().String())
}

// newFixtureWithTargets starts a server that forwards to targets at the given
// addresses. Only the first target is in the server's own data centre.
func newFixtureWithTargets(t testing.TB, addresses ...string) *fixture {
	t.Helper()
	route := func(name string, kind statev1.Route_Kind, attempts uint32) *statev1.Route {
		return &statev1.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 30000, Objective: 1000, MaxAttempts: attempts, Resumable: name == "resume", Splits: []*statev1.Split{{Service: "s", Weight: 1}}}
	}
	update := &betweenv1.FollowResponse{
		Routing: &statev1.RoutingTable{
			Version: 1,
			Routes: []*statev1.Route{
				route("plain", statev1.Route_KIND_UNSAFE, 1), route("safe", statev1.Route_KIND_SAFE, 2),
				route("stream", statev1.Route_KIND_STREAM, 1), route("resume", statev1.Route_KIND_STREAM, 2),
			},
			Services: []*statev1.Service{{Name: "s"}},
			Limits:   &statev1.CallerLimits{MaxHeaderBytes: 1024, MaxBodyBytes: 2048},
		},
		TargetRevision: uint64(len(addresses)),
	}
	for i, address := range addresses {
		update.Targets = append(update.Targets, &statev1.RegisteredTarget{Id: fmt.Sprintf("t%d", i+1), Service: "s", Address: address, DataCentre: []string{"", "far"}[min(i, 1)], State: statev1.RegisteredTarget_STATE_READY, Revision: uint64(i + 1)})
	}
	table := store.NewStore(clock.System{})
	table.Apply(update)
	f := forward.New(forward.Options{Dialect: testDialect, Store: table, Leases: noLeases{}, Quarantine: quarantine.New(quarantine.Options{List: &table.Quarantine, Clock: clock.System{}, Logger: logging.Discard()}), Clock: clock.System{}, Logger: logging.Discard(), Counter: noCounter{}, RetryStock: 10})
	f.Refresh()
	work, cancel := context.WithCancel(context.Background())
	fixture := &fixture{cancel: cancel, callers: &meter.Meter{}}
	limits := func() *statev1.CallerLimits {
		if l := fixture.limits.Load(); l != nil {
			return l
		}
		return table.Index().Table.GetLimits()
	}
	s := New(Options{Forwarder: f, Translator: plainTranslator{}, Limits: limits, Clock: clock.System{}, Logger: logging.Discard(), StopLinger: time.Minute, BaseContext: work})
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fixture.server, fixture.address = s, front.Addr().String()
	go func() { _ = s.Serve(fixture.callers.WrapListener(front)) }()
	t.Cleanup(func() {
		cancel()
		_ = front.Close()
	})
	return fixture
}

// awaitRead waits until the server has read a number of bytes from its callers.
func (f *fixture) awaitRead(n int) {
	for received := int64(0); received < int64(n); received, _ = f.callers.Totals() {
		time.Sleep(time.Millisecond)
	}
}

// signed sets the fields that the forwarder requires in a target's answer.
func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Signed", "yes")
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
}

// caller is a raw connection of a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, r: bufio.NewReader(c)}
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		t.Fatal(err)
	}
}

func (c *caller) head(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return resp
}

func request(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
}

// The head of a stream may have been sent before the stop began, so that the caller
// does not know that the connection will be closed. A request that follows must not run,
// and must be refused.
func TestStopClosesConnectionAfterRunningStream(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan string, 4)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		ran <- r.Header.Get("X-Id")
		signed(w, r)
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
		w.(http.Flusher).Flush()
		<-release
		_, _ = io.WriteString(w, "id: 1\ndata: b\n\n")
	})
	c := f.dial(t)
	c.send(t, request("/stream/x", "first"))
	resp := c.head(t)
	if resp.Close {
		t.Fatal("the head announces Connection: close before the stop")
	}
	f.server.Stop()
	f.server.CloseIdle()
	close(release)
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "id: 0\ndata: a\n\nid: 1\ndata: b\n\n" {
		t.Fatalf("the stream is incomplete: %q, %v", body, err)
	}
	c.send(t, request("/plain/x", "second"))
	if resp := c.head(t); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("a request after the stop got status %d, close %v, want a refusal that announces the close", resp.StatusCode, resp.Close)
	}
	if _, err := io.Copy(io.Discard, c.r); err != nil {
		t.Fatalf("the connection ended with %v, want an orderly end", err)
	}
	f.server.Wait(context.Background())
	if got := <-ran; got != "first" || len(ran) != 0 {
		t.Fatalf("the target ran %q and %d more", got, len(ran))
	}
}

// Guards against a request that was read while a stream still ran, and then dropped unanswered with
// its connection as the box stopped.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	const stream = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
	whole := "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: second\r\nContent-Length: 4\r\n\r\nbody"
	tests := map[string]struct {
		// withFirst is sent in one write with the first request, meanwhile while its stream runs, and
		// later after the stream has ended.
		withFirst, meanwhile, later string
	}{
		"sent at once":           {withFirst: whole},
		"sent during the stream": {meanwhile: whole},
		"its body comes later":   {meanwhile: whole[:len(whole)-4], later: whole[len(whole)-4:]},
		"its head comes later":   {meanwhile: whole[:20], later: whole[20:]},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			ran := make(chan string, 4)
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				ran <- r.Header.Get("X-Id")
				signed(w, r)
				_, _ = io.WriteString(w, stream[:len(stream)/2])
				w.(http.Flusher).Flush()
				<-release
				_, _ = io.WriteString(w, stream[len(stream)/2:])
			})
			c := f.dial(t)
			c.send(t, request("/stream/x", "first")+test.withFirst)
			first := c.head(t)
			c.send(t, test.meanwhile)
			f.awaitRead(len(request("/stream/x", "first") + test.withFirst + test.meanwhile))
			f.server.Stop()
			f.server.CloseIdle()
			close(release)
			if body, err := io.ReadAll(first.Body); err != nil || string(body) != stream {
				t.Fatalf("the stream is incomplete: %q, %v", body, err)
			}
			c.send(t, test.later)
			second := c.head(t)
			if second.StatusCode != http.StatusServiceUnavailable || second.Header.Get("X-Id") != "second" || second.Header.Get("Retry-After") == "" || !second.Close {
				t.Fatalf("got status %d of %q, close %v, Retry-After %q; want a refusal that announces the close", second.StatusCode, second.Header.Get("X-Id"), second.Close, second.Header.Get("Retry-After"))
			}
			f.server.Wait(context.Background())
			if got := <-ran; got != "first" || len(ran) != 0 {
				t.Fatalf("the target ran %q and %d more, want the first only", got, len(ran))
			}
		})
	}
}

// Guards against a close that is announced while a request that was already read waits for its turn.
func TestCloseIsAnnouncedInTheLastAnswer(t *testing.T) {
	tests := map[string]struct {
		// busy makes the box shed connections, otherwise it stops.
		busy     bool
		statuses []int
	}{
		"stop": {statuses: []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable}},
		"busy": {busy: true, statuses: []int{http.StatusOK, http.StatusOK, http.StatusOK}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			began, release := make(chan struct{}, 4), make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-release
				signed(w, r)
			})
			f.server.opts.ShouldCloseConnections = func() bool { return test.busy }
			c := f.dial(t)
			all := request("/plain/x", "1") + request("/plain/x", "2") + request("/plain/x", "3")
			c.send(t, all)
			f.awaitRead(len(all))
			<-began
			if !test.busy {
				f.server.Stop()
			}
			close(release)
			for i, want := range test.statuses {
				if resp := c.head(t); resp.StatusCode != want || resp.Close != (i == len(test.statuses)-1) || resp.Header.Get("X-Id") != strconv.Itoa(i+1) {
					t.Fatalf("answer %d: status %d of request %q, close %v, want %d", i+1, resp.StatusCode, resp.Header.Get("X-Id"), resp.Close, want)
				} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// An answer that begins after the stop must announce Connection: close.
func TestStopAnnouncesCloseInAnswer(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		signed(w, r)
	})
	c := f.dial(t)
	c.send(t, request("/plain/x", "only"))
	<-began
	f.server.Stop()
	close(release)
	if resp := c.head(t); !resp.Close || resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, close %v", resp.StatusCode, resp.Close)
	}
	f.server.Wait(context.Background())
}

// When a caller disconnects, its call at the target must be canceled.
func TestDisconnectCancelsCall(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	c := f.dial(t)
	c.send(t, request("/plain/x", "left"))
	<-began
	_ = c.Close()
	<-ended
}

// Invalid requests must get an error status and not reach a target.
func TestBadRequests(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("a bad request reached the target") })
	cases := map[string]struct {
		send   string
		status int
	}{
		"no id":             {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadRequest},
		"no request line":   {send: "nonsense\r\n\r\n", status: http.StatusBadRequest},
		"head too long":     {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 4096) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge},
		"body too long":     {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 4096\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"chunks too long":   {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nc00\r\n" + strings.Repeat("a", 0xc00) + "\r\n0\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"invalid chunks":    {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", status: http.StatusBadRequest},
		"two lengths":       {send: "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: http.StatusBadRequest},
		"no route":          {send: request("/other/x", "a"), status: http.StatusNotFound},
		"unknown host":      {send: "GET /plain/x HTTP/1.1\r\nHost: other\r\nX-Id: a\r\n\r\n", status: http.StatusNotFound},
		"incomplete prefix": {send: request("/plain", "a"), status: http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := f.dial(t)
			conn.send(t, c.send)
			if resp := conn.head(t); resp.StatusCode != c.status {
				t.Fatalf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

// A chunked body must reach the target whole, and the connection must stay usable.
func TestChunkedBodyKeepsConnection(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		signed(w, r)
		_, _ = w.Write(body)
	})
	c := f.dial(t)
	c.send(t, "POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+request("/plain/x", "b"))
	for _, want := range []string{"abcde", ""} {
		resp := c.head(t)
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != want || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %d %q (%v), want %q", resp.StatusCode, body, err, want)
		}
	}
}

// failingListener fails to accept a connection a number of times, as when the process has no free
// descriptor, before it accepts as usual.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a box that accepts no connection any more once it was short of descriptors.
func TestServerAcceptsAfterDescriptorsRanOut(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { signed(w, r) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l}
	failing.failures.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- f.server.Serve(failing) }()
	f.address = l.Addr().String()
	c := f.dial(t)
	c.send(t, request("/plain/x", "only"))
	answered := make(chan int, 1)
	go func() {
		if resp, err := http.ReadResponse(c.r, nil); err == nil {
			answered <- resp.StatusCode
		}
	}()
	select {
	case status := <-answered:
		if status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	case err := <-ended:
		t.Fatalf("the server accepts no more connections: %v", err)
	}
	_ = l.Close()
	<-ended
}

// Guards against callers' connections that leave no descriptor for those to targets.
func TestConnectionsOfCallersAreLimited(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/plain/slow" {
			began <- struct{}{}
			<-release
		}
		signed(w, r)
	})
	opts := f.server.opts
	opts.MaxConnections = 2
	limited := New(opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = limited.Serve(l) }()
	f.address = l.Addr().String()
	isClosed := func(c *caller) bool {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.r.ReadByte()
		var timeout net.Error
		return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	}
	awaitIdle := func(n int) {
		for count := -1; count != n; time.Sleep(time.Millisecond) {
			limited.idle.mu.Lock()
			count = limited.idle.order.Len()
			limited.idle.mu.Unlock()
		}
	}
	busy, idle := f.dial(t), f.dial(t)
	busy.send(t, request("/plain/slow", "busy"))
	<-began
	idle.send(t, request("/plain/x", "idle"))
	_ = idle.head(t)
	awaitIdle(1)

	next := f.dial(t)
	if !isClosed(idle) {
		t.Error("the idle connection stays open beyond the limit")
	}
	next.send(t, request("/plain/slow", "next"))
	<-began
	if !isClosed(f.dial(t)) {
		t.Error("a connection beyond the limit stays open though none is idle")
	}
	close(release)
	for name, c := range map[string]*caller{"the busy connection": busy, "its successor": next} {
		if resp := c.head(t); resp.StatusCode != http.StatusOK {
			t.Errorf("%s got status %d, want 200", name, resp.StatusCode)
		}
	}
	awaitIdle(2)
	last := f.dial(t)
	last.send(t, request("/plain/x", "last"))
	if resp := last.head(t); resp.StatusCode != http.StatusOK {
		t.Errorf("a connection after the calls got status %d, want 200", resp.StatusCode)
	}
}

func TestLimitIsLoggedAtIntervals(t *testing.T) {
	l := &limitLog{}
	lines, idle, unread := 0, 0, 0
	for at := time.Duration(0); at < 3*limitLogInterval; at += limitLogInterval / 100 {
		if i, u, due := l.record(at%(limitLogInterval/50) == 0, at); due {
			lines, idle, unread = lines+1, idle+i, unread+u
		}
	}
	if lines != 3 || idle != 101 || unread != 100 {
		t.Errorf("%d lines for %d idle and %d unread connections, want 3 for 101 and 100", lines, idle, unread)
	}
}
