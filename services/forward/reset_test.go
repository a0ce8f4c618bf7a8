// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// earlyTarget is a target that passes each connection to answer once it has read the head of a request.
func earlyTarget(t *testing.T, name string, answer func(c *net.TCPConn, id string)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{t: t, name: name, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), req.Header.Get("X-Id"))
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return tg
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// newLoggingForwarder returns a forwarder and its log.
func newLoggingForwarder(t *testing.T, targets ...*target) (*Forwarder, *lockedBuffer) {
	f, log := newForwarder(t, &fakeLeases{}, targets...), &lockedBuffer{}
	f.opts.Logger = slog.New(slog.NewJSONHandler(log, nil))
	return f, log
}

func (b *lockedBuffer) await(text string) {
	for !strings.Contains(b.String(), text) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against logs that don't tell what ended an answer without a length.
func TestLogTellsHowAnUnframedAnswerEnded(t *testing.T) {
	cases := map[string]struct {
		end  func(c *net.TCPConn)
		size int
		want []string
	}{
		"whole":             {size: 100, end: func(c *net.TCPConn) { _ = c.Close() }, want: []string{`"end":"EOF"`, `"framed":false`, `"received":`}},
		"the request fails": {size: 32 << 20, end: reset, want: []string{`"body_bytes":33554432`, `"body_written":`, `target broke off the request`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, log := newLoggingForwarder(t, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, head(id, "\r\nanswer"))
				c.end(conn)
			}))
			call := newCall("unsafe")
			call.Body = make([]byte, c.size)
			_ = f.Serve(context.Background(), call, &collector{})
			for _, want := range append(c.want, "early or unframed answer ended") {
				log.await(want)
			}
		})
	}
}

// slowSink is a collector whose first write waits for the end of onFirst.
type slowSink struct {
	collector
	onFirst func()
}

func (s *slowSink) Write(p []byte) error {
	if s.writes == 0 {
		s.onFirst()
	}
	return s.collector.Write(p)
}

// Guards against a part of an answer that ends as complete because the write of the request took the reset.
func TestResetDuringTheRequestEndsNoAnswer(t *testing.T) {
	long := strings.Repeat("a", 2*maxBufferedAnswer)
	cases := map[string]struct{ route, part string }{
		"a stream":                  {"stream", event(0) + event(1)},
		"a stream that may go on":   {"resume", event(0) + event(1)},
		"a long answer":             {"unsafe", long},
		"a long answer, repeatable": {"safe", long},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			f, log := newLoggingForwarder(t, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, head(id, "\r\n")+c.part)
				<-begun
				reset(conn)
			}))
			call := newCall(c.route)
			// More than the kernel's buffers of both sides take.
			call.Body = make([]byte, 32<<20)
			sink := &slowSink{onFirst: func() {
				close(begun)
				log.await("target broke off the request")
			}}
			if err := f.Serve(context.Background(), call, sink); err == nil || sink.ended {
				t.Fatalf("Serve returned %v, ended %v after %d bytes", err, sink.ended, sink.body.Len())
			}
		})
	}
}

// Guards against a short part of an answer that is passed on as whole.
func TestResetDuringTheRequestIsNoAnswer(t *testing.T) {
	for _, route := range []string{"unsafe", "safe"} {
		for range 20 {
			f := newForwarder(t, &fakeLeases{}, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, head(id, "\r\npart"))
				reset(conn)
			}))
			call, sink := newCall(route), &collector{}
			call.Body = make([]byte, 8<<20)
			if err := f.Serve(context.Background(), call, sink); err == nil || sink.heads > 0 {
				t.Fatalf("%s: Serve returned %v, status %d, body %q", route, err, sink.status, sink.body.String())
			}
		}
	}
}

// heldLink is a link that has room for the rest of a body once it is released.
type heldLink struct{ released chan struct{} }

func (l heldLink) AwaitWrite(context.Context) { <-l.released }

func (l heldLink) RetryAfter() time.Duration { return 0 }

// Guards against an answer that ends as complete though its target closed without reading the request.
func TestCloseDuringTheRequestIsNoAnswer(t *testing.T) {
	for _, route := range []string{"unsafe", "stream"} {
		t.Run(route, func(t *testing.T) {
			closed := make(chan struct{})
			f := newForwarder(t, &fakeLeases{}, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, head(id, "\r\n")+event(0))
				// It has read all that has come so far, so that this ends its side in order.
				_ = conn.Close()
				close(closed)
			}))
			f.opts.Link = heldLink{released: closed}
			call, sink := newCall(route), &collector{}
			call.Body = make([]byte, 1<<20)
			if err := f.Serve(context.Background(), call, sink); err == nil || sink.ended {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
		})
	}
}

// Guards against an early answer that is refused though its target reads on and ends the connection in order.
func TestEarlyAnswerOfATargetThatReadsOnIsWhole(t *testing.T) {
	cases := map[string]func(c *net.TCPConn){
		"at once":    func(c *net.TCPConn) {},
		"reads on":   func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads some": func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 16<<20) },
	}
	for name, read := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			f := newForwarder(t, &fakeLeases{}, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, head(id, "\r\nanswer"))
				_ = conn.CloseWrite()
				read(conn)
				<-done
				_ = conn.Close()
			}))
			call, sink := newCall("unsafe"), &collector{}
			call.Body = make([]byte, 32<<20)
			err := f.Serve(context.Background(), call, sink)
			close(done)
			if err != nil || !sink.ended || sink.body.String() != "answer" {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
		})
	}
}

// Guards against a stream that ends as complete because a look for its bytes took the reset.
func TestResetSeenByALookEndsNoStream(t *testing.T) {
	asked, served := make(chan struct{}), make(chan struct{})
	defer close(served)
	silent := func(c net.Conn, r received) {
		if r.path == "/report" {
			close(asked)
			<-served
			return
		}
		_, _ = io.WriteString(c, head(r.id, "\r\n")+event(0))
		<-asked
		reset(c.(*net.TCPConn))
	}
	one, two := newTarget(t, "one", silent, silent), newTarget(t, "two", chunks(true, event(1)))
	f := newForwarder(t, &fakeLeases{}, one, two)
	f.opts.EngineAPI = testEngineAPI{}
	f.stallWait, f.silentWait = 50*time.Millisecond, time.Minute
	// The other target has more calls, so that the stream begins at the first.
	f.targets.ByID("two").RunningCalls = 9
	sink := &collector{}
	if err := f.Serve(context.Background(), newCall("resume"), sink); err != nil || sink.body.String() != event(0)+event(1) {
		t.Fatalf("Serve returned %v: %q", err, sink.body.String())
	}
}
