// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// serverEnv is the environment variable with the serverSpec of a process that is a server.
const serverEnv = "HAVENWINCH_SOAK_SERVER"

// serverSpec describes a server that runs as a process of its own.
type serverSpec struct {
	ID, Service, Zone string
	// Control are the addresses at which the server registers itself.
	Control []string
	// Slots is how many requests the server works on at once and Queue how many may wait; it rejects
	// the others.
	Slots, Queue int
	// EventPause is the time between two events of a stream.
	EventPause time.Duration
}

// serverLine is a line of a server process's output.
type serverLine struct {
	// Address is set in the first line only.
	Address string `json:",omitempty"`
	// Arrived is a request that the server has received.
	Arrived string `json:",omitempty"`
	// Run is a request that the server begins to run, and Tenant and Prompt what it says about itself.
	Run    string `json:",omitempty"`
	Tenant string `json:",omitempty"`
	Prompt uint64 `json:",omitempty"`
	// Rejected is a request that the server has rejected.
	Rejected string `json:",omitempty"`
}

// processServer is the server in a server process.
type processServer struct {
	spec     serverSpec
	address  string
	born     int64
	running  chan struct{}
	accepted chan struct{}
	mu       sync.Mutex
	out      *json.Encoder
}

// serveAsProcess runs a server until its standard input is closed.
func serveAsProcess(text string) int {
	var spec serverSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s := &processServer{spec: spec, address: l.Addr().String(), born: time.Now().UnixMilli(), running: make(chan struct{}, spec.Slots), accepted: make(chan struct{}, spec.Slots+spec.Queue), out: json.NewEncoder(os.Stdout)}
	s.tell(serverLine{Address: s.address})
	go func() { _ = http.Serve(l, s) }()
	go s.register()
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

func (s *processServer) tell(l serverLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.out.Encode(l)
}

func (s *processServer) register() {
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{"service": s.spec.Service, "address": s.address, "zone": s.spec.Zone, "version": defaultVersion,
			"slots": s.spec.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": s.born})
		for _, control := range s.spec.Control {
			if status, _ := put("http://"+control+"/api/instances/"+s.spec.ID, body); status == http.StatusOK {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// ServeHTTP implements http.Handler.
func (s *processServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		_, _ = fmt.Fprintf(w, `{"queued":%d,"runs":[],"born":%d}`, max(0, len(s.accepted)-len(s.running)), s.born)
		return
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("Expect-Instance") != s.spec.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	s.tell(serverLine{Arrived: id})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case s.accepted <- struct{}{}:
		defer func() { <-s.accepted }()
	default:
		s.tell(serverLine{Rejected: id})
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	case <-r.Context().Done():
		return
	}
	prompt, limit := tokensOf(r.Header.Get("Token-Count"))
	s.tell(serverLine{Run: id, Tenant: r.Header.Get("Tenant"), Prompt: prompt})
	w.Header().Set("Server-Signature", s.spec.ID)
	if s.spec.Service == plainService {
		time.Sleep(s.spec.EventPause)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	s.stream(w, r, id, limit)
}

// stream sends the events after the one in Last-Event-Id, or all events without it.
func (s *processServer) stream(w http.ResponseWriter, r *http.Request, id string, limit uint64) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := first; n < events(limit); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.spec.EventPause):
		}
		if _, err := io.WriteString(w, event(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// serverProcess is a running server process. Signals to it pause the server as a whole.
type serverProcess struct {
	spec serverSpec
	cmd  *exec.Cmd
	in   io.Closer

	mu       sync.Mutex
	rejected int
}

// startServerProcess starts a server process and waits until it listens.
func (tb *testbed) startServerProcess(t *testing.T, spec serverSpec) *serverProcess {
	t.Helper()
	spec.Control = tb.platform.control
	text, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	p := &serverProcess{spec: spec, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), serverEnv+"="+string(text))
	var stderr bytes.Buffer
	p.cmd.Stderr = &stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines, done := bufio.NewScanner(out), make(chan struct{})
	if !lines.Scan() {
		t.Fatalf("the server process %s ended: %s", spec.ID, stderr.String())
	}
	go func() {
		defer close(done)
		for lines.Scan() {
			p.record(tb.platform, lines.Bytes())
		}
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-done
		_ = p.cmd.Wait()
	})
	return p
}

func (p *serverProcess) record(pf *platform, text []byte) {
	var l serverLine
	if json.Unmarshal(text, &l) != nil {
		return
	}
	if l.Arrived != "" {
		pf.disruptions.recordWorker(l.Arrived, p.spec.ID)
	}
	if l.Run != "" {
		pf.recordRun(l.Run, l.Tenant, l.Prompt)
	}
	if l.Rejected != "" {
		p.mu.Lock()
		p.rejected++
		p.mu.Unlock()
	}
}

func (p *serverProcess) pause()  { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *serverProcess) resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
