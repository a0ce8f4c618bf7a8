// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// bin is the folder of the daemon, built with the race detector.
var bin string

func TestMain(m *testing.M) { os.Exit(build(m)) }

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "havenwinch-soak-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	if out, err := exec.Command("go", "build", "-race", "-o", folder+"/", "havenwinch.dev/havenwinch/cmd/havenwinchd").CombinedOutput(); err != nil {
		panic(string(out))
	}
	bin = folder
	return m.Run()
}

// box is one daemon as a process.
type box struct {
	name   string
	role   string
	ip     string
	folder string
	env    []string
	// bin is the folder of the daemon that runs at the next start.
	bin string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  bytes.Buffer
	// started is set once the box was started.
	started bool
	// closed is set at the end of the test: nothing is started any more.
	closed bool
	// ended lists ends of the process that no signal of the test explains.
	ended []string
}

// fleet is a set of boxes with addresses of its own on loopback.
type fleet struct {
	folder string
	boxes  []*box
	ports  ports
}

type ports struct{ between, caller, ready, registry, metrics int }

var fleets atomic.Int64

// centres is how many data centres a fleet has.
const centres = 2

// newFleet lays boxes out; every fleet has a net of its own, told apart by the
// process and a count.
func newFleet(t *testing.T, controls, entries int) *fleet {
	t.Helper()
	f := &fleet{folder: t.TempDir(), ports: freePorts(t)}
	net := fmt.Sprintf("127.%d.%d.", 60+os.Getpid()%150, 1+fleets.Add(1)%250)
	var seeds []string
	for i := range min(3, controls) {
		seeds = append(seeds, net+strconv.Itoa(10+i))
	}
	secret := filepath.Join(f.folder, "secret")
	if err := os.WriteFile(secret, []byte("a secret for fleets on loopback only"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range controls + entries {
		b := &box{name: fmt.Sprintf("control-%d", i+1), role: "control", ip: net + strconv.Itoa(10+i), bin: bin}
		if i >= controls {
			b.name, b.role = fmt.Sprintf("entry-%d", i-controls+1), "entry"
		}
		b.folder = filepath.Join(f.folder, b.name)
		centre := "zone-" + string(rune('a'+i%centres))
		b.env = []string{
			"HAVENWINCH_BOX=" + b.name, "HAVENWINCH_DATA_CENTRE=" + centre, "HAVENWINCH_IP=" + b.ip,
			"HAVENWINCH_BETWEEN_PORT=" + strconv.Itoa(f.ports.between), "HAVENWINCH_SEEDS=" + strings.Join(seeds, ","),
			"HAVENWINCH_CALLER_LISTEN=" + f.at(b, f.ports.caller), "HAVENWINCH_READY_LISTEN=" + f.at(b, f.ports.ready),
			"HAVENWINCH_REGISTRY_LISTEN=" + f.at(b, f.ports.registry), "HAVENWINCH_METRICS_LISTEN=" + f.at(b, f.ports.metrics),
			"HAVENWINCH_DATA_DIR=" + b.folder, "HAVENWINCH_SECRET_FILE=" + secret, "HAVENWINCH_STOP_LIMIT=10s", "HAVENWINCH_LOG_RATE=5000",
			"HAVENWINCH_RETRY_STOCK=100000", "HAVENWINCH_ELECTION_TIMEOUT=1s", "HAVENWINCH_HEARTBEAT=200ms",
		}
		f.boxes = append(f.boxes, b)
	}
	t.Cleanup(f.kill)
	return f
}

func freePorts(t *testing.T) ports {
	t.Helper()
	var p ports
	for _, port := range []*int{&p.between, &p.caller, &p.ready, &p.registry, &p.metrics} {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p
}

func (f *fleet) at(b *box, port int) string { return net.JoinHostPort(b.ip, strconv.Itoa(port)) }

func (f *fleet) of(role string) []*box {
	var list []*box
	for _, b := range f.boxes {
		if b.role == role {
			list = append(list, b)
		}
	}
	return list
}

func (f *fleet) addresses(role string, port int) []string {
	var list []string
	for _, b := range f.of(role) {
		list = append(list, f.at(b, port))
	}
	return list
}

func (f *fleet) names(role string) []string {
	var names []string
	for _, b := range f.of(role) {
		names = append(names, b.name)
	}
	return names
}

// start starts the box's process if none runs.
func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil || b.closed {
		return nil
	}
	if err := b.laySettings("HAVENWINCH_FIRST_START=" + strconv.FormatBool(!b.started)); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(b.bin, "havenwinchd"), "forward", "--role", b.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAVENWINCH_NODE_FILE=" + b.settings()}
	cmd.Stdout, cmd.Stderr = &lockedWriter{b: b}, &lockedWriter{b: b}
	if err := cmd.Start(); err != nil {
		return err
	}
	b.started = true
	done := make(chan struct{})
	b.cmd, b.done = cmd, done
	go b.await(cmd, done)
	return nil
}

// settings is the path of the box's settings file.
func (b *box) settings() string { return b.folder + ".env" }

// laySettings writes the settings file, as the platform does it: all but the role, which
// stands on the command line. What is named again holds.
func (b *box) laySettings(again ...string) error {
	lines := append(slices.Clone(b.env), again...)
	return os.WriteFile(b.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// restartPause is how long after its own end a process is started again, as the
// platform does it.
const restartPause = 100 * time.Millisecond

// await notes the end of a process. One that ended by itself is a finding, and
// is started again.
func (b *box) await(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cmd = nil
	close(done)
	status := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if err == nil || status.Signaled() {
		return
	}
	b.ended = append(b.ended, fmt.Sprintf("%s (process %d) ended by itself: %v; its last lines: %s", b.name, cmd.Process.Pid, err, lastLines(b.log.String())))
	time.AfterFunc(restartPause, func() { _ = b.start() })
}

// lastLines returns the end of a log.
func lastLines(text string) string {
	const most = 2000
	return text[max(0, len(text)-most):]
}

// endedByThemselves returns the ends of processes that no signal explains.
func (f *fleet) endedByThemselves() []string {
	var list []string
	for _, b := range f.boxes {
		b.mu.Lock()
		list = append(list, b.ended...)
		b.mu.Unlock()
	}
	return list
}

type lockedWriter struct{ b *box }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.log.Write(p)
}

func (b *box) lines() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// signal signals the box's own process, and no other.
func (b *box) signal(s syscall.Signal) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = b.cmd.Process.Signal(s)
	return b.done
}

func (f *fleet) startAll(t *testing.T) {
	t.Helper()
	for _, b := range f.boxes {
		if err := b.start(); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *fleet) kill() {
	for _, b := range f.boxes {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		b.signal(syscall.SIGCONT)
		<-b.signal(syscall.SIGKILL)
	}
}

// ready waits until every entry box says that it is ready.
func (f *fleet) ready(t *testing.T) {
	t.Helper()
	for _, address := range f.addresses("entry", f.ports.ready) {
		eventually(t, address+" is ready", func() bool {
			resp, err := asker.Get("http://" + address + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

const waitLimit = 60 * time.Second

// eventually waits for something that must come to be.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %s: %s", waitLimit, what)
}
