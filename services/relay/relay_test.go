// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/tcpconn"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/relay"
)

// targets dials the target with id "target" at an address; other ids are unknown.
type targets struct {
	address string
	// err is the result of all dials, if it is not nil.
	err error
	// silent makes dials hang.
	silent bool
	dials  atomic.Int64
}

func (ts *targets) DialTarget(ctx context.Context, id string) (net.Conn, error) {
	ts.dials.Add(1)
	switch {
	case ts.silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case ts.err != nil:
		return nil, ts.err
	case id != "target":
		return nil, relay.ErrUnknownTarget{Target: id}
	default:
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", ts.address)
		if err != nil {
			return nil, err
		}
		return tcpconn.New(c.(*net.TCPConn)), nil
	}
}

func newPeers(box, secret string) *peers.Peers {
	return peers.New(peers.Options{Box: box, Secret: []byte(secret), Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
}

// carrier is a box that carries connections.
type carrier struct {
	box    lease.Box
	server *relay.Server
	http   *http.Server
	// conns are the connections from other boxes.
	mu    sync.Mutex
	conns []net.Conn
}

// newCarrier starts a box that carries connections to the given targets.
func newCarrier(t testing.TB, name, secret string, ts relay.Targets) *carrier {
	t.Helper()
	return newCarrierWith(t, name, secret, ts, func(s relay.ServerStream) relay.ServerStream { return s })
}

// newCarrierWith is like newCarrier with streams that wrap replaces.
func newCarrierWith(t testing.TB, name, secret string, ts relay.Targets, wrap func(relay.ServerStream) relay.ServerStream) *carrier {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &carrier{box: lease.Box{Name: name, DataCentre: "dc", Address: l.Addr().String()}}
	c.server = relay.NewServer(relay.ServerOptions{Targets: ts, IsCongested: func() bool { return false }, Count: func(string) {}})
	p := newPeers(name, secret)
	mux := http.NewServeMux()
	mux.Handle(betweenv1connect.NewRelayServiceHandler(handler{c.server, wrap}, p.HandlerOptions()...))
	c.http = p.Server(mux)
	c.http.ConnState = func(conn net.Conn, s http.ConnState) {
		if s == http.StateNew {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.conns = append(c.conns, conn)
		}
	}
	go func() { _ = c.http.Serve(l) }()
	t.Cleanup(func() { _ = c.http.Close() })
	return c
}

// kill closes all connections of the box at once, as the end of its process does.
func (c *carrier) kill() {
	_ = c.http.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

type handler struct {
	server *relay.Server
	wrap   func(relay.ServerStream) relay.ServerStream
}

func (h handler) Connect(ctx context.Context, stream *connect.BidiStream[betweenv1.ConnectRequest, betweenv1.ConnectResponse]) error {
	return h.server.Serve(ctx, h.wrap(stream))
}

const secret = "a secret for tests on loopback only"

func newDialer(carriers ...*carrier) *relay.Dialer {
	var boxes []lease.Box
	for _, c := range carriers {
		boxes = append(boxes, c.box)
	}
	return relay.NewDialer(relay.DialerOptions{
		Box: "self", DataCentre: "dc", Directory: func() *lease.Directory { return lease.NewDirectory(boxes) },
		Connect: newPeers("self", secret).Relays, Clock: clock.System{}, Logger: logging.Discard(),
	})
}

// listen starts a target that passes each connection to serve.
func listen(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// readLine reads one line from a connection, byte by byte.
func readLine(c net.Conn) string {
	var line []byte
	one := make([]byte, 1)
	for {
		if _, err := c.Read(one); err != nil {
			return string(line)
		}
		if one[0] == '\n' {
			return string(line)
		}
		line = append(line, one[0])
	}
}

// Guards against an answer that looks whole because of the box that carried it, and against
// blaming a target for that box.
func TestEndOfCarriedConnections(t *testing.T) {
	const answer = "the answer of the target"
	tests := map[string]struct {
		// end is what the target does after its answer.
		end func(c *net.TCPConn)
		// during is what happens to the box that carries the connection.
		during func(c *carrier)
		want   error
		// other is set if the error must say nothing about the target.
		other bool
	}{
		"the target closes":       {end: func(c *net.TCPConn) { _ = c.Close() }, want: io.EOF},
		"the target closes half":  {end: func(c *net.TCPConn) { _ = c.CloseWrite() }, want: io.EOF},
		"the target resets":       {end: func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, want: syscall.ECONNRESET},
		"the box ends":            {during: (*carrier).kill, other: true},
		"the box stops at once":   {during: func(c *carrier) { _ = c.http.Close() }, other: true},
		"the target says nothing": {during: func(*carrier) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hangs := make(chan struct{})
			defer close(hangs)
			address := listen(t, func(c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "%s to %s", answer, readLine(c))
				if test.end != nil {
					test.end(c)
				}
				<-hangs
			})
			box := newCarrier(t, "box", secret, &targets{address: address})
			c, err := newDialer(box).Dial(context.Background(), "service", "target")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, "question\n"); err != nil {
				t.Fatal(err)
			}
			want := answer + " to question"
			got := make([]byte, len(want))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
				t.Fatalf("read %q: %v", got, err)
			}
			if test.during != nil {
				test.during(box)
			}
			if test.want == nil && !test.other {
				return
			}
			_, err = c.Read(got)
			if test.other && (err == nil || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
				t.Fatalf("the end of the box reads as %v", err)
			}
			if !test.other && !errors.Is(err, test.want) {
				t.Fatalf("the connection ended with %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against a part of an answer that looks whole since the carrying box's write took the reset.
func TestResetDuringACarriedUploadIsNoOrderlyEnd(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "after 5 ms": 5 * time.Millisecond, "after 50 ms": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c *net.TCPConn) {
				readLine(c)
				_, _ = io.WriteString(c, "part")
				time.Sleep(delay)
				_ = c.SetLinger(0)
				_ = c.Close()
			})
			d := newDialer(newCarrier(t, "box", secret, &targets{address: address}))
			for range 20 {
				c, err := d.Dial(context.Background(), "service", "target")
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.WriteString(c, "question\n"+strings.Repeat("a", 8<<20)) }()
				got, err := io.ReadAll(c)
				if err == nil {
					t.Fatalf("read %q and an orderly end", got)
				}
				_ = c.Close()
			}
		})
	}
}

