// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/gen/havenwinch/between/v1/betweenv1connect"
	"havenwinch.dev/havenwinch/models/lease"
	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/hlc"
	"havenwinch.dev/havenwinch/modules/logging"
	"havenwinch.dev/havenwinch/modules/meter"
	"havenwinch.dev/havenwinch/modules/tcpconn"
	"havenwinch.dev/havenwinch/services/peers"
	"havenwinch.dev/havenwinch/services/relay"
)

// carrierBox is a box that carries connections to targets by their addresses.
type carrierBox struct{ server *relay.Server }

func (carrierBox) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return tcpconn.New(c.(*net.TCPConn)), nil
}

// Connect implements RelayServiceHandler.
func (b *carrierBox) Connect(ctx context.Context, s *connect.BidiStream[betweenv1.ConnectRequest, betweenv1.ConnectResponse]) error {
	return b.server.Serve(ctx, s)
}

// newCarrierDialer starts a box that carries connections, and returns the dialer of another box.
func newCarrierDialer(t *testing.T) *relay.Dialer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	newPeers := func(box string) *peers.Peers {
		return peers.New(peers.Options{Box: box, Secret: []byte("a secret for tests on loopback only"), Clock: clock.System{}, Stamps: hlc.New(clock.System{})})
	}
	b := &carrierBox{}
	b.server = relay.NewServer(relay.ServerOptions{Targets: *b, Meter: &meter.Meter{}, IsCongested: func() bool { return false }, Count: func(string) {}})
	p, mux := newPeers("carrier"), http.NewServeMux()
	mux.Handle(betweenv1connect.NewRelayServiceHandler(b, p.HandlerOptions()...))
	server := p.Server(mux)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	directory := lease.NewDirectory([]lease.Box{{Name: "carrier", DataCentre: "dc", Address: l.Addr().String()}})
	return relay.NewDialer(relay.DialerOptions{Box: "self", DataCentre: "dc", Directory: func() *lease.Directory { return directory }, Connect: newPeers("self").Relays, Clock: clock.System{}, Logger: logging.Discard()})
}

// carryAll makes all connections of a forwarder go through another box.
func carryAll(f *Forwarder, d *relay.Dialer) {
	f.pool.isLost = func(string) bool { return true }
	f.pool.relay = func(ctx context.Context, t *spread.Target) (net.Conn, error) {
		return d.Dial(ctx, t.Service, t.Address)
	}
}

const (
	plainBody   = "the answer"
	longRequest = 8 << 20
)

// framings returns a whole answer with the body of a route, by the framing of its body.
func framings(body string) map[string]string {
	half := len(body) / 2
	return map[string]string{
		"length": signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunks": chunkedHead + chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n",
		"end":    signedHead + "\r\n" + body,
	}
}

// bodyOf returns the body of whole answers on a route.
func bodyOf(route string) string {
	if route == "stream" || route == "resume" {
		return event(0) + event(1)
	}
	return plainBody
}

// wholeBodies returns the bodies with which the call may end, if its target sends the first cut bytes of an
// answer: none if its head or framing tells that a part is missing, or if it was reset. An answer that ends with its connection and was cut in order after its head can't be told from a
// whole one, but within an event.
func wholeBodies(route, framing, text string, cut int, ordered bool) []string {
	body := bodyOf(route)
	if framing != "end" || !ordered {
		return nil
	}
	got, begun := strings.CutPrefix(text[:cut], signedHead+"\r\n")
	switch {
	case !begun:
		return nil
	case body == plainBody:
		return []string{got}
	case got == "" || got == event(0) || got == body:
		return []string{got}
	}
	return nil
}

// Guards against a part of an answer that ends as a whole one.
func TestCutAnswersAreNotWhole(t *testing.T) {
	ends := map[string]struct {
		end     func(c *net.TCPConn)
		ordered bool
		// request is the length of the call's body, and step the bytes between two cuts.
		request, step int
	}{
		"close":                          {end: closes, ordered: true, step: 1},
		"reset":                          {end: reset, step: 1},
		"reset while a request is sent":  {end: reset, request: longRequest, step: 29},
		"closed while a request is sent": {end: closes, request: longRequest, step: 29},
	}
	for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
		for framing, text := range framings(bodyOf(route)) {
			for name, e := range ends {
				for _, carried := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %s, carried %v", route, framing, name, carried), func(t *testing.T) {
						t.Parallel()
						var d *relay.Dialer
						step := e.step
						if carried {
							d, step = newCarrierDialer(t), max(3, step)
						}
						var cut atomic.Int64
						part := func(c *net.TCPConn, id string) {
							_, _ = io.WriteString(c, strings.ReplaceAll(text[:cut.Load()], "ID", id))
							e.end(c)
						}
						tg := newTarget(t, "one", slices.Repeat([]script{func(c net.Conn, r received) { part(c.(*net.TCPConn), r.id) }}, len(text))...)
						if e.request > 0 {
							tg = earlyTarget(t, "one", part)
						}
						for at := 0; at < len(text); at += step {
							cut.Store(int64(at))
							checkCut(t, tg, d, route, e.request, text[:at], wholeBodies(route, framing, text, at, e.ordered))
						}
					})
				}
			}
		}
	}
}

