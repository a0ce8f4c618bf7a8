// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a planned stop that cuts its calls off as the box is told to stop again.
func TestSecondStopSignalCutsNoAnswer(t *testing.T) {
	const limit = 3000
	tb := newTestbed(t, 4, 1, 1, 1, 1)
	entry := tb.withRole("entry")[0]
	conn, err := net.Dial("tcp", tb.address(entry, tb.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: stopped\r\nApi-Key: key-large\r\nToken-Count: 100,%d\r\nContent-Length: 15\r\n\r\nbody of stopped", limit)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the stream did not start: %v", err)
	}
	entry.signal(syscall.SIGTERM)
	waitFor(t, "the box has begun to stop", func() bool { return strings.Contains(entry.logText(), `"msg":"stop"`) })
	exited := entry.signal(syscall.SIGTERM)
	body, err := io.ReadAll(resp.Body)
	if want := fmt.Sprintf("id: %d\n", events(limit)-1); err != nil || !strings.Contains(string(body), want) {
		t.Errorf("the stream ended after %d bytes with %v, want %q in it", len(body), err, want)
	}
	<-exited
	tb.checkResults(t)
}

// Guards against callers whose connection ends with the stop of their box, at the end of its time, without a
// word on their call.
func TestEndOfStopTimeAnswersRunningCalls(t *testing.T) {
	const limit = 4 * time.Second
	f := newFleet(t, 1, 1)
	entry := f.withRole("entry")[0]
	entry.env = append(entry.env, fmt.Sprintf("HAVENWINCH_STOP_LIMIT=%s", limit))
	tb := startTestbed(t, f, 5, 1, 1)
	for _, sv := range tb.platform.all() {
		sv.setRoom(1, 10, time.Minute)
	}
	conns := map[string]net.Conn{}
	for _, id := range []string{"running", "queued"} {
		conn, err := net.Dial("tcp", tb.address(entry, tb.ports.caller))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST /plain/unsafe/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nApi-Key: key-large\r\nContent-Length: %d\r\n\r\nbody of %s", id, len("body of "+id), id)
		waitFor(t, "a server has call "+id, func() bool { return tb.platform.disruptions.hasWorker(id) })
		conns[id] = conn
	}
	// The platform kills a box at the end of its time.
	kill := time.AfterFunc(limit, func() { entry.signal(syscall.SIGKILL) })
	defer kill.Stop()
	exited := entry.signal(syscall.SIGTERM)
	for id, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("call %s got %v, %v; want status %d", id, resp, err, http.StatusGatewayTimeout)
		}
	}
	<-exited
}

// Guards against tokens that are lost with the streams that a planned stop cuts.
func TestStopReturnsWhatCutStreamsHadReserved(t *testing.T) {
	const limit = 4 * time.Second
	f := newFleet(t, 1, 1)
	entry := f.withRole("entry")[0]
	entry.env = append(entry.env, fmt.Sprintf("HAVENWINCH_STOP_LIMIT=%s", limit))
	tb := startTestbed(t, f, 6, 1, 1)
	conn, err := net.Dial("tcp", tb.address(entry, tb.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /stream/once/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: cut\r\nApi-Key: key-large\r\nToken-Count: 100,60000\r\nContent-Length: 11\r\n\r\nbody of cut")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the stream did not start: %v", err)
	}
	go func() { _, _ = io.Copy(io.Discard, resp.Body) }()
	<-entry.signal(syscall.SIGTERM)
	var last string
	for line := range strings.SplitSeq(entry.logText(), "\n") {
		if strings.Contains(line, `"msg":"leases returned"`) {
			last = line
		}
	}
	if !strings.Contains(last, `"received":true`) || !strings.Contains(last, `"reserved":0`) {
		t.Errorf("the last report of the box is %q, want one that control got and that says that nothing is reserved", last)
	}
}