// lateStream is a stream of which only the first messages come in time.
type lateStream struct {
	relay.ServerStream
	left int
	late <-chan struct{}
}

func (s *lateStream) Receive() (*betweenv1.ConnectRequest, error) {
	if s.left--; s.left < 0 {
		<-s.late
	}
	return s.ServerStream.Receive()
}

// Guards against a part of an answer that looks whole since its target closed before the rest of the request had
// reached the carrying box.
func TestOrderlyEndBeforeAllHasReachedTheCarryingBox(t *testing.T) {
	address := listen(t, func(c *net.TCPConn) {
		readLine(c)
		_, _ = io.WriteString(c, "part")
		_ = c.Close()
	})
	late := make(chan struct{})
	defer close(late)
	// The first message names the target, the second has the question.
	box := newCarrierWith(t, "box", secret, &targets{address: address}, func(s relay.ServerStream) relay.ServerStream {
		return &lateStream{ServerStream: s, left: 2, late: late}
	})
	c, err := newDialer(box).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	question, rest := "question\n", "the rest"
	for _, text := range []string{question, rest} {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	if err == nil {
		err = c.(*relay.Conn).ConfirmEnd(func() (int64, bool) { return int64(len(question + rest)), true })
	}
	if err == nil {
		t.Fatalf("read %q and an end that is confirmed", got)
	}
}

// Guards against an early answer over another box that is lost though its target reads on and ends the connection in
// order.
func TestOrderlyEndDuringACarriedUpload(t *testing.T) {
	address := listen(t, func(c *net.TCPConn) {
		readLine(c)
		_, _ = io.WriteString(c, "answer")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	c, err := newDialer(newCarrier(t, "box", secret, &targets{address: address})).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "question\n"); err != nil {
		t.Fatal(err)
	}
	var written atomic.Int64
	go func() {
		for range 64 {
			n, _ := c.Write(make([]byte, 128<<10))
			written.Add(int64(n))
		}
	}()
	got, err := io.ReadAll(c)
	if err != nil || string(got) != "answer" {
		t.Fatalf("read %q: %v", got, err)
	}
	sent := func() (int64, bool) { return written.Load(), written.Load() == 8<<20 }
	if err := c.(*relay.Conn).ConfirmEnd(sent); err != nil {
		t.Fatalf("%v after %d bytes", err, written.Load())
	}
}

// stoppingStream is a stream to a box whose message of the stop is held up until release is closed.
type stoppingStream struct {
	received         atomic.Bool
	ended            chan struct{}
	entered, release chan struct{}
}

func (s *stoppingStream) Receive() (*betweenv1.ConnectRequest, error) {
	if !s.received.Swap(true) {
		return &betweenv1.ConnectRequest{Target: "target"}, nil
	}
	<-s.ended
	return nil, io.EOF
}

func (s *stoppingStream) Send(m *betweenv1.ConnectResponse) error {
	if m.GetClosing() {
		close(s.entered)
		<-s.release
	}
	return nil
}

// Guards against a message of a stop that is sent on a stream whose handler has returned.
func TestStopSendsNothingAfterTheEndOfAStream(t *testing.T) {
	goOn := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		<-goOn
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	server := relay.NewServer(relay.ServerOptions{Targets: &targets{address: address}, IsCongested: func() bool { return false }, Count: func(string) {}})
	stream := &stoppingStream{ended: make(chan struct{}), entered: make(chan struct{}), release: make(chan struct{})}
	defer close(stream.ended)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_ = server.Serve(context.Background(), stream)
	}()
	for server.Carried() == 0 {
		time.Sleep(time.Millisecond)
	}
	server.Stop()
	<-stream.entered
	close(goOn)
	select {
	case <-returned:
		t.Error("the handler returned while a message was sent on its stream")
	case <-time.After(200 * time.Millisecond):
	}
	close(stream.release)
	<-returned
}

// Guards against streams over another box that can't leave a silent target.
func TestReadDeadlineOfCarriedConnection(t *testing.T) {
	goOn := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		<-goOn
		_, _ = io.WriteString(c, "answer")
	})
	c, err := newDialer(newCarrier(t, "box", secret, &targets{address: address})).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := make([]byte, len("answer"))
	for range 2 {
		if err := c.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a read past its deadline returned %v", err)
		}
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	close(goOn)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "answer" {
		t.Fatalf("read %q: %v", got, err)
	}
}