// checkCut serves a call whose target sends a part of an answer, which may end with one of the bodies in whole.
// The connections go through another box unless d is nil.
func checkCut(t *testing.T, tg *target, d *relay.Dialer, route string, request int, part string, whole []string) {
	t.Helper()
	f := newForwarder(t, &fakeLeases{}, tg)
	if d != nil {
		carryAll(f, d)
	}
	call, sink := newCall(route), &collector{}
	if request > 0 {
		call.Body = make([]byte, request)
	}
	err := f.Serve(context.Background(), call, sink)
	if sink.ended && (!slices.Contains(whole, sink.body.String()) || sink.status != http.StatusOK) {
		t.Fatalf("after %q: the answer ended with status %d and %q, %v", part, sink.status, sink.body.String(), err)
	}
	if !sink.ended && err == nil {
		t.Fatalf("after %q: no whole answer and no error", part)
	}
}

// oddHeads returns heads that are no sound ones of a final answer, by name, with the end of the head.
func oddHeads() map[string]string {
	list := map[string]string{}
	add := func(name, line, field string) {
		list[name] = line + "\r\nX-Signed: s\r\nX-Id: ID\r\n" + field + "Content-Length: 2\r\n\r\nok"
	}
	for status := range 1000 {
		if status < http.StatusOK || status >= 600 {
			add(fmt.Sprintf("status %03d", status), fmt.Sprintf("HTTP/1.1 %03d OK", status), "")
		}
	}
	for _, status := range []string{"", "2", "20", "2000", "0200", "+20", "-20", "2 0", "20x", "2\t0", "\t200", "200\t", "0x1", "²00"} {
		add(fmt.Sprintf("status %q", status), "HTTP/1.1 "+status+" OK", "")
	}
	for _, version := range []string{"", "HTTP", "HTTP/", "HTTP/1", "HTTP/1.", "HTTP/1.2", "HTTP/1.11", "HTTP/0.9", "HTTP/2.0", "HTTP/2", "http/1.1", "HTTP/1.1 ", " HTTP/1.1", "HTTP/1.1\t", "XHTTP/1.1", "HTTP /1.1", "ICY"} {
		add(fmt.Sprintf("version %q", version), version+" 200 OK", "")
	}
	for c := range 256 {
		s := string([]byte{byte(c)})
		isControl := c < ' ' && c != '\t' || c == 0x7f
		if isControl {
			add(fmt.Sprintf("reason with %#x", c), "HTTP/1.1 200 O"+s+"K", "")
			add(fmt.Sprintf("value with %#x", c), "HTTP/1.1 200 OK", "X-A: a"+s+"b\r\n")
		}
		if isControl || c == ' ' || c == '\t' || c >= 0x80 || strings.Contains("\"(),/;<=>?@[\\]{}", s) {
			for place, name := range map[string]string{"first": s + "X-A", "middle": "X" + s + "A", "last": "X-A" + s} {
				add(fmt.Sprintf("name with %#x %s", c, place), "HTTP/1.1 200 OK", name+": b\r\n")
			}
		}
	}
	add("no name", "HTTP/1.1 200 OK", ": b\r\n")
	add("no colon", "HTTP/1.1 200 OK", "X-A\r\n")
	add("folded", "HTTP/1.1 200 OK", "X-A: a\r\n b\r\n")
	add("two lengths", "HTTP/1.1 200 OK", "Content-Length: 1\r\n")
	add("length and chunks", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n")
	add("another coding", "HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n")
	return list
}

// Guards against an answer whose head is not sound, or has no final status, that reaches a caller.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			heads := oddHeads()
			var text atomic.Value
			answer := func(c net.Conn, r received) { rawResponse(text.Load().(string))(c, r) }
			tg := newTarget(t, "one", slices.Repeat([]script{answer}, 2*len(heads))...)
			for name, head := range heads {
				text.Store(head)
				sink := &collector{}
				err := newForwarder(t, &fakeLeases{}, tg).Serve(context.Background(), newCall(route), sink)
				if err == nil || sink.heads > 0 {
					t.Errorf("%s: Serve returned %v, status %d, %q", name, err, sink.status, sink.body.String())
				}
			}
		})
	}
}