// Guards against work at a target for a caller that has left.
func TestClosedConnectionIsClosedAtTheTarget(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	c, err := newDialer(newCarrier(t, "box", secret, &targets{address: address})).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	<-closed
	if _, err := c.Write([]byte("late")); err == nil {
		t.Fatal("a closed connection takes bytes")
	}
}

// Which box opens a connection, and what the caller learns if none does.
func TestWhichBoxOpensAConnection(t *testing.T) {
	noPath := errors.WithStack(relay.ErrNoPath{Reason: "test"})
	refused := errors.WithStack(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	tests := map[string]struct {
		// boxes has what the dials of each box result in.
		boxes   []*targets
		secret  string
		target  string
		noPath  bool
		refused bool
		// silent is set if no box answers at all.
		silent bool
	}{
		"no box":                        {noPath: true},
		"one box":                       {boxes: []*targets{{}}},
		"one without path":              {boxes: []*targets{{err: noPath}, {}}},
		"all without path":              {boxes: []*targets{{err: noPath}, {err: noPath}}, noPath: true},
		"one silent":                    {boxes: []*targets{{silent: true}, {}}},
		"all silent":                    {boxes: []*targets{{silent: true}, {silent: true}}, noPath: true, silent: true},
		"busy":                          {boxes: []*targets{{err: relay.ErrBusy{Reason: "test"}}, {}}},
		"target refused":                {boxes: []*targets{{err: refused}}, refused: true},
		"unknown target":                {boxes: []*targets{{}}, target: "unknown", noPath: true},
		"a box that isn't of the fleet": {boxes: []*targets{{}}, secret: "another secret, not of the fleet", noPath: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
			var carriers []*carrier
			for n, ts := range test.boxes {
				ts.address = address
				s := secret
				if test.secret != "" {
					s = test.secret
				}
				carriers = append(carriers, newCarrier(t, fmt.Sprint("box-", n), s, ts))
			}
			target := "target"
			if test.target != "" {
				target = test.target
			}
			d := newDialer(carriers...)
			c, err := d.Dial(context.Background(), "service", target)
			if c != nil {
				defer c.Close()
			}
			if relay.IsErrNoPath(err) != test.noPath || errors.Is(err, syscall.ECONNREFUSED) != test.refused {
				t.Fatalf("got %v, want no path %v, refused %v", err, test.noPath, test.refused)
			}
			if !test.noPath && !test.refused && err != nil {
				t.Fatal(err)
			}
			if test.silent {
				// Boxes may be slow once.
				_, _ = d.Dial(context.Background(), "service", target)
			}
			if test.noPath && d.HasPath("service") {
				t.Error("a path is expected right after none was found")
			}
			if test.secret != "" && test.boxes[0].dials.Load() > 0 {
				t.Error("a box that isn't of the fleet dialled a target")
			}
		})
	}
}

// Guards against requests over a connection whose box is about to stop.
func TestStoppingBoxGivesConnectionsUp(t *testing.T) {
	address := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	box := newCarrier(t, "box", secret, &targets{address: address})
	d := newDialer(box)
	c, err := d.Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	conn := c.(*relay.Conn)
	if !conn.IsReusable() || conn.Box() != "box" {
		t.Fatalf("reusable %v, carried by %q", conn.IsReusable(), conn.Box())
	}
	box.server.Stop()
	for conn.IsReusable() {
		time.Sleep(time.Millisecond)
	}
	if _, err := d.Dial(context.Background(), "service", "target"); !relay.IsErrNoPath(err) {
		t.Fatalf("a stopping box opened a connection: %v", err)
	}
	// What is in progress goes on.
	if _, err := io.WriteString(c, "rest\n"); err != nil || readLine(c) != "rest" {
		t.Fatalf("the connection does not carry its request to the end: %v", err)
	}
	_ = c.Close()
	box.server.Wait(context.Background())
}

// Guards against a box that buffers what nobody reads.
func TestUnreadBytesAreBounded(t *testing.T) {
	const size = 64 << 20
	var sent atomic.Int64
	address := listen(t, func(c *net.TCPConn) {
		piece := make([]byte, 64<<10)
		for sent.Load() < size {
			n, err := c.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
		_ = c.Close()
	})
	c, err := newDialer(newCarrier(t, "box", secret, &targets{address: address})).Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for last := int64(-1); sent.Load() != last; time.Sleep(200 * time.Millisecond) {
		last = sent.Load()
	}
	if sent.Load() >= size {
		t.Fatal("the target could send everything although nobody reads")
	}
	n, err := io.Copy(io.Discard, c)
	if err != nil || n < size {
		t.Fatalf("read %d bytes: %v", n, err)
	}
}

// Guards against many carried connections that together fill the memory of a box while nobody reads them.
func TestUnreadBytesTakeLittleMemory(t *testing.T) {
	// most lets a box of 112 MB have 200 connections. The connections here take it at two boxes together.
	const connections, most = 40, 112 << 20 / 200
	var sent atomic.Int64
	open := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		<-open
		for piece := make([]byte, 64<<10); ; {
			n, err := c.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	d := newDialer(newCarrier(t, "box", secret, &targets{address: address}))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range connections {
		c, err := d.Dial(context.Background(), "service", "target")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	close(open)
	for last := int64(-1); sent.Load() != last; time.Sleep(500 * time.Millisecond) {
		last = sent.Load()
	}
	// Buffers in a sync.Pool are free, and outlive one collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if per := int64(after.HeapAlloc-before.HeapAlloc) / connections; per > most {
		t.Errorf("a connection that nobody reads takes %d bytes, want at most %d", per, most)
	}
}

// BenchmarkHop measures a request of 400 bytes with an answer of 800 bytes over a connection that
// another box carries, and directly.
func BenchmarkHop(b *testing.B) {
	question, answer := strings.Repeat("q", 399)+"\n", strings.Repeat("a", 799)+"\n"
	address := listen(b, func(c *net.TCPConn) {
		for lines := bufio.NewScanner(c); lines.Scan(); {
			_, _ = io.WriteString(c, answer)
		}
	})
	dials := map[string]func() (net.Conn, error){
		"direct": func() (net.Conn, error) { return net.Dial("tcp", address) },
		"carried": func() (net.Conn, error) {
			return newDialer(newCarrier(b, "box", secret, &targets{address: address})).Dial(context.Background(), "service", "target")
		},
	}
	for name, dial := range dials {
		b.Run(name, func(b *testing.B) {
			c, err := dial()
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buffer := make([]byte, len(answer))
			for b.Loop() {
				_, _ = io.WriteString(c, question)
				if _, err := io.ReadFull(c, buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCarriedMemory reports the memory of one open connection, on both boxes together.
func BenchmarkCarriedMemory(b *testing.B) {
	address := listen(b, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	d := newDialer(newCarrier(b, "box", secret, &targets{address: address}))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		c, err := d.Dial(context.Background(), "service", "target")
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "question\n"); err != nil || readLine(c) != "question" {
			b.Fatalf("no answer: %v", err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(b.N), "B/conn")
}

// BenchmarkOpen measures opening a connection through another box.
func BenchmarkOpen(b *testing.B) {
	address := listen(b, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	d := newDialer(newCarrier(b, "box", secret, &targets{address: address}))
	for b.Loop() {
		c, err := d.Dial(context.Background(), "service", "target")
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}

// starvable is the client of a box whose own process lacks a resource to dial while isStarved is set.
type starvable struct {
	betweenv1connect.RelayServiceClient
	starved   betweenv1connect.RelayServiceClient
	isStarved *atomic.Bool
}

func (s starvable) Connect(ctx context.Context) *connect.BidiStreamForClient[betweenv1.ConnectRequest, betweenv1.ConnectResponse] {
	if s.isStarved.Load() {
		return s.starved.Connect(ctx)
	}
	return s.RelayServiceClient.Connect(ctx)
}

// Guards against a box that is short of a resource and leaves the others out for it.
func TestShortageIsNoEvidenceAgainstOtherBoxes(t *testing.T) {
	address := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	b := newCarrier(t, "box", secret, &targets{address: address})
	// A local address that the machine does not have makes dials fail before a packet is sent.
	starved := peers.New(peers.Options{Box: "self", Secret: []byte(secret), Clock: clock.System{}, Stamps: hlc.New(clock.System{}), IP: net.IPv4(192, 0, 2, 1)})
	real := newPeers("self", secret)
	var isStarved atomic.Bool
	isStarved.Store(true)
	d := relay.NewDialer(relay.DialerOptions{
		Box: "self", DataCentre: "dc", Directory: func() *lease.Directory { return lease.NewDirectory([]lease.Box{b.box}) },
		Connect: func(address string) betweenv1connect.RelayServiceClient {
			return starvable{real.Relays(address), starved.Relays(address), &isStarved}
		},
		Clock: clock.System{}, Logger: logging.Discard(),
	})
	for range 3 {
		if _, err := d.Dial(context.Background(), "service", "target"); !dial.IsShortage(err) || relay.IsErrNoPath(err) {
			t.Fatalf("got %v, want the shortage", err)
		}
	}
	if !d.HasPath("service") {
		t.Error("no path is expected any more")
	}
	isStarved.Store(false)
	c, err := d.Dial(context.Background(), "service", "target")
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}
